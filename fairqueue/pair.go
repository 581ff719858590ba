package fairqueue

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Queues contains a fair queue for each class, with a common capacity. If it is used
// up, a new urgent call replaces a deferrable one.
type Queues[T any] struct {
	capacity int
	queues   [2]*Queue[T]
}

// EvictedItem is a waiting call that was removed for another one.
type EvictedItem[T any] struct {
	*Item[T]
	// ByUrgent is set if the other call is urgent and this one deferrable.
	// Otherwise the other call is of a workspace with fewer calls relative to its
	// weight.
	ByUrgent bool
}

// NewQueues returns empty queues with a common capacity in calls.
func NewQueues[T any](capacity int) *Queues[T] {
	return &Queues[T]{capacity: capacity, queues: [2]*Queue[T]{New[T](), New[T]()}}
}

// Push adds a call of a class. It reports false when the call was not added;
// evicted is the call that was removed for it, if any.
func (p *Queues[T]) Push(class core.Class, item Item[T]) (evicted *EvictedItem[T], ok bool) {
	if p.Len() < p.capacity {
		_, ok = p.queues[class].Push(item, false)
		return nil, ok
	}
	if class == core.Urgent && p.queues[core.Deferrable].Len() > 0 && !p.Contains(item.ID) {
		victim, _ := p.queues[core.Deferrable].PopFromMostLoaded()
		_, ok = p.queues[class].Push(item, false)
		return &EvictedItem[T]{victim, true}, ok
	}
	victim, ok := p.queues[class].Push(item, true)
	if victim == nil {
		return nil, ok
	}
	return &EvictedItem[T]{victim, false}, ok
}

// Pop removes the next call of a class.
func (p *Queues[T]) Pop(class core.Class) (*Item[T], bool) { return p.queues[class].Pop() }

// Restore inserts a call at the front of its flow after a Pop.
func (p *Queues[T]) Restore(class core.Class, it *Item[T]) { p.queues[class].Restore(it) }

// Remove takes a call out of the queues.
func (p *Queues[T]) Remove(id core.AttemptID) (*Item[T], bool) {
	for _, q := range p.queues {
		if it, ok := q.Remove(id); ok {
			return it, true
		}
	}
	return nil, false
}

// Contains reports whether the call waits.
func (p *Queues[T]) Contains(id core.AttemptID) bool {
	return p.queues[core.Urgent].Contains(id) || p.queues[core.Deferrable].Contains(id)
}

// Len returns the number of waiting calls of both classes.
func (p *Queues[T]) Len() int { return p.queues[core.Urgent].Len() + p.queues[core.Deferrable].Len() }

// QueuedBefore returns the number of waiting calls that are served before a new call
// of the class.
func (p *Queues[T]) QueuedBefore(class core.Class) int {
	if class == core.Urgent {
		return p.queues[core.Urgent].Len()
	}
	return p.Len()
}

// Expire removes the calls whose deadline has passed.
func (p *Queues[T]) Expire(now time.Time) []*Item[T] {
	return append(p.queues[core.Urgent].Expire(now), p.queues[core.Deferrable].Expire(now)...)
}

// NextDeadline returns the earliest deadline, or zero when there is none.
func (p *Queues[T]) NextDeadline() time.Time {
	return EarlierDeadline(p.queues[core.Urgent].NextDeadline(), p.queues[core.Deferrable].NextDeadline())
}

// RemoveAll removes all calls, urgent ones first.
func (p *Queues[T]) RemoveAll() []*Item[T] {
	var items []*Item[T]
	for _, q := range p.queues {
		for it, ok := q.Pop(); ok; it, ok = q.Pop() {
			items = append(items, it)
		}
	}
	return items
}

// EarlierDeadline returns the earlier of two deadlines. A zero time means no deadline.
func EarlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
