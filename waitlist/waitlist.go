// Package waitlist orders the calls of a front that wait until an engine has memory for
// them. Urgent calls come before deferrable ones, and among equals the workspaces are served
// in proportion to their weights, measured in work. It performs no I/O and reads no clock.
package waitlist

import (
	"slices"
	"strconv"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fairqueue"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
)

// Call is a waiting call.
type Call[T any] struct {
	Value     T
	Service   core.ServiceID
	Workspace core.WorkspaceID
	// Weight is the weight of the workspace. A weight below 1 is treated as 1.
	Weight int
	// Priority is the urgency of the call; 0 is the most urgent.
	Priority int
	// Tokens is the work of the call: the memory in tokens that it uses at an engine.
	Tokens int
	// Since is when the call arrived, Until when it stops waiting.
	Since, Until time.Time
	// Deadline is when the caller stops waiting. Callers that return after a refusal have
	// less time left than new ones and are served before them.
	Deadline time.Time
}

// WaitedShare returns the share of the call's waiting time that has passed, from 0 to 1.
func (c Call[T]) WaitedShare(now time.Time) float64 {
	total := c.Until.Sub(c.Since)
	if total <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(c.Since))/float64(total), 0), 1)
}

// class contains the calls of a service that are equally urgent.
type class[T any] struct {
	priority int
	queue    *fairqueue.Queue[Call[T]]
	// work is the work of all calls by workspace.
	work map[core.WorkspaceID]backlog.Work
}

// service contains the waiting calls of a service, the class that is served first at the
// front. Classes without calls are removed.
type service[T any] struct {
	classes []*class[T]
	drain   drain
	// arriving is the work of new calls by priority.
	arriving map[int]*workRate
	// largest are the largest calls by priority that have waited lately.
	largest map[int]recentCall
}

// List contains waiting calls.
type List[T any] struct {
	services map[core.ServiceID]*service[T]
	calls    int
	capacity int
	lastID   uint64
	// running are the calls of this front at engines.
	running *backlog.Running[uint64]
	// others is the work of other fronts as of othersAt.
	others   backlog.Summary
	othersAt time.Time
}

// New returns an empty list for at most capacity calls.
func New[T any](capacity int) *List[T] {
	return &List[T]{services: make(map[core.ServiceID]*service[T]), capacity: capacity, running: backlog.NewRunning[uint64]()}
}

// Len returns the number of waiting calls.
func (l *List[T]) Len() int { return l.calls }

// CallsByService returns the number of waiting calls of each service.
func (l *List[T]) CallsByService() map[core.ServiceID]int {
	calls := make(map[core.ServiceID]int, len(l.services))
	for id, s := range l.services {
		for _, k := range s.classes {
			calls[id] += k.queue.Len()
		}
	}
	return calls
}

// service returns a service, and creates it if there is none.
func (l *List[T]) service(id core.ServiceID) *service[T] {
	s := l.services[id]
	if s == nil {
		s = &service[T]{arriving: make(map[int]*workRate), largest: make(map[int]recentCall)}
		l.services[id] = s
	}
	return s
}

// Add adds a call. It reports false when the list is full or when the call would not wait.
func (l *List[T]) Add(now time.Time, c Call[T]) bool {
	if l.calls >= l.capacity || !now.Before(c.Until) {
		return false
	}
	s := l.service(c.Service)
	if len(s.classes) == 0 {
		s.drain.begin(now)
	}
	l.lastID++
	k := s.class(c.Priority)
	k.queue.Push(fairqueue.Item[Call[T]]{
		ID: core.AttemptID(strconv.FormatUint(l.lastID, 36)), Workspace: c.Workspace, Weight: c.Weight, Cost: float64(c.Tokens), Deadline: c.Until, Due: c.Deadline, Value: c,
	}, false)
	k.addWork(c, c.Tokens)
	s.recordLargest(now, c.Priority, c.Tokens)
	l.calls++
	return true
}

// class returns the class of a priority, and creates it if there is none.
func (s *service[T]) class(priority int) *class[T] {
	at, found := slices.BinarySearchFunc(s.classes, priority, func(k *class[T], p int) int { return k.priority - p })
	if !found {
		s.classes = slices.Insert(s.classes, at, &class[T]{priority: priority, queue: fairqueue.New[Call[T]](), work: make(map[core.WorkspaceID]backlog.Work)})
	}
	return s.classes[at]
}

// removed updates the totals after a call has left its class.
func (l *List[T]) removed(k *class[T], c Call[T]) {
	l.calls--
	k.addWork(c, -c.Tokens)
}

// addWork changes the work of the workspace of a call.
func (k *class[T]) addWork(c Call[T], tokens int) {
	w := k.work[c.Workspace]
	w.Workspace, w.Weight, w.Waiting = c.Workspace, max(c.Weight, 1), w.Waiting+tokens
	if w.Waiting <= 0 {
		delete(k.work, c.Workspace)
		return
	}
	k.work[c.Workspace] = w
}

func (s *service[T]) removeEmptyClasses() {
	s.classes = slices.DeleteFunc(s.classes, func(k *class[T]) bool { return k.queue.Len() == 0 })
}

// TakeExpired removes and returns the calls that stop waiting.
func (l *List[T]) TakeExpired(now time.Time) []Call[T] {
	var expired []Call[T]
	for _, s := range l.services {
		for _, k := range s.classes {
			for _, it := range k.queue.Expire(now) {
				l.removed(k, it.Value)
				expired = append(expired, it.Value)
			}
		}
		s.removeEmptyClasses()
	}
	return expired
}

// Try passes calls to place in their order, at most tries of each service, and removes
// those for which it returns true. While the work of other fronts is known, which bounds the
// memory of each class, one try is kept for each less urgent class.
func (l *List[T]) Try(now time.Time, tries int, place func(Call[T]) bool) {
	for _, s := range l.services {
		left, kept := tries, 0
		if l.OthersKnown(now) {
			kept = len(s.classes)
		}
		for _, k := range s.classes {
			kept = max(kept-1, 0)
			if left <= 0 {
				break
			}
			k.queue.Scan(max(left-kept, 1), func(it *fairqueue.Item[Call[T]]) bool {
				left--
				if !place(it.Value) {
					return false
				}
				l.removed(k, it.Value)
				s.drain.record(now, it.Value.Tokens)
				return true
			})
		}
		s.removeEmptyClasses()
	}
}
