package route

import (
	"encoding/binary"
	"math/bits"

	"waxwingtide.example/waxwingtide/core"
)

// holdersPerHint is how many upstreams one hint names. With four, an entry
// fills one cache line of 64 bytes.
const holdersPerHint = 4

// hintWays is the associativity of the directory.
const hintWays = 4

// scanDepth is how many of a prompt's last blocks are looked up one by one.
// Earlier blocks are looked up at powers of two, where runs are recorded too.
const scanDepth = 64

// holder names an upstream that stored a block. The generation tells whether
// the upstream has lost its cache since.
type holder struct {
	slot       int32
	generation uint32
	at         uint32 // Unix seconds
}

// hint is one entry of the directory.
type hint struct {
	key     uint64
	used    uint32 // Unix seconds
	n       uint8
	kept    bool
	holders [holdersPerHint]holder
}

// hints is a bounded directory from block keys to the upstreams that hold the
// prefix up to that block. It is a set-associative table that replaces the
// entry of a set that was used least lately, so it never allocates.
type hints struct {
	entries []hint
	mask    uint64
}

func newHints(entries int) hints {
	sets := 1 << bits.Len(uint(max(entries/hintWays, 1)-1))
	return hints{entries: make([]hint, sets*hintWays), mask: uint64(sets - 1)}
}

// hintKey is the part of a block key that the directory uses. Zero marks a free
// entry; that a real key is zero has a chance of 2^-64 and costs a hint only.
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

// obtain returns the entry of a key, replacing another one if need be.
func (h *hints) obtain(key uint64, at uint32) *hint {
	if e := h.find(key); e != nil {
		e.used = at
		return e
	}
	set := h.set(key)
	oldest := &set[0]
	for i := range set {
		if set[i].used < oldest.used {
			oldest = &set[i]
		}
	}
	*oldest = hint{key: key, used: at}
	return oldest
}

// add puts a holder first. The holder that was added least lately drops out.
func (e *hint) add(new holder) {
	i := 0
	for i < int(e.n) && e.holders[i].slot != new.slot {
		i++
	}
	if i == int(e.n) && i < holdersPerHint {
		e.n++
	}
	i = min(i, holdersPerHint-1)
	copy(e.holders[1:i+1], e.holders[:i])
	e.holders[0] = new
}

// HintDepths calls f with the depths at which a run is recorded that holds n
// blocks of its prompt and did not recompute the first cached ones: n, the
// powers of two below it, and cached, where prompts that share their first
// blocks part. Agents publish the keys at these depths in State.StoredKeys.
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

// probe is the sequence of depths at which the prefix of a prompt is looked up,
// longest first.
type probe struct {
	depth int
	floor int // below it only powers of two
}

func newProbe(blocks int) probe { return probe{depth: blocks, floor: max(blocks-scanDepth, 0)} }

// next returns the next depth, or 0 at the end.
func (p *probe) next() int {
	current := p.depth
	if current > p.floor+1 {
		p.depth--
	} else {
		p.skipBelow(current)
	}
	return current
}

// skipBelow goes on with the largest power of two below a depth.
func (p *probe) skipBelow(depth int) {
	p.floor = depth
	p.depth = powerBelow(depth)
}

// powerBelow returns the largest power of two below n, or 0.
func powerBelow(n int) int {
	if n < 2 {
		return 0
	}
	return 1 << (bits.Len(uint(n-1)) - 1)
}

// recentSlots is how many keys are remembered for each upstream.
const recentSlots = 128

// recent remembers the keys that an upstream stored lately, one for each value
// of the key's low bits. A prefix that many prompts share is held by more
// upstreams than a hint can name; this tells for any candidate whether it is
// one of them. It takes 1 KiB for each upstream.
type recent [recentSlots]struct {
	fingerprint uint32
	at          uint32 // Unix seconds
}

func (r *recent) add(key uint64, at uint32) {
	slot := &r[key%recentSlots]
	slot.fingerprint, slot.at = fingerprint(key), at
}

// find returns when the key was stored.
func (r *recent) find(key uint64) (at uint32, ok bool) {
	slot := &r[key%recentSlots]
	return slot.at, slot.at != 0 && slot.fingerprint == fingerprint(key)
}

func fingerprint(key uint64) uint32 { return uint32(key >> 32) }
