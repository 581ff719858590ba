package autoscale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
)

// Guards against upstreams that are counted although they drain or stand beside others for a
// rollout, against cold periods that begin anew with each reading of the list, and against
// missing loads that count as none.
func TestObserve(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	service := &catalog.Service{ID: "a", Scale: &catalog.Scale{Max: 9, Boot: 10 * time.Second}}
	upstream := func(id, domain, software string, cold time.Duration, draining bool) catalog.UpstreamRow {
		return catalog.UpstreamRow{Upstream: &catalog.Upstream{
			ID: core.UpstreamID(id), Service: "a", Domain: core.FailureDomain(domain), Software: software, Slots: 8, ColdRemaining: cold, Draining: draining,
		}}
	}
	view := &fleet.View{
		Config:    &catalog.Config{Services: map[core.ServiceID]*catalog.Service{"a": service, "b": {ID: "b"}}},
		Evacuated: map[core.FailureDomain]bool{"west": true},
		Upstreams: []catalog.UpstreamRow{
			upstream("1", "east", "v1", 0, false), upstream("2", "east", "v1", 5*time.Second, false), upstream("3", "east", "v1", 0, true),
			upstream("4", "east", "v2", 60*time.Second, false), upstream("5", "west", "v1", 0, false),
		},
	}
	report := &LoadReport{
		At: now, ExchangedAt: now, Waiting: map[core.ServiceID]float64{"a": 2},
		Upstreams: []UpstreamLoad{{Upstream: "1", Calls: 3}, {Upstream: "3", Calls: 1}, {Upstream: "gone", Calls: 9}},
	}
	cold := make(coldPeriods)
	observed := observe(now, view, report, cold)
	require.Len(t, observed, 1)
	o := observed["a"]
	require.InDelta(t, 6, o.Calls, 0)
	require.InDelta(t, 8, o.CallsPerUpstream, 0)
	require.True(t, o.Complete)
	require.True(t, o.InRollout)
	require.ElementsMatch(t, []DomainObservation{
		{Domain: "east", Listed: 2, Cold: 2, LongCold: 1}, {Domain: "west", Listed: 1, Evacuated: true},
	}, o.Domains)

	later := now.Add(4 * time.Second)
	o = observe(later, view, report, cold)["a"]
	require.False(t, o.Complete, "the loads are too old")
	o = observe(now.Add(6*time.Second), view, &LoadReport{At: now.Add(6 * time.Second)}, cold)["a"]
	require.False(t, o.Complete, "the other fronts have sent nothing")
	require.Equal(t, 1, o.Domains[0].Cold+o.Domains[len(o.Domains)-1].Cold)
	view.Upstreams = nil
	observe(later, view, report, cold)
	require.Empty(t, cold, "cold periods of upstreams that are gone remain")
}
