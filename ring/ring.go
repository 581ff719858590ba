// Package ring provides the bounded queues that join duties. A ring blocks
// without spinning. The sender chooses what happens when the ring is full:
// Offer refuses, Send waits and Push drops the oldest element.
package ring

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned when an element is sent to a closed ring, or when a
// closed ring holds no more elements.
var ErrClosed = errors.New("ring is closed")

// Ring is a bounded first-in first-out queue for any number of senders and
// receivers.
//
// Invariant: the ready channel holds one token while the ring is non-empty or
// closed, and the room channel holds one token while the ring is not full or
// is closed. A waiter that takes a token puts it back if the condition still
// holds, so that every waiter wakes in turn.
type Ring[T any] struct {
	mu      sync.Mutex
	buf     []T
	head    int
	n       int
	closed  bool
	dropped uint64
	ready   chan struct{}
	room    chan struct{}
}

// New returns a ring that holds up to capacity elements. A capacity below one
// is taken as one.
func New[T any](capacity int) *Ring[T] {
	capacity = max(capacity, 1)
	r := &Ring[T]{
		buf:   make([]T, capacity),
		ready: make(chan struct{}, 1),
		room:  make(chan struct{}, 1),
	}
	r.room <- struct{}{}
	return r
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// signalLocked restores the invariant on the two channels.
func (r *Ring[T]) signalLocked() {
	if r.n > 0 || r.closed {
		signal(r.ready)
	}
	if r.n < len(r.buf) || r.closed {
		signal(r.room)
	}
}

func (r *Ring[T]) putLocked(v T) {
	r.buf[(r.head+r.n)%len(r.buf)] = v
	r.n++
}

func (r *Ring[T]) takeLocked() T {
	var zero T
	v := r.buf[r.head]
	r.buf[r.head] = zero
	r.head = (r.head + 1) % len(r.buf)
	r.n--
	return v
}

// Offer adds an element and reports whether there was room for it.
func (r *Ring[T]) Offer(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signalLocked()
	if r.closed || r.n == len(r.buf) {
		return false
	}
	r.putLocked(v)
	return true
}

// Push adds an element and drops the oldest one when the ring is full. It
// reports whether nothing was dropped.
func (r *Ring[T]) Push(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signalLocked()
	if r.closed {
		return false
	}
	kept := true
	if r.n == len(r.buf) {
		r.takeLocked()
		r.dropped++
		kept = false
	}
	r.putLocked(v)
	return kept
}

// Send adds an element and waits for room until the context ends.
func (r *Ring[T]) Send(ctx context.Context, v T) error {
	for {
		if r.Offer(v) {
			return nil
		}
		if r.isClosed() {
			return ErrClosed
		}
		select {
		case <-r.room:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Receive removes the oldest element and waits for one until the context ends.
// After Close it returns the remaining elements, then ErrClosed.
func (r *Ring[T]) Receive(ctx context.Context) (T, error) {
	for {
		if v, ok := r.TryReceive(); ok {
			return v, nil
		}
		var zero T
		if r.isDrained() {
			return zero, ErrClosed
		}
		select {
		case <-r.ready:
		case <-ctx.Done():
			return zero, ctx.Err()
		}
	}
}

// TryReceive removes the oldest element if there is one.
func (r *Ring[T]) TryReceive() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signalLocked()
	if r.n == 0 {
		var zero T
		return zero, false
	}
	return r.takeLocked(), true
}

// Ready returns a channel that yields a token when the ring may hold elements,
// for use in a select together with timers and other rings. The receiver then
// calls TryReceive until it reports false. The channel of a closed ring always
// yields, so a duty that closes its ring must leave its loop.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Close refuses further elements. Those in the ring can still be received.
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

// isDrained reports whether the ring is closed and empty. Receive must not
// give up on a ring that was filled and closed after its last attempt.
func (r *Ring[T]) isDrained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed && r.n == 0
}

// Len returns the number of elements in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// Cap returns the capacity in elements.
func (r *Ring[T]) Cap() int { return len(r.buf) }

// Dropped returns how many elements Push has dropped.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
