// Package pace estimates how fast upstreams work: the slowdown of each upstream, announced
// by it or observed in its responses, and the rate at which the engines of a service read
// prompts. It performs no I/O and reads no clock.
package pace

import (
	"math"
	"time"
)

const (
	// announcedHalfLife is the time in which the difference between the last announced
	// slowdown and its mean decays to half. Upstreams announce another one many times a
	// second.
	announcedHalfLife = 200 * time.Millisecond
	// meanHalfLife is the time in which the weight of a sample in a mean decays to half.
	meanHalfLife = 5 * time.Second
	// maxAnnouncedWeight is the maximum time for which one announcement counts in the
	// mean, and also its weight if it is the first one.
	maxAnnouncedWeight = 200 * time.Millisecond
	// announcedPrior is the weight of the assumption, in the mean of announcements, that
	// an upstream works as fast as usual.
	announcedPrior = 100 * time.Millisecond
	// announcedTTL is the time after the last announcement from which the observed
	// slowdown is used.
	announcedTTL = 10 * time.Second

	// observedHalfLife and observedGain are the half-life and the gain of the fast mean of
	// observed slowdowns.
	observedHalfLife = 400 * time.Millisecond
	observedGain     = 0.3
	// observedPrior is the number of responses that weigh as much as the assumption that
	// an upstream works as fast as usual.
	observedPrior = 5.0
	// maxObserved is the maximum slowdown or speed-up that one response contributes. The
	// time of a single response depends more on the call than on the upstream.
	maxObserved = 4.0

	// minSlowdown and maxSlowdown are the bounds of an estimated slowdown. A slow upstream
	// gets fewer calls, but still some, since only calls show that it has recovered.
	minSlowdown = 0.25
	maxSlowdown = 8.0
)

// Slowdown estimates the ratio of the time that work takes at an upstream now to the time
// that it usually takes. The zero value is that of an upstream without announcements and
// responses.
type Slowdown struct {
	announced   weightedMean
	last        float64
	announcedAt time.Time

	observed   weightedMean
	fast       float64 // logarithm
	observedAt time.Time
}

// weightedMean is a mean of logarithms whose weights decay to half in meanHalfLife.
type weightedMean struct {
	sum, weight float64
	at          time.Time
}

func (m *weightedMean) add(now time.Time, value, weight float64) {
	m.decay(now)
	m.sum += value * weight
	m.weight += weight
}

func (m *weightedMean) decay(now time.Time) {
	factor := m.factor(now)
	m.sum, m.weight = m.sum*factor, m.weight*factor
	if m.at.Before(now) {
		m.at = now
	}
}

func (m *weightedMean) factor(now time.Time) float64 {
	if m.weight == 0 || !now.After(m.at) {
		return 1
	}
	return halves(now.Sub(m.at), meanHalfLife)
}

// mean returns the mean, with a prior of value 0 and the given weight.
func (m *weightedMean) mean(now time.Time, prior float64) float64 {
	factor := m.factor(now)
	return m.sum * factor / (m.weight*factor + prior)
}

func halves(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-max(float64(elapsed), 0) / float64(halfLife))
}

// Announce records a slowdown that the upstream announced at a point in time. An
// announcement that is older than the last one is ignored.
func (s *Slowdown) Announce(at time.Time, slowdown float64) {
	if slowdown <= 0 || !at.After(s.announcedAt) {
		return
	}
	weight := maxAnnouncedWeight
	if !s.announcedAt.IsZero() {
		weight = min(at.Sub(s.announcedAt), maxAnnouncedWeight)
	}
	s.last, s.announcedAt = math.Log(min(max(slowdown, minSlowdown), maxSlowdown)), at
	s.announced.add(at, s.last, weight.Seconds())
}

// Observe records the ratio of the time of a response to its time at the usual pace.
func (s *Slowdown) Observe(at time.Time, ratio float64) {
	if ratio <= 0 || math.IsNaN(ratio) {
		return
	}
	value := math.Log(min(max(ratio, 1/maxObserved), maxObserved))
	s.fast = s.fastObserved(at)*(1-observedGain) + value*observedGain
	if at.After(s.observedAt) {
		s.observedAt = at
	}
	s.observed.add(at, value, 1)
}

// fastObserved returns the fast mean of the observed slowdowns. It decays to the slow one.
func (s *Slowdown) fastObserved(now time.Time) float64 {
	slow := s.observed.mean(now, observedPrior)
	if s.observedAt.IsZero() {
		return slow
	}
	return slow + (s.fast-slow)*halves(now.Sub(s.observedAt), observedHalfLife)
}

// Announced reports whether the current slowdown is that which the upstream announces.
func (s *Slowdown) Announced(now time.Time) bool {
	return !s.announcedAt.IsZero() && now.Sub(s.announcedAt) < announcedTTL
}

// Current returns the slowdown: the mean of the announced ones, plus what the last one
// differs from it, less with its age. Without announcements it returns the slowdown that
// responses show.
func (s *Slowdown) Current(now time.Time) float64 {
	value := s.fastObserved(now)
	if s.Announced(now) {
		mean := s.announced.mean(now, announcedPrior.Seconds())
		value = mean + (s.last-mean)*halves(now.Sub(s.announcedAt), announcedHalfLife)
	}
	return min(max(math.Exp(value), minSlowdown), maxSlowdown)
}

// Age returns the time since the last announcement, or since the last response if there
// is none, and false if there is neither.
func (s *Slowdown) Age(now time.Time) (time.Duration, bool) {
	at := s.observedAt
	if s.Announced(now) {
		at = s.announcedAt
	}
	return now.Sub(at), !at.IsZero()
}
