package admit

import "time"

// Weights of one sample in the running means. The expected reply time follows
// slowly, so that a cold upstream does not make its slowness normal at once.
const (
	serviceGain = 0.2
	replyGain   = 0.05
)

// judgedReplies is how many good replies are needed before reply times are
// judged.
const judgedReplies = 8

// shortPrompt is the length in bytes up to which the time to first token is
// taken as the fixed part that does not depend on the prompt.
const shortPrompt = 2048

// warmWindow is the window from which an upstream no longer counts as cold.
const warmWindow = 4

// window is the admission window of one upstream.
type window struct {
	opts  Options
	size  int
	limit int
	// good counts good replies at the limit since the last change of size.
	good int
	// slow counts slow replies in a row.
	slow int
	// service is the mean duration of a run.
	service    time.Duration
	measured   bool
	replies    replyModel
	generation int
	lastReset  ResetReason
	// coldLimit bounds the window until warmUp has passed since the first grant
	// or reply after a reset; a warmUp of 0 means no bound.
	coldLimit int
	warmUp    time.Duration
	since     time.Time
}

func newWindow(opts Options) window {
	w := window{opts: opts, limit: max(opts.MaxWindow, 1), service: opts.InitialServiceTime}
	w.size = w.start()
	return w
}

func (w *window) start() int { return min(max(w.opts.InitialWindow, 1), w.limit) }

func (w *window) cold() bool { return w.size < min(warmWindow, w.limit) }

func (w *window) setLimit(limit int) {
	w.limit = max(limit, 1)
	w.size = min(w.size, w.limit)
}

func (w *window) reset(reason ResetReason) {
	w.size = w.start()
	w.good, w.slow = 0, 0
	w.since = time.Time{}
	w.generation++
	w.lastReset = reason
}

// bound is the largest window now.
func (w *window) bound(now time.Time) int {
	if w.warmUp <= 0 {
		return w.limit
	}
	if w.since.IsZero() {
		w.since = now
	}
	if cold := (ColdPeriod{until: w.since.Add(w.warmUp)}); cold.IsCold(now) {
		return min(w.limit, max(w.coldLimit, w.start()))
	}
	return w.limit
}

// observe adjusts the window to the end of a run.
func (w *window) observe(now time.Time, s Sample, took time.Duration, atLimit bool) {
	switch s.Result {
	case ResultCancelled:
	case ResultFailed:
		w.shrink()
	case ResultSucceeded:
		w.learnService(took)
		w.goodReply(now, s, atLimit)
	}
}

func (w *window) goodReply(now time.Time, s Sample, atLimit bool) {
	if w.isSlow(s) {
		w.good = 0
		w.slow++
		if w.slow >= w.opts.ColdResponses && w.size > w.start() {
			w.reset(ResetResponseTime)
		}
		return
	}
	w.slow = 0
	if atLimit {
		w.grow(now)
	}
}

func (w *window) grow(now time.Time) {
	w.good++
	if w.good < max(w.size, w.opts.GrowthResponses) || w.size >= w.bound(now) {
		return
	}
	w.size++
	w.good = 0
}

// shrink halves the window: errors under load say that it is too large.
func (w *window) shrink() {
	w.good = 0
	w.size = max(w.size/2, w.start())
}

func (w *window) learnService(took time.Duration) {
	if !w.measured {
		w.measured = true
		w.service = took
		return
	}
	w.service += time.Duration(serviceGain * float64(took-w.service))
}

// isSlow judges a reply against the expected time and learns from it.
func (w *window) isSlow(s Sample) bool {
	if s.TimeToFirstToken <= 0 {
		return false
	}
	expected, judged := w.replies.expect(s.ComputedBytes)
	w.replies.learn(s)
	bound := time.Duration(w.opts.ColdFactor*float64(expected)) + w.opts.ColdSlack
	return judged && w.opts.ColdFactor > 0 && s.TimeToFirstToken > bound
}

// replyModel expects a time to first token of a fixed part and a part for each
// byte of prompt that is computed.
type replyModel struct {
	fixed   float64 // nanoseconds
	perByte float64 // nanoseconds
	n       int
	nLong   int
}

func (m *replyModel) expect(computed int) (time.Duration, bool) {
	long := computed > shortPrompt
	judged := m.n >= judgedReplies && (!long || m.nLong >= judgedReplies)
	return time.Duration(m.fixed + m.perByte*float64(computed)), judged
}

func (m *replyModel) learn(s Sample) {
	first := float64(s.TimeToFirstToken)
	if s.ComputedBytes <= shortPrompt {
		m.fixed = follow(m.fixed, first, m.n-m.nLong)
		m.n++
		return
	}
	rest := max(0, first-m.fixed) / float64(s.ComputedBytes)
	m.perByte = follow(m.perByte, rest, m.nLong)
	m.n++
	m.nLong++
}

// follow moves a mean towards a sample, and takes the plain mean of the first
// ones.
func follow(mean, sample float64, n int) float64 {
	gain := max(replyGain, 1/float64(n+1))
	return mean + gain*(sample-mean)
}
