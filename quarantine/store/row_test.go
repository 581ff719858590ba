package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/quarantine"
)

// Guards against a row whose size grows with the number of parts or with their names, and
// against quarantines that are read long after the time of their trial.
func TestRowIsBounded(t *testing.T) {
	bad := quarantine.Part{Model: "m", ID: "bad"}
	now := time.Now()
	c := newContent(fleet.StoreResponse{Now: time.Hour})
	states := []quarantine.State{
		{Part: bad, Version: 5, Until: now},
		{Part: quarantine.Part{Model: "m", ID: core.PartID(make([]byte, maxNameBytes))}, Version: 7, Until: now},
	}
	for i := range 10 * maxParts {
		states = append(states, quarantine.State{Part: quarantine.Part{Model: "m", ID: core.PartID(fmt.Sprint(i))}, Version: 1, Until: now})
	}
	require.True(t, c.apply(now, states))
	tx, err := c.transaction()
	require.NoError(t, err)
	require.LessOrEqual(t, len(tx.Puts[0].Value), maxParts*(maxNameBytes+32))
	stored := fleet.StoreResponse{Now: time.Hour, Rows: []fleet.Row{{Table: table, Key: tx.Puts[0].Key, Value: tx.Puts[0].Value, Version: 1}}}
	read := newContent(stored)
	require.Len(t, read.entries, maxParts)
	require.EqualValues(t, 5, read.entries[bad].version, "the part with failed trials remains")
	stored.Now += retention + time.Second
	expired := newContent(stored)
	require.Empty(t, expired.entries)
	require.True(t, expired.apply(now, []quarantine.State{{Part: bad, Version: 6}}), "expired parts are removed with the next change")
	tx, err = expired.transaction()
	require.NoError(t, err)
	require.Empty(t, tx.Puts)
	require.Len(t, tx.Removes, 1)
}

// Guards against a quarantine without end because the clock of the store has begun again.
func TestWaitForTrialIsBounded(t *testing.T) {
	now := time.Now()
	c := newContent(fleet.StoreResponse{Now: 100 * time.Hour})
	part := quarantine.Part{Model: "m", ID: "bad"}
	require.True(t, c.apply(now, []quarantine.State{{Part: part, Version: 1, Until: now.Add(time.Minute)}}))
	require.WithinDuration(t, now.Add(time.Minute), c.states(now)[0].Until, 0)
	c.storeNow = 0
	require.WithinDuration(t, now.Add(maxWait), c.states(now)[0].Until, 0)
}
