package gateway

import (
	"time"

	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/waitlist"
)

const (
	// maxWaitingCalls is the maximum number of calls that wait for the memory of an engine.
	// Further calls are refused.
	maxWaitingCalls = 512
	// waitingRetryInterval is the interval between two attempts to place waiting calls while
	// no call ends.
	waitingRetryInterval = 20 * time.Millisecond
	// memoryRetryAfter is the mean Retry-After value of a refused call while it is not known
	// when there will be memory for it. Retry-After values are spread from half to one and a
	// half of the mean, so that callers do not return together.
	memoryRetryAfter = 800 * time.Millisecond
	// minMemoryRetryAfter is the least mean Retry-After value.
	minMemoryRetryAfter = 200 * time.Millisecond
	// waitingTriesPerTurn is the maximum number of waiting calls of one service that one turn
	// of the router tries to place, the first ones of the list.
	waitingTriesPerTurn = 8
)

// waitingCalls are the calls of the router that wait for the memory of an engine.
type waitingCalls struct {
	list *waitlist.List[*placeRequest]
	// timer runs while calls wait.
	timer *time.Timer
	// retryAt is when the waiting calls are tried next. callEnded is set if a call has ended
	// since the last try; the waiting calls are then tried at once.
	retryAt   time.Time
	callEnded bool
	// shares divides the memory of engines among all fronts.
	shares  *memoryShares
	metrics waitingMetrics
}

func newWaitingCalls() *waitingCalls {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &waitingCalls{list: waitlist.New[*placeRequest](maxWaitingCalls), timer: timer, shares: newMemoryShares()}
}

// newWaitingCall returns the entry of a call in the list.
func newWaitingCall(now time.Time, pending *placeRequest) waitlist.Call[*placeRequest] {
	c := waitlist.Call[*placeRequest]{
		Value: pending, Service: pending.req.Service, Priority: pending.priority, Tokens: pending.req.Prompt.Tokens + pending.req.Prompt.MaxOutputTokens,
		Since: now, Until: pending.waitUntil, Deadline: pending.deadline,
	}
	if pending.req.Workspace != nil {
		c.Workspace = pending.req.Workspace.ID
	}
	return c
}

// add adds a call. It reports false if the call cannot wait: the list is full, or the work
// that is served before it would take longer than the call may wait.
func (w *waitingCalls) add(now time.Time, c waitlist.Call[*placeRequest]) bool {
	if wait, known := w.list.ExpectedWait(now, c); known && now.Add(wait).After(c.Until) {
		return false
	}
	added := w.list.Add(now, c)
	if added && w.list.Len() == 1 {
		w.schedule(now)
	}
	return added
}

func (w *waitingCalls) schedule(now time.Time) {
	w.retryAt = now.Add(waitingRetryInterval)
	w.timer.Reset(waitingRetryInterval)
}

// due reports whether waiting calls are to be tried.
func (w *waitingCalls) due(now time.Time) bool {
	return w.list.Len() > 0 && (w.callEnded || !now.Before(w.retryAt))
}

// placeWaitingCalls places waiting calls for which an engine has memory now, and refuses
// those that have waited long enough.
func (r *router) placeWaitingCalls(now time.Time) {
	due := r.waiting.due(now)
	r.waiting.callEnded = false
	if !due {
		return
	}
	for _, c := range r.waiting.list.TakeExpired(now) {
		r.waiting.metrics.refusedAfterWait.Add(1)
		r.reply(now, *c.Value, r.memoryRefusal(now, c))
	}
	r.waiting.list.Try(now, waitingTriesPerTurn, func(c waitlist.Call[*placeRequest]) bool {
		c.Value.req.WaitedShare = c.WaitedShare(now)
		if !r.allowMemory(now, &c, true) {
			return false
		}
		result := r.choose(now, c.Value)
		if result.refusal == placement.MemoryFull {
			return false
		}
		r.recordStart(c, result)
		r.reply(now, *c.Value, result)
		return true
	})
	r.waiting.metrics.waiting.Store(int64(r.waiting.list.Len()))
	if r.waiting.list.Len() > 0 {
		r.waiting.schedule(now)
	}
}

// memoryRefusal returns the refusal of a call for which no engine has memory. Its caller is
// to return when the work that waits now has been placed.
func (r *router) memoryRefusal(now time.Time, c waitlist.Call[*placeRequest]) placementResult {
	mean := memoryRetryAfter
	if wait, known := r.waiting.list.ExpectedWait(now, c); known && wait > 0 {
		mean = max(wait, minMemoryRetryAfter)
	}
	return placementResult{refusal: placement.MemoryFull, retryAfter: time.Duration((0.5 + r.random()) * float64(mean))}
}
