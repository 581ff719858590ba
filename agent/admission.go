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
	offerRing = 1024
	eventRing = 1024
)

// defaultMaxWindow holds until the bundle gives the upstream's own limit.
const defaultMaxWindow = 1

// verdict is the answer to one offered call. The call may be handed to the
// upstream only when admitted is set.
type verdict struct {
	admitted   bool
	duplicate  bool
	reason     admit.Reason
	retryAfter time.Duration
}

// offer asks for the admission of one call.
type offer struct {
	call admit.Call
	// reply receives exactly one verdict.
	reply *ring.Ring[verdict]
	// cancel ends the run when it is preempted.
	cancel context.CancelCauseFunc
}

// event is anything else that the admission duty reacts to.
type event interface{ apply(*admission, time.Time) }

// doneEvent reports the end of a run, or that a waiting call was given up.
type doneEvent struct {
	id     core.AttemptID
	sample admit.Sample
	// stored are hints on the blocks that the engine holds after the run.
	stored []uint64
	// watcher, if set, gets renewed credits through reply.
	watcher core.NodeID
	reply   *ring.Ring[grant]
}

// grantEvent asks for a watcher's credits.
type grantEvent struct {
	watcher core.NodeID
	reply   *ring.Ring[grant]
}

// grant is what a watcher is told besides the published snapshot.
type grant struct {
	admit.CreditGrant
	// stored are hints on blocks that were stored since the last grant.
	stored []uint64
}

// watcher is an entry that watches this agent.
type watcher struct {
	notify *ring.Ring[struct{}]
	stored []uint64
	// credits is how many credits the watcher is thought to have left.
	credits int
}

// maxStored bounds the hints in one message to a watcher; the newest are kept.
const maxStored = 64

// watchEvent starts or ends the notification of a watcher.
type watchEvent struct {
	watcher core.NodeID
	notify  *ring.Ring[struct{}]
	leave   bool
}

// infoEvent reports what the engine says of itself.
type infoEvent struct{ info engine.Info }

// drainEvent stops admission; idle is told when no work is under way.
type drainEvent struct{ idle *ring.Ring[struct{}] }

// pending is a call that waits or runs.
type pending struct {
	reply  *ring.Ring[verdict]
	cancel context.CancelCauseFunc
}

// snapshot is what other goroutines may read of the admission duty.
type snapshot struct {
	admit.State
	info engine.Info
	// prefillRate is the measured rate in bytes of prompt text per second, 0
	// before the first measurement.
	prefillRate uint64
}

// admission is the duty that owns the window, the queues and the credits.
type admission struct {
	opts     Options
	metrics  *metrics
	offers   *ring.Ring[offer]
	events   *ring.Ring[event]
	state    atomic.Pointer[snapshot]
	control  *admit.Controller
	calls    map[core.AttemptID]pending
	watchers map[core.NodeID]*watcher
	info     engine.Info
	prefill  float64
	stopping bool
	idle     *ring.Ring[struct{}]
	limit    int
}

func newAdmission(o Options, m *metrics) *admission {
	a := &admission{
		opts:     o,
		metrics:  m,
		offers:   ring.New[offer](offerRing),
		events:   ring.New[event](eventRing),
		control:  admit.New(admit.Defaults(defaultMaxWindow, o.Incarnation)),
		calls:    make(map[core.AttemptID]pending),
		watchers: make(map[core.NodeID]*watcher),
		limit:    defaultMaxWindow,
	}
	a.state.Store(&snapshot{State: a.control.State(o.Now())})
	return a
}

// run is the loop of the duty. Its end closes the rings, so that no handler
// waits for a duty that has gone.
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
				a.offer(a.opts.Now(), o)
			}
		case <-a.events.Ready():
			for e, ok := a.events.TryReceive(); ok; e, ok = a.events.TryReceive() {
				e.apply(a, a.opts.Now())
			}
		case <-timer.C:
			a.effects(a.control.Expire(a.opts.Now()))
		}
		a.publish(a.opts.Now())
	}
}

// armTimer sets the timer to the earliest deadline of a waiting call.
func (a *admission) armTimer(timer *time.Timer) {
	next := a.control.NextDeadline()
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(0, next.Sub(a.opts.Now())))
}

func (a *admission) offer(now time.Time, o offer) {
	a.followView()
	if w := a.watchers[o.call.Watcher]; w != nil {
		w.credits--
	}
	decision := a.control.Offer(now, o.call)
	a.metrics.offered(decision)
	switch decision.Verdict {
	case admit.VerdictStarted:
		a.calls[o.call.ID] = pending{o.reply, o.cancel}
		o.reply.Offer(verdict{admitted: true})
	case admit.VerdictQueued:
		a.calls[o.call.ID] = pending{o.reply, o.cancel}
	case admit.VerdictDuplicate:
		o.reply.Offer(verdict{duplicate: true})
	default:
		o.reply.Offer(verdict{reason: decision.Reason, retryAfter: decision.RetryAfter})
	}
	a.effects(decision.Effects)
}

// effects tells the calls that a step started, rejected or preempted.
func (a *admission) effects(e admit.Effects) {
	for _, id := range e.Started {
		a.calls[id].reply.Offer(verdict{admitted: true})
	}
	for _, r := range e.Rejected {
		a.calls[r.ID].reply.Offer(verdict{reason: r.Reason, retryAfter: r.RetryAfter})
		delete(a.calls, r.ID)
	}
	for _, id := range e.ToCancel {
		a.calls[id].cancel(errPreempted)
		a.metrics.preempted()
	}
}

func (e doneEvent) apply(a *admission, now time.Time) {
	effects := a.control.Finish(now, e.id, e.sample)
	delete(a.calls, e.id)
	a.observePrefill(e.sample)
	for _, w := range a.watchers {
		w.stored = append(w.stored, e.stored...)
		w.stored = w.stored[max(0, len(w.stored)-maxStored):]
	}
	a.effects(effects)
	if e.reply != nil {
		grantEvent{e.watcher, e.reply}.apply(a, now)
	}
}

// prefillWeight is the weight of the newest sample in the moving average.
const prefillWeight = 0.2

// observePrefill follows the rate at which the engine computes prompt text.
func (a *admission) observePrefill(s admit.Sample) {
	if s.Result != admit.ResultSucceeded || s.TimeToFirstToken <= 0 || s.ComputedBytes < core.BlockBytes {
		return
	}
	rate := float64(s.ComputedBytes) / s.TimeToFirstToken.Seconds()
	if a.prefill == 0 {
		a.prefill = rate
	}
	a.prefill += prefillWeight * (rate - a.prefill)
}

func (e grantEvent) apply(a *admission, now time.Time) {
	a.followView()
	g := grant{CreditGrant: a.control.GrantCredits(now, e.watcher)}
	if w := a.watchers[e.watcher]; w != nil {
		g.stored, w.stored = w.stored, nil
		w.credits = g.Count
	}
	e.reply.Offer(g)
}

func (e watchEvent) apply(a *admission, _ time.Time) {
	if !e.leave {
		a.watchers[e.watcher] = &watcher{notify: e.notify}
		return
	}
	// A watcher that reconnected has a newer ring, which stays.
	if w := a.watchers[e.watcher]; w != nil && w.notify == e.notify {
		delete(a.watchers, e.watcher)
		a.control.RemoveWatcher(e.watcher)
	}
}

func (e infoEvent) apply(a *admission, _ time.Time) {
	before := a.info
	a.info = e.info
	a.followView()
	switch {
	case before.Incarnation == 0 || e.info.Incarnation == before.Incarnation && e.info.CacheEpoch == before.CacheEpoch:
		return
	case e.info.Incarnation != before.Incarnation:
		a.reset(admit.ResetEngineRestart)
	default:
		a.reset(admit.ResetCacheLost)
	}
}

func (a *admission) reset(reason admit.ResetReason) {
	a.control.Reset(reason)
	a.opts.Log.WithFields(logrus.Fields{"event": "window_reset", "reason": reason.String(), "upstream": a.opts.Upstream}).
		Info("admission window fell back to its start")
}

func (e drainEvent) apply(a *admission, _ time.Time) {
	a.stopping = true
	a.idle = e.idle
	a.effects(a.control.Drain())
}

// followView applies the bundle's limit and any drain of the upstream or its
// failure domain. Drain and Resume are no-ops when nothing changes.
func (a *admission) followView() {
	view := a.opts.Control.View()
	if !view.HasBundle() || a.stopping {
		return
	}
	upstream := view.Index.Upstreams[a.opts.Upstream]
	if upstream == nil || !view.UpstreamAllowed(upstream) {
		a.effects(a.control.Drain())
		return
	}
	a.control.Resume()
	if upstream.MaxWindow != a.limit {
		a.limit = upstream.MaxWindow
		a.control.SetMaxWindow(a.limit)
	}
	a.control.SetColdLimit(upstream.ColdWindow, upstream.WarmUp())
}

// publish stores the snapshot and notifies watchers of a change that matters
// to them before their next regular message: watchers that have used up their
// credits hear of freed room, all others only of larger changes.
func (a *admission) publish(now time.Time) {
	next := &snapshot{State: a.control.State(now), info: a.info, prefillRate: uint64(a.prefill)}
	before := a.state.Swap(next)
	if a.idle != nil && next.Running == 0 && next.Queued == 0 {
		a.idle.Offer(struct{}{})
		a.idle = nil
	}
	changed := before.differs(next)
	freed := next.Running+next.Queued < before.Running+before.Queued
	for _, w := range a.watchers {
		if changed || freed && w.credits <= 0 {
			w.notify.Push(struct{}{})
		}
	}
}

// differs reports a change that watchers must hear of at once: of the window,
// of a flag, or between free room and none.
func (s *snapshot) differs(o *snapshot) bool {
	full := func(s *snapshot) bool { return s.Running >= s.Window }
	return s.Window != o.Window || s.Cold != o.Cold || s.Draining != o.Draining ||
		full(s) != full(o) || s.info.CacheEpoch != o.info.CacheEpoch
}
