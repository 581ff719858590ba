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

// fault modifies the n-th sample of the new version.
type fault func(n int, rng *rand.Rand, s *Sample)

// traffic generates 50 attempts per second in several call groups of one model.
type traffic struct {
	rng        *rand.Rand
	newShare   float64
	errorRate  float64
	groups     int
	now        time.Time
	newSamples int
}

func newTraffic(seed uint64) *traffic {
	return &traffic{
		rng: rand.New(rand.NewPCG(seed, 7)), newShare: 0.15, errorRate: 0.005, groups: 4,
		now: time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC),
	}
}

// next returns the next attempt. Its latency is log-normal and proportional to its
// number of prefill tokens.
func (c *traffic) next(f fault) Sample {
	c.now = c.now.Add(20 * time.Millisecond)
	s := Sample{Version: "v1", FinishedAt: c.now, PrefillTokens: 100 << c.rng.IntN(4)}
	s.Group = CallGroup{Workspace: core.WorkspaceID(strconv.Itoa(c.rng.IntN(c.groups))), Class: core.Urgent}
	s.Latency = time.Duration(float64(s.PrefillTokens) * math.Exp(0.5*c.rng.NormFloat64()) * float64(time.Millisecond))
	s.Failed = c.rng.Float64() < c.errorRate
	if c.rng.Float64() < c.newShare {
		s.Version = "v2"
		c.newSamples++
		if f != nil {
			f(c.newSamples, c.rng, &s)
		}
	}
	return s
}

// run adds attempts to the judge until the new version has received the given number
// of samples or is found bad. It returns the number of samples of the new version.
func run(j *Judge, attempts *traffic, f fault, samples int) (int, *Finding) {
	start := attempts.newSamples
	for attempts.newSamples-start < samples {
		if finding := j.Add(attempts.next(f)); finding != nil {
			return attempts.newSamples - start, finding
		}
	}
	return samples, nil
}

func runCount(t *testing.T, fallback int) int {
	n, err := strconv.Atoi(os.Getenv("ROLLOUT_RUNS"))
	if err != nil {
		return fallback
	}
	t.Logf("ROLLOUT_RUNS=%d", n)
	return n
}

// Guards against good versions that are withdrawn: with a false alarm rate of
// 0.05 the measured rate must not exceed it, both next to the old version and
// after the promotion.
func TestFalseAlarmRate(t *testing.T) {
	cases := map[string]struct {
		f         fault
		errorRate float64
		promoted  bool
	}{
		"same version":        {errorRate: 0.005},
		"many errors on both": {errorRate: 0.3},
		"accepted slowness":   {errorRate: 0.005, f: func(_ int, _ *rand.Rand, s *Sample) { s.Latency = s.Latency * 6 / 5 }},
		"slowness at the limit": {errorRate: 0.005, f: func(_ int, _ *rand.Rand, s *Sample) {
			s.Latency = s.Latency*3/2 + 10*time.Millisecond
		}},
		"errors at the limit": {errorRate: 0.2, f: func(_ int, rng *rand.Rand, s *Sample) {
			// The failure rate 5/21 corresponds to odds of 5/16, which are 1.25 times the
			// odds of the old version: its failure rate 0.2 corresponds to odds of 1/4.
			s.Failed = rng.Float64() < 5.0/21
		}},
		"after promotion":        {errorRate: 0.005, promoted: true},
		"errors after promotion": {errorRate: 0.1, promoted: true},
	}
	const limit = 0.05
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			n, alarms := runCount(t, 60), 0
			for seed := range n {
				limits := DefaultLimits()
				limits.FalseAlarmRate = limit
				j := NewJudge("v1", "v2", limits)
				attempts := newTraffic(uint64(seed))
				attempts.errorRate = tc.errorRate
				_, finding := run(j, attempts, tc.f, 300)
				if finding == nil && tc.promoted {
					attempts.newShare = 1
					_, finding = run(j, attempts, tc.f, 1000)
				}
				if finding != nil {
					alarms++
				}
			}
			t.Logf("%d alarms in %d runs", alarms, n)
			require.LessOrEqual(t, float64(alarms), limit*float64(n))
		})
	}
}

// Guards against bad versions that remain in service: at the default false alarm
// rate, each kind of fault must be found within the given number of samples of
// the new version in at least 95 of 100 runs.
func TestSamplesToDetect(t *testing.T) {
	fails := func(rate float64) fault {
		return func(_ int, rng *rand.Rand, s *Sample) { s.Failed = s.Failed || rng.Float64() < rate }
	}
	slow := func(_ int, _ *rand.Rand, s *Sample) { s.Latency *= 3 }
	cases := []struct {
		name        string
		f           fault
		goodSamples int
		promoted    bool
		signal      Signal
		bound       int
	}{
		{name: "fails at once", f: fails(1), signal: SignalErrors, bound: 60},
		{name: "a fifth fails", f: fails(0.2), signal: SignalErrors, bound: 300},
		{name: "fails later", f: fails(1), goodSamples: 2000, signal: SignalErrors, bound: 100},
		{name: "fails after promotion", f: fails(1), goodSamples: 300, promoted: true, signal: SignalErrors, bound: 200},
		{name: "slow", f: slow, signal: SignalLatency, bound: 300},
		{name: "slow later", f: slow, goodSamples: 1000, signal: SignalLatency, bound: 400},
		{name: "slow after promotion", f: slow, goodSamples: 300, promoted: true, signal: SignalLatency, bound: 400},
		{name: "one route fails", signal: SignalErrors, bound: 400, f: func(_ int, _ *rand.Rand, s *Sample) {
			s.Failed = s.Failed || s.Group.Workspace == "2"
		}},
		{name: "fails under load", signal: SignalErrors, bound: 400, f: func(n int, _ *rand.Rand, s *Sample) {
			// In every 60 attempts, a burst of 20 fills the upstream and half of it fails.
			s.Failed = s.Failed || (n%60 < 20 && n%2 == 0)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			n, lateRuns, sum := runCount(t, 20), 0, 0
			for seed := range n {
				j := NewJudge("v1", "v2", DefaultLimits())
				attempts := newTraffic(uint64(seed) + 1000)
				_, earlyFinding := run(j, attempts, nil, tc.goodSamples)
				require.Nil(t, earlyFinding)
				if tc.promoted {
					attempts.newShare = 1
				}
				samples, finding := run(j, attempts, tc.f, 4*tc.bound)
				sum += samples
				if finding == nil || samples > tc.bound {
					lateRuns++
					continue
				}
				require.Equal(t, tc.signal, finding.Signal)
			}
			t.Logf("mean %d samples, %d of %d runs later than %d", sum/n, lateRuns, n, tc.bound)
			require.LessOrEqual(t, float64(lateRuns), 0.05*float64(n))
		})
	}
}

// Guards against a finding on the new version when both versions fail at the same
// rate for some time.
func TestCommonDisturbanceIsNoFinding(t *testing.T) {
	for seed := range runCount(t, 20) {
		j := NewJudge("v1", "v2", DefaultLimits())
		attempts := newTraffic(uint64(seed) + 5000)
		_, finding := run(j, attempts, nil, 200)
		require.Nil(t, finding)
		attempts.errorRate = 0.9
		_, finding = run(j, attempts, nil, 200)
		require.Nil(t, finding)
		attempts.errorRate = 0.005
		_, finding = run(j, attempts, nil, 200)
		require.Nil(t, finding)
	}
}

// Guards against memory use that grows with the number of call groups.
func TestGroupsAreBounded(t *testing.T) {
	j := NewJudge("v1", "v2", DefaultLimits())
	for i := range 2 * maxGroups {
		j.Add(Sample{Version: "v2", Group: CallGroup{Workspace: core.WorkspaceID(strconv.Itoa(i))}})
	}
	require.Len(t, j.groups, maxGroups)
	require.EqualValues(t, 2*maxGroups, j.Samples())
}

func BenchmarkAdd(b *testing.B) {
	j := NewJudge("v1", "v2", DefaultLimits())
	attempts := newTraffic(1)
	for b.Loop() {
		j.Add(attempts.next(nil))
	}
}
