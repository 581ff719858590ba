package rollout

import (
	"fmt"
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
	slowShare              slowShareTest
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
	doubt := max(slowAlarmShare*j.slowness(), hardAlarmShare*j.hardFailures.stake)
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
	j.slowShare.add(s, false, j.limits)
	j.checkHard(SignalLatency, j.slowness(), slowAlarmShare)
	if !s.LatencyOnly {
		j.hardFailures.addOld(s.Failed, s.FinishedAt, j.limits)
		j.checkHard(SignalErrors, j.hardFailures.stake, hardAlarmShare)
	}
}

// slowness returns the value of the tests for hard slowness and for the share of slow
// calls, which share one part of the false alarm rate.
func (j *Judge) slowness() float64 { return (j.hardSlowness.value() + j.slowShare.value()) / 2 }

// checkHard reports a finding if the value of a test over all groups is large enough for
// its share of the false alarm rate.
func (j *Judge) checkHard(signal Signal, value, alarmShare float64) {
	if threshold := 1 / (alarmShare * j.limits.FalseAlarmRate); value >= threshold && j.finding == nil {
		j.finding = &Finding{Signal: signal, Samples: j.samples, Evidence: value, Threshold: threshold}
	}
}

func (j *Judge) addNew(s Sample) {
	j.hardSlowness.addNew(s, j.limits)
	j.slowShare.add(s, true, j.limits)
	j.checkHard(SignalLatency, j.slowness(), slowAlarmShare)
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
