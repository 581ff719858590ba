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
	// checkInterval is the interval between two checks while the bundle contains a
	// rollout.
	checkInterval = 250 * time.Millisecond
	// idleCheckInterval is the interval between two checks without a rollout. A new
	// view is checked when it is received.
	idleCheckInterval = 5 * time.Second
	// reportTimeout is the maximum time that a new lease holder waits for reports of
	// all open engines. It then decides with the reports received by that time.
	reportTimeout = 2 * time.Second
	// averagingTime is the time over which the number of concurrent runs is averaged.
	averagingTime = 5 * time.Second
)

// DriverOptions configure a driver.
type DriverOptions struct {
	Node          core.NodeID
	Incarnation   core.Incarnation
	Control       Control
	OrderSender   OrderSender
	EngineStates  EngineStates
	SampleCounter SampleCounter
	// Views receives each new view, from control.Control.Subscribe. If it is nil, the
	// driver checks only at its interval.
	Views *ring.Ring[*facts.View]
	// Timing defaults to rollout.DefaultTiming.
	Timing rollout.Timing
	Log    logrus.FieldLogger
}

// Driver advances rollouts while this process holds the operators' lease.
type Driver struct {
	opts DriverOptions
}

// NewDriver returns a driver. The error has the kind errs.Invalid.
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

// Run runs the duties of one lease term until the context ends or an agent reports a
// newer fence. It is intended for control.Options.OnLease.
func (d *Driver) Run(ctx context.Context, fence core.Fence) error {
	group := duty.NewGroup(ctx, d.opts.Log)
	t := newTermState(d.opts, fence)
	for range d.opts.Timing.MaxConcurrentLoads {
		group.Go("orders", t.runOrders)
	}
	group.Go("permits", t.runPermits)
	group.Go("samples", t.runSampleCounts)
	group.Go("driver", func(ctx context.Context) error {
		defer group.Stop()
		return t.run(ctx)
	})
	return group.Wait()
}

// termState is the state of the driver duty for one lease term. The other duties of
// the term call the platform's table and the agents, so that a slow response never
// delays a withdrawal.
type termState struct {
	DriverOptions
	fence     core.Fence
	startedAt time.Time
	rollouts  map[core.ModelID]*progress
	loads     map[core.UpstreamID]*engineLoad
	// permittingModel is the model for which a permission is requested, empty for
	// none.
	permittingModel core.ModelID

	orderJobs     *ring.Ring[orderJob]
	orderResults  *ring.Ring[orderResult]
	permitJobs    *ring.Ring[permitJob]
	permitResults *ring.Ring[permitResult]
	countQueries  *ring.Ring[[]RolloutKey]
	countResults  *ring.Ring[map[RolloutKey]uint64]
	// newerFenceSeen is set when an agent has reported a newer fence. The term then
	// ends.
	newerFenceSeen bool
}

// progress is the driver's state of one model's rollout.
type progress struct {
	key         RolloutKey
	state       facts.RolloutState
	stageStart  time.Time
	sampleCount uint64
	meanRuns    float64
	// averagedAt is the time of the last update of meanRuns.
	averagedAt time.Time
	// retryAt is the earliest time of the next permission after a failed one.
	retryAt time.Time
}

func newTermState(o DriverOptions, fence core.Fence) *termState {
	return &termState{
		DriverOptions: o, fence: fence, startedAt: time.Now(),
		rollouts: make(map[core.ModelID]*progress), loads: make(map[core.UpstreamID]*engineLoad),
		orderJobs:    ring.New[orderJob](o.Timing.MaxConcurrentLoads),
		orderResults: ring.New[orderResult](2 * o.Timing.MaxConcurrentLoads),
		permitJobs:   ring.New[permitJob](1), permitResults: ring.New[permitResult](1),
		countQueries: ring.New[[]RolloutKey](1), countResults: ring.New[map[RolloutKey]uint64](1),
	}
}

func (t *termState) run(ctx context.Context) error {
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-t.Views.Ready():
			t.Views.TryReceive()
		case <-t.orderResults.Ready():
		case <-t.permitResults.Ready():
		case <-t.countResults.Ready():
		}
		now := time.Now()
		t.receiveResults(now)
		if t.newerFenceSeen {
			return nil
		}
		timer.Reset(t.check(ctx, now))
	}
}

// receiveResults applies the results of the other duties of the term.
func (t *termState) receiveResults(now time.Time) {
	for {
		r, ok := t.orderResults.TryReceive()
		if !ok {
			break
		}
		t.applyOrderResult(now, r)
	}
	if r, ok := t.permitResults.TryReceive(); ok {
		t.applyPermitResult(now, r)
	}
	if counts, ok := t.countResults.TryReceive(); ok {
		for key, n := range counts {
			if p := t.rollouts[key.Model]; p != nil && p.key == key {
				p.sampleCount = max(p.sampleCount, n)
			}
		}
	}
}

// leaseHeld reports whether this process still holds the lease of this term. After a
// pause of the process, the term may have ended although its context has not.
func (t *termState) leaseHeld() bool {
	fence, ok := t.Control.HeldFence()
	return ok && fence == t.fence
}

// check decides on every model with a rollout and returns the time until the next
// check.
func (t *termState) check(ctx context.Context, now time.Time) time.Duration {
	v := t.Control.View()
	if !v.HasBundle() || !t.leaseHeld() {
		return checkInterval
	}
	var countQuery []RolloutKey
	hasRollout := false
	t.expireLoads(now, v)
	for i := range v.Index.Bundle.Models {
		m := &v.Index.Bundle.Models[i]
		key, ok := rolloutKey(v, m)
		if !ok {
			delete(t.rollouts, m.ID)
			continue
		}
		hasRollout = true
		p := t.updateProgress(now, key, v.Head.Rollouts[m.ID])
		if p.state.Stage == facts.StageCanary && p.sampleCount < t.Timing.EarlyPromotionSamples {
			countQuery = append(countQuery, key)
		}
		t.decide(ctx, now, v, m, p)
	}
	t.countQueries.Push(countQuery)
	if !hasRollout {
		return idleCheckInterval
	}
	return checkInterval
}

// updateProgress records the state of a rollout, and the time at which its stage with
// these upstreams was first observed.
func (t *termState) updateProgress(now time.Time, key RolloutKey, state facts.RolloutState) *progress {
	p := t.rollouts[key.Model]
	if p == nil || p.key != key {
		p = &progress{key: key, state: state, stageStart: now, averagedAt: now}
		t.rollouts[key.Model] = p
	}
	if p.state.Stage != state.Stage || !slices.Equal(p.state.Upstreams, state.Upstreams) {
		p.stageStart = now
	}
	p.state = state
	return p
}

func (t *termState) decide(ctx context.Context, now time.Time, v *facts.View, m *bundle.Model, p *progress) {
	engines, enoughReports := t.observeEngines(now, v, m, p)
	o := rollout.Observation{
		Now: now, Model: m, Stage: p.state, StageStart: p.stageStart,
		Withdrawn: !v.VersionAllowed(m.ID, m.Rollout.To),
		Engines:   engines, MeanRuns: p.meanRuns, Samples: p.sampleCount,
	}
	// Without reports, a new lease holder would treat every engine as closed.
	waitForReports := !enoughReports && now.Before(m.Rollout.Deadline) && !o.Withdrawn
	if waitForReports {
		return
	}
	step := rollout.Decide(o, t.Timing)
	switch {
	case step.Withdraw:
		t.withdraw(ctx, m, step.Reason)
	default:
		t.queueLoads(now, v, m, step.Load)
		t.requestNextStage(now, v, m, p, step)
	}
}

// observeEngines returns the model's engines with their reported states, and whether
// enough open engines are reported: more than half of them, and until reportTimeout
// all of them. An engine without a recent report counts as closed, so that a failed VM
// neither receives orders nor delays the other engines.
func (t *termState) observeEngines(now time.Time, v *facts.View, m *bundle.Model, p *progress) (engines []rollout.Engine, enoughReports bool) {
	engines = rollout.Engines(v, m.ID)
	openCount, reportedCount, runCount := 0, 0, 0
	for i := range engines {
		e := &engines[i]
		state, ok := t.EngineStates.State(e.ID)
		if e.Open {
			openCount++
			if ok {
				reportedCount++
			}
		}
		e.Open = e.Open && ok
		e.Loaded, e.Loading = t.engineLoadState(now, v, m, e.ID, state)
		runCount += state.RunCount
	}
	p.updateMeanRuns(now, float64(runCount))
	if reportedCount < openCount && now.Sub(t.startedAt) < reportTimeout {
		return engines, false
	}
	return engines, 2*reportedCount > openCount
}

// updateMeanRuns updates the mean with the present number of concurrent runs.
func (p *progress) updateMeanRuns(now time.Time, runCount float64) {
	if p.meanRuns == 0 {
		p.meanRuns = runCount
	}
	weight := min(1, now.Sub(p.averagedAt).Seconds()/averagingTime.Seconds())
	p.meanRuns += weight * (runCount - p.meanRuns)
	p.averagedAt = now
}

// withdraw raises the restriction on the new version. It does not use the table.
func (t *termState) withdraw(ctx context.Context, m *bundle.Model, reason string) {
	if !t.leaseHeld() {
		return
	}
	err := t.Control.Restrict(ctx, facts.Restriction{Subject: facts.VersionSubject(m.ID, m.Rollout.To), Reason: reason})
	t.logStep("rollout_withdrawn", m, reason, err)
}

// requestNextStage queues the permission of the next stage. Only one permission is
// requested at a time, because each one replaces the head.
func (t *termState) requestNextStage(now time.Time, v *facts.View, m *bundle.Model, p *progress, step rollout.Decision) {
	if step.NextStage == nil || t.permittingModel != "" || now.Before(p.retryAt) || sameStage(*step.NextStage, p.state) {
		return
	}
	job := permitJob{
		fence: t.fence, model: m, reason: step.Reason, from: p.state, to: *step.NextStage,
		epoch: v.Head.Epoch, bundleDigest: v.Head.BundleDigest, clearedEpoch: p.key.ClearedEpoch,
	}
	if t.permitJobs.Offer(job) {
		t.permittingModel = m.ID
	}
}

func sameStage(a, b facts.RolloutState) bool {
	return a.Stage == b.Stage && cmp.Compare(a.Share, b.Share) == 0 && slices.Equal(a.Upstreams, b.Upstreams)
}

// logStep logs the result of one step of a rollout.
func (t *termState) logStep(name string, m *bundle.Model, reason string, err error) {
	entry := t.Log.WithFields(logrus.Fields{
		"event": name, "model": m.ID, "version": m.Rollout.To, "fence": t.fence, "reason": reason,
	})
	if err != nil {
		entry.WithError(err).Warn("rollout step failed")
		return
	}
	entry.Info("rollout step completed")
}
