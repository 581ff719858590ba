package canary_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
)

const (
	service  = core.ServiceID("svc")
	share    = 0.04
	duration = 20 * time.Second
)

// firstCalls is the number of calls that a new version gets at a larger share.
const firstCalls = 30

var start = time.Unix(1_800_000_000, 0)

var newUpstream = catalog.UpstreamRow{Upstream: &catalog.Upstream{Service: service, Software: "v2"}}

// testInputs returns inputs with a rollout to v2 that starts at start, and the
// given number of upstreams on v1 and on v2 each.
func testInputs(fronts, upstreams int) canary.Inputs {
	in := canary.Inputs{Rollouts: map[core.ServiceID]fleet.ActiveRollout{service: {
		Rollout: catalog.Rollout{Service: service, Version: "v2", MaxDuration: duration}, RequestRowVersion: 7, RequestedAt: start,
	}}}
	for i := range fronts {
		in.Fronts = append(in.Fronts, core.NodeID(fmt.Sprintf("front-%d", i)))
	}
	for i := range upstreams {
		for _, software := range []string{"v1", "v2"} {
			in.Upstreams = append(in.Upstreams, catalog.UpstreamRow{Upstream: &catalog.Upstream{
				ID: core.UpstreamID(fmt.Sprintf("%s-%d", software, i)), Service: service, Software: software,
			}})
		}
	}
	return in
}

// newControllers returns the controller of each front.
func newControllers(in canary.Inputs) []*canary.Controller {
	out := make([]*canary.Controller, len(in.Fronts))
	for i, node := range in.Fronts {
		out[i] = canary.New(node, share)
		out[i].SetInputs(start, in)
	}
	return out
}

// timeAt returns the time at which the fraction f of the rollout's duration has
// passed.
func timeAt(f float64) time.Time { return start.Add(time.Duration(f * float64(duration))) }

// Before the cutover the new version must receive its canary share of the calls
// for any number of fronts. Guards against a larger share on an unjudged version,
// and against calls that are distributed over too many upstreams, where faults
// that need load stay hidden.
func TestNewVersionGetsCanaryShareBeforeCutover(t *testing.T) {
	for _, fronts := range []int{1, 3, 4, 27, 100} {
		in := testInputs(fronts, 50)
		const samples = 1000
		calls := 0
		for _, controller := range newControllers(in) {
			for range firstCalls { // afterwards, the new version has had its first calls
				controller.RecordPlaced(newUpstream)
			}
			for i := range samples {
				filter := controller.FilterFor(timeAt(0.5), service, float64(i)/samples)
				if filter.RequiredVersion == "" {
					require.Equal(t, canary.Filter{ExcludedVersion: "v2"}, filter)
					continue
				}
				calls++
				require.Equal(t, "v2", filter.RequiredVersion)
				require.Len(t, filter.Upstreams, 2)
			}
		}
		require.InDelta(t, share, float64(calls)/float64(samples*fronts), 0.002, "%d fronts", fronts)
	}
}

// Guards against a slow start of the judging, and against more first calls on an
// unjudged version than intended when there are many fronts.
func TestFirstCallsAreBounded(t *testing.T) {
	const aboveCanaryShare = 0.59 // for all these numbers of fronts
	for _, fronts := range []int{1, 3, 4, 10, 27} {
		in := testInputs(fronts, 50)
		first, participants := 0, 0
		for _, controller := range newControllers(in) {
			before := first
			for range 200 {
				if filter := controller.FilterFor(timeAt(0.1), service, aboveCanaryShare); filter.RequiredVersion != "" {
					controller.RecordPlaced(newUpstream)
					first++
				}
			}
			if first > before {
				participants++
			}
		}
		require.GreaterOrEqual(t, first, firstCalls-participants, "%d fronts", fronts)
		require.LessOrEqual(t, first, firstCalls+participants, "%d fronts", fronts)
	}
}

// feed adds paired samples of both versions, of which a part of the new ones is slow.
func feed(c *canary.Controller, from time.Time, samples int, slowEvery int) {
	for i := range samples {
		for j := range 4 {
			at := from.Add(time.Duration(4*i+j) * 10 * time.Millisecond)
			s := canary.Sample{Service: service, Version: "v1", Route: "r", LatencyOnly: true, Latency: 30 * time.Millisecond}
			if j == 3 {
				s.Version = "v2"
				if i%slowEvery == 0 {
					s.Latency = 300 * time.Millisecond
				}
			}
			c.Observe(at, s)
		}
	}
}

// Guards against a cutover while the evidence against the new version is strong but not
// conclusive, by the process that has it or by one that has judged nothing, and against
// a version that is completed or left undecided at the end of its time.
func TestDoubtHoldsTheCutover(t *testing.T) {
	in := testInputs(2, 3)
	controllers := newControllers(in)
	judging, other := controllers[0], controllers[1]
	feed(judging, timeAt(0.8), 10, 1)
	verdicts := judging.Verdicts()
	require.Equal(t, []canary.Verdict{{Service: service, Version: "v2", RequestRowVersion: 7}}, verdicts)
	cutover := canary.Filter{RequiredVersion: "v2"}
	require.NotEqual(t, cutover, judging.FilterFor(timeAt(0.9), service, 0.99))
	require.Equal(t, cutover, other.FilterFor(timeAt(0.9), service, 0.99))
	require.False(t, other.ApplyVerdict(timeAt(0.9), verdicts[0]))
	require.NotEqual(t, cutover, other.FilterFor(timeAt(0.9), service, 0.99))
	require.Equal(t, cutover, other.FilterFor(timeAt(0.9).Add(10*time.Second), service, 0.99), "a doubt that is not repeated ends")

	require.Empty(t, judging.WithdrawDoubted(timeAt(0.89)))
	require.Len(t, judging.WithdrawDoubted(timeAt(0.91)), 1)
	require.True(t, judging.Verdicts()[0].Withdrawn)
	require.True(t, other.ApplyVerdict(timeAt(0.98), judging.Verdicts()[0]))
	require.Equal(t, canary.Filter{ExcludedVersion: "v2"}, other.FilterFor(timeAt(2), service, 0))
	for _, update := range append(judging.PendingUpdates(timeAt(0.99)), other.PendingUpdates(timeAt(0.99))...) {
		require.Equal(t, catalog.RolloutRolledBack, update.State)
	}
	stale := verdicts[0]
	stale.RequestRowVersion = 6
	require.False(t, controllers[1].ApplyVerdict(timeAt(1), stale))
}

// Guards against calls without any upstream: another process has reported the version as
// completed, so that the old upstreams stop, just when this one withdraws it.
func TestCompletedVersionIsUsedAfterWithdrawal(t *testing.T) {
	in := testInputs(1, 3)
	c := newControllers(in)[0]
	feed(c, timeAt(0.8), 10, 1)
	require.Len(t, c.WithdrawDoubted(timeAt(0.97)), 1)
	requested := in.Rollouts[service]
	requested.Status = catalog.RolloutStatus{Service: service, Version: "v2", State: catalog.RolloutCompleted}
	in.Rollouts[service] = requested
	c.SetInputs(timeAt(0.98), in)
	require.Equal(t, canary.Filter{RequiredVersion: "v2"}, c.FilterFor(timeAt(0.98), service, 0.5))
	require.Empty(t, c.PendingUpdates(timeAt(0.99)))
}

// Guards against a process that sends nearly all its calls to the new version, so that it
// has nothing to compare with.
func TestJudgingProcessKeepsCallsOnOldVersion(t *testing.T) {
	for _, fronts := range []int{4, 23, 27, 100} {
		for _, controller := range newControllers(testInputs(fronts, 50)) {
			for range firstCalls {
				controller.RecordPlaced(newUpstream)
			}
			require.Empty(t, controller.FilterFor(timeAt(0.5), service, 0.31).RequiredVersion, "%d fronts", fronts)
		}
	}
}

// Guards against a good version that a few slow samples hold back.
func TestGoodVersionIsNotDoubted(t *testing.T) {
	in := testInputs(1, 3)
	c := newControllers(in)[0]
	feed(c, timeAt(0.1), 300, 10)
	require.Empty(t, c.Verdicts())
	require.Equal(t, canary.Filter{RequiredVersion: "v2"}, c.FilterFor(timeAt(0.9), service, 0.99))
}

// Guards against a cutover to upstreams that were listed only just before it, so that
// the new version was not judged.
func TestCutoverWaitsForUpstreams(t *testing.T) {
	in := testInputs(1, 3)
	c := canary.New("front-0", share)
	late := in
	late.Upstreams = nil
	c.SetInputs(start, late)
	c.SetInputs(timeAt(0.84), in)
	require.NotEqual(t, canary.Filter{RequiredVersion: "v2"}, c.FilterFor(timeAt(0.9), service, 0.99))
	require.Equal(t, canary.Filter{RequiredVersion: "v2"}, c.FilterFor(timeAt(1.05), service, 0.99))
}

// Guards against a good version that is not completed before the deadline, a
// completion that is reported before all calls use the new version, and filters
// for services without a rollout.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	in := testInputs(2, 3)
	controllers := newControllers(in)
	require.Zero(t, controllers[0].FilterFor(start, "other", 0))
	pendingStates := func(now time.Time) (out []catalog.RolloutState) {
		for _, controller := range controllers {
			for _, update := range controller.PendingUpdates(now) {
				out = append(out, update.State)
			}
		}
		return out
	}
	require.Equal(t, []catalog.RolloutState{catalog.RolloutRunning}, pendingStates(start), "only one process reports")
	requested := in.Rollouts[service]
	requested.Status = catalog.RolloutStatus{Service: service, Version: "v2", State: catalog.RolloutRunning}
	in.Rollouts[service] = requested
	for _, controller := range controllers {
		controller.SetInputs(start, in)
		require.Equal(t, canary.Filter{RequiredVersion: "v2"}, controller.FilterFor(timeAt(0.9), service, 0.99))
	}
	require.Empty(t, pendingStates(timeAt(0.9)))
	require.Equal(t, []catalog.RolloutState{catalog.RolloutCompleted}, pendingStates(timeAt(0.97)))
	require.Len(t, pendingStates(timeAt(0.97).Add(2*time.Second)), 2, "another process reports if the first one does not")

	requested.Status.State = catalog.RolloutCompleted
	in.Rollouts[service] = requested
	controllers[0].SetInputs(timeAt(0.98), in)
	require.Empty(t, controllers[0].PendingUpdates(timeAt(2)))
	filter := controllers[0].FilterFor(timeAt(0.98), service, 0.5)
	require.Equal(t, canary.Filter{RequiredVersion: "v2"}, filter)
	fallback, ok := controllers[0].Fallback(service, filter)
	require.True(t, ok)
	require.Equal(t, canary.Filter{ExcludedVersion: "v2"}, fallback)
}

// Guards against a cutover to a version that no upstream runs.
func TestVersionWithoutUpstreamsGetsNoCalls(t *testing.T) {
	in := testInputs(1, 2)
	in.Upstreams = []catalog.UpstreamRow{in.Upstreams[0], in.Upstreams[2]}
	controller := newControllers(in)[0]
	require.Equal(t, canary.Filter{ExcludedVersion: "v2"}, controller.FilterFor(timeAt(0.9), service, 0.5))
	for _, update := range controller.PendingUpdates(timeAt(0.99)) {
		require.Equal(t, catalog.RolloutRunning, update.State)
	}
}

// A bad version must stay excluded after newer inputs, and must be reported as
// rolled back and not as completed. Another front must exclude it too as soon as
// the reported status is in its inputs.
func TestBadVersionIsRolledBack(t *testing.T) {
	cases := map[string]func(i int) canary.Sample{
		"failures": func(int) canary.Sample { return canary.Sample{Failed: true} },
		"slow":     func(int) canary.Sample { return canary.Sample{Latency: time.Second} },
		"one route": func(i int) canary.Sample {
			if i%4 == 0 {
				return canary.Sample{Route: "b", Failed: true}
			}
			return canary.Sample{Latency: 30 * time.Millisecond}
		},
	}
	for name, sample := range cases {
		t.Run(name, func(t *testing.T) {
			in := testInputs(2, 3)
			controllers := newControllers(in)
			now, found := start, false
			for i := range 400 {
				now = now.Add(25 * time.Millisecond)
				s := sample(i)
				s.Service, s.Version = service, "v2"
				if s.Route == "" {
					s.Route = "a"
				}
				if _, found = controllers[0].Observe(now, s); found {
					break
				}
				for _, route := range []string{"a", "b"} {
					_, foundByOld := controllers[0].Observe(now, canary.Sample{Service: service, Version: "v1", Route: route, Latency: 30 * time.Millisecond})
					if foundByOld { // a call on the old version may complete the evidence against the new one
						found = true
					}
				}
				if found {
					break
				}
			}
			require.True(t, found)
			require.Equal(t, canary.Filter{ExcludedVersion: "v2"}, controllers[0].FilterFor(timeAt(0.9), service, 0))
			controllers[0].SetInputs(now, in)
			require.Equal(t, canary.Filter{ExcludedVersion: "v2"}, controllers[0].FilterFor(timeAt(0.9), service, 0))
			updates := controllers[0].PendingUpdates(timeAt(2))
			require.Len(t, updates, 1)
			require.Equal(t, catalog.RolloutRolledBack, updates[0].State)

			requested := in.Rollouts[service]
			requested.Status = updates[0].RolloutStatus
			in.Rollouts[service] = requested
			controllers[1].SetInputs(now, in)
			require.Equal(t, canary.Filter{ExcludedVersion: "v2"}, controllers[1].FilterFor(timeAt(0.9), service, 0))
			require.Empty(t, controllers[1].PendingUpdates(timeAt(2)))
		})
	}
}

// Guards against a good version that is rolled back because the service fails at
// the same rate under both versions.
func TestFailuresOfBothVersionsAreNoFinding(t *testing.T) {
	controller := newControllers(testInputs(1, 3))[0]
	now := start
	for i := range 3000 {
		now = now.Add(5 * time.Millisecond)
		for _, software := range []string{"v1", "v2"} {
			_, found := controller.Observe(now, canary.Sample{
				Service: service, Version: software, Route: "a", Failed: i%7 == 0, Latency: time.Duration(20+i%5) * time.Millisecond,
			})
			require.False(t, found)
		}
	}
}

// Guards against a rollout to a further version that inherits the rollback of
// the version before it.
func TestNewRolloutStartsWithoutFinding(t *testing.T) {
	in := testInputs(1, 3)
	controller := newControllers(in)[0]
	requested := in.Rollouts[service]
	requested.Status = catalog.RolloutStatus{Service: service, Version: "v2", State: catalog.RolloutRolledBack}
	in.Rollouts[service] = requested
	controller.SetInputs(start, in)
	require.Equal(t, canary.Filter{ExcludedVersion: "v2"}, controller.FilterFor(timeAt(0.9), service, 0))
	requested.Version, requested.RequestRowVersion = "v3", 20
	in.Rollouts[service] = requested
	controller.SetInputs(start, in)
	updates := controller.PendingUpdates(start)
	require.Len(t, updates, 1)
	require.Equal(t, catalog.RolloutStatus{Service: service, Version: "v3", State: catalog.RolloutRunning}, updates[0].RolloutStatus)
}
