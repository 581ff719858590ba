// Package lease decides when a process acquires, renews and gives up a lease
// that is a row of the platform's table, and checks fences. It needs no
// synchronised clocks: each process measures times with its own monotonic
// clock. A contender takes the lease after it has seen the same version of the
// row for the lease's whole length; the holder stops a margin earlier than the
// length after it sent its last successful renewal.
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

// Config sets the times of a lease.
type Config struct {
	// Duration is how long the lease holds after a renewal.
	Duration time.Duration
	// Margin is how much earlier the holder stops. It covers clock drift and
	// the time in which an order that was just sent reaches an upstream.
	Margin time.Duration
	// RenewInterval is the time between two renewals, and between two readings of a
	// contender.
	RenewInterval time.Duration
}

// DefaultConfig returns a length that outlasts two lost renewals.
func DefaultConfig() Config {
	return Config{Duration: 9 * time.Second, Margin: 2 * time.Second, RenewInterval: 2 * time.Second}
}

// State is one process's knowledge of a lease. It is owned by one duty.
type State struct {
	cfg         Config
	self        core.NodeID
	incarnation core.Incarnation
	row         Row
	version     uint64
	// known is false until the row was read after a start or a failed write.
	known bool
	// sinceVersion is when the current version was first seen.
	sinceVersion time.Time
	// until is when the holder has to stop; zero while the lease is not held.
	until time.Time
	next  time.Time
}

// New returns the state of a process that has not read the row.
func New(cfg Config, self core.NodeID, incarnation core.Incarnation, now time.Time) *State {
	return &State{cfg: cfg, self: self, incarnation: incarnation, next: now}
}

// RowRead notes the row's content. Version 0 means that there is no row. The time
// is that after the reading, so that a slow reading delays a takeover.
func (s *State) RowRead(now time.Time, row Row, version uint64) {
	if version != s.version || s.sinceVersion.IsZero() {
		s.sinceVersion = now
	}
	s.row, s.version, s.known = row, version, true
	if !s.isMine(row) {
		s.until = time.Time{}
	}
}

func (s *State) isMine(row Row) bool {
	return row.Holder == s.self && row.Incarnation == s.incarnation
}

// Action is what the process has to do now.
type Action uint8

// Actions of a process.
const (
	Wait        Action = iota // until NextStepAt
	ReadRow                   // and report with RowRead, or RequestFailed
	WriteRow                  // the row of Proposal, and report with RowWritten or RequestFailed
	StopHolding               // the holder stopped; nothing to write, the row expires
)

// Step returns the action that is due.
func (s *State) Step(now time.Time) Action {
	if !s.until.IsZero() && !now.Before(s.until) {
		s.until = time.Time{}
		return StopHolding
	}
	if now.Before(s.next) {
		return Wait
	}
	if !s.known || !s.mayWrite(now) {
		return ReadRow
	}
	return WriteRow
}

// mayWrite reports whether the lease is held, free, or expired for sure. A row
// of this incarnation that is not held was stopped, or its answer was lost; it
// may be taken again with a higher fence.
func (s *State) mayWrite(now time.Time) bool {
	if !s.until.IsZero() || s.version == 0 || s.isMine(s.row) {
		return true
	}
	return now.Sub(s.sinceVersion) >= max(s.row.Duration, s.cfg.Duration)
}

// Proposal returns the row to write and the version it replaces. A takeover
// raises the fence; a renewal keeps it.
func (s *State) Proposal() (Row, uint64) {
	row := Row{Holder: s.self, Incarnation: s.incarnation, Fence: s.row.Fence, Duration: s.cfg.Duration}
	if s.until.IsZero() {
		row.Fence++
	}
	return row, s.version
}

// RowWritten notes that the proposal took effect. The lease counts from the time
// before the write was sent.
func (s *State) RowWritten(sentAt, now time.Time, row Row) {
	s.row = row
	s.version++
	s.sinceVersion = now
	s.until = sentAt.Add(s.cfg.Duration - s.cfg.Margin)
	s.next = now.Add(s.cfg.RenewInterval)
}

// RequestFailed notes that a reading or a write failed or lost its answer. The lease
// is not extended, and the row is read before the next write.
func (s *State) RequestFailed(now time.Time) {
	s.known = false
	s.next = now.Add(s.cfg.RenewInterval / 2)
}

// ScheduleNextRead notes that a reading left nothing to write now.
func (s *State) ScheduleNextRead(now time.Time) {
	if !s.mayWrite(now) {
		s.next = now.Add(s.cfg.RenewInterval)
	}
}

// NextStepAt returns when Step has to be called again.
func (s *State) NextStepAt() time.Time {
	if !s.until.IsZero() && s.until.Before(s.next) {
		return s.until
	}
	return s.next
}

// HeldFence returns the fence and the time at which the holder has to stop.
func (s *State) HeldFence(now time.Time) (fence core.Fence, until time.Time, ok bool) {
	if s.until.IsZero() || !now.Before(s.until) {
		return 0, time.Time{}, false
	}
	return s.row.Fence, s.until, true
}

// FenceChecker refuses orders with an older fence than one seen before. The zero FenceChecker
// accepts any fence above 0.
type FenceChecker struct{ highest core.Fence }

// Accept reports whether an order with this fence may be carried out, and
// remembers the fence if so.
func (g *FenceChecker) Accept(f core.Fence) bool {
	if f == 0 || f < g.highest {
		return false
	}
	g.highest = f
	return true
}

// Highest returns the highest fence seen, 0 if none.
func (g *FenceChecker) Highest() core.Fence { return g.highest }
