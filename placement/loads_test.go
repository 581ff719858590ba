package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/singleton/autoscale"
)

// Guards against loads of other fronts that are missing in the report, against engines that
// count with more calls than their memory holds, and against cached parts that are taken as
// lost with a leaving upstream although a store or another upstream has them.
func TestLoadReport(t *testing.T) {
	placer := newPlacer(newInputs(4))
	upstreams := placer.byService[engines]
	u, other := upstreams[0], upstreams[1]
	u.setReportedLoad(t0, 12)
	report := placer.LoadReport(t0, t0, map[core.ServiceID]int{engines: 3})
	require.Equal(t, t0, report.ExchangedAt)
	require.InDelta(t, 12, loadOf(t, report, u).Calls, 0)
	require.InDelta(t, 12, report.Waiting[engines], 0, "three calls at each of four fronts")
	require.NotContains(t, report.CallsPerUpstream, engines, "no call has ended yet")

	placer.observeResidency(engines, 5000, time.Second)
	report = placer.LoadReport(t0, t0, nil)
	require.InDelta(t, float64(placer.services[engines].Engine.CacheTokens)/5000, report.CallsPerUpstream[engines], 0.01)

	shared, exclusive := cacheindex.Key{Salt: "1/m/*", ID: "shared"}, cacheindex.Key{Salt: "1/m/*", ID: "exclusive"}
	u.addCachedPart(shared, partState{tokens: 100}, 50_000)
	u.addCachedPart(exclusive, partState{tokens: 30}, 50_000)
	other.addCachedPart(shared, partState{tokens: 100}, 50_000)
	require.Zero(t, loadOf(t, placer.LoadReport(t0, t0, nil), u).ExclusiveTokens, "the upstream stays")
	row := *u.row.Upstream
	row.Draining = true
	u.row.Upstream = &row
	require.Equal(t, 30, loadOf(t, placer.LoadReport(t0, t0, nil), u).ExclusiveTokens)
}

func loadOf(t *testing.T, report autoscale.LoadReport, u *upstream) autoscale.UpstreamLoad {
	t.Helper()
	for _, load := range report.Upstreams {
		if load.Upstream == u.row.ID {
			return load
		}
	}
	t.Fatal("the upstream is not in the report")
	return autoscale.UpstreamLoad{}
}
