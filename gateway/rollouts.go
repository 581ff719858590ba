package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/placement"
)

// recordSample updates the evidence on a rollout with a report.
func (r *router) recordSample(now time.Time, report placement.Report) {
	sample, ok := r.placer.Sample(now, report)
	if !ok {
		return
	}
	if failed, worse := r.rollouts.Observe(now, sample); worse {
		r.log.WithFields(logrus.Fields{
			"event": "version_withdrawn", "service": failed.Service, "software": failed.Version, "signal": failed.Finding.Signal,
			"route": failed.Finding.Group, "samples": failed.Finding.Samples, "evidence": failed.Finding.Evidence,
			"threshold": failed.Finding.Threshold,
		}).Warn("new version is worse than the old one and gets no further calls")
		r.publishVerdicts()
		r.queueRolloutStatuses(now)
	}
}

// queueRolloutStatuses queues the rollout statuses that have to be written for the
// operator.
func (r *router) queueRolloutStatuses(now time.Time) {
	for _, update := range r.rollouts.PendingUpdates(now) {
		r.statusWriter.Enqueue(update)
	}
}

// sweepRollouts withdraws versions that cannot be completed, sends the other processes
// the verdicts on versions, and queues statuses for the operator.
func (r *router) sweepRollouts(now time.Time) {
	for _, withdrawn := range r.rollouts.WithdrawDoubted(now) {
		r.log.WithFields(logrus.Fields{"event": "version_withdrawn", "service": withdrawn.Service, "software": withdrawn.Version, "signal": "doubt"}).
			Warn("new version gets no further calls, since the evidence against it was not refuted in time")
	}
	r.publishVerdicts()
	r.queueRolloutStatuses(now)
}

func (r *router) publishVerdicts() {
	for _, v := range r.rollouts.Verdicts() {
		r.observations.RecordVerdict(v)
	}
}

// applyVerdicts applies the verdicts of other processes.
func (r *router) applyVerdicts(now time.Time) {
	for verdicts, ok := r.observations.RemoteVerdicts().TryReceive(); ok; verdicts, ok = r.observations.RemoteVerdicts().TryReceive() {
		for _, v := range verdicts {
			if r.rollouts.ApplyVerdict(now, v) {
				r.log.WithFields(logrus.Fields{"event": "version_withdrawn", "service": v.Service, "software": v.Version, "signal": "other process"}).
					Warn("new version gets no further calls, since another process has found it worse")
			}
		}
	}
}
