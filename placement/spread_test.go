package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/sharing"
)

// spreadCounts returns the calls that 31 fronts place at each upstream of a plain service,
// long after the loads that they have received were observed.
func spreadCounts(t *testing.T, age time.Duration, observations []sharing.Observation) map[core.UpstreamID]int {
	t.Helper()
	in := newInputs(31)
	counts := make(map[core.UpstreamID]int)
	for _, node := range in.Fronts {
		pl := New(options(node), cacheindex.New())
		pl.SetInputs(t0, in)
		for _, o := range observations {
			pl.ApplyObservation(t0, o)
		}
		for range 10 {
			choice, refusal := pl.Choose(t0.Add(age), newPlainRequest())
			require.Equal(t, NotRefused, refusal)
			counts[choice.Upstream.ID]++
			pl.RecordReport(t0.Add(age), Report{AttemptID: choice.AttemptID, Upstream: choice.Upstream.ID, Final: true, Result: Completed})
		}
	}
	return counts
}

// Guards against fronts that all choose the same server because they have the same loads,
// or none: the process that passes loads on has failed or is cut off, or fronts of an older
// version report no waiting calls and no pace.
func TestCallsAreSpreadWithoutCurrentLoads(t *testing.T) {
	loads := []sharing.Observation{
		{Upstream: "records-0", HasLoad: true, ObservedAt: t0, Reporter: "front-1"},
		{Upstream: "records-1", HasLoad: true, Load: 40, ObservedAt: t0, Reporter: "front-1"},
		{Upstream: "records-2", HasLoad: true, Load: 40, ObservedAt: t0, Reporter: "front-1"},
	}
	for name, observations := range map[string][]sharing.Observation{"no loads": nil, "old loads": loads} {
		counts := spreadCounts(t, 15*time.Second, observations)
		for _, id := range []core.UpstreamID{"records-0", "records-1", "records-2"} {
			require.Greater(t, counts[id], 310/6, "%s: %v", name, counts)
		}
	}
	require.Greater(t, spreadCounts(t, 0, loads)["records-0"], 300, "current loads count")
}
