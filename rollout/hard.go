package rollout

import (
	"math"
	"time"
)

const (
	// hardAlarmShare is the share of the false alarm rate that the test for hard
	// failures may use. Together with slowAlarmShare it doubles the thresholds of the
	// other tests, which delays their findings by about one failed attempt when all
	// attempts fail.
	hardAlarmShare = 0.25
	// hardFailureRate is the failure rate that is tested against the accepted one.
	hardFailureRate = 0.9
	// requiredOldAfter is the number of attempts on the old version that complete a
	// block (see hardFailureTest) after its attempt on the new version. Because of
	// them, a disturbance that starts between two attempts is observed on both
	// versions.
	requiredOldAfter = 2
	// maxBlockAttempts is the maximum number of attempts on the old version in a
	// block. In larger blocks, single errors of the old version would often prevent
	// the event that the test counts.
	maxBlockAttempts = 16
)

// hardFailureTest is a sequential test for a version that fails nearly every
// attempt, over all groups of calls. It needs few samples of the new version
// because it compares each of them with many samples of the old one.
//
// An attempt on the new version forms a block with the attempts on the old
// version shortly before it and the first requiredOldAfter ones after it. The
// event of a block is that the attempt on the new version failed and all k
// attempts on the old one succeeded. If both versions fail at the rate p, the
// event has the probability p(1-p)^k, which is at most k^k/(k+1)^(k+1) for any p.
// If the odds of failure of the new version are at most ErrorRatio times those of
// the old one, the bound is ErrorRatio times as large. If the failure rate of the
// new version is at most ErrorFloor, the bound is ErrorFloor. The test is a
// likelihood ratio of hardFailureRate against the largest of these bounds. It
// therefore needs no estimate of p, and p may differ between blocks.
//
// No attempt is in two blocks, and which attempts form a block does not depend on
// their outcomes. Under the hypothesis that the version is no worse, the value of
// stake is therefore an e-process: the probability that it ever reaches 1/a is at
// most a. This assumes that the attempts of one block have the same failure rate,
// and that both versions receive the same mix of calls.
//
// Without attempts on the old version, as after the promotion, no block is
// complete and the stake does not change.
type hardFailureTest struct {
	// blocks is the number of blocks that were added to the stake. The stake is the
	// value of the test.
	blocks, stake float64
	// unassigned holds the outcomes of attempts on the old version that are in no
	// block yet.
	unassigned recentStack[bool]
	// The fields below describe the open block.
	open             bool
	openedAt         time.Time
	newFailed        bool
	oldAttempts      int
	oldAttemptsAfter int
	anyOldFailures   bool
}

// addOld adds an attempt on the old version.
func (h *hardFailureTest) addOld(failed bool, at time.Time, limits Limits) {
	if h.open && at.Sub(h.openedAt) > limits.PairWindow {
		h.open = false
	}
	if !h.open {
		h.unassigned.push(failed, at)
		return
	}
	h.oldAttempts++
	h.oldAttemptsAfter++
	h.anyOldFailures = h.anyOldFailures || failed
	if h.oldAttemptsAfter == requiredOldAfter {
		h.closeBlock(limits)
	}
}

// addNew adds an attempt on the new version. The attempt is ignored while a block
// is open.
func (h *hardFailureTest) addNew(failed bool, at time.Time, limits Limits) {
	if h.open && at.Sub(h.openedAt) <= limits.PairWindow {
		return
	}
	h.open, h.openedAt, h.newFailed = true, at, failed
	h.oldAttempts, h.oldAttemptsAfter, h.anyOldFailures = 0, 0, false
	for h.oldAttempts < maxBlockAttempts-requiredOldAfter {
		oldFailed, ok := h.unassigned.pop(at, limits.PairWindow)
		if !ok {
			break
		}
		h.oldAttempts++
		h.anyOldFailures = h.anyOldFailures || oldFailed
	}
}

// closeBlock closes the open block and adds it to the stake. A block for which
// the accepted rate is not below hardFailureRate is not added.
func (h *hardFailureTest) closeBlock(limits Limits) {
	h.open = false
	k := float64(h.oldAttempts)
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
