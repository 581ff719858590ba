package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// spreadLimit is the time in which a change is in force everywhere, from
	// the target of the design.
	spreadLimit = 4 * time.Second
	// rolloutTime is how long after its sign-off a rollout must be done.
	rolloutTime  = time.Minute
	resultRing   = 4096
	progressTime = time.Second
)

// Options of one dev command.
type Options struct {
	For        time.Duration
	Seed       uint64
	Heavy      bool
	Deployment string
	Baseline   bool
	Faults     []string
	Log        *logrus.Logger
	// Progress receives one line a second; nil shows none.
	Progress io.Writer
}

func (o *Options) length() time.Duration { return o.For }

// drainPeriod is the time in which a failure domain is drained; a zero end
// means until the end of the run.
type drainPeriod struct {
	domain   core.FailureDomain
	from, to time.Time
}

// run is one workload on one cluster.
type run struct {
	options     Options
	cluster     *cluster
	began       time.Time
	drained     atomic.Pointer[drainPeriod]
	rolloutFrom atomic.Pointer[time.Time]
	faultErrors atomic.Int64
	sent        atomic.Int64
	done        atomic.Int64
}

// Run runs the deployment and returns its summary, with that of the baseline
// where one was asked for.
func Run(ctx context.Context, o Options) (*Summary, error) {
	if err := checkFaults(o.Faults); err != nil {
		return nil, err
	}
	d, err := loadDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	summary, err := runOnce(ctx, o, d, false)
	if err != nil || !o.Baseline {
		return summary, err
	}
	summary.Baseline, err = runOnce(ctx, o, d, true)
	return summary, err
}

func runOnce(ctx context.Context, o Options, d *Deployment, baseline bool) (*Summary, error) {
	c, err := newCluster(d, baseline, o.Seed, o.Log)
	if err != nil {
		return nil, err
	}
	defer c.close()
	if err := c.start(ctx); err != nil {
		return nil, err
	}
	// The workload begins when the engines are no longer fresh.
	duty.Pause(ctx, coldPeriod)
	r := &run{options: o, cluster: c, began: time.Now().Add(warmUp)}
	linkBefore := r.linkBytes()
	results := r.work(ctx, workload(d, o.For, o.Seed, o.Heavy))
	summary := r.sumUp(results)
	capacity := float64(d.Engines) * float64(d.Engine.LinkBytesPerSecond) * (time.Since(r.began) + warmUp).Seconds()
	summary.LinkUse = float64(r.linkBytes()-linkBefore) / capacity
	summary.FaultErrors = int(r.faultErrors.Load())
	summary.RolloutStage = r.rolloutStage(ctx)
	return &summary, nil
}

func (r *run) linkBytes() (n int64) {
	for _, e := range r.cluster.engines {
		n += e.link.Bytes()
	}
	return n
}

func (r *run) rolloutStage(ctx context.Context) string {
	if r.rolloutFrom.Load() == nil {
		return ""
	}
	status, err := r.cluster.admin.Rollout(ctx, r.cluster.d.Model)
	if err != nil {
		return "unknown"
	}
	return string(status.Phase)
}

// work sends the workload at its times and returns what the callers saw.
func (r *run) work(ctx context.Context, items []workItem) []result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var side, calls conc.WaitGroup
	results := ring.New[result](resultRing)
	all := make([]result, 0, len(items))
	var collecting conc.WaitGroup
	collecting.Go(func() {
		for {
			one, err := results.Receive(context.WithoutCancel(ctx))
			if err != nil {
				return
			}
			all = append(all, one)
		}
	})
	side.Go(func() { r.inject(ctx, r.options.Faults) })
	side.Go(func() { r.progress(ctx) })
	callers := r.newCallers()
	for _, item := range items {
		if !duty.Pause(ctx, time.Until(r.began.Add(item.at-warmUp))) {
			break
		}
		r.sent.Add(1)
		calls.Go(func() {
			_ = results.Send(context.WithoutCancel(ctx), callers.send(ctx, item))
			r.done.Add(1)
		})
	}
	calls.Wait()
	cancel()
	side.Wait()
	results.Close()
	collecting.Wait()
	callers.http.CloseIdleConnections()
	return all
}

func (r *run) newCallers() *callers {
	targets := make([]target, len(r.cluster.entries))
	for i, u := range r.cluster.entries {
		targets[i] = target{url: "http://" + u.addresses[2], unit: u}
	}
	keys := make(map[core.WorkspaceID]string)
	for _, w := range r.cluster.d.Workspaces {
		keys[w.ID] = keyOf(w.ID)
	}
	delay := 2 * r.cluster.d.Latency.ToClients
	return &callers{
		d: r.cluster.d, entries: targets, keys: keys,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         httplimit.ReportResets(httplimit.DialFunc(delayedDial(func(string) time.Duration { return delay }))),
			MaxIdleConnsPerHost: 256,
		}},
	}
}

func (r *run) progress(ctx context.Context) {
	if r.options.Progress == nil {
		return
	}
	for duty.Pause(ctx, progressTime) {
		phase := "measured"
		if time.Now().Before(r.began) {
			phase = "warm_up"
		}
		_, _ = fmt.Fprintf(r.options.Progress, "event=progress phase=%s elapsed=%s sent=%d done=%d\n",
			phase, time.Since(r.began.Add(-warmUp)).Round(time.Second), r.sent.Load(), r.done.Load())
	}
}

// sumUp combines what the callers saw with the stand-ins' ledgers.
func (r *run) sumUp(results []result) Summary {
	c := newCollector()
	for i := range results {
		c.add(&results[i])
	}
	s := c.finish()
	r.countEngines(&s)
	seen := r.countPrompts(&s)
	r.countRecords(&s, results, seen)
	r.reportDropped()
	return s
}

// reportDropped logs that prompts at the engines were not observed, so that the counters
// may be too low.
func (r *run) reportDropped() {
	if n := r.cluster.dropped.Load(); n > 0 {
		r.cluster.log.WithFields(logrus.Fields{"event": "observations_dropped", "count": n}).Warn("counters are incomplete; run fewer prompts")
	}
}

func (r *run) countEngines(s *Summary) {
	for _, e := range r.cluster.engines {
		ledger := e.engine.Ledger()
		s.CrossWorkspace += ledger.ForeignBlocks
		s.StaleBlocks += ledger.DamagedBlocks + ledger.BadImports
		s.OverloadedCold += ledger.ColdOverload
		s.StaleOrders += ledger.StaleOrders
	}
}

// countPrompts goes through the prompts that engines took and returns their
// numbers.
func (r *run) countPrompts(s *Summary) map[int]bool {
	numbers := make(map[int]bool)
	next := engine.ModelName(r.cluster.d.Model, versionNext, "")
	total, bad := 0, 0
	var lastNext time.Time
	for o, ok := r.cluster.seen.TryReceive(); ok; o, ok = r.cluster.seen.TryReceive() {
		numbers[o.number] = true
		if r.afterDrain(o) {
			s.AfterDrain++
		}
		if from := r.rolloutFrom.Load(); from == nil || o.at.Before(*from) {
			continue
		}
		total++
		if o.model == next {
			bad++
			lastNext = o.at
		}
	}
	if total > 0 {
		s.BadVersionShare = float64(bad) / float64(total)
	}
	if from := r.rolloutFrom.Load(); from != nil && !lastNext.IsZero() {
		s.BadVersionSeconds = lastNext.Sub(*from).Seconds()
	}
	return numbers
}

// afterDrain reports a prompt that began in a drained failure domain after the
// time in which the drain must be in force everywhere.
func (r *run) afterDrain(o observation) bool {
	d := r.drained.Load()
	if d == nil || o.domain != d.domain || o.at.Before(d.from.Add(spreadLimit)) {
		return false
	}
	return d.to.IsZero() || o.at.Before(d.to)
}

// countRecords compares what callers were told with the record servers'
// ledgers.
func (r *run) countRecords(s *Summary, results []result, seen map[int]bool) {
	type key struct{ workspace, key string }
	executed := make(map[key]int)
	byKey := make(map[string]int)
	for _, records := range r.cluster.records {
		for _, e := range records.Ledger() {
			executed[key{e.Workspace, e.Key}]++
			byKey[e.Key]++
		}
	}
	for _, n := range byKey {
		if n > 1 {
			s.RecordsDoubled++
		}
	}
	for i := range results {
		item := &results[i].item
		ran := seen[item.number]
		if item.kind == kindRecord {
			ran = byKey[recordKey(item.number)] > 0
			own := executed[key{string(item.workspace), recordKey(item.number)}] > 0
			if ran && !own {
				s.CrossWorkspace++
			}
			if results[i].whole && !own {
				s.RecordsLost++
			}
		}
		if results[i].notRun && !results[i].whole && ran && item.kind != kindLookup {
			s.FalseNotRun++
		}
	}
}
