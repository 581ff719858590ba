package weights

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/lease/keeper"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// leaseName is the name in the keys of the lease's rows.
	leaseName = "weights"

	// checkInterval is the interval between two checks of the jobs while there are
	// any. It is also the minimum delay before the next attempt to acquire the lease.
	checkInterval = 120 * time.Millisecond
	// staggerDelay is the delay between the times at which two processes with
	// consecutive ranks first check the lease.
	staggerDelay = time.Second
	// minLoadTime is the minimum duration of a load. pollInterval is the interval
	// between two polls of the server's state after that.
	minLoadTime  = 550 * time.Millisecond
	pollInterval = 80 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	// orderRetryDelay is the time after which an accepted order that has had no
	// effect is sent again.
	orderRetryDelay = 1500 * time.Millisecond
	// jobTimeout is the maximum duration of a job. jobRetryDelay is the delay before
	// the next job for a server whose job failed.
	jobTimeout    = 8 * time.Second
	jobRetryDelay = 600 * time.Millisecond
	// maxFailedPolls is the number of consecutive failed polls after which a job
	// fails.
	maxFailedPolls = 2
	resultRingSize = 64
)

// Options configure a Loader.
type Options struct {
	Self        core.NodeID
	Incarnation core.Incarnation
	Store       fleet.Store
	Fleet       *fleet.Fleet
	Engines     EngineClient
	// HandoverInterval is the minimum time between the last order of one lease
	// holder and the first order of the next one.
	HandoverInterval time.Duration
	// LoadShare is the share of the servers that may load at the same time.
	LoadShare float64
	Mode      Mode
	// OnLoaded is called when a server has loaded newer weights.
	OnLoaded func(core.UpstreamID, core.ModelID, catalog.WeightNumber)
	Log      logrus.FieldLogger
}

// Loader is the duty that sends load orders to the model servers.
type Loader struct {
	opts    Options
	changed *ring.Ring[struct{}]
	results *ring.Ring[jobResult]
	leases  *keeper.Reader
	lease   *keeper.Contender
	tracker *jobTracker
	// heldLease allows the jobs to send orders. It is nil while the lease is not held.
	heldLease atomic.Pointer[heldLease]
	// outdatedSince is the time at which servers with outdated weights were first
	// observed. It is zero while there are none.
	outdatedSince time.Time
	// nextLeaseAttempt is the earliest time of the next attempt to acquire or renew
	// the lease.
	nextLeaseAttempt time.Time
}

// heldLease holds the fencing token for orders and the time of the boot clock at
// which the process must stop sending them.
type heldLease struct {
	fence  core.Fence
	stopAt time.Duration
}

// jobResult is sent to the loader when a job has finished.
type jobResult struct {
	job       Job
	succeeded bool
}

// NewLoader returns a loader. It must be called before the fleet starts.
func NewLoader(opts Options) *Loader {
	// The holder stops a third of the lease's duration before its lease expires: half
	// a second with a HandoverInterval of 3 s. The next holder starts one full
	// HandoverInterval after the expiry.
	cfg := lease.StoreLeaseConfig{
		Duration: opts.HandoverInterval / 2, Margin: opts.HandoverInterval / 6, Gap: opts.HandoverInterval, RenewInterval: opts.HandoverInterval / 6,
	}
	return &Loader{
		opts: opts, changed: opts.Fleet.Subscribe(), results: ring.New[jobResult](resultRingSize),
		leases: keeper.NewReader(opts.Store, opts.Log),
		lease:  keeper.NewContender(leaseName, lease.NewStoreLease(cfg, opts.Self, opts.Incarnation), opts.Store, opts.Log), tracker: newJobTracker(),
	}
}

// Run is the duty's loop.
func (l *Loader) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, l.opts.Log)
	for ctx.Err() == nil {
		jobs := l.checkJobs()
		var timer <-chan time.Time
		if len(jobs) > 0 {
			l.step(ctx, group, jobs)
			t := time.NewTimer(checkInterval)
			timer = t.C
		}
		select {
		case <-ctx.Done():
		case <-timer:
		case <-l.changed.Ready():
			l.changed.TryReceive()
		case <-l.results.Ready():
		}
		for result, ok := l.results.TryReceive(); ok; result, ok = l.results.TryReceive() {
			l.tracker.finish(time.Now(), result.job, result.succeeded, jobRetryDelay)
			if result.succeeded {
				l.opts.OnLoaded(result.job.Upstream.ID, result.job.Model, result.job.TargetVersion)
			}
		}
	}
	group.Stop()
	return group.Wait()
}

// checkJobs returns the jobs for all outdated weights. It also records since when
// there are any, and schedules the first attempt to acquire the lease.
func (l *Loader) checkJobs() []Job {
	v := l.opts.Fleet.View()
	l.lease.ObserveGeneration(v.Generation)
	requested := make(map[core.ModelID]catalog.WeightNumber, len(v.Weights))
	for model, w := range v.Weights {
		requested[model] = w.Newest().Version
	}
	jobs := l.tracker.pendingJobs(v.Upstreams, requested)
	switch {
	case len(jobs) == 0:
		l.outdatedSince = time.Time{}
	case l.outdatedSince.IsZero():
		l.outdatedSince = time.Now()
		l.nextLeaseAttempt = l.outdatedSince.Add(time.Duration(l.contenderRank(v)) * staggerDelay)
	}
	return jobs
}

// contenderRank returns the rank of this process, by node name, among the
// processes that may acquire the lease.
func (l *Loader) contenderRank(v *fleet.View) int {
	rank := 0
	for _, m := range v.Members {
		if m.Node < l.opts.Self {
			rank++
		}
	}
	return rank
}

func (l *Loader) step(ctx context.Context, group *duty.Group, jobs []Job) {
	if l.lease.Due(clock.SinceBoot()) && !time.Now().Before(l.nextLeaseAttempt) {
		l.renew(ctx)
	}
	fence, stopAt, held := l.lease.Held(clock.SinceBoot())
	if !held {
		l.heldLease.Store(nil)
		return
	}
	l.heldLease.Store(&heldLease{fence: fence, stopAt: stopAt})
	loadable := 0
	for _, u := range l.opts.Fleet.View().Upstreams {
		if len(u.Weights) > 0 {
			loadable++
		}
	}
	for _, job := range l.tracker.nextJobs(time.Now(), jobs, maxConcurrentLoads(loadable, l.opts.LoadShare)) {
		group.Go("load "+string(job.Upstream.ID), func(ctx context.Context) error {
			succeeded := l.load(ctx, job)
			_ = l.results.Send(ctx, jobResult{job: job, succeeded: succeeded}) // fails only when the loader stops
			return nil
		})
	}
}
