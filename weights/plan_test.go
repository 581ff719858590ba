package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// The servers with the oldest weights must be loaded first, since their weights
// become overdue first. Guards also against more concurrent jobs than allowed, and
// against a server that does not respond and blocks the jobs of the others.
func TestPlanLoadsTheOldestFirst(t *testing.T) {
	listed := func(id string, version catalog.WeightNumber) catalog.UpstreamRow {
		return catalog.UpstreamRow{Upstream: &catalog.Upstream{
			ID: core.UpstreamID(id), Weights: map[core.ModelID]catalog.WeightNumber{"m": version},
		}}
	}
	upstreams := []catalog.UpstreamRow{listed("a", 2), listed("b", 1), listed("c", 1), listed("d", 3), listed("e", 2)}
	upstreams[4].Draining = true
	requested := map[core.ModelID]catalog.WeightNumber{"m": 3}
	p, now := newPlan(), time.Unix(1000, 0)

	ids := func(jobs []Job) (out []string) {
		for _, j := range jobs {
			out = append(out, string(j.Upstream.ID))
		}
		return out
	}
	jobs := p.outdated(upstreams, requested)
	require.Equal(t, []string{"b", "c", "a"}, ids(jobs))
	started := p.start(now, jobs, 2)
	require.Equal(t, []string{"b", "c"}, ids(started))
	require.Empty(t, p.start(now, jobs, 2), "two jobs are running")

	p.finish(now, started[0], false, time.Second)
	require.Equal(t, []string{"a"}, ids(p.start(now, p.outdated(upstreams, requested), 2)), "b does not respond")
	p.finish(now, started[1], true, time.Second)
	require.Equal(t, []string{"b", "a"}, ids(p.outdated(upstreams, requested)))
	require.Equal(t, []string{"b"}, ids(p.start(now.Add(time.Second), p.outdated(upstreams, requested), 2)))
}
