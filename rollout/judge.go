package rollout

import (
	"fmt"
	"math"
	"math/bits"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Route is a kind of call that is judged by itself. The zero Route stands for
// all calls of the model together.
type Route struct {
	// Name is that of a configured route, where calls have one.
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
	// At is when the call finished. Samples of one judge come in time order.
	FinishedAt time.Time
	// Failed says that the engine failed or garbled the call. A call that was
	// refused before hand-over or cancelled by its caller is not a sample.
	Failed bool
	// Latency is the time from hand-over to the first token. It is ignored when
	// the call failed or the latency is zero.
	Latency time.Duration
	// Work is the number of prompt tokens that were recomputed. Latencies are
	// compared between calls of similar work only.
	PrefillTokens int
}

// Limits states what counts as worse and how sure the judge must be.
type Limits struct {
	// FalseAlarmRate bounds the probability that a version that is no worse is ever
	// found bad by one judge, over all its routes and signals. With several
	// judges on separate samples the probabilities add up.
	FalseAlarmRate float64
	// ErrorFloor is the error rate that is always accepted, from 0 to 1.
	ErrorFloor float64
	// ErrorRatio is the accepted error rate relative to the old version's.
	ErrorRatio float64
	// ErrorCeiling is the error rate that is never accepted when the old
	// version is no longer there to compare with, from 0 to 1.
	ErrorCeiling float64
	// SlowFactor and SlowOffset state when a call counts as slower than one of
	// the old version: latency > SlowFactor*old + SlowOffset.
	SlowFactor float64
	SlowOffset time.Duration
	// PairWindow is the largest age of an old version's sample that is compared
	// as one from the same period.
	PairWindow time.Duration
}

// DefaultLimits returns limits with a false alarm rate of 1e-4.
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

// Signal is what a version is judged on.
type Signal string

// Signals.
const (
	SignalErrors  Signal = "errors"
	SignalLatency Signal = "latency"
)

// Finding says why a version is bad.
type Finding struct {
	Route   Route
	Signal  Signal
	Samples uint64
	// Evidence is the value of the test and Threshold the value it had to reach.
	Evidence  float64
	Threshold float64
}

// String returns the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s worse than the old version on %s after %d samples (evidence %.3g, threshold %.3g)",
		f.Signal, f.Route, f.Samples, f.Evidence, f.Threshold)
}

const (
	// maxRoutes bounds the judge's memory; calls of further routes are judged
	// together with all others only.
	maxRoutes = 1024
	// keptSamples is how many samples of the old version are kept for pairs.
	keptSamples = 64
	// minReference is the least number of old samples that new ones are
	// compared with once the old version has no traffic.
	minReference = 32
	// alarmsPerRoute counts the tests that can raise an alarm on one route:
	// errors in pairs, errors against the reference, latency.
	alarmsPerRoute = 3
	// evenOdds is the accepted probability that a call is slower than its pair.
	evenOdds = 0.5
	// referenceZ is the width of the upper bound on the old version's error
	// rate in standard deviations.
	referenceZ = 4.0
)

// Judge compares a new version of one model with the old one. Each sample of
// the new version is paired with a recent one of the old version on the same
// route, so that a disturbance that affects both does not count against the
// new one. When the old version has no recent samples, as after promotion, the
// new one is compared with what was last seen of the old one.
type Judge struct {
	from, to core.WeightVersion
	limits   Limits
	routes   map[Route]*routeTest
	hard     hardFailures
	samples  uint64
	finding  *Finding
}

// NewJudge returns a judge of the version to against the version from.
func NewJudge(from, to core.WeightVersion, limits Limits) *Judge {
	j := &Judge{from: from, to: to, limits: limits, routes: make(map[Route]*routeTest)}
	j.test(Route{})
	return j
}

// Samples returns the number of samples of the new version.
func (j *Judge) Samples() uint64 { return j.samples }

// Finding returns the first finding, or nil while the version is not found bad.
func (j *Judge) Finding() *Finding { return j.finding }

// Add takes one sample and returns the finding, if there is one so far. Samples
// of other versions are ignored.
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
		r.old(s)
	}
	// A call on the old version may complete the block of a new one.
	j.hard.old(s.Failed, s.FinishedAt, j.limits)
	if threshold := 1 / (hardShare * j.limits.FalseAlarmRate); j.hard.stake >= threshold && j.finding == nil {
		j.finding = &Finding{Signal: SignalErrors, Samples: j.samples, Evidence: j.hard.stake, Threshold: threshold}
	}
}

func (j *Judge) addNew(s Sample) {
	j.hard.add(s.Failed, s.FinishedAt, j.limits)
	for _, r := range j.tests(s.Route) {
		found := r.add(s, j.limits)
		if found != nil && j.finding == nil {
			j.finding = found
		}
	}
}

// tests returns the test of all routes together and that of the route.
func (j *Judge) tests(route Route) []*routeTest {
	all := j.test(Route{})
	own := j.test(route)
	if own == nil || own == all {
		return []*routeTest{all}
	}
	return []*routeTest{all, own}
}

func (j *Judge) test(route Route) *routeTest {
	if r, ok := j.routes[route]; ok {
		return r
	}
	if len(j.routes) >= maxRoutes {
		return nil
	}
	// The k-th route may use 1/(k(k+1)) of the false alarm rate that the test for
	// hard failures leaves; these parts add up to at most one for any number of
	// routes.
	k := float64(len(j.routes) + 1)
	r := &routeTest{
		route:     route,
		threshold: alarmsPerRoute * k * (k + 1) / ((1 - hardShare) * j.limits.FalseAlarmRate),
		latencies: make(map[int]*latencies),
	}
	j.routes[route] = r
	return r
}

// routeTest holds the tests of one route.
type routeTest struct {
	route     Route
	threshold float64
	samples   uint64
	// paired tests for more errors than the old version's in the same period.
	paired evidence
	// aboveFloor tests for more errors than the accepted floor.
	aboveFloor evidence
	// reference tests for more errors than the old version had.
	reference evidence
	latency   evidence
	outcomes  recent[bool]
	oldCalls  float64
	oldErrors float64
	latencies map[int]*latencies
}

// latencies holds the old version's latencies for one size of work.
type latencies struct {
	unpaired recent[time.Duration]
	kept     [keptSamples]time.Duration
	n        int
	next     int
}

// workBucket groups prompts whose work differs by less than a factor of two.
func workBucket(work int) int { return bits.Len(uint(max(work, 0))) }

func (r *routeTest) old(s Sample) {
	r.oldCalls++
	if s.Failed {
		r.oldErrors++
	}
	r.outcomes.push(s.Failed, s.FinishedAt)
	if s.Failed || s.Latency <= 0 {
		return
	}
	bucket := workBucket(s.PrefillTokens)
	l := r.latencies[bucket]
	if l == nil {
		l = new(latencies)
		r.latencies[bucket] = l
	}
	l.unpaired.push(s.Latency, s.FinishedAt)
	l.kept[l.n%keptSamples] = s.Latency
	l.n++
}

func (r *routeTest) add(s Sample, limits Limits) *Finding {
	r.samples++
	r.addOutcome(s, limits)
	if !s.Failed && s.Latency > 0 {
		r.addLatency(s, limits)
	}
	return r.result()
}

func (r *routeTest) addOutcome(s Sample, limits Limits) {
	r.aboveFloor.add(s.Failed, limits.ErrorFloor)
	oldFailed, ok := r.outcomes.pop(s.FinishedAt, limits.PairWindow)
	if !ok {
		r.reference.add(s.Failed, r.referenceRate(limits))
		return
	}
	// Pairs with equal outcomes say nothing about which version is worse. Among
	// the others the new version's part is at most ratio/(1+ratio).
	if oldFailed != s.Failed {
		r.paired.add(s.Failed, limits.ErrorRatio/(1+limits.ErrorRatio))
	}
}

// referenceRate is the error rate accepted without a recent pair.
func (r *routeTest) referenceRate(limits Limits) float64 {
	rate := limits.ErrorRatio * upperBound(r.oldErrors, r.oldCalls)
	return min(max(rate, limits.ErrorFloor), limits.ErrorCeiling)
}

// upperBound is the upper end of the Wilson score interval of a proportion.
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
	l := r.latencies[workBucket(s.PrefillTokens)]
	if l == nil {
		return
	}
	old, ok := l.unpaired.pop(s.FinishedAt, limits.PairWindow)
	if !ok {
		if l.n < minReference {
			return
		}
		old = l.kept[l.next%min(l.n, keptSamples)]
		l.next++
	}
	limit := time.Duration(limits.SlowFactor*float64(old)) + limits.SlowOffset
	r.latency.add(s.Latency > limit, evenOdds)
}

func (r *routeTest) result() *Finding {
	// Both must be shown for errors in pairs: more than the old version, and
	// more than the floor.
	inPairs := min(r.paired.value(), r.aboveFloor.value())
	errors := max(inPairs, r.reference.value())
	if errors >= r.threshold {
		return r.found(SignalErrors, errors)
	}
	if latency := r.latency.value(); latency >= r.threshold {
		return r.found(SignalLatency, latency)
	}
	return nil
}

func (r *routeTest) found(signal Signal, value float64) *Finding {
	return &Finding{Route: r.route, Signal: signal, Samples: r.samples, Evidence: value, Threshold: r.threshold}
}

// recent keeps the last keptSamples values; the newest is taken first.
type recent[T any] struct {
	values [keptSamples]T
	at     [keptSamples]time.Time
	end, n int
}

func (q *recent[T]) push(v T, at time.Time) {
	q.values[q.end] = v
	q.at[q.end] = at
	q.end = (q.end + 1) % keptSamples
	q.n = min(q.n+1, keptSamples)
}

// pop takes the newest value unless it is older than the window.
func (q *recent[T]) pop(now time.Time, window time.Duration) (T, bool) {
	var zero T
	if q.n == 0 {
		return zero, false
	}
	last := (q.end + keptSamples - 1) % keptSamples
	if now.Sub(q.at[last]) > window {
		return zero, false
	}
	q.end = last
	q.n--
	return q.values[last], true
}
