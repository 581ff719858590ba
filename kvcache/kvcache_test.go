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

// Guards against an index that reports a block as present although the newest event
// about the block, or a later clear event, removed it. Events arrive in any order, with
// gaps and repetitions.
func TestIndexReportsOnlyStoredBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const blocks = 4
		index := kvcache.NewIndex(64)
		events := make(map[uint64]kvcache.Event)
		lastSeq := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			e := kvcache.Event{Seq: rapid.Uint64Range(max(lastSeq, 4)-3, lastSeq+2).Draw(t, "seq")}
			if old, ok := events[e.Seq]; ok {
				e = old // a repeated sequence number has the same event
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

// Guards against a gap after which the oldest blocks are still trusted, or after which
// all blocks are untrusted although few events were lost.
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

// requireLastEventStored walks back from the newest event. It requires that the first
// event found about the block stored it and that no clear event comes after that one.
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

// Guards against blocks that still count as present after the engine has lost its
// cache, and against an index that grows without limit.
func TestIndexResetsOnNewEpochAndIsBounded(t *testing.T) {
	index := kvcache.NewIndex(8)
	index.Apply(kvcache.Event{Seq: 1, Kind: kvcache.EventStored, Keys: keyRange(0, 3)})
	require.Equal(t, 3, index.PrefixLength(keyRange(0, 5)))
	index.RecordGap(kvcache.UnknownGap)
	require.Zero(t, index.PrefixLength(keyRange(0, 5)))
	index.Confirm(keyRange(0, 2))
	require.Equal(t, 2, index.PrefixLength(keyRange(0, 5)))
	index.Confirm(keyRange(10, 18))
	require.Zero(t, index.PrefixLength(keyRange(0, 5)), "newer blocks replace older ones at the limit")
	require.True(t, index.Reset(7))
	require.False(t, index.Reset(7))
	require.Zero(t, index.PrefixLength(keyRange(10, 18)))
}

// Guards against an import that commits twice, before all its pieces are verified, or
// beyond the first failed piece. Results arrive in any order.
func TestImportCommitsVerifiedPrefixOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieceCount := rapid.IntRange(0, 8).Draw(t, "pieces")
		fails := rapid.SliceOfN(rapid.Bool(), pieceCount, pieceCount).Draw(t, "fails")
		stopAfter := rapid.IntRange(0, 12).Draw(t, "stop")
		state := kvcache.NewImportState(pieceCount, rapid.IntRange(1, 3).Draw(t, "width"))
		var pending []int
		verified := make(map[int]bool)
		commits := 0
		for step := range 100 {
			if step == stopAfter {
				state.StopFetching()
			}
			next, piece := state.Next()
			switch next {
			case kvcache.StepTransferPiece:
				pending = append(pending, piece)
			case kvcache.StepWait:
				require.NotEmpty(t, pending, "the import waits without a fetch in progress")
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "result")
				piece = pending[i]
				pending = append(pending[:i], pending[i+1:]...)
				verified[piece] = !fails[piece]
				state.RecordPiece(piece, !fails[piece])
			case kvcache.StepCommit:
				commits++
				require.Empty(t, pending)
				for i := range state.VerifiedPieces() {
					require.True(t, verified[i], "piece %d", i)
				}
				state.RecordCommit(rapid.Bool().Draw(t, "committed"))
			case kvcache.StepDone:
				require.LessOrEqual(t, commits, 1)
				require.LessOrEqual(t, state.CommittedPieces(), state.VerifiedPieces())
				return
			}
		}
		require.Fail(t, "the import does not finish within 100 steps")
	})
}

// Guards against a manifest that is written before its pieces or after the failure of a
// piece.
func TestExportWritesManifestLast(t *testing.T) {
	cases := map[string]struct {
		pieceResults        []bool
		manifestResult      bool
		wantCommit          bool
		wantManifestWritten bool
	}{
		"complete":      {[]bool{true, true}, true, true, true},
		"lost manifest": {[]bool{true, true}, false, true, false},
		"failed piece":  {[]bool{true, false, true}, true, false, false},
		"nothing":       {nil, true, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			state := kvcache.NewExportState(len(tc.pieceResults))
			committed := false
			for next, piece := state.Next(); next != kvcache.StepDone; next, piece = state.Next() {
				if next == kvcache.StepCommit {
					committed = true
					state.RecordManifest(tc.manifestResult)
					continue
				}
				require.False(t, committed)
				state.RecordPiece(tc.pieceResults[piece])
			}
			require.Equal(t, tc.wantCommit, committed)
			require.Equal(t, tc.wantManifestWritten, state.ManifestWritten())
		})
	}
}

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// Guards against evicting a prefix of higher value in favor of one that rarely returns,
// is old, or is expensive to transfer, and against evicting a pinned prefix.
func TestPrefixSetEvictsLowestValue(t *testing.T) {
	history := kvcache.NewHistory(100)
	history.RecordUse(keyRange(1, 2), now.Add(-48*time.Hour)) // not used for two days
	for range 5 {
		history.RecordUse(keyRange(2, 3), now.Add(-time.Hour)) // returns often
	}
	history.RecordUse(keyRange(3, 4), now) // expensive to transfer
	history.RecordUse(keyRange(4, 5), now) // just used
	newPrefix := func(i, transferBytes int) kvcache.Prefix {
		return kvcache.Prefix{Keys: keyRange(i, i+1), SavedPromptBytes: 512, TransferBytes: transferBytes}
	}
	newFullSet := func(limit int) *kvcache.PrefixSet {
		set := kvcache.NewPrefixSet(limit, history)
		for i, transferBytes := range []int{100, 100, 1000, 100} {
			set.Add(newPrefix(i+1, transferBytes), now, nil)
		}
		return set
	}
	var sorted []core.BlockKey
	for _, p := range newFullSet(4).SortedByValue(now) {
		sorted = append(sorted, p.LastKey())
	}
	require.Equal(t, []core.BlockKey{key(2), key(4), key(1), key(3)}, sorted)
	pins := kvcache.Pins{}
	pins.Pin(key(3))
	prefixes := newFullSet(4)
	// Replaces the prefix with the same last key, key(1), without an eviction.
	prefixes.Add(kvcache.Prefix{Keys: keyRange(0, 2), SavedPromptBytes: 1 << 20, TransferBytes: 1}, now, pins)
	require.Equal(t, 4, prefixes.Len())
	require.False(t, prefixes.Remove(key(9)))
	prefix := kvcache.Prefix{Keys: keyRange(0, 3)}
	require.True(t, prefixes.Remove(key(1)))
	require.Equal(t, keyRange(0, 2), prefixes.UnsharedKeys(prefix), "block 2 is in another prefix")
	prefix, ok := newFullSet(4).EvictLowest(now, pins)
	require.True(t, ok)
	require.Equal(t, key(1), prefix.LastKey())
	require.Equal(t, 2, newFullSet(2).Len())
	require.Equal(t, 2, history.RecordUse(keyRange(2, 4), now), "both blocks were used before")
}

// Guards against imports that are slower than recomputation, that finish after the
// deadline, or that delay urgent transfers.
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
		"deferrable on equal time":   {55_000, 0, func(e *kvcache.ImportEstimate) { e.Class = core.Deferrable }, true},
		"deferrable behind urgent":   {1e6, 1, func(e *kvcache.ImportEstimate) { e.Class = core.Deferrable }, false},
		"queue makes it too slow":    {1e5, 100_000, nil, false},
		"nothing saved":              {1e6, 0, func(e *kvcache.ImportEstimate) { e.SavedPromptBytes = 0 }, false},
		"deadline before the import": {1e6, 0, func(e *kvcache.ImportEstimate) { e.TimeLeft = 50 * time.Millisecond }, false},
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

// Guards against background transfers that exceed their share of the link or run during
// urgent transfers, and against a rate that does not adapt to the link.
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
	require.InDelta(t, 1000, b.Rate(), 1, "the measured rate of a slow link expires")
}

// Guards against a store loss that changes the store of prompts on other stores.
func TestLostStoreReassignsOnlyItsPrompts(t *testing.T) {
	all := []string{"kept-1", "kept-2", "kept-3"}
	count := make(map[string]int)
	for i := range 3000 {
		salt := fmt.Sprint("salt", i%7)
		ranked := kvcache.RankStores(salt, key(i), all)
		count[ranked[0]]++
		rankedWithoutSecond := kvcache.RankStores(salt, key(i), []string{ranked[0], ranked[2]})
		require.Equal(t, []string{ranked[0], ranked[2]}, rankedWithoutSecond)
	}
	for store, n := range count {
		require.InDelta(t, 1000, n, 100, store)
	}
}
