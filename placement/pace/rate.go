package pace

import (
	"math"
	"time"
)

const (
	// readingQuantile is the quantile of the observed rates that is taken as the rate of
	// reading. Most responses also wait for other calls at the engine, so that their rates
	// are too low.
	readingQuantile = 0.9
	// readingStep is the largest change of the logarithm of the rate for one response.
	readingStep = 0.05
	// maxReadingChange is the largest ratio between the rate and its initial value, either
	// way.
	maxReadingChange = 8.0
	// minReadingTokens is the smallest number of tokens of a prompt that is observed. The
	// time of smaller ones hardly depends on the rate.
	minReadingTokens = 1000

	// typicalTimeStep is the largest change of the logarithm of a typical time for one
	// response.
	typicalTimeStep = 0.05
	// maxTypicalChange is the largest ratio between a typical time and its initial value,
	// either way.
	maxTypicalChange = 20.0
)

// ReadingRate estimates the rate at which the engines of a service read prompts, in tokens
// per millisecond.
type ReadingRate struct {
	change float64 // logarithm of the ratio to the initial value
}

// Observe records that tokens were read in at most a time, at the usual pace.
func (r *ReadingRate) Observe(initial float64, tokens int, elapsed time.Duration) {
	if tokens < minReadingTokens || elapsed <= 0 || initial <= 0 {
		return
	}
	rate := float64(tokens) / (float64(elapsed.Microseconds()) / 1000)
	r.change = moveToQuantile(r.change, rate > r.PerMs(initial), readingQuantile, readingStep, maxReadingChange)
}

// PerMs returns the rate, given its initial value.
func (r *ReadingRate) PerMs(initial float64) float64 { return initial * math.Exp(r.change) }

// TypicalTime estimates the median time of the calls of a service.
type TypicalTime struct {
	change float64 // logarithm of the ratio to the initial value
}

// Observe records the time of a call at the usual pace.
func (t *TypicalTime) Observe(initialMs, ms float64) {
	if ms <= 0 || initialMs <= 0 {
		return
	}
	t.change = moveToQuantile(t.change, ms > t.Ms(initialMs), 0.5, typicalTimeStep, maxTypicalChange)
}

// Ms returns the time in milliseconds, given its initial value.
func (t *TypicalTime) Ms(initialMs float64) float64 { return initialMs * math.Exp(t.change) }

const (
	// initialWaitingCallMs is the assumed delay of a call for each call that waits at its
	// engine, maxWaitingChange the largest ratio between the estimated delay and it.
	initialWaitingCallMs = 60.0
	maxWaitingChange     = 6.0
	waitingStep          = 0.05
	// minObservedWaiting is the least number of waiting calls for which a delay is observed.
	minObservedWaiting = 1.0
)

// WaitingDelay estimates the median delay of a call for each call that waits at its engine
// when it is sent. Calls wait while the engine has no memory for them, so that the delay
// depends on how soon running calls end.
type WaitingDelay struct {
	change float64 // logarithm of the ratio to the initial value
}

// Observe records the delay in milliseconds of a call behind a number of waiting calls.
func (d *WaitingDelay) Observe(waiting, delayMs float64) {
	if waiting < minObservedWaiting {
		return
	}
	d.change = moveToQuantile(d.change, delayMs/waiting > d.PerCallMs(), 0.5, waitingStep, maxWaitingChange)
}

// PerCallMs returns the delay for each waiting call in milliseconds.
func (d *WaitingDelay) PerCallMs() float64 { return initialWaitingCallMs * math.Exp(d.change) }

// moveToQuantile moves the logarithm of an estimate by one sample, so that in the mean a
// share of 1-quantile of the samples is above it. A single sample, however far away,
// moves it by a step at most.
func moveToQuantile(change float64, above bool, quantile, step, maxRatio float64) float64 {
	if above {
		change += step * quantile
	} else {
		change -= step * (1 - quantile)
	}
	limit := math.Log(maxRatio)
	return min(max(change, -limit), limit)
}
