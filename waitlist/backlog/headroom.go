package backlog

import (
	"math"
	"time"
)

const (
	// headroomHalfLife is the time in which past demand loses half of its weight. Bursts that
	// follow one another within a few of these times are expected again.
	headroomHalfLife = 8 * time.Second
	// headroomDeviations is the number of standard deviations above the mean for which there
	// is headroom.
	headroomDeviations = 1.0
	// maxHeadroomShare is the maximum headroom as a share of all memory.
	maxHeadroomShare = 0.3
)

// Headroom estimates how much memory more urgent calls will need soon, from the mean and the
// variance of their demand. Without such demand it falls to zero.
type Headroom struct {
	mean, variance float64
	current        float64
	updatedAt      time.Time
}

// Observe records the present work of new urgent calls over all fronts, in tokens a second.
func (h *Headroom) Observe(now time.Time, perSecond float64) {
	h.current = perSecond
	if h.updatedAt.IsZero() {
		h.updatedAt = now
		return
	}
	elapsed := max(now.Sub(h.updatedAt), 0)
	gain := 1 - math.Exp2(-float64(elapsed)/float64(headroomHalfLife))
	h.updatedAt = now
	difference := perSecond - h.mean
	h.mean += gain * difference
	h.variance = (1 - gain) * (h.variance + gain*difference*difference)
}

// Tokens returns the memory to be left to urgent calls. Present demand uses its memory already,
// so that only the usual demand above it counts. runTime is the time for which a call uses its
// memory, and memory that of all engines.
func (h *Headroom) Tokens(runTime time.Duration, memory float64) float64 {
	usual := h.mean + headroomDeviations*math.Sqrt(h.variance)
	return min(max(usual-h.current, 0)*runTime.Seconds(), maxHeadroomShare*memory)
}
