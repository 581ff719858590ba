package autoscale_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/singleton/autoscale"
)

// settled returns a model whose counts fit a steady demand.
func settled(t *testing.T, calls float64) *model {
	t.Helper()
	m := newModel(modelOptions, 6)
	m.run(time.Hour, steady(calls))
	require.Zero(t, m.waited)
	return m
}

// Guards, load by load, against decisions that leave calls without upstreams, remove
// upstreams that are needed again, or keep those that are not needed.
func TestDecisionsByLoad(t *testing.T) {
	for name, load := range map[string]func(t *testing.T, m *model){
		"a burst like one before has capacity": func(t *testing.T, m *model) {
			burst := func(at time.Duration) float64 {
				if at%(5*time.Minute) < 30*time.Second {
					return 130
				}
				return 60
			}
			m.run(5*time.Minute, burst)
			first := m.waited
			require.Positive(t, first, "the burst is too small to show anything")
			m.run(30*time.Minute, burst)
			require.Equal(t, first, m.waited)
		},
		"a lost failure domain keeps its order and the others serve its share": func(t *testing.T, m *model) {
			before := m.counts()
			m.domains["east"].lost = true
			m.run(20*time.Minute, steady(60))
			during := m.counts()
			require.Equal(t, before[0], during[0], "the order of the lost domain has changed")
			// 60 calls need 13 upstreams, or 8 at the utilization that is accepted after a loss.
			require.Equal(t, []int{7, 7}, during[1:])
			m.domains["east"].lost = false
			m.run(time.Hour, steady(60))
			require.Equal(t, before, m.counts())
			require.Zero(t, m.waited)
		},
		"an evacuated failure domain is not cut and returns to its count": func(t *testing.T, m *model) {
			before := m.counts()
			m.domains["north"].evacuated = true
			m.run(20*time.Minute, steady(60))
			require.Equal(t, before[1], m.counts()[1])
			require.Greater(t, m.counts()[0], before[0])
			m.domains["north"].evacuated = false
			m.run(time.Hour, steady(60))
			require.Equal(t, before, m.counts())
			require.Zero(t, m.waited)
		},
		"demand that goes is followed in steps and demand that returns at once": func(t *testing.T, m *model) {
			m.run(10*time.Minute, steady(200))
			waited, last := m.waited, m.counts()
			m.run(time.Hour, func(time.Duration) float64 {
				for i, count := range m.counts() {
					require.LessOrEqual(t, last[i]-count, max(last[i]/5, 1), "more than a fifth is cut at once")
				}
				last = m.counts()
				return 0
			})
			require.Equal(t, []int{1, 1, 1}, m.counts())
			m.run(time.Minute, steady(200))
			require.GreaterOrEqual(t, m.counts()[0], 14)
			require.Less(t, m.waited-waited, 40)
		},
		"a rollout removes nothing": func(t *testing.T, m *model) {
			m.inRollout = true
			before := m.counts()
			m.run(20*time.Minute, steady(5))
			require.Equal(t, before, m.counts())
			m.inRollout = false
			m.run(20*time.Minute, steady(5))
			require.Less(t, m.counts()[0], before[0])
		},
		"cold upstreams remove nothing": func(t *testing.T, m *model) {
			before := m.counts()
			m.domains["west"].servers[0].warmAt = m.now.Add(20*time.Minute + 2*time.Second)
			m.run(20*time.Minute, steady(5))
			require.Equal(t, before, m.counts())
			m.run(20*time.Minute, steady(5))
			require.Less(t, m.counts()[0], before[0])
		},
		"missing samples remove nothing and still raise": func(t *testing.T, m *model) {
			before := m.counts()
			m.incomplete = true
			m.run(20*time.Minute, steady(0))
			require.Equal(t, before, m.counts())
			m.run(time.Minute, steady(200))
			require.Greater(t, m.counts()[0], before[0])
		},
		"a first rise is followed ahead of time": func(t *testing.T, m *model) {
			m.run(2*time.Minute, func(at time.Duration) float64 { return 60 + 2*at.Seconds() })
			require.Zero(t, m.waited)
		},
		"peaks within the hold time keep their upstreams": func(t *testing.T, m *model) {
			peaks := func(at time.Duration) float64 {
				if at%(90*time.Second) < 10*time.Second {
					return 150
				}
				return 60
			}
			m.run(3*time.Hour, peaks)
			m.waited, m.raises, m.cuts = 0, 0, 0
			m.run(time.Hour, peaks)
			require.Zero(t, m.waited)
			require.Zero(t, m.raises+m.cuts)
		},
		"the others serve what a failure domain is not given": func(t *testing.T, m *model) {
			m.domains["west"].limit = 5
			m.run(10*time.Minute, steady(200))
			m.waited = 0
			m.run(time.Hour, steady(200))
			require.Zero(t, m.waited)
			// 27 upstreams serve 200 calls after a loss: those of a larger domain and 5.
			require.GreaterOrEqual(t, m.counts()[0], 22)
			require.LessOrEqual(t, m.counts()[0], 25)
		},
		"demand that is refused at full upstreams is followed": func(t *testing.T, m *model) {
			m.hidden = true
			m.run(3*time.Minute, steady(300))
			waited := m.waited
			m.run(3*time.Minute, steady(300))
			require.Equal(t, waited, m.waited)
		},
		"a slow change around a threshold changes nothing": func(t *testing.T, m *model) {
			m.raises, m.cuts = 0, 0
			m.run(time.Hour, func(at time.Duration) float64 {
				if at%(10*time.Minute) < 5*time.Minute {
					return 57
				}
				return 60
			})
			require.Zero(t, m.raises+m.cuts)
		},
		"a small change of the demand changes nothing": func(t *testing.T, m *model) {
			m.raises, m.cuts = 0, 0
			m.run(time.Hour, func(at time.Duration) float64 { return 60 + 3*float64(int(at/time.Second)%3-1) })
			require.LessOrEqual(t, m.raises, 3)
			require.Zero(t, m.cuts)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := settled(t, 60)
			load(t, m)
			require.Zero(t, m.earlyCuts, "a cut follows a raise within the hold time")
		})
	}
}

// Guards against calls that wait at the same time of each period although it is known.
func TestKnownPeriod(t *testing.T) {
	opts := modelOptions
	opts.Period = time.Hour
	m := newModel(opts, 6)
	peak := func(at time.Duration) float64 {
		if at%time.Hour >= 50*time.Minute && at%time.Hour < 52*time.Minute {
			return 400
		}
		return 60
	}
	m.run(time.Hour, peak)
	first := m.waited
	require.Positive(t, first)
	m.run(3*time.Hour, peak)
	require.Equal(t, first, m.waited)
	require.Zero(t, m.earlyCuts)
}

// Guards against too few upstreams after the largest tolerated loss, and against both kinds
// of loss being added.
func TestTolerateLoss(t *testing.T) {
	for name, c := range map[string]struct {
		opts  autoscale.Options
		count int
	}{
		"nothing":          {autoscale.Options{Utilization: 0.95}, 6},
		"a failure domain": {autoscale.Options{Utilization: 0.95, LostDomains: 1}, 7},
		"four upstreams":   {autoscale.Options{Utilization: 0.95, LostUpstreams: 4}, 6},
		"either":           {autoscale.Options{Utilization: 0.95, LostDomains: 1, LostUpstreams: 9}, 8},
		"all domains":      {autoscale.Options{Utilization: 0.95, LostDomains: 3}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel(c.opts, 1)
			m.run(10*time.Minute, steady(100))
			m.run(2*time.Hour, steady(91)) // the hysteresis keeps what serves a tenth more
			require.Equal(t, []int{c.count, c.count, c.count}, m.counts())
		})
	}
}

// Guards against counts outside of the limits, also if the limits change, and against a
// process that cuts or raises from no knowledge after it has become the holder.
func TestLimitsAndNewHolder(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	observation := autoscale.Observation{Calls: 1, Complete: true, CallsPerUpstream: 8, Domains: []autoscale.DomainObservation{{Domain: "east", Listed: 5}}}
	decide := func(scale catalog.Scale, calls float64, inForce autoscale.InForce) autoscale.Decision {
		p := autoscale.NewPlanner(autoscale.Options{}, scale, 0)
		o := observation
		o.Calls = calls
		p.Observe(now, o)
		return p.Decide(now, "east", inForce)
	}
	for name, c := range map[string]struct {
		scale   catalog.Scale
		calls   float64
		inForce autoscale.InForce
		count   int
		reason  autoscale.Reason
	}{
		"below the minimum":              {catalog.Scale{Min: 7, Max: 9}, 1, autoscale.InForce{Count: 5}, 7, autoscale.Limit},
		"above the maximum":              {catalog.Scale{Min: 1, Max: 4}, 1, autoscale.InForce{Count: 5}, 4, autoscale.Limit},
		"demand above the maximum":       {catalog.Scale{Min: 1, Max: 9}, 900, autoscale.InForce{Count: 5}, 9, autoscale.Limit},
		"new process does not cut":       {catalog.Scale{Min: 1, Max: 9}, 1, autoscale.InForce{Count: 5, Observing: true}, 5, autoscale.Observing},
		"no history does not cut":        {catalog.Scale{Min: 1, Max: 9}, 1, autoscale.InForce{Count: 5}, 5, autoscale.Incomplete},
		"new process waits with a raise": {catalog.Scale{Min: 1, Max: 9}, 34, autoscale.InForce{Count: 5, Observing: true}, 5, autoscale.Observing},
		"old process raises":             {catalog.Scale{Min: 1, Max: 9}, 34, autoscale.InForce{Count: 5}, 7, autoscale.Foreseen},
	} {
		t.Run(name, func(t *testing.T) {
			d := decide(c.scale, c.calls, c.inForce)
			require.Equal(t, c.count, d.Count)
			require.Equal(t, c.reason.String(), d.Reason.String())
		})
	}
	p := autoscale.NewPlanner(autoscale.Options{}, catalog.Scale{Min: 1, Max: 9}, 0)
	observation.Calls = 20
	p.Observe(now, observation)
	needed := p.Decide(now, "east", autoscale.InForce{Count: 1}).Count
	observation.Domains[0].Cold, observation.Domains[0].LongCold = 2, 2
	p.Observe(now, observation)
	require.Equal(t, needed+2, p.Decide(now, "east", autoscale.InForce{Count: 1}).Count, "upstreams that stay cold for longer than new ones count")

	p = autoscale.NewPlanner(autoscale.Options{}, catalog.Scale{Min: 1, Max: 9}, 0)
	d := p.Decide(now, "east", autoscale.InForce{Count: 5})
	require.Equal(t, 5, d.Count)
	require.Equal(t, autoscale.Unavailable, d.Reason, "a domain that was never listed gets no order")
}
