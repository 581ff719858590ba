package autoscale

import (
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/singleton"
)

// maxReportAge is the age from which the loads of other fronts count as missing. Fronts
// exchange them five times a second.
const maxReportAge = 3 * time.Second

// UpstreamLoad is what a front knows of the load of an upstream over all fronts.
type UpstreamLoad struct {
	Upstream core.UpstreamID
	// Calls is the number of calls in progress and waiting at the upstream.
	Calls float64
	// ExclusiveTokens is the size of the cached parts that neither another upstream nor a
	// kept-cache store has, as far as the front knows. It is used for draining upstreams.
	ExclusiveTokens int
}

// LoadReport contains the loads of all upstreams that have any.
type LoadReport struct {
	At time.Time
	// ExchangedAt is the time of the last successful exchange of loads with the other
	// fronts, or At if there is no other front.
	ExchangedAt time.Time
	Upstreams   []UpstreamLoad
	// Waiting is the number of calls that wait for an upstream, over all fronts.
	Waiting map[core.ServiceID]float64
	// CallsPerUpstream is the number of calls that one upstream serves at the same time, for
	// services where it is smaller than the number of slots, such as engines whose memory
	// holds fewer calls.
	CallsPerUpstream map[core.ServiceID]float64
}

// complete reports whether a report covers all fronts at a time.
func (r *LoadReport) complete(now time.Time) bool {
	return now.Sub(r.At) <= maxReportAge && now.Sub(r.ExchangedAt) <= maxReportAge
}

// coldRecord is the end of the cold period that an entry of the list states.
type coldRecord struct {
	startedAtMs int64
	revision    uint64
	until       time.Time
	listedAt    time.Time
}

// coldPeriods contains the cold periods of the listed upstreams. An entry states the
// remaining time as of when it was written, and is listed unchanged afterwards.
type coldPeriods map[core.UpstreamID]*coldRecord

// update applies the current list.
func (c coldPeriods) update(now time.Time, upstreams []catalog.UpstreamRow) {
	for _, u := range upstreams {
		record := c[u.ID]
		if record == nil {
			record = &coldRecord{until: now.Add(u.ColdRemaining)}
			c[u.ID] = record
		} else if record.startedAtMs != u.StartedAtMs || record.revision != u.Revision {
			record.until = now.Add(u.ColdRemaining)
		}
		record.startedAtMs, record.revision, record.listedAt = u.StartedAtMs, u.Revision, now
	}
	if len(c) == len(upstreams) {
		return // no record is of another upstream
	}
	for id, record := range c {
		if record.listedAt != now {
			delete(c, id)
		}
	}
}

// tally collects the observation of a service.
type tally struct {
	service *catalog.Service
	lead    time.Duration
	calls   float64
	slots   int
	count   int
	domains map[core.FailureDomain]*domainTally
}

type domainTally struct {
	bySoftware map[string]int
	cold       int
	longCold   int
}

func newTally(service *catalog.Service) *tally {
	return &tally{service: service, lead: leadTime(*service.Scale, service.ColdStart), domains: make(map[core.FailureDomain]*domainTally)}
}

// add adds a listed upstream.
func (t *tally) add(now time.Time, u catalog.UpstreamRow, calls float64, coldUntil time.Time) {
	t.calls += calls
	d := t.domains[u.Domain]
	if d == nil {
		d = &domainTally{bySoftware: make(map[string]int)}
		t.domains[u.Domain] = d
	}
	if u.Draining {
		return
	}
	t.slots += u.Slots
	t.count++
	d.bySoftware[u.Software]++
	if coldUntil.After(now) {
		d.cold++
	}
	if coldUntil.After(now.Add(t.lead)) {
		d.longCold++
	}
}

// observation returns the observation of the service.
func (t *tally) observation(view *fleet.View, report *LoadReport, complete bool) Observation {
	rollout, inRollout := view.Rollouts[t.service.ID]
	ended := rollout.Status.Version == rollout.Version &&
		(rollout.Status.State == catalog.RolloutCompleted || rollout.Status.State == catalog.RolloutRolledBack)
	o := Observation{
		Calls: t.calls + report.Waiting[t.service.ID], Complete: complete,
		CallsPerUpstream: report.CallsPerUpstream[t.service.ID], InRollout: inRollout && !ended,
	}
	if o.CallsPerUpstream <= 0 && t.count > 0 {
		o.CallsPerUpstream = float64(t.slots) / float64(t.count)
	}
	for domain, d := range t.domains {
		listed := 0
		for _, count := range d.bySoftware {
			listed = max(listed, count)
		}
		if len(d.bySoftware) > 1 {
			o.InRollout = true
		}
		o.Domains = append(o.Domains, DomainObservation{
			Domain: domain, Listed: listed, Cold: d.cold, LongCold: d.longCold, Evacuated: view.Evacuated[domain],
		})
	}
	return o
}

// observe returns the observations of the services whose number of upstreams is ordered.
func observe(now time.Time, view *fleet.View, report *LoadReport, cold coldPeriods) map[core.ServiceID]Observation {
	tallies := make(map[core.ServiceID]*tally)
	for id, service := range view.Config.Services {
		if service.Scale != nil {
			tallies[id] = newTally(service)
		}
	}
	if len(tallies) == 0 {
		return nil
	}
	calls := make(map[core.UpstreamID]float64, len(report.Upstreams))
	for _, load := range report.Upstreams {
		calls[load.Upstream] = load.Calls
	}
	cold.update(now, view.Upstreams)
	for _, u := range view.Upstreams {
		if t := tallies[u.Service]; t != nil {
			t.add(now, u, calls[u.ID], cold[u.ID].until)
		}
	}
	out := make(map[core.ServiceID]Observation, len(tallies))
	for id, t := range tallies {
		out[id] = t.observation(view, report, report.complete(now))
	}
	return out
}

// Subjects returns the subjects of the numbers of upstreams: each service with a scale in
// each failure domain. It is the same in all processes with the same configuration, also
// while a failure domain is lost.
func Subjects(config *catalog.Config, domains []core.FailureDomain) []singleton.Subject {
	var out []singleton.Subject
	if config == nil {
		return nil
	}
	for id, service := range config.Services {
		if service.Scale == nil {
			continue
		}
		for _, domain := range domains {
			out = append(out, singleton.ScalingSubject(id, domain))
		}
	}
	return out
}
