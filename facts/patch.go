package facts

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
)

// Patch turns one bundle body into another. A change of a large bundle edits a
// small part of it, so sending the body would take most of a node's bytes.
type Patch struct {
	// Base is the digest of the body that the patch applies to.
	Base string
	Ops  []PatchOp
}

// PatchOp copies Len bytes of the base from the offset From, then inserts bytes.
type PatchOp struct {
	From, Len int
	Insert    []byte
}

// patchOpBytes is about what an operation takes in a message besides Insert.
const patchOpBytes = 16

// newPatch returns the patch from one bundle to another, or nil when it would
// save less than half of the body.
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

// diff compares bodies chunk by chunk. After a difference it resumes where the
// base would go on if chunks were inserted or replaced, or else at the next
// chunk that occurs once in the base.
func diff(base, target []byte) []PatchOp {
	unique := uniqueChunks(base)
	var ops []PatchOp
	op := PatchOp{}
	next, replaced := 0, 0 // offsets in the base after the last copy and after as many chunks as were inserted
	for len(target) > 0 {
		chunk := target[:chunkEnd(target)]
		target = target[len(chunk):]
		at := resume(unique, base, chunk, next, replaced)
		switch {
		case at < 0:
			op.Insert = append(op.Insert, chunk...)
			replaced += chunkEnd(base[replaced:])
			continue
		case at != op.From+op.Len || len(op.Insert) > 0:
			ops = append(ops, op)
			op = PatchOp{From: at}
		}
		op.Len += len(chunk)
		next = at + len(chunk)
		replaced = next
	}
	return append(ops, op)
}

// chunkEnd returns the length of the first chunk: up to the end of a line or of
// a JSON object.
func chunkEnd(b []byte) int {
	i := bytes.IndexAny(b, "\n}")
	if i < 0 {
		return len(b)
	}
	return i + 1
}

// uniqueChunks returns the offset of each chunk by its hash, -1 for a chunk
// that occurs more than once.
func uniqueChunks(base []byte) map[uint64]int {
	offsets := make(map[uint64]int)
	for at := 0; at < len(base); {
		n := chunkEnd(base[at:])
		hash := xxhash.Sum64(base[at : at+n])
		if _, seen := offsets[hash]; seen {
			offsets[hash] = -1
		} else {
			offsets[hash] = at
		}
		at += n
	}
	return offsets
}

// resume returns the offset of a chunk in the base, or -1.
func resume(unique map[uint64]int, base, chunk []byte, next, replaced int) int {
	if bytes.HasPrefix(base[next:], chunk) {
		return next
	}
	if bytes.HasPrefix(base[replaced:], chunk) {
		return replaced
	}
	at, ok := unique[xxhash.Sum64(chunk)]
	if !ok || at < 0 || !bytes.HasPrefix(base[at:], chunk) {
		return -1
	}
	return at
}

// Apply returns the patched body, or false when the patch does not fit the
// base. The caller checks the digest of the result.
func (p *Patch) Apply(base []byte) ([]byte, bool) {
	var out []byte
	for _, op := range p.Ops {
		if op.From < 0 || op.Len < 0 || op.From > len(base) || op.Len > len(base)-op.From {
			return nil, false
		}
		out = append(out, base[op.From:op.From+op.Len]...)
		out = append(out, op.Insert...)
	}
	return out, true
}
