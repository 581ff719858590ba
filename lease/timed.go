package lease

import (
	"strconv"
	"strings"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// fencesPerGeneration is the number of fences that are reserved for each generation of
// the store's content. The fences of a newer generation are larger than all those of
// older generations, whose rows may be lost.
const fencesPerGeneration = 1 << 24

// StoreLeaseKey returns the key of the row of a StoreLease in a generation of the store's
// content. Each generation has a row of its own: a write that got no response may take
// effect after a restore, when the version that it replaces may have been assigned again.
// It then changes the row of an older generation, which no process reads.
func StoreLeaseKey(name string, generation core.Generation) string {
	return name + "/" + strconv.FormatUint(uint64(generation), 10)
}

// IsOlderStoreLeaseKey reports whether a key belongs to a lease in an older generation, so
// that its row may be removed. The key without a generation is one that earlier versions
// of this software wrote.
func IsOlderStoreLeaseKey(key, name string, generation core.Generation) bool {
	if key == name {
		return true
	}
	suffix, ok := strings.CutPrefix(key, name+"/")
	if !ok {
		return false
	}
	other, err := strconv.ParseUint(suffix, 10, 64)
	return err == nil && core.Generation(other) < generation
}

// MaxFence returns the largest fence that a lease can have in a generation of the store's
// content.
func MaxFence(generation core.Generation) core.Fence {
	return core.Fence(generation)*fencesPerGeneration + fencesPerGeneration
}

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
//
// Each generation of the store's content has its own row, see StoreLeaseKey. After a
// restore the row does not exist. A process that does not hold the lease then waits until
// a lease of the previous generation has expired and the gap after it has elapsed. One
// duty owns the state.
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
	// heldFence and heldGeneration are the fence of the lease that was last held and the
	// generation in which it was written.
	heldFence      core.Fence
	heldGeneration core.Generation
	// generation is the newest observed generation of the store's content.
	generation core.Generation
	// acquirableAt is the local time from which the lease may be acquired in this
	// generation.
	acquirableAt time.Duration
}

// NewStoreLease returns the state of a process that has not read the row.
func NewStoreLease(cfg StoreLeaseConfig, self core.NodeID, incarnation core.Incarnation) *StoreLease {
	return &StoreLease{cfg: cfg, self: self, incarnation: incarnation}
}

// ObserveGeneration records the generation of the store's content and the local time
// after its first observation. Later observations of the same generation have no
// effect. A process that has just started cannot know whether the content was restored
// before, so that its first observation counts as a restore.
func (l *StoreLease) ObserveGeneration(now time.Duration, generation core.Generation) {
	if l.acquirableAt != 0 && generation <= l.generation {
		return
	}
	l.generation = generation
	l.acquirableAt = now + l.cfg.Duration + l.cfg.Gap
}

// Generation returns the newest observed generation.
func (l *StoreLease) Generation() core.Generation { return l.generation }

// RecordRead records the content of the row of the observed generation, the time that the
// store returned with it and the local time before the row was requested. Version 0 means
// that the row does not exist; its fence is then one that the next fence must exceed. A
// holder of the previous generation remains the holder until its time has ended.
func (l *StoreLease) RecordRead(requestedAt time.Duration, row StoreLeaseRow, version uint64, storeNow time.Duration) {
	l.row, l.version, l.storeNow, l.requestedAt = row, version, storeNow, requestedAt
	isOwnRow := row.Holder == l.self && row.Incarnation == l.incarnation
	if !isOwnRow && !l.holdsLostLease() {
		l.stopAt = 0
	}
}

// holdsLostLease reports whether this process holds the lease of an older generation.
// Other processes do not acquire the lease meanwhile. If the response was so late that one
// has acquired it, the row of this generation exists.
func (l *StoreLease) holdsLostLease() bool {
	return l.version == 0 && l.heldGeneration < l.generation && l.requestedAt < l.stopAt
}

// Proposal returns the row to write and the version that it replaces. It returns
// false if another node may be the holder, or was the holder and the gap after the
// expiry has not elapsed. An acquisition and the first renewal in a generation raise the
// fence. Further renewals keep it.
func (l *StoreLease) Proposal() (StoreLeaseRow, uint64, bool) {
	if !l.mayWrite() {
		return StoreLeaseRow{}, 0, false
	}
	next := StoreLeaseRow{Holder: l.self, Incarnation: l.incarnation, Fence: l.row.Fence, Expiry: l.storeNow + l.cfg.Duration}
	isRenewal := l.row.Holder == l.self && l.row.Incarnation == l.incarnation
	if !isRenewal {
		next.Fence = max(next.Fence, l.baseFence()) + 1
	}
	return next, l.version, true
}

// baseFence returns the number that all fences of the observed generation exceed.
func (l *StoreLease) baseFence() core.Fence {
	return core.Fence(l.generation) * fencesPerGeneration
}

func (l *StoreLease) mayWrite() bool {
	switch {
	case l.version != 0 && l.row.Fence <= l.baseFence():
		// The row was not written as that of this generation. It may have replaced the row
		// of a holder whose fence is unknown.
		return false
	case l.requestedAt < l.stopAt:
		return true
	case l.requestedAt < l.acquirableAt:
		return false
	}
	return l.version == 0 || l.row.Holder == l.self || l.storeNow >= l.row.Expiry+l.cfg.Gap
}

// TakeoverDelay returns the time, counted from the last request for the row, after
// which another process may acquire the lease unless the holder renews it.
func (l *StoreLease) TakeoverDelay() time.Duration {
	return max(l.row.Expiry+l.cfg.Gap-l.storeNow, l.acquirableAt-l.requestedAt, 0)
}

// RecordWrite records that the row from Proposal was written.
func (l *StoreLease) RecordWrite(row StoreLeaseRow) {
	l.row, l.heldFence, l.heldGeneration = row, row.Fence, l.generation
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
	return l.heldFence, true
}

// StopAt returns the local time at which the holder must stop.
func (l *StoreLease) StopAt() time.Duration { return l.stopAt }

// Release ends the time of the holder. Its next read of the row yields ReleaseProposal.
func (l *StoreLease) Release() { l.stopAt = 0 }

// ReleaseProposal returns the row with which a process that has called Release gives the
// lease up, and the version that it replaces. It returns false if the row is not its own.
// The margin remains, for a request that was sent just before the release.
func (l *StoreLease) ReleaseProposal() (StoreLeaseRow, uint64, bool) {
	isOwnRow := l.row.Holder == l.self && l.row.Incarnation == l.incarnation
	if l.version == 0 || !isOwnRow || l.stopAt != 0 {
		return StoreLeaseRow{}, 0, false
	}
	released := l.row
	released.Expiry = min(released.Expiry, l.storeNow+l.cfg.Margin)
	return released, l.version, true
}
