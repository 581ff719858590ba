// Package dispatch queues the calls of an entry that wait for a credit. There is one
// queue for each pool, that is, for each version of a model, so that a new credit is
// matched with the next call without a search through the other calls.
package dispatch

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fairqueue"
)

// maxSkipped is the maximum number of waiting calls of each class that PlaceWaiting skips
// because they cannot use a new credit: an earlier attempt was sent to the same upstream.
const maxSkipped = 4

// Pool identifies a version of a model. Its calls can be served by the same upstreams and
// wait in the same queue.
type Pool struct {
	Model   core.ModelID
	Version core.WeightVersion
}

// Call is a call that requests an upstream.
type Call[T any] struct {
	// ID identifies the call for all its attempts. It is the ID of the first attempt.
	ID        core.AttemptID
	Workspace core.WorkspaceID
	// Weight is the workspace's weight in the fair queue.
	Weight int
	// MaxInFlight is the maximum number of placed and waiting calls of the workspace
	// at this entry; 0 means no limit.
	MaxInFlight int
	Class       core.Class
	Deadline    time.Time
	Pool        Pool
	Value       T
}

// PlaceFunc places a call: it sends the call to an upstream for which the entry has a
// credit. It reports whether there was such an upstream.
type PlaceFunc[T any] func(now time.Time, call *Call[T]) bool

// Reason is why a call was refused. A refused call is not placed, but an earlier attempt
// of it may have been.
type Reason uint8

// Reasons for a refusal.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull means that the queue is full.
	ReasonQueueFull
	// ReasonWorkspaceLimit means that the workspace has too many calls in flight.
	ReasonWorkspaceLimit
	// ReasonDeadline means that the deadline passed before a credit was received.
	ReasonDeadline
	// ReasonDisplaced means that an urgent call replaced this deferrable call in the
	// full queue.
	ReasonDisplaced
	// ReasonStopping means that the entry is shutting down.
	ReasonStopping
)

// String returns the name of the reason as used in metrics and logs. The name of
// ReasonDisplaced is "preempted".
func (r Reason) String() string {
	return [...]string{"none", "queue_full", "workspace_limit", "deadline", "preempted", "stopping"}[r]
}

// Verdict is what was decided on an offered call.
type Verdict uint8

// Verdicts on a call.
const (
	// VerdictRefused means that the call was not placed. It is not in the queue and does
	// not count as in flight.
	VerdictRefused Verdict = iota
	// VerdictPlaced means that the call was sent to an upstream.
	VerdictPlaced
	// VerdictWaiting means that the call waits for a credit.
	VerdictWaiting
	// VerdictDuplicate means that a call with this ID is already waiting.
	VerdictDuplicate
)

// Refusal describes a waiting call that was refused.
type Refusal[T any] struct {
	Call   *Call[T]
	Reason Reason
	// RetryAfter is the expected time until the calls that wait now are placed.
	RetryAfter time.Duration
}

// Decision is the result of offering a call.
type Decision[T any] struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the expected time until the calls that wait now are placed.
	RetryAfter time.Duration
	// Evicted, if set, is another call that was removed from the full queue and refused.
	Evicted *Refusal[T]
}

// inFlightCall is the record of a placed or waiting call.
type inFlightCall struct {
	workspace core.WorkspaceID
	pool      Pool
}

// Limits of the time after which the client of a refused call may retry.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// intervalGain is the weight of one placement in the moving average of the interval.
const intervalGain = 0.1

// poolQueue contains the waiting calls of one pool.
type poolQueue[T any] struct {
	*fairqueue.Queues[*Call[T]]
	// lastPlacedAt is the time of the last placement from the queue, or zero if the
	// queue was empty after it. meanInterval is the mean time between placements while
	// calls were waiting.
	lastPlacedAt time.Time
	meanInterval time.Duration
}

// recordPlacement records that a waiting call was placed.
func (p *poolQueue[T]) recordPlacement(now time.Time) {
	if !p.lastPlacedAt.IsZero() {
		p.meanInterval += time.Duration(intervalGain * float64(now.Sub(p.lastPlacedAt)-p.meanInterval))
	}
	p.lastPlacedAt = now
	if p.Len() == 0 {
		p.lastPlacedAt = time.Time{}
	}
}

func (p *poolQueue[T]) retryAfter() time.Duration {
	return min(max(time.Duration(p.Len())*p.meanInterval, minRetryAfter), maxRetryAfter)
}

// Queue contains the waiting calls of one entry and counts its calls in flight. It is
// owned by one duty and is not safe for concurrent use.
type Queue[T any] struct {
	capacity int
	place    PlaceFunc[T]
	pools    map[Pool]*poolQueue[T]
	// poolsByCreation lists the pools in the sequence of their creation, so that the
	// sequence of refusals does not depend on map iteration.
	poolsByCreation []Pool
	inFlight        map[core.AttemptID]inFlightCall
	// inFlightByWorkspace counts the calls in flight.
	inFlightByWorkspace map[core.WorkspaceID]int
	stopping            bool
}

// New returns an empty queue with a capacity in waiting calls for each pool.
func New[T any](capacity int, place PlaceFunc[T]) *Queue[T] {
	return &Queue[T]{
		capacity:            capacity,
		place:               place,
		pools:               make(map[Pool]*poolQueue[T]),
		inFlight:            make(map[core.AttemptID]inFlightCall),
		inFlightByWorkspace: make(map[core.WorkspaceID]int),
	}
}

// Offer places or queues a call. To retry a call that is in flight, the entry offers it
// again. The call then still counts only once towards its workspace's limit. A refused
// call is no longer in flight.
func (q *Queue[T]) Offer(now time.Time, call Call[T]) Decision[T] {
	queue := q.getOrCreateQueue(call.Pool)
	if queue.Contains(call.ID) {
		return Decision[T]{Verdict: VerdictDuplicate}
	}
	if reason := q.register(now, &call); reason != ReasonNone {
		q.Remove(call.ID)
		return Decision[T]{Verdict: VerdictRefused, Reason: reason, RetryAfter: queue.retryAfter()}
	}
	if queue.QueuedBefore(call.Class) == 0 && q.place(now, &call) {
		return Decision[T]{Verdict: VerdictPlaced}
	}
	return q.enqueue(queue, &call)
}

// register checks a call against the deadline and its workspace's limit and records it as
// in flight.
func (q *Queue[T]) register(now time.Time, call *Call[T]) Reason {
	if q.stopping {
		return ReasonStopping
	}
	if !call.Deadline.IsZero() && !now.Before(call.Deadline) {
		return ReasonDeadline
	}
	_, retried := q.inFlight[call.ID]
	if !retried && call.MaxInFlight > 0 && q.inFlightByWorkspace[call.Workspace] >= call.MaxInFlight {
		return ReasonWorkspaceLimit
	}
	q.inFlight[call.ID] = inFlightCall{call.Workspace, call.Pool}
	if !retried {
		q.inFlightByWorkspace[call.Workspace]++
	}
	return ReasonNone
}

func (q *Queue[T]) enqueue(queue *poolQueue[T], call *Call[T]) Decision[T] {
	evicted, ok := queue.Push(call.Class, fairqueue.Item[*Call[T]]{
		ID:        call.ID,
		Workspace: call.Workspace,
		Weight:    call.Weight,
		Deadline:  call.Deadline,
		Value:     call,
	})
	if !ok {
		q.Remove(call.ID)
		return Decision[T]{Verdict: VerdictRefused, Reason: ReasonQueueFull, RetryAfter: queue.retryAfter()}
	}
	d := Decision[T]{Verdict: VerdictWaiting}
	if evicted != nil {
		reason := ReasonQueueFull
		if evicted.ByUrgent {
			reason = ReasonDisplaced
		}
		d.Evicted = q.refuse(evicted.Value, reason)
	}
	return d
}

// PlaceWaiting matches new credits of a pool with its waiting calls and returns the calls
// that were placed. In each class it stops after maxSkipped calls that cannot be placed.
func (q *Queue[T]) PlaceWaiting(now time.Time, pool Pool, credits int) []*Call[T] {
	queue, ok := q.pools[pool]
	if !ok || queue.Len() == 0 {
		return nil
	}
	var placed []*Call[T]
	for _, class := range []core.Class{core.Urgent, core.Deferrable} {
		placedOfClass := q.placeClass(now, queue, class, credits-len(placed))
		placed = append(placed, placedOfClass...)
	}
	return placed
}

// placeClass places waiting calls of one class. It restores the calls that cannot be
// placed, so that they keep their position in the queue.
func (q *Queue[T]) placeClass(now time.Time, queue *poolQueue[T], class core.Class, credits int) []*Call[T] {
	var placed []*Call[T]
	var skipped []*fairqueue.Item[*Call[T]]
	for len(placed) < credits && len(skipped) < maxSkipped {
		it, ok := queue.Pop(class)
		if !ok {
			break
		}
		if q.place(now, it.Value) {
			placed = append(placed, it.Value)
			queue.recordPlacement(now)
		} else {
			skipped = append(skipped, it)
		}
	}
	for i := len(skipped) - 1; i >= 0; i-- {
		queue.Restore(class, skipped[i])
	}
	return placed
}

// Remove removes a call that is complete, was refused or was cancelled by its client. The
// call is then neither in flight nor in the queue.
func (q *Queue[T]) Remove(id core.AttemptID) {
	call, ok := q.inFlight[id]
	if !ok {
		return
	}
	delete(q.inFlight, id)
	q.inFlightByWorkspace[call.workspace]--
	if q.inFlightByWorkspace[call.workspace] == 0 {
		delete(q.inFlightByWorkspace, call.workspace)
	}
	if queue, ok := q.pools[call.pool]; ok {
		queue.Remove(id)
	}
}

// Expire refuses the waiting calls whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []Refusal[T] {
	var refused []Refusal[T]
	for _, pool := range q.poolsByCreation {
		for _, it := range q.pools[pool].Expire(now) {
			refused = append(refused, *q.refuse(it.Value, ReasonDeadline))
		}
	}
	return refused
}

// NextDeadline returns the time at which Expire must be called, or zero if no waiting
// call has a deadline.
func (q *Queue[T]) NextDeadline() time.Time {
	var next time.Time
	for _, queue := range q.pools {
		next = fairqueue.EarlierDeadline(next, queue.NextDeadline())
	}
	return next
}

// Stop refuses all waiting and later calls. Placed calls continue.
func (q *Queue[T]) Stop() []Refusal[T] {
	q.stopping = true
	var refused []Refusal[T]
	for _, pool := range q.poolsByCreation {
		for _, it := range q.pools[pool].RemoveAll() {
			refused = append(refused, *q.refuse(it.Value, ReasonStopping))
		}
	}
	return refused
}

// WaitingCount returns the number of waiting calls of a pool.
func (q *Queue[T]) WaitingCount(pool Pool) int {
	if queue, ok := q.pools[pool]; ok {
		return queue.Len()
	}
	return 0
}

// InFlightCount returns the number of placed and waiting calls.
func (q *Queue[T]) InFlightCount() int { return len(q.inFlight) }

// RetainPools removes the queues of the pools that are not in the set, except those with
// waiting calls. It is called when the set of served model versions changes.
func (q *Queue[T]) RetainPools(pools map[Pool]bool) {
	q.poolsByCreation = slices.DeleteFunc(q.poolsByCreation, func(pool Pool) bool {
		remove := !pools[pool] && q.pools[pool].Len() == 0
		if remove {
			delete(q.pools, pool)
		}
		return remove
	})
}

// getOrCreateQueue returns the queue of a pool, and creates it if there is none.
func (q *Queue[T]) getOrCreateQueue(pool Pool) *poolQueue[T] {
	queue, ok := q.pools[pool]
	if !ok {
		queue = &poolQueue[T]{Queues: fairqueue.NewQueues[*Call[T]](q.capacity)}
		q.pools[pool] = queue
		q.poolsByCreation = append(q.poolsByCreation, pool)
	}
	return queue
}

func (q *Queue[T]) refuse(call *Call[T], reason Reason) *Refusal[T] {
	q.Remove(call.ID)
	return &Refusal[T]{Call: call, Reason: reason, RetryAfter: q.getOrCreateQueue(call.Pool).retryAfter()}
}
