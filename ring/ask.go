package ring

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrFull is returned by TryRequest if the ring is full or closed.
var ErrFull = errors.New("ring is full or closed")

// Request sends a request with a new ring for the reply and waits for the reply. If
// the target ring is full, it first waits for space. After the requester has stopped
// waiting, the reply ring is closed, so that the receiver of the request notices that
// its reply is refused and can undo what it did for the request.
func Request[Req, Rep any](ctx context.Context, target *Ring[Req], newRequest func(replies *Ring[Rep]) Req) (Rep, error) {
	replies := New[Rep](1)
	if err := target.Send(ctx, newRequest(replies)); err != nil {
		var zero Rep
		return zero, err
	}
	return awaitReply(ctx, replies)
}

// TryRequest is like Request, but returns ErrFull if the target ring is full or closed.
func TryRequest[Req, Rep any](ctx context.Context, target *Ring[Req], newRequest func(replies *Ring[Rep]) Req) (Rep, error) {
	replies := New[Rep](1)
	if !target.Offer(newRequest(replies)) {
		var zero Rep
		return zero, ErrFull
	}
	return awaitReply(ctx, replies)
}

// awaitReply returns the reply. A reply that was sent before the ring was closed is
// returned even if the context has ended.
func awaitReply[Rep any](ctx context.Context, replies *Ring[Rep]) (Rep, error) {
	reply, err := replies.Receive(ctx)
	if err == nil {
		return reply, nil
	}
	replies.Close()
	if late, ok := replies.TryReceive(); ok {
		return late, nil
	}
	return reply, err
}
