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
	Stored EventKind = iota + 1
	Removed
	Cleared
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
	limit int
	epoch uint64
	last  uint64
	// stored holds the sequence number at which each block was last known to
	// be present. Numbers up to doubt are outdated by a gap.
	stored map[core.BlockKey]uint64
	doubt  uint64
	gaps   uint64
}

// NewIndex returns an empty index for at most limit blocks.
func NewIndex(limit int) *Index {
	return &Index{limit: max(limit, 1), stored: make(map[core.BlockKey]uint64)}
}

// Position returns the cache epoch and the last sequence number applied.
func (x *Index) Position() (epoch, seq uint64) { return x.epoch, x.last }

// Gaps returns how many gaps in the sequence numbers were seen.
func (x *Index) Gaps() uint64 { return x.gaps }

// Reset forgets all blocks when the cache epoch differs from the known one,
// and reports whether it did.
func (x *Index) Reset(epoch uint64) bool {
	if epoch == x.epoch {
		return false
	}
	x.epoch, x.last, x.doubt = epoch, 0, 0
	clear(x.stored)
	return true
}

// gapShare is the part of the known sequence numbers that one lost event makes
// doubtful. Engines evict the blocks that were used longest ago, so a lost
// removal concerns the oldest part. When a gap made all blocks doubtful, an
// engine that lost one event in twenty had nearly every returning prompt
// transferred again; an eighth still transferred three prompts in four.
const gapShare = 32

// AllLost is a gap of unknown size.
const AllLost = gapShare

// Apply applies one event. A gap makes the oldest blocks doubtful. Of a
// late event only a removal counts, because a newer one may have removed what
// the late one reports as stored.
func (x *Index) Apply(e Event) {
	late := e.Seq <= x.last
	if !late {
		if e.Seq > x.last+1 && len(x.stored) > 0 {
			x.Gap(e.Seq - x.last - 1)
		}
		x.last = e.Seq
	}
	switch {
	case e.Kind == Cleared && !late:
		clear(x.stored)
	case e.Kind == Cleared:
		maps.DeleteFunc(x.stored, func(_ core.BlockKey, seq uint64) bool { return seq <= e.Seq })
	case e.Kind == Removed:
		for _, key := range e.Keys {
			delete(x.stored, key)
		}
	case e.Kind == Stored && !late:
		x.Confirm(e.Keys)
	}
}

// Gap makes the blocks that were confirmed longest ago doubtful, a share of the
// sequence numbers of the blocks still trusted for each lost event; gapShare
// lost events or more make all doubtful.
func (x *Index) Gap(lost uint64) {
	x.gaps++
	if lost >= gapShare {
		x.doubt = max(x.last, x.doubt+1)
		return
	}
	oldest := max(x.last, 1)
	for _, seq := range x.stored {
		if seq > x.doubt {
			oldest = min(oldest, seq)
		}
	}
	span := x.last + 1 - oldest
	x.doubt = max(x.doubt+1, oldest-1+max(1, span*lost/gapShare))
}

// Confirm records blocks as present, for example because a run has reported
// them as cached.
func (x *Index) Confirm(keys []core.BlockKey) {
	if len(x.stored)+len(keys) > x.limit {
		maps.DeleteFunc(x.stored, func(_ core.BlockKey, seq uint64) bool { return seq <= x.doubt })
	}
	if len(x.stored)+len(keys) > x.limit {
		clear(x.stored)
	}
	for _, key := range keys[:min(len(keys), x.limit)] {
		x.stored[key] = max(x.last, x.doubt+1)
	}
}

// Prefix returns how many of the keys, from the first on, are present.
func (x *Index) Prefix(keys []core.BlockKey) int {
	for i, key := range keys {
		if seq, ok := x.stored[key]; !ok || seq <= x.doubt {
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
