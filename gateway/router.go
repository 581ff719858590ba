package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/observations"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// askRing bounds the calls that wait for the router; further ones are
	// refused.
	askRing = 1024
	// reportRing bounds the reports that wait for the router; senders wait.
	reportRing = 1024
	// idlePerUpstream is the number of kept connections to one upstream.
	idlePerUpstream = 24
	// sweepInterval is the time between two looks at orders to save.
	sweepInterval = time.Second
)

// ask is a handler's question where a call goes.
type ask struct {
	need  placement.Request
	reply *ring.Ring[placed]
}

// placed is the router's answer.
type placed struct {
	choice  placement.Choice
	refusal placement.Refusal
	idle    upstreamhttp.IdlePool
}

// link holds the kept connections of one incarnation of an upstream.
type link struct {
	address string
	born    int64
	idle    upstreamhttp.IdlePool
}

// router is the duty that owns the knowledge of upstreams and kept parts.
type router struct {
	fleet   *fleet.Fleet
	changed *ring.Ring[struct{}]
	kept    *cacheevents.Feed
	sharing *observations.Exchanger
	index   *cacheindex.Index
	table   *placement.Table
	moves   *canary.Controller
	teller  *canary.StatusWriter
	random  func() float64
	links   map[core.UpstreamID]*link
	asks    *ring.Ring[ask]
	reports *ring.Ring[placement.Report]
	options *ring.Ring[placement.Options]
	log     logrus.FieldLogger
	watch   clock.SuspensionDetector
}

func newRouter(opts Options) *router {
	index := cacheindex.New()
	return &router{
		fleet: opts.Fleet, changed: opts.Fleet.Subscribe(), kept: opts.CacheFeed, sharing: opts.Observations, index: index, table: placement.New(opts.Placement, index),
		links: make(map[core.UpstreamID]*link), asks: ring.New[ask](askRing),
		moves: canary.New(opts.Placement.Node, opts.CanaryShare), teller: opts.StatusReporter, random: opts.Random,
		reports: ring.New[placement.Report](reportRing), options: ring.New[placement.Options](1), log: opts.Log,
	}
}

// run is the duty's loop.
func (r *router) run(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	r.takeView(time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			r.sweep(time.Now())
		case <-r.changed.Ready():
		case <-r.options.Ready():
		case <-r.kept.Updates().Ready():
		case <-r.sharing.RemoteObservations().Ready():
		case <-r.reports.Ready():
		case <-r.asks.Ready():
		}
		r.drain()
	}
}

// sweep forgets saves that did not show up, and has parts freed whose weights
// no upstream has any more.
func (r *router) sweep(now time.Time) {
	r.index.Sweep(now)
	r.table.UpdateOldestWeights(now)
	r.table.SetMembershipExpired(r.fleet.RegistrationExpired())
	r.tell(now)
	for _, store := range r.table.CacheStores() {
		obsolete := func(salt string) bool { return r.table.Obsolete(now, salt) }
		epoch, keys := r.index.ObsoleteParts(now, store.Address, obsolete)
		r.kept.QueueFree(store.Address, epoch, keys)
	}
}

// drain handles all that waits. Changes and reports come before questions, so
// that these are answered with the newest knowledge.
func (r *router) drain() {
	if gap := r.watch.Suspended(clock.SinceBoot(), clock.Monotonic()); gap > 0 {
		r.log.WithFields(logrus.Fields{"event": "suspended", "for_ms": gap.Milliseconds()}).Warn("VM was suspended; what caches hold is asked again")
		r.index.MarkAllUnavailable()
		r.table.MarkCachesStale()
	}
	now := time.Now()
	if opts, ok := r.options.TryReceive(); ok {
		r.table.SetOptions(opts)
	}
	if _, ok := r.changed.TryReceive(); ok {
		r.takeView(now)
	}
	for u, ok := r.kept.Updates().TryReceive(); ok; u, ok = r.kept.Updates().TryReceive() {
		r.takeKept(u)
	}
	for seen, ok := r.sharing.RemoteObservations().TryReceive(); ok; seen, ok = r.sharing.RemoteObservations().TryReceive() {
		for _, o := range seen {
			r.table.ApplyObservation(now, o)
		}
	}
	for report, ok := r.reports.TryReceive(); ok; report, ok = r.reports.TryReceive() {
		r.judge(now, report)
		r.table.RecordReport(now, report)
		r.share(now, report)
	}
	for a, ok := r.asks.TryReceive(); ok; a, ok = r.asks.TryReceive() {
		choice, refusal := r.choose(now, a.need)
		answer := placed{choice: choice, refusal: refusal}
		if refusal == placement.Placed {
			answer.idle = r.links[choice.Upstream.ID].idle
		}
		if !a.reply.Offer(answer) && refusal == placement.Placed {
			// The call ended before it was placed.
			r.table.RecordReport(now, placement.Report{
				AttemptID: choice.AttemptID, Upstream: choice.Upstream.ID, Final: true, Result: placement.Abandoned,
			})
		}
	}
}

// choose places a call within the limits of a rollout.
func (r *router) choose(now time.Time, need placement.Request) (placement.Choice, placement.Refusal) {
	need.RolloutLimit = r.moves.FilterFor(now, need.Service, r.random())
	choice, refusal := r.table.Choose(now, need)
	if refusal == placement.NoUpstream || refusal == placement.Limited {
		if other, ok := r.moves.Fallback(need.Service, need.RolloutLimit); ok {
			need.RolloutLimit = other
			return r.table.Choose(now, need)
		}
	}
	return choice, refusal
}

// judge has a rollout learn of an ended attempt.
func (r *router) judge(now time.Time, report placement.Report) {
	sample, ok := r.table.Sample(report)
	if !ok {
		return
	}
	if found, bad := r.moves.Observe(now, sample); bad {
		r.log.WithFields(logrus.Fields{
			"event": "version_withdrawn", "service": found.Service, "software": found.To, "signal": found.Finding.Signal,
			"route": found.Finding.Route, "samples": found.Finding.Samples, "evidence": found.Finding.Evidence,
			"threshold": found.Finding.Threshold,
		}).Warn("new version is worse and gets no more calls")
		r.tell(now)
	}
}

// tell has the operator told how rollouts stand.
func (r *router) tell(now time.Time) {
	for _, due := range r.moves.PendingUpdates(now) {
		r.teller.Enqueue(due)
	}
}

// share tells other processes what a report says of an upstream.
func (r *router) share(now time.Time, report placement.Report) {
	unreachable := report.Final && report.Result == placement.Unreachable
	if !unreachable && (report.Final || !report.HasLoad) {
		return
	}
	r.sharing.Record(observations.Observation{
		Upstream: report.Upstream, Load: report.Load, HasLoad: report.HasLoad && !unreachable, Unreachable: unreachable, ObservedAt: now,
	})
}

func (r *router) takeView(now time.Time) {
	v := r.fleet.View()
	world := placement.Inputs{
		Config: v.Config, Upstreams: v.Upstreams, Evacuated: v.Evacuated,
		WeightHistory: v.Weights, Members: make(map[core.NodeID]string, len(v.Members)),
	}
	for _, m := range v.Members {
		world.Fronts = append(world.Fronts, m.Node)
		world.Members[m.Node] = m.Address
	}
	r.table.SetInputs(now, world)
	r.moves.SetInputs(now, canary.Inputs{Rollouts: v.Rollouts, Upstreams: v.Upstreams, Fronts: world.Fronts})
	r.kept.SetSources(r.table.Sources())
	links := make(map[core.UpstreamID]*link, len(v.Upstreams))
	for _, u := range v.Upstreams {
		l := r.links[u.ID]
		if l == nil || l.address != u.Address || l.born != u.StartedAtMs {
			l = &link{address: u.Address, born: u.StartedAtMs, idle: upstreamhttp.NewIdlePool(idlePerUpstream)}
		}
		links[u.ID] = l
	}
	r.links = links
}

func (r *router) takeKept(u cacheevents.Update) {
	if r.table.ApplyCacheChange(u.Address, placement.CacheChange{
		ReceivedAt: u.ReceivedAt, Unavailable: u.Unavailable, Restarted: u.Restarted, Added: u.Parts, Removed: u.RemovedKeys,
	}) {
		return
	}
	switch {
	case u.Unavailable:
		r.index.MarkUnavailable(u.Address)
	case u.IsSnapshot:
		r.index.Replace(u.ReceivedAt, u.Address, u.Epoch, u.Parts)
	case !r.index.Apply(u.ReceivedAt, u.Address, u.Epoch, u.Parts, u.RemovedKeys):
		r.index.MarkUnavailable(u.Address)
		r.log.WithFields(logrus.Fields{"event": "kept_store_epoch", "store": u.Address, "epoch": u.Epoch}).Warn("kept-cache store has restarted")
	}
}

// ask places a call. A full ring is a refusal: the process is overloaded.
func (r *router) ask(ctx context.Context, need placement.Request) (placed, error) {
	p, err := ring.TryAsk(ctx, r.asks, func(reply *ring.Ring[placed]) ask { return ask{need: need, reply: reply} })
	if errors.Is(err, ring.ErrFull) {
		return placed{refusal: placement.Limited}, nil
	}
	return p, errs.Wrap(err, errs.Unavailable, "retry", "call ended before it was placed")
}

// report hands a report to the router and waits for room.
func (r *router) report(report placement.Report) {
	if err := r.reports.Send(context.Background(), report); err != nil {
		r.log.WithField("event", "report_lost").WithError(err).Warn("a report on an attempt was lost")
	}
}
