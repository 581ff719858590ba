// Package lease decides when a process acquires, renews and loses a lease, and
// checks the fences of orders. An order is an administrative request to an upstream
// that only the holder may send, with the fence of its lease. The package has two
// kinds of lease. Neither requires synchronised clocks.
//
// State is a lease that is stored as a row of the platform's table. Each process
// measures durations with its local monotonic clock. A contender acquires the lease
// after it has observed the same version of the row for the full lease duration.
// The holder stops acting as the holder when the lease duration minus a safety
// margin has elapsed since it sent its last successful renewal.
//
// StoreLease is a lease that is stored in the platform's metadata store, which is a
// service separate from the table. Its expiry is a time on the clock of that store.
package lease

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Row is the content of the lease's row.
type Row struct {
	Holder      core.NodeID
	Incarnation core.Incarnation
	Fence       core.Fence
	Duration    time.Duration
}

// Config contains the durations of a lease.
type Config struct {
	// Duration is the time for which the lease is valid after a renewal.
	Duration time.Duration
	// Margin is the duration by which the holder stops acting as the holder earlier
	// than the lease expires. It covers clock drift and the time that an order needs
	// to reach an upstream.
	Margin time.Duration
	// RenewInterval is the time between two renewals by the holder, and between two
	// reads by a contender.
	RenewInterval time.Duration
}

// DefaultConfig returns a configuration in which the lease outlasts two lost
// renewals.
func DefaultConfig() Config {
	return Config{Duration: 9 * time.Second, Margin: 2 * time.Second, RenewInterval: 2 * time.Second}
}

// State is the state of a lease as observed by one process. One duty owns it.
type State struct {
	cfg         Config
	self        core.NodeID
	incarnation core.Incarnation
	row         Row
	version     uint64
	// rowRead is true if the row has been read and no request has failed since
	// then.
	rowRead bool
	// versionSeenAt is the time at which the current version was first observed.
	versionSeenAt time.Time
	// stopAt is the time at which the holder must stop acting as such. It is zero while this
	// process does not hold the lease.
	stopAt     time.Time
	nextStepAt time.Time
}

// New returns the state of a process that has not read the row.
func New(cfg Config, self core.NodeID, incarnation core.Incarnation, now time.Time) *State {
	return &State{cfg: cfg, self: self, incarnation: incarnation, nextStepAt: now}
}

// RecordRead records the content of the row. Version 0 means that the row does not
// exist. now must be the time after the read, so that a slow read cannot cause a
// takeover before the lease expires.
func (s *State) RecordRead(now time.Time, row Row, version uint64) {
	if version != s.version || s.versionSeenAt.IsZero() {
		s.versionSeenAt = now
	}
	s.row, s.version, s.rowRead = row, version, true
	if !s.isHolder(row) {
		s.stopAt = time.Time{}
	}
}

// isHolder reports whether the row names this incarnation as the holder.
func (s *State) isHolder(row Row) bool {
	return row.Holder == s.self && row.Incarnation == s.incarnation
}

// Action is what the process must do now.
type Action uint8

// Actions of a process.
const (
	Wait        Action = iota // wait until NextStepAt
	ReadRow                   // read the row, then call RecordRead or RecordFailure
	WriteRow                  // write the row from Proposal, then call RecordWrite or RecordFailure
	StopHolding               // stop acting as the holder; nothing is written, the lease expires
)

// Step returns the action that is due.
func (s *State) Step(now time.Time) Action {
	if !s.stopAt.IsZero() && !now.Before(s.stopAt) {
		s.stopAt = time.Time{}
		return StopHolding
	}
	if now.Before(s.nextStepAt) {
		return Wait
	}
	if !s.rowRead || !s.mayWrite(now) {
		return ReadRow
	}
	return WriteRow
}

// mayWrite reports whether this process may write the row: it holds the lease, or
// the lease is free, or the lease has expired because the row did not change for
// the full lease duration. If the row names this incarnation but this process does
// not hold the lease, it has stopped as the holder, or the acknowledgement of its
// write was lost. It may then acquire the lease again with a higher fence.
func (s *State) mayWrite(now time.Time) bool {
	if !s.stopAt.IsZero() || s.version == 0 || s.isHolder(s.row) {
		return true
	}
	return now.Sub(s.versionSeenAt) >= max(s.row.Duration, s.cfg.Duration)
}

// Proposal returns the row to write and the version that it replaces. An
// acquisition raises the fence. A renewal keeps the fence.
func (s *State) Proposal() (Row, uint64) {
	row := Row{Holder: s.self, Incarnation: s.incarnation, Fence: s.row.Fence, Duration: s.cfg.Duration}
	if s.stopAt.IsZero() {
		row.Fence++
	}
	return row, s.version
}

// RecordWrite records that the row from Proposal was written. The lease is valid
// for its duration from sentAt, the time before the write was sent.
func (s *State) RecordWrite(sentAt, now time.Time, row Row) {
	s.row = row
	s.version++
	s.versionSeenAt = now
	s.stopAt = sentAt.Add(s.cfg.Duration - s.cfg.Margin)
	s.nextStepAt = now.Add(s.cfg.RenewInterval)
}

// RecordFailure records that a read or a write failed or got no response. The lease
// is not extended, and the row is read before the next write.
func (s *State) RecordFailure(now time.Time) {
	s.rowRead = false
	s.nextStepAt = now.Add(s.cfg.RenewInterval / 2)
}

// ScheduleNextRead schedules the next read of a contender. It has no effect if the
// process may write the row. The caller calls it after RecordRead.
func (s *State) ScheduleNextRead(now time.Time) {
	if !s.mayWrite(now) {
		s.nextStepAt = now.Add(s.cfg.RenewInterval)
	}
}

// NextStepAt returns the time at which Step must be called again.
func (s *State) NextStepAt() time.Time {
	if !s.stopAt.IsZero() && s.stopAt.Before(s.nextStepAt) {
		return s.stopAt
	}
	return s.nextStepAt
}

// HeldFence returns the fence and the time at which the holder must stop acting as
// such. ok is false if this process does not hold the lease.
func (s *State) HeldFence(now time.Time) (fence core.Fence, stopAt time.Time, ok bool) {
	if s.stopAt.IsZero() || !now.Before(s.stopAt) {
		return 0, time.Time{}, false
	}
	return s.row.Fence, s.stopAt, true
}

// FenceChecker rejects orders whose fence is lower than the highest fence accepted
// so far. The zero FenceChecker accepts any fence above 0.
type FenceChecker struct{ highest core.Fence }

// Accept reports whether an order with this fence may be executed. If so, it
// records the fence.
func (c *FenceChecker) Accept(f core.Fence) bool {
	if f == 0 || f < c.highest {
		return false
	}
	c.highest = f
	return true
}

// Highest returns the highest fence accepted, or 0 if there is none.
func (c *FenceChecker) Highest() core.Fence { return c.highest }
