package waitlist

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the time in which work loses half of its weight in a rate.
	rateHalfLife = 400 * time.Millisecond
	// minDrainTime is the time for which calls of a service must have waited before the rate
	// is known.
	minDrainTime = 800 * time.Millisecond
	// maxExpectedWait is the expected wait while no work is placed.
	maxExpectedWait = time.Minute
)

// workRate estimates a rate of work.
type workRate struct {
	// tokens is the decayed sum, as of updatedAt, of the work.
	tokens    float64
	updatedAt time.Time
}

func (r *workRate) decayed(now time.Time) float64 {
	return r.tokens * math.Exp2(-float64(now.Sub(r.updatedAt))/float64(rateHalfLife))
}

// record adds work.
func (r *workRate) record(now time.Time, tokens int) {
	r.tokens = r.decayed(now) + float64(tokens)
	r.updatedAt = now
}

// perSecond returns the rate in tokens a second.
func (r *workRate) perSecond(now time.Time) float64 {
	return r.decayed(now) * math.Ln2 / rateHalfLife.Seconds()
}

// drain estimates the rate at which the waiting work of a service is placed.
type drain struct {
	// since is when the first of the present calls began to wait.
	since time.Time
	workRate
}

// begin starts a new period, in which calls wait.
func (d *drain) begin(now time.Time) { *d = drain{since: now, workRate: workRate{updatedAt: now}} }

// known reports whether calls have waited for long enough.
func (d *drain) known(now time.Time) bool { return now.Sub(d.since) >= minDrainTime }

// timeFor returns the time in which an amount of work is placed at a rate.
func timeFor(tokens, perSecond float64) time.Duration {
	seconds := tokens / max(perSecond, 1)
	return time.Duration(min(seconds, maxExpectedWait.Seconds()) * float64(time.Second))
}
