package gossip

import (
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

// ReadersPerDomain is how many processes of a failure domain read the table.
const ReadersPerDomain = 2

// IsReader reports whether a process is among the readers of its failure
// domain, chosen by rendezvous hashing over the domain's live processes.
// Processes with different member lists may choose different readers; this
// costs reads and never correctness.
func IsReader(self core.NodeID, domain core.FailureDomain, live []Peer) bool {
	nodes := []core.NodeID{self}
	for _, p := range live {
		if p.Domain == domain && p.Node != self {
			nodes = append(nodes, p.Node)
		}
	}
	return rendezvous.Position(nodes, self, string(domain)) < ReadersPerDomain
}
