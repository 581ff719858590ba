// Package cacheindex decides to which kept-cache store a part of a prompt is
// saved and from which one it is fetched. It records the complete parts of each
// store according to its events and its complete content. It performs no I/O.
package cacheindex

import (
	"math"
	"sort"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/rendezvous"
)

const (
	// contentTimeout is the maximum time after a store's last response during which
	// its recorded content is used. A store that restarts is unavailable for longer,
	// so a part that is being rewritten after a restart is not treated as complete.
	contentTimeout = 900 * time.Millisecond
	// saveTimeout is the maximum time from the assignment of a save until the store
	// reports the part.
	saveTimeout = 2 * time.Second
	// fillShare is the share of a store up to which parts are saved there.
	fillShare = 0.97
	// blockTokens is the allocation unit of a store's memory.
	blockTokens = 16
	// defaultMemoryBytes is the memory for the content of all stores if none is given: an
	// eighth of what a node may spend for control.
	defaultMemoryBytes = 16 << 20
	// partBytes is the memory of a recorded part without its texts: its entry in a map.
	partBytes = 96
)

// Key names a part under a salt. For salts see placement.Salt.
type Key struct {
	Salt string
	ID   core.PartID
}

// MemoryBytes returns the memory in bytes that is charged for a recorded part.
func (k Key) MemoryBytes() int64 { return int64(partBytes + len(k.Salt) + len(k.ID)) }

// CachedPart is a complete part at a store or server.
type CachedPart struct {
	Key
	Tokens int
}

type store struct {
	spec           catalog.CacheStore
	incarnation    uint64
	lastResponseAt time.Time
	parts          map[Key]storedPart
	pendingSaves   map[Key]time.Time
	usedTokens     int
	// memory is charged for parts.
	memory *membudget.Account
}

// storedPart is a complete part at a store. firstReportedAt is when the store first
// reported it in its current incarnation.
type storedPart struct {
	tokens          int
	firstReportedAt time.Time
}

// Index is one process's record of the content of all stores. It is owned by one
// duty.
type Index struct {
	stores    map[string]*store
	addresses []string
	memory    *membudget.Budget
}

// New returns an empty index with the default memory.
func New() *Index { return NewWithin(membudget.New("kept_cache", defaultMemoryBytes)) }

// NewWithin returns an empty index that charges the content of the stores to a budget. Parts
// that the budget cannot grant are not recorded, and count as not stored.
func NewWithin(memory *membudget.Budget) *Index {
	return &Index{stores: make(map[string]*store), memory: memory}
}

// SetStores sets the configured stores. Stores that are no longer configured are
// removed.
func (x *Index) SetStores(specs []catalog.CacheStore) {
	next := make(map[string]*store, len(specs))
	x.addresses = x.addresses[:0]
	for _, spec := range specs {
		s := x.stores[spec.Address]
		if s == nil {
			s = &store{parts: make(map[Key]storedPart), pendingSaves: make(map[Key]time.Time), memory: x.memory.Open()}
		}
		s.spec = spec
		next[spec.Address] = s
		x.addresses = append(x.addresses, spec.Address)
	}
	sort.Strings(x.addresses)
	for address, s := range x.stores {
		if next[address] == nil {
			s.memory.Close()
		}
	}
	x.stores = next
}

// SetContent replaces the recorded content of a store by its complete content.
func (x *Index) SetContent(now time.Time, address string, incarnation uint64, parts []CachedPart) {
	s := x.stores[address]
	if s == nil {
		return
	}
	previous := s.parts
	if s.incarnation != incarnation {
		previous = nil
	}
	s.incarnation, s.lastResponseAt, s.usedTokens = incarnation, now, 0
	s.memory.Close()
	s.parts = make(map[Key]storedPart)
	for _, p := range parts {
		firstReportedAt := now
		if old, ok := previous[p.Key]; ok {
			firstReportedAt = old.firstReportedAt
		}
		s.add(firstReportedAt, p)
	}
}

// ApplyEvents applies the events of one incarnation of a store. It reports false when
// the incarnation has changed and the complete content has to be read again.
func (x *Index) ApplyEvents(now time.Time, address string, incarnation uint64, added []CachedPart, removed []Key) bool {
	s := x.stores[address]
	if s == nil {
		return true
	}
	if s.incarnation != incarnation {
		return false
	}
	s.lastResponseAt = now
	for _, key := range removed {
		s.remove(key)
	}
	for _, p := range added {
		s.add(now, p)
	}
	return true
}

// MarkUnavailable excludes a store until its next response.
func (x *Index) MarkUnavailable(address string) {
	if s := x.stores[address]; s != nil {
		s.lastResponseAt = time.Time{}
	}
}

// MarkAllUnavailable excludes each store until its next response.
func (x *Index) MarkAllUnavailable() {
	for address := range x.stores {
		x.MarkUnavailable(address)
	}
}

func (s *store) add(firstReportedAt time.Time, p CachedPart) {
	if old, ok := s.parts[p.Key]; ok && old.firstReportedAt.Before(firstReportedAt) {
		firstReportedAt = old.firstReportedAt
	}
	s.remove(p.Key)
	delete(s.pendingSaves, p.Key)
	if s.memory.Charge(p.MemoryBytes()) != nil {
		return // a part that is not recorded is read again
	}
	s.parts[p.Key] = storedPart{tokens: p.Tokens, firstReportedAt: firstReportedAt}
	s.usedTokens += roundUpToBlocks(p.Tokens)
}

func (s *store) remove(key Key) {
	if p, ok := s.parts[key]; ok {
		s.usedTokens -= roundUpToBlocks(p.tokens)
		s.memory.Release(key.MemoryBytes())
		delete(s.parts, key)
	}
}

func roundUpToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

func (s *store) trusted(now time.Time) bool {
	return !s.lastResponseAt.IsZero() && now.Sub(s.lastResponseAt) < contentTimeout
}

// Source is a store or server from which a part can be fetched.
type Source struct {
	Address  string
	Domain   core.FailureDomain
	LinkMbps float64
	Delay    time.Duration
}

// Find returns the store from which an upstream in a failure domain fetches a
// complete part, or false when no available store contains it. Unless seenBefore
// is zero, the part must have been first reported before that time.
func (x *Index) Find(now time.Time, key Key, tokens int, domain core.FailureDomain, seenBefore time.Time) (Source, bool) {
	var best *store
	for _, address := range x.addresses {
		s := x.stores[address]
		p, ok := s.parts[key]
		if !ok || p.tokens < tokens || !s.trusted(now) || !seenBefore.IsZero() && !p.firstReportedAt.Before(seenBefore) {
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

// AssignStore selects the store to which a part is saved and records the save as
// pending. It reports false when a store already contains the part, when a save
// is pending or when no store has capacity.
func (x *Index) AssignStore(now time.Time, key Key, tokens int) (string, bool) {
	for _, s := range x.stores {
		if _, ok := s.parts[key]; ok && s.trusted(now) {
			return "", false
		}
		if at, ok := s.pendingSaves[key]; ok && now.Sub(at) < saveTimeout {
			return "", false
		}
	}
	var best *store
	bestScore := math.Inf(-1)
	for _, address := range x.addresses {
		s := x.stores[address]
		if !s.trusted(now) || float64(s.usedTokens+roundUpToBlocks(tokens)) > fillShare*float64(s.spec.CapacityTokens) {
			continue
		}
		if score := rendezvous.WeightedScore(address, key.Salt+"|"+string(key.ID), s.saveWeight()); score > bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return "", false
	}
	best.pendingSaves[key] = now
	return best.spec.Address, true
}

// saveWeight returns the weight of a store among those that a part may be saved to. The rate
// of its link counts, since a part is fetched more often than it is saved: the fast stores are
// filled first. The share falls as a store fills up, so that the processes, which do not know
// each other's pending saves, rarely save more than it has room for.
func (s *store) saveWeight() float64 {
	free := 1 - float64(s.usedTokens)/float64(s.spec.CapacityTokens)
	return max(s.spec.LinkMbps, 1) * free
}

// RemoveExpiredSaves removes pending saves that were not confirmed within saveTimeout.
func (x *Index) RemoveExpiredSaves(now time.Time) {
	for _, s := range x.stores {
		for key, at := range s.pendingSaves {
			if now.Sub(at) >= saveTimeout {
				delete(s.pendingSaves, key)
			}
		}
	}
}

// ObsoleteParts returns the parts of a store whose salt is obsolete (see
// placement.Placer.Obsolete), with the incarnation in which they were seen.
func (x *Index) ObsoleteParts(now time.Time, address string, obsolete func(salt string) bool) (incarnation uint64, keys []Key) {
	s := x.stores[address]
	if s == nil || !s.trusted(now) {
		return 0, nil
	}
	for key := range s.parts {
		if obsolete(key.Salt) {
			keys = append(keys, key)
		}
	}
	return s.incarnation, keys
}
