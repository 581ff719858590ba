package rollout

import (
	"math"
	"time"
)

const (
	// hardShare is the share of the false alarm rate for the test for hard
	// failures. It costs the other tests less than one failure in a row.
	hardShare = 0.25
	// hardRate is the failure rate that is tested against the accepted one.
	hardRate = 0.9
	// hardAfter is how many calls of a block follow the new version's call, so
	// that a disturbance that starts between two calls is seen on both versions.
	hardAfter = 2
	// hardCalls bounds the calls of a block. With more, single errors of the old
	// version would break many blocks.
	hardCalls = 16
)

// hardFailures is a sequential test for a version that fails nearly every call,
// over all routes. It needs few samples of the new version because it compares
// each with many of the old one.
//
// A call on the new version forms a block with the calls on the old version
// shortly before it and the first hardAfter ones after it. Its event is that
// the new version failed and all k calls of the old one succeeded. When both
// fail at the rate p, the event has the probability p(1-p)^k, which is at most
// k^k/(k+1)^(k+1) whatever p is; ErrorRatio times that holds for a new version
// with ErrorRatio times the odds, and ErrorFloor for one below the floor. The
// test is a likelihood ratio of hardRate against the largest of these bounds,
// so it needs no estimate of p, and p may differ between blocks.
//
// No call is in two blocks, and which calls form a block does not depend on
// their outcomes. Under the hypothesis that the version is no worse the value
// is therefore an e-process, and the probability that it ever reaches 1/a is at
// most a. This assumes that the calls of one block meet the same failure rate,
// and that both versions get the same mix of routes.
//
// Without calls on the old version, as after promotion, no block is complete
// and the test does not change.
type hardFailures struct {
	t, stake float64
	// before holds the outcomes of the old version that are in no block yet.
	before recent[bool]
	// The fields below describe the open block.
	open     bool
	at       time.Time
	failed   bool
	calls    int
	after    int
	oldError bool
}

// old takes a call on the old version.
func (h *hardFailures) old(failed bool, at time.Time, limits Limits) {
	if h.open && at.Sub(h.at) > limits.PairWindow {
		h.open = false
	}
	if !h.open {
		h.before.push(failed, at)
		return
	}
	h.calls++
	h.after++
	h.oldError = h.oldError || failed
	if h.after == hardAfter {
		h.close(limits)
	}
}

// add takes a call on the new version. It is left out while a block is open.
func (h *hardFailures) add(failed bool, at time.Time, limits Limits) {
	if h.open && at.Sub(h.at) <= limits.PairWindow {
		return
	}
	h.open, h.at, h.failed = true, at, failed
	h.calls, h.after, h.oldError = 0, 0, false
	for h.calls < hardCalls-hardAfter {
		oldFailed, ok := h.before.pop(at, limits.PairWindow)
		if !ok {
			break
		}
		h.calls++
		h.oldError = h.oldError || oldFailed
	}
}

func (h *hardFailures) close(limits Limits) {
	h.open = false
	k := float64(h.calls)
	bound := math.Pow(k/(k+1), k) / (k + 1)
	p0 := max(limits.ErrorFloor, limits.ErrorRatio*bound)
	if p0 >= hardRate {
		return
	}
	factor := (1 - hardRate) / (1 - p0)
	if h.failed && !h.oldError {
		factor = hardRate / p0
	}
	// As in evidence, the capital is spread over all start times.
	fresh := capitalLeft(h.t) - capitalLeft(h.t+1)
	h.t++
	h.stake = min((h.stake+fresh)*factor, math.MaxFloat32)
}
