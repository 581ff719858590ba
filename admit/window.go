package admit

import "time"

// Weights of one sample in the moving averages. The expected time to first token
// changes slowly. Otherwise the responses of a cold upstream would soon raise it and
// no longer count as slow.
const (
	serviceTimeGain = 0.2
	firstTokenGain  = 0.05
)

// minFirstTokenSamples is the number of successful responses before a time to first token
// is compared with the expected one.
const minFirstTokenSamples = 8

// shortPromptBytes is the maximum of Sample.ComputedBytes for which the time to first
// token is treated as independent of the length.
const shortPromptBytes = 2048

// minWarmWindow is the minimum window of an upstream that does not count as cold.
const minWarmWindow = 4

// window is the admission window of one upstream.
type window struct {
	opts    Options
	size    int
	maxSize int
	// successes counts the successful responses with a full window since the last
	// change of size or the last slow response.
	successes int
	// consecutiveSlow counts consecutive slow responses.
	consecutiveSlow int
	// serviceTime is the mean duration of a run.
	serviceTime         time.Duration
	serviceTimeMeasured bool
	firstTokenTime      firstTokenEstimator
	// generation is the number of resets.
	generation int
	lastReset  ResetReason
	// coldLimit limits the growth of the window until warmUp has passed since
	// warmUpStart, the time of the first call of growthLimit after a reset. A warmUp
	// of 0 means that there is no such limit.
	coldLimit   int
	warmUp      time.Duration
	warmUpStart time.Time
}

func newWindow(opts Options) window {
	w := window{opts: opts, maxSize: max(opts.MaxWindow, 1), serviceTime: opts.InitialServiceTime}
	w.size = w.initialSize()
	return w
}

func (w *window) initialSize() int { return min(max(w.opts.InitialWindow, 1), w.maxSize) }

// isCold reports whether the window is still too small for a warm upstream. The
// warm-up time is a separate criterion, which limits the growth of the window.
func (w *window) isCold() bool { return w.size < min(minWarmWindow, w.maxSize) }

func (w *window) setMaxSize(maxSize int) {
	w.maxSize = max(maxSize, 1)
	w.size = min(w.size, w.maxSize)
}

func (w *window) reset(reason ResetReason) {
	w.size = w.initialSize()
	w.successes, w.consecutiveSlow = 0, 0
	w.warmUpStart = time.Time{}
	w.generation++
	w.lastReset = reason
}

// growthLimit returns the size up to which the window may grow now. The first call after
// a reset starts the warm-up time.
func (w *window) growthLimit(now time.Time) int {
	if w.warmUp <= 0 {
		return w.maxSize
	}
	if w.warmUpStart.IsZero() {
		w.warmUpStart = now
	}
	if period := (ColdPeriod{endsAt: w.warmUpStart.Add(w.warmUp)}); period.IsCold(now) {
		return min(w.maxSize, max(w.coldLimit, w.initialSize()))
	}
	return w.maxSize
}

// observe updates the window with the result of a run.
func (w *window) observe(now time.Time, s Sample, duration time.Duration, windowFull bool) {
	switch s.Result {
	case ResultCancelled:
	case ResultFailed:
		w.shrink()
	case ResultSucceeded:
		w.updateServiceTime(duration)
		w.observeSuccess(now, s, windowFull)
	}
}

func (w *window) observeSuccess(now time.Time, s Sample, windowFull bool) {
	if w.checkSlow(s) {
		w.successes = 0
		w.consecutiveSlow++
		if w.consecutiveSlow >= w.opts.ColdResponses && w.size > w.initialSize() {
			w.reset(ResetResponseTime)
		}
		return
	}
	w.consecutiveSlow = 0
	if windowFull {
		w.grow(now)
	}
}

func (w *window) grow(now time.Time) {
	w.successes++
	if w.successes < max(w.size, w.opts.GrowthResponses) || w.size >= w.growthLimit(now) {
		return
	}
	w.size++
	w.successes = 0
}

// shrink halves the window, because failures under load indicate that it is too large.
func (w *window) shrink() {
	w.successes = 0
	w.size = max(w.size/2, w.initialSize())
}

func (w *window) updateServiceTime(duration time.Duration) {
	if !w.serviceTimeMeasured {
		w.serviceTimeMeasured = true
		w.serviceTime = duration
		return
	}
	w.serviceTime += time.Duration(serviceTimeGain * float64(duration-w.serviceTime))
}

// checkSlow reports whether a response was slow compared with the expected time to first
// token, and then updates the expected time.
func (w *window) checkSlow(s Sample) bool {
	if s.TimeToFirstToken <= 0 {
		return false
	}
	expected, reliable := w.firstTokenTime.estimate(s.ComputedBytes)
	w.firstTokenTime.update(s)
	limit := time.Duration(w.opts.ColdFactor*float64(expected)) + w.opts.ColdSlack
	return reliable && w.opts.ColdFactor > 0 && s.TimeToFirstToken > limit
}

// firstTokenEstimator estimates the time to first token as a fixed time plus a time for
// each byte of prompt that is computed.
type firstTokenEstimator struct {
	fixedNanos   float64
	nanosPerByte float64
	samples      int
	longSamples  int // samples of prompts longer than shortPromptBytes
}

// estimate returns the expected time to first token, and whether there are enough
// samples for prompts of this length.
func (e *firstTokenEstimator) estimate(computedBytes int) (time.Duration, bool) {
	long := computedBytes > shortPromptBytes
	reliable := e.samples >= minFirstTokenSamples && (!long || e.longSamples >= minFirstTokenSamples)
	return time.Duration(e.fixedNanos + e.nanosPerByte*float64(computedBytes)), reliable
}

func (e *firstTokenEstimator) update(s Sample) {
	nanos := float64(s.TimeToFirstToken)
	if s.ComputedBytes <= shortPromptBytes {
		e.fixedNanos = updateMean(e.fixedNanos, nanos, e.samples-e.longSamples)
		e.samples++
		return
	}
	perByte := max(0, nanos-e.fixedNanos) / float64(s.ComputedBytes)
	e.nanosPerByte = updateMean(e.nanosPerByte, perByte, e.longSamples)
	e.samples++
	e.longSamples++
}

// updateMean returns the moving average after a new sample. It is the arithmetic mean of
// the first samples, and weights later samples by firstTokenGain. n is the number of
// samples in mean.
func updateMean(mean, sample float64, n int) float64 {
	gain := max(firstTokenGain, 1/float64(n+1))
	return mean + gain*(sample-mean)
}
