// Package dispatch holds the calls of an entry that wait for a credit. Calls
// wait in pools, one for each version of a model, so that a newly arrived
// credit is matched with the call that is due next without looking at others.
package dispatch

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fairqueue"
)

// setAside is how many calls that cannot use a new credit, because they were
// tried on that upstream before, are passed over for the calls behind them.
const setAside = 4

// Pool names the calls that the same upstreams can serve.
type Pool struct {
	Model   core.ModelID
	Version core.WeightVersion
}

// Call is a call that asks for an upstream. Its id is that of its first attempt
// and stays the same over retries.
type Call[T any] struct {
	ID        core.AttemptID
	Workspace core.WorkspaceID
	// Weight is the workspace's share of contended credits.
	Weight int
	// MaxInFlight bounds the workspace's calls at this entry, waiting ones
	// included; 0 means no bound.
	MaxInFlight int
	Class       core.Class
	Deadline    time.Time
	Pool        Pool
	Value       T
}

// PlaceFunc sends a call to an upstream that has a credit for it and reports
// whether there was one.
type PlaceFunc[T any] func(now time.Time, call *Call[T]) bool

// Reason is why a call was refused. A refused call was never dispatched.
type Reason uint8

// Reasons of refusal.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull means that all room for waiting calls is taken.
	ReasonQueueFull
	// ReasonWorkspaceLimit means that the workspace has too many calls in flight.
	ReasonWorkspaceLimit
	// ReasonDeadline means that the deadline came before a credit.
	ReasonDeadline
	// ReasonPreempted means that an urgent call took the place in the queue.
	ReasonPreempted
	// ReasonStopping means that the entry is shutting down.
	ReasonStopping
)

// String returns the name of the reason as used in metrics and logs.
func (r Reason) String() string {
	return [...]string{"none", "queue_full", "workspace_limit", "deadline", "preempted", "stopping"}[r]
}

// Verdict is the answer to an offered call.
type Verdict uint8

// Verdicts on a call.
const (
	// VerdictRefused means that the call was not dispatched and is no longer known.
	VerdictRefused Verdict = iota
	// VerdictPlaced means that the call was sent.
	VerdictPlaced
	// VerdictWaiting means that the call waits for a credit.
	VerdictWaiting
	// VerdictDuplicate means that a call with this id waits already.
	VerdictDuplicate
)

// Refusal names a waiting call that was refused.
type Refusal[T any] struct {
	Call   *Call[T]
	Reason Reason
	// RetryAfter is when the calls that wait now are expected to be placed.
	RetryAfter time.Duration
}

// Decision is the answer to an offered call.
type Decision[T any] struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is when the calls that wait now are expected to be placed.
	RetryAfter time.Duration
	// Evicted, if set, is another call that was refused to make room.
	Evicted *Refusal[T]
}

// entry is what is kept about a call in flight.
type entry struct {
	workspace core.WorkspaceID
	pool      Pool
}

// Bounds of the time after which a refused caller is told to come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// intervalGain is the weight of one placement in the mean interval.
const intervalGain = 0.1

// waiting holds the waiting calls of one pool.
type waiting[T any] struct {
	*fairqueue.ClassQueue[*Call[T]]
	// last is when a call was last placed while others waited, and interval the
	// mean time between such placements.
	last     time.Time
	interval time.Duration
}

// placed records that a call left the queue for an upstream.
func (w *waiting[T]) placed(now time.Time) {
	if !w.last.IsZero() {
		w.interval += time.Duration(intervalGain * float64(now.Sub(w.last)-w.interval))
	}
	w.last = now
	if w.Len() == 0 {
		w.last = time.Time{}
	}
}

func (w *waiting[T]) retryAfter() time.Duration {
	return min(max(time.Duration(w.Len())*w.interval, minRetryAfter), maxRetryAfter)
}

// Queue holds the waiting calls of one entry and counts those in flight. It is
// owned by one duty and is not safe for concurrent use.
type Queue[T any] struct {
	room  int
	place PlaceFunc[T]
	pools map[Pool]*waiting[T]
	// order lists the pools by creation, so that refusals come in the same order
	// on every run.
	order    []Pool
	inFlight map[core.AttemptID]entry
	perSpace map[core.WorkspaceID]int
	stopping bool
}

// New returns an empty queue for up to room waiting calls in each pool.
func New[T any](room int, place PlaceFunc[T]) *Queue[T] {
	return &Queue[T]{
		room:     room,
		place:    place,
		pools:    make(map[Pool]*waiting[T]),
		inFlight: make(map[core.AttemptID]entry),
		perSpace: make(map[core.WorkspaceID]int),
	}
}

// Offer places a call or lets it wait. A call that is in flight already is
// offered again for a retry; it counts once towards its workspace's limit, and
// a refusal ends it.
func (q *Queue[T]) Offer(now time.Time, call Call[T]) Decision[T] {
	pair := q.pair(call.Pool)
	if pair.Contains(call.ID) {
		return Decision[T]{Verdict: VerdictDuplicate}
	}
	if reason := q.enter(now, &call); reason != ReasonNone {
		q.Finish(call.ID)
		return Decision[T]{Verdict: VerdictRefused, Reason: reason, RetryAfter: pair.retryAfter()}
	}
	if pair.QueuedBefore(call.Class) == 0 && q.place(now, &call) {
		return Decision[T]{Verdict: VerdictPlaced}
	}
	return q.wait(pair, &call)
}

// enter counts a new call towards its workspace's limit.
func (q *Queue[T]) enter(now time.Time, call *Call[T]) Reason {
	if q.stopping {
		return ReasonStopping
	}
	if !call.Deadline.IsZero() && !now.Before(call.Deadline) {
		return ReasonDeadline
	}
	_, again := q.inFlight[call.ID]
	if !again && call.MaxInFlight > 0 && q.perSpace[call.Workspace] >= call.MaxInFlight {
		return ReasonWorkspaceLimit
	}
	q.inFlight[call.ID] = entry{call.Workspace, call.Pool}
	if !again {
		q.perSpace[call.Workspace]++
	}
	return ReasonNone
}

func (q *Queue[T]) wait(pair *waiting[T], call *Call[T]) Decision[T] {
	evicted, ok := pair.Push(call.Class, fairqueue.Item[*Call[T]]{
		ID:        call.ID,
		Workspace: call.Workspace,
		Weight:    call.Weight,
		Deadline:  call.Deadline,
		Value:     call,
	})
	if !ok {
		q.Finish(call.ID)
		return Decision[T]{Verdict: VerdictRefused, Reason: ReasonQueueFull, RetryAfter: pair.retryAfter()}
	}
	d := Decision[T]{Verdict: VerdictWaiting}
	if evicted != nil {
		reason := ReasonQueueFull
		if evicted.Preempted {
			reason = ReasonPreempted
		}
		d.Evicted = q.refuse(evicted.Value, reason)
	}
	return d
}

// PlaceWaiting matches newly arrived credits of a pool with its waiting calls, and
// returns the calls that were placed. It stops when the calls that are due
// next cannot be placed.
func (q *Queue[T]) PlaceWaiting(now time.Time, pool Pool, credits int) []*Call[T] {
	pair, ok := q.pools[pool]
	if !ok || pair.Len() == 0 {
		return nil
	}
	var placed []*Call[T]
	for _, class := range []core.Class{core.Urgent, core.Deferrable} {
		done := q.match(now, pair, class, credits-len(placed))
		placed = append(placed, done...)
	}
	return placed
}

func (q *Queue[T]) match(now time.Time, pair *waiting[T], class core.Class, credits int) []*Call[T] {
	var placed []*Call[T]
	var aside []*fairqueue.Item[*Call[T]]
	for len(placed) < credits && len(aside) < setAside {
		it, ok := pair.Pop(class)
		if !ok {
			break
		}
		if q.place(now, it.Value) {
			placed = append(placed, it.Value)
			pair.placed(now)
		} else {
			aside = append(aside, it)
		}
	}
	for i := len(aside) - 1; i >= 0; i-- {
		pair.Restore(class, aside[i])
	}
	return placed
}

// Finish records that a call is over, or that its caller gave it up.
func (q *Queue[T]) Finish(id core.AttemptID) {
	e, ok := q.inFlight[id]
	if !ok {
		return
	}
	delete(q.inFlight, id)
	q.perSpace[e.workspace]--
	if q.perSpace[e.workspace] == 0 {
		delete(q.perSpace, e.workspace)
	}
	if pair, ok := q.pools[e.pool]; ok {
		pair.Remove(id)
	}
}

// Expire refuses the waiting calls whose deadline has come.
func (q *Queue[T]) Expire(now time.Time) []Refusal[T] {
	var refused []Refusal[T]
	for _, pool := range q.order {
		for _, it := range q.pools[pool].Expire(now) {
			refused = append(refused, *q.refuse(it.Value, ReasonDeadline))
		}
	}
	return refused
}

// NextDeadline returns when to call Expire, or zero when nothing waits.
func (q *Queue[T]) NextDeadline() time.Time {
	var next time.Time
	for _, pair := range q.pools {
		next = fairqueue.Earlier(next, pair.NextDeadline())
	}
	return next
}

// Stop refuses all waiting and later calls. Calls that were placed go on.
func (q *Queue[T]) Stop() []Refusal[T] {
	q.stopping = true
	var refused []Refusal[T]
	for _, pool := range q.order {
		for _, it := range q.pools[pool].Drain() {
			refused = append(refused, *q.refuse(it.Value, ReasonStopping))
		}
	}
	return refused
}

// Waiting returns the number of waiting calls of a pool.
func (q *Queue[T]) Waiting(pool Pool) int {
	if pair, ok := q.pools[pool]; ok {
		return pair.Len()
	}
	return 0
}

// InFlight returns the number of calls that are placed or wait.
func (q *Queue[T]) InFlight() int { return len(q.inFlight) }

// RetainPools forgets the empty pools that are not among those given. It is called
// when the view in force changes; calls that wait elsewhere keep their pool.
func (q *Queue[T]) RetainPools(pools map[Pool]bool) {
	q.order = slices.DeleteFunc(q.order, func(pool Pool) bool {
		forget := !pools[pool] && q.pools[pool].Len() == 0
		if forget {
			delete(q.pools, pool)
		}
		return forget
	})
}

func (q *Queue[T]) pair(pool Pool) *waiting[T] {
	pair, ok := q.pools[pool]
	if !ok {
		pair = &waiting[T]{ClassQueue: fairqueue.NewClassQueue[*Call[T]](q.room)}
		q.pools[pool] = pair
		q.order = append(q.order, pool)
	}
	return pair
}

func (q *Queue[T]) refuse(call *Call[T], reason Reason) *Refusal[T] {
	q.Finish(call.ID)
	return &Refusal[T]{Call: call, Reason: reason, RetryAfter: q.pair(call.Pool).retryAfter()}
}
