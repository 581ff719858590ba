// Package kvcache decides what is kept of the engines' KV cache and when it is
// moved. It performs no I/O and reads no clock.
package kvcache

import (
	"maps"

	"waxwingtide.example/waxwingtide/core"
)

// EventKind is what a cache event reports about its blocks.
type EventKind uint8

// Kinds of cache event.
const (
	EventStored EventKind = iota + 1
	EventRemoved
	EventCleared
)

// Event is one cache event of an engine.
type Event struct {
	Seq  uint64
	Kind EventKind
	Keys []core.BlockKey
}

// Index knows which blocks an engine holds, as far as its cache events tell. A
// block whose state is unknown counts as absent. Either error only costs time:
// a block wrongly taken as absent a transfer, one wrongly taken as present
// recomputation, since the engine looks into its own cache.
type Index struct {
	maxBlocks int
	epoch     uint64
	lastSeq   uint64
	// confirmedSeqs holds the sequence number at which each block was last known to
	// be present. Numbers up to doubt are outdated by a gap.
	confirmedSeqs map[core.BlockKey]uint64
	untrustedSeq  uint64
	gapCount      uint64
}

// NewIndex returns an empty index for at most limit blocks.
func NewIndex(limit int) *Index {
	return &Index{maxBlocks: max(limit, 1), confirmedSeqs: make(map[core.BlockKey]uint64)}
}

// Position returns the cache epoch and the last sequence number applied.
func (x *Index) Position() (epoch, seq uint64) { return x.epoch, x.lastSeq }

// GapCount returns how many gaps in the sequence numbers were seen.
func (x *Index) GapCount() uint64 { return x.gapCount }

// Reset forgets all blocks when the cache epoch differs from the known one,
// and reports whether it did.
func (x *Index) Reset(epoch uint64) bool {
	if epoch == x.epoch {
		return false
	}
	x.epoch, x.lastSeq, x.untrustedSeq = epoch, 0, 0
	clear(x.confirmedSeqs)
	return true
}

// gapShare is the part of the known sequence numbers that one lost event makes
// doubtful. Engines evict the blocks that were used longest ago, so a lost
// removal concerns the oldest part. When a gap made all blocks doubtful, an
// engine that lost one event in twenty had nearly every returning prompt
// transferred again; an eighth still transferred three prompts in four.
const gapDivisor = 32

// UnknownGap is a gap of unknown size.
const UnknownGap = gapDivisor

// Apply applies one event. A gap makes the oldest blocks doubtful. Of a
// late event only a removal counts, because a newer one may have removed what
// the late one reports as stored.
func (x *Index) Apply(e Event) {
	late := e.Seq <= x.lastSeq
	if !late {
		if e.Seq > x.lastSeq+1 && len(x.confirmedSeqs) > 0 {
			x.RecordGap(e.Seq - x.lastSeq - 1)
		}
		x.lastSeq = e.Seq
	}
	switch {
	case e.Kind == EventCleared && !late:
		clear(x.confirmedSeqs)
	case e.Kind == EventCleared:
		maps.DeleteFunc(x.confirmedSeqs, func(_ core.BlockKey, seq uint64) bool { return seq <= e.Seq })
	case e.Kind == EventRemoved:
		for _, key := range e.Keys {
			delete(x.confirmedSeqs, key)
		}
	case e.Kind == EventStored && !late:
		x.Confirm(e.Keys)
	}
}

// RecordGap makes the blocks that were confirmed longest ago doubtful, a share of the
// sequence numbers of the blocks still trusted for each lost event; gapShare
// lost events or more make all doubtful.
func (x *Index) RecordGap(lostEvents uint64) {
	x.gapCount++
	if lostEvents >= gapDivisor {
		x.untrustedSeq = max(x.lastSeq, x.untrustedSeq+1)
		return
	}
	oldestTrusted := max(x.lastSeq, 1)
	for _, seq := range x.confirmedSeqs {
		if seq > x.untrustedSeq {
			oldestTrusted = min(oldestTrusted, seq)
		}
	}
	span := x.lastSeq + 1 - oldestTrusted
	x.untrustedSeq = max(x.untrustedSeq+1, oldestTrusted-1+max(1, span*lostEvents/gapDivisor))
}

// Confirm records blocks as present, for example because a run has reported
// them as cached.
func (x *Index) Confirm(keys []core.BlockKey) {
	if len(x.confirmedSeqs)+len(keys) > x.maxBlocks {
		maps.DeleteFunc(x.confirmedSeqs, func(_ core.BlockKey, seq uint64) bool { return seq <= x.untrustedSeq })
	}
	if len(x.confirmedSeqs)+len(keys) > x.maxBlocks {
		clear(x.confirmedSeqs)
	}
	for _, key := range keys[:min(len(keys), x.maxBlocks)] {
		x.confirmedSeqs[key] = max(x.lastSeq, x.untrustedSeq+1)
	}
}

// PrefixLength returns how many of the keys, from the first on, are present.
func (x *Index) PrefixLength(keys []core.BlockKey) int {
	for i, key := range keys {
		if seq, ok := x.confirmedSeqs[key]; !ok || seq <= x.untrustedSeq {
			return i
		}
	}
	return len(keys)
}

// Pins counts the users of kept prefixes. A pinned prefix is not deleted.
type Pins map[core.BlockKey]int

// Pin adds a user of the prefix that ends with the key.
func (p Pins) Pin(key core.BlockKey) { p[key]++ }

// Unpin removes a user.
func (p Pins) Unpin(key core.BlockKey) {
	if p[key]--; p[key] <= 0 {
		delete(p, key)
	}
}

// Pinned reports whether the prefix has a user.
func (p Pins) Pinned(key core.BlockKey) bool { return p[key] > 0 }
