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
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/quarantine"
	quarantinestore "waxwingtide.example/waxwingtide/quarantine/store"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/sharing"
	"waxwingtide.example/waxwingtide/singleton/autoscale"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// placeRingSize is the capacity for calls that wait to be placed by the router.
	// Further calls are refused.
	placeRingSize = 1024
	// reportRingSize is the capacity for reports to the router. Senders block when the
	// ring is full.
	reportRingSize = 1024
	// maxIdleConnsPerUpstream is the maximum number of idle connections to one upstream.
	maxIdleConnsPerUpstream = 24
	// sweepInterval is the interval between two calls of sweep.
	sweepInterval = time.Second
	// departureRepeat is the time for which the announced departure of an upstream is
	// repeated to the other processes in each sweep, in case an exchange fails.
	departureRepeat = 3 * time.Second
)

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
	waiting       *waitingCalls
	recordLoads   func(autoscale.LoadReport)
	reports       *ring.Ring[attemptReport]
	quarantine    *quarantine.Tracker
	// activeQuarantines is read by the metrics.
	activeQuarantines   atomic.Pointer[[]quarantine.Active]
	quarantinesLoggedAt time.Time
	quarantineStore     *quarantinestore.Keeper
	// storeGeneration is the newest generation of the metadata store's content that the
	// view has had.
	storeGeneration core.Generation
	// paces is read by the metrics.
	paces           atomic.Pointer[paceSnapshot]
	loggedSpeeds    map[core.ServiceID]placement.ServiceSpeed
	links           linkMonitor
	crashChecker    *crashChecker
	options         *ring.Ring[placement.Options]
	log             logrus.FieldLogger
	suspensionWatch clock.SuspensionDetector
}

func newRouter(opts Options) *router {
	index := cacheindex.NewWithin(opts.CacheMemory)
	r := &router{
		fleet: opts.Fleet, viewChanged: opts.Fleet.Subscribe(), cacheFeed: opts.CacheFeed, observations: opts.Observations, cacheIndex: index, placer: placement.New(opts.Placement, index),
		connections: make(map[core.UpstreamID]*connections), placeRequests: ring.New[placeRequest](placeRingSize), waiting: newWaitingCalls(), recordLoads: opts.RecordLoads,
		rollouts: canary.New(opts.Placement.Node, opts.CanaryShare), statusWriter: opts.StatusWriter, random: opts.Random,
		reports: ring.New[attemptReport](reportRingSize), loggedSpeeds: make(map[core.ServiceID]placement.ServiceSpeed),
		quarantine: quarantine.New(opts.Placement.Node, time.Now()), quarantineStore: opts.QuarantineStore, crashChecker: newCrashChecker(opts.Client.Refuses), options: ring.New[placement.Options](1), log: opts.Log,
	}
	if opts.Meter == nil {
		return r
	}
	if err := errors.Join(observeQuarantines(opts.Meter, &r.activeQuarantines), r.waiting.metrics.register(opts.Meter), r.links.register(opts.Meter)); err != nil {
		r.log.WithField("event", "metrics_missing").WithError(err).Warn("metrics of the router cannot be created")
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
		case <-r.observations.RemoteLinkDelays().Ready():
		case <-r.observations.RemoteEvidence().Ready():
		case <-r.observations.NewBoards().Ready():
		case <-r.observations.RemoteVerdicts().Ready():
		case <-r.crashChecker.results.Ready():
		case <-r.quarantineStore.Stored().Ready():
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
	if r.recordLoads != nil {
		r.recordLoads(r.placer.LoadReport(now, r.observations.LastExchange(), r.waiting.list.CallsByService()))
	}
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
		r.placer.RecordSuspension(time.Now())
		r.rollouts.RecordSuspension(time.Now())
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
	r.exchangeLinkDelays(now)
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
		Config: v.Config, Upstreams: v.Upstreams, Evacuated: v.Evacuated, Joins: r.fleet.Joins(),
		WeightHistory: v.Weights, FrontAddresses: make(map[core.NodeID]string, len(v.Members)),
	}
	for _, m := range v.Members {
		// Only fronts register as members.
		inputs.Fronts = append(inputs.Fronts, m.Node)
		inputs.FrontAddresses[m.Node] = m.Address
	}
	r.placer.SetInputs(now, inputs)
	r.quarantine.SetFronts(inputs.Fronts)
	r.repeatAfterRestore(v.MembersGeneration)
	r.rollouts.SetInputs(now, canary.Inputs{Rollouts: v.Rollouts, Upstreams: v.Upstreams, Fronts: inputs.Fronts, Joins: inputs.Joins})
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

// report sends a report to the router. It blocks while the ring is full.
func (r *router) report(report attemptReport) {
	if err := r.reports.Send(context.Background(), report); err != nil {
		r.log.WithField("event", "report_lost").WithError(err).Warn("report of an attempt was not delivered to the router")
	}
}
