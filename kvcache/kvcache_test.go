package kvcache_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/kvcache"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "8", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func key(i int) core.BlockKey { return core.BlockKey{byte(i), byte(i >> 8)} }

func keyRange(from, to int) []core.BlockKey {
	var keys []core.BlockKey
	for i := from; i < to; i++ {
		keys = append(keys, key(i))
	}
	return keys
}

// Guards against a block that the index reports as present although the last
// event that it has seen about it says otherwise, in any order of events.
func TestIndexReportsOnlyStoredBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const blocks = 4
		index := kvcache.NewIndex(64)
		events := make(map[uint64]kvcache.Event)
		lastSeq := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			e := kvcache.Event{Seq: rapid.Uint64Range(max(lastSeq, 4)-3, lastSeq+2).Draw(t, "seq")}
			if old, ok := events[e.Seq]; ok {
				e = old // a repeated event has the same content
			} else {
				e.Kind = kvcache.EventKind(rapid.IntRange(1, 3).Draw(t, "kind"))
				first := rapid.IntRange(0, blocks-1).Draw(t, "first")
				e.Keys = keyRange(first, first+1)
			}
			index.Apply(e)
			events[e.Seq] = e
			lastSeq = max(lastSeq, e.Seq)
			for b := range blocks {
				if index.PrefixLength(keyRange(b, b+1)) == 1 {
					requireLastEventStored(t, events, lastSeq, key(b))
				}
			}
		}
	})
}

// Guards against a gap that leaves the oldest blocks trusted, or that makes all
// of them doubtful when few events were lost.
func TestIndexGapMakesOldestBlocksUntrusted(t *testing.T) {
	for lostEvents, untrusted := range map[uint64]int{1: 1, 2: 1, 4: 2, 8: 4, 16: 8, 31: 15, 32: 16, 100: 16} {
		index := kvcache.NewIndex(64)
		for i := range 16 {
			index.Apply(kvcache.Event{Seq: uint64(i + 1), Kind: kvcache.EventStored, Keys: keyRange(i, i+1)})
		}
		index.Apply(kvcache.Event{Seq: 17 + lostEvents, Kind: kvcache.EventStored, Keys: keyRange(20, 21)})
		for i := range 16 {
			require.Equal(t, i >= untrusted, index.PrefixLength(keyRange(i, i+1)) == 1, "lost %d block %d", lostEvents, i)
		}
		require.Equal(t, 1, index.PrefixLength(keyRange(20, 21)))
	}
}

// requireLastEventStored walks back from the newest event: it must meet a store of
// the block before a removal.
func requireLastEventStored(t *rapid.T, events map[uint64]kvcache.Event, lastSeq uint64, key core.BlockKey) {
	for seq := lastSeq; ; seq-- {
		e, ok := events[seq]
		if !ok {
			require.NotZero(t, seq, "the block was never stored")
			continue
		}
		require.NotEqual(t, kvcache.EventCleared, e.Kind)
		if e.Keys[0] == key {
			require.Equal(t, kvcache.EventStored, e.Kind)
			return
		}
	}
}

// Guards against blocks that stay known after the engine has lost its cache,
// and against an index that grows without bound.
func TestIndexResetsOnNewEpochAndIsBounded(t *testing.T) {
	index := kvcache.NewIndex(8)
	index.Apply(kvcache.Event{Seq: 1, Kind: kvcache.EventStored, Keys: keyRange(0, 3)})
	require.Equal(t, 3, index.PrefixLength(keyRange(0, 5)))
	index.RecordGap(kvcache.UnknownGap)
	require.Zero(t, index.PrefixLength(keyRange(0, 5)))
	index.Confirm(keyRange(0, 2))
	require.Equal(t, 2, index.PrefixLength(keyRange(0, 5)))
	index.Confirm(keyRange(10, 18))
	require.Zero(t, index.PrefixLength(keyRange(0, 5)), "the limit makes room for newer blocks")
	require.True(t, index.Reset(7))
	require.False(t, index.Reset(7))
	require.Zero(t, index.PrefixLength(keyRange(10, 18)))
}

// Guards against a commit that happens twice, before all its pieces are
// verified, or beyond the first failed piece, in any order of results.
func TestImportCommitsVerifiedPrefixOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieceCount := rapid.IntRange(0, 8).Draw(t, "pieces")
		fails := rapid.SliceOfN(rapid.Bool(), pieceCount, pieceCount).Draw(t, "fails")
		stopAfter := rapid.IntRange(0, 12).Draw(t, "stop")
		job := kvcache.NewImportState(pieceCount, rapid.IntRange(1, 3).Draw(t, "width"))
		var pending []int
		verified := make(map[int]bool)
		commits := 0
		for step := range 100 {
			if step == stopAfter {
				job.StopFetching()
			}
			next, piece := job.Next()
			switch next {
			case kvcache.StepTransferPiece:
				pending = append(pending, piece)
			case kvcache.StepWait:
				require.NotEmpty(t, pending, "the job waits for nothing")
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "result")
				piece = pending[i]
				pending = append(pending[:i], pending[i+1:]...)
				verified[piece] = !fails[piece]
				job.RecordPiece(piece, !fails[piece])
			case kvcache.StepCommit:
				commits++
				require.Empty(t, pending)
				for i := range job.VerifiedPieces() {
					require.True(t, verified[i], "piece %d", i)
				}
				job.RecordCommit(rapid.Bool().Draw(t, "committed"))
			case kvcache.StepDone:
				require.LessOrEqual(t, commits, 1)
				require.LessOrEqual(t, job.CommittedPieces(), job.VerifiedPieces())
				return
			}
		}
		require.Fail(t, "the job does not end")
	})
}

// Guards against a manifest that is written before its pieces or after one of
// them failed.
func TestExportWritesManifestLast(t *testing.T) {
	cases := map[string]struct {
		pieces     []bool
		manifest   bool
		wantCommit bool
		want       bool
	}{
		"complete":      {[]bool{true, true}, true, true, true},
		"lost manifest": {[]bool{true, true}, false, true, false},
		"failed piece":  {[]bool{true, false, true}, true, false, false},
		"nothing":       {nil, true, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			job := kvcache.NewExportState(len(tc.pieces))
			committed := false
			for next, piece := job.Next(); next != kvcache.StepDone; next, piece = job.Next() {
				if next == kvcache.StepCommit {
					committed = true
					job.RecordManifest(tc.manifest)
					continue
				}
				require.False(t, committed)
				job.RecordPiece(tc.pieces[piece])
			}
			require.Equal(t, tc.wantCommit, committed)
			require.Equal(t, tc.want, job.ManifestWritten())
		})
	}
}

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// Guards against keeping prefixes that rarely return, that are old, or that
// cost much to move, in place of better ones; and against dropping pinned ones.
func TestPrefixSetEvictsLowestValue(t *testing.T) {
	history := kvcache.NewHistory(100)
	history.RecordUse(keyRange(1, 2), now.Add(-48*time.Hour)) // old
	for range 5 {
		history.RecordUse(keyRange(2, 3), now.Add(-time.Hour)) // returns often
	}
	history.RecordUse(keyRange(3, 4), now) // costly
	history.RecordUse(keyRange(4, 5), now) // fresh
	newPrefix := func(i, transferBytes int) kvcache.Prefix {
		return kvcache.Prefix{Keys: keyRange(i, i+1), SavedPromptBytes: 512, TransferBytes: transferBytes}
	}
	newFullSet := func(limit int) *kvcache.PrefixSet {
		r := kvcache.NewPrefixSet(limit, history)
		for i, moved := range []int{100, 100, 1000, 100} {
			r.Add(newPrefix(i+1, moved), now, nil)
		}
		return r
	}
	var sorted []core.BlockKey
	for _, c := range newFullSet(4).SortedByValue(now) {
		sorted = append(sorted, c.LastKey())
	}
	require.Equal(t, []core.BlockKey{key(2), key(4), key(1), key(3)}, sorted)
	pins := kvcache.Pins{}
	pins.Pin(key(3))
	prefixes := newFullSet(4)
	prefixes.Add(kvcache.Prefix{Keys: keyRange(0, 2), SavedPromptBytes: 1 << 20, TransferBytes: 1}, now, pins)
	require.Equal(t, 4, prefixes.Len())
	require.False(t, prefixes.Remove(key(9)))
	removed := kvcache.Prefix{Keys: keyRange(0, 3)}
	require.True(t, prefixes.Remove(key(1)))
	require.Equal(t, keyRange(0, 2), prefixes.UnsharedKeys(removed), "block 2 belongs to another prefix")
	removed, ok := newFullSet(4).EvictLowest(now, pins)
	require.True(t, ok)
	require.Equal(t, key(1), removed.LastKey())
	require.Equal(t, 2, newFullSet(2).Len())
	require.Equal(t, 2, history.RecordUse(keyRange(2, 4), now), "both blocks were used before")
}

// Guards against imports that are slower than recomputation, late for the
// deadline, or in the way of urgent ones.
func TestWorthImporting(t *testing.T) {
	base := kvcache.ImportEstimate{TransferBytes: 100_000, SavedPromptBytes: 100_000, PrefillRate: 50_000, TimeLeft: time.Minute}
	cases := map[string]struct {
		rate   float64
		urgent int
		change func(*kvcache.ImportEstimate)
		want   bool
	}{
		"fast link":                  {1e6, 0, nil, true},
		"slow link":                  {1e4, 0, nil, false},
		"no clear gain":              {55_000, 0, nil, false},
		"deferrable on equal time":   {55_000, 0, func(q *kvcache.ImportEstimate) { q.Class = core.Deferrable }, true},
		"deferrable behind urgent":   {1e6, 1, func(q *kvcache.ImportEstimate) { q.Class = core.Deferrable }, false},
		"queue makes it too slow":    {1e5, 100_000, nil, false},
		"nothing saved":              {1e6, 0, func(q *kvcache.ImportEstimate) { q.SavedPromptBytes = 0 }, false},
		"deadline before the import": {1e6, 0, func(q *kvcache.ImportEstimate) { q.TimeLeft = 50 * time.Millisecond }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			budget := kvcache.NewLinkBudget(tc.rate)
			if tc.urgent > 0 {
				budget.StartUrgent(tc.urgent)
			}
			estimate := base
			if tc.change != nil {
				tc.change(&estimate)
			}
			require.Equal(t, tc.want, budget.WorthImporting(estimate))
		})
	}
}

// Guards against background transfers that take more than their share or run
// beside urgent ones, and against a rate that does not follow the link.
func TestLinkBudget(t *testing.T) {
	b := kvcache.NewLinkBudget(1000)
	require.Zero(t, b.ReserveBackground(now, 500))
	require.Equal(t, time.Second, b.ReserveBackground(now, 500))
	later := now.Add(time.Second)
	b.StartUrgent(2000)
	require.Equal(t, 2*time.Second, b.ReserveBackground(later, 500))
	b.FinishUrgent(2000)
	require.Zero(t, b.ReserveBackground(later, 500))
	for range 30 {
		b.RecordTransfer(now, 100, time.Second)
	}
	require.InDelta(t, 100, b.Rate(), 1)
	require.Zero(t, b.FreeRate(now))
	require.InDelta(t, 100, b.FreeRate(now.Add(time.Minute)), 1)
	b.RecordFailure(now, 0, time.Second)
	require.Less(t, b.Rate(), 75.0)
	b.ExpireRate(now.Add(time.Second))
	require.Less(t, b.Rate(), 75.0)
	b.ExpireRate(now.Add(time.Minute))
	require.InDelta(t, 1000, b.Rate(), 1, "a slow link is tried again")
}

// Guards against a lost store that moves prompts of the other stores.
func TestLostStoreReassignsOnlyItsPrompts(t *testing.T) {
	all := []string{"kept-1", "kept-2", "kept-3"}
	count := make(map[string]int)
	for i := range 3000 {
		salt := fmt.Sprint("salt", i%7)
		ranked := kvcache.RankStores(salt, key(i), all)
		count[ranked[0]]++
		without := kvcache.RankStores(salt, key(i), []string{ranked[0], ranked[2]})
		require.Equal(t, []string{ranked[0], ranked[2]}, without)
	}
	for store, n := range count {
		require.InDelta(t, 1000, n, 100, store)
	}
}
