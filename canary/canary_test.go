package canary_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
)

const (
	service = core.ServiceID("svc")
	share   = 0.04
	within  = 20 * time.Second
)

var t0 = time.Unix(1_800_000_000, 0)

func world(fronts, upstreams int) canary.Inputs {
	w := canary.Inputs{Rollouts: map[core.ServiceID]fleet.ActiveRollout{service: {
		Rollout: catalog.Rollout{Service: service, To: "v2", MaxDuration: within}, RequestRevision: 7, RequestedAt: t0,
	}}}
	for i := range fronts {
		w.Fronts = append(w.Fronts, core.NodeID(fmt.Sprintf("front-%d", i)))
	}
	for i := range upstreams {
		for _, software := range []string{"v1", "v2"} {
			w.Upstreams = append(w.Upstreams, catalog.ListedUpstream{Upstream: &catalog.Upstream{
				ID: core.UpstreamID(fmt.Sprintf("%s-%d", software, i)), Service: service, Software: software,
			}})
		}
	}
	return w
}

func tables(w canary.Inputs) []*canary.Controller {
	out := make([]*canary.Controller, len(w.Fronts))
	for i, node := range w.Fronts {
		out[i] = canary.New(node, share)
		out[i].SetInputs(t0, w)
	}
	return out
}

func at(share float64) time.Time { return t0.Add(time.Duration(share * float64(within))) }

// Guards against a new version that gets more than its share of the calls before
// it is judged, whatever the number of fronts, and against calls spread so thin
// that faults under load stay hidden.
func TestNewVersionGetsItsShareAtFirst(t *testing.T) {
	for _, fronts := range []int{1, 3, 4, 27, 100} {
		w := world(fronts, 50)
		const draws = 1000
		calls := 0
		for _, table := range tables(w) {
			for i := range draws {
				limit := table.FilterFor(at(0.5), service, float64(i)/draws)
				if limit.RequiredSoftware == "" {
					require.Equal(t, canary.Filter{ExcludedSoftware: "v2"}, limit)
					continue
				}
				calls++
				require.Equal(t, "v2", limit.RequiredSoftware)
				require.Len(t, limit.Upstreams, 2)
			}
		}
		require.InDelta(t, share, float64(calls)/float64(draws*fronts), 0.002, "%d fronts", fronts)
	}
}

// Guards against a good version that is not in place in time, against a change
// that is told before all calls follow it, and against services that are touched
// without an order.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	w := world(2, 3)
	both := tables(w)
	require.Zero(t, both[0].FilterFor(t0, "other", 0))
	told := func(now time.Time) (out []catalog.RolloutState) {
		for _, table := range both {
			for _, due := range table.PendingUpdates(now) {
				out = append(out, due.State)
			}
		}
		return out
	}
	require.Equal(t, []catalog.RolloutState{catalog.Running}, told(t0), "one process tells")
	m := w.Rollouts[service]
	m.Status, m.StatusRevision = catalog.RolloutStatus{Service: service, To: "v2", State: catalog.Running}, 9
	w.Rollouts[service] = m
	for _, table := range both {
		table.SetInputs(t0, w)
		require.Equal(t, canary.Filter{RequiredSoftware: "v2"}, table.FilterFor(at(0.9), service, 0.99))
	}
	require.Empty(t, told(at(0.9)))
	require.Equal(t, []catalog.RolloutState{catalog.Completed}, told(at(0.97)))
	require.Len(t, told(at(0.97).Add(2*time.Second)), 2, "another process tells if the first one does not")

	m.Status.State = catalog.Completed
	w.Rollouts[service] = m
	both[0].SetInputs(at(0.98), w)
	require.Empty(t, both[0].PendingUpdates(at(2)))
	limit := both[0].FilterFor(at(0.98), service, 0.5)
	require.Equal(t, canary.Filter{RequiredSoftware: "v2"}, limit)
	other, ok := both[0].Fallback(service, limit)
	require.True(t, ok)
	require.Equal(t, canary.Filter{ExcludedSoftware: "v2"}, other)
}

// Guards against a version without upstreams that takes all calls.
func TestVersionWithoutUpstreamsGetsNoCalls(t *testing.T) {
	w := world(1, 2)
	w.Upstreams = []catalog.ListedUpstream{w.Upstreams[0], w.Upstreams[2]}
	table := tables(w)[0]
	require.Equal(t, canary.Filter{ExcludedSoftware: "v2"}, table.FilterFor(at(0.9), service, 0.5))
	for _, due := range table.PendingUpdates(at(0.99)) {
		require.Equal(t, catalog.Running, due.State)
	}
}

// Guards against a bad version that goes on getting calls, is completed all the
// same, or is forgotten to be bad; and against a judgement of one front that the
// others do not follow once it is told.
func TestBadVersionIsTakenBack(t *testing.T) {
	cases := map[string]func(i int) canary.Sample{
		"failures": func(int) canary.Sample { return canary.Sample{Failed: true} },
		"slow":     func(int) canary.Sample { return canary.Sample{Latency: time.Second} },
		"one route": func(i int) canary.Sample {
			if i%4 == 0 {
				return canary.Sample{Route: "b", Failed: true}
			}
			return canary.Sample{Latency: 30 * time.Millisecond}
		},
	}
	for name, sample := range cases {
		t.Run(name, func(t *testing.T) {
			w := world(2, 3)
			both := tables(w)
			now, found := t0, false
			for i := range 400 {
				now = now.Add(25 * time.Millisecond)
				s := sample(i)
				s.Service, s.Software = service, "v2"
				if s.Route == "" {
					s.Route = "a"
				}
				if _, found = both[0].Observe(now, s); found {
					break
				}
				for _, route := range []string{"a", "b"} {
					_, wrong := both[0].Observe(now, canary.Sample{Service: service, Software: "v1", Route: route, Latency: 30 * time.Millisecond})
					if wrong { // an old call may complete the evidence against the new version
						found = true
					}
				}
				if found {
					break
				}
			}
			require.True(t, found)
			require.Equal(t, canary.Filter{ExcludedSoftware: "v2"}, both[0].FilterFor(at(0.9), service, 0))
			both[0].SetInputs(now, w)
			require.Equal(t, canary.Filter{ExcludedSoftware: "v2"}, both[0].FilterFor(at(0.9), service, 0))
			due := both[0].PendingUpdates(at(2))
			require.Len(t, due, 1)
			require.Equal(t, catalog.RolledBack, due[0].State)

			m := w.Rollouts[service]
			m.Status, m.StatusRevision = due[0].RolloutStatus, 11
			w.Rollouts[service] = m
			both[1].SetInputs(now, w)
			require.Equal(t, canary.Filter{ExcludedSoftware: "v2"}, both[1].FilterFor(at(0.9), service, 0))
			require.Empty(t, both[1].PendingUpdates(at(2)))
		})
	}
}

// Guards against a good version that is taken back since the service fails alike
// under both versions.
func TestFailuresOfBothVersionsCountAgainstNone(t *testing.T) {
	table := tables(world(1, 3))[0]
	now := t0
	for i := range 3000 {
		now = now.Add(5 * time.Millisecond)
		for _, software := range []string{"v1", "v2"} {
			_, found := table.Observe(now, canary.Sample{
				Service: service, Software: software, Route: "a", Failed: i%7 == 0, Latency: time.Duration(20+i%5) * time.Millisecond,
			})
			require.False(t, found)
		}
	}
}

// Guards against an order for a further version that takes over what was found
// of the version before.
func TestNewOrderIsJudgedAnew(t *testing.T) {
	w := world(1, 3)
	table := tables(w)[0]
	m := w.Rollouts[service]
	m.Status = catalog.RolloutStatus{Service: service, To: "v2", State: catalog.RolledBack}
	w.Rollouts[service] = m
	table.SetInputs(t0, w)
	require.Equal(t, canary.Filter{ExcludedSoftware: "v2"}, table.FilterFor(at(0.9), service, 0))
	m.To, m.RequestRevision = "v3", 20
	w.Rollouts[service] = m
	table.SetInputs(t0, w)
	due := table.PendingUpdates(t0)
	require.Len(t, due, 1)
	require.Equal(t, catalog.RolloutStatus{Service: service, To: "v3", State: catalog.Running}, due[0].RolloutStatus)
}
