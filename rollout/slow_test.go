package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

func slowDown(factor float64) fault {
	return func(_ int, _ *rand.Rand, s *Sample) { s.Latency = time.Duration(float64(s.Latency) * factor) }
}

// Guards against an understated bound on the event of a block: the test for hard
// slowness alone must not exceed its false alarm rate for a version that is as fast as
// the old one, or as slow as is accepted, also when both become slow at times.
func TestHardSlownessFalseAlarmRate(t *testing.T) {
	const limit, n = 0.05, 2000
	cases := map[string]struct {
		fault       fault
		disturbance float64 // factor in every second period of 200 attempts
	}{
		"same version":       {fault: slowDown(1), disturbance: 1},
		"at the limit":       {fault: slowDown(1.5), disturbance: 1},
		"slow times on both": {fault: slowDown(1), disturbance: 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			alarms := 0
			for seed := range uint64(n) {
				var h hardSlownessTest
				attempts := newTraffic(seed + 50000)
				for i := range 1000 {
					s := attempts.next(tc.fault)
					if i/200%2 == 1 {
						s.Latency = time.Duration(float64(s.Latency) * tc.disturbance)
					}
					if s.Version == "v1" {
						h.addOld(s, DefaultLimits())
					} else {
						h.addNew(s, DefaultLimits())
					}
					if h.value() >= 1/limit {
						alarms++
						break
					}
				}
			}
			t.Logf("%d alarms in %d runs", alarms, n)
			require.LessOrEqual(t, float64(alarms), limit*n)
		})
	}
}

// Guards against a version that is several times slower and needs more samples than a
// canary gets before all calls are switched to it.
func TestHardSlownessIsFoundWithFewSamples(t *testing.T) {
	const n = 500
	for name, factor := range map[string]float64{"eight times": 8, "twelve times": 12} {
		t.Run(name, func(t *testing.T) {
			sum, most := 0, 0
			for seed := range uint64(n) {
				j, attempts := NewJudge("v1", "v2", DefaultLimits()), newTraffic(seed+60000)
				attempts.newShare, attempts.groups = 0.04, 2
				samples, finding := run(j, attempts, slowDown(factor), 100)
				require.NotNil(t, finding)
				require.Equal(t, SignalLatency, finding.Signal)
				sum, most = sum+samples, max(most, samples)
			}
			t.Logf("mean %.1f samples, at most %d", float64(sum)/n, most)
			require.LessOrEqual(t, sum, 12*n)
		})
	}
}

// Guards against a slow version that is found only when its attempts end, and against
// latencies that are counted as outcomes.
func TestLatencyCountsBeforeTheOutcome(t *testing.T) {
	j, attempts := NewJudge("v1", "v2", DefaultLimits()), newTraffic(1)
	latencyOnly := func(_ int, _ *rand.Rand, s *Sample) {
		s.Latency, s.LatencyOnly = 10*s.Latency, true
	}
	samples, finding := run(j, attempts, latencyOnly, 200)
	require.NotNil(t, finding)
	require.Less(t, samples, 200)

	j, attempts = NewJudge("v1", "v2", DefaultLimits()), newTraffic(1)
	failedLatencyOnly := func(_ int, _ *rand.Rand, s *Sample) { s.Failed, s.LatencyOnly = true, true }
	_, finding = run(j, attempts, failedLatencyOnly, 200)
	require.Nil(t, finding)
}

// Guards against times between events that are compared with times to the first event.
func TestPaceIsJudgedApart(t *testing.T) {
	j := NewJudge("v1", "v2", DefaultLimits())
	now := newTraffic(0).now
	for range 400 {
		for _, version := range []core.WeightVersion{"v1", "v1", "v1", "v2"} {
			now = now.Add(10 * time.Millisecond)
			s := Sample{Version: version, Group: CallGroup{RouteName: "r"}, FinishedAt: now, LatencyOnly: true, Latency: 5 * time.Millisecond}
			require.Nil(t, j.Add(s))
			s.Group.Pace, s.Latency = true, 300*time.Millisecond
			require.Nil(t, j.Add(s))
		}
	}
}

// Guards against a version of a quiet service that is slow for half of its calls and
// that is found only after more calls than an unjudged version may get. One front judges
// a quarter of 30 calls a second.
func TestHalfSlowVersionOfQuietServiceIsFound(t *testing.T) {
	const (
		n            = 200
		allowedCalls = 50
		callInterval = 133 * time.Millisecond
	)
	late := 0
	for seed := range uint64(n) {
		j, attempts := NewJudge("v1", "v2", DefaultLimits()), newTraffic(seed+70000)
		attempts.newShare, attempts.groups = 0.16, 2
		found := false
		for attempts.newSamples < allowedCalls && !found {
			s := attempts.next(nil)
			attempts.now = attempts.now.Add(callInterval)
			s.PrefillTokens = 0
			s.Latency = time.Duration(30 * math.Exp(0.5*attempts.rng.NormFloat64()) * float64(time.Millisecond))
			if s.Version == "v2" && attempts.rng.Float64() < 0.5 {
				s.Latency *= 7
			}
			found = j.Add(s) != nil
		}
		if !found {
			late++
		}
	}
	require.Zero(t, late, "versions that were not found, of %d", n)
}
