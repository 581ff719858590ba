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
	// Margin is the duration by which the holder stops acting as the holder earlier
	// than the lease expires.
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
// lease immediately after the gap, without observing an unchanged row for the full
// lease duration. The holder
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
func (l *StoreLease) RecordRead(requestedAt time.Duration, row StoreLeaseRow, version uint64, storeNow time.Duration) {
	l.row, l.version, l.storeNow, l.requestedAt = row, version, storeNow, requestedAt
	if row.Holder != l.self || row.Incarnation != l.incarnation {
		l.stopAt = 0
	}
}

// Proposal returns the row to write and the version that it replaces. It returns
// false if another node is the holder and the gap after the expiry has not
// elapsed. An acquisition raises the fence. A renewal keeps the fence.
func (l *StoreLease) Proposal() (StoreLeaseRow, uint64, bool) {
	sameNode := l.row.Holder == l.self
	mayWrite := l.version == 0 || sameNode || l.storeNow >= l.row.Expiry+l.cfg.Gap
	if !mayWrite {
		return StoreLeaseRow{}, 0, false
	}
	next := StoreLeaseRow{Holder: l.self, Incarnation: l.incarnation, Fence: l.row.Fence, Expiry: l.storeNow + l.cfg.Duration}
	if !sameNode || l.row.Incarnation != l.incarnation {
		next.Fence++
	}
	return next, l.version, true
}

// TakeoverDelay returns the time, counted from the last request for the row, after
// which another process may acquire the lease unless the holder renews it.
func (l *StoreLease) TakeoverDelay() time.Duration { return max(l.row.Expiry+l.cfg.Gap-l.storeNow, 0) }

// RecordWrite records that the row from Proposal was written.
func (l *StoreLease) RecordWrite(row StoreLeaseRow) {
	l.row = row
	l.stopAt = l.requestedAt + l.cfg.Duration - l.cfg.Margin
	l.renewAt = l.requestedAt + l.cfg.RenewInterval
}

// ReadDue reports whether the row must be read now, in order to acquire or
// renew the lease.
func (l *StoreLease) ReadDue(now time.Duration) bool { return l.stopAt == 0 || now >= l.renewAt }

// HeldFence returns the fence, and whether this process holds the lease at the
// given local time.
func (l *StoreLease) HeldFence(now time.Duration) (core.Fence, bool) {
	if l.stopAt == 0 || now >= l.stopAt {
		return 0, false
	}
	return l.row.Fence, true
}

// StopAt returns the local time at which the holder must stop.
func (l *StoreLease) StopAt() time.Duration { return l.stopAt }
