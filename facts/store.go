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

// Bundle is a bundle body with its digest and lookup tables.
type Bundle struct {
	// Digest is the SHA-256 of the body in hexadecimal.
	Digest string
	Body   []byte
	Index  *bundle.Index
}

// Update contains facts from the platform's table, from a peer or from this process.
type Update struct {
	// Head is nil if the update contains restrictions only.
	Head *Head
	// Bundle is the bundle that Head refers to. It may be nil if the store already
	// has that bundle.
	Bundle *Bundle
	// Patch turns the body of the receiver's bundle into the body of the bundle that
	// Head refers to. The receiver applies it and sets Bundle before it calls Merge.
	Patch        *Patch
	Restrictions []Restriction
	// PersistedRestrictions lists restrictions that are stored in the platform's
	// table.
	PersistedRestrictions []Restriction
}

// MergeResult is the result of a merge.
type MergeResult struct {
	// Changed is true if the merge changed the store's digest.
	Changed bool
	// MissingBundle is true if a newer head was rejected because its bundle was
	// not in the update. The sender must send the head and the bundle.
	MissingBundle bool
}

// StoreDigest summarises a store so that two processes can compare their facts.
type StoreDigest struct {
	Epoch        core.Epoch
	BundleDigest string
	// Restrictions is a hash of all restrictions in force.
	Restrictions uint64
}

// Snapshot is an immutable snapshot of a store.
type Snapshot struct {
	View   *View
	Digest StoreDigest
	// Bundle is nil until the store has received a bundle.
	Bundle *Bundle
	// UnpersistedRestrictions lists the restrictions in force, oldest first, that
	// are not confirmed to be in the platform's table.
	UnpersistedRestrictions []Restriction
	// patch turns the previous bundle into Bundle. It is nil if it saves too few
	// bytes.
	patch *Patch
}

// Store merges facts. Merging is commutative, associative and idempotent for
// updates that contain the bundle of their head. One duty owns the store.
type Store struct {
	head                  Head
	bundle                *Bundle
	patch                 *Patch
	restrictions          map[Subject]Restriction
	persistedRestrictions map[Subject]Restriction
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		restrictions:          make(map[Subject]Restriction),
		persistedRestrictions: make(map[Subject]Restriction),
	}
}

// Merge adds the facts of an update. A head has no effect if its epoch is not above
// the epoch of the store. A restriction has no effect if it is not in force, or if
// it does not supersede the retained restriction on its subject.
func (s *Store) Merge(u Update) MergeResult {
	before := s.digest()
	missing := !s.mergeHead(u.Head, u.Bundle)
	for _, r := range u.Restrictions {
		mergeRestriction(s.restrictions, r)
	}
	for _, r := range u.PersistedRestrictions {
		mergeRestriction(s.restrictions, r)
		mergeRestriction(s.persistedRestrictions, r)
	}
	s.prune()
	return MergeResult{Changed: s.digest() != before, MissingBundle: missing}
}

// mergeHead returns false if the head is newer and its bundle is neither in the
// store nor in the update.
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

// mergeRestriction merges one restriction into the map, which retains for each
// subject the restriction that supersedes the others.
func mergeRestriction(m map[Subject]Restriction, r Restriction) {
	old, ok := m[r.Subject]
	if !ok || r.supersedes(old) {
		m[r.Subject] = r
	}
}

// supersedes reports whether r replaces old, a restriction on the same subject. The
// higher stamp takes precedence, then the earlier time, then the origin and reason
// that sort first. This total ordering makes all processes retain the same
// restriction, so their digests are equal.
func (r Restriction) supersedes(old Restriction) bool {
	return cmp.Or(
		cmp.Compare(old.Stamp, r.Stamp),
		cmp.Compare(r.RaisedMS, old.RaisedMS),
		cmp.Compare(r.Origin, old.Origin),
		cmp.Compare(r.Reason, old.Reason),
	) < 0
}

// prune removes the restrictions that a permission has lifted. While the ClearedAt
// entry of the subject is retained, they cannot come into force again, because
// their stamps are below the epoch at which the subject was last cleared.
func (s *Store) prune() {
	lifted := func(subject Subject, r Restriction) bool { return !s.head.inForce(subject, r) }
	maps.DeleteFunc(s.restrictions, lifted)
	maps.DeleteFunc(s.persistedRestrictions, lifted)
}

// inForce reports whether a restriction on the subject is in force under h.
func (h *Head) inForce(s Subject, r Restriction) bool { return r.Stamp >= h.ClearedAt[s] }

// Snapshot returns the current state for readers in other goroutines.
func (s *Store) Snapshot() *Snapshot {
	view := &View{Head: s.head, Restrictions: maps.Clone(s.restrictions)}
	if s.bundle != nil {
		view.Index = s.bundle.Index
	}
	return &Snapshot{View: view, Digest: s.digest(), Bundle: s.bundle, UnpersistedRestrictions: s.unpersistedRestrictions(), patch: s.patch}
}

func (s *Store) unpersistedRestrictions() []Restriction {
	var out []Restriction
	for subject, r := range s.restrictions {
		if p, ok := s.persistedRestrictions[subject]; !ok || p.Stamp < r.Stamp {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareByTime)
	return out
}

func compareByTime(a, b Restriction) int {
	return cmp.Or(cmp.Compare(a.RaisedMS, b.RaisedMS), a.Subject.compare(b.Subject))
}

func (s Subject) compare(o Subject) int {
	return cmp.Or(cmp.Compare(s.Kind, o.Kind), cmp.Compare(s.Name, o.Name))
}

func (s *Store) digest() StoreDigest {
	return StoreDigest{
		Epoch:        s.head.Epoch,
		BundleDigest: s.head.BundleDigest,
		Restrictions: hashRestrictions(s.restrictions),
	}
}

// hashRestrictions hashes the restrictions sorted by subject. An empty set has
// hash 0. Strings are prefixed with their lengths so that their boundaries are
// unambiguous.
func hashRestrictions(m map[Subject]Restriction) uint64 {
	if len(m) == 0 {
		return 0
	}
	var buf []byte
	for _, subject := range slices.SortedFunc(maps.Keys(m), Subject.compare) {
		r := m[subject]
		buf = append(buf, byte(subject.Kind))
		buf = appendString(buf, subject.Name)
		buf = binary.BigEndian.AppendUint64(buf, uint64(r.Stamp))
		buf = binary.BigEndian.AppendUint64(buf, uint64(r.RaisedMS))
		buf = appendString(buf, string(r.Origin))
		buf = appendString(buf, r.Reason)
	}
	return xxhash.Sum64(buf)
}

func appendString(buf []byte, s string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
}

// MayLackFacts reports whether the snapshot may lack facts that the sender of the
// digest has. A sender with a lower epoch may also have restrictions that the
// snapshot lacks.
func (s *Snapshot) MayLackFacts(d StoreDigest) bool {
	return d.Epoch > s.Digest.Epoch ||
		(d.Restrictions != 0 && d.Restrictions != s.Digest.Restrictions)
}

// Delta returns the facts that the sender of the digest lacks, or an empty
// update. If the hashes of the restrictions differ, it contains all restrictions,
// because a hash does not show which one is missing.
func (s *Snapshot) Delta(d StoreDigest) Update {
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
		u.Restrictions = slices.SortedFunc(maps.Values(s.View.Restrictions), compareByTime)
	}
	return u
}

// Empty reports whether the update contains no facts.
func (u *Update) Empty() bool {
	return u.Head == nil && len(u.Restrictions) == 0 && len(u.PersistedRestrictions) == 0
}

// Clone returns a copy of h that shares no maps with it.
func (h *Head) Clone() Head {
	c := *h
	c.Rollouts = maps.Clone(h.Rollouts)
	c.ClearedAt = maps.Clone(h.ClearedAt)
	return c
}

// ClearedRetention is the number of epochs for which ClearedAt entries are
// retained, about 3 days at the target rate of epochs (about 12 per minute). It
// bounds the size of the head row. After the entry of a subject has expired, a
// lifted restriction that a process still sends comes into force again, until the
// subject is cleared once more.
const ClearedRetention core.Epoch = 50_000

// Next returns a copy of the head with the next epoch. It omits ClearedAt entries
// older than ClearedRetention.
func (h *Head) Next() Head {
	c := h.Clone()
	c.Epoch++
	if c.Rollouts == nil {
		c.Rollouts = make(map[core.ModelID]RolloutState)
	}
	if c.ClearedAt == nil {
		c.ClearedAt = make(map[Subject]core.Epoch)
	}
	maps.DeleteFunc(c.ClearedAt, func(_ Subject, e core.Epoch) bool { return e+ClearedRetention < c.Epoch })
	return c
}

// Clear lifts all restrictions on the subject that have a stamp below the head's
// epoch. It must be called on a head returned by Next.
func (h *Head) Clear(s Subject) { h.ClearedAt[s] = h.Epoch }
