package autoscale

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Decide returns the number of upstreams that a failure domain is to have, as of the last
// observation.
func (p *Planner) Decide(now time.Time, domain core.FailureDomain, inForce InForce) Decision {
	f := p.forecast
	d := Decision{Count: inForce.Count, Foreseen: f.foreseen(), Headroom: f.headroom}
	state := p.domains[domain]
	if state == nil || !p.usable(now, state) || state.Listed == 0 {
		d.Reason = Unavailable
		return d
	}
	wanted, reason := p.share(now, p.need(f))
	wanted += state.LongCold
	if bounded := p.bounded(wanted); bounded != wanted || bounded == p.scale.Max {
		wanted, reason = bounded, Limit
	}
	if wanted > inForce.Count {
		return decideRaise(d, f, wanted, reason, inForce)
	}
	return p.decideCut(now, d, f, state, inForce)
}

// bounded returns a count within the limits. Without any upstream no call would be served
// and no demand observed, so that at least one remains.
func (p *Planner) bounded(count int) int { return min(max(count, p.scale.Min, 1), p.scale.Max) }

// decideRaise returns a raise. A new holder without a history does not know whether an
// earlier one has already ordered more upstreams that do not serve yet, so that its order
// could remove them.
func decideRaise(d Decision, f forecast, wanted int, reason Reason, inForce InForce) Decision {
	if inForce.Observing && !f.complete {
		d.Reason = Observing
		return d
	}
	d.Count, d.Reason = wanted, reason
	return d
}

// decideCut returns a cut by one step, or the count in force with the reason why nothing is
// removed.
func (p *Planner) decideCut(now time.Time, d Decision, f forecast, state *domainState, inForce InForce) Decision {
	if inForce.Count > p.scale.Max {
		d.Count, d.Reason = p.scale.Max, Limit
		return d
	}
	f.calls, f.mean, f.held = f.calls*(1+hysteresis), f.mean*(1+hysteresis), f.held*(1+hysteresis)
	needed, _ := p.share(now, p.need(f))
	needed = p.bounded(needed + state.LongCold)
	if needed >= inForce.Count {
		d.Reason = Sufficient
		return d
	}
	if reason := p.cutObstacle(now, f, state, inForce); reason != Sufficient {
		d.Reason = reason
		return d
	}
	step := max(int(p.opts.CutShare*float64(inForce.Count)), 1)
	d.Count, d.Reason = max(needed, inForce.Count-step), Recede
	return d
}

// cutObstacle returns the reason why nothing may be removed now, or Sufficient.
func (p *Planner) cutObstacle(now time.Time, f forecast, state *domainState, inForce InForce) Reason {
	switch {
	case inForce.Observing:
		return Observing
	case !f.complete || !p.newest.Complete:
		return Incomplete
	case p.newest.InRollout || p.restricted(now):
		return Restricted
	case now.Sub(inForce.RaisedAt) < p.Hold(), now.Sub(inForce.CutAt) < max(p.Lead(), minCutInterval), state.Listed != inForce.Count:
		return RecentChange
	}
	return Sufficient
}

// restricted reports whether a failure domain is evacuated or lost, or has cold upstreams: the
// others have to serve its share until it returns.
func (p *Planner) restricted(now time.Time) bool {
	for _, state := range p.domains {
		if !p.usable(now, state) || state.Listed == 0 || state.Cold > 0 {
			return true
		}
	}
	return false
}
