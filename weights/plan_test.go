package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// The servers with the oldest weights must be loaded first, because they are the
// first to reach the time limit for the use of old weights. Guards also against more concurrent jobs than allowed, and
// against a server that does not respond and blocks the jobs of the others.
func TestOldestWeightsAreLoadedFirst(t *testing.T) {
	listed := func(id string, version catalog.WeightNumber) catalog.UpstreamRow {
		return catalog.UpstreamRow{Upstream: &catalog.Upstream{
			ID: core.UpstreamID(id), Weights: map[core.ModelID]catalog.WeightNumber{"m": version},
		}}
	}
	upstreams := []catalog.UpstreamRow{listed("a", 2), listed("b", 1), listed("c", 1), listed("d", 3), listed("e", 2)}
	upstreams[4].Draining = true
	requested := map[core.ModelID]catalog.WeightNumber{"m": 3}
	tracker, now := newJobTracker(), time.Unix(1000, 0)

	ids := func(jobs []Job) (out []string) {
		for _, j := range jobs {
			out = append(out, string(j.Upstream.ID))
		}
		return out
	}
	jobs := tracker.pendingJobs(upstreams, requested)
	require.Equal(t, []string{"b", "c", "a"}, ids(jobs))
	started := tracker.nextJobs(now, jobs, 2)
	require.Equal(t, []string{"b", "c"}, ids(started))
	require.Empty(t, tracker.nextJobs(now, jobs, 2), "two jobs are running")

	tracker.finish(now, started[0], false, time.Second)
	require.Equal(t, []string{"a"}, ids(tracker.nextJobs(now, tracker.pendingJobs(upstreams, requested), 2)), "b does not respond")
	tracker.finish(now, started[1], true, time.Second)
	require.Equal(t, []string{"b", "a"}, ids(tracker.pendingJobs(upstreams, requested)))
	require.Equal(t, []string{"b"}, ids(tracker.nextJobs(now.Add(time.Second), tracker.pendingJobs(upstreams, requested), 2)))
}
