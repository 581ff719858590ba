package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// Guards against a change that nobody writes, that too many processes write, or that is
// written again without need, and against a quarantine that stays stored after its end.
func TestChangesAreWrittenByFewProcesses(t *testing.T) {
	fronts := []core.NodeID{"a", "b", "c", "d", "e", "f"}
	now := time.Unix(1_800_000_000, 0)
	part := Part{Model: "m", ID: "bad"}
	ranks := make(map[int]int)
	for _, self := range fronts {
		tracker := New(self, now)
		tracker.SetFronts(fronts)
		tracker.Merge(now, Evidence{States: []State{{Part: part, Version: 1, Until: now}}})
		changes := tracker.TakeChanges()
		tracker.Merge(now, Evidence{States: []State{{Part: part, Version: 1, Until: now}}})
		require.Empty(t, tracker.TakeChanges())
		for _, c := range changes {
			require.Equal(t, part, c.Part)
			ranks[c.Rank]++
		}
		tracker.RepeatChanges()
		require.Len(t, tracker.TakeChanges(), len(changes), "after a restore")
		tracker.Sweep(now.Add(stateRetention + time.Second))
		ended := tracker.TakeChanges()
		require.Len(t, ended, len(changes))
		for _, c := range ended {
			require.False(t, c.Quarantined())
			require.True(t, c.Supersedes(State{Version: 1}))
		}
	}
	require.Equal(t, map[int]int{0: 1, 1: 1, 2: 1}, ranks)
}
