package autoscale_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/singleton/autoscale"
)

const (
	modelBoot  = 10 * time.Second
	modelCold  = 2 * time.Second
	modelSlots = 8
)

var modelDomains = []core.FailureDomain{"east", "north", "west"}

// modelServer is a server that was ordered.
type modelServer struct {
	readyAt time.Time
	warmAt  time.Time
}

// modelDomain is a failure domain with the servers that the platform starts and removes.
type modelDomain struct {
	servers   []modelServer
	inForce   autoscale.InForce
	lost      bool
	evacuated bool
	// limit is the number of servers that the platform provides, or 0 for no limit.
	limit int
}

// model is a closed loop of demand, decisions and servers that serve after their boot time.
type model struct {
	planner *autoscale.Planner
	domains map[core.FailureDomain]*modelDomain
	now     time.Time
	// waited is the number of seconds in which calls exceeded the capacity, raises and cuts
	// the numbers of orders.
	waited, raises, cuts int
	incomplete           bool
	inRollout            bool
	// hidden is set if calls above the capacity are refused and do not show.
	hidden bool
	// earlyCuts is the number of cuts within the hold time after a raise, or within 30 s after
	// another cut.
	earlyCuts int
}

func newModel(opts autoscale.Options, count int) *model {
	m := &model{
		planner: autoscale.NewPlanner(opts, catalog.Scale{Min: 1, Max: 60, Boot: modelBoot}, modelCold),
		domains: make(map[core.FailureDomain]*modelDomain), now: time.Unix(1_700_000_000, 0),
	}
	for _, domain := range modelDomains {
		m.domains[domain] = &modelDomain{servers: make([]modelServer, count), inForce: autoscale.InForce{Count: count}}
	}
	return m
}

// step advances the model by one second with a demand.
func (m *model) step(calls float64) {
	m.now = m.now.Add(time.Second)
	o := autoscale.Observation{Calls: calls, Complete: !m.incomplete, CallsPerUpstream: modelSlots, InRollout: m.inRollout}
	capacity := 0
	for _, id := range modelDomains {
		d := m.domains[id]
		observed := autoscale.DomainObservation{Domain: id, Evacuated: d.evacuated}
		for _, s := range d.servers {
			if d.lost || s.readyAt.After(m.now) || d.limit > 0 && observed.Listed == d.limit {
				continue
			}
			observed.Listed++
			if s.warmAt.After(m.now) {
				observed.Cold++
			}
		}
		if !d.evacuated {
			capacity += modelSlots * (observed.Listed - observed.Cold)
		}
		o.Domains = append(o.Domains, observed)
	}
	if calls > float64(capacity) {
		m.waited++
		if m.hidden {
			o.Calls = float64(capacity)
		}
	}
	m.planner.Observe(m.now, o)
	for _, id := range modelDomains {
		d := m.domains[id]
		m.order(d, m.planner.Decide(m.now, id, d.inForce))
	}
}

// order applies a decision as the platform does.
func (m *model) order(d *modelDomain, decision autoscale.Decision) {
	switch {
	case decision.Count > d.inForce.Count:
		for range decision.Count - d.inForce.Count {
			d.servers = append(d.servers, modelServer{readyAt: m.now.Add(modelBoot), warmAt: m.now.Add(modelBoot + modelCold)})
		}
		d.inForce.RaisedAt = m.now
		m.raises++
	case decision.Count < d.inForce.Count:
		if !d.inForce.RaisedAt.IsZero() && m.now.Sub(d.inForce.RaisedAt) < m.planner.Hold() {
			m.earlyCuts++
		}
		if !d.inForce.CutAt.IsZero() && m.now.Sub(d.inForce.CutAt) < 30*time.Second {
			m.earlyCuts++
		}
		d.servers = d.servers[:decision.Count]
		d.inForce.CutAt = m.now
		m.cuts++
	}
	d.inForce.Count = decision.Count
}

// run advances the model with a demand that depends on the time since its begin.
func (m *model) run(d time.Duration, demand func(t time.Duration) float64) {
	for t := time.Duration(0); t < d; t += time.Second {
		m.step(demand(t))
	}
}

func (m *model) counts() []int {
	var out []int
	for _, id := range modelDomains {
		out = append(out, m.domains[id].inForce.Count)
	}
	return out
}

func steady(calls float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return calls }
}

// wave returns a demand that rises from low to high and falls again in each period.
func wave(period time.Duration, low, high float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		return low + (high-low)*(1-math.Cos(2*math.Pi*float64(t)/float64(period)))/2
	}
}

var modelOptions = autoscale.Options{LostDomains: 1, LostUpstreams: 2}

// Guards against calls that wait because servers were ordered too late for a wave, against
// servers that stay after it, and against counts that swing. The first period of a wave that
// is shorter than several boot times is not foreseeable; all later ones are.
func TestWavesDoNotWait(t *testing.T) {
	for _, period := range []time.Duration{modelBoot*2 + time.Second, 3 * modelBoot, 5 * modelBoot, 10 * modelBoot, 30 * modelBoot, 90 * modelBoot} {
		t.Run(period.String(), func(t *testing.T) {
			m := newModel(modelOptions, 8)
			m.run(time.Hour, steady(40))
			before := m.counts()
			demand := wave(period, 40, 200)
			m.run(period, demand)
			first := m.waited
			m.run(6*period, demand)
			require.Equal(t, first, m.waited, "calls waited after the first period")
			if period >= 10*modelBoot {
				require.Zero(t, first, "calls waited in the first period")
			}
			require.Zero(t, m.earlyCuts)
			raises := m.raises
			m.run(2*time.Hour, steady(40))
			require.Equal(t, before, m.counts(), "the counts do not return")
			require.Equal(t, raises, m.raises, "counts rise without a rise of the demand")
			require.Zero(t, m.earlyCuts)
		})
	}
}
