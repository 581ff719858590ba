// Package fairqueue provides a queue that serves workspaces by weighted
// fair queueing: over time each waiting workspace gets service in proportion
// to its weight, whatever the number of calls it has queued.
package fairqueue

import (
	"container/heap"
	"container/list"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Item is one waiting call.
type Item[T any] struct {
	ID        core.AttemptID
	Workspace core.WorkspaceID
	// Weight is the workspace's share relative to others; below 1 is taken as 1.
	Weight int
	// Cost is the amount of service that the call takes, in any unit; 0 or less
	// is taken as 1.
	Cost float64
	// Deadline is when the call leaves the queue; zero means never.
	Deadline time.Time
	Value    T

	element *list.Element
	flow    *flow[T]
	index   int // position in the deadline heap
}

// flow holds the calls of one workspace in order of arrival. Its start tag is
// the virtual time at which its first call is due.
type flow[T any] struct {
	workspace core.WorkspaceID
	weight    int
	items     *list.List
	start     float64
	index     int // position in the active heap, or idle
}

const idle = -1

// idleFlows is how many idle workspaces beyond the active ones keep their
// start tag. A tag at or before the virtual time carries no information.
const idleFlows = 64

// Queue is a weighted fair queue. Its owner sets the bound, which may be common
// to several queues. It is not safe for concurrent use.
type Queue[T any] struct {
	flows     map[core.WorkspaceID]*flow[T]
	byID      map[core.AttemptID]*Item[T]
	active    activeHeap[T]
	deadlines deadlineHeap[T]
	virtual   float64
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

// Contains reports whether the call waits.
func (q *Queue[T]) Contains(id core.AttemptID) bool {
	_, ok := q.byID[id]
	return ok
}

// Push adds a call. When the owner says that there is no room, the newest call
// of the workspace with the most calls for its weight makes room for one of a
// workspace with fewer; it is returned as evicted. Push reports false when the
// call was not added: no workspace has more calls queued, or its id waits
// already.
func (q *Queue[T]) Push(item Item[T], full bool) (evicted *Item[T], ok bool) {
	if q.Contains(item.ID) {
		return nil, false
	}
	item.Weight = max(item.Weight, 1)
	if item.Cost <= 0 {
		item.Cost = 1
	}
	f := q.flowOf(item.Workspace)
	f.weight = item.Weight
	if full {
		heaviest := q.heaviest()
		if heaviest == nil || heaviest == f || heaviest.load(0) <= f.load(1) {
			q.prune()
			return nil, false
		}
		evicted = q.take(heaviest.items.Back())
	}
	it := &item
	it.flow = f
	it.element = f.items.PushBack(it)
	q.byID[it.ID] = it
	heap.Push(&q.deadlines, it)
	q.activate(f)
	q.prune()
	return evicted, true
}

// Pop removes the call that is due next.
func (q *Queue[T]) Pop() (*Item[T], bool) {
	if len(q.active) == 0 {
		return nil, false
	}
	f := q.active[0]
	q.virtual = max(q.virtual, f.start)
	it := f.items.Front().Value.(*Item[T])
	f.start += it.Cost / float64(f.weight)
	heap.Fix(&q.active, f.index)
	return q.take(it.element), true
}

// PopNewest removes the newest call of the workspace with the most calls for
// its weight.
func (q *Queue[T]) PopNewest() (*Item[T], bool) {
	f := q.heaviest()
	if f == nil {
		return nil, false
	}
	return q.take(f.items.Back()), true
}

// Remove takes a call out of the queue.
func (q *Queue[T]) Remove(id core.AttemptID) (*Item[T], bool) {
	it, ok := q.byID[id]
	if !ok {
		return nil, false
	}
	return q.take(it.element), true
}

// Expire removes the calls whose deadline has come, earliest first.
func (q *Queue[T]) Expire(now time.Time) []*Item[T] {
	var expired []*Item[T]
	for len(q.deadlines) > 0 {
		it := q.deadlines[0]
		if it.Deadline.IsZero() || it.Deadline.After(now) {
			break
		}
		expired = append(expired, q.take(it.element))
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

// Restore puts a call that was just popped back to the front of its workspace.
func (q *Queue[T]) Restore(it *Item[T]) {
	f := q.flowOf(it.Workspace)
	f.start -= it.Cost / float64(it.Weight)
	it.flow = f
	it.element = f.items.PushFront(it)
	q.byID[it.ID] = it
	heap.Push(&q.deadlines, it)
	if f.index != idle {
		heap.Fix(&q.active, f.index)
		return
	}
	heap.Push(&q.active, f)
}

func (q *Queue[T]) flowOf(w core.WorkspaceID) *flow[T] {
	f, ok := q.flows[w]
	if !ok {
		f = &flow[T]{workspace: w, weight: 1, items: list.New(), start: q.virtual, index: idle}
		q.flows[w] = f
	}
	return f
}

// activate puts a flow that has calls among those to be served. A workspace
// that was idle does not collect service for the time it was away.
func (q *Queue[T]) activate(f *flow[T]) {
	if f.index != idle || f.items.Len() == 0 {
		return
	}
	f.start = max(f.start, q.virtual)
	heap.Push(&q.active, f)
}

// take removes the call from all structures.
func (q *Queue[T]) take(e *list.Element) *Item[T] {
	it := e.Value.(*Item[T])
	it.flow.items.Remove(e)
	delete(q.byID, it.ID)
	heap.Remove(&q.deadlines, it.index)
	if it.flow.items.Len() == 0 && it.flow.index != idle {
		heap.Remove(&q.active, it.flow.index)
	}
	return it
}

// prune forgets idle workspaces whose tag carries no information, so that the
// map does not grow with every workspace ever seen.
func (q *Queue[T]) prune() {
	if len(q.flows) <= 2*len(q.active)+idleFlows {
		return
	}
	for w, f := range q.flows {
		if f.items.Len() == 0 && f.start <= q.virtual {
			delete(q.flows, w)
		}
	}
}

// load is the number of calls for the weight, with extra calls added.
func (f *flow[T]) load(extra int) float64 {
	return float64(f.items.Len()+extra) / float64(f.weight)
}

// heaviest returns the workspace with the most calls for its weight; the name
// decides between equals.
func (q *Queue[T]) heaviest() *flow[T] {
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
