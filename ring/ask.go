package ring

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrFull is returned when a question is refused.
var ErrFull = errors.New("ring is full")

// Ask sends a question with room for its answer, waiting for room in the ring,
// and then waits for the answer.
func Ask[Q, A any](ctx context.Context, to *Ring[Q], question func(reply *Ring[A]) Q) (A, error) {
	reply := New[A](1)
	if err := to.Send(ctx, question(reply)); err != nil {
		var none A
		return none, err
	}
	return reply.Receive(ctx)
}

// TryAsk is like Ask, but a full ring refuses the question with ErrFull.
func TryAsk[Q, A any](ctx context.Context, to *Ring[Q], question func(reply *Ring[A]) Q) (A, error) {
	reply := New[A](1)
	if !to.Offer(question(reply)) {
		var none A
		return none, ErrFull
	}
	return reply.Receive(ctx)
}
