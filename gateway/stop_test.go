package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
)

// Guards against a stream that begins late in a planned stop and is cut at the
// end of the grace time.
func TestStoppingFrontBeginsNoLongCalls(t *testing.T) {
	begun := time.Unix(100, 0)
	s := &stop{begun: begun, grace: 8 * time.Second}
	cases := []struct {
		kind  core.CallKind
		after time.Duration
		left  time.Duration
		want  bool
	}{
		{core.Stream, time.Second, 15 * time.Second, true},
		{core.Stream, 3 * time.Second, time.Second, false},
		{core.NonIdempotent, 3 * time.Second, 1200 * time.Millisecond, true},
		{core.Idempotent, 7 * time.Second, 1200 * time.Millisecond, false},
		{core.NonIdempotent, 6 * time.Second, 2500 * time.Millisecond, false},
		{core.Idempotent, 6 * time.Second, time.Second, true},
		{core.Idempotent, time.Second, time.Minute, true},
	}
	for _, c := range cases {
		require.Equal(t, c.want, s.mayBegin(c.kind, begun.Add(c.after), c.left), "%s after %s with %s left", c.kind, c.after, c.left)
	}
	require.True(t, (*stop)(nil).mayBegin(core.Stream, begun, time.Minute), "no stop is under way")
}

// Guards against callers that are sent from one stopping front to the next
// until their attempts are used up.
func TestStoppingFrontSaysWhenAnotherServes(t *testing.T) {
	begun := time.Unix(100, 0)
	s := &stop{begun: begun, grace: 8 * time.Second}
	now := begun.Add(3 * time.Second)
	members := func(nodes ...core.NodeID) (out []fleet.Member) {
		for _, node := range nodes {
			out = append(out, fleet.Member{Node: node})
		}
		return out
	}
	cases := map[string]struct {
		view fleet.View
		want time.Duration
	}{
		"another is registered":      {fleet.View{Members: members("self", "other")}, stopRetry},
		"own stop only":              {fleet.View{Members: members("self")}, 5*time.Second + restartTime},
		"another began before":       {fleet.View{Departures: []time.Time{begun.Add(-2 * time.Second), begun}}, 3*time.Second + restartTime},
		"another began just now":     {fleet.View{Departures: []time.Time{begun, now.Add(-time.Second)}}, stopRetry},
		"one has gone long ago":      {fleet.View{Departures: []time.Time{begun.Add(-time.Hour), begun}}, 5*time.Second + restartTime},
		"store has not told of stop": {fleet.View{}, 5*time.Second + restartTime},
	}
	for name, c := range cases {
		require.Equal(t, c.want, s.retryAfter(now, core.Stream, time.Second, "self", &c.view), name)
	}
}
