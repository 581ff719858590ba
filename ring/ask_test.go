package ring_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/ring"
)

type request struct {
	n       int
	replies *ring.Ring[int]
}

// Guards against replies to a different request, against requests that wait forever for
// space in a full ring, and against requests that continue after the end of their context.
func TestRequest(t *testing.T) {
	requests := ring.New[request](1)
	newRequest := func(n int) func(*ring.Ring[int]) request {
		return func(replies *ring.Ring[int]) request { return request{n: n, replies: replies} }
	}
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(done)
		for r, err := requests.Receive(ctx); err == nil; r, err = requests.Receive(ctx) {
			r.replies.Push(2 * r.n)
		}
	}()
	for n := range 10 {
		got, err := ring.Request(t.Context(), requests, newRequest(n))
		require.NoError(t, err)
		require.Equal(t, 2*n, got)
		got, err = ring.TryRequest(t.Context(), requests, newRequest(n))
		require.NoError(t, err)
		require.Equal(t, 2*n, got)
	}
	cancel()
	<-done
	require.True(t, requests.Offer(request{}))
	_, err := ring.TryRequest(t.Context(), requests, newRequest(1))
	require.ErrorIs(t, err, ring.ErrFull)
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	_, err = ring.Request(cancelled, requests, newRequest(1))
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a reply that is accepted after the requester has stopped waiting, and
// against the loss of a reply that was sent while the requester was still waiting.
func TestLateReplyIsRefused(t *testing.T) {
	requests := ring.New[request](1)
	newRequest := func(replies *ring.Ring[int]) request { return request{replies: replies} }
	cancelled, stop := context.WithCancel(t.Context())
	stop()
	_, err := ring.TryRequest(cancelled, requests, newRequest)
	require.ErrorIs(t, err, context.Canceled)
	late, ok := requests.TryReceive()
	require.True(t, ok)
	require.False(t, late.replies.Offer(1), "the requester has stopped waiting")

	repliedRequest := func(replies *ring.Ring[int]) request {
		require.True(t, replies.Offer(7))
		return request{replies: replies}
	}
	got, err := ring.TryRequest(cancelled, requests, repliedRequest)
	require.NoError(t, err, "the reply was sent before the requester stopped waiting")
	require.Equal(t, 7, got)
}
