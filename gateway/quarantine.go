package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/quarantine"
)

// attemptReport is a report of an attempt, with what the quarantine needs of a final
// one.
type attemptReport struct {
	placement.Report
	Address string
	Prompt  core.Prompt
	// AnswerAge is the time since the first byte of the answer, or 0 if there was
	// none.
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
	mayHaveCrashed := r.quarantine.RecordEnd(now, quarantine.AttemptEnd{
		Incarnation: incarnation, Prompt: report.Prompt, AnswerAge: report.AnswerAge,
		Broken:    report.Result == placement.Incomplete,
		Completed: report.Result == placement.Completed, Unframed: report.Unframed,
	})
	if mayHaveCrashed && !r.crashChecker.checks.Offer(crashCheck{incarnation: incarnation, address: report.Address}) {
		r.quarantine.DismissCrash(now, incarnation)
	}
}

// updateQuarantine applies the results of crash checks and the evidence of other
// processes, quarantines parts and sends the local evidence.
func (r *router) updateQuarantine(now time.Time) {
	for result, ok := r.crashChecker.results.TryReceive(); ok; result, ok = r.crashChecker.results.TryReceive() {
		if !result.crashed {
			r.quarantine.DismissCrash(now, result.incarnation)
			continue
		}
		r.quarantine.ConfirmCrash(now, result.incarnation)
		r.log.WithFields(logrus.Fields{"event": "upstream_crashed", "upstream": result.incarnation.Upstream, "born": result.incarnation.StartedAtMs}).
			Warn("upstream refuses connections after its attempts broke")
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
