package ring_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/ring"
)

type question struct {
	n     int
	reply *ring.Ring[int]
}

// Guards against answers that reach another question, questions that wait for
// ever at a full ring, and questions that outlive their context.
func TestAsk(t *testing.T) {
	asks := ring.New[question](1)
	ask := func(n int) func(*ring.Ring[int]) question {
		return func(reply *ring.Ring[int]) question { return question{n: n, reply: reply} }
	}
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		for q, err := asks.Receive(ctx); err == nil; q, err = asks.Receive(ctx) {
			q.reply.Push(2 * q.n)
		}
	}()
	for n := range 10 {
		got, err := ring.Request(t.Context(), asks, ask(n))
		require.NoError(t, err)
		require.Equal(t, 2*n, got)
		got, err = ring.TryRequest(t.Context(), asks, ask(n))
		require.NoError(t, err)
		require.Equal(t, 2*n, got)
	}
	cancel()
	<-ended
	require.True(t, asks.Offer(question{}))
	_, err := ring.TryRequest(t.Context(), asks, ask(1))
	require.ErrorIs(t, err, ring.ErrFull)
	over, stop := context.WithCancel(t.Context())
	stop()
	_, err = ring.Request(over, asks, ask(1))
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against an answer that nobody takes and that its sender thinks was
// taken, and against one that came in time and is lost.
func TestLateAnswerIsRefused(t *testing.T) {
	asks := ring.New[question](1)
	ask := func(reply *ring.Ring[int]) question { return question{reply: reply} }
	over, stop := context.WithCancel(t.Context())
	stop()
	_, err := ring.TryRequest(over, asks, ask)
	require.ErrorIs(t, err, context.Canceled)
	late, ok := asks.TryReceive()
	require.True(t, ok)
	require.False(t, late.reply.Offer(1), "the asker has given up")

	answered := func(reply *ring.Ring[int]) question {
		require.True(t, reply.Offer(7))
		return question{reply: reply}
	}
	got, err := ring.TryRequest(over, asks, answered)
	require.NoError(t, err, "the answer came before the asker gave up")
	require.Equal(t, 7, got)
}
