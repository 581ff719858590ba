package admit

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fairqueue"
)

// preemptBurst is how many running calls may be preempted at once.
const preemptBurst = 2

// run is a call that was handed to the upstream.
type run struct {
	class   core.Class
	started time.Time
	// atLimit is set when the run's start filled the window.
	atLimit   bool
	preempted bool
	// generation is that of the window at the start. Replies to runs that began
	// before a reset say nothing about the upstream as it is now.
	generation int
}

// Controller admits calls to one upstream. It is owned by one duty and is not
// safe for concurrent use.
type Controller struct {
	opts     Options
	window   window
	running  map[core.AttemptID]*run
	deferred int // running calls of class Deferrable
	waiting  *fairqueue.ClassQueue[Call]
	credits  credits
	draining bool
	// preemptions is how many running calls may be preempted now.
	preemptions float64
}

// New returns the controller of a cold upstream.
func New(opts Options) *Controller {
	return &Controller{
		opts:        opts,
		window:      newWindow(opts),
		preemptions: preemptBurst,
		running:     make(map[core.AttemptID]*run),
		waiting:     fairqueue.NewClassQueue[Call](opts.QueueCapacity),
		credits:     newCredits(),
	}
}

// Offer decides on a new call.
func (c *Controller) Offer(now time.Time, call Call) Decision {
	if c.known(call.ID) {
		return Decision{Verdict: VerdictDuplicate}
	}
	if c.draining {
		return c.reject(ReasonDraining, c.opts.CreditLifetime)
	}
	if call.Incarnation != 0 && call.Incarnation != c.opts.Incarnation {
		return c.reject(ReasonStaleIncarnation, 0)
	}
	c.credits.spend(now, call)
	effects := c.Expire(now)
	d := c.place(now, call)
	d.Effects = merge(effects, d.Effects)
	return d
}

// place starts, queues or rejects a call.
func (c *Controller) place(now time.Time, call Call) Decision {
	if !call.Deadline.IsZero() && !now.Before(call.Deadline) {
		return c.reject(ReasonDeadline, 0)
	}
	if c.waiting.QueuedBefore(call.Class) == 0 && c.hasRoom(call.Class) {
		c.start(now, call)
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
	evicted, ok := c.waiting.Push(call.Class, fairqueue.Item[Call]{
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
	if evicted.Preempted {
		reason = ReasonPreempted
	}
	return Effects{Rejected: []Rejection{{evicted.ID, reason, delay}}}, ok
}

// Finish records the end of a run, or that a waiting call was given up by its
// caller, and returns what starts in its place.
func (c *Controller) Finish(now time.Time, id core.AttemptID, s Sample) Effects {
	effects := c.Expire(now)
	r, ok := c.running[id]
	if !ok {
		c.waiting.Remove(id)
		return effects
	}
	atLimit := r.atLimit || len(c.running) >= c.window.size
	delete(c.running, id)
	if r.class == core.Deferrable {
		c.deferred--
	}
	if s.Result == ResultSucceeded {
		c.preemptions = min(c.preemptions+c.opts.PreemptShare, preemptBurst)
	}
	if r.generation == c.window.generation {
		c.window.observe(now, s, now.Sub(r.started), atLimit)
	}
	return merge(effects, c.advance(now))
}

// Expire rejects the waiting calls whose deadline has come and forgets expired
// credits. NextDeadline says when to call it.
func (c *Controller) Expire(now time.Time) Effects {
	var effects Effects
	for _, it := range c.waiting.Expire(now) {
		effects.Rejected = append(effects.Rejected, Rejection{ID: it.ID, Reason: ReasonDeadline})
	}
	c.credits.expire(now)
	return effects
}

// NextDeadline returns the earliest deadline of a waiting call, or zero.
func (c *Controller) NextDeadline() time.Time { return c.waiting.NextDeadline() }

// Reset makes the window fall back to its start, because the upstream is not
// what it was. Runs that are under way keep their place until Finish.
func (c *Controller) Reset(reason ResetReason) { c.window.reset(reason) }

// SetMaxWindow changes the largest window. A smaller one takes effect at once.
func (c *Controller) SetMaxWindow(limit int) { c.window.setLimit(limit) }

// SetColdLimit sets how many concurrent runs a fresh upstream bears and for how
// long after a reset; a warmUp of 0 means that only replies bound the window.
func (c *Controller) SetColdLimit(runs int, warmUp time.Duration) {
	c.window.coldLimit, c.window.warmUp = runs, warmUp
}

// Drain stops admission. Waiting calls are rejected, running ones finish.
func (c *Controller) Drain() Effects {
	c.draining = true
	c.credits.clear()
	var effects Effects
	for _, it := range c.waiting.Drain() {
		effects.Rejected = append(effects.Rejected, Rejection{it.ID, ReasonDraining, c.opts.CreditLifetime})
	}
	return effects
}

// Resume ends a drain. The upstream ramps up like a cold one.
func (c *Controller) Resume() {
	if !c.draining {
		return
	}
	c.draining = false
	c.window.reset(ResetResume)
}

// GrantCredits renews the credits of a watcher.
func (c *Controller) GrantCredits(now time.Time, watcher core.NodeID) Credit {
	c.credits.expire(now)
	c.window.bound(now) // the time since a reset counts from the first grant at the latest
	credit := Credit{ExpiresAt: now.Add(c.opts.CreditLifetime), Incarnation: c.opts.Incarnation}
	if c.draining {
		c.credits.grant(now, watcher, 0, c.opts.CreditLifetime)
		return credit
	}
	total := c.free() + c.queueRoom()
	credit.Count = c.credits.grant(now, watcher, total, c.opts.CreditLifetime)
	credit.Urgent = credit.Count - divideUp(credit.Count*c.common(total), max(total, 1))
	return credit
}

// common is how many of the credits any call may use: the free places that are
// not reserved, and a short queue that keeps them busy. Further deferrable calls
// wait at the entries, where urgent calls overtake them on every upstream.
func (c *Controller) common(total int) int {
	places := max(0, c.window.size-c.reserved(c.window.size)-c.deferred)
	queue := max(0, int(c.opts.DeferrableQueueShare*float64(c.window.size))-c.waiting.Len())
	return min(total, min(places, c.free())+queue)
}

func divideUp(a, b int) int { return (a + b - 1) / b }

// RemoveWatcher forgets a watcher and its credits.
func (c *Controller) RemoveWatcher(watcher core.NodeID) { c.credits.leave(watcher) }

// State returns a snapshot for publication.
func (c *Controller) State(now time.Time) State {
	c.credits.expire(now)
	return State{
		Incarnation:        c.opts.Incarnation,
		Window:             c.window.size,
		Running:            len(c.running),
		Queued:             c.waiting.Len(),
		UrgentDelay:        c.delay(core.Urgent),
		DeferrableDelay:    c.delay(core.Deferrable),
		Cold:               c.window.cold(),
		Draining:           c.draining,
		OutstandingCredits: c.credits.outstanding,
		LastReset:          c.window.lastReset,
		Resets:             c.window.generation,
	}
}

// advance starts waiting calls while there is room, urgent ones first.
func (c *Controller) advance(now time.Time) Effects {
	var effects Effects
	for _, class := range []core.Class{core.Urgent, core.Deferrable} {
		for c.hasRoom(class) {
			it, ok := c.waiting.Pop(class)
			if !ok {
				break
			}
			c.start(now, it.Value)
			effects.Started = append(effects.Started, it.ID)
		}
	}
	effects.ToCancel = c.preempt()
	return effects
}

func (c *Controller) start(now time.Time, call Call) {
	c.running[call.ID] = &run{
		class:      call.Class,
		started:    now,
		atLimit:    len(c.running)+1 >= c.window.size,
		generation: c.window.generation,
	}
	if call.Class == core.Deferrable {
		c.deferred++
	}
}

// preempt chooses running deferrable calls to cancel, at most one for each
// waiting urgent call. The latest started loses the least work.
func (c *Controller) preempt() []core.AttemptID {
	waiting := c.waiting.QueuedBefore(core.Urgent)
	if waiting == 0 || c.delay(core.Urgent) < c.opts.PreemptDelay {
		return nil
	}
	// Calls over the window, after a reset, free no room for urgent ones.
	need := waiting + max(0, len(c.running)-c.window.size)
	for _, r := range c.running {
		if r.preempted {
			need--
		}
	}
	var chosen []core.AttemptID
	for ; need > 0 && c.preemptions >= 1; need-- {
		id, ok := c.latestDeferrable()
		if !ok {
			break
		}
		c.preemptions--
		c.running[id].preempted = true
		chosen = append(chosen, id)
	}
	return chosen
}

func (c *Controller) latestDeferrable() (core.AttemptID, bool) {
	var best core.AttemptID
	var bestRun *run
	for id, r := range c.running {
		if r.class != core.Deferrable || r.preempted {
			continue
		}
		later := bestRun == nil || r.started.After(bestRun.started)
		if later || r.started.Equal(bestRun.started) && id < best {
			best, bestRun = id, r
		}
	}
	return best, bestRun != nil
}

func (c *Controller) known(id core.AttemptID) bool {
	_, runs := c.running[id]
	return runs || c.waiting.Contains(id)
}

func (c *Controller) reject(reason Reason, after time.Duration) Decision {
	return Decision{Verdict: VerdictRejected, Reason: reason, RetryAfter: after}
}

// reserved is the part of n places that only urgent calls may use. A single
// place is not reserved, or a cold upstream would serve no deferrable call.
func (c *Controller) reserved(n int) int {
	if n < 2 || c.opts.UrgentShare <= 0 {
		return 0
	}
	return min(max(1, int(c.opts.UrgentShare*float64(n))), n-1)
}

func (c *Controller) hasRoom(class core.Class) bool {
	if len(c.running) >= c.window.size {
		return false
	}
	return class == core.Urgent || c.deferred < c.window.size-c.reserved(c.window.size)
}

func (c *Controller) free() int { return max(0, c.window.size-len(c.running)) }

// queueRoom is the room in the queue for which credits are given.
func (c *Controller) queueRoom() int {
	room := min(c.opts.QueueCapacity, int(c.opts.QueuePerWindow*float64(c.window.size)))
	return max(0, room-c.waiting.Len())
}

// delay is the expected time to admission of one more call: the calls before
// it and those over the window end at the rate of the whole window.
func (c *Controller) delay(class core.Class) time.Duration {
	before := c.waiting.QueuedBefore(class)
	if before == 0 && c.hasRoom(class) {
		return 0
	}
	over := max(0, len(c.running)-c.window.size)
	rounds := float64(before+over+1) / float64(c.window.size)
	return time.Duration(rounds * float64(c.window.service))
}

func merge(a, b Effects) Effects {
	return Effects{
		Started:  append(a.Started, b.Started...),
		Rejected: append(a.Rejected, b.Rejected...),
		ToCancel: append(a.ToCancel, b.ToCancel...),
	}
}
