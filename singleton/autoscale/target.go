package autoscale

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

const (
	// minBackoff and maxBackoff bound the delay before the next order after a failed one.
	// The delay doubles with each failure.
	minBackoff = time.Second
	maxBackoff = 30 * time.Second
	// refusedTime is the time after which a count that the platform has refused as invalid
	// may be ordered again.
	refusedTime = 5 * time.Minute
)

// target is the state of the number of upstreams of a service in a failure domain.
type target struct {
	service core.ServiceID
	domain  core.FailureDomain
	inForce InForce
	// fence is that of the current authority, or 0 without one. heldSince is when this
	// process became the holder.
	fence     core.Fence
	heldSince time.Time
	// ordered is set after this holder has sent an order. Before, the count in force is that
	// of the list of upstreams.
	ordered bool
	// inFlight is set while an order waits for its result.
	inFlight bool
	// uncertain is set if the result of the last order is unknown. listedAtOrder is the
	// number of listed upstreams when it was sent.
	uncertain     bool
	listedAtOrder int
	failures      int
	nextOrderAt   time.Time
	refusedCount  int
	refusedUntil  time.Time
	// mismatchSince is since when the list shows another count than the one in force.
	mismatchSince time.Time
	// last is the last decision, and changed the reason of the last change of the count.
	last    Decision
	changed Reason
}

// hold updates the target to the authority of this process. With a new authority, the count
// in force is learned from the list.
func (t *target) hold(now time.Time, fence core.Fence) {
	if fence == t.fence {
		return
	}
	t.fence, t.heldSince = fence, now
	t.ordered, t.uncertain, t.inFlight = false, false, false
	t.failures, t.nextOrderAt = 0, time.Time{}
}

// observeListed updates the count in force from the list of upstreams. usable is false if
// the failure domain is lost or evacuated, so that its count stays.
func (t *target) observeListed(now time.Time, listed int, usable bool, mismatchTime time.Duration) {
	if listed == t.inForce.Count || !usable || listed == 0 {
		t.mismatchSince = time.Time{}
		if listed == t.inForce.Count && t.uncertain && listed != t.listedAtOrder {
			t.uncertain, t.failures = false, 0 // the list shows that the order took effect
		}
		return
	}
	if !t.ordered && (t.fence == 0 || t.inForce.Observing || t.inForce.Count == 0) {
		t.adopt(now, listed)
		return
	}
	if t.uncertain {
		return // the order is repeated until its result is known
	}
	if t.mismatchSince.IsZero() {
		t.mismatchSince = now
	}
	if now.Sub(t.mismatchSince) > mismatchTime {
		t.adopt(now, listed)
	}
}

// adopt takes the listed count as the one in force.
func (t *target) adopt(now time.Time, listed int) {
	if t.inForce.Count != 0 {
		t.setCount(now, listed)
	}
	t.inForce.Count, t.mismatchSince, t.uncertain = listed, time.Time{}, false
}

// setCount records a changed count.
func (t *target) setCount(now time.Time, count int) {
	switch {
	case count > t.inForce.Count:
		t.inForce.RaisedAt = now
	case count < t.inForce.Count:
		t.inForce.CutAt = now
	}
	t.inForce.Count = count
}

// due reports whether an order of a count may be sent now.
func (t *target) due(now time.Time, count int) bool {
	if t.inFlight || now.Before(t.nextOrderAt) {
		return false
	}
	if count == t.refusedCount && now.Before(t.refusedUntil) {
		return false
	}
	return count != t.inForce.Count || t.uncertain
}

// record applies the result of an order.
func (t *target) record(now time.Time, r orderResult) {
	if r.order.fence != t.fence {
		return // another authority has begun
	}
	t.inFlight = false
	if r.err == nil {
		t.changed = r.order.reason
		t.setCount(now, r.order.count)
		t.ordered, t.uncertain, t.failures = true, false, 0
		return
	}
	t.nextOrderAt = now.Add(min(minBackoff<<min(t.failures, 8), maxBackoff))
	t.failures++
	switch errs.KindOf(r.err) {
	case errs.Invalid:
		t.refusedCount, t.refusedUntil = r.order.count, now.Add(refusedTime)
	case errs.Exhausted, errs.Unavailable, errs.Stale:
		// The order has had no effect.
	default:
		t.changed = r.order.reason
		t.setCount(now, r.order.count)
		t.ordered, t.uncertain = true, true
	}
}
