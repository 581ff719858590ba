package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/stores"
)

// leaseRequestTimeout is the maximum duration of one request of the lease duty.
const leaseRequestTimeout = 1500 * time.Millisecond

// leaseTerm is the state of the lease term of this process. Each renewal creates a new
// value with the same context and fence and a later stopAt.
type leaseTerm struct {
	// ctx ends at the end of the term.
	ctx    context.Context
	cancel context.CancelFunc
	fence  core.Fence
	// stopAt is the time at which the holder must stop unless it renews the lease.
	stopAt time.Time
}

// leaseDuty acquires and renews the lease of the leased work.
type leaseDuty struct {
	c     *Control
	state *lease.State
	// term is nil while this process does not hold the lease.
	term *leaseTerm
}

// HeldFence returns the fence of the lease if this process holds the lease now. It
// must be called before each order, because the context of a term ends late if the
// process was paused.
func (c *Control) HeldFence() (core.Fence, bool) {
	term := c.heldTerm.Load()
	if term == nil || !time.Now().Before(term.stopAt) {
		return 0, false
	}
	return term.fence, true
}

func (c *Control) runLease(ctx context.Context) error {
	d := &leaseDuty{c: c, state: lease.New(c.opts.Lease, c.opts.Node, c.opts.Incarnation, time.Now())}
	defer d.endTerm()
	for {
		d.runSteps(ctx)
		if !duty.Pause(ctx, time.Until(d.state.NextStepAt())) {
			return ctx.Err()
		}
	}
}

// runSteps executes the actions of the lease state until none is due.
func (d *leaseDuty) runSteps(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		switch d.state.Step(now) {
		case lease.Wait:
			return
		case lease.ReadRow:
			d.readRow(ctx, now)
		case lease.WriteRow:
			if d.c.leaving.Load() && d.term == nil {
				// A leaving process does not acquire the lease. RecordFailure postpones
				// the next step, which then reads the row again.
				d.state.RecordFailure(now)
				return
			}
			d.writeRow(ctx, now)
		case lease.StopHolding: // updateTerm ends the term
		}
		d.updateTerm(ctx, time.Now())
	}
}

// requestContext returns a context with the deadline of one request. The deadline is
// not after the time at which the holder must stop, so that a pending request does not
// delay the end of the term.
func (d *leaseDuty) requestContext(ctx context.Context, now time.Time) (context.Context, context.CancelFunc) {
	deadline := now.Add(leaseRequestTimeout)
	if _, stopAt, ok := d.state.HeldFence(now); ok && stopAt.Before(deadline) {
		deadline = stopAt
	}
	return context.WithDeadline(ctx, deadline)
}

func (d *leaseDuty) readRow(ctx context.Context, now time.Time) {
	ctx, cancel := d.requestContext(ctx, now)
	defer cancel()
	row, err := d.c.table.Get(ctx, leaseKey)
	var content lease.Row
	if err == nil {
		content, err = decodeLease(row)
	}
	if err != nil {
		d.state.RecordFailure(time.Now())
		return
	}
	d.state.RecordRead(time.Now(), content, row.Version)
	d.state.ScheduleNextRead(time.Now())
}

func (d *leaseDuty) writeRow(ctx context.Context, sentAt time.Time) {
	ctx, cancel := d.requestContext(ctx, sentAt)
	defer cancel()
	row, ifVersion := d.state.Proposal()
	value, err := encodeLease(row)
	if err == nil {
		err = d.c.table.Transact(ctx, d.c.transactionID("lease"), []stores.Write{{Key: leaseKey, ExpectedVersion: ifVersion, Value: value}})
	}
	if err != nil {
		d.state.RecordFailure(time.Now())
		return
	}
	d.state.RecordWrite(sentAt, time.Now(), row)
}

// updateTerm starts, extends or ends the term of this process to match the lease
// state.
func (d *leaseDuty) updateTerm(ctx context.Context, now time.Time) {
	fence, stopAt, isHolder := d.state.HeldFence(now)
	if d.term != nil && (!isHolder || d.term.fence != fence) {
		d.endTerm()
	}
	if !isHolder {
		return
	}
	next := &leaseTerm{fence: fence, stopAt: stopAt}
	if d.term == nil {
		next.ctx, next.cancel = context.WithCancel(ctx)
		d.c.log.WithFields(logrus.Fields{"event": "lease_acquired", "fence": fence}).Info("lease acquired")
		d.c.startedTerms.Push(next)
	} else {
		next.ctx, next.cancel = d.term.ctx, d.term.cancel
	}
	d.term = next
	d.c.heldTerm.Store(next)
}

func (d *leaseDuty) endTerm() {
	if d.term == nil {
		return
	}
	d.c.heldTerm.Store(nil)
	d.term.cancel()
	d.c.log.WithFields(logrus.Fields{"event": "lease_ended", "fence": d.term.fence}).Info("lease ended")
	d.term = nil
}

// runLeasedWork calls OnLease for each term, one after the other.
func (c *Control) runLeasedWork(ctx context.Context) error {
	for {
		term, err := c.startedTerms.Receive(ctx)
		if err != nil {
			return err
		}
		if term.ctx.Err() != nil {
			continue
		}
		err = c.opts.OnLease(term.ctx, term.fence)
		if err != nil && term.ctx.Err() == nil {
			return err
		}
	}
}

// ReadLeaseFence reads the fence of the latest lease term from the table. It returns 0
// if there was none. Errors: Unavailable, Exhausted, and Corrupt if the row cannot be
// decoded.
func (c *Control) ReadLeaseFence(ctx context.Context) (core.Fence, error) {
	row, err := c.table.Get(ctx, leaseKey)
	if err != nil || row.Version == 0 {
		return 0, err
	}
	content, err := decodeLease(row)
	return content.Fence, err
}
