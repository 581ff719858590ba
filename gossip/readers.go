package gossip

import (
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

// ReadersPerDomain is the number of processes in each failure domain that read
// the platform's table.
const ReadersPerDomain = 2

// IsReader reports whether a process is one of the processes that read the
// platform's table for their failure domain. Readers are chosen by rendezvous
// hashing over the live processes of the domain. Processes with different member
// lists may choose different readers, which causes additional reads and does not
// affect correctness.
func IsReader(self core.NodeID, domain core.FailureDomain, live []Peer) bool {
	nodes := []core.NodeID{self}
	for _, p := range live {
		if p.Domain == domain && p.Node != self {
			nodes = append(nodes, p.Node)
		}
	}
	return rendezvous.Position(nodes, self, string(domain)) < ReadersPerDomain
}
