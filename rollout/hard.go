package rollout

import (
	"math"
	"time"
)

const (
	// hardAlarmShare is the share of the false alarm rate that the test for hard
	// failures may use. The other tests then need less than one more failure in a
	// row.
	hardAlarmShare = 0.25
	// hardFailureRate is the failure rate that is tested against the accepted one.
	hardFailureRate = 0.9
	// callsAfter is the number of calls on the old version in a block that finish
	// after the new version's call. Because of them, a disturbance that starts
	// between two calls is observed on both versions.
	callsAfter = 2
	// maxBlockCalls is the maximum number of calls on the old version in a block.
	// With more, single errors of the old version would spoil many blocks.
	maxBlockCalls = 16
)

// hardFailureTest is a sequential test for a version that fails nearly every
// call, over all routes. It needs few samples of the new version because it
// compares each of them with many samples of the old one.
//
// A call on the new version forms a block with the calls on the old version
// shortly before it and the first callsAfter ones after it. The event of a block
// is that the new version failed and all k calls of the old one succeeded. If
// both versions fail at the rate p, the event has the probability p(1-p)^k,
// which is at most k^k/(k+1)^(k+1) for any p. ErrorRatio times this bound applies
// to a new version with ErrorRatio times the odds, and ErrorFloor to one below
// the floor. The test is a likelihood ratio of hardFailureRate against the
// largest of these bounds. It therefore needs no estimate of p, and p may differ
// between blocks.
//
// No call is in two blocks, and which calls form a block does not depend on
// their outcomes. Under the hypothesis that the version is no worse, the value
// is therefore an e-process: the probability that it ever reaches 1/a is at most
// a. This assumes that the calls of one block have the same failure rate, and
// that both versions receive the same mix of routes.
//
// Without calls on the old version, as after the promotion, no block is complete
// and the value does not change.
type hardFailureTest struct {
	// blocks is the number of closed blocks.
	blocks, stake float64
	// unassigned holds the outcomes of calls on the old version that are in no
	// block yet.
	unassigned recentStack[bool]
	// The fields below describe the open block.
	open           bool
	openedAt       time.Time
	newFailed      bool
	oldCalls       int
	oldCallsAfter  int
	anyOldFailures bool
}

// addOld adds a call on the old version.
func (h *hardFailureTest) addOld(failed bool, at time.Time, limits Limits) {
	if h.open && at.Sub(h.openedAt) > limits.PairWindow {
		h.open = false
	}
	if !h.open {
		h.unassigned.push(failed, at)
		return
	}
	h.oldCalls++
	h.oldCallsAfter++
	h.anyOldFailures = h.anyOldFailures || failed
	if h.oldCallsAfter == callsAfter {
		h.closeBlock(limits)
	}
}

// addNew adds a call on the new version. The call is ignored while a block is
// open.
func (h *hardFailureTest) addNew(failed bool, at time.Time, limits Limits) {
	if h.open && at.Sub(h.openedAt) <= limits.PairWindow {
		return
	}
	h.open, h.openedAt, h.newFailed = true, at, failed
	h.oldCalls, h.oldCallsAfter, h.anyOldFailures = 0, 0, false
	for h.oldCalls < maxBlockCalls-callsAfter {
		oldFailed, ok := h.unassigned.pop(at, limits.PairWindow)
		if !ok {
			break
		}
		h.oldCalls++
		h.anyOldFailures = h.anyOldFailures || oldFailed
	}
}

func (h *hardFailureTest) closeBlock(limits Limits) {
	h.open = false
	k := float64(h.oldCalls)
	bound := math.Pow(k/(k+1), k) / (k + 1)
	p0 := max(limits.ErrorFloor, limits.ErrorRatio*bound)
	if p0 >= hardFailureRate {
		return
	}
	factor := (1 - hardFailureRate) / (1 - p0)
	if h.newFailed && !h.anyOldFailures {
		factor = hardFailureRate / p0
	}
	// As in evidence, the capital is distributed over all start times.
	added := unstakedCapital(h.blocks) - unstakedCapital(h.blocks+1)
	h.blocks++
	h.stake = min((h.stake+added)*factor, math.MaxFloat32)
}
