package keeper

import (
	"bytes"
	"context"
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/wire"
)

// tableStore has the rows of the leases and refuses transactions whose conditions are not
// met.
type tableStore struct {
	rows    []fleet.Row
	refused int
}

func (s *tableStore) Rows(context.Context, fleet.Table) (fleet.StoreResponse, error) {
	return fleet.StoreResponse{Rows: s.rows, Generation: 1, Now: time.Hour}, nil
}

func (s *tableStore) Changes(context.Context, fleet.Table, uint64, time.Duration) (fleet.StoreResponse, error) {
	return fleet.StoreResponse{}, errs.New(errs.Unavailable, "", "not used")
}

func (s *tableStore) Commit(_ context.Context, tx fleet.Transaction) (fleet.StoreResponse, error) {
	version := uint64(0)
	for _, row := range s.rows {
		if row.Key == tx.Conditions[0].Key {
			version = row.Version
		}
	}
	if version != tx.Conditions[0].Version {
		s.refused++
		return fleet.StoreResponse{}, errs.New(errs.Conflict, "", "row has version %d", version)
	}
	return fleet.StoreResponse{Generation: 1}, nil
}

// oddValues are values of rows that no process of this system has written.
func oddValues(t *testing.T) map[string][]byte {
	t.Helper()
	encode := func(row *wire.LeaseRow) []byte {
		value, err := proto.Marshal(row)
		require.NoError(t, err)
		return value
	}
	return map[string][]byte{
		"no message":    []byte("{\"until\":1e999}"),
		"deep nesting":  bytes.Repeat(protowire.AppendTag(nil, 900, protowire.StartGroupType), 100_000),
		"fence":         encode(&wire.LeaseRow{Holder: "x", Fence: math.MaxUint64, UntilMs: 1}),
		"expiry":        encode(&wire.LeaseRow{Holder: "x", Fence: uint64(lease.MaxFence(0)) + 1, UntilMs: math.MaxInt64}),
		"before expiry": encode(&wire.LeaseRow{Holder: "x", Fence: uint64(lease.MaxFence(0)) + 1, UntilMs: math.MinInt64}),
	}
}

// Guards against a row that another writer has left: one that is logged at each read or
// written over in vain, that gives a lease to a second holder, or that stops other leases.
func TestOddRowCostsItsLeaseOnly(t *testing.T) {
	const gap = time.Millisecond
	for name, value := range oddValues(t) {
		for _, generation := range []uint64{0, 1} {
			log, hook := test.NewNullLogger()
			key := lease.StoreLeaseKey("odd", 1)
			if generation == 0 {
				key = lease.StoreLeaseKey("odd", 0)
			}
			store := &tableStore{rows: []fleet.Row{{Table: Table, Key: key, Value: value, Version: 3}}}
			reader := NewReader(store, log)
			acquired := make(map[string]bool)
			odd := NewContender("odd", lease.NewStoreLease(leaseConfig(gap), "a", 1), store, log)
			sound := NewContender("sound", lease.NewStoreLease(leaseConfig(gap), "a", 1), store, log)
			for range 5 {
				read, err := reader.Read(t.Context())
				require.NoError(t, err)
				acquired["odd"], err = odd.Renew(t.Context(), read, fleet.Transaction{})
				require.NoError(t, err, name)
				acquired["sound"], err = sound.Renew(t.Context(), read, fleet.Transaction{})
				require.NoError(t, err, name)
				time.Sleep(4 * gap)
			}
			// The row of an older generation says nothing about the lease of this one.
			require.Equal(t, map[string]bool{"odd": generation == 0, "sound": true}, acquired, "%s, generation %d", name, generation)
			require.Zero(t, store.refused)
			require.EqualValues(t, 1, reader.unsound.take(), name)
			require.Equal(t, 1, countEvents(hook.AllEntries(), "lease_row_unsound"), name)
		}
	}
}

func countEvents(entries []*logrus.Entry, event string) (n int) {
	for _, e := range entries {
		if e.Data["event"] == event {
			n++
		}
	}
	return n
}
