package admit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minPortion is the rate, in calls per second, below which a process gets no
	// portion of a rate that is divided. Fewer processes with larger portions send
	// fewer calls at once.
	minPortion = 1
	// probeRate is the rate, in calls per second, at which an upstream still gets calls
	// if it announces a lower one. Without them, it could not announce a higher one.
	probeRate = 0.1
	// maxUnused is the number of calls that a Pacer allows at once after it has not been
	// used.
	maxUnused = 2
)

// SplitRate returns the portion of a rate that one of n processes gets. If the portions
// of all processes were below minPortion, only those with the lowest ranks get one.
func SplitRate(perSecond float64, n, rank int) float64 {
	perSecond = max(perSecond, probeRate)
	participants := min(max(int(perSecond/minPortion), 1), max(n, 1))
	if rank >= participants {
		return 0
	}
	return perSecond / float64(participants)
}

// Pacer limits the rate of calls from one process to an upstream that has announced the
// rate at which it accepts calls. A new Pacer allows no call at once, since it does not
// know how many were sent before.
type Pacer struct{ limiter *rate.Limiter }

// NewPacer returns a Pacer without a rate.
func NewPacer(now time.Time) *Pacer {
	limiter := rate.NewLimiter(0, maxUnused)
	limiter.AllowN(now, maxUnused)
	return &Pacer{limiter: limiter}
}

// SetRate sets the rate in calls per second.
func (p *Pacer) SetRate(now time.Time, perSecond float64) {
	if p.limiter.Limit() != rate.Limit(perSecond) {
		p.limiter.SetLimitAt(now, rate.Limit(perSecond))
	}
}

// Allows reports whether a call may be sent, and whether a further one may be sent at
// the same time, which shows that calls leave a part of the rate unused.
func (p *Pacer) Allows(now time.Time) (allowed, spare bool) {
	tokens := p.limiter.TokensAt(now)
	return tokens >= 1, tokens >= maxUnused
}

// RecordSend records that a call was sent.
func (p *Pacer) RecordSend(now time.Time) { p.limiter.AllowN(now, 1) }
