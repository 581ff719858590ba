package lease

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// StoreClockRow is the content of the row of a lease whose expiry is a time on the
// monotonic clock of the metadata store.
type StoreClockRow struct {
	Holder      core.NodeID
	Incarnation core.Incarnation
	Fence       core.Fence
	Expiry      time.Duration
}

// StoreClockConfig contains the durations of a lease on the clock of the metadata
// store.
type StoreClockConfig struct {
	// Duration is the time for which the lease is valid after a renewal.
	Duration time.Duration
	// Margin is the time before the expiry of the lease at which the holder stops.
	Margin time.Duration
	// Gap is the minimum time between the expiry of the lease and a takeover by
	// another process. It separates the orders of two holders.
	Gap time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
}

// StoreClockState is the state, as observed by one process, of a lease on the clock
// of the metadata store. A process acquires a free lease immediately, because it
// compares the expiry with the time that the store returns in each response. The
// holder measures local time with a clock that also advances while the VM is
// suspended. One duty owns the state.
type StoreClockState struct {
	cfg         StoreClockConfig
	self        core.NodeID
	incarnation core.Incarnation
	row         StoreClockRow
	version     uint64
	// storeNow is the time of the store's clock when the row was last read.
	storeNow time.Duration
	// requestedAt is the local time before the row was last requested.
	requestedAt time.Duration
	// stopAt is the local time at which the holder must stop. It is zero while this
	// process does not hold the lease.
	stopAt  time.Duration
	renewAt time.Duration
}

// NewStoreClockState returns the state of a process that has not read the row.
func NewStoreClockState(cfg StoreClockConfig, self core.NodeID, incarnation core.Incarnation) *StoreClockState {
	return &StoreClockState{cfg: cfg, self: self, incarnation: incarnation}
}

// RowRead records the content of the row, the time that the store returned with it
// and the local time before the row was requested. Version 0 means that the row
// does not exist.
func (t *StoreClockState) RowRead(requestedAt time.Duration, row StoreClockRow, version uint64, storeNow time.Duration) {
	t.row, t.version, t.storeNow, t.requestedAt = row, version, storeNow, requestedAt
	if row.Holder != t.self || row.Incarnation != t.incarnation {
		t.stopAt = 0
	}
}

// Proposal returns the row to write and the version that it replaces. It returns
// false if another process holds the lease or the gap after its expiry has not
// elapsed. A takeover raises the fence.
func (t *StoreClockState) Proposal() (StoreClockRow, uint64, bool) {
	sameNode := t.row.Holder == t.self
	free := t.version == 0 || sameNode || t.storeNow >= t.row.Expiry+t.cfg.Gap
	if !free {
		return StoreClockRow{}, 0, false
	}
	next := StoreClockRow{Holder: t.self, Incarnation: t.incarnation, Fence: t.row.Fence, Expiry: t.storeNow + t.cfg.Duration}
	if !sameNode || t.row.Incarnation != t.incarnation {
		next.Fence++
	}
	return next, t.version, true
}

// WaitTime returns the time after the request for the row during which no other
// process may acquire the lease, even if the holder does not renew it again.
func (t *StoreClockState) WaitTime() time.Duration { return max(t.row.Expiry+t.cfg.Gap-t.storeNow, 0) }

// RowWritten records that the proposal was written.
func (t *StoreClockState) RowWritten(row StoreClockRow) {
	t.row = row
	t.stopAt = t.requestedAt + t.cfg.Duration - t.cfg.Margin
	t.renewAt = t.requestedAt + t.cfg.RenewInterval
}

// ReadDue reports whether the row must be read now, in order to acquire or
// renew the lease.
func (t *StoreClockState) ReadDue(now time.Duration) bool { return t.stopAt == 0 || now >= t.renewAt }

// HeldFence returns the fence, and whether this process holds the lease at the
// given local time.
func (t *StoreClockState) HeldFence(now time.Duration) (core.Fence, bool) {
	if t.stopAt == 0 || now >= t.stopAt {
		return 0, false
	}
	return t.row.Fence, true
}

// StopAt returns the local time at which the holder must stop.
func (t *StoreClockState) StopAt() time.Duration { return t.stopAt }
