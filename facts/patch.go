package facts

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Patch turns one bundle body into another. Most changes edit a small fraction of
// a large bundle, and sending the full body each time would account for most of
// the bytes that a node sends.
type Patch struct {
	// Base is the digest of the body that the patch applies to.
	Base string
	Ops  []PatchOp
}

// PatchOp copies Len bytes of the base from BaseOffset and then appends Insert.
type PatchOp struct {
	BaseOffset, Len int
	Insert          []byte
}

// patchOpBytes is the approximate encoded size of an operation without Insert.
const patchOpBytes = 16

// newPatch returns the patch that turns from into to, or nil if the encoded patch
// is not smaller than half of to.Body.
func newPatch(from, to *Bundle) *Patch {
	if from == nil || to == nil {
		return nil
	}
	p := &Patch{Base: from.Digest, Ops: diff(from.Body, to.Body)}
	size := 0
	for _, op := range p.Ops {
		size += patchOpBytes + len(op.Insert)
	}
	if 2*size >= len(to.Body) {
		return nil
	}
	return p
}

// diff returns the operations that turn base into target. It tries to copy each
// chunk of target from three offsets in base, in this sequence:
//  1. copyEnd, the end of the last copy. It matches if chunks were inserted.
//  2. replacedEnd, the end of the base chunks that correspond one to one to the
//     chunks inserted since the last copy. It matches if chunks were replaced.
//  3. The occurrence of the chunk in base, if there is only one.
//
// A chunk that is at none of these offsets is inserted.
func diff(base, target []byte) []PatchOp {
	offsets := chunkOffsets(base)
	var ops []PatchOp
	op := PatchOp{}
	copyEnd, replacedEnd := 0, 0
	for len(target) > 0 {
		chunk := target[:chunkLen(target)]
		target = target[len(chunk):]
		offset := findChunk(offsets, base, chunk, copyEnd, replacedEnd)
		switch {
		case offset < 0:
			op.Insert = append(op.Insert, chunk...)
			replacedEnd += chunkLen(base[replacedEnd:])
			continue
		case offset != op.BaseOffset+op.Len || len(op.Insert) > 0:
			ops = append(ops, op)
			op = PatchOp{BaseOffset: offset}
		}
		op.Len += len(chunk)
		copyEnd = offset + len(chunk)
		replacedEnd = copyEnd
	}
	return append(ops, op)
}

// chunkLen returns the length of the first chunk, which ends at the end of a line
// or of a JSON object.
func chunkLen(b []byte) int {
	i := bytes.IndexAny(b, "\n}")
	if i < 0 {
		return len(b)
	}
	return i + 1
}

// chunkOffsets maps the hash of each chunk to its offset, or to -1 if the chunk
// occurs more than once.
func chunkOffsets(base []byte) map[uint64]int {
	offsets := make(map[uint64]int)
	for offset := 0; offset < len(base); {
		n := chunkLen(base[offset:])
		hash := xxhash.Sum64(base[offset : offset+n])
		if _, duplicate := offsets[hash]; duplicate {
			offsets[hash] = -1
		} else {
			offsets[hash] = offset
		}
		offset += n
	}
	return offsets
}

// findChunk returns the offset of a chunk in the base, or -1 if it is not found.
func findChunk(offsets map[uint64]int, base, chunk []byte, copyEnd, replacedEnd int) int {
	if bytes.HasPrefix(base[copyEnd:], chunk) {
		return copyEnd
	}
	if bytes.HasPrefix(base[replacedEnd:], chunk) {
		return replacedEnd
	}
	offset, ok := offsets[xxhash.Sum64(chunk)]
	if !ok || offset < 0 || !bytes.HasPrefix(base[offset:], chunk) {
		return -1
	}
	return offset
}

// Apply returns the patched body, or false if an operation is out of the bounds of
// the base. The caller must check the digest of the result.
func (p *Patch) Apply(base []byte) ([]byte, bool) {
	var out []byte
	for _, op := range p.Ops {
		if op.BaseOffset < 0 || op.Len < 0 || op.BaseOffset > len(base) || op.Len > len(base)-op.BaseOffset {
			return nil, false
		}
		out = append(out, base[op.BaseOffset:op.BaseOffset+op.Len]...)
		out = append(out, op.Insert...)
	}
	return out, true
}
