package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func failAll(_ int, _ *rand.Rand, s *Sample) { s.Failed = true }

// Guards against an understated bound on the event of a block: the test for hard
// failures alone must not exceed its false alarm rate for any failure rate that
// both versions have, also when the rate changes over time.
//
// The worst rate for blocks of maxBlockAttempts attempts is 1/(maxBlockAttempts+1),
// about 0.06, where the probability of the event is largest.
func TestHardFailuresFalseAlarmRate(t *testing.T) {
	const limit, n = 0.05, 2000
	cases := map[string]struct {
		rate      float64
		otherRate float64 // rate in every second period of 200 attempts
		rateRatio float64 // rate of the new version divided by that of the old one
	}{
		"few errors":       {rate: 0.005, otherRate: 0.005, rateRatio: 1},
		"at the floor":     {rate: 0.005, otherRate: 0.005, rateRatio: 4},
		"worst rate":       {rate: 0.06, otherRate: 0.06, rateRatio: 1.25},
		"a third fails":    {rate: 0.3, otherRate: 0.3, rateRatio: 1},
		"changing failure": {rate: 0.005, otherRate: 0.9, rateRatio: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			alarms := 0
			for seed := range uint64(n) {
				var h hardFailureTest
				attempts := newTraffic(seed + 20000)
				for i := range 1000 {
					attempts.errorRate = tc.rate
					if i/200%2 == 1 {
						attempts.errorRate = tc.otherRate
					}
					rate := attempts.errorRate * tc.rateRatio
					s := attempts.next(func(_ int, rng *rand.Rand, s *Sample) { s.Failed = rng.Float64() < rate })
					if s.Version == "v1" {
						h.addOld(s.Failed, s.FinishedAt, DefaultLimits())
					} else {
						h.addNew(s.Failed, s.FinishedAt, DefaultLimits())
					}
					if h.stake >= 1/limit {
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

// A disturbance of both versions that starts and ends suddenly must not count
// against the new one, and a hard failure must be found also after many good
// attempts.
func TestHardFailures(t *testing.T) {
	const n = 500
	t.Run("sudden disturbance", func(t *testing.T) {
		for seed := range uint64(n) {
			j, attempts := NewJudge("v1", "v2", DefaultLimits()), newTraffic(seed+30000)
			for i := range 2000 {
				// Five in every 30 attempts fail on both versions.
				attempts.errorRate = 0.005
				if i%30 >= 25 {
					attempts.errorRate = 1
				}
				require.Nil(t, j.Add(attempts.next(nil)))
			}
		}
	})
	t.Run("start of a disturbance", func(t *testing.T) {
		// The first attempt during the disturbance is on the new version, before any
		// attempt on the old one.
		var h hardFailureTest
		now := newTraffic(0).now
		for range 20 {
			h.addOld(false, now, DefaultLimits())
		}
		h.addNew(true, now, DefaultLimits())
		h.addOld(true, now, DefaultLimits())
		h.addOld(true, now, DefaultLimits())
		require.Less(t, h.stake, 1.0)
	})
	for name, goodSamples := range map[string]int{"at once": 0, "later": 300} {
		t.Run(name, func(t *testing.T) {
			// 20 samples are a third of the bound of the case "fails at once" in
			// TestSamplesToDetect. The mean may be at most half of 20.
			sum, maxSamples := 0, 0
			for seed := range uint64(n) {
				j, attempts := NewJudge("v1", "v2", DefaultLimits()), newTraffic(seed+40000)
				attempts.newShare = 0.08
				run(j, attempts, nil, goodSamples)
				samples, finding := run(j, attempts, failAll, 100)
				require.NotNil(t, finding)
				sum, maxSamples = sum+samples, max(maxSamples, samples)
			}
			t.Logf("mean %.1f samples, at most %d", float64(sum)/n, maxSamples)
			require.LessOrEqual(t, maxSamples, 20)
			require.LessOrEqual(t, sum, 10*n)
		})
	}
}
