package autoscale

import (
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

const (
	// lostDelay is the time without a listed upstream after which a failure domain counts as
	// lost.
	lostDelay = 3 * time.Second
	// hysteresis is the share by which the demand must be below what fewer upstreams serve.
	hysteresis = 0.1
	// settleTime is added to the lead time before a count that the list of upstreams does not
	// show counts as unreachable.
	settleTime = 10 * time.Second
	// minCutInterval is the minimum time between two cuts.
	minCutInterval = 30 * time.Second
)

// domainState is what a planner has observed of a failure domain.
type domainState struct {
	DomainObservation
	// absentSince is when the last upstream left the list, or zero.
	absentSince time.Time
	// shortSince is since when fewer upstreams are listed than the share, or zero.
	shortSince time.Time
}

// Planner contains the observations of one service. All processes keep one for each
// service, so that a new holder has observed before. It is pure.
type Planner struct {
	opts      Options
	scale     catalog.Scale
	coldStart time.Duration
	history   *history
	newest    Observation
	// domains are the failure domains in which the service was listed at least once.
	domains map[core.FailureDomain]*domainState
	// forecast is that of the last observation.
	forecast forecast
	// shortShare is the share of each failure domain at the last observation.
	shortShare int
}

// NewPlanner returns a planner without observations.
func NewPlanner(opts Options, scale catalog.Scale, coldStart time.Duration) *Planner {
	p := &Planner{opts: opts.withDefaults(), domains: make(map[core.FailureDomain]*domainState)}
	p.SetScale(scale, coldStart)
	return p
}

// SetScale replaces the limits. Another lead time discards the history of the demand.
func (p *Planner) SetScale(scale catalog.Scale, coldStart time.Duration) {
	old := p.Lead()
	p.scale, p.coldStart = scale, coldStart
	if p.history == nil || p.Lead() != old {
		p.history = newHistory(p.Lead(), p.opts)
	}
}

// Lead returns the time from an order until the upstream serves its full load.
func (p *Planner) Lead() time.Duration { return leadTime(p.scale, p.coldStart) }

// Hold returns the time for which the highest demand is remembered, and the minimum time
// between a raise and a cut.
func (p *Planner) Hold() time.Duration { return p.history.hold }

// ObserveTime returns the time after which orders of an earlier holder are visible in the
// list of upstreams.
func (p *Planner) ObserveTime() time.Duration { return p.Lead() + settleTime }

// Domains returns the failure domains in which the service was listed.
func (p *Planner) Domains() []core.FailureDomain {
	var out []core.FailureDomain
	for domain := range p.domains {
		out = append(out, domain)
	}
	return out
}

// Observe adds an observation.
func (p *Planner) Observe(now time.Time, o Observation) {
	p.newest = o
	p.observeDomains(now, o)
	p.history.observe(now, o.Calls, o.Complete, o.CallsPerUpstream)
	p.forecast = p.history.forecast(now)
	p.observeShort(now)
}

func (p *Planner) observeDomains(now time.Time, o Observation) {
	observed := make(map[core.FailureDomain]DomainObservation, len(o.Domains))
	for _, d := range o.Domains {
		observed[d.Domain] = d
		if p.domains[d.Domain] == nil && d.Listed > 0 {
			p.domains[d.Domain] = &domainState{}
		}
	}
	for domain, state := range p.domains {
		state.DomainObservation = observed[domain]
		state.Domain = domain
		switch {
		case state.Listed > 0:
			state.absentSince = time.Time{}
		case state.absentSince.IsZero():
			state.absentSince = now
		}
	}
}

// observeShort records which failure domains have had fewer upstreams than their share, and
// since when.
func (p *Planner) observeShort(now time.Time) {
	for _, state := range p.domains {
		if state.Listed >= p.shortShare || !p.usable(now, state) {
			state.shortSince = time.Time{}
		} else if state.shortSince.IsZero() {
			state.shortSince = now
		}
	}
	p.shortShare, _ = p.share(now, p.need(p.forecast))
}

func (p *Planner) usable(now time.Time, state *domainState) bool {
	return !state.Evacuated && !p.lost(now, state)
}

func (p *Planner) lost(now time.Time, state *domainState) bool {
	return !state.absentSince.IsZero() && now.Sub(state.absentSince) >= lostDelay
}

// short reports whether the platform has not provided the share of a failure domain for
// longer than an order takes.
func (p *Planner) short(now time.Time, state *domainState) bool {
	return !state.shortSince.IsZero() && now.Sub(state.shortSince) > 2*p.Lead()+settleTime
}

// need is a number of upstreams over all failure domains.
type need struct {
	// all is the number while nothing is lost, afterLoss the number after the largest
	// tolerated loss.
	all       int
	afterLoss int
}

// need returns the numbers of upstreams for a forecast. The headroom for bursts is not
// added to that for a loss: a burst is not assumed to begin during a loss.
func (p *Planner) need(f forecast) need {
	perUpstream := p.newest.CallsPerUpstream
	return need{
		all:       upstreamsFor(f.foreseen(), perUpstream, p.opts.Utilization),
		afterLoss: upstreamsFor(max(f.calls, f.held), perUpstream, p.opts.LossUtilization),
	}
}

// share returns the number of upstreams that each usable failure domain needs, and the
// reason that determines it.
func (p *Planner) share(now time.Time, n need) (int, Reason) {
	var capacities []int
	unavailable := 0
	for _, state := range p.domains {
		switch {
		case !p.usable(now, state):
			unavailable++
		case p.short(now, state):
			capacities = append(capacities, state.Listed)
		default:
			capacities = append(capacities, p.scale.Max)
		}
	}
	all := evenShare(n.all, capacities, 0)
	// A failure domain that is lost or evacuated already is part of the tolerated loss.
	lost := max(p.opts.LostDomains-unavailable, 0)
	if lost >= len(capacities) {
		lost = 0 // a single failure domain cannot tolerate its own loss
	}
	tolerant := evenShare(n.afterLoss, capacities, lost)
	tolerant = max(tolerant, evenShare(n.afterLoss+p.opts.LostUpstreams, capacities, 0))
	if tolerant > all {
		return tolerant, TolerateLoss
	}
	return all, Foreseen
}
