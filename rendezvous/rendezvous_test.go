package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/rendezvous"
)

// Guards against candidates with alike names that get very uneven parts of the
// subjects, and against subjects that move when another candidate leaves.
func TestSubjectsAreSpreadAndStay(t *testing.T) {
	nodes := []string{"front-a-1", "front-a-2", "front-b-1", "front-c-1"}
	owned := make(map[string]int)
	const subjects = 4000
	for i := range subjects {
		subject := fmt.Sprintf("10.0.0.%d:80", i)
		owner := rendezvous.Owner(nodes, subject)
		owned[owner]++
		require.Zero(t, rendezvous.Position(nodes, owner, subject))
		if owner != "front-a-2" {
			require.Equal(t, owner, rendezvous.Owner([]string{"front-a-1", "front-b-1", "front-c-1"}, subject))
		}
	}
	for _, n := range owned {
		require.InDelta(t, subjects/len(nodes), n, 150)
	}
	require.Empty(t, rendezvous.Owner([]string{}, "x"))
}

// Guards against small stores that get as many parts as large ones.
func TestWeightsDivideTheSubjects(t *testing.T) {
	const subjects = 4000
	first := 0
	for i := range subjects {
		subject := fmt.Sprintf("part-%d", i)
		if rendezvous.WeightedScore("a", subject, 3) > rendezvous.WeightedScore("b", subject, 1) {
			first++
		}
	}
	require.InDelta(t, 0.75*subjects, first, 120)
}

// Guards against first candidates that differ from those of the whole order.
func TestFirstIsTheHeadOfTheOrder(t *testing.T) {
	name := func(n string) string { return n }
	for _, count := range []int{0, 1, 3, 12, 100} {
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprintf("node-%d", i))
		}
		for i := range 50 {
			subject := fmt.Sprint("subject-", i)
			var first []string
			rendezvous.Top(nodes, subject, 12, name, func(place, i int) {
				require.Len(t, first, place)
				first = append(first, nodes[i])
			})
			ranked := rendezvous.Rank(nodes, subject, name)
			require.Equal(t, len(ranked[:min(12, count)]), len(first))
			for place, node := range first {
				require.Equal(t, ranked[place], node)
			}
		}
	}
}
