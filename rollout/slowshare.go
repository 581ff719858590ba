package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// maxShareBlockCalls is the maximum number of calls in a block of slowShareTest.
	maxShareBlockCalls = 24
	// slowQuantile is the quantile of the old version's accepted latencies above which a
	// call counts as slow.
	slowQuantile = 0.97
	// minSlowReference is the minimum number of latencies of the old version in a series
	// before its calls can count as slow.
	minSlowReference = 8
	// slowOddsRatio selects the alternative that is tested: the odds of a slow call on the
	// new version, divided by those on the old one.
	slowOddsRatio = 10
	// slowShareFloor is the share of slow calls that is always accepted, and
	// slowShareRate the share that is tested against it.
	slowShareFloor = 0.1
	slowShareRate  = 0.3
	// floorAlarmRate bounds the probability that the share of slow calls is ever taken
	// to exceed slowShareFloor when it does not. It need not be as small as the false
	// alarm rate: a version that is no worse is protected by the evidence for a larger
	// share of the slow calls.
	floorAlarmRate = 0.005
)

// slowShareTest is a sequential test for a version that is slow for a part of its
// calls. It compares the new version's share of the slow calls with its share of all
// calls.
//
// The calls of a period form a block, whatever their series. If both versions have the
// same latencies, and the front selects the version of a call at random, then a slow
// call of a block with m calls, n of them on the new version, is on the new version with
// the probability n/m. After each slow call, it is removed from m and n. The test is a
// likelihood ratio against these probabilities. They do not depend on the distribution of
// the latencies or on how it changes within the block, so that a disturbance of both versions does not
// count against the new one. It assumes that both versions receive the same mix of
// calls, and that the share of the new version is constant within a block.
//
// A version with few slow calls is accepted even if the old one has none. As for errors,
// a finding needs both: a larger share of the slow calls than the old version, and a
// share of slow calls above slowShareFloor. The second is certain enough at
// floorAlarmRate, as fifty calls rarely show it at the false alarm rate.
//
// The latencies of the old version are changed before the comparison to the largest that
// the new version may have: SlowFactor times the latency plus SlowOffset. Times between events are not
// added, as they would count a call twice.
type slowShareTest struct {
	blocks float64
	// stake is the evidence for a larger share of the slow calls than on the old version.
	stake float64
	// newCalls is the number of calls on the new version that were compared. aboveFloor is
	// the evidence for more slow ones among them than slowShareFloor accepts.
	newCalls   float64
	aboveFloor float64
	reference  map[slowSeries]*slowReference
	openedAt   time.Time
	calls      []comparedCall
}

// comparedCall is a call of a block.
type comparedCall struct{ isNew, isSlow bool }

// slowReference holds the last accepted latencies of one series: those of the old
// version, changed to the largest that the new version may have.
type slowReference struct {
	latencies [maxOldSamples]time.Duration
	count     int
}

// add adds a call on either version.
func (t *slowShareTest) add(s Sample, isNew bool, limits Limits) {
	if s.Failed || s.Latency <= 0 || s.Group.Pace {
		return
	}
	reference := t.referenceFor(s)
	if reference == nil {
		return
	}
	if len(t.calls) > 0 && s.FinishedAt.Sub(t.openedAt) > limits.PairWindow {
		t.closeBlock()
	}
	if len(t.calls) == 0 {
		t.openedAt = s.FinishedAt
	}
	latency := s.Latency
	if !isNew {
		latency = time.Duration(limits.SlowFactor*float64(latency)) + limits.SlowOffset
	}
	isSlow := reference.isSlow(latency)
	t.calls = append(t.calls, comparedCall{isNew: isNew, isSlow: isSlow})
	if isNew && reference.isComplete() {
		t.addNew(isSlow)
	}
	if !isNew {
		reference.add(latency)
	}
	if len(t.calls) == maxShareBlockCalls {
		t.closeBlock()
	}
}

// value returns the value of the test.
func (t *slowShareTest) value() float64 {
	if t.aboveFloor >= 1/floorAlarmRate {
		return t.stake
	}
	return min(t.stake, t.aboveFloor)
}

// addNew adds a call on the new version to the evidence above the floor.
func (t *slowShareTest) addNew(isSlow bool) {
	// As in evidence, the capital is distributed over all start times.
	t.aboveFloor += unstakedCapital(t.newCalls) - unstakedCapital(t.newCalls+1)
	t.newCalls++
	factor := (1 - slowShareRate) / (1 - slowShareFloor)
	if isSlow {
		factor = slowShareRate / slowShareFloor
	}
	t.aboveFloor = min(t.aboveFloor*factor, math.MaxFloat32)
}

// closeBlock adds the open block to the stake.
func (t *slowShareTest) closeBlock() {
	calls, newCalls := len(t.calls), t.countNew()
	// As in evidence, the capital is distributed over all start times.
	t.stake += unstakedCapital(t.blocks) - unstakedCapital(t.blocks+1)
	t.blocks++
	for _, call := range t.calls {
		if !call.isSlow || newCalls == 0 || newCalls == calls {
			continue
		}
		t.addSlow(call.isNew, float64(newCalls)/float64(calls))
		calls--
		if call.isNew {
			newCalls--
		}
	}
	t.calls = t.calls[:0]
}

// addSlow adds a slow call that is on the new version with the probability p0 under the
// hypothesis.
func (t *slowShareTest) addSlow(isNew bool, p0 float64) {
	p1 := slowOddsRatio * p0 / (slowOddsRatio*p0 + 1 - p0)
	factor := (1 - p1) / (1 - p0)
	if isNew {
		factor = p1 / p0
	}
	t.stake = min(t.stake*factor, math.MaxFloat32)
}

func (t *slowShareTest) countNew() int {
	n := 0
	for _, call := range t.calls {
		if call.isNew {
			n++
		}
	}
	return n
}

// referenceFor returns the reference of a sample's series, or nil if there are too many
// series.
func (t *slowShareTest) referenceFor(s Sample) *slowReference {
	key := slowSeries{group: s.Group, bucket: latencyBucket(s)}
	if r := t.reference[key]; r != nil {
		return r
	}
	if len(t.reference) >= maxSlowSeries {
		return nil
	}
	if t.reference == nil {
		t.reference = make(map[slowSeries]*slowReference)
	}
	r := new(slowReference)
	t.reference[key] = r
	return r
}

func (r *slowReference) add(latency time.Duration) {
	r.latencies[r.count%maxOldSamples] = latency
	r.count++
}

// isComplete reports whether there are enough latencies for a comparison.
func (r *slowReference) isComplete() bool { return r.count >= minSlowReference }

// isSlow reports whether a latency exceeds the reference.
func (r *slowReference) isSlow(latency time.Duration) bool {
	if !r.isComplete() {
		return false
	}
	n := min(r.count, maxOldSamples)
	sorted := slices.Clone(r.latencies[:n])
	slices.Sort(sorted)
	return latency > sorted[int(slowQuantile*float64(n))]
}
