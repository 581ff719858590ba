package rollout

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func failEvery(_ int, _ *rand.Rand, s *Sample) { s.Failed = true }

// Guards against blocks whose error rate is understated: the test for hard
// failures alone must keep its rate for any failure rate that both versions
// share, also when it changes.
func TestHardFailuresFalseAlarmRate(t *testing.T) {
	const stated, n = 0.05, 2000
	cases := map[string]struct {
		rate  float64
		other float64 // rate of every second period of 200 calls
		ratio float64 // new version's rate over the old one's
	}{
		"few errors":       {rate: 0.005, other: 0.005, ratio: 1},
		"at the floor":     {rate: 0.005, other: 0.005, ratio: 4},
		"worst rate":       {rate: 0.06, other: 0.06, ratio: 1.25},
		"a third fails":    {rate: 0.3, other: 0.3, ratio: 1},
		"changing failure": {rate: 0.005, other: 0.9, ratio: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			alarms := 0
			for seed := range uint64(n) {
				var h hardFailures
				w := newTraffic(seed + 20000)
				for i := range 1000 {
					w.errors = tc.rate
					if i/200%2 == 1 {
						w.errors = tc.other
					}
					rate := w.errors * tc.ratio
					s := w.next(func(_ int, rng *rand.Rand, s *Sample) { s.Failed = rng.Float64() < rate })
					if s.Version == "v1" {
						h.old(s.Failed, s.FinishedAt, DefaultLimits())
					} else {
						h.add(s.Failed, s.FinishedAt, DefaultLimits())
					}
					if h.stake >= 1/stated {
						alarms++
						break
					}
				}
			}
			t.Logf("%d alarms in %d runs", alarms, n)
			require.LessOrEqual(t, float64(alarms), stated*n)
		})
	}
}

// Guards against a disturbance of both versions that is blamed on the new one
// when it starts and ends suddenly, and against good calls that hide a hard failure.
func TestHardFailures(t *testing.T) {
	const n = 500
	t.Run("sudden disturbance", func(t *testing.T) {
		for seed := range uint64(n) {
			j, w := NewJudge("v1", "v2", DefaultLimits()), newTraffic(seed+30000)
			for i := range 2000 {
				// Five in every 30 calls fail on both versions.
				w.errors = 0.005
				if i%30 >= 25 {
					w.errors = 1
				}
				require.Nil(t, j.Add(w.next(nil)))
			}
		}
	})
	t.Run("start of a disturbance", func(t *testing.T) {
		// The new version's first call of the disturbance comes before any of the
		// old one's.
		var h hardFailures
		at := newTraffic(0).now
		for range 20 {
			h.old(false, at, DefaultLimits())
		}
		h.add(true, at, DefaultLimits())
		h.old(true, at, DefaultLimits())
		h.old(true, at, DefaultLimits())
		require.Less(t, h.stake, 1.0)
	})
	for name, good := range map[string]int{"at once": 0, "later": 300} {
		t.Run(name, func(t *testing.T) {
			// 20 samples are a third of the bound for errors in pairs. The mean may
			// be half of it.
			sum, most := 0, 0
			for seed := range uint64(n) {
				j, w := NewJudge("v1", "v2", DefaultLimits()), newTraffic(seed+40000)
				w.share = 0.08
				run(j, w, nil, good)
				samples, finding := run(j, w, failEvery, 100)
				require.NotNil(t, finding)
				sum, most = sum+samples, max(most, samples)
			}
			t.Logf("mean %.1f samples, at most %d", float64(sum)/n, most)
			require.LessOrEqual(t, most, 20)
			require.LessOrEqual(t, sum, 10*n)
		})
	}
}
