package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
)

// Guards against a stream that starts late in a planned stop and is interrupted at the
// end of the grace time.
func TestStoppingFrontRefusesLongCalls(t *testing.T) {
	startedAt := time.Unix(100, 0)
	s := &plannedStop{startedAt: startedAt, grace: 8 * time.Second}
	cases := []struct {
		kind      core.CallKind
		elapsed   time.Duration
		remaining time.Duration
		want      bool
	}{
		{core.KindStream, time.Second, 15 * time.Second, true},
		{core.KindStream, 3 * time.Second, time.Second, false},
		{core.KindNonIdempotent, 3 * time.Second, 1200 * time.Millisecond, true},
		{core.KindIdempotent, 7 * time.Second, 1200 * time.Millisecond, false},
		{core.KindNonIdempotent, 6 * time.Second, 2500 * time.Millisecond, false},
		{core.KindIdempotent, 6 * time.Second, time.Second, true},
		{core.KindIdempotent, time.Second, time.Minute, true},
	}
	for _, c := range cases {
		require.Equal(t, c.want, s.accepts(c.kind, startedAt.Add(c.elapsed), c.remaining), "%s after %s with %s remaining", c.kind, c.elapsed, c.remaining)
	}
	require.True(t, (*plannedStop)(nil).accepts(core.KindStream, startedAt, time.Minute), "no stop is in progress")
}

// Guards against calls without a response at the end of the grace time.
func TestStoppingFrontLimitsDeadlines(t *testing.T) {
	startedAt := time.Unix(100, 0)
	s := &plannedStop{startedAt: startedAt, grace: 8 * time.Second}
	for elapsed, want := range map[time.Duration]time.Duration{
		7 * time.Second: 7 * time.Second, 7400 * time.Millisecond: 7400 * time.Millisecond, 15 * time.Second: 7400 * time.Millisecond,
	} {
		require.Equal(t, startedAt.Add(want), s.limitDeadline(startedAt.Add(elapsed)))
	}
	require.Equal(t, startedAt, (*plannedStop)(nil).limitDeadline(startedAt), "no stop is in progress")
}

// Guards against callers that retry at one stopping front after the other until all
// their attempts are used.
func TestStoppingFrontReturnsRetryAfter(t *testing.T) {
	startedAt := time.Unix(100, 0)
	s := &plannedStop{startedAt: startedAt, grace: 8 * time.Second}
	now := startedAt.Add(3 * time.Second)
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
		"another front is registered":    {fleet.View{Members: members("self", "other")}, stopRetryAfter},
		"only this front is stopping":    {fleet.View{Members: members("self")}, 5*time.Second + restartTime},
		"another front stopped earlier":  {fleet.View{Departures: []time.Time{startedAt.Add(-2 * time.Second), startedAt}}, 3*time.Second + restartTime},
		"another front stopped just now": {fleet.View{Departures: []time.Time{startedAt, now.Add(-time.Second)}}, stopRetryAfter},
		"a front departed long ago":      {fleet.View{Departures: []time.Time{startedAt.Add(-time.Hour), startedAt}}, 5*time.Second + restartTime},
		"stop is not yet in the view":    {fleet.View{}, 5*time.Second + restartTime},
	}
	for name, c := range cases {
		require.Equal(t, c.want, s.retryAfter(now, core.KindStream, time.Second, "self", &c.view), name)
	}
}
