package cacheindex_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
)

// Guards against parts that are saved by the capacity of the stores: a small fast store stays
// nearly empty, and the links of the large slow ones carry nearly all fetches. A store that is
// empty again after a restart is filled again.
func TestFastStoresAreFilledFirst(t *testing.T) {
	const fast, slow, size = "10.0.0.1:80", "10.0.0.2:80", 100
	x := cacheindex.New()
	x.SetStores([]catalog.CacheStore{
		{Address: fast, CapacityTokens: 100 * size, LinkMbps: 3000}, {Address: slow, CapacityTokens: 900 * size, LinkMbps: 1000},
	})
	saved := func(incarnation uint64, salt string, n int) (inFast int) {
		x.SetContent(t0, fast, incarnation, nil)
		x.SetContent(t0, slow, incarnation, nil)
		for i := range n {
			key := cacheindex.Key{Salt: salt + fmt.Sprint(i), ID: "p"}
			place, ok := x.AssignStore(t0, key, size)
			require.True(t, ok, "there is room in one of the stores")
			x.ApplyEvents(t0.Add(time.Millisecond), place, incarnation, []cacheindex.CachedPart{{Key: key, Tokens: size}}, nil)
			if place == fast {
				inFast++
			}
		}
		return inFast
	}
	for incarnation := range uint64(2) {
		require.Greater(t, saved(incarnation+1, "a", 60), 30)
		require.Greater(t, saved(incarnation+10, "b", 400), 80)
	}
}
