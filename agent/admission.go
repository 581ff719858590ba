package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/ring"
)

// Capacities of the admission duty's rings, in elements.
const (
	offerRingCapacity = 1024
	eventRingCapacity = 1024
)

// defaultMaxWindow is the maximum window until the bundle provides that of the upstream.
const defaultMaxWindow = 1

// admissionResult is the decision on one offered call. The call may be submitted to the
// upstream only if admitted is set.
type admissionResult struct {
	admitted   bool
	duplicate  bool
	reason     admit.Reason
	retryAfter time.Duration
}

// offeredCall is a call for which a handler requests admission.
type offeredCall struct {
	call admit.Call
	// reply receives exactly one result.
	reply *ring.Ring[admissionResult]
	// cancel cancels the run if it is preempted.
	cancel context.CancelCauseFunc
}

// event is an input of the admission duty other than an offered call.
type event interface{ apply(*admission, time.Time) }

// finishEvent reports that a run has ended, or that the caller of a waiting call no longer
// waits for it.
type finishEvent struct {
	id     core.AttemptID
	sample admit.Sample
	// storedKeys are the first 8 bytes of some keys of the blocks that the engine holds
	// after the run.
	storedKeys []uint64
	// watcher is the entry that sent the call.
	watcher core.NodeID
	// reply, if set, receives renewed credits for the watcher.
	reply *ring.Ring[watcherGrant]
}

// grantRequest requests new credits for a watcher.
type grantRequest struct {
	watcher core.NodeID
	reply   *ring.Ring[watcherGrant]
}

// watcherGrant is the part of a watch message that differs between watchers. The rest of the
// message is from the snapshot.
type watcherGrant struct {
	admit.CreditGrant
	// storedKeys are the first 8 bytes of keys of blocks that the engine has stored since
	// the last grant.
	storedKeys []uint64
}

// watcher is an entry with an open watch stream to this agent.
type watcher struct {
	notifications *ring.Ring[struct{}]
	storedKeys    []uint64
	// unusedCredits is the estimated number of credits that the watcher has left. Each
	// call received since the last grant reduces it by one.
	unusedCredits int
}

// maxStoredKeys is the maximum number of stored keys in one message to a watcher. The newest
// keys are retained.
const maxStoredKeys = 64

// watchEvent adds a watcher, or removes it if its stream has ended.
type watchEvent struct {
	watcher       core.NodeID
	notifications *ring.Ring[struct{}]
	streamEnded   bool
}

// infoEvent contains the state that the engine returned.
type infoEvent struct{ info engine.Info }

// drainEvent stops admission. idleSignal gets an element when no call runs or waits.
type drainEvent struct{ idleSignal *ring.Ring[struct{}] }

// pendingCall is a call that waits or runs.
type pendingCall struct {
	reply  *ring.Ring[admissionResult]
	cancel context.CancelCauseFunc
}

// snapshot is the state of the admission duty that other goroutines may read.
type snapshot struct {
	admit.State
	engineInfo engine.Info
	// prefillRate is the measured rate in bytes of prompt text per second. It is 0 before
	// the first measurement.
	prefillRate uint64
	// stopping is set during a planned stop of the agent.
	stopping bool
}

// admission is the duty that owns the admission window, the queues and the credits.
type admission struct {
	opts           Options
	metrics        *metrics
	offers         *ring.Ring[offeredCall]
	events         *ring.Ring[event]
	latestSnapshot atomic.Pointer[snapshot]
	controller     *admit.Controller
	pendingCalls   map[core.AttemptID]pendingCall
	watchers       map[core.NodeID]*watcher
	engineInfo     engine.Info
	prefillRate    float64
	stopping       bool
	idleSignal     *ring.Ring[struct{}]
	maxWindow      int
}

func newAdmission(o Options, m *metrics) *admission {
	a := &admission{
		opts:         o,
		metrics:      m,
		offers:       ring.New[offeredCall](offerRingCapacity),
		events:       ring.New[event](eventRingCapacity),
		controller:   admit.New(admit.Defaults(defaultMaxWindow, o.Incarnation)),
		pendingCalls: make(map[core.AttemptID]pendingCall),
		watchers:     make(map[core.NodeID]*watcher),
		maxWindow:    defaultMaxWindow,
	}
	a.latestSnapshot.Store(&snapshot{State: a.controller.State(o.Now())})
	return a
}

// run is the loop of the duty. It closes the rings when it returns, so that no handler
// waits for a stopped duty.
func (a *admission) run(ctx context.Context) error {
	defer a.offers.Close()
	defer a.events.Close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		a.armTimer(timer)
		select {
		case <-ctx.Done():
			return nil
		case <-a.offers.Ready():
			for o, ok := a.offers.TryReceive(); ok; o, ok = a.offers.TryReceive() {
				a.offerCall(a.opts.Now(), o)
			}
		case <-a.events.Ready():
			for e, ok := a.events.TryReceive(); ok; e, ok = a.events.TryReceive() {
				e.apply(a, a.opts.Now())
			}
		case <-timer.C:
			a.applyEffects(a.controller.Expire(a.opts.Now()))
		}
		a.publish(a.opts.Now())
	}
}

// armTimer sets the timer to the earliest deadline of a waiting call.
func (a *admission) armTimer(timer *time.Timer) {
	next := a.controller.NextDeadline()
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(0, next.Sub(a.opts.Now())))
}

func (a *admission) offerCall(now time.Time, o offeredCall) {
	a.applyView()
	if w := a.watchers[o.call.Watcher]; w != nil {
		w.unusedCredits--
	}
	decision := a.controller.Offer(now, o.call)
	a.metrics.countOffer(decision)
	switch decision.Verdict {
	case admit.VerdictStarted:
		a.pendingCalls[o.call.ID] = pendingCall{o.reply, o.cancel}
		o.reply.Offer(admissionResult{admitted: true})
	case admit.VerdictQueued:
		a.pendingCalls[o.call.ID] = pendingCall{o.reply, o.cancel}
	case admit.VerdictDuplicate:
		o.reply.Offer(admissionResult{duplicate: true})
	default:
		o.reply.Offer(admissionResult{reason: decision.Reason, retryAfter: decision.RetryAfter})
	}
	a.applyEffects(decision.Effects)
}

// applyEffects notifies the waiting calls that the controller started or rejected, and
// cancels the runs that it preempted.
func (a *admission) applyEffects(e admit.Effects) {
	for _, id := range e.Started {
		a.pendingCalls[id].reply.Offer(admissionResult{admitted: true})
	}
	for _, r := range e.Rejected {
		a.pendingCalls[r.ID].reply.Offer(admissionResult{reason: r.Reason, retryAfter: r.RetryAfter})
		delete(a.pendingCalls, r.ID)
	}
	for _, id := range e.ToCancel {
		a.pendingCalls[id].cancel(errPreempted)
		a.metrics.countPreemption()
	}
}

func (e finishEvent) apply(a *admission, now time.Time) {
	effects := a.controller.Finish(now, e.id, e.sample)
	delete(a.pendingCalls, e.id)
	a.updatePrefillRate(e.sample)
	for _, w := range a.watchers {
		w.storedKeys = append(w.storedKeys, e.storedKeys...)
		w.storedKeys = w.storedKeys[max(0, len(w.storedKeys)-maxStoredKeys):]
	}
	a.applyEffects(effects)
	if e.reply != nil {
		grantRequest{e.watcher, e.reply}.apply(a, now)
	}
}

// prefillRateWeight is the weight of the newest sample in the moving average, from 0 to 1.
const prefillRateWeight = 0.2

// updatePrefillRate updates the moving average of the rate at which the engine computes
// prompt text. Prompts with less than one block to compute are ignored.
func (a *admission) updatePrefillRate(s admit.Sample) {
	if s.Result != admit.ResultSucceeded || s.TimeToFirstToken <= 0 || s.ComputedBytes < core.BlockBytes {
		return
	}
	rate := float64(s.ComputedBytes) / s.TimeToFirstToken.Seconds()
	if a.prefillRate == 0 {
		a.prefillRate = rate
	}
	a.prefillRate += prefillRateWeight * (rate - a.prefillRate)
}

func (e grantRequest) apply(a *admission, now time.Time) {
	a.applyView()
	g := watcherGrant{CreditGrant: a.controller.GrantCredits(now, e.watcher)}
	if w := a.watchers[e.watcher]; w != nil {
		g.storedKeys, w.storedKeys = w.storedKeys, nil
		w.unusedCredits = g.Count
	}
	e.reply.Offer(g)
}

func (e watchEvent) apply(a *admission, _ time.Time) {
	if !e.streamEnded {
		a.watchers[e.watcher] = &watcher{notifications: e.notifications}
		return
	}
	// A watcher that has reconnected has another ring. It must not be removed.
	if w := a.watchers[e.watcher]; w != nil && w.notifications == e.notifications {
		delete(a.watchers, e.watcher)
		a.controller.RemoveWatcher(e.watcher)
	}
}

func (e infoEvent) apply(a *admission, _ time.Time) {
	previous := a.engineInfo
	a.engineInfo = e.info
	a.applyView()
	switch {
	case previous.Incarnation == 0 || e.info.Incarnation == previous.Incarnation && e.info.CacheEpoch == previous.CacheEpoch:
		return
	case e.info.Incarnation != previous.Incarnation:
		a.resetWindow(admit.ResetEngineRestart)
	default:
		a.resetWindow(admit.ResetCacheLost)
	}
}

func (a *admission) resetWindow(reason admit.ResetReason) {
	a.controller.Reset(reason)
	a.opts.Log.WithFields(logrus.Fields{"event": "window_reset", "reason": reason.String(), "upstream": a.opts.Upstream}).
		Info("admission window reset to its initial size")
}

func (e drainEvent) apply(a *admission, _ time.Time) {
	a.stopping = true
	a.idleSignal = e.idleSignal
	a.applyEffects(a.controller.Drain())
}

// applyView applies the window limits of the bundle and any restriction on the upstream or
// its failure domain. Drain and Resume have no effect if admission is already in that state.
func (a *admission) applyView() {
	view := a.opts.Control.View()
	if !view.HasBundle() || a.stopping {
		return
	}
	upstream := view.Index.Upstreams[a.opts.Upstream]
	if upstream == nil || !view.UpstreamAllowed(upstream) {
		a.applyEffects(a.controller.Drain())
		return
	}
	a.controller.Resume()
	if upstream.MaxWindow != a.maxWindow {
		a.maxWindow = upstream.MaxWindow
		a.controller.SetMaxWindow(a.maxWindow)
	}
	a.controller.SetColdLimit(upstream.ColdWindow, upstream.WarmUp())
}

// publish stores a new snapshot. It notifies all watchers of changes that they need before
// their next regular message. Watchers without unused credits are also notified when the
// number of running and waiting calls decreases.
func (a *admission) publish(now time.Time) {
	next := &snapshot{State: a.controller.State(now), engineInfo: a.engineInfo, prefillRate: uint64(a.prefillRate), stopping: a.stopping}
	previous := a.latestSnapshot.Swap(next)
	if a.idleSignal != nil && next.Running == 0 && next.Queued == 0 {
		a.idleSignal.Offer(struct{}{})
		a.idleSignal = nil
	}
	changed := previous.differsForWatchers(next)
	slotFreed := next.Running+next.Queued < previous.Running+previous.Queued
	for _, w := range a.watchers {
		if changed || slotFreed && w.unusedCredits <= 0 {
			w.notifications.Push(struct{}{})
		}
	}
}

// differsForWatchers reports whether next contains a change that all watchers need
// immediately. That is a change of the window size, a flag or the cache epoch, or a window
// that has become full or is no longer full.
func (s *snapshot) differsForWatchers(next *snapshot) bool {
	windowFull := func(s *snapshot) bool { return s.Running >= s.Window }
	return s.Window != next.Window || s.Cold != next.Cold || s.Draining != next.Draining || s.stopping != next.stopping ||
		windowFull(s) != windowFull(next) || s.engineInfo.CacheEpoch != next.engineInfo.CacheEpoch
}
