package waitlist

import (
	"math"
	"time"
)

const (
	// drainHalfLife is the time in which placed work loses half of its weight in the rate.
	drainHalfLife = 400 * time.Millisecond
	// minDrainTime is the time for which calls of a service must have waited before the rate
	// is known.
	minDrainTime = 800 * time.Millisecond
	// maxExpectedWait is the expected wait while no work is placed.
	maxExpectedWait = time.Minute
)

// drain estimates the rate at which the waiting work of a service is placed.
type drain struct {
	// since is when the first of the present calls began to wait.
	since time.Time
	// tokens is the decayed sum, as of updatedAt, of the work that was placed.
	tokens    float64
	updatedAt time.Time
}

// begin starts a new period, in which calls wait.
func (d *drain) begin(now time.Time) { *d = drain{since: now, updatedAt: now} }

func (d *drain) decayed(now time.Time) float64 {
	return d.tokens * math.Exp2(-float64(now.Sub(d.updatedAt))/float64(drainHalfLife))
}

// record adds work that was placed.
func (d *drain) record(now time.Time, tokens int) {
	d.tokens = d.decayed(now) + float64(tokens)
	d.updatedAt = now
}

// timeFor returns the time in which an amount of work is placed, or false if the rate is
// not known yet.
func (d *drain) timeFor(now time.Time, tokens int) (time.Duration, bool) {
	if now.Sub(d.since) < minDrainTime {
		return 0, false
	}
	perSecond := d.decayed(now) * math.Ln2 / drainHalfLife.Seconds()
	seconds := float64(tokens) / max(perSecond, 1)
	return time.Duration(min(seconds, maxExpectedWait.Seconds()) * float64(time.Second)), true
}
