package rollout

import (
	"math"
	"math/bits"
	"time"
)

// groupTest holds the tests of one group of calls.
type groupTest struct {
	group     CallGroup
	threshold float64
	samples   uint64
	// pairedErrors is the test for more errors than on the old version in the same
	// period.
	pairedErrors evidence
	// errorsAboveFloor is the test for more errors than ErrorFloor accepts.
	errorsAboveFloor evidence
	// unpairedErrors is the test for an error rate above that of all attempts on the
	// old version so far. Only samples without a recent pair are added to it.
	unpairedErrors evidence
	latency        evidence
	oldOutcomes    recentStack[bool]
	oldAttempts    float64
	oldErrors      float64
	latencies      map[int]*oldLatencies
}

// oldLatencies holds latencies of the old version for one bucket of prefill
// sizes.
type oldLatencies struct {
	// unpairedLatencies holds the latencies that have not been used in a pair yet.
	unpairedLatencies recentStack[time.Duration]
	// lastLatencies is a circular buffer of the last latencies, for the comparison
	// without pairs. count is the number of latencies written, and nextIndex the
	// number of latencies read for comparisons.
	lastLatencies [maxOldSamples]time.Duration
	count         int
	nextIndex     int
}

// paceBucket is the bucket of times between events.
const paceBucket = -1

// latencyBucket returns the bucket of a sample. Latencies are compared only within a
// bucket.
func latencyBucket(s Sample) int {
	if s.Group.Pace {
		return paceBucket
	}
	return prefillBucket(s.PrefillTokens)
}

// prefillBucket groups attempts whose numbers of prefill tokens differ by less than
// a factor of two.
func prefillBucket(tokens int) int { return bits.Len(uint(max(tokens, 0))) }

func (r *groupTest) addOld(s Sample) {
	if !s.LatencyOnly {
		r.addOldOutcome(s)
	}
	if s.Failed || s.Latency <= 0 {
		return
	}
	bucket := latencyBucket(s)
	l := r.latencies[bucket]
	if l == nil {
		l = new(oldLatencies)
		r.latencies[bucket] = l
	}
	l.unpairedLatencies.push(s.Latency, s.FinishedAt)
	l.lastLatencies[l.count%maxOldSamples] = s.Latency
	l.count++
}

func (r *groupTest) addOldOutcome(s Sample) {
	r.oldAttempts++
	if s.Failed {
		r.oldErrors++
	}
	r.oldOutcomes.push(s.Failed, s.FinishedAt)
}

func (r *groupTest) addNew(s Sample, limits Limits) *Finding {
	r.samples++
	if !s.LatencyOnly {
		r.addOutcome(s, limits)
	}
	if !s.Failed && s.Latency > 0 {
		r.addLatency(s, limits)
	}
	return r.finding()
}

func (r *groupTest) addOutcome(s Sample, limits Limits) {
	r.errorsAboveFloor.add(s.Failed, limits.ErrorFloor)
	oldFailed, ok := r.oldOutcomes.pop(s.FinishedAt, limits.PairWindow)
	if !ok {
		r.unpairedErrors.add(s.Failed, r.referenceRate(limits))
		return
	}
	// Pairs with equal outcomes do not show which version is worse. Among the
	// others, the share in which the new version failed is at most ratio/(1+ratio)
	// if the version is no worse.
	if oldFailed != s.Failed {
		r.pairedErrors.add(s.Failed, limits.ErrorRatio/(1+limits.ErrorRatio))
	}
}

// referenceRate returns the error rate that is accepted without a recent pair.
func (r *groupTest) referenceRate(limits Limits) float64 {
	rate := limits.ErrorRatio * upperBound(r.oldErrors, r.oldAttempts)
	return min(max(rate, limits.ErrorFloor), limits.ErrorCeiling)
}

// upperBound returns the upper end of the Wilson score interval of a proportion.
func upperBound(events, n float64) float64 {
	if n == 0 {
		return 1
	}
	z2 := referenceZ * referenceZ
	p := events / n
	spread := referenceZ * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return (p + z2/(2*n) + spread) / (1 + z2/n)
}

func (r *groupTest) addLatency(s Sample, limits Limits) {
	l := r.latencies[latencyBucket(s)]
	if l == nil {
		return
	}
	oldLatency, ok := l.unpairedLatencies.pop(s.FinishedAt, limits.PairWindow)
	if !ok {
		if l.count < minReferenceLatencies {
			return
		}
		oldLatency = l.lastLatencies[l.nextIndex%min(l.count, maxOldSamples)]
		l.nextIndex++
	}
	limit := time.Duration(limits.SlowFactor*float64(oldLatency)) + limits.SlowOffset
	r.latency.add(s.Latency > limit, maxSlowerProbability)
}

// errorEvidence returns the evidence on errors. A finding in pairs needs both: more
// errors than the old version and more errors than the floor.
func (r *groupTest) errorEvidence() float64 {
	pairedEvidence := min(r.pairedErrors.value(), r.errorsAboveFloor.value())
	return max(pairedEvidence, r.unpairedErrors.value())
}

// value returns the strongest evidence of the group.
func (r *groupTest) value() float64 { return max(r.errorEvidence(), r.latency.value()) }

func (r *groupTest) finding() *Finding {
	if errorEvidence := r.errorEvidence(); errorEvidence >= r.threshold {
		return r.newFinding(SignalErrors, errorEvidence)
	}
	if latencyEvidence := r.latency.value(); latencyEvidence >= r.threshold {
		return r.newFinding(SignalLatency, latencyEvidence)
	}
	return nil
}

func (r *groupTest) newFinding(signal Signal, value float64) *Finding {
	return &Finding{Group: r.group, Signal: signal, Samples: r.samples, Evidence: value, Threshold: r.threshold}
}

// recentStack is a bounded stack that stores the last maxOldSamples values.
type recentStack[T any] struct {
	values [maxOldSamples]T
	times  [maxOldSamples]time.Time
	top, n int
}

func (s *recentStack[T]) push(v T, at time.Time) {
	s.values[s.top] = v
	s.times[s.top] = at
	s.top = (s.top + 1) % maxOldSamples
	s.n = min(s.n+1, maxOldSamples)
}

// pop removes and returns the newest value unless it is older than the window.
func (s *recentStack[T]) pop(now time.Time, window time.Duration) (T, bool) {
	var zero T
	if s.n == 0 {
		return zero, false
	}
	last := (s.top + maxOldSamples - 1) % maxOldSamples
	if now.Sub(s.times[last]) > window {
		return zero, false
	}
	s.top = last
	s.n--
	return s.values[last], true
}
