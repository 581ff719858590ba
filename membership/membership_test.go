package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/membership"
)

type step struct {
	delay time.Duration
	apply func(*membership.Table, time.Time)
	want  membership.State // 0 means that the table does not contain the member
}

func applyList(incarnation core.Incarnation, state membership.State) func(*membership.Table, time.Time) {
	return func(t *membership.Table, now time.Time) {
		t.ApplyList(now, []membership.Member{{Node: "n", Incarnation: incarnation, Address: "127.0.0.1:1", Role: "agent", State: state}})
	}
}

func applyEmptyList(t *membership.Table, now time.Time) { t.ApplyList(now, nil) }

func tick(t *membership.Table, now time.Time) { t.Tick(now) }

func observe(o membership.Observation) func(*membership.Table, time.Time) {
	return func(t *membership.Table, now time.Time) { t.Observe(now, o) }
}

func TestMemberStates(t *testing.T) {
	const live, suspect, failed, leaving = membership.Live, membership.Suspect, membership.Failed, membership.Leaving
	reply := membership.Observation{Node: "n", Incarnation: 5, Address: "127.0.0.1:1", Replied: true}
	miss := membership.Observation{Node: "n", Incarnation: 5}
	missByAddress := membership.Observation{Address: "127.0.0.1:1"}
	oldMiss := membership.Observation{Node: "n", Incarnation: 4}
	oldReply := membership.Observation{Node: "n", Incarnation: 4, Address: "127.0.0.1:1", Replied: true}
	newReply := membership.Observation{Node: "n", Incarnation: 6, Address: "127.0.0.1:2", Replied: true}
	leavingReply := membership.Observation{Node: "n", Incarnation: 5, Address: "127.0.0.1:1", Replied: true, Leaving: true}
	suspicionTimeout := membership.DefaultConfig().SuspicionTimeout
	cases := map[string][]step{
		"one lost reply does not cause a suspicion": {
			{0, applyList(5, live), live}, {0, observe(miss), live}, {time.Minute, tick, live},
		},
		"a suspicion precedes failure": {
			{0, applyList(5, live), live},
			{0, observe(miss), live},
			{0, observe(missByAddress), suspect},
			{suspicionTimeout - 1, tick, suspect},
			{1, tick, failed},
		},
		"a reply clears a suspicion": {
			{0, applyList(5, live), live},
			{0, observe(miss), live},
			{0, observe(miss), suspect},
			{time.Second, observe(reply), live},
			{time.Minute, tick, live},
		},
		"a reply clears the state Failed": {
			{0, applyList(5, live), live},
			{0, observe(miss), live},
			{0, observe(miss), suspect},
			{suspicionTimeout, tick, failed},
			{0, observe(reply), live},
		},
		"the list does not clear a suspicion": {
			{0, applyList(5, live), live},
			{0, observe(miss), live},
			{0, observe(miss), suspect},
			{0, applyList(5, live), suspect},
			{suspicionTimeout, applyList(5, live), failed},
		},
		"an observation of an older incarnation is ignored": {
			{0, applyList(5, live), live},
			{0, observe(oldMiss), live},
			{0, observe(oldMiss), live},
			{0, observe(oldMiss), live},
			{0, observe(leavingReply), leaving},
			{0, observe(oldReply), leaving},
		},
		"a newer incarnation replaces the state": {
			{0, applyList(5, leaving), leaving},
			{0, observe(newReply), live},
			{0, applyList(5, leaving), live}, // the list lags behind the restart
			{0, applyList(6, live), live},
		},
		"the state Leaving persists for the incarnation": {
			{0, applyList(5, leaving), leaving},
			{0, applyList(5, live), leaving},
			{0, observe(reply), leaving},
			{0, observe(miss), leaving},
			{0, observe(miss), leaving},
			{suspicionTimeout, tick, failed},
		},
		"a recent reply takes precedence over absence from the list": {
			{0, observe(reply), live},
			{membership.DefaultConfig().ObservationLifetime - 1, applyEmptyList, live},
			{1, applyEmptyList, suspect},
			{0, observe(reply), live},
		},
		"a failed member absent from the list is removed": {
			{0, applyList(5, live), live},
			{time.Minute, applyEmptyList, suspect},
			{suspicionTimeout, applyEmptyList, failed},
			{membership.DefaultConfig().FailedRetention, applyEmptyList, 0},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			table := membership.New(membership.DefaultConfig())
			now := time.Unix(1_000, 0)
			for i, s := range steps {
				now = now.Add(s.delay)
				s.apply(table, now)
				m, ok := table.Snapshot().ByNode("n")
				require.Equal(t, s.want != 0, ok, "step %d", i)
				require.Equal(t, s.want, m.State, "step %d", i)
			}
		})
	}
}

func TestSnapshotByAddress(t *testing.T) {
	table := membership.New(membership.DefaultConfig())
	applyList(5, membership.Live)(table, time.Unix(1, 0))
	require.True(t, table.Changed())
	m, ok := table.Snapshot().ByAddress("127.0.0.1:1")
	require.True(t, ok)
	require.Equal(t, core.NodeID("n"), m.Node)
	require.False(t, table.Changed())
}
