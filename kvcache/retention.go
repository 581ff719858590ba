package kvcache

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingtide.example/waxwingtide/core"
)

// returnHalfLife is the time since the last use after which the return probability has
// fallen to one half. Prompts return after minutes to days.
const returnHalfLife = 6 * time.Hour

// PrefixUsage records the use of one prefix. A prefix returns when a later prompt
// starts with it.
type PrefixUsage struct {
	Returns  int
	LastUsed time.Time
}

// ReturnProbability estimates the probability that a prefix is used again. It rises
// with the number of earlier returns and falls with the time since the last use.
func (u PrefixUsage) ReturnProbability(now time.Time) float64 {
	returns := float64(u.Returns)
	age := max(0, now.Sub(u.LastUsed))
	return (returns + 1) / (returns + 2) / (1 + age.Hours()/returnHalfLife.Hours())
}

// History records the use of the most recently used prefixes. A prefix is identified by
// the key of its last block.
type History struct {
	usages *lru.Cache[core.BlockKey, PrefixUsage]
}

// NewHistory returns an empty history of at most limit prefixes.
func NewHistory(limit int) *History {
	usages, err := lru.New[core.BlockKey, PrefixUsage](max(limit, 1))
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}
	return &History{usages: usages}
}

// RecordUse records a use of every prefix of a prompt. It returns the number of
// consecutive blocks, starting with the first, that had been used before.
func (h *History) RecordUse(keys []core.BlockKey, now time.Time) int {
	usedBefore, prefixEnded := 0, false
	for i, key := range keys {
		usage, ok := h.usages.Get(key)
		prefixEnded = prefixEnded || !ok
		if !prefixEnded {
			usedBefore = i + 1
		}
		if ok {
			usage.Returns++
		}
		usage.LastUsed = now
		h.usages.Add(key, usage)
	}
	return usedBefore
}

// Usage returns the recorded use of the prefix that ends with the key.
func (h *History) Usage(key core.BlockKey) PrefixUsage {
	usage, _ := h.usages.Peek(key)
	return usage
}

// Prefix is a prompt prefix that is a candidate for export or is stored.
type Prefix struct {
	Salt string
	// Keys contains the block keys of the prefix in prompt order.
	Keys []core.BlockKey
	// SavedPromptBytes is the size of the prompt text that an import saves from
	// recomputation. TransferBytes is the estimated size of the KV cache to transfer.
	SavedPromptBytes int
	TransferBytes    int
}

// LastKey returns the key of the last block, which identifies the prefix.
func (p Prefix) LastKey() core.BlockKey { return p.Keys[len(p.Keys)-1] }

// Value returns the saved prompt bytes per transferred byte, multiplied by the return
// probability.
func (p Prefix) Value(usage PrefixUsage, now time.Time) float64 {
	return float64(p.SavedPromptBytes) / float64(max(p.TransferBytes, 1)) * usage.ReturnProbability(now)
}

// PrefixSet is a bounded set of prefixes. One set contains the prefixes that wait for
// export, others those stored in each store. A full set evicts the prefix of the lowest
// value.
type PrefixSet struct {
	maxPrefixes int
	history     *History
	prefixes    map[core.BlockKey]Prefix
	// prefixCounts is the number of prefixes in the set that contain each block.
	prefixCounts map[core.BlockKey]int
}

// NewPrefixSet returns an empty set of at most limit prefixes.
func NewPrefixSet(limit int, history *History) *PrefixSet {
	return &PrefixSet{
		maxPrefixes: max(limit, 1), history: history,
		prefixes: make(map[core.BlockKey]Prefix), prefixCounts: make(map[core.BlockKey]int),
	}
}

// Len returns the number of prefixes in the set.
func (s *PrefixSet) Len() int { return len(s.prefixes) }

// Contains reports whether the prefix that ends with the key is in the set.
func (s *PrefixSet) Contains(key core.BlockKey) bool {
	_, ok := s.prefixes[key]
	return ok
}

// Add adds a prefix. If the set then exceeds its limit, Add evicts the unpinned prefix
// of the lowest value, which may be the added one, and returns it.
func (s *PrefixSet) Add(p Prefix, now time.Time, pins Pins) (evicted Prefix, ok bool) {
	s.Remove(p.LastKey())
	s.prefixes[p.LastKey()] = p
	for _, key := range p.Keys {
		s.prefixCounts[key]++
	}
	if len(s.prefixes) <= s.maxPrefixes {
		return Prefix{}, false
	}
	return s.EvictLowest(now, pins)
}

// EvictLowest removes and returns the unpinned prefix of the lowest value.
func (s *PrefixSet) EvictLowest(now time.Time, pins Pins) (evicted Prefix, ok bool) {
	return s.removeBest(func(p Prefix) bool { return !pins.Pinned(p.LastKey()) }, func(a, b float64) bool { return a < b }, now)
}

// RemoveHighest removes and returns the prefix of the highest value.
func (s *PrefixSet) RemoveHighest(now time.Time) (Prefix, bool) {
	return s.removeBest(func(Prefix) bool { return true }, func(a, b float64) bool { return a > b }, now)
}

// Remove removes the prefix that ends with the key and reports whether it was in the
// set.
func (s *PrefixSet) Remove(lastKey core.BlockKey) bool {
	p, ok := s.prefixes[lastKey]
	if !ok {
		return false
	}
	delete(s.prefixes, lastKey)
	for _, key := range p.Keys {
		if s.prefixCounts[key]--; s.prefixCounts[key] == 0 {
			delete(s.prefixCounts, key)
		}
	}
	return true
}

// UnsharedKeys returns the keys of a removed prefix that no prefix in the set contains.
func (s *PrefixSet) UnsharedKeys(p Prefix) []core.BlockKey {
	return slices.DeleteFunc(slices.Clone(p.Keys), func(key core.BlockKey) bool { return s.prefixCounts[key] > 0 })
}

// SortedByValue returns the prefixes, highest value first.
func (s *PrefixSet) SortedByValue(now time.Time) []Prefix {
	prefixes := slices.Collect(maps.Values(s.prefixes))
	slices.SortFunc(prefixes, func(a, b Prefix) int {
		valueA, valueB := a.Value(s.history.Usage(a.LastKey()), now), b.Value(s.history.Usage(b.LastKey()), now)
		return cmp.Or(cmp.Compare(valueB, valueA), slices.Compare(lastKeyBytes(a), lastKeyBytes(b)))
	})
	return prefixes
}

// removeBest removes and returns the best of the allowed prefixes. Equal values are
// decided by the key, so that the result does not depend on the iteration order of the
// map.
func (s *PrefixSet) removeBest(allowed func(Prefix) bool, better func(a, b float64) bool, now time.Time) (Prefix, bool) {
	var best Prefix
	var bestValue float64
	for key, p := range s.prefixes {
		if !allowed(p) {
			continue
		}
		value := p.Value(s.history.Usage(key), now)
		tie := value == bestValue && best.Keys != nil && slices.Compare(key[:], lastKeyBytes(best)) < 0
		if best.Keys == nil || better(value, bestValue) || tie {
			best, bestValue = p, value
		}
	}
	if best.Keys == nil {
		return Prefix{}, false
	}
	s.Remove(best.LastKey())
	return best, true
}

func lastKeyBytes(p Prefix) []byte {
	key := p.LastKey()
	return key[:]
}
