package autoscale

import (
	"fmt"
	"testing"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
)

// BenchmarkInterval measures one interval of observations and decisions at the target size:
// 10,000 upstreams of 21 services in 27 failure domains. The process holds one subject of each
// service.
func BenchmarkInterval(b *testing.B) {
	const services, domains, upstreams = 21, 27, 10_000
	view := &fleet.View{Config: &catalog.Config{Services: make(map[core.ServiceID]*catalog.Service)}}
	planners := make(map[core.ServiceID]*Planner)
	for i := range services {
		id := core.ServiceID(fmt.Sprintf("service-%d", i))
		scale := &catalog.Scale{Min: 1, Max: 100, Boot: time.Minute}
		view.Config.Services[id] = &catalog.Service{ID: id, Scale: scale}
		planners[id] = NewPlanner(Options{LostDomains: 1}, *scale, 0)
	}
	report := &LoadReport{}
	for i := range upstreams {
		id := core.UpstreamID(fmt.Sprintf("upstream-%d", i))
		view.Upstreams = append(view.Upstreams, catalog.UpstreamRow{Upstream: &catalog.Upstream{
			ID: id, Service: core.ServiceID(fmt.Sprintf("service-%d", i%services)), Domain: core.FailureDomain(fmt.Sprintf("domain-%d", i%domains)), Slots: 64,
		}})
		report.Upstreams = append(report.Upstreams, UpstreamLoad{Upstream: id, Calls: float64(i % 40)})
	}
	cold := make(coldPeriods)
	now := time.Unix(1_700_000_000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		report.At, report.ExchangedAt = now, now
		for id, o := range observe(now, view, report, cold) {
			planners[id].Observe(now, o)
			planners[id].Decide(now, "domain-0", InForce{Count: 17})
		}
	}
}
