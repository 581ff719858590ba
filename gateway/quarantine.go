package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/quarantine"
	quarantinestore "waxwingtide.example/waxwingtide/quarantine/store"
)

const (
	// quarantineLogInterval is the interval at which quarantines in force are logged
	// again, and maxLoggedQuarantines bounds them each time.
	quarantineLogInterval = 30 * time.Second
	maxLoggedQuarantines  = 16
)

// attemptReport is a report of an attempt, with what the quarantine needs of a final
// one.
type attemptReport struct {
	placement.Report
	Prompt core.Prompt
	// AnswerAge is the time from the first byte of the answer to its last one, or 0 if
	// there was none.
	AnswerAge time.Duration
	// Unframed is set when the answer ended with its connection, as it also does when
	// the upstream crashes.
	Unframed bool
}

// recordEnd passes the end of an attempt to the quarantine.
func (r *router) recordEnd(now time.Time, report attemptReport) {
	if !report.Final || len(report.Prompt.Parts) == 0 {
		return
	}
	incarnation := quarantine.Incarnation{Upstream: report.Upstream, StartedAtMs: report.StartedAtMs}
	replaced := r.isReplaced(incarnation)
	mayHaveCrashed := r.quarantine.RecordEnd(now, quarantine.AttemptEnd{
		Incarnation: incarnation, Prompt: report.Prompt, AnswerAge: report.AnswerAge,
		// The attempts of a silent upstream may end with their callers' patience.
		Broken:    report.Result == placement.Incomplete || report.Result == placement.Abandoned && replaced,
		Completed: report.Result == placement.Completed, Unframed: report.Unframed,
	})
	switch {
	case !mayHaveCrashed:
	case replaced:
		r.confirmCrash(now, incarnation)
	case !r.crashChecker.checks.Offer(crashCheck{incarnation: incarnation, address: report.Address}):
		r.quarantine.DismissCrash(now, incarnation)
	}
}

// isReplaced reports whether the view lists a later incarnation of an upstream.
func (r *router) isReplaced(incarnation quarantine.Incarnation) bool {
	listed := r.connections[incarnation.Upstream]
	return listed != nil && listed.startedAtMs > incarnation.StartedAtMs
}

// confirmCrash records the crash of an upstream whose attempts broke. Its unframed answers
// are then not complete.
func (r *router) confirmCrash(now time.Time, incarnation quarantine.Incarnation) {
	r.quarantine.ConfirmCrash(now, incarnation)
	r.logCrash(incarnation).Warn("upstream refuses connections or has started again after its attempts broke")
}

// confirmRestart records the crashes that the listed incarnation of an upstream proves.
func (r *router) confirmRestart(now time.Time, upstream core.UpstreamID) {
	current := quarantine.Incarnation{Upstream: upstream, StartedAtMs: r.connections[upstream].startedAtMs}
	for _, crashed := range r.quarantine.ConfirmRestart(now, current) {
		r.logCrash(crashed).WithField("started", current.StartedAtMs).Warn("upstream has started again after its attempts broke")
	}
}

func (r *router) logCrash(incarnation quarantine.Incarnation) *logrus.Entry {
	return r.log.WithFields(logrus.Fields{"event": "upstream_crashed", "upstream": incarnation.Upstream, "born": incarnation.StartedAtMs})
}

// updateQuarantine applies the results of crash checks and the evidence of other
// processes, quarantines parts and sends the local evidence.
func (r *router) updateQuarantine(now time.Time) {
	for result, ok := r.crashChecker.results.TryReceive(); ok; result, ok = r.crashChecker.results.TryReceive() {
		if result.crashed || r.isReplaced(result.incarnation) {
			r.confirmCrash(now, result.incarnation)
		} else {
			r.quarantine.DismissCrash(now, result.incarnation)
		}
	}
	for stored, ok := r.quarantineStore.Stored().TryReceive(); ok; stored, ok = r.quarantineStore.Stored().TryReceive() {
		r.quarantine.Merge(now, quarantine.Evidence{States: stored})
	}
	for evidence, ok := r.observations.RemoteEvidence().TryReceive(); ok; evidence, ok = r.observations.RemoteEvidence().TryReceive() {
		r.quarantine.Merge(now, evidence)
	}
	if _, ok := r.observations.NewBoards().TryReceive(); ok {
		r.quarantine.RepeatQuarantines()
		r.repeatDepartures(time.Time{})
	}
	for _, state := range r.quarantine.Evaluate(now) {
		r.logQuarantine(state.Part, state.Until.Sub(now)).WithField("version", state.Version).
			Warn("part of prompts is in quarantine because upstreams crash on it")
	}
	if outgoing := r.quarantine.TakeOutgoing(); !outgoing.Empty() {
		r.observations.RecordEvidence(outgoing)
	}
	r.storeQuarantines()
}

// storeQuarantines passes the changed states that this process has to write to the duty
// that writes them.
func (r *router) storeQuarantines() {
	for _, change := range r.quarantine.TakeChanges() {
		if !r.quarantineStore.Offer(quarantinestore.Change{Change: change, Generation: r.storeGeneration}) {
			r.logQuarantine(change.Part, 0).WithField("version", change.Version).Warn("too many changes of quarantines; one is not written to the metadata store")
		}
	}
}

// repeatAfterRestore makes the quarantines be written again when the content of the store
// was restored from a copy, which may lack them.
func (r *router) repeatAfterRestore(generation core.Generation) {
	if generation > r.storeGeneration {
		r.storeGeneration = generation
		r.quarantine.RepeatChanges()
	}
}

// checkQuarantine reports whether a call must not be sent because of a part of its
// prompt, and the time until the next trial of that part. A call that is a trial and waits
// for memory remains a trial.
func (r *router) checkQuarantine(now time.Time, pending *placeRequest) (time.Duration, bool) {
	if pending.trial {
		return 0, false
	}
	decision := r.quarantine.Check(now, pending.req.Prompt, pending.req.Retry)
	if decision.Trial {
		pending.trial = true
		r.logQuarantine(decision.Part, 0).Info("call is sent as a trial of a part in quarantine")
	}
	return decision.RetryAfter, decision.Refused
}

func (r *router) logQuarantine(part quarantine.Part, remaining time.Duration) *logrus.Entry {
	return r.log.WithFields(logrus.Fields{"event": "quarantine", "part": part.ID, "model": part.Model, "remaining_ms": remaining.Milliseconds()})
}

// reportQuarantines logs the quarantines that have ended and, at intervals, those in
// force. It also provides the latter to the metrics.
func (r *router) reportQuarantines(now time.Time) {
	active := r.quarantine.Active()
	r.activeQuarantines.Store(&active)
	for _, ended := range r.quarantine.TakeEnded() {
		r.logActive(now, ended).Info("quarantine of a part of prompts has ended")
	}
	if now.Sub(r.quarantinesLoggedAt) < quarantineLogInterval {
		return
	}
	r.quarantinesLoggedAt = now
	for _, a := range active[:min(len(active), maxLoggedQuarantines)] {
		r.logActive(now, a).Warn("part of prompts is still in quarantine")
	}
}

func (r *router) logActive(now time.Time, a quarantine.Active) *logrus.Entry {
	return r.logQuarantine(a.Part, max(a.Until.Sub(now), 0)).WithFields(logrus.Fields{
		"version": a.Version, "since": a.Since.UTC().Format(time.RFC3339), "refused": a.Refused,
	})
}

// observeQuarantines creates the metrics of the quarantines in force, whose number
// maxLoggedQuarantines bounds. The list is replaced as a whole.
func observeQuarantines(meter metric.Meter, active *atomic.Pointer[[]quarantine.Active]) error {
	refused, err := meter.Int64ObservableGauge("gateway_quarantine_refused", metric.WithDescription("Calls that this process has refused because of a part in quarantine"))
	if err != nil {
		return err
	}
	since, err := meter.Int64ObservableGauge("gateway_quarantine_since_seconds", metric.WithUnit("s"), metric.WithDescription("Unix time since which a part is in quarantine"))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		list := active.Load()
		if list == nil {
			return nil
		}
		for _, a := range (*list)[:min(len(*list), maxLoggedQuarantines)] {
			labels := metric.WithAttributes(attribute.String("part", string(a.ID)), attribute.String("model", string(a.Model)))
			o.ObserveInt64(refused, int64(a.Refused), labels) //nolint:gosec // a count of calls
			o.ObserveInt64(since, a.Since.Unix(), labels)
		}
		return nil
	}, refused, since)
	return err
}

// timedBody records when the last bytes of a body arrived. An upstream that falls silent
// within an answer does not make the answer longer.
type timedBody struct {
	io.ReadCloser
	lastRead time.Time
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.lastRead = time.Now()
	}
	return n, err
}

// age returns the time from the beginning of the answer to its last bytes.
func (b *timedBody) age(begunAt time.Time) time.Duration { return max(b.lastRead.Sub(begunAt), 1) }
