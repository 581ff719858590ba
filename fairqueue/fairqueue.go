// Package fairqueue provides a queue that serves workspaces by weighted
// fair queueing: over time each waiting workspace gets service in proportion
// to its weight, independent of the number of calls it has queued.
package fairqueue

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Item is one waiting call.
type Item[T any] struct {
	ID        core.AttemptID
	Workspace core.WorkspaceID
	// Weight is the workspace's weight. A weight below 1 is treated as 1.
	Weight int
	// Cost is the amount of service that the call uses, in the same unit for all
	// calls of the queue. A cost of 0 or less is treated as 1.
	Cost float64
	// Deadline is when the call expires in the queue; zero means never.
	Deadline time.Time
	// Due orders the calls of one workspace: earlier ones are served first, and those with
	// equal times in the order of their arrival.
	Due   time.Time
	Value T

	element       *list.Element
	flow          *flow[T]
	deadlineIndex int // index in the deadline heap
}

// flow contains the calls of one workspace, ordered by Item.Due. startTag is the virtual
// time by which the active heap is sorted.
type flow[T any] struct {
	workspace   core.WorkspaceID
	weight      int
	items       *list.List
	startTag    float64
	activeIndex int // index in the active heap, or idle
}

// idle is the activeIndex of a flow without calls.
const idle = -1

// idleFlowMargin is the number of flows, in addition to twice the active ones, above
// which idle flows are pruned.
const idleFlowMargin = 64

// Queue is a weighted fair queue. Its owner enforces the capacity, which can be
// common to several queues. It is not safe for concurrent use.
type Queue[T any] struct {
	flows     map[core.WorkspaceID]*flow[T]
	byID      map[core.AttemptID]*Item[T]
	active    activeHeap[T]
	deadlines deadlineHeap[T]
	// virtualTime is the highest start tag of the calls served so far.
	virtualTime float64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{
		flows: make(map[core.WorkspaceID]*flow[T]),
		byID:  make(map[core.AttemptID]*Item[T]),
	}
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Contains reports whether the call is in the queue.
func (q *Queue[T]) Contains(id core.AttemptID) bool {
	_, ok := q.byID[id]
	return ok
}

// Push adds a call. If full is true, the call replaces the newest call of the
// workspace with the most calls relative to its weight, which is returned as
// evicted. Push returns false if the call was not added. This is the case if a call
// with the same ID is in the queue, or if full is true and no other workspace has more
// calls relative to its weight than the call's workspace would have with the call.
func (q *Queue[T]) Push(item Item[T], full bool) (evicted *Item[T], ok bool) {
	if q.Contains(item.ID) {
		return nil, false
	}
	item.Weight = max(item.Weight, 1)
	if item.Cost <= 0 {
		item.Cost = 1
	}
	f := q.getOrCreateFlow(item.Workspace)
	f.weight = item.Weight
	if full {
		mostLoaded := q.mostLoaded()
		if mostLoaded == nil || mostLoaded == f || mostLoaded.load(0) <= f.load(1) {
			q.prune()
			return nil, false
		}
		evicted = q.removeElement(mostLoaded.items.Back())
	}
	it := &item
	it.flow = f
	it.element = f.insert(it)
	q.byID[it.ID] = it
	heap.Push(&q.deadlines, it)
	q.activate(f)
	q.prune()
	return evicted, true
}

// Pop removes the call that is served next.
func (q *Queue[T]) Pop() (*Item[T], bool) {
	if len(q.active) == 0 {
		return nil, false
	}
	f := q.active[0]
	q.virtualTime = max(q.virtualTime, f.startTag)
	it := f.items.Front().Value.(*Item[T])
	f.startTag += it.Cost / float64(f.weight)
	heap.Fix(&q.active, f.activeIndex)
	return q.removeElement(it.element), true
}

// Scan passes calls to take in the order in which they would be served, at most limit of
// them, and removes those for which it returns true. The others keep their place.
func (q *Queue[T]) Scan(limit int, take func(*Item[T]) bool) {
	virtualTime := q.virtualTime
	var skipped []*Item[T]
	for range limit {
		if len(q.active) == 0 {
			break
		}
		startTag := q.active[0].startTag
		it, _ := q.Pop() // there is an active flow
		if take(it) {
			virtualTime = max(virtualTime, startTag)
			continue
		}
		skipped = append(skipped, it)
	}
	for _, it := range slices.Backward(skipped) {
		q.Restore(it)
	}
	q.virtualTime = virtualTime
}

// PopFromMostLoaded removes the newest call of the workspace with the most calls
// relative to its weight.
func (q *Queue[T]) PopFromMostLoaded() (*Item[T], bool) {
	f := q.mostLoaded()
	if f == nil {
		return nil, false
	}
	return q.removeElement(f.items.Back()), true
}

// Remove removes a call by its ID.
func (q *Queue[T]) Remove(id core.AttemptID) (*Item[T], bool) {
	it, ok := q.byID[id]
	if !ok {
		return nil, false
	}
	return q.removeElement(it.element), true
}

// Expire removes the calls whose deadline has passed, earliest first.
func (q *Queue[T]) Expire(now time.Time) []*Item[T] {
	var expired []*Item[T]
	for len(q.deadlines) > 0 {
		it := q.deadlines[0]
		if it.Deadline.IsZero() || it.Deadline.After(now) {
			break
		}
		expired = append(expired, q.removeElement(it.element))
	}
	return expired
}

// NextDeadline returns the earliest deadline, or zero when there is none.
func (q *Queue[T]) NextDeadline() time.Time {
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].Deadline
}

// Restore inserts a call at the front of its flow after a Pop and resets the start
// tag of the flow. It does not reset the virtual time.
func (q *Queue[T]) Restore(it *Item[T]) {
	f := q.getOrCreateFlow(it.Workspace)
	f.startTag -= it.Cost / float64(it.Weight)
	it.flow = f
	it.element = f.items.PushFront(it)
	q.byID[it.ID] = it
	heap.Push(&q.deadlines, it)
	if f.activeIndex != idle {
		heap.Fix(&q.active, f.activeIndex)
		return
	}
	heap.Push(&q.active, f)
}

// getOrCreateFlow returns the flow of a workspace, and creates it if there is none.
func (q *Queue[T]) getOrCreateFlow(w core.WorkspaceID) *flow[T] {
	f, ok := q.flows[w]
	if !ok {
		f = &flow[T]{workspace: w, weight: 1, items: list.New(), startTag: q.virtualTime, activeIndex: idle}
		q.flows[w] = f
	}
	return f
}

// activate adds a flow that has calls to the active heap. It raises the start tag
// to the virtual time, so that a workspace is not served more often after it was
// idle.
func (q *Queue[T]) activate(f *flow[T]) {
	if f.activeIndex != idle || f.items.Len() == 0 {
		return
	}
	f.startTag = max(f.startTag, q.virtualTime)
	heap.Push(&q.active, f)
}

// removeElement removes a call from all data structures.
func (q *Queue[T]) removeElement(e *list.Element) *Item[T] {
	it := e.Value.(*Item[T])
	it.flow.items.Remove(e)
	delete(q.byID, it.ID)
	heap.Remove(&q.deadlines, it.deadlineIndex)
	if it.flow.items.Len() == 0 && it.flow.activeIndex != idle {
		heap.Remove(&q.active, it.flow.activeIndex)
	}
	return it
}

// prune removes idle flows, so that the map does not grow with every workspace
// that ever had a call. A start tag at or before the virtual time need not be
// retained, because activate would set it to the virtual time.
func (q *Queue[T]) prune() {
	if len(q.flows) <= 2*len(q.active)+idleFlowMargin {
		return
	}
	for w, f := range q.flows {
		if f.items.Len() == 0 && f.startTag <= q.virtualTime {
			delete(q.flows, w)
		}
	}
}

// insert adds a call behind those that are due earlier or at the same time.
func (f *flow[T]) insert(it *Item[T]) *list.Element {
	for e := f.items.Back(); e != nil; e = e.Prev() {
		if !it.Due.Before(e.Value.(*Item[T]).Due) {
			return f.items.InsertAfter(it, e)
		}
	}
	return f.items.PushFront(it)
}

// load returns the number of calls divided by the weight, with extra calls added.
func (f *flow[T]) load(extra int) float64 {
	return float64(f.items.Len()+extra) / float64(f.weight)
}

// mostLoaded returns the flow with the most calls relative to its weight, and of
// equal flows the one whose workspace ID is first.
func (q *Queue[T]) mostLoaded() *flow[T] {
	var best *flow[T]
	for _, f := range q.flows {
		if f.items.Len() == 0 {
			continue
		}
		if best == nil || f.load(0) > best.load(0) || f.load(0) == best.load(0) && f.workspace < best.workspace {
			best = f
		}
	}
	return best
}
