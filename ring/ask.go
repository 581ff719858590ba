package ring

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrFull is returned when a question is refused.
var ErrFull = errors.New("ring is full")

// Request sends a question with room for its answer, waiting for room in the ring,
// and then waits for the answer. Once the asker has given up, the reply ring
// refuses the answer, so that the answerer can undo what it did for it.
func Request[Q, A any](ctx context.Context, to *Ring[Q], question func(reply *Ring[A]) Q) (A, error) {
	reply := New[A](1)
	if err := to.Send(ctx, question(reply)); err != nil {
		var none A
		return none, err
	}
	return await(ctx, reply)
}

// TryRequest is like Request, but a full ring refuses the question with ErrFull.
func TryRequest[Q, A any](ctx context.Context, to *Ring[Q], question func(reply *Ring[A]) Q) (A, error) {
	reply := New[A](1)
	if !to.Offer(question(reply)) {
		var none A
		return none, ErrFull
	}
	return await(ctx, reply)
}

// await returns the answer. An answer that came before the asker gave up is
// taken even if the context has ended.
func await[A any](ctx context.Context, reply *Ring[A]) (A, error) {
	answer, err := reply.Receive(ctx)
	if err == nil {
		return answer, nil
	}
	reply.Close()
	if last, ok := reply.TryReceive(); ok {
		return last, nil
	}
	return answer, err
}
