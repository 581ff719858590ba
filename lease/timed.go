package lease

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// StoreLeaseRow is the content of the row of a StoreLease. Expiry is a time on the
// monotonic clock of the platform's metadata store.
type StoreLeaseRow struct {
	Holder      core.NodeID
	Incarnation core.Incarnation
	Fence       core.Fence
	Expiry      time.Duration
}

// StoreLeaseConfig contains the durations of a StoreLease.
type StoreLeaseConfig struct {
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

// StoreLease is the state, as observed by one process, of a lease that is stored in
// the platform's metadata store. Its expiry is a time on the store's clock, which
// the store returns in each response. A process can therefore acquire an expired
// lease immediately after the gap, without observing the row first. The holder
// measures local time with a clock that also advances while the VM is suspended.
// One duty owns the state.
type StoreLease struct {
	cfg         StoreLeaseConfig
	self        core.NodeID
	incarnation core.Incarnation
	row         StoreLeaseRow
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

// NewStoreLease returns the state of a process that has not read the row.
func NewStoreLease(cfg StoreLeaseConfig, self core.NodeID, incarnation core.Incarnation) *StoreLease {
	return &StoreLease{cfg: cfg, self: self, incarnation: incarnation}
}

// RecordRead records the content of the row, the time that the store returned with
// it and the local time before the row was requested. Version 0 means that the row
// does not exist.
func (t *StoreLease) RecordRead(requestedAt time.Duration, row StoreLeaseRow, version uint64, storeNow time.Duration) {
	t.row, t.version, t.storeNow, t.requestedAt = row, version, storeNow, requestedAt
	if row.Holder != t.self || row.Incarnation != t.incarnation {
		t.stopAt = 0
	}
}

// Proposal returns the row to write and the version that it replaces. It returns
// false if another process holds the lease or the gap after its expiry has not
// elapsed. An acquisition raises the fence. A renewal keeps the fence.
func (t *StoreLease) Proposal() (StoreLeaseRow, uint64, bool) {
	sameNode := t.row.Holder == t.self
	mayWrite := t.version == 0 || sameNode || t.storeNow >= t.row.Expiry+t.cfg.Gap
	if !mayWrite {
		return StoreLeaseRow{}, 0, false
	}
	next := StoreLeaseRow{Holder: t.self, Incarnation: t.incarnation, Fence: t.row.Fence, Expiry: t.storeNow + t.cfg.Duration}
	if !sameNode || t.row.Incarnation != t.incarnation {
		next.Fence++
	}
	return next, t.version, true
}

// TakeoverDelay returns the time, counted from the last request for the row, after
// which another process may acquire the lease unless the holder renews it.
func (t *StoreLease) TakeoverDelay() time.Duration { return max(t.row.Expiry+t.cfg.Gap-t.storeNow, 0) }

// RecordWrite records that the row from Proposal was written.
func (t *StoreLease) RecordWrite(row StoreLeaseRow) {
	t.row = row
	t.stopAt = t.requestedAt + t.cfg.Duration - t.cfg.Margin
	t.renewAt = t.requestedAt + t.cfg.RenewInterval
}

// ReadDue reports whether the row must be read now, in order to acquire or
// renew the lease.
func (t *StoreLease) ReadDue(now time.Duration) bool { return t.stopAt == 0 || now >= t.renewAt }

// HeldFence returns the fence, and whether this process holds the lease at the
// given local time.
func (t *StoreLease) HeldFence(now time.Duration) (core.Fence, bool) {
	if t.stopAt == 0 || now >= t.stopAt {
		return 0, false
	}
	return t.row.Fence, true
}

// StopAt returns the local time at which the holder must stop.
func (t *StoreLease) StopAt() time.Duration { return t.stopAt }
