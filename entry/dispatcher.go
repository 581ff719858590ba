package entry

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/dispatch"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/retry"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/route"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/stream"
	"waxwingtide.example/waxwingtide/wire"
)

// Capacities of the dispatch duty's rings, in elements.
const (
	placementRingCapacity = 2048
	stateRingCapacity     = 4096
	eventRingCapacity     = 2048
)

// initialRetryDelay is the mean delay before the second attempt of a call. The mean delay
// doubles with each further attempt, up to maxRetryDelay.
const (
	initialRetryDelay = 10 * time.Millisecond
	maxRetryDelay     = time.Second
)

// blockTransferBytes is the size of one block of KV cache in the kept-cache store that the
// cost model assumes as long as engines do not report the actual size.
const blockTransferBytes = 16 << 10

// placementRequest requests an upstream for the next attempt of a call.
type placementRequest struct {
	queuedCall   dispatch.Call[*placementRequest]
	routeRequest route.Request
	// isCanary is set if the call belongs to the canary share. Such a call does not wait
	// for a credit, because the stable version can serve it.
	isCanary bool
	// reply receives exactly one result.
	reply *ring.Ring[placementResult]
}

// placementResult is the result of a placementRequest. If refusalReason is ReasonNone and
// noUpstream is not set, it contains an attempt at the chosen upstream.
type placementResult struct {
	// refusalReason is ReasonNone if the call was not refused.
	refusalReason dispatch.Reason
	// noUpstream is set if no upstream serves the version or, for a call of the canary
	// share, if none has a credit.
	noUpstream bool
	attemptID  core.AttemptID
	choice     route.Choice
	address    string
	epoch      core.Epoch
}

// event is an input of the dispatch duty other than a view, a placement request and a state
// update.
type event interface{ apply(*dispatcher, time.Time) }

// startRequest requests the ID of a new call. It also records the call in the retry budget,
// which each call increases.
type startRequest struct{ reply *ring.Ring[core.AttemptID] }

// retryRequest requests permission to retry a call.
type retryRequest struct {
	previousAttempts int
	deadline         time.Time
	reply            *ring.Ring[retryDecision]
}

// retryDecision is the result of a retryRequest. If denial is nil, the call may be retried
// after the delay.
type retryDecision struct {
	delay  time.Duration
	denial error
}

// attemptFinished reports the end of an attempt.
type attemptFinished struct {
	run route.RunResult
	// keptBlocks is the number of leading blocks of the prompt that the kept-cache store
	// holds. It is 0 if no blocks were imported for the run.
	keptBlocks int
	// notSent is set if the attempt was not sent, so that the credit was not used.
	notSent bool
	choice  route.Choice
}

// callEnded reports that a call has ended.
type callEnded struct{ id core.AttemptID }

// stateUpdate contains the state of an upstream, which was received on its watch stream or
// with the end of an attempt.
type stateUpdate struct {
	upstream core.UpstreamID
	state    *wire.UpstreamState
	// unavailable is set instead of state if the watch stream has failed. An update with
	// neither is ignored.
	unavailable bool
}

// dispatcher is the duty that owns the routing state of the upstreams, the queue of waiting
// calls and the retry budget.
type dispatcher struct {
	opts           Options
	placements     *ring.Ring[*placementRequest]
	stateUpdates   *ring.Ring[stateUpdate]
	events         *ring.Ring[event]
	views          *ring.Ring[*facts.View]
	routes         *route.Table
	queue          *dispatch.Queue[*placementRequest]
	retryBudget    *retry.Budget
	retryBackoff   retry.Backoff
	random         *rand.Rand
	attemptIDs     *stream.AttemptIDs
	view           *facts.View
	engines        map[core.UpstreamID]engineTarget
	currentLoads   map[core.UpstreamID]admin.UpstreamLoad
	publishedLoads atomic.Pointer[[]admin.UpstreamLoad]
	nextLoadsAt    time.Time
}

// engineTarget is the agent address and the pool of an engine of the bundle in force.
type engineTarget struct {
	address string
	pool    dispatch.Pool
}

func newDispatcher(o Options) *dispatcher {
	options := route.DefaultOptions(blockTransferBytes)
	if o.Routing.Policy == settings.PolicyLeastLoaded {
		options.Policy = route.LeastLoaded
	}
	random := rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation)))
	d := &dispatcher{
		opts:         o,
		placements:   ring.New[*placementRequest](placementRingCapacity),
		stateUpdates: ring.New[stateUpdate](stateRingCapacity),
		events:       ring.New[event](eventRingCapacity),
		views:        o.Control.Subscribe(),
		routes:       route.New(options, random),
		retryBudget:  retry.NewBudget(retry.DefaultBudgetOptions()),
		retryBackoff: retry.Backoff{Initial: initialRetryDelay, Max: maxRetryDelay},
		random:       random,
		attemptIDs:   stream.NewAttemptIDs(o.Node, o.Incarnation),
		currentLoads: make(map[core.UpstreamID]admin.UpstreamLoad),
	}
	d.publishedLoads.Store(&[]admin.UpstreamLoad{})
	d.queue = dispatch.New(o.Limits.Waiting, d.placeCall)
	return d
}

// run is the loop of the duty. When it returns, it closes the rings to which handlers send
// requests, so that no handler waits for a stopped duty.
func (d *dispatcher) run(ctx context.Context) error {
	defer d.placements.Close()
	defer d.events.Close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	d.applyView(d.opts.Control.View())
	for {
		d.armTimer(timer)
		select {
		case <-ctx.Done():
			return nil
		case <-d.views.Ready():
			if view, ok := d.views.TryReceive(); ok {
				d.applyView(view)
			}
		case <-d.placements.Ready():
			for p, ok := d.placements.TryReceive(); ok; p, ok = d.placements.TryReceive() {
				d.offerCall(d.opts.Now(), p)
			}
		case <-d.stateUpdates.Ready():
			for u, ok := d.stateUpdates.TryReceive(); ok; u, ok = d.stateUpdates.TryReceive() {
				d.applyState(d.opts.Now(), u)
			}
		case <-d.events.Ready():
			for e, ok := d.events.TryReceive(); ok; e, ok = d.events.TryReceive() {
				e.apply(d, d.opts.Now())
			}
		case <-timer.C:
			for _, r := range d.queue.Expire(d.opts.Now()) {
				d.refuseCall(&r)
			}
		}
	}
}

// armTimer sets the timer to the earliest deadline of a waiting call.
func (d *dispatcher) armTimer(timer *time.Timer) {
	next := d.queue.NextDeadline()
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(0, next.Sub(d.opts.Now())))
}

// applyView applies a new view. It updates the set of engines, the weight version that each
// engine serves, and the engines that get no new calls because of a restriction.
func (d *dispatcher) applyView(view *facts.View) {
	if !view.HasBundle() {
		return
	}
	d.view = view
	d.engines = make(map[core.UpstreamID]engineTarget)
	pools := make(map[dispatch.Pool]bool)
	var configs []route.UpstreamConfig
	for model, engines := range view.Index.Engines {
		for _, u := range engines {
			version := view.ServedVersion(u)
			pool := dispatch.Pool{Model: model, Version: version}
			pools[pool] = true
			d.engines[u.ID] = engineTarget{u.Agent, pool}
			closed := !view.UpstreamAllowed(u) || !view.VersionAllowed(model, version)
			configs = append(configs, route.UpstreamConfig{ID: u.ID, Model: model, Version: version, Closed: closed})
		}
	}
	d.routes.SetUpstreams(configs)
	d.queue.RetainPools(pools)
}

// offerCall offers a call to the queue. If the queue refuses the call without a reason, because
// the call is already waiting, the result has ReasonQueueFull.
func (d *dispatcher) offerCall(now time.Time, p *placementRequest) {
	decision := d.queue.Offer(now, p.queuedCall)
	if decision.Evicted != nil {
		d.refuseCall(decision.Evicted)
	}
	if decision.Verdict == dispatch.VerdictRefused || decision.Verdict == dispatch.VerdictDuplicate {
		p.reply.Offer(placementResult{refusalReason: max(decision.Reason, dispatch.ReasonQueueFull)})
	}
}

func (d *dispatcher) refuseCall(r *dispatch.Refusal[*placementRequest]) {
	r.Call.Value.reply.Offer(placementResult{refusalReason: r.Reason})
}

// placeCall chooses an upstream for the call that is next in the queue and sends the result
// to the call's handler. It returns false if the call must continue to wait.
func (d *dispatcher) placeCall(now time.Time, call *dispatch.Call[*placementRequest]) bool {
	p := call.Value
	choice, refusal := d.routes.Choose(now, &p.routeRequest)
	switch {
	case refusal == route.RefusalNone:
		delivered := p.reply.Offer(placementResult{
			attemptID: d.attemptIDs.Next(),
			choice:    choice,
			address:   d.engines[choice.Upstream].address,
			epoch:     d.view.Head.Epoch,
		})
		if !delivered {
			d.routes.ReturnCredit(choice) // the handler no longer waits
		}
		return true
	case refusal == route.RefusalNoUpstream || p.isCanary:
		p.reply.Offer(placementResult{noUpstream: true})
		return true
	default:
		return false
	}
}

// applyState records a published state and places waiting calls with its credits.
func (d *dispatcher) applyState(now time.Time, u stateUpdate) {
	target, ok := d.engines[u.upstream]
	if !ok {
		return
	}
	if u.unavailable {
		d.routes.MarkUnavailable(u.upstream)
		delete(d.currentLoads, u.upstream)
		return
	}
	if u.state == nil {
		return
	}
	d.routes.RecordState(now, convertState(now, u.state))
	d.recordLoad(now, u.state)
	d.placeWaiting(now, target.pool, int(u.state.GetCredits()))
}

// loadPublishInterval is the minimum interval between two publications of the loads.
const loadPublishInterval = time.Second

// recordLoad records the load of an upstream. At most once per loadPublishInterval, it also
// publishes the loads for operators and sets the number of entry processes that the routing
// state assumes.
func (d *dispatcher) recordLoad(now time.Time, s *wire.UpstreamState) {
	id := core.UpstreamID(s.GetUpstream())
	d.currentLoads[id] = admin.UpstreamLoad{
		Upstream: id, Running: int(s.GetRunning()), Queued: int(s.GetQueued()), Window: int(s.GetWindow()), Cold: s.GetCold(),
	}
	if now.Before(d.nextLoadsAt) {
		return
	}
	d.nextLoadsAt = now.Add(loadPublishInterval)
	loads := slices.SortedFunc(maps.Values(d.currentLoads), func(a, b admin.UpstreamLoad) int {
		return cmp.Compare(a.Upstream, b.Upstream)
	})
	d.publishedLoads.Store(&loads)
	d.routes.SetEntryCount(d.opts.EntryCount())
}

func (d *dispatcher) placeWaiting(now time.Time, pool dispatch.Pool, credits int) {
	if credits > 0 {
		d.queue.PlaceWaiting(now, pool, credits)
	}
}

// convertState converts a published state to that of package route.
func convertState(now time.Time, s *wire.UpstreamState) route.State {
	loaded := make([]core.WeightVersion, 0, len(s.GetLoaded()))
	for _, v := range s.GetLoaded() {
		loaded = append(loaded, core.WeightVersion(v))
	}
	return route.State{
		Upstream:      core.UpstreamID(s.GetUpstream()),
		Incarnation:   core.Incarnation(s.GetSender().GetIncarnation()),
		CacheEpoch:    s.GetCacheEpoch(),
		Credits:       int(s.GetCredits()),
		UrgentCredits: int(s.GetUrgentCredits()),
		CreditExpiry:  now.Add(time.Duration(s.GetCreditMs()) * time.Millisecond),
		Window:        int(s.GetWindow()),
		Running:       int(s.GetRunning()),
		Queued:        int(s.GetQueued()),
		QueueDelay:    time.Duration(s.GetQueueDelayMs()) * time.Millisecond,
		Cold:          s.GetCold(),
		Draining:      s.GetDraining(),
		PrefillRate:   float64(s.GetPrefillBytesPerS()),
		LinkRate:      float64(s.GetLinkBytesPerS()),
		Version:       core.WeightVersion(s.GetVersion()),
		Loaded:        loaded,
		StoredKeys:    s.GetCached(),
	}
}

func (r startRequest) apply(d *dispatcher, now time.Time) {
	d.retryBudget.RecordCall(now)
	r.reply.Offer(d.attemptIDs.Next())
}

func (r retryRequest) apply(d *dispatcher, now time.Time) {
	delay := d.retryBackoff.Delay(r.previousAttempts, d.random)
	switch {
	case !now.Add(delay).Before(r.deadline):
		r.reply.Offer(retryDecision{denial: errs.New(errs.Unavailable, "allow more time", "the deadline is before the next attempt")})
	case !d.retryBudget.Take(now):
		r.reply.Offer(retryDecision{denial: errs.New(errs.Exhausted, "retry later", "the entry's retry budget is empty")})
	default:
		r.reply.Offer(retryDecision{delay: delay})
	}
}

func (r attemptFinished) apply(d *dispatcher, now time.Time) {
	if r.notSent {
		d.routes.ReturnCredit(r.choice)
		return
	}
	d.routes.FinishCall(r.choice)
	d.routes.RecordRun(now, r.run)
	if r.keptBlocks > 0 {
		d.routes.RecordKeptBlocks(now, r.run.Blocks, r.keptBlocks)
	}
}

func (r callEnded) apply(d *dispatcher, _ time.Time) { d.queue.Remove(r.id) }
