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
const returnHalfTime = 6 * time.Hour

// Visit is what is known about the use of one prefix.
type Visit struct {
	Returns int
	Last    time.Time
}

// ReturnChance estimates the probability that a prefix is used again. A prefix
// that has returned before is more likely to return.
func (v Visit) ReturnChance(now time.Time) float64 {
	seen := float64(v.Returns)
	age := max(0, now.Sub(v.Last))
	return (seen + 1) / (seen + 2) / (1 + age.Hours()/returnHalfTime.Hours())
}

// History remembers the uses of the most recent prefixes, each named by the key
// of its last block.
type History struct {
	visits *lru.Cache[core.BlockKey, Visit]
}

// NewHistory returns a history of at most limit prefixes.
func NewHistory(limit int) *History {
	visits, err := lru.New[core.BlockKey, Visit](max(limit, 1))
	if err != nil {
		panic(err) // only a size below one is refused
	}
	return &History{visits: visits}
}

// Observe records a use of a prompt and returns how many of its blocks, from
// the first on, had been used before.
func (h *History) Observe(keys []core.BlockKey, now time.Time) int {
	shared, broken := 0, false
	for i, key := range keys {
		visit, ok := h.visits.Get(key)
		broken = broken || !ok
		if !broken {
			shared = i + 1
		}
		if ok {
			visit.Returns++
		}
		visit.Last = now
		h.visits.Add(key, visit)
	}
	return shared
}

// Visit returns what is known about the prefix that ends with the key.
func (h *History) Visit(key core.BlockKey) Visit {
	visit, _ := h.visits.Peek(key)
	return visit
}

// Candidate is a prefix that could be kept.
type Candidate struct {
	Salt string
	// Keys are the blocks of the prefix in prompt order.
	Keys []core.BlockKey
	// SavedBytes is the prompt text that an import would save from being
	// recomputed; MovedBytes is what the export has to move.
	SavedBytes int
	MovedBytes int
}

// Last returns the key that names the prefix.
func (c Candidate) Last() core.BlockKey { return c.Keys[len(c.Keys)-1] }

// Value is the recomputation saved per byte moved, weighed by the chance of a
// return.
func (c Candidate) Value(v Visit, now time.Time) float64 {
	return float64(c.SavedBytes) / float64(max(c.MovedBytes, 1)) * v.ReturnChance(now)
}

// Retention holds the prefixes that are to be kept: first those waiting for
// their export, later those exported. When full it drops the lowest value.
type Retention struct {
	limit   int
	history *History
	entries map[core.BlockKey]Candidate
	// users counts the prefixes that contain each block.
	users map[core.BlockKey]int
}

// NewRetention returns an empty set of at most limit prefixes.
func NewRetention(limit int, history *History) *Retention {
	return &Retention{
		limit: max(limit, 1), history: history,
		entries: make(map[core.BlockKey]Candidate), users: make(map[core.BlockKey]int),
	}
}

// Len returns the number of prefixes.
func (r *Retention) Len() int { return len(r.entries) }

// Has reports whether a prefix is in the set.
func (r *Retention) Has(key core.BlockKey) bool {
	_, ok := r.entries[key]
	return ok
}

// Add adds a prefix. It returns the prefix that has to go, which may be the
// added one, and whether there is one.
func (r *Retention) Add(c Candidate, now time.Time, pins Pins) (dropped Candidate, ok bool) {
	r.Remove(c.Last())
	r.entries[c.Last()] = c
	for _, key := range c.Keys {
		r.users[key]++
	}
	if len(r.entries) <= r.limit {
		return Candidate{}, false
	}
	return r.DropLowest(now, pins)
}

// DropLowest removes the prefix of the lowest value that is not pinned.
func (r *Retention) DropLowest(now time.Time, pins Pins) (dropped Candidate, ok bool) {
	return r.pick(func(c Candidate) bool { return !pins.Pinned(c.Last()) }, func(a, b float64) bool { return a < b }, now)
}

// TakeHighest removes and returns the prefix of the highest value.
func (r *Retention) TakeHighest(now time.Time) (Candidate, bool) {
	return r.pick(func(Candidate) bool { return true }, func(a, b float64) bool { return a > b }, now)
}

// Remove removes a prefix and reports whether it was in the set.
func (r *Retention) Remove(last core.BlockKey) bool {
	c, ok := r.entries[last]
	if !ok {
		return false
	}
	delete(r.entries, last)
	for _, key := range c.Keys {
		if r.users[key]--; r.users[key] == 0 {
			delete(r.users, key)
		}
	}
	return true
}

// Unused returns the blocks of a removed prefix that no other prefix contains.
func (r *Retention) Unused(c Candidate) []core.BlockKey {
	return slices.DeleteFunc(slices.Clone(c.Keys), func(key core.BlockKey) bool { return r.users[key] > 0 })
}

// All returns the prefixes, highest value first.
func (r *Retention) All(now time.Time) []Candidate {
	all := slices.Collect(maps.Values(r.entries))
	slices.SortFunc(all, func(a, b Candidate) int {
		valueA, valueB := a.Value(r.history.Visit(a.Last()), now), b.Value(r.history.Visit(b.Last()), now)
		return cmp.Or(cmp.Compare(valueB, valueA), slices.Compare(lastOf(a), lastOf(b)))
	})
	return all
}

// pick removes the best prefix. Equal values are decided by the key, so that
// the choice does not depend on the order of the map.
func (r *Retention) pick(allowed func(Candidate) bool, better func(a, b float64) bool, now time.Time) (Candidate, bool) {
	var best Candidate
	var bestValue float64
	for key, c := range r.entries {
		if !allowed(c) {
			continue
		}
		value := c.Value(r.history.Visit(key), now)
		tie := value == bestValue && best.Keys != nil && slices.Compare(key[:], lastOf(best)) < 0
		if best.Keys == nil || better(value, bestValue) || tie {
			best, bestValue = c, value
		}
	}
	if best.Keys == nil {
		return Candidate{}, false
	}
	r.Remove(best.Last())
	return best, true
}

func lastOf(c Candidate) []byte {
	key := c.Last()
	return key[:]
}
