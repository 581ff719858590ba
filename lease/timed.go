package lease

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// StoreClockRow is the content of a lease's row whose end is given on the store's
// steady clock.
type StoreClockRow struct {
	Holder      core.NodeID
	Incarnation core.Incarnation
	Fence       core.Fence
	Expiry      time.Duration
}

// StoreClockConfig sets the times of a lease on the store's clock.
type StoreClockConfig struct {
	// Duration is how long the lease holds after a renewal.
	Duration time.Duration
	// Margin is how much earlier the holder stops.
	Margin time.Duration
	// Gap is how long nobody else takes the lease after its end. It keeps
	// orders of two holders apart.
	Gap time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
}

// StoreClockState is one process's knowledge of a lease on the store's clock. A free
// lease is taken at once, since its end can be compared with the time that the
// store states in each answer. The holder measures its own time with a clock
// that also counts while the VM is suspended. It is owned by one duty.
type StoreClockState struct {
	cfg         StoreClockConfig
	self        core.NodeID
	incarnation core.Incarnation
	row         StoreClockRow
	version     uint64
	storeNow    time.Duration
	askedAt     time.Duration
	until       time.Duration
	renewAt     time.Duration
}

// NewStoreClockState returns the state of a process that has not read the row.
func NewStoreClockState(cfg StoreClockConfig, self core.NodeID, incarnation core.Incarnation) *StoreClockState {
	return &StoreClockState{cfg: cfg, self: self, incarnation: incarnation}
}

// RowRead notes the row's content, the time that the store stated and the own time
// before the row was asked for. Version 0 means that there is no row.
func (t *StoreClockState) RowRead(askedAt time.Duration, row StoreClockRow, version uint64, storeNow time.Duration) {
	t.row, t.version, t.storeNow, t.askedAt = row, version, storeNow, askedAt
	if row.Holder != t.self || row.Incarnation != t.incarnation {
		t.until = 0
	}
}

// Proposal returns the row to write and the version that it replaces, or false
// when another process has the lease. A takeover raises the fence.
func (t *StoreClockState) Proposal() (StoreClockRow, uint64, bool) {
	own := t.row.Holder == t.self
	free := t.version == 0 || own || t.storeNow >= t.row.Expiry+t.cfg.Gap
	if !free {
		return StoreClockRow{}, 0, false
	}
	next := StoreClockRow{Holder: t.self, Incarnation: t.incarnation, Fence: t.row.Fence, Expiry: t.storeNow + t.cfg.Duration}
	if !own || t.row.Incarnation != t.incarnation {
		next.Fence++
	}
	return next, t.version, true
}

// WaitTime is how long after the row was asked for nobody may take the lease if
// its holder does not renew it any more.
func (t *StoreClockState) WaitTime() time.Duration { return max(t.row.Expiry+t.cfg.Gap-t.storeNow, 0) }

// RowWritten notes that the proposal took effect.
func (t *StoreClockState) RowWritten(row StoreClockRow) {
	t.row = row
	t.until = t.askedAt + t.cfg.Duration - t.cfg.Margin
	t.renewAt = t.askedAt + t.cfg.RenewInterval
}

// RenewalDue reports whether the lease has to be read, to take or to renew it.
func (t *StoreClockState) RenewalDue(now time.Duration) bool { return t.until == 0 || now >= t.renewAt }

// HeldFence returns the fence while the lease is held at the given own time.
func (t *StoreClockState) HeldFence(now time.Duration) (core.Fence, bool) {
	if t.until == 0 || now >= t.until {
		return 0, false
	}
	return t.row.Fence, true
}

// StopAt returns the own time at which the holder has to stop.
func (t *StoreClockState) StopAt() time.Duration { return t.until }
