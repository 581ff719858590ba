package retry

import "time"

// BudgetOptions bound the retries that a Budget allows.
type BudgetOptions struct {
	// Share is the number of retries that each call adds to the budget.
	Share float64
	// PerSecond is the number of retries that is added per second regardless of
	// calls, so that a process with little traffic can retry at all.
	PerSecond float64
	// Burst is the maximum number of accumulated retries.
	Burst float64
}

// DefaultBudgetOptions allow retries for one call in ten, plus one retry per second
// and a burst of 20.
func DefaultBudgetOptions() BudgetOptions {
	return BudgetOptions{Share: 0.1, PerSecond: 1, Burst: 20}
}

// Budget is a token bucket of retries. Without it, retries would add to the load
// of an overloaded system.
type Budget struct {
	opts       BudgetOptions
	retries    float64
	lastRefill time.Time
}

// NewBudget returns a full budget.
func NewBudget(opts BudgetOptions) *Budget { return &Budget{opts: opts, retries: opts.Burst} }

// CapRetries limits the accumulated retries to the given number, for a process
// that has no record of the retries it made before its start.
func (b *Budget) CapRetries(retries float64) { b.retries = min(b.retries, retries) }

// SetOptions changes the options. Accumulated retries remain, up to the new burst.
func (b *Budget) SetOptions(opts BudgetOptions) {
	b.opts, b.retries = opts, min(b.retries, opts.Burst)
}

// RecordCall adds the share of one new call.
func (b *Budget) RecordCall(now time.Time) {
	b.refill(now)
	b.retries = min(b.retries+b.opts.Share, b.opts.Burst)
}

// Take takes one retry from the budget and reports whether one was available.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// Available returns the number of retries that may be made now.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now)
	return b.retries
}

func (b *Budget) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.retries = min(b.retries+now.Sub(b.lastRefill).Seconds()*b.opts.PerSecond, b.opts.Burst)
	}
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}
