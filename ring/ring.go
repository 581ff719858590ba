// Package ring provides the bounded queues that connect duties. Blocked senders
// and receivers do not spin. The sender chooses what happens when the ring is full:
// Offer refuses the element, Send waits and Push drops the oldest element.
package ring

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned for an element that is sent to a closed ring, and by Receive
// for a closed ring without elements.
var ErrClosed = errors.New("ring is closed")

// Ring is a bounded first-in first-out queue for any number of senders and
// receivers.
//
// Invariant: the ready channel contains a token while the ring is non-empty or
// closed, and the space channel contains a token while the ring is not full or
// is closed. A waiter that received a token puts it back if the condition is still
// true, so that one waiter after the other is notified.
type Ring[T any] struct {
	mu      sync.Mutex
	buf     []T
	head    int
	count   int
	closed  bool
	dropped uint64
	ready   chan struct{}
	space   chan struct{}
}

// New returns a ring with a capacity in elements. A capacity below one is treated
// as one.
func New[T any](capacity int) *Ring[T] {
	capacity = max(capacity, 1)
	r := &Ring[T]{
		buf:   make([]T, capacity),
		ready: make(chan struct{}, 1),
		space: make(chan struct{}, 1),
	}
	r.space <- struct{}{}
	return r
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// signalLocked restores the invariant of the two channels.
func (r *Ring[T]) signalLocked() {
	if r.count > 0 || r.closed {
		signal(r.ready)
	}
	if r.count < len(r.buf) || r.closed {
		signal(r.space)
	}
}

func (r *Ring[T]) appendLocked(v T) {
	r.buf[(r.head+r.count)%len(r.buf)] = v
	r.count++
}

func (r *Ring[T]) popLocked() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.count--
	return v
}

// Offer adds an element. It returns false if the ring is full or closed.
func (r *Ring[T]) Offer(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signalLocked()
	if r.closed || r.count == len(r.buf) {
		return false
	}
	r.appendLocked(v)
	return true
}

// Push adds an element and drops the oldest one if the ring is full. It returns true
// if the element was added and none was dropped.
func (r *Ring[T]) Push(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signalLocked()
	if r.closed {
		return false
	}
	hadSpace := true
	if r.count == len(r.buf) {
		r.popLocked()
		r.dropped++
		hadSpace = false
	}
	r.appendLocked(v)
	return hadSpace
}

// Send adds an element. It waits for space until the context ends.
func (r *Ring[T]) Send(ctx context.Context, v T) error {
	for {
		if r.Offer(v) {
			return nil
		}
		if r.isClosed() {
			return ErrClosed
		}
		select {
		case <-r.space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Receive removes the oldest element. It waits for one until the context ends.
// After Close it returns the remaining elements, then ErrClosed.
func (r *Ring[T]) Receive(ctx context.Context) (T, error) {
	for {
		if v, ok := r.TryReceive(); ok {
			return v, nil
		}
		var zero T
		if r.isClosedAndEmpty() {
			return zero, ErrClosed
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return zero, ctx.Err()
		}
	}
}

// TryReceive removes the oldest element, if there is one.
func (r *Ring[T]) TryReceive() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signalLocked()
	if r.count == 0 {
		var zero T
		return zero, false
	}
	return r.popLocked(), true
}

// Ready returns a channel that yields a token when the ring may contain elements,
// for use in a select together with timers and other rings. The receiver then
// calls TryReceive until it returns false. The channel of a closed ring always
// yields a token, so a duty that closes its ring must exit its loop.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Close closes the ring for new elements. The elements in the ring can still be
// received.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.signalLocked()
}

func (r *Ring[T]) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// isClosedAndEmpty reports whether the ring is closed and empty. A closed ring is not
// sufficient for Receive to return ErrClosed, because an element may have been added
// since its TryReceive.
func (r *Ring[T]) isClosedAndEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed && r.count == 0
}

// Len returns the number of elements in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Cap returns the capacity in elements.
func (r *Ring[T]) Cap() int { return len(r.buf) }

// Dropped returns the number of elements that Push has dropped.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
