package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Guards against servers whose weights are overdue because others, which are
// newer already, are brought to the newest version first; against more jobs than
// allowed; and against a server that does not answer and holds up the others.
func TestPlanLoadsTheOldestFirst(t *testing.T) {
	listed := func(id string, version catalog.WeightNumber) catalog.ListedUpstream {
		return catalog.ListedUpstream{Upstream: &catalog.Upstream{
			ID: core.UpstreamID(id), Weights: map[core.ModelID]catalog.WeightNumber{"m": version},
		}}
	}
	upstreams := []catalog.ListedUpstream{listed("a", 2), listed("b", 1), listed("c", 1), listed("d", 3), listed("e", 2)}
	upstreams[4].Draining = true
	named := map[core.ModelID]catalog.WeightNumber{"m": 3}
	p, now := newPlan(), time.Unix(1000, 0)

	ids := func(jobs []Job) (out []string) {
		for _, j := range jobs {
			out = append(out, string(j.Upstream.ID))
		}
		return out
	}
	jobs := p.due(upstreams, named)
	require.Equal(t, []string{"b", "c", "a"}, ids(jobs))
	started := p.next(now, jobs, 2)
	require.Equal(t, []string{"b", "c"}, ids(started))
	require.Empty(t, p.next(now, jobs, 2), "two jobs run")

	p.ended(now, started[0], false, time.Second)
	require.Equal(t, []string{"a"}, ids(p.next(now, p.due(upstreams, named), 2)), "b does not answer")
	p.ended(now, started[1], true, time.Second)
	require.Equal(t, []string{"b", "a"}, ids(p.due(upstreams, named)))
	require.Equal(t, []string{"b"}, ids(p.next(now.Add(time.Second), p.due(upstreams, named), 2)))
}
