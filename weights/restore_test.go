package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
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
