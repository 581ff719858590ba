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
	// all open engines. It then decides with the reports received by that time. An
	// engine is open if no restriction on new work applies to it or its failure
	// domain.
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
	fence           core.Fence
	startedAt       time.Time
	trackedRollouts map[core.ModelID]*trackedRollout
	loads           map[core.UpstreamID]*engineLoad
	// pendingPermitModel is the model for which a permission is being requested, empty
	// for none.
	pendingPermitModel core.ModelID

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

// trackedRollout is the driver's state of one model's rollout.
type trackedRollout struct {
	key         RolloutKey
	state       facts.RolloutState
	stageStart  time.Time
	sampleCount uint64
	meanRuns    float64
	// averagedAt is the time of the last update of meanRuns.
	averagedAt time.Time
	// retryAt is the earliest time of the next request for a permission after a failed
	// one.
	retryAt time.Time
}

func newTermState(o DriverOptions, fence core.Fence) *termState {
	return &termState{
		DriverOptions: o, fence: fence, startedAt: time.Now(),
		trackedRollouts: make(map[core.ModelID]*trackedRollout), loads: make(map[core.UpstreamID]*engineLoad),
		orderJobs:    ring.New[orderJob](o.Timing.MaxConcurrentLoads),
		orderResults: ring.New[orderResult](2 * o.Timing.MaxConcurrentLoads),
		permitJobs:   ring.New[permitJob](1), permitResults: ring.New[permitResult](1),
		countQueries: ring.New[[]RolloutKey](1), countResults: ring.New[map[RolloutKey]uint64](1),
	}
}

func (t *termState) run(ctx context.Context) error {
	timer := time.NewTimer(initialCheckDelay)
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
			if tracked := t.trackedRollouts[key.Model]; tracked != nil && tracked.key == key {
				tracked.sampleCount = max(tracked.sampleCount, n)
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
			delete(t.trackedRollouts, m.ID)
			continue
		}
		hasRollout = true
		tracked := t.trackRollout(now, key, v.Head.Rollouts[m.ID])
		if tracked.state.Stage == facts.StageCanary && tracked.sampleCount < t.Timing.EarlyPromotionSamples {
			countQuery = append(countQuery, key)
		}
		t.decide(ctx, now, v, m, tracked)
	}
	t.countQueries.Push(countQuery)
	if !hasRollout {
		return idleCheckInterval
	}
	return checkInterval
}

// trackRollout records the state of a rollout and the time at which its stage and list
// of upstreams were first observed together.
func (t *termState) trackRollout(now time.Time, key RolloutKey, state facts.RolloutState) *trackedRollout {
	tracked := t.trackedRollouts[key.Model]
	if tracked == nil || tracked.key != key {
		tracked = &trackedRollout{key: key, state: state, stageStart: now, averagedAt: now}
		t.trackedRollouts[key.Model] = tracked
	}
	if tracked.state.Stage != state.Stage || !slices.Equal(tracked.state.Upstreams, state.Upstreams) {
		tracked.stageStart = now
	}
	tracked.state = state
	return tracked
}

func (t *termState) decide(ctx context.Context, now time.Time, v *facts.View, m *bundle.Model, tracked *trackedRollout) {
	engines, enoughReports := t.observeEngines(now, v, m, tracked)
	o := rollout.Observation{
		Now: now, Model: m, Stage: tracked.state, StageStart: tracked.stageStart,
		Withdrawn: !v.VersionAllowed(m.ID, m.Rollout.To),
		Engines:   engines, MeanRuns: tracked.meanRuns, Samples: tracked.sampleCount,
	}
	// Without enough reports, most engines would not count as open.
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
		t.requestNextStage(now, v, m, tracked, step)
	}
}

// observeEngines returns the model's engines with their reported states, and whether
// enough open engines are reported: more than half of them, and until reportTimeout
// all of them. In the result, an engine without a recent report is not open, so that a
// failed VM neither receives orders nor delays the other engines.
func (t *termState) observeEngines(now time.Time, v *facts.View, m *bundle.Model, tracked *trackedRollout) (engines []rollout.Engine, enoughReports bool) {
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
	tracked.updateMeanRuns(now, float64(runCount))
	if reportedCount < openCount && now.Sub(t.startedAt) < reportTimeout {
		return engines, false
	}
	return engines, 2*reportedCount > openCount
}

// updateMeanRuns updates the mean with the present number of concurrent runs.
func (tracked *trackedRollout) updateMeanRuns(now time.Time, runCount float64) {
	if tracked.meanRuns == 0 {
		tracked.meanRuns = runCount
	}
	weight := min(1, now.Sub(tracked.averagedAt).Seconds()/averagingTime.Seconds())
	tracked.meanRuns += weight * (runCount - tracked.meanRuns)
	tracked.averagedAt = now
}

// withdraw puts the restriction on the new version in force. It does not use the
// table.
func (t *termState) withdraw(ctx context.Context, m *bundle.Model, reason string) {
	if !t.leaseHeld() {
		return
	}
	err := t.Control.Restrict(ctx, facts.Restriction{Subject: facts.VersionSubject(m.ID, m.Rollout.To), Reason: reason})
	t.logStep("rollout_withdrawn", m, reason, err)
}

// requestNextStage queues a request for the permission of the next stage. Only one
// request is in progress at a time, because each permission replaces the head.
func (t *termState) requestNextStage(now time.Time, v *facts.View, m *bundle.Model, tracked *trackedRollout, step rollout.Decision) {
	if step.NextStage == nil || t.pendingPermitModel != "" || now.Before(tracked.retryAt) || sameStage(*step.NextStage, tracked.state) {
		return
	}
	job := permitJob{
		fence: t.fence, model: m, reason: step.Reason, fromState: tracked.state, toState: *step.NextStage,
		epoch: v.Head.Epoch, bundleDigest: v.Head.BundleDigest, clearedEpoch: tracked.key.ClearedEpoch,
	}
	if t.permitJobs.Offer(job) {
		t.pendingPermitModel = m.ID
	}
}

func sameStage(a, b facts.RolloutState) bool {
	return a.Stage == b.Stage && cmp.Compare(a.Share, b.Share) == 0 && slices.Equal(a.Upstreams, b.Upstreams)
}

// logStep logs the result of one step of a rollout.
func (t *termState) logStep(name string, m *bundle.Model, reason string, err error) {
	log := t.Log.WithFields(logrus.Fields{
		"event": name, "model": m.ID, "version": m.Rollout.To, "fence": t.fence, "reason": reason,
	})
	if err != nil {
		log.WithError(err).Warn("rollout step failed")
		return
	}
	log.Info("rollout step completed")
}
