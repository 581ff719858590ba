package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// Guards against a quarantine of which nobody sees since when it is in force, how many
// calls it has refused, and that it has ended.
func TestQuarantinesAreReported(t *testing.T) {
	c := newCluster("a", "b")
	c.quarantineBad(t)
	since := c.now
	for range 7 {
		require.True(t, c.refused("b", prompt("new", "bad")))
	}
	c.exchange(time.Second)
	active := c.trackers["b"].Active()
	require.Len(t, active, 1)
	require.Equal(t, core.PartID("bad"), active[0].ID)
	require.Equal(t, uint64(8), active[0].Refused, "quarantineBad refuses one")
	require.WithinDuration(t, since, active[0].Since, settled)
	require.Empty(t, c.trackers["b"].TakeEnded())

	c.answer("a", prompt("late", "bad"))
	c.exchange(200 * time.Millisecond)
	require.Empty(t, c.trackers["b"].Active())
	ended := c.trackers["b"].TakeEnded()
	require.Len(t, ended, 1)
	require.Equal(t, active[0].Since, ended[0].Since)
	require.Equal(t, uint64(8), ended[0].Refused)
	require.Empty(t, c.trackers["b"].TakeEnded())
}

// Guards against a record of a quarantine that outlives its state.
func TestExpiredQuarantineIsReportedAsEnded(t *testing.T) {
	c := newCluster("a")
	c.quarantineBad(t)
	c.trackers["a"].Sweep(c.now.Add(time.Hour))
	require.Empty(t, c.trackers["a"].Active())
	require.Len(t, c.trackers["a"].TakeEnded(), 1)
}
