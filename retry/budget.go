package retry

import "time"

// BudgetOptions bound the retries of one entry.
type BudgetOptions struct {
	// Share is how many retries each call adds to the budget.
	Share float64
	// PerSecond is added regardless of calls, so that an entry with little
	// traffic can retry at all.
	PerSecond float64
	// Burst is the largest amount saved up.
	Burst float64
}

// DefaultBudget allows retries for one call in ten.
func DefaultBudget() BudgetOptions {
	return BudgetOptions{Share: 0.1, PerSecond: 1, Burst: 20}
}

// Budget is a token bucket of retries. Without it the retries of an overloaded
// system would add to its load.
type Budget struct {
	opts   BudgetOptions
	tokens float64
	last   time.Time
}

// NewBudget returns a full budget.
func NewBudget(opts BudgetOptions) *Budget { return &Budget{opts: opts, tokens: opts.Burst} }

// Reduce lowers what is saved up, for a process that does not know what it has
// used before its start.
func (b *Budget) CapTokens(tokens float64) { b.tokens = min(b.tokens, tokens) }

// Retune changes the options and keeps what is saved up, within the new burst.
func (b *Budget) SetOptions(opts BudgetOptions) {
	b.opts, b.tokens = opts, min(b.tokens, opts.Burst)
}

// Call adds the share of one new call.
func (b *Budget) RecordCall(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+b.opts.Share, b.opts.Burst)
}

// Take spends one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of retries that may be made now.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

func (b *Budget) refill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.tokens+now.Sub(b.last).Seconds()*b.opts.PerSecond, b.opts.Burst)
	}
	if now.After(b.last) {
		b.last = now
	}
}
