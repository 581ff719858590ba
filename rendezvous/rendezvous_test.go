package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/rendezvous"
)

// Guards against candidates with similar names that own very uneven shares of the
// subjects, and against subjects that change their owner when another candidate
// is removed.
func TestOwnersAreBalancedAndStable(t *testing.T) {
	nodes := []string{"front-a-1", "front-a-2", "front-b-1", "front-c-1"}
	subjectCount := make(map[string]int)
	const subjects = 4000
	for i := range subjects {
		subject := fmt.Sprintf("10.0.0.%d:80", i)
		owner := rendezvous.Owner(nodes, subject)
		subjectCount[owner]++
		require.Zero(t, rendezvous.Position(nodes, owner, subject))
		if owner != "front-a-2" {
			require.Equal(t, owner, rendezvous.Owner([]string{"front-a-1", "front-b-1", "front-c-1"}, subject))
		}
	}
	for _, n := range subjectCount {
		require.InDelta(t, subjects/len(nodes), n, 150)
	}
	require.Empty(t, rendezvous.Owner([]string{}, "x"))
}

// Guards against candidates that own the same share of subjects regardless of
// their weight.
func TestWeightedScoreIsProportional(t *testing.T) {
	const subjects = 4000
	ownedByA := 0
	for i := range subjects {
		subject := fmt.Sprintf("part-%d", i)
		if rendezvous.WeightedScore("a", subject, 3) > rendezvous.WeightedScore("b", subject, 1) {
			ownedByA++
		}
	}
	require.InDelta(t, 0.75*subjects, ownedByA, 120)
}

// Guards against candidates from VisitTop that differ from the first ones of Ranked.
func TestVisitTopMatchesRank(t *testing.T) {
	name := func(n string) string { return n }
	for _, count := range []int{0, 1, 3, 12, 100} {
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprintf("node-%d", i))
		}
		for i := range 50 {
			subject := fmt.Sprint("subject-", i)
			var top []string
			rendezvous.VisitTop(nodes, subject, 12, name, func(position, i int) {
				require.Len(t, top, position)
				top = append(top, nodes[i])
			})
			ranked := rendezvous.Ranked(nodes, subject, name)
			require.Equal(t, len(ranked[:min(12, count)]), len(top))
			for position, node := range top {
				require.Equal(t, ranked[position], node)
			}
		}
	}
}
