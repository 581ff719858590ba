package weights_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/platform"
	"waxwingtide.example/waxwingtide/wire"
)

// Guards against orders with a fence that another holder has used, after the store was
// restored from a copy without the lease in the middle of the loads.
func TestFencesRiseAfterRestoreDuringLoads(t *testing.T) {
	const servers, versions = 10, 4
	store, engines := newStore(servers), newEngines(servers)
	beforeLease := store.Copy()
	startLoaders(t, store, engines, "a", "b", "c")
	for version := catalog.WeightNumber(2); version <= versions; version++ {
		request := map[string]any{"model": model, "version": version}
		store.Put("op", "version/"+string(model), request)
		time.Sleep(loadTime)
		store.Restore(beforeLease)
		store.Put("op", "version/"+string(model), request)
		require.Eventually(t, func() bool {
			loaded := 0
			engines.withEngines(t.Context(), func(all map[string]*engine) {
				for _, e := range all {
					if e.version == version {
						loaded++
					}
				}
			})
			return loaded == servers
		}, timeout, 20*time.Millisecond)
	}
	holders := make(map[core.Fence]core.NodeID)
	last := core.Fence(0)
	for o, ok := engines.orders.TryReceive(); ok; o, ok = engines.orders.TryReceive() {
		if holder, used := holders[o.Fence]; used {
			require.Equal(t, holder, o.Holder)
		}
		require.GreaterOrEqual(t, o.Fence, last)
		holders[o.Fence], last = o.Holder, o.Fence
	}
	require.Greater(t, len(holders), 1, "the lease was written again after a restore")
}

// Guards against rows of the lease that accumulate, one for each restore of the store, and
// against fences that fall below those in the row of an earlier version of this software.
func TestLeaseRowsOfOlderGenerationsAreRemoved(t *testing.T) {
	const servers, restores, oldFence = 2, 3, 40
	store, engines := newStore(servers), newEngines(servers)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := platform.NewMetadataStore(server.Listener.Addr().String())
	value, err := proto.Marshal(&wire.LeaseRow{Holder: "x", Fence: oldFence})
	require.NoError(t, err)
	_, err = client.Commit(t.Context(), fleet.Transaction{Puts: []fleet.Row{{Table: "leases", Key: "weights", Value: value}}})
	require.NoError(t, err)
	startLoaders(t, store, engines, "a")
	for version := catalog.WeightNumber(2); version < 2+restores; version++ {
		store.Put("op", "version/"+string(model), map[string]any{"model": model, "version": version})
		key := lease.StoreLeaseKey("weights", core.Generation(version-2))
		require.Eventually(t, func() bool {
			page, err := client.Rows(t.Context(), "leases")
			return err == nil && len(page.Rows) == 1 && page.Rows[0].Key == key
		}, timeout, 20*time.Millisecond)
		store.Restore(store.Copy())
	}
	first, ok := engines.orders.TryReceive()
	require.True(t, ok)
	require.Greater(t, first.Fence, core.Fence(oldFence))
}
