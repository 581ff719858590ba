package gossip

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
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
	weight := func(n core.NodeID) uint64 { return xxhash.Sum64String(string(domain) + "/" + string(n)) }
	slices.SortFunc(nodes, func(a, b core.NodeID) int { return cmp.Compare(weight(b), weight(a)) })
	return slices.Contains(nodes[:min(ReadersPerDomain, len(nodes))], self)
}
