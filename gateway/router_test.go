package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/placement"
	quarantinestore "waxwingtide.example/waxwingtide/quarantine/store"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/sharing"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const testService = core.ServiceID("svc")

// newTestRouter returns a router, which has not started, with one service and its
// upstreams.
func newTestRouter(random func() float64, upstreams ...core.UpstreamID) *router {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	r := newRouter(Options{
		Fleet: fleet.New(fleet.Options{}), CacheFeed: cacheevents.New(nil, nil, cacheevents.NewRelay(1), nil, log),
		Observations: sharing.New(sharing.Options{}), Client: upstreamhttp.NewClient(nil), CacheMemory: membudget.New("kept_cache", 1<<20),
		Placement: placement.Options{RetryWindow: time.Second}, Log: log, Random: random, QuarantineStore: quarantinestore.New(nil, log),
	})
	config := &catalog.Config{Services: map[core.ServiceID]*catalog.Service{testService: {ID: testService}}}
	inputs := placement.Inputs{Config: config.Index()}
	for _, id := range upstreams {
		inputs.Upstreams = append(inputs.Upstreams, catalog.UpstreamRow{Upstream: &catalog.Upstream{ID: id, Service: testService, Slots: 8}})
		r.connections[id] = &connections{idle: upstreamhttp.NewIdlePool(1)}
	}
	r.placer.SetInputs(time.Now(), inputs)
	return r
}

// queueCall queues a call of the test service and returns the ring of its placement.
func queueCall(t *testing.T, r *router) *ring.Ring[placementResult] {
	t.Helper()
	reply := ring.New[placementResult](1)
	require.True(t, r.placeRequests.Offer(placeRequest{req: placement.Request{Service: testService}, reply: reply}))
	return reply
}

func placementOf(t *testing.T, reply *ring.Ring[placementResult]) placementResult {
	t.Helper()
	result, ok := reply.TryReceive()
	require.True(t, ok)
	return result
}

// Guards against calls that are placed at an upstream after it has announced that it
// leaves or wants no calls, because the router places all waiting calls, and those that
// arrive meanwhile, before it takes the response.
func TestResponseAppliesToCallsThatWait(t *testing.T) {
	announcements := map[string]placement.Report{
		"departure": {Upstream: "i-1", Leaving: true},
		"pause":     {Upstream: "i-1", PauseFor: time.Minute},
	}
	for name, announcement := range announcements {
		t.Run(name, func(t *testing.T) {
			var r *router
			var reported bool
			reportOnce := func() float64 { // called while the first call is placed
				if !reported {
					reported = true
					require.True(t, r.reports.Offer(attemptReport{Report: announcement}))
				}
				return 0
			}
			r = newTestRouter(reportOnce, "i-1")
			first, second := queueCall(t, r), queueCall(t, r)
			r.handlePending()
			require.Equal(t, placement.NotRefused, placementOf(t, first).refusal)
			require.NotEqual(t, placement.NotRefused, placementOf(t, second).refusal)
		})
	}
}

// Guards against changes of the view that are not applied while calls arrive as fast as
// they are placed, as when many calls wait for an upstream.
func TestRouterPlacesBoundedNumberOfCallsPerTurn(t *testing.T) {
	const endlessCalls = 20 * maxPlacementsPerTurn
	var r *router
	placed := 0
	queueNext := func() float64 { // called while a call is placed
		if placed++; placed < endlessCalls {
			queueCall(t, r)
		}
		return 0
	}
	r = newTestRouter(queueNext, "i-1")
	queueCall(t, r)
	r.handlePending()
	require.Equal(t, maxPlacementsPerTurn, placed)
	r.handlePending()
	require.Equal(t, 2*maxPlacementsPerTurn, placed)
}

// Guards against a pause that ends too early because it is counted from the time at which
// the router began to process its queues, and not from the response.
func TestPauseIsCountedFromResponse(t *testing.T) {
	const pause = time.Second
	var r *router
	var respondedAt time.Time
	respond := func() float64 { // called while the first call is placed
		if respondedAt.IsZero() {
			time.Sleep(pause / 4)
			respondedAt = time.Now()
			require.True(t, r.reports.Offer(attemptReport{Report: placement.Report{Upstream: "i-1", PauseFor: pause}}))
		}
		return 0
	}
	r = newTestRouter(respond, "i-1")
	queueCall(t, r)
	queueCall(t, r)
	r.handlePending()
	remaining, paused := r.placer.PauseRemaining(respondedAt, placement.Request{Service: testService})
	require.True(t, paused)
	require.GreaterOrEqual(t, remaining, pause)
}

// Guards against callers that all return in the instant at which the only upstream may be
// used again, and against one that is told to return before.
func TestCallersReturnOverTimeAfterPause(t *testing.T) {
	const pause, calls = 8 * time.Second, 40
	r := newTestRouter(rand.New(rand.NewPCG(1, 1)).Float64, "i-1")
	r.placer.RecordReport(time.Now(), placement.Report{Upstream: "i-1", PauseFor: pause})
	var replies []*ring.Ring[placementResult]
	for range calls {
		replies = append(replies, queueCall(t, r))
	}
	queuedAt := time.Now()
	r.handlePending()
	remaining, paused := r.placer.PauseRemaining(queuedAt, placement.Request{Service: testService})
	require.True(t, paused)
	placedWithin := time.Since(queuedAt)
	perQuarter := make(map[int]int)
	for _, reply := range replies {
		result := placementOf(t, reply)
		require.Equal(t, placement.Paused, result.refusal)
		late := result.retryAfter + placedWithin - remaining
		require.GreaterOrEqual(t, late, time.Duration(0))
		perQuarter[int(4*late/maxReturnSpread)]++
	}
	for quarter, callers := range perQuarter {
		require.Less(t, callers, calls/2, "quarter %d", quarter)
	}
}
