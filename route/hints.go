package route

import (
	"encoding/binary"
	"math/bits"

	"waxwingtide.example/waxwingtide/core"
)

// holdersPerRecord is the maximum number of holders in one record. With four, a
// record fills one cache line of 64 bytes.
const holdersPerRecord = 4

// recordsPerBucket is the number of records in each bucket of the directory.
const recordsPerBucket = 4

// tailBlocks is the number of blocks at the end of a prompt that are looked up
// one by one. Earlier blocks are looked up at powers of two, which are among the
// depths at which runs are recorded.
const tailBlocks = 64

// holder identifies an upstream that stored a block. It is stale if its generation
// differs from the current generation of the slot, because the upstream has lost
// its cache or was removed.
type holder struct {
	slot       int32
	generation uint32
	storedAt   uint32 // Unix seconds
}

// hintRecord is one record of the directory. A key of zero marks a free record.
type hintRecord struct {
	key         uint64
	lastUsed    uint32 // Unix seconds
	holderCount uint8
	inKeptCache bool
	holders     [holdersPerRecord]holder
}

// hintDirectory is a bounded map from block keys to the upstreams that hold the
// prefix up to that block. A key determines a bucket, in which a new record
// replaces the least recently used one. It never allocates after creation.
type hintDirectory struct {
	records []hintRecord
	mask    uint64
}

func newHintDirectory(capacity int) hintDirectory {
	buckets := 1 << bits.Len(uint(max(capacity/recordsPerBucket, 1)-1))
	return hintDirectory{records: make([]hintRecord, buckets*recordsPerBucket), mask: uint64(buckets - 1)}
}

// hintKey returns the first 8 bytes of a block key, which identify the block in
// the directory. Zero marks a free record. A block whose key is zero may not be
// found and is then recomputed. The probability of such a key is 2^-64.
func hintKey(k core.BlockKey) uint64 { return binary.BigEndian.Uint64(k[:8]) }

// bucket returns the records that a key can be stored in.
func (h *hintDirectory) bucket(key uint64) []hintRecord {
	first := (key & h.mask) * recordsPerBucket
	return h.records[first : first+recordsPerBucket]
}

func (h *hintDirectory) find(key uint64) *hintRecord {
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
func (h *hintDirectory) obtain(key uint64, now uint32) *hintRecord {
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
	*victim = hintRecord{key: key, lastUsed: now}
	return victim
}

// add inserts a holder at the front, or moves it there. If the record is full, the
// least recently added holder is dropped.
func (r *hintRecord) add(h holder) {
	i := 0
	for i < int(r.holderCount) && r.holders[i].slot != h.slot {
		i++
	}
	if i == int(r.holderCount) && i < holdersPerRecord {
		r.holderCount++
	}
	i = min(i, holdersPerRecord-1)
	copy(r.holders[1:i+1], r.holders[:i])
	r.holders[0] = h
}

// VisitRecordedDepths calls f with the depths at which a run is recorded in the
// hint directory: heldBlocks, reusedBlocks, and the powers of two below heldBlocks.
// heldBlocks is the number of leading blocks of the prompt that the upstream holds
// after the run. reusedBlocks is the number of leading blocks that it did not
// recompute. At this depth, the prompt differs from earlier prompts with the same
// first blocks. Agents publish the keys at these depths in State.StoredKeys.
func VisitRecordedDepths(heldBlocks, reusedBlocks int, f func(depth int)) {
	if heldBlocks < 1 {
		return
	}
	f(heldBlocks)
	if reusedBlocks > 0 && reusedBlocks < heldBlocks {
		f(reusedBlocks)
	}
	for depth := 1; depth < heldBlocks; depth *= 2 {
		f(depth)
	}
}

// depthIter iterates over the depths at which the prefix of a prompt is looked
// up, longest first.
type depthIter struct {
	depth int
	floor int // at and below this depth, only powers of two are looked up
}

// newDepthIter returns an iterator for a prompt of n blocks.
func newDepthIter(n int) depthIter { return depthIter{depth: n, floor: max(n-tailBlocks, 0)} }

// next returns the next depth, or 0 at the end.
func (d *depthIter) next() int {
	current := d.depth
	if current > d.floor+1 {
		d.depth--
	} else {
		d.skipToPowerOfTwoBelow(current)
	}
	return current
}

// skipToPowerOfTwoBelow continues with the largest power of two below a depth. From
// there on, only powers of two are looked up.
func (d *depthIter) skipToPowerOfTwoBelow(depth int) {
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
// upstreams than fit into a record of the directory. longestHeldPrefix looks it up
// here for candidates that are not in the record. The type takes 1 KiB for each
// upstream.
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
