package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/sharing"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// placeRingSize is the capacity for calls that wait to be placed by the router.
	// Further calls are refused.
	placeRingSize = 1024
	// reportRingSize is the capacity for reports to the router. Senders block when the
	// ring is full.
	reportRingSize = 1024
	// maxPlacementsPerTurn is the number of calls that are placed before the router takes
	// changes of the view again.
	maxPlacementsPerTurn = 64
	// maxIdleConnsPerUpstream is the maximum number of idle connections to one upstream.
	maxIdleConnsPerUpstream = 24
	// sweepInterval is the interval between two calls of sweep.
	sweepInterval = time.Second
	// departureRepeat is the time for which the announced departure of an upstream is
	// repeated to the other processes in each sweep, in case an exchange fails.
	departureRepeat = 3 * time.Second
	// maxPausedRetryAfter is the maximum Retry-After value of a call whose upstreams have
	// asked for a pause. Other processes may still use them, and others may be started.
	maxPausedRetryAfter = 10 * time.Second
	// maxReturnSpread is the maximum time over which the callers return that were refused
	// during a pause, and returnSpreadShare that time as a share of the rest of the pause.
	// They would otherwise all return at its end.
	maxReturnSpread   = time.Second
	returnSpreadShare = 0.25
)

// placeRequest is a handler's request to place a call. The call may wait for the memory
// of an engine until waitUntil.
type placeRequest struct {
	req       placement.Request
	priority  int
	waitUntil time.Time
	// trial is set when the call is a trial of a part in quarantine.
	trial bool
	reply *ring.Ring[placementResult]
}

// placementResult is the router's response to a placeRequest.
type placementResult struct {
	choice  placement.Choice
	refusal placement.Refusal
	// retryAfter is the time after which a call in quarantine, or one whose upstreams have
	// asked for a pause, may be placed, or after which the caller of a call for which no
	// engine has memory should return.
	retryAfter time.Duration
	idleConns  upstreamhttp.IdlePool
}

// connections holds the idle connections to one incarnation of an upstream.
type connections struct {
	address     string
	startedAtMs int64
	idle        upstreamhttp.IdlePool
}

// router is the duty that owns the state of the upstreams and the index of the prompt
// parts whose KV cache is saved in kept-cache stores (see Attempt).
type router struct {
	fleet         *fleet.Fleet
	viewChanged   *ring.Ring[struct{}]
	cacheFeed     *cacheevents.Feed
	observations  *sharing.Exchanger
	cacheIndex    *cacheindex.Index
	placer        *placement.Placer
	rollouts      *canary.Controller
	statusWriter  *canary.StatusWriter
	random        func() float64
	connections   map[core.UpstreamID]*connections
	placeRequests *ring.Ring[placeRequest]
	waiting       waitingCalls
	reports       *ring.Ring[attemptReport]
	quarantine    *quarantine.Tracker
	// activeQuarantines is read by the metrics.
	activeQuarantines   atomic.Pointer[[]quarantine.Active]
	quarantinesLoggedAt time.Time
	// paces is read by the metrics.
	paces           atomic.Pointer[paceSnapshot]
	loggedSpeeds    map[core.ServiceID]placement.ServiceSpeed
	crashChecker    *crashChecker
	options         *ring.Ring[placement.Options]
	log             logrus.FieldLogger
	suspensionWatch clock.SuspensionDetector
}

func newRouter(opts Options) *router {
	index := cacheindex.NewWithin(opts.CacheMemory)
	r := &router{
		fleet: opts.Fleet, viewChanged: opts.Fleet.Subscribe(), cacheFeed: opts.CacheFeed, observations: opts.Observations, cacheIndex: index, placer: placement.New(opts.Placement, index),
		connections: make(map[core.UpstreamID]*connections), placeRequests: ring.New[placeRequest](placeRingSize), waiting: newWaitingCalls(),
		rollouts: canary.New(opts.Placement.Node, opts.CanaryShare), statusWriter: opts.StatusWriter, random: opts.Random,
		reports: ring.New[attemptReport](reportRingSize), loggedSpeeds: make(map[core.ServiceID]placement.ServiceSpeed),
		quarantine: quarantine.New(opts.Placement.Node, time.Now()), crashChecker: newCrashChecker(opts.Client.Refuses), options: ring.New[placement.Options](1), log: opts.Log,
	}
	if opts.Meter == nil {
		return r
	}
	if err := observeQuarantines(opts.Meter, &r.activeQuarantines); err != nil {
		r.log.WithField("event", "metrics_missing").WithError(err).Warn("metrics of quarantines cannot be created")
	}
	if err := observePaces(opts.Meter, &r.paces); err != nil {
		r.log.WithField("event", "metrics_missing").WithError(err).Warn("metrics of paces cannot be created")
	}
	return r
}

// run is the duty's loop.
func (r *router) run(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	r.applyView(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			r.sweep(time.Now())
		case <-r.viewChanged.Ready():
		case <-r.options.Ready():
		case <-r.cacheFeed.Updates().Ready():
		case <-r.observations.RemoteObservations().Ready():
		case <-r.observations.RemoteEvidence().Ready():
		case <-r.observations.NewBoards().Ready():
		case <-r.observations.RemoteVerdicts().Ready():
		case <-r.crashChecker.results.Ready():
		case <-r.reports.Ready():
		case <-r.placeRequests.Ready():
		case <-r.waiting.timer.C:
		}
		r.handlePending()
	}
}

// sweep does the periodic work. It removes the pending saves of prompt parts that no
// kept-cache store has confirmed in time, updates the oldest weight versions in use and
// checks the registration of this process. It withdraws versions in doubt, repeats
// verdicts, quarantines and departures for the other processes and queues the statuses of
// rollouts.
// It frees stored parts whose weight version is no longer loaded at any upstream. A
// part's cache salt contains its weight version; see placement.Salt.
func (r *router) sweep(now time.Time) {
	r.cacheIndex.RemoveExpiredSaves(now)
	r.placer.UpdateOldestWeights(now)
	r.placer.SetRegistrationExpired(r.fleet.RegistrationExpired())
	r.sweepRollouts(now)
	r.quarantine.Sweep(now)
	r.reportQuarantines(now)
	r.reportPace(now)
	r.repeatDepartures(now.Add(-departureRepeat))
	for _, store := range r.placer.CacheStores() {
		obsolete := func(salt string) bool { return r.placer.Obsolete(now, salt) }
		incarnation, keys := r.cacheIndex.ObsoleteParts(now, store.Address, obsolete)
		r.cacheFeed.QueueFree(store.Address, incarnation, keys)
	}
}

// handlePending processes all queued changes and reports, then queued calls. Changes are
// processed first, so that placement uses the newest state.
func (r *router) handlePending() {
	if gap := r.suspensionWatch.SuspendedFor(clock.SinceBoot(), clock.SinceProcessStart()); gap > 0 {
		r.log.WithFields(logrus.Fields{"event": "suspended", "for_ms": gap.Milliseconds()}).Warn("VM was suspended; cache contents are not used until their next update")
		r.cacheIndex.MarkAllUnavailable()
		r.placer.MarkCachesStale()
	}
	now := time.Now()
	if opts, ok := r.options.TryReceive(); ok {
		r.placer.SetOptions(opts)
	}
	if _, ok := r.viewChanged.TryReceive(); ok {
		r.applyView(now)
	}
	for u, ok := r.cacheFeed.Updates().TryReceive(); ok; u, ok = r.cacheFeed.Updates().TryReceive() {
		r.applyCacheUpdate(u)
	}
	for received, ok := r.observations.RemoteObservations().TryReceive(); ok; received, ok = r.observations.RemoteObservations().TryReceive() {
		for _, o := range received {
			r.placer.ApplyObservation(now, o)
		}
	}
	r.takeReports()
	r.applyVerdicts(now)
	r.updateQuarantine(now)
	r.placeWaitingCalls(time.Now())
	r.placeCalls()
	r.logRateChanges()
	r.logRestrictions()
	if r.placer.EventSourcesOutdated(now) {
		r.cacheFeed.SetSources(r.placer.RefreshEventSources(now))
	}
}

// placeCalls places queued calls, up to maxPlacementsPerTurn. Calls may arrive as fast as
// they are placed, and a report may exclude an upstream, so that reports are processed
// before each call.
func (r *router) placeCalls() {
	for range maxPlacementsPerTurn {
		pending, ok := r.placeRequests.TryReceive()
		if !ok {
			return
		}
		r.takeReports()
		r.placeCall(time.Now(), pending)
	}
}

// takeReports processes all queued reports. It reads the clock after it has received a
// report, since the times that a response announces begin with the response.
func (r *router) takeReports() {
	for report, ok := r.reports.TryReceive(); ok; report, ok = r.reports.TryReceive() {
		now := time.Now()
		r.waiting.callEnded = r.waiting.callEnded || report.Final
		r.recordSample(now, report.Report)
		r.placer.RecordReport(now, report.Report)
		r.publishObservation(now, report.Report)
		r.recordEnd(now, report)
	}
}

// placeCall places a call and sends the result to its handler. A call for which no engine
// has memory waits.
func (r *router) placeCall(now time.Time, pending placeRequest) {
	result := r.choose(now, &pending)
	if result.refusal == placement.MemoryFull {
		if r.waiting.add(now, pending) {
			return
		}
		result = r.memoryRefusal()
	}
	r.reply(now, pending, result)
}

// reply sends the result of a placement to the handler of the call.
func (r *router) reply(now time.Time, pending placeRequest, result placementResult) {
	choice, refusal := result.choice, result.refusal
	if refusal == placement.NotRefused {
		result.idleConns = r.connections[choice.Upstream.ID].idle
	}
	if !pending.reply.Offer(result) && refusal == placement.NotRefused {
		// The call ended before the handler received its placement.
		r.placer.RecordReport(now, placement.Report{
			AttemptID: choice.AttemptID, Upstream: choice.Upstream.ID, Final: true, Result: placement.Abandoned,
		})
	}
}

// choose places a call unless a part of its prompt is in quarantine.
func (r *router) choose(now time.Time, pending *placeRequest) placementResult {
	if wait, refused := r.checkQuarantine(now, pending); refused {
		return placementResult{refusal: placement.Quarantined, retryAfter: wait}
	}
	request := pending.req
	choice, refusal := r.chooseVersion(now, request)
	switch refusal {
	case placement.NotRefused:
		r.rollouts.RecordPlaced(choice.Upstream)
	case placement.NoUpstream:
		if wait, paused := r.placer.PauseRemaining(now, request); paused {
			return placementResult{refusal: placement.Paused, retryAfter: r.returnTime(wait)}
		}
	}
	return placementResult{choice: choice, refusal: refusal}
}

// returnTime returns the Retry-After value of a call that is refused during a pause.
func (r *router) returnTime(remaining time.Duration) time.Duration {
	remaining = min(remaining, maxPausedRetryAfter)
	spread := min(time.Duration(returnSpreadShare*float64(remaining)), maxReturnSpread)
	return remaining + time.Duration(r.random()*float64(spread))
}

// chooseVersion places a call at the upstreams that a rollout allows. If no upstream of
// the new version can take the call, it tries the old version.
func (r *router) chooseVersion(now time.Time, request placement.Request) (placement.Choice, placement.Refusal) {
	request.RolloutFilter = r.rollouts.FilterFor(now, request.Service, r.random())
	choice, refusal := r.placer.Choose(now, request)
	if refusal == placement.NoUpstream || refusal == placement.Limited || refusal == placement.MemoryFull {
		if alternative, ok := r.rollouts.Fallback(request.Service, request.RolloutFilter); ok {
			request.RolloutFilter = alternative
			return r.placer.Choose(now, request)
		}
	}
	return choice, refusal
}

// publishObservation sends the other processes the load of an upstream, the rate or the
// departure that it announces, or that it is unreachable, if the report contains it.
func (r *router) publishObservation(now time.Time, report placement.Report) {
	o := sharing.Observation{Upstream: report.Upstream, ObservedAt: now}
	if report.Final {
		o.Unreachable = report.Result == placement.Unreachable && r.placer.Excluded(now, report.Upstream)
	} else {
		o.Load, o.HasLoad = report.Load.Calls()
		o.Waiting, o.Slowdown, o.SlowdownSample = report.Load.Waiting, report.Load.Slowdown, r.placer.SlowdownSample(now, report.Upstream)
		o.Leaving, o.StartedAtMs = report.Leaving, report.StartedAtMs
		if limit, repeat := r.placer.RateLimit(now, report.Upstream); report.HasRateLimit && repeat {
			o.HasRateLimit, o.RateLimit = true, limit
		}
	}
	if o.Unreachable || o.ContainsLoad() || o.HasRateLimit || o.Leaving {
		r.observations.Record(o)
	}
}

// logRateChanges logs the changes of announced rates.
func (r *router) logRateChanges() {
	for _, change := range r.placer.TakeRateChanges() {
		r.log.WithFields(logrus.Fields{
			"event": "upstream_rate", "upstream": change.Upstream, "limited": change.Limited, "per_second": change.PerSecond, "age_ms": change.Age.Milliseconds(),
		}).Info("upstream announces another rate of calls")
	}
}

// logRestrictions logs the new restrictions of upstreams.
func (r *router) logRestrictions() {
	for _, change := range r.placer.TakeRestrictionChanges() {
		entry := r.log.WithFields(logrus.Fields{"upstream": change.Upstream, "born": change.StartedAtMs, "age_ms": change.Age.Milliseconds()})
		if !change.Leaving {
			entry.WithFields(logrus.Fields{"event": "upstream_paused", "for_ms": change.PauseFor.Milliseconds()}).Info("upstream asks for no calls for a time")
			continue
		}
		entry.WithFields(logrus.Fields{"event": "upstream_leaving", "reporter": change.Reporter}).Info("upstream announces that it leaves; no more calls are sent to it")
	}
}

// repeatDepartures sends the other processes the departures that upstreams have
// announced after a point in time.
func (r *router) repeatDepartures(after time.Time) {
	for _, o := range r.placer.Departures(after) {
		r.observations.Record(o)
	}
}

func (r *router) applyView(now time.Time) {
	v := r.fleet.View()
	inputs := placement.Inputs{
		Config: v.Config, Upstreams: v.Upstreams, Evacuated: v.Evacuated,
		WeightHistory: v.Weights, FrontAddresses: make(map[core.NodeID]string, len(v.Members)),
	}
	for _, m := range v.Members {
		// Only fronts register as members.
		inputs.Fronts = append(inputs.Fronts, m.Node)
		inputs.FrontAddresses[m.Node] = m.Address
	}
	r.placer.SetInputs(now, inputs)
	r.quarantine.SetFronts(inputs.Fronts)
	r.rollouts.SetInputs(now, canary.Inputs{Rollouts: v.Rollouts, Upstreams: v.Upstreams, Fronts: inputs.Fronts})
	r.cacheFeed.SetSources(r.placer.EventSources(now))
	updated := make(map[core.UpstreamID]*connections, len(v.Upstreams))
	for _, u := range v.Upstreams {
		conns := r.connections[u.ID]
		if conns == nil || conns.address != u.Address || conns.startedAtMs != u.StartedAtMs {
			conns = &connections{address: u.Address, startedAtMs: u.StartedAtMs, idle: upstreamhttp.NewIdlePool(maxIdleConnsPerUpstream)}
		}
		updated[u.ID] = conns
	}
	r.connections = updated
	for _, u := range v.Upstreams {
		r.confirmRestart(now, u.ID)
	}
}

// applyCacheUpdate applies an update of a model server's cache to the placer. An update
// from another address, for which ApplyCacheChange returns false, belongs to a
// kept-cache store and is applied to the index.
func (r *router) applyCacheUpdate(u cacheevents.Update) {
	if r.placer.ApplyCacheChange(u.Address, placement.CacheChange{
		ReceivedAt: u.ReceivedAt, Unavailable: u.Unavailable, Restarted: u.Restarted, Added: u.Parts, Removed: u.RemovedKeys,
	}) {
		return
	}
	switch {
	case u.Unavailable:
		r.cacheIndex.MarkUnavailable(u.Address)
	case u.IsSnapshot:
		r.cacheIndex.SetContent(u.ReceivedAt, u.Address, u.Epoch, u.Parts)
	case !r.cacheIndex.ApplyEvents(u.ReceivedAt, u.Address, u.Epoch, u.Parts, u.RemovedKeys):
		r.cacheIndex.MarkUnavailable(u.Address)
		r.log.WithFields(logrus.Fields{"event": "kept_store_epoch", "store": u.Address, "epoch": u.Epoch}).Warn("kept-cache store has restarted; its index is not used until it has been read again")
	}
}

// place requests the placement of a call. A full ring is returned as a refusal, since
// the process is overloaded.
func (r *router) place(ctx context.Context, request placeRequest) (placementResult, error) {
	p, err := ring.TryRequest(ctx, r.placeRequests, func(reply *ring.Ring[placementResult]) placeRequest {
		request.reply = reply
		return request
	})
	if errors.Is(err, ring.ErrFull) {
		return placementResult{refusal: placement.Limited}, nil
	}
	return p, errs.Wrap(err, errs.Unavailable, "retry", "call ended before it was placed")
}

// report sends a report to the router. It blocks while the ring is full.
func (r *router) report(report attemptReport) {
	if err := r.reports.Send(context.Background(), report); err != nil {
		r.log.WithField("event", "report_lost").WithError(err).Warn("report of an attempt was not delivered to the router")
	}
}
