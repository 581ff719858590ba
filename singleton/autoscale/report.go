package autoscale

import (
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/singleton"
)

// log returns a logger with the inputs of a decision.
func (d *decisionDuty) log(t *target, state *domainState, decision Decision) logrus.FieldLogger {
	return d.opts.Log.WithFields(logrus.Fields{
		"service": t.service, "failure_domain": t.domain, "fence": t.fence, "in_force": t.inForce.Count, "desired": decision.Count, "listed": state.Listed,
		"cold": state.Cold, "reason": decision.Reason, "foreseen_calls": int(decision.Foreseen), "headroom": decision.Headroom,
	})
}

// logReason logs a decision whose reason has changed.
func (d *decisionDuty) logReason(t *target, state *domainState, decision Decision) {
	changed := decision.Reason != t.last.Reason
	t.last = decision
	if !changed {
		return
	}
	d.log(t, state, decision).WithField("event", "scale_decision").Info("decision on the number of upstreams")
}

// logResult logs the result of an order.
func (d *decisionDuty) logResult(r orderResult) {
	entry := d.opts.Log.WithFields(logrus.Fields{
		"event": "scale_order", "service": r.order.service, "failure_domain": r.order.domain, "fence": r.order.fence, "previous": r.order.previous,
		"desired": r.order.count, "reason": r.order.reason, "took_ms": r.took.Milliseconds(), "result": resultName(r.err),
	})
	if r.err != nil {
		entry.WithError(r.err).Warn("the order of a number of upstreams failed")
		return
	}
	entry.Info("a number of upstreams was ordered")
}

func resultName(err error) string {
	if err == nil {
		return "accepted"
	}
	return errs.KindOf(err).String()
}

func (d *decisionDuty) exclusiveByUpstream() map[core.UpstreamID]int {
	out := make(map[core.UpstreamID]int, len(d.report.Upstreams))
	for _, load := range d.report.Upstreams {
		out[load.Upstream] = load.ExclusiveTokens
	}
	return out
}

// logRemovals logs the upstreams that have begun to drain, with the cached parts that are
// given up if nothing fetches them before their end.
func (d *decisionDuty) logRemovals(upstreams []catalog.UpstreamRow) {
	draining := make(map[core.UpstreamID]bool)
	var exclusive map[core.UpstreamID]int
	for _, u := range upstreams {
		if !u.Draining {
			continue
		}
		draining[u.ID] = true
		t := d.targets[singleton.ScalingSubject(u.Service, u.Domain)]
		if d.draining[u.ID] || t == nil || t.fence == 0 {
			continue
		}
		if exclusive == nil {
			exclusive = d.exclusiveByUpstream()
		}
		d.opts.Log.WithFields(logrus.Fields{
			"event": "scale_draining", "upstream": u.ID, "service": u.Service, "failure_domain": u.Domain, "in_force": t.inForce.Count, "exclusive_tokens": exclusive[u.ID],
		}).Info("an upstream drains; cached parts that only it holds are given up unless they are fetched from it")
	}
	d.draining = draining
}
