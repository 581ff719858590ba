package admit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/admit"
)

// Guards against portions that add up to more or less than the announced rate.
func TestPortionsAddUpToTheRate(t *testing.T) {
	for _, perSecond := range []float64{0.1, 0.7, 2.3, 3.4, 40, 1000} {
		for _, n := range []int{1, 3, 27, 1800} {
			total := 0.0
			for rank := range n {
				total += admit.SplitRate(perSecond, n, rank)
			}
			require.InDelta(t, perSecond, total, 1e-6, "%v a second, %d processes", perSecond, n)
		}
	}
	require.Positive(t, admit.SplitRate(0, 4, 0), "an upstream that announces 0 gets no call that could end its limit")
}

// Guards against processes that together send more calls than the announced rate
// allows, when all of them have been idle or have just started.
func TestPacersOfAllProcessesKeepTheRate(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for _, perSecond := range []float64{0.3, 2.3, 3.4, 12} {
		for _, n := range []int{1, 4, 27, 400} {
			var pacers []*admit.Pacer
			for rank := range n {
				p := admit.NewPacer(start)
				allowed, _ := p.Allows(start)
				require.False(t, allowed)
				p.SetRate(start, admit.SplitRate(perSecond, n, rank))
				pacers = append(pacers, p)
			}
			calls := 0
			for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += 20 * time.Millisecond {
				now := start.Add(time.Minute + elapsed) // idle for a minute
				for _, p := range pacers {
					if allowed, _ := p.Allows(now); allowed {
						p.RecordSend(now)
						calls++
					}
				}
			}
			require.LessOrEqual(t, float64(calls), 1.5*4*perSecond+5, "%v a second, %d processes", perSecond, n)
			require.GreaterOrEqual(t, float64(calls), 4*perSecond-1)
		}
	}
}
