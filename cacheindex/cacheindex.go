// Package cacheindex decides where parts of prompts are kept and where they are
// fetched from. It holds, for each kept-cache store, the parts that are
// complete there, as far as the store's events and lists have told. It performs
// no I/O.
package cacheindex

import (
	"math"
	"sort"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

const (
	// trustFor is how long a store's content is trusted after its last answer.
	// A store that restarts is away for longer, so no part is believed complete
	// that is being written again after a restart.
	trustFor = 900 * time.Millisecond
	// savePatience is how long a save that was ordered may take to show up.
	savePatience = 2 * time.Second
	// fillShare is the share of a store up to which parts are saved there.
	fillShare = 0.97
	// blockTokens is the unit in which memory of a store is taken.
	blockTokens = 16
)

// Key names a part under a salt.
type Key struct {
	Salt string
	ID   core.PartID
}

// Held is a complete part at a store.
type CachedPart struct {
	Key
	Tokens int
}

type store struct {
	spec    catalog.CacheStore
	epoch   uint64
	heardAt time.Time
	parts   map[Key]part
	saving  map[Key]time.Time
	used    int
}

// part is a complete part at a store, with the time at which it was first seen.
type part struct {
	tokens int
	since  time.Time
}

// Index is what one process knows of all stores. It is owned by one duty.
type Index struct {
	stores map[string]*store
	order  []string
}

// New returns an empty index.
func New() *Index { return &Index{stores: make(map[string]*store)} }

// SetStores takes the configured stores. Stores that are no longer configured
// are forgotten.
func (x *Index) SetStores(specs []catalog.CacheStore) {
	next := make(map[string]*store, len(specs))
	x.order = x.order[:0]
	for _, spec := range specs {
		s := x.stores[spec.Address]
		if s == nil {
			s = &store{parts: make(map[Key]part), saving: make(map[Key]time.Time)}
		}
		s.spec = spec
		next[spec.Address] = s
		x.order = append(x.order, spec.Address)
	}
	sort.Strings(x.order)
	x.stores = next
}

// Replace takes the whole content of a store in one incarnation.
func (x *Index) Replace(now time.Time, address string, epoch uint64, held []CachedPart) {
	s := x.stores[address]
	if s == nil {
		return
	}
	before := s.parts
	if s.epoch != epoch {
		before = nil
	}
	s.epoch, s.heardAt, s.used = epoch, now, 0
	s.parts = make(map[Key]part, len(held))
	for _, h := range held {
		since := now
		if old, ok := before[h.Key]; ok {
			since = old.since
		}
		s.add(since, h)
	}
}

// Apply takes events of a store's incarnation. It reports false when the
// content has to be read again.
func (x *Index) Apply(now time.Time, address string, epoch uint64, added []CachedPart, removed []Key) bool {
	s := x.stores[address]
	if s == nil {
		return true
	}
	if s.epoch != epoch {
		return false
	}
	s.heardAt = now
	for _, key := range removed {
		s.remove(key)
	}
	for _, h := range added {
		s.add(now, h)
	}
	return true
}

// Lost forgets the content of a store that does not answer.
func (x *Index) MarkUnavailable(address string) {
	if s := x.stores[address]; s != nil {
		s.heardAt = time.Time{}
	}
}

// LostAll forgets the content of all stores, until each answers again.
func (x *Index) MarkAllUnavailable() {
	for address := range x.stores {
		x.MarkUnavailable(address)
	}
}

func (s *store) add(since time.Time, h CachedPart) {
	if old, ok := s.parts[h.Key]; ok && old.since.Before(since) {
		since = old.since
	}
	s.remove(h.Key)
	delete(s.saving, h.Key)
	s.parts[h.Key] = part{tokens: h.Tokens, since: since}
	s.used += blocks(h.Tokens)
}

func (s *store) remove(key Key) {
	if p, ok := s.parts[key]; ok {
		s.used -= blocks(p.tokens)
		delete(s.parts, key)
	}
}

func blocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

func (s *store) trusted(now time.Time) bool {
	return !s.heardAt.IsZero() && now.Sub(s.heardAt) < trustFor
}

// Source is a store that holds a part.
type Source struct {
	Address  string
	Domain   core.FailureDomain
	LinkMbps float64
	Delay    time.Duration
}

// Find returns the store from which an upstream in a failure domain fetches a
// complete part, or false when no store is known to hold it. Unless the time
// seenBefore is zero, the part must have been seen before it.
func (x *Index) Find(now time.Time, key Key, tokens int, domain core.FailureDomain, seenBefore time.Time) (Source, bool) {
	var best *store
	for _, address := range x.order {
		s := x.stores[address]
		held, ok := s.parts[key]
		if !ok || held.tokens < tokens || !s.trusted(now) || !seenBefore.IsZero() && !held.since.Before(seenBefore) {
			continue
		}
		if best == nil || s.preferred(best, domain) {
			best = s
		}
	}
	if best == nil {
		return Source{}, false
	}
	return Source{Address: best.spec.Address, Domain: best.spec.Domain, LinkMbps: best.spec.LinkMbps, Delay: best.spec.TransferDelay}, true
}

// preferred reports whether a transfer from s is expected to be faster.
func (s *store) preferred(other *store, domain core.FailureDomain) bool {
	return s.rate(domain) > other.rate(domain)
}

func (s *store) rate(domain core.FailureDomain) float64 {
	if s.spec.Domain != domain {
		return s.spec.LinkMbps / 2 // transfers between failure domains take twice as long
	}
	return s.spec.LinkMbps
}

// Place returns where a part has to be saved and notes that it is ordered. It
// reports false when a store holds the part, when a save is under way or when
// no store has room.
func (x *Index) AssignStore(now time.Time, key Key, tokens int) (string, bool) {
	for _, s := range x.stores {
		if _, ok := s.parts[key]; ok && s.trusted(now) {
			return "", false
		}
		if at, ok := s.saving[key]; ok && now.Sub(at) < savePatience {
			return "", false
		}
	}
	var best *store
	bestScore := math.Inf(-1)
	for _, address := range x.order {
		s := x.stores[address]
		if !s.trusted(now) || float64(s.used+blocks(tokens)) > fillShare*float64(s.spec.CapacityTokens) {
			continue
		}
		if score := rendezvous.WeightedScore(address, key.Salt+"|"+string(key.ID), float64(s.spec.CapacityTokens)); score > bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return "", false
	}
	best.saving[key] = now
	return best.spec.Address, true
}

// Sweep forgets orders to save that have not shown up in time.
func (x *Index) Sweep(now time.Time) {
	for _, s := range x.stores {
		for key, at := range s.saving {
			if now.Sub(at) >= savePatience {
				delete(s.saving, key)
			}
		}
	}
}

// Obsolete returns the parts of a store whose salt is of no more use, with the
// incarnation in which they were seen.
func (x *Index) ObsoleteParts(now time.Time, address string, obsolete func(salt string) bool) (epoch uint64, keys []Key) {
	s := x.stores[address]
	if s == nil || !s.trusted(now) {
		return 0, nil
	}
	for key := range s.parts {
		if obsolete(key.Salt) {
			keys = append(keys, key)
		}
	}
	return s.epoch, keys
}
