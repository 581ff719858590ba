// Package kvcache decides which prompt prefixes are exported from the engines' KV
// caches to kept-cache stores, and when they are exported and imported. It performs no
// I/O and does not read the clock.
package kvcache

import (
	"maps"

	"waxwingtide.example/waxwingtide/core"
)

// EventKind is the kind of change that a cache event reports.
type EventKind uint8

// Kinds of cache event.
const (
	EventStored EventKind = iota + 1
	EventRemoved
	EventCleared
)

// Event is a cache event of an engine.
type Event struct {
	Seq  uint64
	Kind EventKind
	Keys []core.BlockKey
}

// Index records which blocks are in the cache of an engine, based on its cache events.
// A block with an unknown state counts as absent. An error of the index affects only
// the duration of a run, because the engine checks its own cache: a present block that
// counts as absent causes a transfer, and an absent block that counts as present causes
// recomputation.
type Index struct {
	maxBlocks int
	epoch     uint64
	lastSeq   uint64
	// confirmedSeqs contains for each block the value of lastSeq when the block was
	// confirmed as present, and at least untrustedSeq+1. Blocks with numbers up to
	// untrustedSeq count as absent, because a gap in the events may have hidden their
	// removal.
	confirmedSeqs map[core.BlockKey]uint64
	untrustedSeq  uint64
	gapCount      uint64
}

// NewIndex returns an empty index for at most limit blocks.
func NewIndex(limit int) *Index {
	return &Index{maxBlocks: max(limit, 1), confirmedSeqs: make(map[core.BlockKey]uint64)}
}

// Position returns the cache epoch and the sequence number of the last event applied.
func (x *Index) Position() (epoch, seq uint64) { return x.epoch, x.lastSeq }

// GapCount returns the number of gaps recorded.
func (x *Index) GapCount() uint64 { return x.gapCount }

// Reset removes all blocks if the cache epoch has changed, and reports whether it has.
func (x *Index) Reset(epoch uint64) bool {
	if epoch == x.epoch {
		return false
	}
	x.epoch, x.lastSeq, x.untrustedSeq = epoch, 0, 0
	clear(x.confirmedSeqs)
	return true
}

// gapDivisor determines how many blocks become untrusted: each lost event affects 1/32
// of the range of trusted sequence numbers. Engines evict the least recently used
// blocks, so a lost removal most likely concerns the oldest ones. With an engine that
// lost one event in 20, making all blocks untrusted at each gap caused a transfer for
// nearly every returning prompt, and 1/8 of the range still caused one for three
// prompts in four.
const gapDivisor = 32

// UnknownGap is the number of lost events to pass to RecordGap if the number is
// unknown. It makes all blocks untrusted.
const UnknownGap = gapDivisor

// Apply applies an event. A gap before the event makes the oldest blocks untrusted. A
// late event has a sequence number that is not greater than the last one applied. A
// late stored event is ignored, because an event applied before it may have removed its
// blocks. A late removed event is applied. A late cleared event removes only the blocks
// confirmed up to its sequence number.
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

// RecordGap makes the blocks with the oldest confirmations untrusted: for each lost
// event 1/gapDivisor of the range of sequence numbers of the trusted blocks. With
// gapDivisor or more lost events all blocks become untrusted. Each gap makes at least
// one more sequence number untrusted, even if no event was applied since the gap before
// it. Confirm may have recorded blocks between the two gaps with untrustedSeq+1.
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

// Confirm records blocks as present, for example after a run has reported them as
// cached. If the index would exceed its limit, untrusted blocks are removed first, and
// all blocks if this is not enough.
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

// PrefixLength returns the number of consecutive keys, starting with the first, whose
// blocks are present.
func (x *Index) PrefixLength(keys []core.BlockKey) int {
	for i, key := range keys {
		if seq, ok := x.confirmedSeqs[key]; !ok || seq <= x.untrustedSeq {
			return i
		}
	}
	return len(keys)
}

// Pins counts the users of stored prefixes by the key of the last block. A pinned
// prefix is not evicted.
type Pins map[core.BlockKey]int

// Pin adds a user of the prefix that ends with the key.
func (p Pins) Pin(key core.BlockKey) { p[key]++ }

// Unpin removes a user of the prefix that ends with the key.
func (p Pins) Unpin(key core.BlockKey) {
	if p[key]--; p[key] <= 0 {
		delete(p, key)
	}
}

// Pinned reports whether the prefix that ends with the key has a user.
func (p Pins) Pinned(key core.BlockKey) bool { return p[key] > 0 }
