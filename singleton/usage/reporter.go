package usage

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/singleton"
)

const (
	// Table contains the rows with the fixed counts of windows.
	Table = fleet.Table("usage")
	// stepInterval is the pause between two steps of the holder while a window is due.
	// A failed call is repeated at this interval, later at longer ones.
	stepInterval = 250 * time.Millisecond
	// maxRetryDelay is the maximum delay before the repetition of a failed call.
	maxRetryDelay = 2 * time.Second
	// gatherRetryDelay is the delay before counts that were incomplete are gathered again.
	gatherRetryDelay = 700 * time.Millisecond
	// maxRowBytes is the maximum size of a row of the platform's store.
	maxRowBytes = 64 << 10
	// maxRemovedRows is the number of old rows that one write removes.
	maxRemovedRows = 15
)

// Leases are the leases of duties, with transactions that take effect only while this
// process is the holder.
type Leases interface {
	singleton.Leases
	// Commit writes rows in one transaction with the renewal of a lease.
	Commit(ctx context.Context, a singleton.Authority, generation core.Generation, tx fleet.Transaction) error
	// GenerationSince returns the newest generation of the store's content that this process
	// has observed, and the time of clock.SinceBoot of the first observation.
	GenerationSince() (core.Generation, time.Duration)
}

// Platform receives the reports.
type Platform interface {
	// ReportUsage sends a report if the authority is still valid. Errors of the kinds
	// errs.Unknown, errs.Unavailable, errs.Exhausted and errs.Stale are repeated; others
	// mean that the platform rejects the report.
	ReportUsage(ctx context.Context, a singleton.Authority, report WindowReport) error
}

// Gatherer gathers the counts of a window from all processes.
type Gatherer interface {
	// Gather returns the counts and the processes whose counts are missing.
	Gather(ctx context.Context, w Window) (Counts, []core.NodeID)
}

// ReporterOptions configure a Reporter.
type ReporterOptions struct {
	Periods  Periods
	Leases   Leases
	Store    fleet.Store
	Platform Platform
	Gatherer Gatherer
	Clock    *Clock
	Log      logrus.FieldLogger
	Meter    metric.Meter
}

// Reporter is the duty that reports the usage of windows while this process is the holder.
type Reporter struct {
	opts    ReporterOptions
	changed *ring.Ring[struct{}]
	metrics *reporterMetrics

	// The duty owns the fields below.
	plan *plan
	// loadedFence is the fence with which the rows were read. It is zero while they are not.
	loadedFence core.Fence
	// loadedSince is the time at which this process became the holder, as of the last read.
	loadedSince time.Duration
	generation  core.Generation
	// stored contains the rows that exist.
	stored map[string]Window
	// retryAt is the time of clock.SinceBoot before which no call is made after a failure.
	retryAt  time.Duration
	failures int
	// lastError is the last failure, the cause of a late report.
	lastError error
}

// NewReporter returns a reporter whose duty has not started.
func NewReporter(opts ReporterOptions) (*Reporter, error) {
	m, err := newReporterMetrics(opts.Meter)
	return &Reporter{opts: opts, changed: opts.Leases.Subscribe(), metrics: m, plan: newPlan(opts.Periods)}, err
}

// Run is the duty's loop. It waits without a timer while this process is not the holder.
func (r *Reporter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var timer <-chan time.Time
		if a, ok := r.opts.Leases.Authority(singleton.UsageSubject); ok {
			r.step(ctx, a)
			timer = time.After(r.untilNextStep())
		} else {
			r.loadedFence = 0
		}
		select {
		case <-ctx.Done():
		case <-timer:
		case <-r.changed.Ready():
			r.changed.TryReceive()
		}
	}
	return nil
}

func (r *Reporter) now() time.Duration { return r.opts.Clock.At(clock.SinceBoot()) }

// untilNextStep returns the time until a window is due.
func (r *Reporter) untilNextStep() time.Duration {
	p, now := r.opts.Periods, r.now()
	if r.loadedFence == 0 || len(r.plan.due(now)) > 0 {
		return max(stepInterval, r.retryAt-clock.SinceBoot())
	}
	next := p.end(p.windowAt(now-p.settle())) + p.settle()
	return max(next-now, stepInterval)
}

// step does what is due.
func (r *Reporter) step(ctx context.Context, a singleton.Authority) {
	if clock.SinceBoot() < r.retryAt {
		return
	}
	if r.loadedFence != a.Fence && !r.load(ctx, a) {
		return
	}
	if n := r.plan.skipExpired(r.now()); n > 0 {
		r.logMissing(logrus.Fields{"windows": n, "through": r.plan.reportedThrough, "cause": causeTooLate})
		r.metrics.missed(n)
	}
	for _, due := range r.plan.due(r.now()) {
		if due.task == skip {
			r.skip(due.window, due.cause)
		}
		if due.task == fix && !r.fix(ctx, a, due.window) {
			continue
		}
		if due.task != skip && !r.send(ctx, due.window) {
			return
		}
	}
}

// load reads the rows after this process has become the holder.
func (r *Reporter) load(ctx context.Context, a singleton.Authority) bool {
	page, err := r.opts.Store.Rows(ctx, Table)
	if err != nil {
		r.fail("usage_unread", err)
		return false
	}
	generation, observedAt := r.opts.Leases.GenerationSince()
	if page.Generation != generation {
		r.fail("usage_unread", errs.New(errs.Stale, "read the rows again", "rows are of generation %d of the store, the newest observed one is %d", page.Generation, generation))
		return false
	}
	r.stored = make(map[string]Window, len(page.Rows))
	var rows []fixedRow
	for _, stored := range page.Rows {
		row, err := decodeFixedRow(stored.Value)
		if err != nil {
			r.opts.Log.WithFields(logrus.Fields{"event": "usage_row_invalid", "key": stored.Key}).WithError(err).Error("row of a window cannot be read")
			continue
		}
		r.stored[stored.Key] = row.Window
		if !strings.HasPrefix(stored.Key, keyPrefix(generation)) {
			row.Counts = nil
		}
		rows = append(rows, row)
	}
	r.plan.load(rows, r.opts.Clock.At(observedAt), a.Since == r.loadedSince)
	r.loadedFence, r.loadedSince, r.generation = a.Fence, a.Since, generation
	r.succeed()
	r.opts.Log.WithFields(logrus.Fields{
		"event": "usage_loaded", "fence": a.Fence, "rows": len(rows), "reported_through": r.plan.reportedThrough, "fixable_from": r.plan.fixableFrom,
	}).Info("this process now reports usage")
	return true
}

// rowKey returns the key of the row of a window. It contains the generation, so that a write
// that takes effect after a restore does not change a row of the new generation.
func rowKey(generation core.Generation, w Window) string {
	return keyPrefix(generation) + strconv.FormatInt(int64(w), 10)
}

func keyPrefix(generation core.Generation) string {
	return strconv.FormatUint(uint64(generation), 10) + "/"
}

// fix gathers the counts of a window and writes them to the store. It returns false if they
// are not fixed yet.
func (r *Reporter) fix(ctx context.Context, a singleton.Authority, w Window) bool {
	gathered, missing := r.opts.Gatherer.Gather(ctx, w)
	if !r.plan.mayFix(r.now(), w, len(missing) == 0) {
		r.retryAt = clock.SinceBoot() + gatherRetryDelay
		return false
	}
	row := fixedRow{WindowReport: WindowReport{Window: w, Counts: r.plan.propose(w, gathered)}, reportedThrough: r.plan.reportedThrough}
	value, err := row.encode()
	if err == nil && len(value) > maxRowBytes {
		err = errs.New(errs.Exhausted, "use longer names or fewer workspaces", "the counts of window %d need %d bytes", w, len(value))
	}
	if err != nil {
		r.fail("usage_not_fixed", err)
		return false
	}
	key, old := rowKey(r.generation, w), r.oldKeys()
	tx := fleet.Transaction{Puts: []fleet.Row{{Table: Table, Key: key, Value: value}}}
	for _, k := range old {
		tx.Removes = append(tx.Removes, fleet.Row{Table: Table, Key: k})
	}
	if err := r.opts.Leases.Commit(ctx, a, r.generation, tx); err != nil {
		r.fail("usage_not_fixed", err)
		return false
	}
	r.plan.recordFixed(w)
	r.stored[key] = w
	for _, k := range old {
		delete(r.stored, k)
	}
	if len(missing) > 0 {
		r.opts.Log.WithFields(logrus.Fields{"event": "usage_incomplete", "window": w, "missing": missing}).Warn("usage of a window was fixed without the counts of some processes")
	}
	return true
}

// oldKeys returns the keys of rows that are no longer needed.
func (r *Reporter) oldKeys() (old []string) {
	for key, w := range r.stored {
		if w < r.plan.reportedThrough && len(old) < maxRemovedRows {
			old = append(old, key)
		}
	}
	return old
}

// send reports the fixed counts of a window. It returns false if the call must be repeated.
func (r *Reporter) send(ctx context.Context, w Window) bool {
	a, ok := r.opts.Leases.Authority(singleton.UsageSubject)
	if !ok || a.Fence != r.loadedFence {
		return false
	}
	report := WindowReport{Window: w, Counts: r.plan.fixed[w]}
	err := r.opts.Platform.ReportUsage(ctx, a, report)
	if errs.Is(err, errs.Unknown) || errs.Is(err, errs.Unavailable) || errs.Is(err, errs.Exhausted) || errs.Is(err, errs.Stale) {
		r.fail("usage_not_sent", err)
		return false
	}
	if err != nil {
		r.lastError = err
		r.skip(w, causeRejected)
		return true
	}
	r.plan.recordDone(w)
	late := r.now() > r.opts.Periods.end(w)+r.opts.Periods.Due
	calls := total(report.Counts)
	r.metrics.sent(ctx, SentReport{Window: w, Calls: calls, At: time.Now(), Late: late})
	log := r.opts.Log.WithFields(logrus.Fields{"event": "usage_sent", "window": w, "fence": a.Fence, "workspaces": len(report.Counts), "calls": calls, "after_ms": (r.now() - r.opts.Periods.end(w)).Milliseconds()})
	if late {
		log.WithField("event", "usage_late").WithError(r.lastError).Warn("usage of a window was reported late; the error is the last failure")
	} else {
		log.Info("usage of a window reported")
	}
	r.succeed()
	return true
}

func total(counts Counts) (sum uint64) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// skip gives up the report of a window.
func (r *Reporter) skip(w Window, cause string) {
	r.logMissing(logrus.Fields{"window": w, "cause": cause})
	r.metrics.missed(1)
	r.plan.recordDone(w)
}

func (r *Reporter) logMissing(fields logrus.Fields) {
	r.opts.Log.WithFields(fields).WithField("event", "usage_missing").WithError(r.lastError).Error("usage is not reported; the error is the last failure")
}

// fail records the failure of a call and delays the next one.
func (r *Reporter) fail(event string, err error) {
	r.lastError = err
	delay := min(stepInterval<<min(r.failures, 3), maxRetryDelay)
	r.failures++
	r.retryAt = clock.SinceBoot() + delay
	r.opts.Log.WithFields(logrus.Fields{"event": event, "retry_ms": delay.Milliseconds()}).WithError(err).Warn("a call for the report of usage failed; retrying")
}

func (r *Reporter) succeed() { r.failures, r.retryAt, r.lastError = 0, 0, nil }
