package facts

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
)

// Bundle is a bundle body with its digest and look-up tables.
type Bundle struct {
	// Digest is the SHA-256 of the body in hexadecimal.
	Digest string
	Body   []byte
	Index  *bundle.Index
}

// Update carries facts from the table, from a peer or from this process.
type Update struct {
	// Head is nil when the update holds restrictions only.
	Head *Head
	// Bundle is the bundle that Head names. It may be nil when the store
	// already holds that bundle.
	Bundle *Bundle
	// Patch gives the bundle from the one that the receiver of a delta holds. A
	// store does not apply it: the receiver does and sets Bundle.
	Patch        *Patch
	Restrictions []Restriction
	// PersistedRestrictions lists the restrictions that the table is known to hold.
	PersistedRestrictions []Restriction
}

// MergeResult tells what a merge did.
type MergeResult struct {
	// Changed is set when the digest differs from that before the merge.
	Changed bool
	// MissingBundle is set when a newer head was refused because its bundle
	// was not in the update. The sender has to send both.
	MissingBundle bool
}

// Digest summarises a store, so that two processes can compare what they know.
type Digest struct {
	Epoch        core.Epoch
	BundleDigest string
	// Restrictions is a hash of all restrictions in force.
	Restrictions uint64
}

// Snapshot is an immutable state of a store.
type Snapshot struct {
	View   *View
	Digest Digest
	// Bundle is nil while no bundle is known.
	Bundle *Bundle
	// UnpersistedRestrictions lists, oldest first, the restrictions in force that the table
	// is not known to hold.
	UnpersistedRestrictions []Restriction
	// patch leads from the bundle before to Bundle, nil if it saves little.
	patch *Patch
}

// Store merges facts. Merging is commutative, associative and idempotent for
// updates that carry the bundle of their head. It is owned by one duty.
type Store struct {
	head         Head
	bundle       *Bundle
	patch        *Patch
	restrictions map[Subject]Restriction
	written      map[Subject]Restriction
}

// NewStore returns a store that knows no facts.
func NewStore() *Store {
	return &Store{
		restrictions: make(map[Subject]Restriction),
		written:      make(map[Subject]Restriction),
	}
}

// Merge adds the facts of an update. A head with a lower or equal epoch and a
// restriction with a lower stamp have no effect.
func (s *Store) Merge(u Update) MergeResult {
	before := s.digest()
	missing := !s.mergeHead(u.Head, u.Bundle)
	for _, r := range u.Restrictions {
		keepNewer(s.restrictions, r)
	}
	for _, r := range u.PersistedRestrictions {
		keepNewer(s.restrictions, r)
		keepNewer(s.written, r)
	}
	s.prune()
	return MergeResult{Changed: s.digest() != before, MissingBundle: missing}
}

// mergeHead reports false when the head is newer but its bundle is unknown.
func (s *Store) mergeHead(h *Head, b *Bundle) bool {
	if h == nil || h.Epoch <= s.head.Epoch {
		return true
	}
	switch {
	case s.bundle != nil && s.bundle.Digest == h.BundleDigest:
	case b != nil && b.Digest == h.BundleDigest && b.Index != nil:
		s.patch = newPatch(s.bundle, b)
		s.bundle = b
	default:
		return false
	}
	s.head = h.Clone()
	return true
}

// keepNewer merges one restriction: per subject the highest stamp is kept.
func keepNewer(m map[Subject]Restriction, r Restriction) {
	old, ok := m[r.Subject]
	if !ok || r.supersedes(old) {
		m[r.Subject] = r
	}
}

// supersedes orders the restrictions of one subject. Restrictions with equal
// stamps need an order too, so that all processes keep the same one and their
// digests agree: the one raised first wins.
func (r Restriction) supersedes(old Restriction) bool {
	return cmp.Or(
		cmp.Compare(old.Stamp, r.Stamp),
		cmp.Compare(r.RaisedMS, old.RaisedMS),
		cmp.Compare(r.Origin, old.Origin),
		cmp.Compare(r.Reason, old.Reason),
	) < 0
}

// prune drops restrictions that a permission has lifted. They cannot return,
// because a lifted stamp stays below the epoch of the subject's last return.
func (s *Store) prune() {
	lifted := func(subject Subject, r Restriction) bool { return !s.head.holds(subject, r) }
	maps.DeleteFunc(s.restrictions, lifted)
	maps.DeleteFunc(s.written, lifted)
}

func (h *Head) holds(s Subject, r Restriction) bool { return r.Stamp >= h.ClearedAt[s] }

// Snapshot returns the current state for readers in other goroutines.
func (s *Store) Snapshot() *Snapshot {
	view := &View{Head: s.head, Restrictions: maps.Clone(s.restrictions)}
	if s.bundle != nil {
		view.Index = s.bundle.Index
	}
	return &Snapshot{View: view, Digest: s.digest(), Bundle: s.bundle, UnpersistedRestrictions: s.unwritten(), patch: s.patch}
}

func (s *Store) unwritten() []Restriction {
	var out []Restriction
	for subject, r := range s.restrictions {
		if w, ok := s.written[subject]; !ok || w.Stamp < r.Stamp {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, byTime)
	return out
}

func byTime(a, b Restriction) int {
	return cmp.Or(cmp.Compare(a.RaisedMS, b.RaisedMS), a.Subject.compare(b.Subject))
}

func (s Subject) compare(o Subject) int {
	return cmp.Or(cmp.Compare(s.Kind, o.Kind), cmp.Compare(s.Name, o.Name))
}

func (s *Store) digest() Digest {
	return Digest{
		Epoch:        s.head.Epoch,
		BundleDigest: s.head.BundleDigest,
		Restrictions: hashRestrictions(s.restrictions),
	}
}

// hashRestrictions hashes the restrictions in the order of their subjects. An
// empty set has hash 0. Lengths keep the borders of names apart.
func hashRestrictions(m map[Subject]Restriction) uint64 {
	if len(m) == 0 {
		return 0
	}
	var buf []byte
	for _, subject := range slices.SortedFunc(maps.Keys(m), Subject.compare) {
		r := m[subject]
		buf = append(buf, byte(subject.Kind))
		buf = appendText(buf, subject.Name)
		buf = binary.BigEndian.AppendUint64(buf, uint64(r.Stamp))
		buf = binary.BigEndian.AppendUint64(buf, uint64(r.RaisedMS))
		buf = appendText(buf, string(r.Origin))
		buf = appendText(buf, r.Reason)
	}
	return xxhash.Sum64(buf)
}

func appendText(buf []byte, text string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(text)))
	return append(buf, text...)
}

// MayLackFacts reports whether the snapshot may lack facts that the owner of the
// digest has. An older owner may still have raised restrictions.
func (s *Snapshot) MayLackFacts(d Digest) bool {
	return d.Epoch > s.Digest.Epoch ||
		(d.Restrictions != 0 && d.Restrictions != s.Digest.Restrictions)
}

// Delta returns the facts that the owner of the digest lacks, or an empty
// update. All restrictions are sent when the hashes differ, since a hash does
// not tell which one is missing.
func (s *Snapshot) Delta(d Digest) Update {
	var u Update
	if s.Digest.Epoch > d.Epoch {
		u.Head = &s.View.Head
		switch {
		case s.Digest.BundleDigest == d.BundleDigest:
		case s.patch != nil && s.patch.Base == d.BundleDigest:
			u.Patch = s.patch
		default:
			u.Bundle = s.Bundle
		}
	}
	if s.Digest.Restrictions != d.Restrictions {
		u.Restrictions = slices.SortedFunc(maps.Values(s.View.Restrictions), byTime)
	}
	return u
}

// Empty reports whether the update carries no facts.
func (u *Update) Empty() bool {
	return u.Head == nil && len(u.Restrictions) == 0 && len(u.PersistedRestrictions) == 0
}

// Clone returns a head that shares no maps with h.
func (h *Head) Clone() Head {
	c := *h
	c.Rollouts = maps.Clone(h.Rollouts)
	c.ClearedAt = maps.Clone(h.ClearedAt)
	return c
}

// ClearedRetention is how many epochs a return is remembered, about 3 days of
// changes at the target rate. It bounds the head row. A restriction that
// surfaces after that holds again until the subject is cleared once more.
const ClearedRetention core.Epoch = 50_000

// Next returns a copy of the head with the following epoch, without returns
// older than ClearedRetention.
func (h *Head) Next() Head {
	c := h.Clone()
	c.Epoch++
	if c.Rollouts == nil {
		c.Rollouts = make(map[core.ModelID]ModelStage)
	}
	if c.ClearedAt == nil {
		c.ClearedAt = make(map[Subject]core.Epoch)
	}
	maps.DeleteFunc(c.ClearedAt, func(_ Subject, e core.Epoch) bool { return e+ClearedRetention < c.Epoch })
	return c
}

// Clear lifts all restrictions on a subject that have a stamp below the head's
// epoch. It is called on the result of Next.
func (h *Head) Clear(s Subject) { h.ClearedAt[s] = h.Epoch }
