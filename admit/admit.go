package admit

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fairqueue"
)

// preemptBurst is the maximum of Controller.preemptBudget, and thus of the calls that one
// operation preempts.
const preemptBurst = 2

// run is a call that was submitted to the upstream.
type run struct {
	class     core.Class
	startedAt time.Time
	// windowFull is set if the window was full after the start of the run.
	windowFull bool
	preempted  bool
	// generation is the window's generation at the start of the run. Results of runs
	// that started before a reset do not describe the upstream after it.
	generation int
}

// Controller admits calls to one upstream. It is owned by one duty and is not safe
// for concurrent use.
type Controller struct {
	opts           Options
	window         window
	running        map[core.AttemptID]*run
	deferrableRuns int // number of running calls of class Deferrable
	queue          *fairqueue.Queues[Call]
	credits        credits
	draining       bool
	// preemptBudget is the number of running calls that may be preempted now. Runs
	// that succeed increase it.
	preemptBudget float64
}

// New returns the controller of a cold upstream with an empty queue.
func New(opts Options) *Controller {
	return &Controller{
		opts:          opts,
		window:        newWindow(opts),
		preemptBudget: preemptBurst,
		running:       make(map[core.AttemptID]*run),
		queue:         fairqueue.NewQueues[Call](opts.QueueCapacity),
		credits:       newCredits(),
	}
}

// Offer starts, queues or rejects a new call.
func (c *Controller) Offer(now time.Time, call Call) Decision {
	if c.contains(call.ID) {
		return Decision{Verdict: VerdictDuplicate}
	}
	if c.draining {
		return c.reject(ReasonDraining, c.opts.CreditLifetime) // outstanding credits have expired by then
	}
	if call.Incarnation != 0 && call.Incarnation != c.opts.Incarnation {
		return c.reject(ReasonStaleIncarnation, 0)
	}
	c.credits.useCredit(now, call)
	effects := c.Expire(now)
	d := c.decide(now, call)
	d.Effects = mergeEffects(effects, d.Effects)
	return d
}

// decide starts, queues or rejects a call. Offer has already checked that it is
// neither a duplicate nor based on an outdated credit.
func (c *Controller) decide(now time.Time, call Call) Decision {
	if !call.Deadline.IsZero() && !now.Before(call.Deadline) {
		return c.reject(ReasonDeadline, 0)
	}
	if c.queue.QueuedBefore(call.Class) == 0 && c.hasFreeSlot(call.Class) {
		c.startRun(now, call)
		return Decision{Verdict: VerdictStarted}
	}
	delay := c.delay(call.Class)
	if !call.Deadline.IsZero() && now.Add(delay).After(call.Deadline) {
		return c.reject(ReasonDeadline, delay)
	}
	effects, ok := c.enqueue(call, delay)
	if !ok {
		return c.reject(ReasonQueueFull, delay)
	}
	effects.ToCancel = c.preempt()
	return Decision{Verdict: VerdictQueued, Effects: effects}
}

// enqueue adds a call to the queue of its class.
func (c *Controller) enqueue(call Call, delay time.Duration) (Effects, bool) {
	evicted, ok := c.queue.Push(call.Class, fairqueue.Item[Call]{
		ID:        call.ID,
		Workspace: call.Workspace,
		Weight:    call.Weight,
		Deadline:  call.Deadline,
		Value:     call,
	})
	if evicted == nil {
		return Effects{}, ok
	}
	reason := ReasonQueueFull
	if evicted.ByUrgent {
		reason = ReasonDisplaced
	}
	return Effects{Rejected: []Rejection{{evicted.ID, reason, delay}}}, ok
}

// Finish records the end of a run and starts waiting calls in the free slots. For a
// waiting call that its caller cancelled, it removes the call from the queue.
func (c *Controller) Finish(now time.Time, id core.AttemptID, s Sample) Effects {
	effects := c.Expire(now)
	r, ok := c.running[id]
	if !ok {
		c.queue.Remove(id)
		return effects
	}
	windowFull := r.windowFull || len(c.running) >= c.window.size
	delete(c.running, id)
	if r.class == core.Deferrable {
		c.deferrableRuns--
	}
	if s.Result == ResultSucceeded {
		c.preemptBudget = min(c.preemptBudget+c.opts.PreemptionsPerSuccess, preemptBurst)
	}
	if r.generation == c.window.generation {
		c.window.observe(now, s, now.Sub(r.startedAt), windowFull)
	}
	return mergeEffects(effects, c.startWaitingCalls(now))
}

// Expire rejects the waiting calls whose deadline has passed and removes expired
// credits. It must be called at NextDeadline.
func (c *Controller) Expire(now time.Time) Effects {
	var effects Effects
	for _, it := range c.queue.Expire(now) {
		effects.Rejected = append(effects.Rejected, Rejection{ID: it.ID, Reason: ReasonDeadline})
	}
	c.credits.expire(now)
	return effects
}

// NextDeadline returns the earliest deadline of a waiting call, or zero if no waiting
// call has a deadline.
func (c *Controller) NextDeadline() time.Time { return c.queue.NextDeadline() }

// Reset sets the window to its initial size because the state of the upstream has
// changed. Running calls occupy their slots until Finish.
func (c *Controller) Reset(reason ResetReason) { c.window.reset(reason) }

// SetMaxWindow changes the maximum window. A window above it is reduced at once.
func (c *Controller) SetMaxWindow(maxWindow int) { c.window.setMaxSize(maxWindow) }

// SetColdLimit sets the number of concurrent runs up to which the window grows during
// the warm-up time after a reset. A warmUp of 0 means that there is no such limit.
func (c *Controller) SetColdLimit(runs int, warmUp time.Duration) {
	c.window.coldLimit, c.window.warmUp = runs, warmUp
}

// Drain stops admission. Waiting calls are rejected, running calls continue.
func (c *Controller) Drain() Effects {
	c.draining = true
	c.credits.clear()
	var effects Effects
	for _, it := range c.queue.RemoveAll() {
		effects.Rejected = append(effects.Rejected, Rejection{it.ID, ReasonDraining, c.opts.CreditLifetime})
	}
	return effects
}

// Resume restarts admission after a drain, with the initial window.
func (c *Controller) Resume() {
	if !c.draining {
		return
	}
	c.draining = false
	c.window.reset(ResetResume)
}

// GrantCredits renews the credits of a watcher.
func (c *Controller) GrantCredits(now time.Time, watcher core.NodeID) CreditGrant {
	c.credits.expire(now)
	c.window.growthLimit(now) // starts the warm-up time if it has not started since a reset
	grant := CreditGrant{ExpiresAt: now.Add(c.opts.CreditLifetime), Incarnation: c.opts.Incarnation}
	if c.draining {
		c.credits.grant(now, watcher, 0, c.opts.CreditLifetime)
		return grant
	}
	total := c.freeSlots() + c.queueCredits()
	grant.Count = c.credits.grant(now, watcher, total, c.opts.CreditLifetime)
	// Calls of both classes may use unreservedCredits of total credits. The watcher gets
	// unreserved credits in the same ratio to its count, rounded up. The rest is for
	// urgent calls.
	grant.UrgentOnly = grant.Count - ceilDiv(grant.Count*c.unreservedCredits(total), max(total, 1))
	return grant
}

// unreservedCredits returns how many of the credits may be used by calls of both classes:
// one for each free slot that is not reserved for urgent calls, and some for a short
// queue that keeps these slots busy. Further deferrable calls wait at the entries,
// where an urgent call is placed before them, whichever upstream grants a credit.
func (c *Controller) unreservedCredits(total int) int {
	slots := max(0, c.window.size-c.reservedSlots(c.window.size)-c.deferrableRuns)
	queueSpace := max(0, int(c.opts.UnreservedQueueShare*float64(c.window.size))-c.queue.Len())
	return min(total, min(slots, c.freeSlots())+queueSpace)
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

// RemoveWatcher removes a watcher and its credits.
func (c *Controller) RemoveWatcher(watcher core.NodeID) { c.credits.removeWatcher(watcher) }

// State returns a snapshot for publication.
func (c *Controller) State(now time.Time) State {
	c.credits.expire(now)
	return State{
		Incarnation:        c.opts.Incarnation,
		Window:             c.window.size,
		Running:            len(c.running),
		Queued:             c.queue.Len(),
		UrgentDelay:        c.delay(core.Urgent),
		DeferrableDelay:    c.delay(core.Deferrable),
		Cold:               c.window.isCold(),
		Draining:           c.draining,
		OutstandingCredits: c.credits.outstanding,
		LastReset:          c.window.lastReset,
		Resets:             c.window.generation,
	}
}

// startWaitingCalls starts waiting calls while the window has free slots, urgent calls
// first.
func (c *Controller) startWaitingCalls(now time.Time) Effects {
	var effects Effects
	for _, class := range []core.Class{core.Urgent, core.Deferrable} {
		for c.hasFreeSlot(class) {
			it, ok := c.queue.Pop(class)
			if !ok {
				break
			}
			c.startRun(now, it.Value)
			effects.Started = append(effects.Started, it.ID)
		}
	}
	effects.ToCancel = c.preempt()
	return effects
}

func (c *Controller) startRun(now time.Time, call Call) {
	c.running[call.ID] = &run{
		class:      call.Class,
		startedAt:  now,
		windowFull: len(c.running)+1 >= c.window.size,
		generation: c.window.generation,
	}
	if call.Class == core.Deferrable {
		c.deferrableRuns++
	}
}

// preempt selects running deferrable calls to cancel, at most one for each waiting
// urgent call and for each running call in excess of the window. It selects the calls
// that started last, because they lose the least work.
func (c *Controller) preempt() []core.AttemptID {
	// Only waiting urgent calls are served before a new urgent call.
	urgentWaiting := c.queue.QueuedBefore(core.Urgent)
	if urgentWaiting == 0 || c.delay(core.Urgent) < c.opts.MinDelayToPreempt {
		return nil
	}
	// After a reset, more calls can be running than the window allows. The end of the
	// excess calls frees no slot for an urgent call, so further calls must be cancelled.
	needed := urgentWaiting + max(0, len(c.running)-c.window.size)
	for _, r := range c.running {
		if r.preempted {
			needed--
		}
	}
	var selected []core.AttemptID
	for ; needed > 0 && c.preemptBudget >= 1; needed-- {
		id, ok := c.latestDeferrable()
		if !ok {
			break
		}
		c.preemptBudget--
		c.running[id].preempted = true
		selected = append(selected, id)
	}
	return selected
}

func (c *Controller) latestDeferrable() (core.AttemptID, bool) {
	var best core.AttemptID
	var bestRun *run
	for id, r := range c.running {
		if r.class != core.Deferrable || r.preempted {
			continue
		}
		later := bestRun == nil || r.startedAt.After(bestRun.startedAt)
		if later || r.startedAt.Equal(bestRun.startedAt) && id < best {
			best, bestRun = id, r
		}
	}
	return best, bestRun != nil
}

func (c *Controller) contains(id core.AttemptID) bool {
	_, running := c.running[id]
	return running || c.queue.Contains(id)
}

func (c *Controller) reject(reason Reason, retryAfter time.Duration) Decision {
	return Decision{Verdict: VerdictRejected, Reason: reason, RetryAfter: retryAfter}
}

// reservedSlots returns how many of n slots only urgent calls may use. A single slot
// is not reserved, because a cold upstream would then serve no deferrable calls.
func (c *Controller) reservedSlots(n int) int {
	if n < 2 || c.opts.UrgentShare <= 0 {
		return 0
	}
	return min(max(1, int(c.opts.UrgentShare*float64(n))), n-1)
}

func (c *Controller) hasFreeSlot(class core.Class) bool {
	if len(c.running) >= c.window.size {
		return false
	}
	return class == core.Urgent || c.deferrableRuns < c.window.size-c.reservedSlots(c.window.size)
}

func (c *Controller) freeSlots() int { return max(0, c.window.size-len(c.running)) }

// queueCredits returns the number of calls that credits may add to the queue.
func (c *Controller) queueCredits() int {
	limit := min(c.opts.QueueCapacity, int(c.opts.QueueCreditFactor*float64(c.window.size)))
	return max(0, limit-c.queue.Len())
}

// delay returns the expected time to admission of one more call. It assumes that in each
// mean service time as many calls finish as the window allows. First the running calls in
// excess of the window must finish, then one call for each call queued before.
func (c *Controller) delay(class core.Class) time.Duration {
	queued := c.queue.QueuedBefore(class)
	if queued == 0 && c.hasFreeSlot(class) {
		return 0
	}
	excess := max(0, len(c.running)-c.window.size)
	rounds := float64(queued+excess+1) / float64(c.window.size)
	return time.Duration(rounds * float64(c.window.serviceTime))
}

func mergeEffects(a, b Effects) Effects {
	return Effects{
		Started:  append(a.Started, b.Started...),
		Rejected: append(a.Rejected, b.Rejected...),
		ToCancel: append(a.ToCancel, b.ToCancel...),
	}
}
