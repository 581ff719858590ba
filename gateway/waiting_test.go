package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/ring"
)

// newEngineRouter returns a router with one engine that has memory for 1,000 tokens.
func newEngineRouter() *router {
	r := newTestRouter(func() float64 { return 0 }, "i-1")
	engine := &catalog.Engine{Slots: 8, CacheTokens: 1000, Models: []core.ModelID{"m"}}
	config := &catalog.Config{Services: map[core.ServiceID]*catalog.Service{testService: {ID: testService, Engine: engine}}}
	row := catalog.UpstreamRow{Upstream: &catalog.Upstream{ID: "i-1", Service: testService, Slots: 8, Weights: map[core.ModelID]catalog.WeightNumber{"m": 1}}}
	r.placer.SetOptions(placement.Options{RetryWindow: time.Second, PrefillTokensPerMs: 40})
	r.placer.SetInputs(time.Now(), placement.Inputs{Config: config.Index(), Upstreams: []catalog.UpstreamRow{row}})
	return r
}

// queuePrompt queues a prompt that uses 800 tokens and may wait for a time.
func queuePrompt(t *testing.T, r *router, priority int, wait time.Duration) *ring.Ring[placementResult] {
	t.Helper()
	reply := ring.New[placementResult](1)
	prompt := core.Prompt{Model: "m", Tokens: 800, Parts: []core.Part{{ID: "own", Tokens: 800}}}
	request := placement.Request{Service: testService, Prompt: prompt}
	require.True(t, r.placeRequests.Offer(placeRequest{req: request, priority: priority, waitUntil: time.Now().Add(wait), reply: reply}))
	return reply
}

func endCall(t *testing.T, r *router, p placementResult) {
	t.Helper()
	require.True(t, r.reports.Offer(attemptReport{Report: placement.Report{
		AttemptID: p.choice.AttemptID, Upstream: p.choice.Upstream.ID, Final: true, Result: placement.Completed,
	}}))
	r.handlePending()
}

// Guards against calls that are sent to an engine without memory for them, against calls
// that wait although memory has become free, and against deferrable calls that are placed
// before urgent ones.
func TestCallsWaitForMemory(t *testing.T) {
	r := newEngineRouter()
	first := queuePrompt(t, r, 0, time.Minute)
	r.handlePending()
	running := placementOf(t, first)
	require.Equal(t, placement.NotRefused, running.refusal)

	deferrable, urgent := queuePrompt(t, r, 2, time.Minute), queuePrompt(t, r, 0, time.Minute)
	r.handlePending()
	require.Zero(t, deferrable.Len()+urgent.Len(), "calls were placed at a full engine")

	endCall(t, r, running)
	running = placementOf(t, urgent)
	require.Equal(t, placement.NotRefused, running.refusal)
	require.Zero(t, deferrable.Len())
	endCall(t, r, running)
	require.Equal(t, placement.NotRefused, placementOf(t, deferrable).refusal)
}

// Guards against calls that wait longer than they may, and against callers that are told
// to return at once or all at the same time.
func TestCallIsRefusedAfterItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = 30 * time.Millisecond
		r := newEngineRouter()
		queuePrompt(t, r, 0, time.Minute)
		noWait, wait := queuePrompt(t, r, 0, 0), queuePrompt(t, r, 0, patience)
		r.handlePending()
		refused := placementOf(t, noWait)
		require.Equal(t, placement.MemoryFull, refused.refusal)
		require.Equal(t, memoryRetryAfter/2, refused.retryAfter)
		require.Zero(t, wait.Len())

		time.Sleep(patience)
		r.random = func() float64 { return 1 }
		r.handlePending()
		refused = placementOf(t, wait)
		require.Equal(t, placement.MemoryFull, refused.refusal)
		require.Equal(t, memoryRetryAfter*3/2, refused.retryAfter)
	})
}

// Guards against a trial of a part in quarantine that is refused after it has waited for
// memory, so that the part stays in quarantine until a later trial. The call may become a
// trial before or while it waits.
func TestTrialRemainsATrialWhileItWaits(t *testing.T) {
	for name, waitsBefore := range map[string]bool{"before it waits": false, "while it waits": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newEngineRouter()
				queuePrompt(t, r, 0, time.Minute)
				r.handlePending()
				trial := ring.New[placementResult](1)
				queue := func() {
					prompt := core.Prompt{Model: "m", Tokens: 800, Parts: []core.Part{{ID: "bad", Tokens: 700}, {ID: "own", Tokens: 100}}}
					request := placement.Request{Service: testService, Prompt: prompt}
					require.True(t, r.placeRequests.Offer(placeRequest{req: request, waitUntil: time.Now().Add(time.Minute), reply: trial}))
					r.handlePending()
				}
				if waitsBefore {
					queue()
				}
				state := quarantine.State{Part: quarantine.Part{Model: "m", ID: "bad"}, Version: 1, Until: time.Now().Add(-time.Hour)}
				r.quarantine.Merge(time.Now(), quarantine.Evidence{States: []quarantine.State{state}})
				if !waitsBefore {
					queue()
				}
				for range 3 {
					time.Sleep(waitingRetryInterval)
					r.handlePending()
					require.Zero(t, trial.Len(), "the trial was refused while it waits")
					require.Equal(t, 1, r.waiting.list.Len())
				}
			})
		})
	}
}

// Guards against calls that wait although the work before them takes longer than they may
// wait, and against callers that are told to return before there is memory for them.
func TestCallIsRefusedAtOnceBehindLongBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runTime = 200 * time.Millisecond
		r := newEngineRouter()
		running := queuePrompt(t, r, 0, time.Minute)
		r.handlePending()
		var waiting []*ring.Ring[placementResult]
		for range 10 {
			waiting = append(waiting, queuePrompt(t, r, 0, time.Minute))
		}
		r.handlePending()
		for _, next := range waiting[:5] { // 4,000 tokens a second
			time.Sleep(runTime)
			endCall(t, r, placementOf(t, running))
			running = next
		}
		r.random = func() float64 { return 0.5 }
		impatient, patient := queuePrompt(t, r, 0, 2*runTime), queuePrompt(t, r, 0, time.Minute)
		r.handlePending()
		refused := placementOf(t, impatient)
		require.Equal(t, placement.MemoryFull, refused.refusal)
		require.InDelta(t, (5 * runTime).Seconds(), refused.retryAfter.Seconds(), runTime.Seconds(), "the work of five calls is before it")
		require.Zero(t, patient.Len(), "a call that can wait so long was refused")
	})
}
