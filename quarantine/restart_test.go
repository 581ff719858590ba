package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
)

// breakSilently reports an attempt that broke at an upstream that does not refuse
// connections.
func (c *cluster) breakSilently(front core.NodeID, upstream string, p core.Prompt) {
	incarnation := quarantine.Incarnation{Upstream: core.UpstreamID(upstream), StartedAtMs: 1}
	c.trackers[front].RecordEnd(c.now, quarantine.AttemptEnd{Incarnation: incarnation, Prompt: p, Broken: true})
	c.trackers[front].DismissCrash(c.now, incarnation)
}

// Guards against a part that is not found because the upstreams on which it crashes fall
// silent, or have started again before a connection to them is refused.
func TestNewIncarnationProvesCrash(t *testing.T) {
	c := newCluster("a", "b")
	for i := range 3 {
		upstream := fmt.Sprint("u-", i)
		c.breakSilently("a", upstream, prompt(fmt.Sprint("own-", i), "bad"))
		c.exchange(2 * time.Second)
		c.trackers["a"].Sweep(c.now)
		require.False(t, c.refused("b", prompt("new", "bad")))
		crashed := c.trackers["a"].ConfirmRestart(c.now, quarantine.Incarnation{Upstream: core.UpstreamID(upstream), StartedAtMs: 2})
		require.Equal(t, []quarantine.Incarnation{{Upstream: core.UpstreamID(upstream), StartedAtMs: 1}}, crashed)
	}
	c.exchange(settled)
	require.True(t, c.refused("a", prompt("new", "bad")))
	require.True(t, c.refused("b", prompt("new", "bad")))
}

// Guards against a sound upstream that is silent for a second and goes on, and that counts
// as crashed, also when it is restarted for another reason later.
func TestSilentUpstreamThatGoesOnHasNotCrashed(t *testing.T) {
	c := newCluster("a")
	for i := range 5 {
		upstream := fmt.Sprint("u-", i)
		incarnation := quarantine.Incarnation{Upstream: core.UpstreamID(upstream), StartedAtMs: 1}
		c.breakSilently("a", upstream, prompt(fmt.Sprint("own-", i), "sound"))
		require.Empty(t, c.trackers["a"].ConfirmRestart(c.now, incarnation), "it is the same incarnation")
		c.exchange(1500 * time.Millisecond)
		c.trackers["a"].RecordEnd(c.now, quarantine.AttemptEnd{Incarnation: incarnation, Prompt: prompt("answered", "other"), Completed: true})
		require.Empty(t, c.trackers["a"].ConfirmRestart(c.now, quarantine.Incarnation{Upstream: core.UpstreamID(upstream), StartedAtMs: 2}))
	}
	c.exchange(settled)
	require.False(t, c.refused("a", prompt("new", "sound")))
}

// Guards against broken attempts that are retained for ever, or without bound, for a
// restart that never comes.
func TestAttemptsThatAwaitARestartAreBounded(t *testing.T) {
	c := newCluster("a")
	for i := range 3 {
		c.breakSilently("a", fmt.Sprint("u-", i), prompt(fmt.Sprint("own-", i), "bad"))
	}
	for range 30 {
		c.exchange(time.Second)
		c.trackers["a"].Sweep(c.now)
	}
	for i := range 3 {
		require.Empty(t, c.trackers["a"].ConfirmRestart(c.now, quarantine.Incarnation{Upstream: core.UpstreamID(fmt.Sprint("u-", i)), StartedAtMs: 2}))
	}
	for i := range 1000 {
		c.breakSilently("a", fmt.Sprint("u-", i), prompt(fmt.Sprint("own-", i), "bad"))
	}
	crashed := 0
	for i := range 1000 {
		crashed += len(c.trackers["a"].ConfirmRestart(c.now, quarantine.Incarnation{Upstream: core.UpstreamID(fmt.Sprint("u-", i)), StartedAtMs: 2}))
	}
	require.LessOrEqual(t, crashed, 64)
}
