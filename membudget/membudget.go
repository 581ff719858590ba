// Package membudget bounds the memory that all unfinished messages of a process hold
// together. Memory is charged before it is allocated, and a charge that the budget cannot
// grant is refused at once. A part of the budget is reserved for the first bytes of each
// message, so that messages that grow without end do not use up what small ones need.
package membudget

import (
	"errors"
	"sync/atomic"

	"waxwingtide.example/waxwingtide/errs"
)

const (
	// ReservedBytes is the number of bytes of each message that are charged to the reserved
	// part of the budget. Most sound heads, events and control replies need less.
	ReservedBytes = 8 << 10
	// reservedShare is the share of the budget that is reserved.
	reservedShare = 0.25
)

// Budget is the memory for the messages of one kind. It may be used concurrently.
type Budget struct {
	name             string
	reserved, shared pool
	refusals         atomic.Int64
}

// New returns a budget of a number of bytes. The name appears in errors and metrics.
func New(name string, limitBytes int64) *Budget {
	b := &Budget{name: name}
	b.reserved.limit = int64(reservedShare * float64(limitBytes))
	b.shared.limit = limitBytes - b.reserved.limit
	return b
}

// Name returns the name of the budget.
func (b *Budget) Name() string { return b.name }

// UsedBytes returns the number of bytes that are charged.
func (b *Budget) UsedBytes() int64 { return b.reserved.used.Load() + b.shared.used.Load() }

// LimitBytes returns the number of bytes that may be charged.
func (b *Budget) LimitBytes() int64 { return b.reserved.limit + b.shared.limit }

// Refusals returns the number of charges that were refused.
func (b *Budget) Refusals() int64 { return b.refusals.Load() }

// Open returns the account of a message that holds no memory.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// pool is a part of a budget.
type pool struct {
	limit int64
	used  atomic.Int64
}

// take charges bytes if at least minFree bytes then remain free.
func (p *pool) take(bytes, minFree int64) bool {
	if p.used.Add(bytes) <= p.limit-minFree {
		return true
	}
	p.used.Add(-bytes)
	return false
}

// Account is the memory of one message. It must not be used concurrently.
type Account struct {
	budget *Budget
	// reserved and shared are the bytes that are charged to the parts of the budget.
	reserved, shared int64
}

// errRefused is the cause of the errors of refused charges.
var errRefused = errors.New("memory budget is exhausted")

// IsRefusal reports whether an error was caused by a refused charge.
func IsRefusal(err error) bool { return errors.Is(err, errRefused) }

// Charge charges further bytes. The error has the kind errs.Exhausted if the budget cannot
// grant them; they are then not charged.
func (a *Account) Charge(bytes int64) error {
	reserved := min(bytes, ReservedBytes-a.reserved)
	if !a.budget.reserved.take(reserved, 0) {
		reserved = 0
	}
	if !a.takeShared(bytes - reserved) {
		a.budget.reserved.used.Add(-reserved)
		a.budget.refusals.Add(1)
		return errs.Wrap(errRefused, errs.Exhausted, "retry later", "%d bytes exceed the memory that is left for %s", bytes, a.budget.name)
	}
	a.reserved += reserved
	return nil
}

// takeShared charges bytes to the shared part. A message may hold as much of it as it leaves
// free. The more is charged, the sooner a message that grows without end is refused, and
// the memory of a refused message becomes free.
func (a *Account) takeShared(bytes int64) bool {
	if bytes == 0 {
		return true
	}
	if !a.budget.shared.take(bytes, a.shared+bytes) {
		return false
	}
	a.shared += bytes
	return true
}

// Release returns bytes that were charged.
func (a *Account) Release(bytes int64) {
	shared := min(bytes, a.shared)
	a.shared -= shared
	a.budget.shared.used.Add(-shared)
	a.reserved -= bytes - shared
	a.budget.reserved.used.Add(shared - bytes)
}

// Close returns all bytes that are charged. It may be called several times.
func (a *Account) Close() { a.Release(a.heldBytes()) }

// heldBytes returns the number of bytes that are charged.
func (a *Account) heldBytes() int64 { return a.reserved + a.shared }
