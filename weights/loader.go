package weights

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// leaseTable and leaseKey name the lease's row.
	leaseTable = fleet.Table("leases")
	leaseKey   = "weights"

	// workInterval is the time between two looks at the work while there is any.
	workInterval = 120 * time.Millisecond
	// contendInterval is how much later than the one before it in the order of
	// succession a process looks at the lease first.
	contendInterval = time.Second
	// loadTime is how long a server needs for a load at least. pollInterval is the
	// time between two looks at it after that.
	loadTime     = 550 * time.Millisecond
	pollInterval = 80 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	// repeatAfter is how long an accepted order may stay without effect before it
	// is given again.
	repeatAfter = 1500 * time.Millisecond
	// jobTimeout bounds one job, jobPause is how long a server is left alone
	// after a job that failed.
	jobTimeout = 8 * time.Second
	jobPause   = 600 * time.Millisecond
	// silentPolls is the number of calls without answer after which a job fails.
	silentPolls = 2
	endedRing   = 64
)

// Options are what a Loader needs.
type Options struct {
	Self        core.NodeID
	Incarnation core.Incarnation
	Store       fleet.Store
	Fleet       *fleet.Fleet
	Engines     Engines
	// Lease is the longest time in which two holders must not take turns.
	HandoverInterval time.Duration
	// Share is the part of a model's servers that may load at once.
	LoadShare float64
	Mode      Mode
	// Loaded is told of servers that have newer weights.
	OnLoaded func(core.UpstreamID, core.ModelID, catalog.WeightNumber)
	Log      logrus.FieldLogger
}

// Loader is the duty that orders model servers to load weights.
type Loader struct {
	opts    Options
	changed *ring.Ring[struct{}]
	ended   *ring.Ring[jobEnd]
	lease   *lease.StoreClockState
	plan    *plan
	// permit is what jobs may use: the fence and the own time until which it
	// holds.
	permit atomic.Pointer[permit]
	// workSince is when the work under way was first seen.
	workSince time.Time
	// unread is set while the lease cannot be read.
	unread    bool
	contendAt time.Time
}

type permit struct {
	fence core.Fence
	until time.Duration
}

type jobEnd struct {
	job  Job
	done bool
}

// NewLoader returns a loader. It is called before the fleet starts.
func NewLoader(opts Options) *Loader {
	// The holder stops half a second before its lease ends, and the next one
	// starts a whole turn after that end.
	cfg := lease.StoreClockConfig{
		Duration: opts.HandoverInterval / 2, Margin: opts.HandoverInterval / 6, Gap: opts.HandoverInterval, RenewInterval: opts.HandoverInterval / 6,
	}
	return &Loader{
		opts: opts, changed: opts.Fleet.Subscribe(), ended: ring.New[jobEnd](endedRing),
		lease: lease.NewStoreClockState(cfg, opts.Self, opts.Incarnation), plan: newPlan(),
	}
}

// Run is the duty's loop.
func (l *Loader) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, l.opts.Log)
	for ctx.Err() == nil {
		jobs := l.work()
		var timer <-chan time.Time
		if len(jobs) > 0 {
			l.step(ctx, group, jobs)
			t := time.NewTimer(workInterval)
			timer = t.C
		}
		select {
		case <-ctx.Done():
		case <-timer:
		case <-l.changed.Ready():
			l.changed.TryReceive()
		case <-l.ended.Ready():
		}
		for e, ok := l.ended.TryReceive(); ok; e, ok = l.ended.TryReceive() {
			l.plan.ended(time.Now(), e.job, e.done, jobPause)
			if e.done {
				l.opts.OnLoaded(e.job.Upstream.ID, e.job.Model, e.job.TargetVersion)
			}
		}
	}
	group.Stop()
	return group.Wait()
}

// work returns the servers that need newer weights.
func (l *Loader) work() []Job {
	v := l.opts.Fleet.View()
	named := make(map[core.ModelID]catalog.WeightNumber, len(v.Weights))
	for model, w := range v.Weights {
		named[model] = w.Newest().Version
	}
	jobs := l.plan.due(v.Upstreams, named)
	switch {
	case len(jobs) == 0:
		l.workSince = time.Time{}
	case l.workSince.IsZero():
		l.workSince = time.Now()
		l.contendAt = l.workSince.Add(time.Duration(l.succession(v)) * contendInterval)
	}
	return jobs
}

// succession is this process's place among those that may take the lease. The
// last holder comes first.
func (l *Loader) succession(v *fleet.View) int {
	place := 0
	for _, m := range v.Members {
		if m.Node < l.opts.Self {
			place++
		}
	}
	return place
}

func (l *Loader) step(ctx context.Context, group *duty.Group, jobs []Job) {
	if l.lease.ReadDue(clock.SinceBoot()) && !time.Now().Before(l.contendAt) {
		l.renew(ctx)
	}
	fence, held := l.lease.HeldFence(clock.SinceBoot())
	if !held {
		l.permit.Store(nil)
		return
	}
	l.permit.Store(&permit{fence: fence, until: l.lease.StopAt()})
	all := 0
	for _, u := range l.opts.Fleet.View().Upstreams {
		if len(u.Weights) > 0 {
			all++
		}
	}
	for _, job := range l.plan.next(time.Now(), jobs, atOnce(all, l.opts.LoadShare)) {
		group.Go("load "+string(job.Upstream.ID), func(ctx context.Context) error {
			done := l.load(ctx, job)
			return ignoreClosed(l.ended.Send(ctx, jobEnd{job: job, done: done}))
		})
	}
}

// ignoreClosed drops the error of a ring that closed with its duty.
func ignoreClosed(err error) error {
	if errs.Is(err, errs.Internal) {
		return nil
	}
	return err
}

// renew takes or renews the lease.
func (l *Loader) renew(ctx context.Context) {
	askedAt := clock.SinceBoot()
	page, err := l.opts.Store.Rows(ctx, leaseTable)
	if err != nil {
		if !l.unread {
			l.opts.Log.WithFields(logrus.Fields{"event": "lease_unread", "lease": leaseKey}).WithError(err).Warn("lease could not be read")
		}
		l.unread = true
		l.contendAt = time.Now().Add(workInterval)
		return
	}
	if l.unread {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_read", "lease": leaseKey}).Info("lease can be read again")
	}
	l.unread = false
	row, version := decodeLease(page)
	before, wasHeld := l.lease.HeldFence(askedAt)
	l.lease.RowRead(askedAt, row, version, page.Now)
	next, replaces, free := l.lease.Proposal()
	if !free {
		l.contendAt = time.Now().Add(max(l.lease.WaitTime(), workInterval))
		return
	}
	value, err := proto.Marshal(&wire.LeaseRow{
		Holder: string(next.Holder), Incarnation: uint64(next.Incarnation), Fence: uint64(next.Fence), UntilMs: next.Expiry.Milliseconds(),
	})
	if err == nil {
		_, err = l.opts.Store.Commit(ctx, fleet.Transaction{
			Conditions: []fleet.Row{{Table: leaseTable, Key: leaseKey, Version: replaces}},
			Puts:       []fleet.Row{{Table: leaseTable, Key: leaseKey, Value: value}},
		})
	}
	if err != nil {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_not_taken", "lease": leaseKey, "fence": next.Fence}).WithError(err).Warn("lease was not taken")
		l.contendAt = time.Now().Add(workInterval)
		return
	}
	l.lease.RowWritten(next)
	if !wasHeld || before != next.Fence {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_taken", "lease": leaseKey, "fence": next.Fence, "until_ms": next.Expiry.Milliseconds()}).Info("lease is held")
	}
}

func decodeLease(page fleet.StoreResponse) (lease.StoreClockRow, uint64) {
	for _, r := range page.Rows {
		var row wire.LeaseRow
		if r.Key != leaseKey || proto.Unmarshal(r.Value, &row) != nil {
			continue
		}
		return lease.StoreClockRow{
			Holder: core.NodeID(row.Holder), Incarnation: core.Incarnation(row.Incarnation),
			Fence: core.Fence(row.Fence), Expiry: time.Duration(row.UntilMs) * time.Millisecond,
		}, r.Version
	}
	return lease.StoreClockRow{}, 0
}

// load brings one server to its weights and reports whether it has them.
func (l *Loader) load(ctx context.Context, job Job) bool {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	log := l.opts.Log.WithFields(logrus.Fields{"upstream": job.Upstream.ID, "model": job.Model, "weights": job.TargetVersion})
	var orderedAt time.Time
	silent := 0
	for ctx.Err() == nil {
		state, err := l.state(ctx, job)
		if err != nil {
			if silent++; silent >= silentPolls {
				log.WithField("event", "load_failed").WithError(err).Warn("server gives no state")
				return false
			}
			continue
		}
		silent = 0
		if state.Weights[job.Model] >= job.TargetVersion {
			log.WithFields(logrus.Fields{"event": "weights_loaded", "orders": state.AcceptedOrders}).Info("server has the weights")
			return true
		}
		pause := pollInterval
		if !state.Busy && time.Since(orderedAt) >= repeatAfter {
			switch l.order(ctx, job, state, log) {
			case AlreadyLoaded:
				return true
			case Accepted:
				orderedAt, pause = time.Now(), loadTime
			case Conflicting:
			default:
				// Other servers come first; an order that was carried out all the same
				// shows in the server's state at the next try.
				return false
			}
		}
		duty.Pause(ctx, pause)
	}
	return false
}

func (l *Loader) state(ctx context.Context, job Job) (EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.opts.Engines.State(ctx, job.Upstream.Address)
}

// order gives an order if the lease is still held.
func (l *Loader) order(ctx context.Context, job Job, state EngineState, log logrus.FieldLogger) OrderResult {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p := l.permit.Load()
	if p == nil || clock.SinceBoot() >= p.until {
		return Refused
	}
	reply, err := l.opts.Engines.Load(ctx, Order{
		Upstream: job.Upstream.ID, Address: job.Upstream.Address, Model: job.Model, Version: job.TargetVersion,
		Mode: l.opts.Mode, Holder: l.opts.Self, Fence: p.fence, ExpectedOrders: state.AcceptedOrders,
	})
	entry := log.WithFields(logrus.Fields{"event": "order", "fence": p.fence, "orders": state.AcceptedOrders, "reply": reply})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("order was given")
	return reply
}
