package admit

import "time"

// ColdPeriod is the period in which a new upstream can handle only few calls.
type ColdPeriod struct{ endsAt time.Time }

// MarkColdUntil extends the period. It never shortens the period.
func (c *ColdPeriod) MarkColdUntil(endsAt time.Time) {
	if endsAt.After(c.endsAt) {
		c.endsAt = endsAt
	}
}

// IsCold reports whether the period has not ended yet.
func (c *ColdPeriod) IsCold(now time.Time) bool { return now.Before(c.endsAt) }

// SplitEvenly returns the portion of an integer total that one of n processes gets. If
// total does not divide evenly, the processes with the lowest ranks get one more. Ranks
// start at 0. An n below 1 is treated as 1.
func SplitEvenly(total, n, rank int) int {
	n = max(n, 1)
	portion := total / n
	if rank < total%n {
		portion++
	}
	return portion
}

// gateInterval is the interval in which a gate counts calls. It is longer than a second
// because transmission times vary, so that calls which are sent in more than a second can
// be received within one.
const gateInterval = 1100 * time.Millisecond

// Gate limits the rate of calls from one process to an upstream that has no agent.
type Gate struct {
	ColdPeriod
	// countingSince is when the process started to count its calls.
	countingSince time.Time
	sendTimes     []time.Time
}

// NewGate returns the gate of a process that counts its calls since the given time. The
// number of calls sent before that, for instance before a restart, is unknown.
func NewGate(countingSince time.Time) Gate { return Gate{countingSince: countingSince} }

// RecordSend records that a call was sent.
func (g *Gate) RecordSend(now time.Time) {
	g.pruneSendTimes(now) // otherwise they accumulate if Full is never called
	g.sendTimes = append(g.sendTimes, now)
}

// Full reports whether a further call would exceed the number of calls that the process
// may send per second, and whether the upstream is cold. The gate of a cold upstream is
// also full until the process has counted its calls for a complete interval.
func (g *Gate) Full(now time.Time, perSecond int) (full, cold bool) {
	cold = g.IsCold(now)
	if cold && now.Sub(g.countingSince) < gateInterval {
		return true, true
	}
	return g.pruneSendTimes(now) >= perSecond, cold
}

// pruneSendTimes removes the send times before the current interval and returns the
// number of those that remain.
func (g *Gate) pruneSendTimes(now time.Time) int {
	recent := 0
	for _, sentAt := range g.sendTimes {
		if now.Sub(sentAt) < gateInterval {
			g.sendTimes[recent] = sentAt
			recent++
		}
	}
	g.sendTimes = g.sendTimes[:recent]
	return recent
}
