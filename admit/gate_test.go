package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against portions whose sum differs from the total.
func TestSplitEvenlyAddsUpToTotal(t *testing.T) {
	for total := range 20 {
		for n := 1; n < 9; n++ {
			sum := 0
			for rank := range n {
				portion := SplitEvenly(total, n, rank)
				require.InDelta(t, float64(total)/float64(n), portion, 1)
				sum += portion
			}
			require.Equal(t, total, sum)
		}
	}
	require.Equal(t, 4, SplitEvenly(4, 0, 0), "n = 0 is treated as 1")
}

// Guards against a cold upstream that gets more calls than it can handle: within one
// interval, directly after a restart of the sender, or because a later report with an
// earlier end shortens the cold period.
func TestGateLimitsCallsToColdUpstream(t *testing.T) {
	start := time.Unix(1000, 0)
	g := NewGate(start)
	g.MarkColdUntil(start.Add(10 * time.Second))
	full, cold := g.Full(start.Add(gateInterval-1), 5)
	require.True(t, full && cold, "the calls sent before the start are unknown")
	now := start.Add(gateInterval)
	for range 5 {
		full, cold = g.Full(now, 5)
		require.True(t, cold && !full)
		g.RecordSend(now)
	}
	full, _ = g.Full(now.Add(gateInterval-1), 5)
	require.True(t, full)
	full, _ = g.Full(now.Add(gateInterval), 5)
	require.False(t, full)
	g.MarkColdUntil(start.Add(5 * time.Second))
	_, cold = g.Full(start.Add(9*time.Second), 5)
	require.True(t, cold, "an earlier end does not shorten the cold period")
	_, cold = g.Full(start.Add(10*time.Second), 5)
	require.False(t, cold)
}

// Guards against a gate whose send times accumulate because Full is never called. This is
// the case for services without a limit for cold upstreams.
func TestGateRemovesOldSendTimes(t *testing.T) {
	start := time.Unix(1000, 0)
	g := NewGate(start)
	for i := range 100_000 {
		g.RecordSend(start.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	require.LessOrEqual(t, len(g.sendTimes), int(gateInterval/(10*time.Millisecond))+1)
	require.Less(t, cap(g.sendTimes), 1000)
}
