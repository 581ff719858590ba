package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/membership"
)

type step struct {
	after time.Duration
	do    func(*membership.Table, time.Time)
	want  membership.State // 0 means that the member is not known
}

func list(incarnation core.Incarnation, state membership.State) func(*membership.Table, time.Time) {
	return func(t *membership.Table, now time.Time) {
		t.ApplyList(now, []membership.Member{{Node: "n", Incarnation: incarnation, Address: "127.0.0.1:1", Role: "agent", State: state}})
	}
}

func emptyList(t *membership.Table, now time.Time) { t.ApplyList(now, nil) }

func tick(t *membership.Table, now time.Time) { t.Tick(now) }

func observe(e membership.Evidence) func(*membership.Table, time.Time) {
	return func(t *membership.Table, now time.Time) { t.Observe(now, e) }
}

func TestMemberStates(t *testing.T) {
	const live, suspect, failed, leaving = membership.Live, membership.Suspect, membership.Failed, membership.Leaving
	beat := membership.Evidence{Node: "n", Incarnation: 5, Address: "127.0.0.1:1", OK: true}
	miss := membership.Evidence{Node: "n", Incarnation: 5}
	missByAddress := membership.Evidence{Address: "127.0.0.1:1"}
	oldMiss := membership.Evidence{Node: "n", Incarnation: 4}
	oldBeat := membership.Evidence{Node: "n", Incarnation: 4, Address: "127.0.0.1:1", OK: true}
	newBeat := membership.Evidence{Node: "n", Incarnation: 6, Address: "127.0.0.1:2", OK: true}
	lastBeat := membership.Evidence{Node: "n", Incarnation: 5, Address: "127.0.0.1:1", OK: true, Leaving: true}
	suspicion := membership.DefaultConfig().SuspicionTimeout
	cases := map[string][]step{
		"one lost reply is not a suspicion": {
			{0, list(5, live), live}, {0, observe(miss), live}, {time.Minute, tick, live},
		},
		"a suspicion precedes failure": {
			{0, list(5, live), live},
			{0, observe(miss), live},
			{0, observe(missByAddress), suspect},
			{suspicion - 1, tick, suspect},
			{1, tick, failed},
		},
		"a reply refutes a false suspicion": {
			{0, list(5, live), live},
			{0, observe(miss), live},
			{0, observe(miss), suspect},
			{time.Second, observe(beat), live},
			{time.Minute, tick, live},
		},
		"a reply refutes a verdict": {
			{0, list(5, live), live},
			{0, observe(miss), live},
			{0, observe(miss), suspect},
			{suspicion, tick, failed},
			{0, observe(beat), live},
		},
		"the list does not clear a suspicion": {
			{0, list(5, live), live},
			{0, observe(miss), live},
			{0, observe(miss), suspect},
			{0, list(5, live), suspect},
			{suspicion, list(5, live), failed},
		},
		"evidence on an older incarnation is ignored": {
			{0, list(5, live), live},
			{0, observe(oldMiss), live},
			{0, observe(oldMiss), live},
			{0, observe(oldMiss), live},
			{0, observe(lastBeat), leaving},
			{0, observe(oldBeat), leaving},
		},
		"a newer incarnation starts anew": {
			{0, list(5, leaving), leaving},
			{0, observe(newBeat), live},
			{0, list(5, leaving), live}, // the list lags behind the restart
			{0, list(6, live), live},
		},
		"leaving is kept for the incarnation": {
			{0, list(5, leaving), leaving},
			{0, list(5, live), leaving},
			{0, observe(beat), leaving},
			{0, observe(miss), leaving},
			{0, observe(miss), leaving},
			{suspicion, tick, failed},
		},
		"a member heard directly outlives its absence from the list": {
			{0, observe(beat), live},
			{membership.DefaultConfig().EvidenceLifetime - 1, emptyList, live},
			{1, emptyList, suspect},
			{0, observe(beat), live},
		},
		"a member absent from the list and silent is forgotten": {
			{0, list(5, live), live},
			{time.Minute, emptyList, suspect},
			{suspicion, emptyList, failed},
			{membership.DefaultConfig().FailedRetention, emptyList, 0},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			table := membership.New(membership.DefaultConfig())
			now := time.Unix(1_000, 0)
			for i, s := range steps {
				now = now.Add(s.after)
				s.do(table, now)
				m, ok := table.Snapshot().ByNode("n")
				require.Equal(t, s.want != 0, ok, "step %d", i)
				require.Equal(t, s.want, m.State, "step %d", i)
			}
		})
	}
}

func TestSnapshotByAddress(t *testing.T) {
	table := membership.New(membership.DefaultConfig())
	list(5, membership.Live)(table, time.Unix(1, 0))
	require.True(t, table.Changed())
	m, ok := table.Snapshot().ByAddress("127.0.0.1:1")
	require.True(t, ok)
	require.Equal(t, core.NodeID("n"), m.Node)
	require.False(t, table.Changed())
}
