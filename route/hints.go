package route

import (
	"encoding/binary"
	"math/bits"

	"waxwingtide.example/waxwingtide/core"
)

// holdersPerHint is the maximum number of upstreams in one hint. With four, an
// entry fills one cache line of 64 bytes.
const holdersPerHint = 4

// hintWays is the number of entries in each set of the directory.
const hintWays = 4

// scanBlocks is the number of blocks at the end of a prompt that are looked up
// one by one. Earlier blocks are looked up at powers of two, which are among the
// depths at which runs are recorded.
const scanBlocks = 64

// holder identifies an upstream that stored a block. It is stale if its generation
// differs from that of the upstream, which has then lost its cache.
type holder struct {
	slot       int32
	generation uint32
	storedAt   uint32 // Unix seconds
}

// hint is one entry of the directory. A key of zero marks a free entry.
type hint struct {
	key         uint64
	lastUsed    uint32 // Unix seconds
	holderCount uint8
	inKeptCache bool
	holders     [holdersPerHint]holder
}

// hints is a bounded directory that maps block keys to the upstreams that hold
// the prefix up to that block. It is a set-associative table that replaces the
// least recently used entry of a set, so it never allocates after creation.
type hints struct {
	entries []hint
	mask    uint64
}

func newHints(entries int) hints {
	sets := 1 << bits.Len(uint(max(entries/hintWays, 1)-1))
	return hints{entries: make([]hint, sets*hintWays), mask: uint64(sets - 1)}
}

// hintKey returns the first 8 bytes of a block key, which identify the block in
// the directory. Zero marks a free entry. A block has the key zero with a
// probability of 2^-64, which costs only a hint.
func hintKey(k core.BlockKey) uint64 { return binary.BigEndian.Uint64(k[:8]) }

func (h *hints) set(key uint64) []hint {
	first := (key & h.mask) * hintWays
	return h.entries[first : first+hintWays]
}

func (h *hints) find(key uint64) *hint {
	set := h.set(key)
	for i := range set {
		if set[i].key == key {
			return &set[i]
		}
	}
	return nil
}

// obtain returns the entry of a key. If the key has none, a new entry replaces
// the least recently used one of its set.
func (h *hints) obtain(key uint64, now uint32) *hint {
	if e := h.find(key); e != nil {
		e.lastUsed = now
		return e
	}
	set := h.set(key)
	victim := &set[0]
	for i := range set {
		if set[i].lastUsed < victim.lastUsed {
			victim = &set[i]
		}
	}
	*victim = hint{key: key, lastUsed: now}
	return victim
}

// add inserts a holder at the front, or moves it there. If the hint is full, the
// least recently added holder is dropped.
func (e *hint) add(h holder) {
	i := 0
	for i < int(e.holderCount) && e.holders[i].slot != h.slot {
		i++
	}
	if i == int(e.holderCount) && i < holdersPerHint {
		e.holderCount++
	}
	i = min(i, holdersPerHint-1)
	copy(e.holders[1:i+1], e.holders[:i])
	e.holders[0] = h
}

// HintDepths calls f with the depths at which a run is recorded. The upstream
// holds n blocks of the prompt after the run and reused the first cached blocks.
// The depths are n, cached, and the powers of two below n. Prompts that share
// their first blocks diverge at the depth cached. Agents publish the keys at
// these depths in State.StoredKeys.
func HintDepths(n, cached int, f func(depth int)) {
	if n < 1 {
		return
	}
	f(n)
	if cached > 0 && cached < n {
		f(cached)
	}
	for depth := 1; depth < n; depth *= 2 {
		f(depth)
	}
}

// depthIter iterates over the depths at which the prefix of a prompt is looked
// up, longest first.
type depthIter struct {
	depth int
	floor int // at and below this depth, only powers of two
}

// newDepthIter returns an iterator for a prompt of n blocks.
func newDepthIter(n int) depthIter { return depthIter{depth: n, floor: max(n-scanBlocks, 0)} }

// next returns the next depth, or 0 at the end.
func (d *depthIter) next() int {
	current := d.depth
	if current > d.floor+1 {
		d.depth--
	} else {
		d.skipBelow(current)
	}
	return current
}

// skipBelow continues with the largest power of two below a depth.
func (d *depthIter) skipBelow(depth int) {
	d.floor = depth
	d.depth = powerBelow(depth)
}

// powerBelow returns the largest power of two below n, or 0.
func powerBelow(n int) int {
	if n < 2 {
		return 0
	}
	return 1 << (bits.Len(uint(n-1)) - 1)
}

// recentKeysPerUpstream is the number of recent keys stored for each upstream.
const recentKeysPerUpstream = 128

// recentKeys contains the keys that an upstream stored recently, one for each
// value of the key's low bits. A prefix that many prompts share is held by more
// upstreams than fit into a hint, so candidates from other sources are checked
// here. It takes 1 KiB for each upstream.
type recentKeys [recentKeysPerUpstream]struct {
	fingerprint uint32
	storedAt    uint32 // Unix seconds
}

func (r *recentKeys) add(key uint64, storedAt uint32) {
	entry := &r[key%recentKeysPerUpstream]
	entry.fingerprint, entry.storedAt = fingerprint(key), storedAt
}

// find returns the time at which the key was stored.
func (r *recentKeys) find(key uint64) (storedAt uint32, ok bool) {
	entry := &r[key%recentKeysPerUpstream]
	return entry.storedAt, entry.storedAt != 0 && entry.fingerprint == fingerprint(key)
}

func fingerprint(key uint64) uint32 { return uint32(key >> 32) }
