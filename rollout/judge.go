package rollout

import (
	"fmt"
	"math"
	"math/bits"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Route is a group of calls that is judged separately. The zero Route stands for
// all calls of the model together.
type Route struct {
	// Name is the name of the configured route, if the call has one.
	Name      string
	Workspace core.WorkspaceID
	Adapter   core.AdapterID
	Class     core.Class
}

// String returns the route as shown to operators.
func (r Route) String() string {
	if r == (Route{}) {
		return "all routes"
	}
	if r.Name != "" {
		return "route " + r.Name
	}
	return fmt.Sprintf("workspace %s, adapter %q, %s", r.Workspace, r.Adapter, r.Class)
}

// Sample is one finished call.
type Sample struct {
	Version core.WeightVersion
	Route   Route
	// FinishedAt is the time at which the call finished. Samples are added to a
	// judge in the order of this time.
	FinishedAt time.Time
	// Failed is set when the engine failed the call or returned a corrupt
	// response. A call that was rejected before its dispatch to the engine or
	// cancelled by its caller is not a sample.
	Failed bool
	// Latency is the time from the dispatch to the first token. It is ignored when
	// it is zero or the call failed.
	Latency time.Duration
	// PrefillTokens is the number of prompt tokens that were computed, not read
	// from a cache. Latencies are compared only between calls with similar numbers.
	PrefillTokens int
}

// Limits defines when a version counts as worse than the old one, and the
// confidence that a judge needs to report it.
type Limits struct {
	// FalseAlarmRate bounds the probability that one judge ever reports a finding
	// on a version that is no worse, over all its routes and signals. The
	// probabilities of several judges with separate samples add up.
	FalseAlarmRate float64
	// ErrorFloor is the error rate that is always accepted, from 0 to 1.
	ErrorFloor float64
	// ErrorRatio is the accepted error rate relative to that of the old version.
	ErrorRatio float64
	// ErrorCeiling is the maximum accepted error rate when there is no old version
	// left to compare with, from 0 to 1.
	ErrorCeiling float64
	// SlowFactor and SlowOffset define when a call counts as slower than a call
	// on the old version: latency > SlowFactor*old + SlowOffset.
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

// Signal is a property of calls on which a version is judged.
type Signal string

// Signals.
const (
	SignalErrors  Signal = "errors"
	SignalLatency Signal = "latency"
)

// Finding is the statistical result that shows that a version is bad.
type Finding struct {
	Route   Route
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
		f.Signal, f.Route, f.Samples, f.Evidence, f.Threshold)
}

const (
	// maxRoutes bounds the memory of a judge. Calls of further routes are judged
	// only as part of all routes together.
	maxRoutes = 1024
	// maxOldSamples is the maximum number of samples of the old version that are
	// stored for pairing.
	maxOldSamples = 64
	// minReferenceSamples is the minimum number of samples of the old version for
	// a comparison without recent pairs, when the old version has no traffic.
	minReferenceSamples = 32
	// testsPerRoute is the number of tests that can raise an alarm on one route:
	// errors in pairs, errors against the reference rate, and latency.
	testsPerRoute = 3
	// evenOdds is the accepted probability that a call on the new version is slower
	// than its pair.
	evenOdds = 0.5
	// referenceZ is the width of the upper confidence bound on the old version's
	// error rate, in standard deviations.
	referenceZ = 4.0
)

// Judge compares a new version of one model with the old one. It pairs each
// sample of the new version with a recent sample of the old version on the same
// route, so that a disturbance of both versions does not count against the new
// one. When the old version has no recent samples, as after the promotion, the
// judge compares with the last samples of the old version.
type Judge struct {
	from, to core.WeightVersion
	limits   Limits
	routes   map[Route]*routeTest
	hard     hardFailureTest
	samples  uint64
	finding  *Finding
}

// NewJudge returns a judge that compares the version to with the version from.
func NewJudge(from, to core.WeightVersion, limits Limits) *Judge {
	j := &Judge{from: from, to: to, limits: limits, routes: make(map[Route]*routeTest)}
	j.test(Route{})
	return j
}

// Samples returns the number of samples of the new version.
func (j *Judge) Samples() uint64 { return j.samples }

// Finding returns the first finding, or nil if there is none so far.
func (j *Judge) Finding() *Finding { return j.finding }

// Add adds one sample and returns the first finding, or nil if there is none so
// far. Samples of other versions are ignored.
func (j *Judge) Add(s Sample) *Finding {
	switch s.Version {
	case j.from:
		j.addOld(s)
	case j.to:
		j.samples++
		j.addNew(s)
	}
	return j.finding
}

func (j *Judge) addOld(s Sample) {
	for _, r := range j.tests(s.Route) {
		r.addOld(s)
	}
	// A call on the old version may complete the block of a call on the new one.
	j.hard.addOld(s.Failed, s.FinishedAt, j.limits)
	if threshold := 1 / (hardAlarmShare * j.limits.FalseAlarmRate); j.hard.stake >= threshold && j.finding == nil {
		j.finding = &Finding{Signal: SignalErrors, Samples: j.samples, Evidence: j.hard.stake, Threshold: threshold}
	}
}

func (j *Judge) addNew(s Sample) {
	j.hard.addNew(s.Failed, s.FinishedAt, j.limits)
	for _, r := range j.tests(s.Route) {
		finding := r.addNew(s, j.limits)
		if finding != nil && j.finding == nil {
			j.finding = finding
		}
	}
}

// tests returns the test of all routes together and the test of the given route.
func (j *Judge) tests(route Route) []*routeTest {
	all := j.test(Route{})
	byRoute := j.test(route)
	if byRoute == nil || byRoute == all {
		return []*routeTest{all}
	}
	return []*routeTest{all, byRoute}
}

func (j *Judge) test(route Route) *routeTest {
	if r, ok := j.routes[route]; ok {
		return r
	}
	if len(j.routes) >= maxRoutes {
		return nil
	}
	// The k-th route may use 1/(k(k+1)) of the false alarm rate that remains
	// beside the test for hard failures. These fractions add up to at most one for
	// any number of routes.
	k := float64(len(j.routes) + 1)
	r := &routeTest{
		route:     route,
		threshold: testsPerRoute * k * (k + 1) / ((1 - hardAlarmShare) * j.limits.FalseAlarmRate),
		latencies: make(map[int]*oldLatencies),
	}
	j.routes[route] = r
	return r
}

// routeTest holds the tests of one route.
type routeTest struct {
	route     Route
	threshold float64
	samples   uint64
	// paired tests for more errors than on the old version in the same period.
	paired evidence
	// aboveFloor tests for more errors than ErrorFloor accepts.
	aboveFloor evidence
	// reference tests for an error rate above that of all calls on the old version
	// so far. It adds the calls that have no recent pair.
	reference   evidence
	latency     evidence
	oldOutcomes recentStack[bool]
	oldCalls    float64
	oldErrors   float64
	latencies   map[int]*oldLatencies
}

// oldLatencies holds latencies of the old version for one bucket of prefill
// sizes.
type oldLatencies struct {
	unpaired recentStack[time.Duration]
	// reference holds the last latencies for the comparison without pairs, n the
	// number of latencies added and nextReference the position of the next one to
	// compare with.
	reference     [maxOldSamples]time.Duration
	n             int
	nextReference int
}

// prefillBucket groups calls whose numbers of prefill tokens differ by less than
// a factor of two.
func prefillBucket(tokens int) int { return bits.Len(uint(max(tokens, 0))) }

func (r *routeTest) addOld(s Sample) {
	r.oldCalls++
	if s.Failed {
		r.oldErrors++
	}
	r.oldOutcomes.push(s.Failed, s.FinishedAt)
	if s.Failed || s.Latency <= 0 {
		return
	}
	bucket := prefillBucket(s.PrefillTokens)
	l := r.latencies[bucket]
	if l == nil {
		l = new(oldLatencies)
		r.latencies[bucket] = l
	}
	l.unpaired.push(s.Latency, s.FinishedAt)
	l.reference[l.n%maxOldSamples] = s.Latency
	l.n++
}

func (r *routeTest) addNew(s Sample, limits Limits) *Finding {
	r.samples++
	r.addOutcome(s, limits)
	if !s.Failed && s.Latency > 0 {
		r.addLatency(s, limits)
	}
	return r.result()
}

func (r *routeTest) addOutcome(s Sample, limits Limits) {
	r.aboveFloor.add(s.Failed, limits.ErrorFloor)
	oldFailed, ok := r.oldOutcomes.pop(s.FinishedAt, limits.PairWindow)
	if !ok {
		r.reference.add(s.Failed, r.referenceRate(limits))
		return
	}
	// Pairs with equal outcomes do not show which version is worse. Among the
	// others, the share in which the new version failed is at most ratio/(1+ratio)
	// if the version is no worse.
	if oldFailed != s.Failed {
		r.paired.add(s.Failed, limits.ErrorRatio/(1+limits.ErrorRatio))
	}
}

// referenceRate returns the error rate that is accepted without a recent pair.
func (r *routeTest) referenceRate(limits Limits) float64 {
	rate := limits.ErrorRatio * upperBound(r.oldErrors, r.oldCalls)
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

func (r *routeTest) addLatency(s Sample, limits Limits) {
	l := r.latencies[prefillBucket(s.PrefillTokens)]
	if l == nil {
		return
	}
	oldLatency, ok := l.unpaired.pop(s.FinishedAt, limits.PairWindow)
	if !ok {
		if l.n < minReferenceSamples {
			return
		}
		oldLatency = l.reference[l.nextReference%min(l.n, maxOldSamples)]
		l.nextReference++
	}
	limit := time.Duration(limits.SlowFactor*float64(oldLatency)) + limits.SlowOffset
	r.latency.add(s.Latency > limit, evenOdds)
}

func (r *routeTest) result() *Finding {
	// A finding in pairs needs both: more errors than the old version and more
	// errors than the floor.
	pairedErrors := min(r.paired.value(), r.aboveFloor.value())
	errorEvidence := max(pairedErrors, r.reference.value())
	if errorEvidence >= r.threshold {
		return r.newFinding(SignalErrors, errorEvidence)
	}
	if latencyEvidence := r.latency.value(); latencyEvidence >= r.threshold {
		return r.newFinding(SignalLatency, latencyEvidence)
	}
	return nil
}

func (r *routeTest) newFinding(signal Signal, value float64) *Finding {
	return &Finding{Route: r.route, Signal: signal, Samples: r.samples, Evidence: value, Threshold: r.threshold}
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
