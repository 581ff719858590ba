package usage

import (
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/rendezvous"
)

// gatherGroup is the number of candidates of a list that the holder asks at once.
const gatherGroup = 3

// collectorLists returns the candidates for the two collectors of the processes in a
// failure domain, in the order in which they are tried: those in the domain, and those
// outside it, which keep the counts when the domain is lost. The lists are the same in all
// processes.
func collectorLists(members []fleet.Member, domain core.FailureDomain) (inside, outside []fleet.Member) {
	ranked := rendezvous.Ranked(members, "usage/"+string(domain), func(m fleet.Member) string { return string(m.Node) })
	for _, m := range ranked {
		if m.Domain == domain {
			inside = append(inside, m)
		} else {
			outside = append(outside, m)
		}
	}
	return inside, outside
}

// allCollectorLists returns the candidates of all failure domains.
func allCollectorLists(members []fleet.Member) [][]fleet.Member {
	seen := make(map[core.FailureDomain]bool)
	var lists [][]fleet.Member
	for _, m := range members {
		if seen[m.Domain] {
			continue
		}
		seen[m.Domain] = true
		inside, outside := collectorLists(members, m.Domain)
		lists = append(lists, inside, outside)
	}
	return lists
}
