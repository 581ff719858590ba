package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/sharing"
)

// reportLoads records the running and waiting calls of all engines, as other processes have
// observed them.
func reportLoads(placer *Placer, at time.Time, waiting map[core.UpstreamID]int) {
	const calls = 12
	for _, u := range placer.byService[engines] {
		placer.ApplyObservation(at, sharing.Observation{Upstream: u.row.ID, HasLoad: true, Load: calls, Waiting: waiting[u.row.ID], ObservedAt: at})
	}
}

func placeMany(placer *Placer, now time.Time, waitedShare float64) (counts map[core.UpstreamID]int, refused int) {
	counts = make(map[core.UpstreamID]int)
	for i := range 60 {
		req := Request{Service: engines, Prompt: newPrompt(fmt.Sprintf("shared-%d", i)), WaitedShare: waitedShare}
		choice, refusal := placer.Choose(now, req)
		if refusal != NotRefused {
			refused++
			continue
		}
		counts[choice.Upstream.ID]++
		placer.RecordReport(now, Report{AttemptID: choice.AttemptID, Upstream: choice.Upstream.ID, Final: true, Result: Abandoned})
	}
	return counts, refused
}

// Guards against calls to an engine at which calls wait for memory as if all its calls ran,
// and against an engine that is avoided for long after its last report.
func TestWaitingCallsAreNotRunningCalls(t *testing.T) {
	placer := storeParts(t0, 60)
	reportLoads(placer, t0, map[core.UpstreamID]int{"engines-0": 2})
	counts, refused := placeMany(placer, t0, 0)
	require.Zero(t, refused)
	require.Less(t, counts["engines-0"], 15/2, "half of an equal share")
	later := t0.Add(4 * time.Second)
	placer.cacheIndex.ApplyEvents(later, storeAddress, 1, nil, nil)
	counts, refused = placeMany(placer, later, 0)
	require.Zero(t, refused)
	require.Greater(t, counts["engines-0"], 5)
}

// Guards against calls that join long queues at engines although they could wait at the
// front for the first engine that has memory again, and against calls that find no engine
// at the end of their waiting time.
func TestCallsWaitAtTheFrontForFullEngines(t *testing.T) {
	placer := storeParts(t0, 60)
	waiting := make(map[core.UpstreamID]int)
	for i := range 4 {
		waiting[core.UpstreamID(fmt.Sprintf("engines-%d", i))] = 5
	}
	reportLoads(placer, t0, waiting)
	_, refused := placeMany(placer, t0, 0)
	require.Equal(t, 60, refused)
	_, refused = placeMany(placer, t0, 1)
	require.Zero(t, refused)
	waiting["engines-2"] = 0
	now := t0.Add(3 * time.Second) // after the window of the cold limits
	placer.cacheIndex.ApplyEvents(now, storeAddress, 1, nil, nil)
	reportLoads(placer, now, waiting)
	counts, _ := placeMany(placer, now, 0)
	require.Len(t, counts, 1)
	require.NotZero(t, counts["engines-2"])
}

// Guards against the delay of waiting calls that stays at its initial value, although
// responses show another one, and against one that a slow link or a single response moves.
func TestDelayOfWaitingCallsIsLearnt(t *testing.T) {
	placer := storeParts(t0, 1)
	u := placer.upstreams["engines-0"]
	initial := placer.speed(engines).waiting.PerCallMs()
	now := t0
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		placer.ApplyObservation(now, sharing.Observation{Upstream: u.row.ID, HasLoad: true, Load: 10, Waiting: 2, ObservedAt: now})
		choice := placeUnshared(t, placer, now, u)
		answered := now.Add(600 * time.Millisecond)
		placer.RecordReport(answered, Report{AttemptID: choice.AttemptID, Upstream: u.row.ID, FirstByte: 600 * time.Millisecond})
		placer.RecordReport(answered, Report{AttemptID: choice.AttemptID, Upstream: u.row.ID, Final: true, Result: Completed})
		if i == 0 {
			require.InEpsilon(t, initial, placer.speed(engines).waiting.PerCallMs(), 0.05)
		}
	}
	require.InEpsilon(t, 260, placer.speed(engines).waiting.PerCallMs(), 0.2)
}
