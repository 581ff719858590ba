package fairqueue

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// ClassQueue holds the waiting calls of both classes in a common room. An urgent call
// takes the place of a deferrable one when the room is used up.
type ClassQueue[T any] struct {
	room   int
	queues [2]*Queue[T]
}

// Evicted is a waiting call that made room for another one.
type Evicted[T any] struct {
	*Item[T]
	// Preempted is set when the other call is urgent and this one deferrable.
	// Otherwise a workspace with fewer calls took the place.
	Preempted bool
}

// NewClassQueue returns an empty pair of queues for up to room calls.
func NewClassQueue[T any](room int) *ClassQueue[T] {
	return &ClassQueue[T]{room: room, queues: [2]*Queue[T]{New[T](), New[T]()}}
}

// Push adds a call of a class. It reports false when the call was not added;
// evicted may name a call that left the queue.
func (p *ClassQueue[T]) Push(class core.Class, item Item[T]) (evicted *Evicted[T], ok bool) {
	if p.Len() < p.room {
		_, ok = p.queues[class].Push(item, false)
		return nil, ok
	}
	if class == core.Urgent && p.queues[core.Deferrable].Len() > 0 && !p.Contains(item.ID) {
		out, _ := p.queues[core.Deferrable].PopNewest()
		_, ok = p.queues[class].Push(item, false)
		return &Evicted[T]{out, true}, ok
	}
	out, ok := p.queues[class].Push(item, true)
	if out == nil {
		return nil, ok
	}
	return &Evicted[T]{out, false}, ok
}

// Pop removes the call of a class that is due next.
func (p *ClassQueue[T]) Pop(class core.Class) (*Item[T], bool) { return p.queues[class].Pop() }

// Restore puts a call that was just popped back to the front.
func (p *ClassQueue[T]) Restore(class core.Class, it *Item[T]) { p.queues[class].Restore(it) }

// Remove takes a call out of the queues.
func (p *ClassQueue[T]) Remove(id core.AttemptID) (*Item[T], bool) {
	for _, q := range p.queues {
		if it, ok := q.Remove(id); ok {
			return it, true
		}
	}
	return nil, false
}

// Contains reports whether the call waits.
func (p *ClassQueue[T]) Contains(id core.AttemptID) bool {
	return p.queues[core.Urgent].Contains(id) || p.queues[core.Deferrable].Contains(id)
}

// Len returns the number of waiting calls of both classes.
func (p *ClassQueue[T]) Len() int {
	return p.queues[core.Urgent].Len() + p.queues[core.Deferrable].Len()
}

// QueuedBefore returns the number of waiting calls that are served before a new call
// of the class.
func (p *ClassQueue[T]) QueuedBefore(class core.Class) int {
	if class == core.Urgent {
		return p.queues[core.Urgent].Len()
	}
	return p.Len()
}

// Expire removes the calls whose deadline has come.
func (p *ClassQueue[T]) Expire(now time.Time) []*Item[T] {
	return append(p.queues[core.Urgent].Expire(now), p.queues[core.Deferrable].Expire(now)...)
}

// NextDeadline returns the earliest deadline, or zero when there is none.
func (p *ClassQueue[T]) NextDeadline() time.Time {
	return Earlier(p.queues[core.Urgent].NextDeadline(), p.queues[core.Deferrable].NextDeadline())
}

// Drain removes all calls, urgent ones first.
func (p *ClassQueue[T]) Drain() []*Item[T] {
	var items []*Item[T]
	for _, q := range p.queues {
		for it, ok := q.Pop(); ok; it, ok = q.Pop() {
			items = append(items, it)
		}
	}
	return items
}

// Earlier returns the earlier of two times, of which zero means never.
func Earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
