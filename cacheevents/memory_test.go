package cacheevents

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/wire"
)

// Guards against a store that reports parts without end, which exhaust the memory of the
// relay since each is recorded, and against a relay that then has nothing of sound stores.
func TestRelayBoundsPartsWithoutEnd(t *testing.T) {
	const (
		memoryBytes   = 16 << 20 // an eighth of the memory that a node may spend for control
		updates       = 400
		partsOfUpdate = 500
	)
	t0 := time.Unix(1000, 0)
	r := NewRelay(7)
	r.apply(Update{Address: "faulty", ReceivedAt: t0, Epoch: 1, IsSnapshot: true})
	before := liveHeapBytes()
	filler := strings.Repeat("x", 200)
	for i := range updates {
		parts := make([]cacheindex.CachedPart, partsOfUpdate)
		for j := range parts {
			parts[j] = cacheindex.CachedPart{Key: cacheindex.Key{Salt: "s", ID: core.PartID(fmt.Sprint(filler, i, "-", j))}, Tokens: 1}
		}
		r.apply(Update{Address: "faulty", ReceivedAt: t0, Epoch: 1, Parts: parts})
	}
	held := liveHeapBytes() - before
	r.apply(Update{Address: storeAddr, ReceivedAt: t0, Epoch: 1, IsSnapshot: true, Parts: cachedParts("a")})
	reply := r.replyTo(t0, &wire.CacheRequest{Address: storeAddr})
	require.Equal(t, []string{"a"}, ids(reply.Held))
	require.LessOrEqual(t, held, int64(memoryBytes))
	runtime.KeepAlive(r)
}

// liveHeapBytes returns the memory of the objects that are in use.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
