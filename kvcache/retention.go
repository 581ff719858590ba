package kvcache

import (
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
}

// NewRetention returns an empty set of at most limit prefixes.
func NewRetention(limit int, history *History) *Retention {
	return &Retention{limit: max(limit, 1), history: history, entries: make(map[core.BlockKey]Candidate)}
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
	r.entries[c.Last()] = c
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

// Remove removes a prefix.
func (r *Retention) Remove(key core.BlockKey) { delete(r.entries, key) }

// All returns the prefixes, highest value first.
func (r *Retention) All(now time.Time) []Candidate {
	rest := &Retention{history: r.history, entries: make(map[core.BlockKey]Candidate, len(r.entries))}
	for key, c := range r.entries {
		rest.entries[key] = c
	}
	all := make([]Candidate, 0, len(r.entries))
	for c, ok := rest.TakeHighest(now); ok; c, ok = rest.TakeHighest(now) {
		all = append(all, c)
	}
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
	delete(r.entries, best.Last())
	return best, true
}

func lastOf(c Candidate) []byte {
	key := c.Last()
	return key[:]
}
