package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an upstream whose changed entry is ignored, because the metadata store
// has assigned the version of its row again after a restore from a copy.
func TestEntryWithReusedRowVersionIsApplied(t *testing.T) {
	in := newInputs(1)
	pl := newPlacer(in)
	require.Positive(t, callsPlaced(pl, t0))
	for i, row := range in.Upstreams {
		draining := *row.Upstream
		draining.Draining = row.ID == restricted
		in.Upstreams[i].Upstream = &draining
	}
	pl.SetInputs(t0.Add(time.Second), in)
	require.Zero(t, callsPlaced(pl, t0.Add(time.Second)))
}

// Guards against an upstream that counts as cold again because its unchanged entry has
// another row version after a restore of the metadata store.
func TestUnchangedEntryIsNotColdAgain(t *testing.T) {
	in := newInputs(1)
	for i := range in.Upstreams {
		in.Upstreams[i].ColdRemaining = time.Second
	}
	pl := newPlacer(in)
	at := t0.Add(time.Minute)
	require.False(t, isCold(pl, at))
	for i := range in.Upstreams {
		in.Upstreams[i].RowVersion++
	}
	pl.SetInputs(at, in)
	require.False(t, isCold(pl, at))
}

func isCold(pl *Placer, now time.Time) bool {
	const callsPerSecond = 1000
	_, cold := pl.upstreams[restricted].gate.Full(now, callsPerSecond)
	return cold
}
