package usage

import (
	"context"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/ring"
)

// maxGatherRounds is the number of groups of candidates that are asked, one after the other,
// while no collector of a list responds.
const maxGatherRounds = 4

var _ Gatherer = (*Meter)(nil)

// Gather implements Gatherer. It asks the first candidates of all lists, and the next ones
// of a list of which none has responded.
func (m *Meter) Gather(ctx context.Context, w Window) (Counts, []core.NodeID) {
	members := m.opts.Members()
	lists := allCollectorLists(members)
	now := m.now()
	book := NewBook(m.opts.Periods)
	asked, responded := make(map[string]bool), make(map[string]bool)
	for round := range maxGatherRounds {
		addresses := nextCandidates(lists, round, asked, responded)
		if round == 0 && !asked[m.opts.Self.Address] {
			asked[m.opts.Self.Address] = true
			addresses = append(addresses, m.opts.Self.Address)
		}
		for _, reply := range m.collectAll(ctx, addresses, w) {
			responded[reply.address] = true
			for _, r := range reply.reports {
				book.Merge(now, r)
			}
		}
	}
	nodes := make([]core.NodeID, len(members))
	for i, member := range members {
		nodes[i] = member.Node
	}
	return book.Total(w), book.Missing(w, nodes)
}

// nextCandidates returns the addresses to ask in a round and adds them to those that were
// asked.
func nextCandidates(lists [][]fleet.Member, round int, asked, responded map[string]bool) (addresses []string) {
	for _, list := range lists {
		if hasResponded(list[:min(round*gatherGroup, len(list))], responded) {
			continue
		}
		for _, member := range list[min(round*gatherGroup, len(list)):min((round+1)*gatherGroup, len(list))] {
			if !asked[member.Address] {
				asked[member.Address] = true
				addresses = append(addresses, member.Address)
			}
		}
	}
	return addresses
}

func hasResponded(members []fleet.Member, responded map[string]bool) bool {
	for _, m := range members {
		if responded[m.Address] {
			return true
		}
	}
	return false
}

// collected is the reply of a collector.
type collected struct {
	address string
	reports []SourceReport
}

// collectAll asks several processes at the same time and returns their replies.
func (m *Meter) collectAll(ctx context.Context, addresses []string, w Window) (replies []collected) {
	if len(addresses) == 0 {
		return nil
	}
	results := ring.New[collected](len(addresses))
	group := duty.NewGroup(ctx, m.opts.Log)
	for _, address := range addresses {
		group.Go("collect "+address, func(ctx context.Context) error {
			if reports, err := m.collect(ctx, address, w); err == nil {
				results.Push(collected{address: address, reports: reports})
			}
			return nil // a process that does not respond is reported as missing
		})
	}
	_ = group.Wait() // no function of the group returns an error
	for reply, ok := results.TryReceive(); ok; reply, ok = results.TryReceive() {
		replies = append(replies, reply)
	}
	return replies
}
