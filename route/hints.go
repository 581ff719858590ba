package route

import (
	"encoding/binary"
	"math/bits"

	"waxwingtide.example/waxwingtide/core"
)

// holdersPerHint is the maximum number of upstreams in one hint. With four, a
// record fills one cache line of 64 bytes.
const holdersPerHint = 4

// recordsPerBucket is the number of records in each bucket of the directory.
const recordsPerBucket = 4

// scanBlocks is the number of blocks at the end of a prompt that are looked up
// one by one. Earlier blocks are looked up at powers of two, which are among the
// depths at which runs are recorded.
const scanBlocks = 64

// holder identifies an upstream that stored a block. It is stale if its generation
// differs from the current generation of the slot, because the upstream has lost
// its cache or was removed.
type holder struct {
	slot       int32
	generation uint32
	storedAt   uint32 // Unix seconds
}

// hint is one record of the directory. A key of zero marks a free record.
type hint struct {
	key         uint64
	lastUsed    uint32 // Unix seconds
	holderCount uint8
	inKeptCache bool
	holders     [holdersPerHint]holder
}

// hints is a bounded directory that maps block keys to the upstreams that hold
// the prefix up to that block. A key determines a bucket, in which a new record
// replaces the least recently used one. It never allocates after creation.
type hints struct {
	records []hint
	mask    uint64
}

func newHints(capacity int) hints {
	buckets := 1 << bits.Len(uint(max(capacity/recordsPerBucket, 1)-1))
	return hints{records: make([]hint, buckets*recordsPerBucket), mask: uint64(buckets - 1)}
}

// hintKey returns the first 8 bytes of a block key, which identify the block in
// the directory. Zero marks a free record. A block has the key zero with a
// probability of 2^-64. Its lookup may then return a free record, which lists no
// holders, and the block may be recomputed.
func hintKey(k core.BlockKey) uint64 { return binary.BigEndian.Uint64(k[:8]) }

// bucket returns the records that a key can be stored in.
func (h *hints) bucket(key uint64) []hint {
	first := (key & h.mask) * recordsPerBucket
	return h.records[first : first+recordsPerBucket]
}

func (h *hints) find(key uint64) *hint {
	bucket := h.bucket(key)
	for i := range bucket {
		if bucket[i].key == key {
			return &bucket[i]
		}
	}
	return nil
}

// obtain returns the record of a key. If the key has none, a new record replaces
// the least recently used one of its bucket.
func (h *hints) obtain(key uint64, now uint32) *hint {
	if record := h.find(key); record != nil {
		record.lastUsed = now
		return record
	}
	bucket := h.bucket(key)
	victim := &bucket[0]
	for i := range bucket {
		if bucket[i].lastUsed < victim.lastUsed {
			victim = &bucket[i]
		}
	}
	*victim = hint{key: key, lastUsed: now}
	return victim
}

// add inserts a holder at the front, or moves it there. If the hint is full, the
// least recently added holder is dropped.
func (r *hint) add(h holder) {
	i := 0
	for i < int(r.holderCount) && r.holders[i].slot != h.slot {
		i++
	}
	if i == int(r.holderCount) && i < holdersPerHint {
		r.holderCount++
	}
	i = min(i, holdersPerHint-1)
	copy(r.holders[1:i+1], r.holders[:i])
	r.holders[0] = h
}

// HintDepths calls f with the depths at which a run is recorded. The arguments
// are the number of leading blocks of the prompt that the upstream holds after the
// run and the number of blocks that it reused. The depths are held, reused, and
// the powers of two below held. The depth reused is recorded because it is where
// the prompt differs from earlier prompts with the same first blocks. Agents
// publish the keys at these depths in State.StoredKeys.
func HintDepths(held, reused int, f func(depth int)) {
	if held < 1 {
		return
	}
	f(held)
	if reused > 0 && reused < held {
		f(reused)
	}
	for depth := 1; depth < held; depth *= 2 {
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
		d.continueBelow(current)
	}
	return current
}

// continueBelow continues with the largest power of two below a depth.
func (d *depthIter) continueBelow(depth int) {
	d.floor = depth
	d.depth = powerOfTwoBelow(depth)
}

// powerOfTwoBelow returns the largest power of two below n, or 0.
func powerOfTwoBelow(n int) int {
	if n < 2 {
		return 0
	}
	return 1 << (bits.Len(uint(n-1)) - 1)
}

// recentKeysPerUpstream is the number of recent keys stored for each upstream.
const recentKeysPerUpstream = 128

// recentKeys contains the keys that an upstream stored recently, one for each
// value of the key's low bits. A prefix that many prompts share is held by more
// upstreams than fit into a hint. heldPrefix looks it up here for candidates that
// are not in the hint. The type takes 1 KiB for each upstream.
type recentKeys [recentKeysPerUpstream]struct {
	fingerprint uint32
	storedAt    uint32 // Unix seconds
}

func (r *recentKeys) add(key uint64, storedAt uint32) {
	record := &r[key%recentKeysPerUpstream]
	record.fingerprint, record.storedAt = fingerprint(key), storedAt
}

// find returns the time at which the key was stored.
func (r *recentKeys) find(key uint64) (storedAt uint32, ok bool) {
	record := &r[key%recentKeysPerUpstream]
	return record.storedAt, record.storedAt != 0 && record.fingerprint == fingerprint(key)
}

func fingerprint(key uint64) uint32 { return uint32(key >> 32) }
