package operator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/rollout"
)

const (
	// lookInterval is the time between two looks while a rollout is under way.
	lookInterval = 250 * time.Millisecond
	// idleInterval is the time between two looks without a rollout. A new view
	// is looked at when it comes.
	idleInterval = 5 * time.Second
	// learnTime is how long a new holder waits for reports of all engines
	// before it decides from those that came.
	learnTime = 2 * time.Second
	// busyWindow is the time over which the number of runs is averaged.
	busyWindow = 5 * time.Second
)

// DriverOptions configure a driver.
type DriverOptions struct {
	Node          core.NodeID
	Incarnation   core.Incarnation
	Control       Control
	OrderSender   OrderSender
	EngineStates  EngineStates
	SampleCounter SampleCounter
	// Views receives each new view, from control.Control.Subscribe. It may be
	// nil; the driver then looks at its interval only.
	Views *ring.Ring[*facts.View]
	// Timing has a default.
	Timing rollout.Timing
	Log    logrus.FieldLogger
}

// Driver moves rollouts forward while this process holds the operators' lease.
type Driver struct {
	opts DriverOptions
}

// NewDriver checks the options. Errors have the kind Invalid.
func NewDriver(o DriverOptions) (*Driver, error) {
	if o.Node == "" || o.Control == nil || o.OrderSender == nil || o.EngineStates == nil || o.SampleCounter == nil || o.Log == nil {
		return nil, errs.New(errs.Invalid, "set node, control, order sender, engine states, sample counter and log", "driver options are incomplete")
	}
	if o.Timing.MaxConcurrentLoads == 0 {
		o.Timing = rollout.DefaultTiming()
	}
	if o.Views == nil {
		o.Views = ring.New[*facts.View](1)
	}
	return &Driver{opts: o}, nil
}

// Run does the work of one term of the lease until the context ends, or until
// an agent has seen a newer fence. It is meant for control.Options.OnLease.
func (d *Driver) Run(ctx context.Context, fence core.Fence) error {
	group := duty.NewGroup(ctx, d.opts.Log)
	t := newTerm(d.opts, fence)
	for range d.opts.Timing.MaxConcurrentLoads {
		group.Go("orders", t.runOrders)
	}
	group.Go("permits", t.runPermits)
	group.Go("samples", t.runSamples)
	group.Go("driver", func(ctx context.Context) error {
		defer group.Stop()
		return t.run(ctx)
	})
	return group.Wait()
}

// term is the state of the driver duty for one term of the lease. The other
// duties of the term talk to the platform and to agents, so that a slow answer
// never delays a withdrawal.
type term struct {
	DriverOptions
	fence   core.Fence
	began   time.Time
	rollout map[core.ModelID]*progress
	loads   map[core.UpstreamID]*load
	// permitting is the model whose permission is under way, empty for none.
	permitting core.ModelID

	orders   *ring.Ring[orderJob]
	ordered  *ring.Ring[orderResult]
	permits  *ring.Ring[permitJob]
	permit   *ring.Ring[permitResult]
	wanted   *ring.Ring[[]RolloutKey]
	counted  *ring.Ring[map[RolloutKey]uint64]
	replaced bool
}

// progress is what the driver remembers of one model's rollout.
type progress struct {
	key     RolloutKey
	stage   facts.RolloutState
	since   time.Time
	samples uint64
	busy    float64
	looked  time.Time
	// retryAt delays the next permission after a failed one.
	retryAt time.Time
}

func newTerm(o DriverOptions, fence core.Fence) *term {
	return &term{
		DriverOptions: o, fence: fence, began: time.Now(),
		rollout: make(map[core.ModelID]*progress), loads: make(map[core.UpstreamID]*load),
		orders:  ring.New[orderJob](o.Timing.MaxConcurrentLoads),
		ordered: ring.New[orderResult](2 * o.Timing.MaxConcurrentLoads),
		permits: ring.New[permitJob](1), permit: ring.New[permitResult](1),
		wanted: ring.New[[]RolloutKey](1), counted: ring.New[map[RolloutKey]uint64](1),
	}
}

func (t *term) run(ctx context.Context) error {
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-t.Views.Ready():
			t.Views.TryReceive()
		case <-t.ordered.Ready():
		case <-t.permit.Ready():
		case <-t.counted.Ready():
		}
		now := time.Now()
		t.drain(now)
		if t.replaced {
			return nil
		}
		timer.Reset(t.turn(ctx, now))
	}
}

func (t *term) drain(now time.Time) {
	for {
		r, ok := t.ordered.TryReceive()
		if !ok {
			break
		}
		t.noteOrder(now, r)
	}
	if r, ok := t.permit.TryReceive(); ok {
		t.notePermit(now, r)
	}
	if counts, ok := t.counted.TryReceive(); ok {
		for key, n := range counts {
			if p := t.rollout[key.Model]; p != nil && p.key == key {
				p.samples = max(p.samples, n)
			}
		}
	}
}

// holds reports whether the lease of this term still holds. A paused process
// learns here that its term is over, before its context has ended.
func (t *term) holds() bool {
	fence, ok := t.Control.HeldFence()
	return ok && fence == t.fence
}

// turn decides on every model under rollout and returns the time to the next.
func (t *term) turn(ctx context.Context, now time.Time) time.Duration {
	v := t.Control.View()
	if !v.HasBundle() || !t.holds() {
		return lookInterval
	}
	var wanted []RolloutKey
	active := false
	t.settleLoads(now, v)
	for i := range v.Index.Bundle.Models {
		m := &v.Index.Bundle.Models[i]
		key, ok := keyOf(v, m)
		if !ok {
			delete(t.rollout, m.ID)
			continue
		}
		active = true
		p := t.follow(now, key, v.Head.Rollouts[m.ID])
		if p.stage.Stage == facts.StageCanary && p.samples < t.Timing.EarlyPromotionSamples {
			wanted = append(wanted, key)
		}
		t.decide(ctx, now, v, m, p)
	}
	t.wanted.Push(wanted)
	if !active {
		return idleInterval
	}
	return lookInterval
}

// follow notes the stage of a rollout and when it was first seen.
func (t *term) follow(now time.Time, key RolloutKey, stage facts.RolloutState) *progress {
	p := t.rollout[key.Model]
	if p == nil || p.key != key {
		p = &progress{key: key, stage: stage, since: now, looked: now}
		t.rollout[key.Model] = p
	}
	if p.stage.Stage != stage.Stage || !slices.Equal(p.stage.Upstreams, stage.Upstreams) {
		p.since = now
	}
	p.stage = stage
	return p
}

func (t *term) decide(ctx context.Context, now time.Time, v *facts.View, m *bundle.Model, p *progress) {
	engines, heard := t.observe(now, v, m, p)
	o := rollout.Observation{
		Now: now, Model: m, Stage: p.stage, StageStart: p.since,
		Withdrawn: !v.VersionAllowed(m.ID, m.Rollout.To),
		Engines:   engines, MeanRuns: p.busy, Samples: p.samples,
	}
	// Without reports a new holder would take every engine for lost.
	blind := !heard && now.Before(m.Rollout.Deadline) && !o.Withdrawn
	if blind {
		return
	}
	step := rollout.Decide(o, t.Timing)
	switch {
	case step.Withdraw:
		t.withdraw(ctx, m, step.Reason)
	default:
		t.load(now, v, m, step.Load)
		t.advance(now, v, m, p, step)
	}
}

// observe returns the model's engines with what is known of them, and whether
// enough of them were heard. An engine that its agent does not report counts
// as closed, so that a dead VM neither gets orders nor holds up the others.
func (t *term) observe(now time.Time, v *facts.View, m *bundle.Model, p *progress) (engines []rollout.Engine, heard bool) {
	engines = rollout.Engines(v, m.ID)
	open, known, running := 0, 0, 0
	for i := range engines {
		e := &engines[i]
		state, ok := t.EngineStates.State(e.ID)
		if e.Open {
			open++
			if ok {
				known++
			}
		}
		e.Open = e.Open && ok
		e.Loaded, e.Loading = t.loadState(now, v, m, e.ID, state)
		running += state.RunCount
	}
	p.average(now, float64(running))
	if known < open && now.Sub(t.began) < learnTime {
		return engines, false
	}
	return engines, 2*known > open
}

// average updates the mean number of runs.
func (p *progress) average(now time.Time, running float64) {
	if p.busy == 0 {
		p.busy = running
	}
	weight := min(1, now.Sub(p.looked).Seconds()/busyWindow.Seconds())
	p.busy += weight * (running - p.busy)
	p.looked = now
}

// withdraw raises the restriction on the new version. It needs no table.
func (t *term) withdraw(ctx context.Context, m *bundle.Model, reason string) {
	if !t.holds() {
		return
	}
	err := t.Control.Restrict(ctx, facts.Restriction{Subject: facts.VersionSubject(m.ID, m.Rollout.To), Reason: reason})
	t.event("rollout_withdrawn", m, reason, err)
}

// advance asks for the permission of the next stage. One permission is under
// way at a time, because each replaces the head.
func (t *term) advance(now time.Time, v *facts.View, m *bundle.Model, p *progress, step rollout.Decision) {
	if step.NextStage == nil || t.permitting != "" || now.Before(p.retryAt) || sameStage(*step.NextStage, p.stage) {
		return
	}
	job := permitJob{
		fence: t.fence, model: m, reason: step.Reason, from: p.stage, to: *step.NextStage,
		epoch: v.Head.Epoch, digest: v.Head.BundleDigest, cleared: p.key.ClearedEpoch,
	}
	if t.permits.Offer(job) {
		t.permitting = m.ID
	}
}

func sameStage(a, b facts.RolloutState) bool {
	return a.Stage == b.Stage && cmp.Compare(a.Share, b.Share) == 0 && slices.Equal(a.Upstreams, b.Upstreams)
}

// event logs one step of a rollout.
func (t *term) event(name string, m *bundle.Model, reason string, err error) {
	entry := t.Log.WithFields(logrus.Fields{
		"event": name, "model": m.ID, "version": m.Rollout.To, "fence": t.fence, "reason": reason,
	})
	if err != nil {
		entry.WithError(err).Warn("rollout step failed")
		return
	}
	entry.Info("rollout step done")
}
