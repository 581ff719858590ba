package store_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/platform"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/quarantine/store"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/wire"
)

const timeout = 10 * time.Second

// rowKey returns the key of the row of a generation.
func rowKey(generation core.Generation) string { return fmt.Sprintf("parts/%d", generation) }

var bad = quarantine.Part{Model: "m", ID: "bad"}

func newStore(t *testing.T) (*standin.PlatformStore, *platform.MetadataStore) {
	t.Helper()
	stand := standin.NewPlatformStore()
	server := httptest.NewUnstartedServer(stand)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		stand.Close()
	})
	return stand, platform.NewMetadataStore(server.Listener.Addr().String())
}

// startKeeper starts the duty of a process.
func startKeeper(t *testing.T, metadata fleet.Store) *store.Keeper {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	k := store.New(metadata, logger)
	group := duty.NewGroup(context.Background(), logger)
	group.Go("quarantine store", k.Run)
	t.Cleanup(func() {
		group.Stop()
		require.NoError(t, group.Wait())
	})
	return k
}

// readAtStart returns what a process that starts now reads.
func readAtStart(t *testing.T, metadata fleet.Store) []quarantine.State {
	t.Helper()
	k := startKeeper(t, metadata)
	k.AwaitFirstRead(t.Context(), timeout)
	states, _ := k.Stored().TryReceive()
	return states
}

func change(part quarantine.Part, version uint32, until time.Time, rank int) store.Change {
	return store.Change{Change: quarantine.Change{State: quarantine.State{Part: part, Version: version, Until: until}, Rank: rank}}
}

// storedParts returns the content of the row of a generation.
func storedParts(t *testing.T, stand *standin.PlatformStore, generation core.Generation) []*wire.StoredQuarantine {
	value, ok := stand.Row("quarantines", rowKey(generation))
	if !ok {
		return nil
	}
	row := new(wire.QuarantineRow)
	require.NoError(t, proto.Unmarshal(value, row))
	return row.GetParts()
}

// Guards against a quarantine that a process does not read at its start, or with another
// time of its trial, and against a row that remains after the release.
func TestQuarantineIsReadAtStartUntilReleased(t *testing.T) {
	stand, client := newStore(t)
	writer := startKeeper(t, client)
	require.Empty(t, readAtStart(t, client))
	until := time.Now().Add(30 * time.Second)
	require.True(t, writer.Offer(change(bad, 1, until, 0)))
	require.Eventually(t, func() bool { return len(storedParts(t, stand, 0)) == 1 }, timeout, time.Millisecond)
	read := readAtStart(t, client)
	require.Len(t, read, 1)
	require.Equal(t, bad, read[0].Part)
	require.EqualValues(t, 1, read[0].Version)
	require.WithinDuration(t, until, read[0].Until, 2*time.Second)

	require.True(t, writer.Offer(change(bad, 3, until.Add(time.Minute), 0)))
	require.Eventually(t, func() bool { return readAtStart(t, client)[0].Version == 3 }, timeout, 10*time.Millisecond)
	require.True(t, writer.Offer(change(bad, 4, until, 0)))
	require.Eventually(t, func() bool { _, ok := stand.Row("quarantines", rowKey(0)); return !ok }, timeout, time.Millisecond)
	require.Empty(t, readAtStart(t, client))
}

// Guards against a start that waits for a store that is away, and against quarantines that
// are neither read nor written when it is back.
func TestStoreIsAwayAtStart(t *testing.T) {
	stand, client := newStore(t)
	first := startKeeper(t, client)
	require.True(t, first.Offer(change(bad, 1, time.Now().Add(time.Minute), 0)))
	require.Eventually(t, func() bool { return len(storedParts(t, stand, 0)) == 1 }, timeout, time.Millisecond)
	stand.SetDark(true)
	k := startKeeper(t, client)
	k.AwaitFirstRead(t.Context(), timeout)
	require.Zero(t, k.Stored().Len())
	other := quarantine.Part{Model: "m", ID: "other"}
	require.True(t, k.Offer(change(other, 1, time.Now().Add(time.Minute), 0)))
	stand.SetDark(false)
	require.Eventually(t, func() bool { return k.Stored().Len() > 0 }, timeout, time.Millisecond)
	require.Eventually(t, func() bool { return len(storedParts(t, stand, 0)) == 2 }, timeout, time.Millisecond)
}

// Guards against processes that remove what others write at the same time.
func TestConcurrentWritersKeepAllParts(t *testing.T) {
	const writers, parts = 4, 6
	stand, client := newStore(t)
	for w := range writers {
		k := startKeeper(t, client)
		for i := range parts {
			part := quarantine.Part{Model: "m", ID: core.PartID(fmt.Sprintf("%d-%d", w, i))}
			require.True(t, k.Offer(change(part, 1, time.Now().Add(time.Minute), 0)))
		}
	}
	require.Eventually(t, func() bool { return len(storedParts(t, stand, 0)) == writers*parts }, timeout, time.Millisecond)
}

// countingStore counts calls of the store.
type countingStore struct {
	fleet.Store
	reads, writes atomic.Int32
}

// Rows implements fleet.Store.
func (s *countingStore) Rows(ctx context.Context, table fleet.Table) (fleet.StoreResponse, error) {
	defer s.reads.Add(1)
	return s.Store.Rows(ctx, table)
}

// Commit implements fleet.Store.
func (s *countingStore) Commit(ctx context.Context, tx fleet.Transaction) (fleet.StoreResponse, error) {
	s.writes.Add(1)
	return s.Store.Commit(ctx, tx)
}

// Guards against a change that each process which knows it writes, and against calls of
// the store without a change.
func TestOneProcessWritesChange(t *testing.T) {
	const writers = 3
	stand, client := newStore(t)
	counted := &countingStore{Store: client}
	var keepers []*store.Keeper
	for range writers {
		k := startKeeper(t, counted)
		k.AwaitFirstRead(t.Context(), timeout)
		keepers = append(keepers, k)
	}
	require.EqualValues(t, writers, counted.reads.Load())
	until := time.Now().Add(time.Minute)
	for rank, k := range keepers {
		require.True(t, k.Offer(change(bad, 1, until, rank)))
	}
	require.Eventually(t, func() bool { return counted.reads.Load() == 2*writers }, timeout, time.Millisecond)
	for rank, k := range keepers {
		require.True(t, k.Offer(change(bad, 1, until, rank)))
	}
	require.Never(t, func() bool { return counted.reads.Load() > 2*writers || counted.writes.Load() > 1 }, 500*time.Millisecond, 10*time.Millisecond)
	require.Len(t, storedParts(t, stand, 0), 1)
}

// Guards against a late write of an older generation of the store that changes the row of
// the present one, against rows that accumulate with restores, and against a quarantine
// that is lost because the store was restored from a copy without it.
func TestQuarantinesAfterRestore(t *testing.T) {
	const restores = 3
	stand, client := newStore(t)
	until := time.Now().Add(time.Minute)
	k := startKeeper(t, client)
	require.True(t, k.Offer(change(bad, 1, until, 0)))
	require.Eventually(t, func() bool { return len(storedParts(t, stand, 0)) == 1 }, timeout, time.Millisecond)
	page, err := client.Rows(t.Context(), "quarantines")
	require.NoError(t, err)
	written := page.Rows[0]
	late := fleet.Transaction{Conditions: []fleet.Row{written}, Removes: []fleet.Row{written}}

	stand.Restore(stand.Copy())
	require.Len(t, readAtStart(t, client), 1, "the copy has the row of the older generation")
	for generation := core.Generation(1); generation <= restores; generation++ {
		again := change(bad, 1, until, 0)
		again.Generation = generation
		require.True(t, k.Offer(again))
		other := change(quarantine.Part{Model: "m", ID: core.PartID(fmt.Sprint(generation))}, 1, until, 0)
		other.Generation = generation
		require.True(t, k.Offer(other))
		require.Eventually(t, func() bool { return len(storedParts(t, stand, generation)) == int(generation)+1 }, timeout, time.Millisecond)
		_, _ = client.Commit(t.Context(), late) // it may take effect on a row that nobody reads
		require.Len(t, readAtStart(t, client), int(generation)+1)
		page, err = client.Rows(t.Context(), "quarantines")
		require.NoError(t, err)
		require.Len(t, page.Rows, 1)
		stand.Restore(stand.Copy())
	}
}
