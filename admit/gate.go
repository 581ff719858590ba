package admit

import "time"

// ColdPeriod is the time in which a fresh upstream bears few calls.
type ColdPeriod struct{ until time.Time }

// MarkColdUntil makes the time last at least until the given one.
func (c *ColdPeriod) MarkColdUntil(until time.Time) {
	if until.After(c.until) {
		c.until = until
	}
}

// IsCold reports whether the upstream is cold.
func (c *ColdPeriod) IsCold(now time.Time) bool { return now.Before(c.until) }

// SplitEvenly divides a whole number among n holders, numbered by their place. Where
// it does not divide evenly, the first places get one more.
func SplitEvenly(total, n, place int) int {
	n = max(n, 1)
	share := total / n
	if place < total%n {
		share++
	}
	return share
}

// gateSpan is the span in which a gate counts calls. It is a little over a second
// since calls take uneven times to arrive.
const gateSpan = 1100 * time.Millisecond

// Gate bounds what one process sends to an upstream that has no agent.
type Gate struct {
	ColdPeriod
	// opened is when the process began to count.
	opened time.Time
	sends  []time.Time
}

// NewGate returns the gate of a process that has been counting since a time. What
// it sent before, for instance before a restart, is not known.
func NewGate(opened time.Time) Gate { return Gate{opened: opened} }

// RecordSend records a call.
func (g *Gate) RecordSend(now time.Time) {
	g.sentWithin(now) // a gate that is never asked would remember all calls
	g.sends = append(g.sends, now)
}

// Full reports whether a further call would exceed the number of calls that the
// process may send in a second, and whether the upstream is known to be cold.
func (g *Gate) Full(now time.Time, perSecond int) (full, cold bool) {
	cold = g.IsCold(now)
	if cold && now.Sub(g.opened) < gateSpan {
		return true, true
	}
	return g.sentWithin(now) >= perSecond, cold
}

func (g *Gate) sentWithin(now time.Time) int {
	keep := 0
	for _, at := range g.sends {
		if now.Sub(at) < gateSpan {
			g.sends[keep] = at
			keep++
		}
	}
	g.sends = g.sends[:keep]
	return keep
}
