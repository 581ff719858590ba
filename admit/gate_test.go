package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against shares that add up to more or less than the whole.
func TestSharesAddUp(t *testing.T) {
	for total := range 20 {
		for n := 1; n < 9; n++ {
			sum := 0
			for place := range n {
				share := SplitEvenly(total, n, place)
				require.InDelta(t, float64(total)/float64(n), share, 1)
				sum += share
			}
			require.Equal(t, total, sum)
		}
	}
	require.Equal(t, 4, SplitEvenly(4, 0, 0), "a process that knows of no other has the whole")
}

// Guards against a fresh upstream that gets more calls than it bears: in any
// span, right after a restart of the sender, or once a second sign says that it
// stays cold.
func TestGateBoundsAColdUpstream(t *testing.T) {
	t0 := time.Unix(1000, 0)
	g := NewGate(t0)
	g.MarkColdUntil(t0.Add(10 * time.Second))
	full, cold := g.Full(t0.Add(gateSpan-1), 5)
	require.True(t, full && cold, "what was sent before the start is not known")
	now := t0.Add(gateSpan)
	for range 5 {
		full, cold = g.Full(now, 5)
		require.True(t, cold && !full)
		g.RecordSend(now)
	}
	full, _ = g.Full(now.Add(gateSpan-1), 5)
	require.True(t, full)
	full, _ = g.Full(now.Add(gateSpan), 5)
	require.False(t, full)
	g.MarkColdUntil(t0.Add(5 * time.Second))
	_, cold = g.Full(t0.Add(9*time.Second), 5)
	require.True(t, cold, "an earlier end does not shorten the time")
	_, cold = g.Full(t0.Add(10*time.Second), 5)
	require.False(t, cold)
}

// Guards against memory that grows with each call to an upstream of a service
// without a limit for cold ones, whose gate is never asked.
func TestGateForgetsOldCalls(t *testing.T) {
	t0 := time.Unix(1000, 0)
	g := NewGate(t0)
	for i := range 100_000 {
		g.RecordSend(t0.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	require.LessOrEqual(t, len(g.sends), int(gateSpan/(10*time.Millisecond))+1)
	require.Less(t, cap(g.sends), 1000)
}
