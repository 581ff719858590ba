package admit

import "time"

// Weights of one sample in the moving averages. The expected time to first token
// changes slowly, so that the slow responses of a cold upstream do not raise it at
// once and hide that the upstream is cold.
const (
	serviceTimeGain = 0.2
	firstTokenGain  = 0.05
)

// minModelSamples is the number of successful responses before a time to first token
// is compared with the expected one.
const minModelSamples = 8

// shortPromptBytes is the maximum length of a computed prompt whose time to first
// token is treated as independent of the prompt length.
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
	firstTokens         firstTokenModel
	// generation is the number of resets.
	generation int
	lastReset  ResetReason
	// coldLimit limits the window until warmUp has passed since warmUpStart, which is
	// the time of the first grant or response after a reset. A warmUp of 0 means that
	// there is no such limit.
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

// limitAt returns the maximum window at a time, and starts the warm-up time if it has
// not started since the last reset.
func (w *window) limitAt(now time.Time) int {
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
func (w *window) observe(now time.Time, s Sample, duration time.Duration, atLimit bool) {
	switch s.Result {
	case ResultCancelled:
	case ResultFailed:
		w.shrink()
	case ResultSucceeded:
		w.updateServiceTime(duration)
		w.observeSuccess(now, s, atLimit)
	}
}

func (w *window) observeSuccess(now time.Time, s Sample, atLimit bool) {
	if w.observeFirstToken(s) {
		w.successes = 0
		w.consecutiveSlow++
		if w.consecutiveSlow >= w.opts.ColdResponses && w.size > w.initialSize() {
			w.reset(ResetResponseTime)
		}
		return
	}
	w.consecutiveSlow = 0
	if atLimit {
		w.grow(now)
	}
}

func (w *window) grow(now time.Time) {
	w.successes++
	if w.successes < max(w.size, w.opts.GrowthResponses) || w.size >= w.limitAt(now) {
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

// observeFirstToken adds a time to first token to the model and reports whether it was
// slow compared with the time expected before.
func (w *window) observeFirstToken(s Sample) bool {
	if s.TimeToFirstToken <= 0 {
		return false
	}
	expected, reliable := w.firstTokens.expect(s.ComputedBytes)
	w.firstTokens.update(s)
	limit := time.Duration(w.opts.ColdFactor*float64(expected)) + w.opts.ColdSlack
	return reliable && w.opts.ColdFactor > 0 && s.TimeToFirstToken > limit
}

// firstTokenModel estimates the time to first token as a fixed time plus a time for
// each byte of prompt that is computed.
type firstTokenModel struct {
	fixedNanos   float64
	nanosPerByte float64
	samples      int
	longSamples  int // samples of prompts longer than shortPromptBytes
}

// expect returns the expected time to first token, and whether the model has enough
// samples for prompts of this length.
func (m *firstTokenModel) expect(computedBytes int) (time.Duration, bool) {
	long := computedBytes > shortPromptBytes
	reliable := m.samples >= minModelSamples && (!long || m.longSamples >= minModelSamples)
	return time.Duration(m.fixedNanos + m.nanosPerByte*float64(computedBytes)), reliable
}

func (m *firstTokenModel) update(s Sample) {
	nanos := float64(s.TimeToFirstToken)
	if s.ComputedBytes <= shortPromptBytes {
		m.fixedNanos = updateMean(m.fixedNanos, nanos, m.samples-m.longSamples)
		m.samples++
		return
	}
	perByte := max(0, nanos-m.fixedNanos) / float64(s.ComputedBytes)
	m.nanosPerByte = updateMean(m.nanosPerByte, perByte, m.longSamples)
	m.samples++
	m.longSamples++
}

// updateMean returns a moving average after another sample. Of the first samples it is
// the arithmetic mean. n is the number of samples before.
func updateMean(mean, sample float64, n int) float64 {
	gain := max(firstTokenGain, 1/float64(n+1))
	return mean + gain*(sample-mean)
}
