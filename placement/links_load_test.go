package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	linkSeeds = 2
	// linkTargetMs is the target for the first byte of an urgent call.
	linkTargetMs = 250
)

// lateShare returns the share of calls whose first byte is later than the target.
func (m *linkModel) lateShare() float64 {
	late := 0
	for _, first := range m.firsts {
		if first > linkTargetMs {
			late++
		}
	}
	return float64(late) / float64(len(m.firsts))
}

// fetchedShare returns the share of calls whose part was fetched.
func (m *linkModel) fetchedShare() float64 {
	return float64(m.fetched) / linkPartTokens / float64(len(m.firsts))
}

// Guards against calls that queue at a link which runs at a quarter of its rate for three
// seconds: each front alone sees too few of its transfers, and those that are under way have
// not ended. Five fronts are cut off in the second case. The bound is 0.95 of the
// calls in time.
func TestSlowLinkForSeconds(t *testing.T) {
	const slowFrom, slowFor = 2 * time.Second, 3 * time.Second
	for _, silent := range []int{0, 5} {
		for seed := range uint64(linkSeeds) {
			m := newLinkModel(seed, modelAllFronts)
			for i := range silent {
				m.silent[i] = true
			}
			m.slowdown = func(store int, at time.Duration) float64 {
				if store == 0 && at >= slowFrom && at < slowFrom+slowFor {
					return 4
				}
				return 1
			}
			m.play(0.6*linkCalls, 8*time.Second, slowFrom)
			t.Logf("%d fronts cut off: late %.3f, mean wait %.0f ms, fetched %.2f", silent, m.lateShare(), mean(m.waits), m.fetchedShare())
			require.Less(t, m.lateShare(), 0.05, "%d fronts cut off, seed %d", silent, seed)
			require.Greater(t, m.fetchedShare(), 0.8, "the other links stay in use")
		}
	}
}

// Guards against reading parts again because the waits of transfers differ by chance.
func TestEqualLinksStayInUse(t *testing.T) {
	m := newLinkModel(1, modelAllFronts)
	m.play(0.75*linkCalls, 5*time.Second, 2*time.Second)
	require.Greater(t, m.fetchedShare(), 0.97)
}
