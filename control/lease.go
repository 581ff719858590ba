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

// leaseTimeout bounds one request of the lease duty.
const leaseTimeout = 1500 * time.Millisecond

// grant is one term of the lease.
type grant struct {
	ctx    context.Context
	cancel context.CancelFunc
	fence  core.Fence
	until  time.Time
}

// leaseDuty keeps the lease of operators' duties.
type leaseDuty struct {
	c     *Control
	state *lease.State
	term  *grant
}

// HeldFence returns the fence of the lease if this process holds it now. It is
// checked before each order, since a paused process learns late that its term
// has ended.
func (c *Control) HeldFence() (core.Fence, bool) {
	g := c.grant.Load()
	if g == nil || !time.Now().Before(g.until) {
		return 0, false
	}
	return g.fence, true
}

func (c *Control) runLease(ctx context.Context) error {
	d := &leaseDuty{c: c, state: lease.New(c.opts.Lease, c.opts.Node, c.opts.Incarnation, time.Now())}
	defer d.end()
	for {
		d.turn(ctx)
		if !duty.Pause(ctx, time.Until(d.state.NextStepAt())) {
			return ctx.Err()
		}
	}
}

// turn takes steps until nothing is due.
func (d *leaseDuty) turn(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		switch d.state.Step(now) {
		case lease.Wait:
			return
		case lease.ReadRow:
			d.read(ctx, now)
		case lease.WriteRow:
			if d.c.leaving.Load() && d.term == nil {
				d.state.RecordFailure(now)
				return
			}
			d.write(ctx, now)
		case lease.StopHolding:
		}
		d.publish(ctx, time.Now())
	}
}

// requestContext ends no later than the lease, so that the duty is free to end
// the term in time.
func (d *leaseDuty) requestContext(ctx context.Context, now time.Time) (context.Context, context.CancelFunc) {
	deadline := now.Add(leaseTimeout)
	if _, until, ok := d.state.HeldFence(now); ok && until.Before(deadline) {
		deadline = until
	}
	return context.WithDeadline(ctx, deadline)
}

func (d *leaseDuty) read(ctx context.Context, now time.Time) {
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

func (d *leaseDuty) write(ctx context.Context, sentAt time.Time) {
	ctx, cancel := d.requestContext(ctx, sentAt)
	defer cancel()
	row, ifVersion := d.state.Proposal()
	value, err := encodeLease(row)
	if err == nil {
		err = d.c.table.Transact(ctx, d.c.transactionID("lease"), []stores.Write{{Key: leaseKey, IfVersion: ifVersion, Value: value}})
	}
	if err != nil {
		d.state.RecordFailure(time.Now())
		return
	}
	d.state.RecordWrite(sentAt, time.Now(), row)
}

// publish starts, extends or ends the term of this process.
func (d *leaseDuty) publish(ctx context.Context, now time.Time) {
	fence, until, held := d.state.HeldFence(now)
	if d.term != nil && (!held || d.term.fence != fence) {
		d.end()
	}
	if !held {
		return
	}
	next := &grant{fence: fence, until: until}
	if d.term == nil {
		next.ctx, next.cancel = context.WithCancel(ctx)
		d.c.log.WithFields(logrus.Fields{"event": "lease_acquired", "fence": fence}).Info("lease acquired")
		d.c.grants.Push(next)
	} else {
		next.ctx, next.cancel = d.term.ctx, d.term.cancel
	}
	d.term = next
	d.c.grant.Store(next)
}

func (d *leaseDuty) end() {
	if d.term == nil {
		return
	}
	d.c.grant.Store(nil)
	d.term.cancel()
	d.c.log.WithFields(logrus.Fields{"event": "lease_ended", "fence": d.term.fence}).Info("lease ended")
	d.term = nil
}

// runLeaseWork runs OnLease for each term, one at a time.
func (c *Control) runLeaseWork(ctx context.Context) error {
	for {
		g, err := c.grants.Receive(ctx)
		if err != nil {
			return err
		}
		if g.ctx.Err() != nil {
			continue
		}
		err = c.opts.OnLease(g.ctx, g.fence)
		if err != nil && g.ctx.Err() == nil {
			return err
		}
	}
}

// ReadLeaseFence reads the fence of the last lease from the table, 0 when there
// was none. Errors: Unavailable, Exhausted.
func (c *Control) ReadLeaseFence(ctx context.Context) (core.Fence, error) {
	row, err := c.table.Get(ctx, leaseKey)
	if err != nil || row.Version == 0 {
		return 0, err
	}
	current, err := decodeLease(row)
	return current.Fence, err
}
