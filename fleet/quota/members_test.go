package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// Guards against a process that uses a portion although others may not count it: one that
// joins, one that was missing from the list for a time, and one that leaves; and against a
// process that waits although it was listed before it started.
func TestPortionIsUsedOnlyWhileOthersCountTheProcess(t *testing.T) {
	t0 := time.Unix(1000, 0)
	both, other := []core.NodeID{"a", "b"}, []core.NodeID{"b"}
	m := NewMembers("a")
	require.False(t, m.HasPortion(t0), "no list")
	m.Set(t0, other, true)
	require.False(t, m.HasPortion(t0.Add(time.Hour)))
	m.Set(t0, both, true)
	require.False(t, m.HasPortion(t0.Add(ArrivalDelay-1)))
	require.True(t, m.HasPortion(t0.Add(ArrivalDelay)))

	m = NewMembers("a")
	m.Set(t0, both, true)
	m.Set(t0, both, false) // known only after the first list
	require.True(t, m.HasPortion(t0))
	m.Set(t0.Add(time.Second), other, false)
	require.False(t, m.HasPortion(t0.Add(time.Second)))
	require.Equal(t, 2, m.Count(t0.Add(time.Second)), "counted until its last calls have passed")
	require.Equal(t, 1, m.Count(t0.Add(time.Second+DepartureDelay)))
	m.Set(t0.Add(time.Minute), both, false)
	require.False(t, m.HasPortion(t0.Add(time.Minute+ArrivalDelay-1)))
	require.True(t, m.HasPortion(t0.Add(time.Minute+ArrivalDelay)))
}

// Guards against a process that uses, after a suspension, a portion that others have taken
// over since they joined.
func TestNoPortionIsUsedRightAfterSuspension(t *testing.T) {
	t0 := time.Unix(1000, 0)
	m := NewMembers("a")
	m.Set(t0, []core.NodeID{"a"}, false)
	require.True(t, m.HasPortion(t0))
	m.Suspended(t0)
	m.Set(t0, []core.NodeID{"a", "b"}, false)
	require.False(t, m.HasPortion(t0.Add(suspensionDelay-1)))
	require.True(t, m.HasPortion(t0.Add(suspensionDelay)))
}
