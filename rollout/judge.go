package rollout

import (
	"fmt"
	"math"
	"math/bits"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// CallGroup identifies a group of calls that is judged separately. The zero value
// stands for all calls of the model or service.
type CallGroup struct {
	// RouteName is the name of the configured route, if the call has one.
	RouteName string
	Workspace core.WorkspaceID
	Adapter   core.AdapterID
	Class     core.Class
	// Pace is set for the time between events. The other figures of a call are judged
	// apart from it.
	Pace bool
}

// String returns the group as shown to operators.
func (r CallGroup) String() string {
	if r == (CallGroup{}) {
		return "all routes"
	}
	if r.Pace {
		return "route " + r.RouteName + ", time between events"
	}
	if r.RouteName != "" {
		return "route " + r.RouteName
	}
	return fmt.Sprintf("workspace %s, adapter %q, %s", r.Workspace, r.Adapter, r.Class)
}

// Sample is one finished attempt.
type Sample struct {
	Version core.WeightVersion
	Group   CallGroup
	// FinishedAt is the time at which the attempt finished. Samples are added to a
	// judge in the order of this time.
	FinishedAt time.Time
	// Failed is set when the upstream failed the attempt, returned a corrupt
	// response or exceeded the deadline. An attempt that was rejected before its
	// dispatch or cancelled by its caller is not a sample.
	Failed bool
	// Latency is the duration that is compared: the time from the dispatch to the
	// first token or byte, or the time per token. It is ignored when it is zero or
	// the attempt failed.
	Latency time.Duration
	// LatencyOnly is set when the outcome of the attempt is not known yet, or is the
	// subject of another sample.
	LatencyOnly bool
	// PrefillTokens is the number of prompt tokens that were computed, not read
	// from a cache. Latencies are compared only between attempts with similar
	// numbers. It is zero where latencies do not depend on it.
	PrefillTokens int
}

// Limits defines when a version counts as worse than the old one, and the
// confidence that a judge needs to report it.
type Limits struct {
	// FalseAlarmRate bounds the probability that one judge ever reports a finding
	// on a version that is no worse, over all its groups and signals. The
	// probabilities of several judges with separate samples add up.
	FalseAlarmRate float64
	// ErrorFloor is the error rate that is always accepted, from 0 to 1.
	ErrorFloor float64
	// ErrorRatio is the accepted ratio of the new version's odds of failure to those
	// of the old one. Without recent pairs it is applied to the error rates.
	ErrorRatio float64
	// ErrorCeiling limits the accepted error rate of samples without a recent pair,
	// as after the promotion, from 0 to 1.
	ErrorCeiling float64
	// SlowFactor and SlowOffset define when an attempt counts as slower than one on
	// the old version: latency > SlowFactor*old + SlowOffset.
	SlowFactor float64
	SlowOffset time.Duration
	// PairWindow is the maximum age at which a sample of the old version counts as
	// one from the same period as a sample of the new version.
	PairWindow time.Duration
}

// DefaultLimits returns the default limits, with a false alarm rate of 1e-4.
func DefaultLimits() Limits {
	return Limits{
		FalseAlarmRate: 1e-4,
		ErrorFloor:     0.02,
		ErrorRatio:     1.25,
		ErrorCeiling:   0.25,
		SlowFactor:     1.5,
		SlowOffset:     10 * time.Millisecond,
		PairWindow:     3 * time.Second,
	}
}

// Signal is a property of attempts on which a version is judged.
type Signal string

// Signals.
const (
	SignalErrors  Signal = "errors"
	SignalLatency Signal = "latency"
)

// Finding is the statistical result that shows that a version is bad.
type Finding struct {
	Group   CallGroup
	Signal  Signal
	Samples uint64
	// Evidence is the value of the test. Threshold is the value at which the test
	// reports a finding.
	Evidence  float64
	Threshold float64
}

// String describes the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s worse than the old version on %s after %d samples (evidence %.3g, threshold %.3g)",
		f.Signal, f.Group, f.Samples, f.Evidence, f.Threshold)
}

const (
	// maxGroups bounds the memory of a judge. Calls of further groups are judged
	// only as part of all calls together.
	maxGroups = 1024
	// maxOldSamples is the maximum number of samples of the old version that are
	// stored for pairing.
	maxOldSamples = 64
	// minReferenceLatencies is the minimum number of latencies of the old version in
	// a prefill bucket for a comparison without a recent pair, as when the old
	// version has no traffic.
	minReferenceLatencies = 32
	// testsPerGroup is the number of tests that can raise an alarm on one group:
	// errors in pairs, errors against the reference rate, and latency.
	testsPerGroup = 3
	// maxSlowerProbability is the accepted probability that an attempt on the new
	// version counts as slower than its pair.
	maxSlowerProbability = 0.5
	// referenceZ is the width of the upper confidence bound on the old version's
	// error rate, in standard deviations.
	referenceZ = 4.0
)

// Judge compares a new version of a model or service with the old one. It pairs
// each sample of the new version with a recent sample of the old version in the
// same group, so that a disturbance of both versions does not count against the
// new one. When the old version has no recent samples, as after the promotion, the
// judge compares with the error rate of all its samples and with its last
// latencies.
type Judge struct {
	oldVersion, newVersion core.WeightVersion
	limits                 Limits
	groups                 map[CallGroup]*groupTest
	hardFailures           hardFailureTest
	hardSlowness           hardSlownessTest
	samples                uint64
	finding                *Finding
}

// NewJudge returns a judge that compares newVersion with oldVersion.
func NewJudge(oldVersion, newVersion core.WeightVersion, limits Limits) *Judge {
	j := &Judge{oldVersion: oldVersion, newVersion: newVersion, limits: limits, groups: make(map[CallGroup]*groupTest)}
	j.groupTestFor(CallGroup{})
	return j
}

// Samples returns the number of samples of the new version.
func (j *Judge) Samples() uint64 { return j.samples }

// Finding returns the first finding, or nil if there is none so far.
func (j *Judge) Finding() *Finding { return j.finding }

// Doubt returns the strongest evidence against the new version: for a version that is no
// worse, the probability that it ever reaches 1/a is at most a. A finding has the value
// 1/FalseAlarmRate.
func (j *Judge) Doubt() float64 {
	doubt := max(slowAlarmShare*j.hardSlowness.value(), hardAlarmShare*j.hardFailures.stake)
	for _, r := range j.groups {
		doubt = max(doubt, r.value()/(r.threshold*j.limits.FalseAlarmRate))
	}
	return doubt
}

// Add adds one sample and returns the first finding, or nil if there is none so
// far. Samples of other versions are ignored.
func (j *Judge) Add(s Sample) *Finding {
	switch s.Version {
	case j.oldVersion:
		j.addOld(s)
	case j.newVersion:
		j.samples++
		j.addNew(s)
	}
	return j.finding
}

func (j *Judge) addOld(s Sample) {
	for _, r := range j.groupTestsFor(s.Group) {
		r.addOld(s)
	}
	// An attempt on the old version may complete the block of an attempt on the new
	// one.
	j.hardSlowness.addOld(s, j.limits)
	j.checkHard(SignalLatency, j.hardSlowness.value(), slowAlarmShare)
	if !s.LatencyOnly {
		j.hardFailures.addOld(s.Failed, s.FinishedAt, j.limits)
		j.checkHard(SignalErrors, j.hardFailures.stake, hardAlarmShare)
	}
}

// checkHard reports a finding if the value of a test over all groups is large enough for
// its share of the false alarm rate.
func (j *Judge) checkHard(signal Signal, value, alarmShare float64) {
	if threshold := 1 / (alarmShare * j.limits.FalseAlarmRate); value >= threshold && j.finding == nil {
		j.finding = &Finding{Signal: signal, Samples: j.samples, Evidence: value, Threshold: threshold}
	}
}

func (j *Judge) addNew(s Sample) {
	j.hardSlowness.addNew(s, j.limits)
	if !s.LatencyOnly {
		j.hardFailures.addNew(s.Failed, s.FinishedAt, j.limits)
	}
	for _, r := range j.groupTestsFor(s.Group) {
		finding := r.addNew(s, j.limits)
		if finding != nil && j.finding == nil {
			j.finding = finding
		}
	}
}

// groupTestsFor returns the test of all calls together and the test of the given
// group, if there is one.
func (j *Judge) groupTestsFor(group CallGroup) []*groupTest {
	all := j.groupTestFor(CallGroup{})
	groupOnly := j.groupTestFor(group)
	if groupOnly == nil || groupOnly == all {
		return []*groupTest{all}
	}
	return []*groupTest{all, groupOnly}
}

// groupTestFor returns the test of a group. It creates the test if necessary, and
// returns nil if there are maxGroups already.
func (j *Judge) groupTestFor(group CallGroup) *groupTest {
	if r, ok := j.groups[group]; ok {
		return r
	}
	if len(j.groups) >= maxGroups {
		return nil
	}
	// The k-th group may use 1/(k(k+1)) of the false alarm rate that remains
	// beside the tests for hard failures and hard slowness. These fractions add up to at most one for
	// any number of groups.
	k := float64(len(j.groups) + 1)
	r := &groupTest{
		group:     group,
		threshold: testsPerGroup * k * (k + 1) / ((1 - hardAlarmShare - slowAlarmShare) * j.limits.FalseAlarmRate),
		latencies: make(map[int]*oldLatencies),
	}
	j.groups[group] = r
	return r
}

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
