package kvcache

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingtide.example/waxwingtide/core"
)

// returnHalfTime is the age at which the chance of a return has fallen to one
// half. Prompts return after minutes to days.
const returnHalfLife = 6 * time.Hour

// PrefixUsage is what is known about the use of one prefix.
type PrefixUsage struct {
	Returns  int
	LastUsed time.Time
}

// ReturnProbability estimates the probability that a prefix is used again. A prefix
// that has returned before is more likely to return.
func (u PrefixUsage) ReturnProbability(now time.Time) float64 {
	returns := float64(u.Returns)
	age := max(0, now.Sub(u.LastUsed))
	return (returns + 1) / (returns + 2) / (1 + age.Hours()/returnHalfLife.Hours())
}

// History remembers the uses of the most recent prefixes, each named by the key
// of its last block.
type History struct {
	usages *lru.Cache[core.BlockKey, PrefixUsage]
}

// NewHistory returns a history of at most limit prefixes.
func NewHistory(limit int) *History {
	usages, err := lru.New[core.BlockKey, PrefixUsage](max(limit, 1))
	if err != nil {
		panic(err) // only a size below one is refused
	}
	return &History{usages: usages}
}

// RecordUse records a use of a prompt and returns how many of its blocks, from
// the first on, had been used before.
func (h *History) RecordUse(keys []core.BlockKey, now time.Time) int {
	shared, prefixEnded := 0, false
	for i, key := range keys {
		usage, ok := h.usages.Get(key)
		prefixEnded = prefixEnded || !ok
		if !prefixEnded {
			shared = i + 1
		}
		if ok {
			usage.Returns++
		}
		usage.LastUsed = now
		h.usages.Add(key, usage)
	}
	return shared
}

// Usage returns what is known about the prefix that ends with the key.
func (h *History) Usage(key core.BlockKey) PrefixUsage {
	usage, _ := h.usages.Peek(key)
	return usage
}

// Prefix is a prefix that could be kept.
type Prefix struct {
	Salt string
	// Keys are the blocks of the prefix in prompt order.
	Keys []core.BlockKey
	// SavedPromptBytes is the prompt text that an import would save from being
	// recomputed; MovedBytes is what the export has to move.
	SavedPromptBytes int
	TransferBytes    int
}

// LastKey returns the key that names the prefix.
func (c Prefix) LastKey() core.BlockKey { return c.Keys[len(c.Keys)-1] }

// Value is the recomputation saved per byte moved, weighed by the chance of a
// return.
func (c Prefix) Value(usage PrefixUsage, now time.Time) float64 {
	return float64(c.SavedPromptBytes) / float64(max(c.TransferBytes, 1)) * usage.ReturnProbability(now)
}

// PrefixSet holds the prefixes that are to be kept: first those waiting for
// their export, later those exported. When full it drops the lowest value.
type PrefixSet struct {
	maxPrefixes int
	history     *History
	prefixes    map[core.BlockKey]Prefix
	// prefixCounts counts the prefixes that contain each block.
	prefixCounts map[core.BlockKey]int
}

// NewPrefixSet returns an empty set of at most limit prefixes.
func NewPrefixSet(limit int, history *History) *PrefixSet {
	return &PrefixSet{
		maxPrefixes: max(limit, 1), history: history,
		prefixes: make(map[core.BlockKey]Prefix), prefixCounts: make(map[core.BlockKey]int),
	}
}

// Len returns the number of prefixes.
func (r *PrefixSet) Len() int { return len(r.prefixes) }

// Contains reports whether a prefix is in the set.
func (r *PrefixSet) Contains(key core.BlockKey) bool {
	_, ok := r.prefixes[key]
	return ok
}

// Add adds a prefix. It returns the prefix that has to go, which may be the
// added one, and whether there is one.
func (r *PrefixSet) Add(c Prefix, now time.Time, pins Pins) (evicted Prefix, ok bool) {
	r.Remove(c.LastKey())
	r.prefixes[c.LastKey()] = c
	for _, key := range c.Keys {
		r.prefixCounts[key]++
	}
	if len(r.prefixes) <= r.maxPrefixes {
		return Prefix{}, false
	}
	return r.EvictLowest(now, pins)
}

// EvictLowest removes the prefix of the lowest value that is not pinned.
func (r *PrefixSet) EvictLowest(now time.Time, pins Pins) (evicted Prefix, ok bool) {
	return r.removeBest(func(c Prefix) bool { return !pins.Pinned(c.LastKey()) }, func(a, b float64) bool { return a < b }, now)
}

// RemoveHighest removes and returns the prefix of the highest value.
func (r *PrefixSet) RemoveHighest(now time.Time) (Prefix, bool) {
	return r.removeBest(func(Prefix) bool { return true }, func(a, b float64) bool { return a > b }, now)
}

// Remove removes a prefix and reports whether it was in the set.
func (r *PrefixSet) Remove(last core.BlockKey) bool {
	c, ok := r.prefixes[last]
	if !ok {
		return false
	}
	delete(r.prefixes, last)
	for _, key := range c.Keys {
		if r.prefixCounts[key]--; r.prefixCounts[key] == 0 {
			delete(r.prefixCounts, key)
		}
	}
	return true
}

// UnsharedKeys returns the blocks of a removed prefix that no other prefix contains.
func (r *PrefixSet) UnsharedKeys(c Prefix) []core.BlockKey {
	return slices.DeleteFunc(slices.Clone(c.Keys), func(key core.BlockKey) bool { return r.prefixCounts[key] > 0 })
}

// SortedByValue returns the prefixes, highest value first.
func (r *PrefixSet) SortedByValue(now time.Time) []Prefix {
	prefixes := slices.Collect(maps.Values(r.prefixes))
	slices.SortFunc(prefixes, func(a, b Prefix) int {
		valueA, valueB := a.Value(r.history.Usage(a.LastKey()), now), b.Value(r.history.Usage(b.LastKey()), now)
		return cmp.Or(cmp.Compare(valueB, valueA), slices.Compare(lastKeyBytes(a), lastKeyBytes(b)))
	})
	return prefixes
}

// removeBest removes the best prefix. Equal values are decided by the key, so that
// the choice does not depend on the order of the map.
func (r *PrefixSet) removeBest(allowed func(Prefix) bool, better func(a, b float64) bool, now time.Time) (Prefix, bool) {
	var best Prefix
	var bestValue float64
	for key, c := range r.prefixes {
		if !allowed(c) {
			continue
		}
		value := c.Value(r.history.Usage(key), now)
		tie := value == bestValue && best.Keys != nil && slices.Compare(key[:], lastKeyBytes(best)) < 0
		if best.Keys == nil || better(value, bestValue) || tie {
			best, bestValue = c, value
		}
	}
	if best.Keys == nil {
		return Prefix{}, false
	}
	r.Remove(best.LastKey())
	return best, true
}

func lastKeyBytes(c Prefix) []byte {
	key := c.LastKey()
	return key[:]
}
