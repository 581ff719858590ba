package rollout

import (
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// fault changes the n-th sample of the new version.
type fault func(n int, rng *rand.Rand, s *Sample)

// traffic is a stream of calls at 50 calls a second on routes of one model.
type traffic struct {
	rng    *rand.Rand
	share  float64
	errors float64
	routes int
	now    time.Time
	n      int
}

func newTraffic(seed uint64) *traffic {
	return &traffic{
		rng: rand.New(rand.NewPCG(seed, 7)), share: 0.15, errors: 0.005, routes: 4,
		now: time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC),
	}
}

// next returns the next call. Latency is log-normal, proportional to work.
func (w *traffic) next(f fault) Sample {
	w.now = w.now.Add(20 * time.Millisecond)
	s := Sample{Version: "v1", FinishedAt: w.now, PrefillTokens: 100 << w.rng.IntN(4)}
	s.Route = Route{Workspace: core.WorkspaceID(strconv.Itoa(w.rng.IntN(w.routes))), Class: core.Urgent}
	s.Latency = time.Duration(float64(s.PrefillTokens) * math.Exp(0.5*w.rng.NormFloat64()) * float64(time.Millisecond))
	s.Failed = w.rng.Float64() < w.errors
	if w.rng.Float64() < w.share {
		s.Version = "v2"
		w.n++
		if f != nil {
			f(w.n, w.rng, &s)
		}
	}
	return s
}

// run feeds calls until the new version has had that many samples, or is found
// bad, and returns the number of its samples.
func run(j *Judge, w *traffic, f fault, samples int) (int, *Finding) {
	start := w.n
	for w.n-start < samples {
		if finding := j.Add(w.next(f)); finding != nil {
			return w.n - start, finding
		}
	}
	return samples, nil
}

func runs(t *testing.T, fallback int) int {
	n, err := strconv.Atoi(os.Getenv("ROLLOUT_RUNS"))
	if err != nil {
		return fallback
	}
	t.Logf("ROLLOUT_RUNS=%d", n)
	return n
}

// Guards against good versions that are withdrawn: at a stated rate of 0.05 the
// measured rate must stay below it, both next to the old version and alone.
func TestFalseAlarmRate(t *testing.T) {
	cases := map[string]struct {
		f        fault
		errors   float64
		promoted bool
	}{
		"same version":        {errors: 0.005},
		"many errors on both": {errors: 0.3},
		"accepted slowness":   {errors: 0.005, f: func(_ int, _ *rand.Rand, s *Sample) { s.Latency = s.Latency * 6 / 5 }},
		"slowness at the limit": {errors: 0.005, f: func(_ int, _ *rand.Rand, s *Sample) {
			s.Latency = s.Latency*3/2 + 10*time.Millisecond
		}},
		"errors at the limit": {errors: 0.2, f: func(_ int, rng *rand.Rand, s *Sample) {
			// Odds of 5/16 are 1.25 times the old version's 1/4.
			s.Failed = rng.Float64() < 5.0/21
		}},
		"after promotion":        {errors: 0.005, promoted: true},
		"errors after promotion": {errors: 0.1, promoted: true},
	}
	const stated = 0.05
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n, alarms := runs(t, 60), 0
			for seed := range n {
				limits := DefaultLimits()
				limits.FalseAlarmRate = stated
				j := NewJudge("v1", "v2", limits)
				w := newTraffic(uint64(seed))
				w.errors = tc.errors
				_, finding := run(j, w, tc.f, 300)
				if finding == nil && tc.promoted {
					w.share = 1
					_, finding = run(j, w, tc.f, 1000)
				}
				if finding != nil {
					alarms++
				}
			}
			t.Logf("%d alarms in %d runs", alarms, n)
			require.LessOrEqual(t, float64(alarms), stated*float64(n))
		})
	}
}

// Guards against bad versions that stay: each kind of fault must be found
// within the stated number of the new version's samples in at least 95 of 100
// runs, at the default false alarm rate.
func TestSamplesToDetect(t *testing.T) {
	fails := func(rate float64) fault {
		return func(_ int, rng *rand.Rand, s *Sample) { s.Failed = s.Failed || rng.Float64() < rate }
	}
	slow := func(_ int, _ *rand.Rand, s *Sample) { s.Latency *= 3 }
	cases := []struct {
		name     string
		f        fault
		good     int
		promoted bool
		signal   Signal
		bound    int
	}{
		{name: "fails at once", f: fails(1), signal: SignalErrors, bound: 60},
		{name: "a fifth fails", f: fails(0.2), signal: SignalErrors, bound: 300},
		{name: "fails later", f: fails(1), good: 2000, signal: SignalErrors, bound: 100},
		{name: "fails after promotion", f: fails(1), good: 300, promoted: true, signal: SignalErrors, bound: 200},
		{name: "slow", f: slow, signal: SignalLatency, bound: 300},
		{name: "slow later", f: slow, good: 1000, signal: SignalLatency, bound: 400},
		{name: "slow after promotion", f: slow, good: 300, promoted: true, signal: SignalLatency, bound: 400},
		{name: "one route fails", signal: SignalErrors, bound: 400, f: func(_ int, _ *rand.Rand, s *Sample) {
			s.Failed = s.Failed || s.Route.Workspace == "2"
		}},
		{name: "fails under load", signal: SignalErrors, bound: 400, f: func(n int, _ *rand.Rand, s *Sample) {
			// A burst of 20 calls in every 60 fills the upstream and half of it fails.
			s.Failed = s.Failed || (n%60 < 20 && n%2 == 0)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n, late, sum := runs(t, 20), 0, 0
			for seed := range n {
				j := NewJudge("v1", "v2", DefaultLimits())
				w := newTraffic(uint64(seed) + 1000)
				_, early := run(j, w, nil, tc.good)
				require.Nil(t, early)
				if tc.promoted {
					w.share = 1
				}
				samples, finding := run(j, w, tc.f, 4*tc.bound)
				sum += samples
				if finding == nil || samples > tc.bound {
					late++
					continue
				}
				require.Equal(t, tc.signal, finding.Signal)
			}
			t.Logf("mean %d samples, %d of %d runs later than %d", sum/n, late, n, tc.bound)
			require.LessOrEqual(t, float64(late), 0.05*float64(n))
		})
	}
}

// Guards against a common disturbance that is blamed on the new version: for a
// while both versions fail and slow down alike.
func TestCommonDisturbanceIsNoFinding(t *testing.T) {
	for seed := range runs(t, 20) {
		j := NewJudge("v1", "v2", DefaultLimits())
		w := newTraffic(uint64(seed) + 5000)
		_, finding := run(j, w, nil, 200)
		require.Nil(t, finding)
		w.errors = 0.9
		_, finding = run(j, w, nil, 200)
		require.Nil(t, finding)
		w.errors = 0.005
		_, finding = run(j, w, nil, 200)
		require.Nil(t, finding)
	}
}

// Guards against memory that grows with the number of routes.
func TestRoutesAreBounded(t *testing.T) {
	j := NewJudge("v1", "v2", DefaultLimits())
	for i := range 2 * maxRoutes {
		j.Add(Sample{Version: "v2", Route: Route{Workspace: core.WorkspaceID(strconv.Itoa(i))}})
	}
	require.Len(t, j.routes, maxRoutes)
	require.EqualValues(t, 2*maxRoutes, j.Samples())
}

func BenchmarkAdd(b *testing.B) {
	j := NewJudge("v1", "v2", DefaultLimits())
	w := newTraffic(1)
	for b.Loop() {
		j.Add(w.next(nil))
	}
}
