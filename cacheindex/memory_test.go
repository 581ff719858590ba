package cacheindex_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Guards against a store that reports parts without end, which exhaust the memory of the
// process since each is recorded, and against the loss of what a sound store reports.
func TestPartsWithoutEndAreBounded(t *testing.T) {
	const (
		memoryBytes   = 16 << 20 // an eighth of the memory that a node may spend for control
		reports       = 400
		partsOfReport = 500
	)
	x := cacheindex.New()
	x.SetStores([]catalog.CacheStore{
		{Address: "faulty", Domain: "a", CapacityTokens: 10_000, LinkMbps: 1000}, {Address: address, Domain: "a", CapacityTokens: 10_000, LinkMbps: 1000},
	})
	x.SetContent(t0, "faulty", 1, nil)
	x.SetContent(t0, address, 1, nil)
	before := liveHeapBytes()
	filler := strings.Repeat("x", 200)
	for i := range reports {
		added := make([]cacheindex.CachedPart, partsOfReport)
		for j := range added {
			added[j] = cacheindex.CachedPart{Key: cacheindex.Key{Salt: key.Salt, ID: core.PartID(fmt.Sprint(filler, i, "-", j))}, Tokens: 1}
		}
		x.ApplyEvents(t0, "faulty", 1, added, nil)
	}
	held := liveHeapBytes() - before
	x.ApplyEvents(t0, address, 1, parts(), nil)
	require.True(t, finds(x, t0))
	require.LessOrEqual(t, held, int64(memoryBytes))
	runtime.KeepAlive(x)
}

// liveHeapBytes returns the memory of the objects that are in use.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
