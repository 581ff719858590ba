package cacheindex_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
)

const (
	address = "10.0.0.1:80"
	tokens  = 500
)

var (
	t0  = time.Unix(1000, 0)
	key = cacheindex.Key{Salt: "1/m/*", ID: "p"}
)

func oneStore(capacity int) *cacheindex.Index {
	x := cacheindex.New()
	x.SetStores([]catalog.CacheStore{{Address: address, Domain: "a", CapacityTokens: capacity, LinkMbps: 1000}})
	return x
}

func parts() []cacheindex.CachedPart { return []cacheindex.CachedPart{{Key: key, Tokens: tokens}} }

func finds(x *cacheindex.Index, now time.Time) bool {
	_, ok := x.Find(now, key, tokens, "a", time.Time{})
	return ok
}

// Guards against fetching a part that is being written again after a restart of
// its store, or that a silent store may have lost.
func TestFindReturnsOnlyConfirmedParts(t *testing.T) {
	cases := map[string]struct {
		change func(x *cacheindex.Index)
		at     time.Duration
		want   bool
	}{
		"complete part":      {func(*cacheindex.Index) {}, 0, true},
		"silent store":       {func(*cacheindex.Index) {}, time.Second, false},
		"lost connection":    {func(x *cacheindex.Index) { x.MarkUnavailable(address) }, 0, false},
		"events of a reboot": {func(x *cacheindex.Index) { x.ApplyEvents(t0, address, 2, parts(), nil) }, time.Second, false},
		"content of a reboot": {func(x *cacheindex.Index) {
			x.SetContent(t0.Add(time.Second), address, 2, nil)
		}, time.Second, false},
		"removed part": {func(x *cacheindex.Index) { x.ApplyEvents(t0, address, 1, nil, []cacheindex.Key{key}) }, 0, false},
		"store no longer configured": {func(x *cacheindex.Index) {
			x.SetStores(nil)
		}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := oneStore(10_000)
			x.SetContent(t0, address, 1, parts())
			c.change(x)
			require.Equal(t, c.want, finds(x, t0.Add(c.at)))
		})
	}
}

// Guards against fetching, under older weights, a part whose writer changed its
// weights while it wrote.
func TestFindExcludesPartsStoredAfterWeightChange(t *testing.T) {
	x := oneStore(10_000)
	x.SetContent(t0, address, 1, nil)
	requestedAt := t0.Add(time.Second)
	require.True(t, x.ApplyEvents(requestedAt.Add(time.Millisecond), address, 1, parts(), nil))
	at := requestedAt.Add(2 * time.Millisecond)
	_, ok := x.Find(at, key, tokens, "a", requestedAt)
	require.False(t, ok)
	_, ok = x.Find(at, key, tokens, "a", time.Time{})
	require.True(t, ok, "under current weights the part is used")
	x.SetContent(at, address, 1, parts())
	_, ok = x.Find(at, key, tokens, "a", requestedAt)
	require.False(t, ok, "a list must not make the part look older or newer")
}

// Guards against two saves of one part, and against saves into a full store,
// which are lost and cost a transfer.
func TestAssignStoreAssignsEachSaveOnce(t *testing.T) {
	x := oneStore(1_000)
	x.SetContent(t0, address, 1, nil)
	place, ok := x.AssignStore(t0, key, tokens)
	require.True(t, ok)
	require.Equal(t, address, place)
	_, ok = x.AssignStore(t0.Add(100*time.Millisecond), key, tokens)
	require.False(t, ok, "a save is under way")
	x.ApplyEvents(t0.Add(200*time.Millisecond), address, 1, parts(), nil)
	_, ok = x.AssignStore(t0.Add(300*time.Millisecond), key, tokens)
	require.False(t, ok, "the part is there")
	_, ok = x.AssignStore(t0.Add(300*time.Millisecond), cacheindex.Key{Salt: key.Salt, ID: "q"}, tokens)
	require.False(t, ok, "the store has no capacity")
}

// Guards against a part that is never saved again after its save was interrupted.
func TestAssignStoreRetriesLostSave(t *testing.T) {
	x := oneStore(1_000)
	x.SetContent(t0, address, 1, nil)
	_, ok := x.AssignStore(t0, key, tokens)
	require.True(t, ok)
	later := t0.Add(3 * time.Second)
	x.SetContent(later, address, 1, nil)
	_, ok = x.AssignStore(later, key, tokens)
	require.True(t, ok)
}
