package rollout

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// Guards against slow calls of both versions that are counted against the new one: the
// test for the share of slow calls alone must not exceed its false alarm rate, also when
// all or half of the calls of both versions become slow at times.
func TestSlowShareFalseAlarmRate(t *testing.T) {
	const limit, n = 0.05, 2000
	cases := map[string]struct {
		fault       fault
		disturbance float64 // factor in every second period of 200 attempts
		affected    float64 // share of attempts to which the disturbance applies
	}{
		"same version":            {fault: slowDown(1), disturbance: 1, affected: 1},
		"at the limit":            {fault: slowDown(1.5), disturbance: 1, affected: 1},
		"slow times on both":      {fault: slowDown(1), disturbance: 8, affected: 1},
		"slow times at the limit": {fault: slowDown(1.5), disturbance: 8, affected: 1},
		"half slow on both":       {fault: slowDown(1), disturbance: 8, affected: 0.5},
		"half slow at the limit":  {fault: slowDown(1.5), disturbance: 8, affected: 0.5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			alarms := 0
			for seed := range uint64(n) {
				var test slowShareTest
				attempts := newTraffic(seed + 95000)
				for i := range 1000 {
					s := attempts.next(tc.fault)
					if i/200%2 == 1 && attempts.rng.Float64() < tc.affected {
						s.Latency = time.Duration(float64(s.Latency) * tc.disturbance)
					}
					test.add(s, s.Version == "v2", DefaultLimits())
					if test.value() >= 1/limit {
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

// quietServiceDoubt returns the largest doubt that a judge has within the given number
// of calls on a version that is slow for half of its calls. The judge gets a quarter of
// 30 calls a second.
func quietServiceDoubt(seed uint64, calls int) float64 {
	const callInterval = 133 * time.Millisecond
	j, attempts := NewJudge("v1", "v2", DefaultLimits()), newTraffic(seed)
	attempts.newShare, attempts.groups = 0.16, 2
	doubt := 0.0
	for attempts.newSamples < calls {
		s := attempts.next(nil)
		attempts.now = attempts.now.Add(callInterval)
		s.PrefillTokens = 0
		s.Latency = time.Duration(30 * math.Exp(0.5*attempts.rng.NormFloat64()) * float64(time.Millisecond))
		if s.Version == "v2" && attempts.rng.Float64() < 0.5 {
			s.Latency *= 7
		}
		j.Add(s)
		doubt = max(doubt, j.Doubt())
	}
	return doubt
}

// Guards against a version of a quiet service that is slow for half of its calls and
// that raises no doubt, so that all calls are switched to it. The doubt from which fronts
// hold the cutover must be reached within 50 calls in at least 95 of 100 runs.
func TestHalfSlowVersionOfQuietServiceRaisesDoubt(t *testing.T) {
	const (
		n       = 400
		calls   = 50
		holding = 20.0
	)
	undoubted, unfound := 0, 0
	for seed := range uint64(n) {
		doubt := quietServiceDoubt(seed+80000, calls)
		if doubt < holding {
			undoubted++
		}
		if doubt < 1/DefaultLimits().FalseAlarmRate {
			unfound++
		}
	}
	t.Logf("%d of %d versions raised no doubt, %d were not found", undoubted, n, unfound)
	require.LessOrEqual(t, float64(undoubted), 0.05*n)
}

// Guards against times between events that count a call twice.
func TestSlowShareIgnoresPace(t *testing.T) {
	var test slowShareTest
	s := Sample{Version: "v2", Latency: time.Second, FinishedAt: newTraffic(0).now, Group: CallGroup{Pace: true}}
	test.add(s, true, DefaultLimits())
	require.Empty(t, test.calls)
}

// Guards against a good version that is held back because a tenth of its calls is slow,
// at random, and none of the old version's.
func TestFewSlowCallsRaiseNoFinding(t *testing.T) {
	const limit, n = 0.05, 2000
	alarms := 0
	for seed := range uint64(n) {
		var test slowShareTest
		attempts := newTraffic(seed + 97000)
		fewSlow := func(_ int, rng *rand.Rand, s *Sample) {
			s.Latency = 30 * time.Millisecond
			if rng.Float64() < slowShareFloor {
				s.Latency = time.Second
			}
		}
		for range 1000 {
			s := attempts.next(fewSlow)
			if s.Version == "v1" {
				s.Latency = 30 * time.Millisecond
			}
			test.add(s, s.Version == "v2", DefaultLimits())
			if test.value() >= 1/limit {
				alarms++
				break
			}
		}
	}
	t.Logf("%d alarms in %d runs", alarms, n)
	require.LessOrEqual(t, float64(alarms), limit*n)
}

// Guards against a version at the accepted share of slow calls that is withdrawn more
// often than stated, because the floor is tested at a rate of its own.
func TestVersionAtTheFloorIsRarelyFound(t *testing.T) {
	const n = 2000
	found := 0
	for seed := range uint64(n) {
		j, attempts := NewJudge("v1", "v2", DefaultLimits()), newTraffic(seed+100000)
		attempts.errorRate = 0
		for range 1000 {
			s := attempts.next(nil)
			s.Latency = 30 * time.Millisecond
			if s.Version == "v2" && attempts.rng.Float64() < slowShareFloor {
				s.Latency = time.Second
			}
			if j.Add(s) != nil {
				found++
				break
			}
		}
	}
	t.Logf("%d of %d versions at the floor were found", found, n)
	require.LessOrEqual(t, float64(found), floorAlarmRate*n)
}

// Guards against a version that is slow for a third of its calls, beside none on the old
// one, and that is not found within 50 calls: they show which version the slow calls
// belong to, but not at the false alarm rate that their share exceeds the floor.
func TestThirdOfSlowCallsIsFound(t *testing.T) {
	const (
		newCalls   = 50
		oldCalls   = 5 // for each call on the new version
		slowPeriod = 3
	)
	j, now := NewJudge("v1", "v2", DefaultLimits()), newTraffic(0).now
	for i := range newCalls {
		for range oldCalls {
			now = now.Add(30 * time.Millisecond)
			j.Add(Sample{Version: "v1", FinishedAt: now, LatencyOnly: true, Latency: 30 * time.Millisecond})
		}
		now = now.Add(30 * time.Millisecond)
		s := Sample{Version: "v2", FinishedAt: now, LatencyOnly: true, Latency: 30 * time.Millisecond}
		if i%slowPeriod == 0 {
			s.Latency = time.Second
		}
		j.Add(s)
	}
	require.NotNil(t, j.Finding())
	require.Equal(t, SignalLatency, j.Finding().Signal)
}

// Guards against a version that is slow for half of its calls and that is not found within
// 50 calls because three fifths of the calls are on it: a slow call then tells little,
// unless the alternative takes the share of the new version into account.
func TestHalfSlowVersionIsFoundAtALargeShare(t *testing.T) {
	const newCalls = 50
	pattern := []core.WeightVersion{"v2", "v1", "v2", "v1", "v2"}
	j, now := NewJudge("v1", "v2", DefaultLimits()), newTraffic(0).now
	for range minSlowReference {
		j.Add(Sample{Version: "v1", FinishedAt: now, LatencyOnly: true, Latency: 30 * time.Millisecond})
	}
	for i := 0; j.Samples() < newCalls; i++ {
		now = now.Add(100 * time.Millisecond)
		s := Sample{Version: pattern[i%len(pattern)], FinishedAt: now, LatencyOnly: true, Latency: 30 * time.Millisecond}
		if s.Version == "v2" && j.Samples()%2 == 0 {
			s.Latency = time.Second
		}
		j.Add(s)
	}
	require.NotNil(t, j.Finding())
	require.Equal(t, SignalLatency, j.Finding().Signal)
}
