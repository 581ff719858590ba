package ring_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/ring"
)

// Guards against lost, duplicate or reordered elements for any sequence of the
// non-blocking operations.
func TestRingMatchesQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		r := ring.New[int](capacity)
		var want []int
		var dropped uint64
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				ok := r.Offer(next)
				require.Equal(t, len(want) < capacity, ok)
				if ok {
					want = append(want, next)
				}
				next++
			},
			"push": func(*rapid.T) {
				r.Push(next)
				if len(want) == capacity {
					want = want[1:]
					dropped++
				}
				want = append(want, next)
				next++
			},
			"receive": func(t *rapid.T) {
				v, ok := r.TryReceive()
				require.Equal(t, len(want) > 0, ok)
				if ok {
					require.Equal(t, want[0], v)
					want = want[1:]
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(want), r.Len())
				require.Equal(t, dropped, r.Dropped())
			},
		})
	})
}

// Guards against a lost notification with several blocked senders and receivers, and
// against lost elements. synctest fails the test on a deadlock.
func TestRingBlockingSendersAndReceivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const senders, perSender = 4, 100
		r := ring.New[int](2)
		got := make([]int, senders*perSender)
		var senderGroup, receiverGroup conc.WaitGroup
		for s := range senders {
			senderGroup.Go(func() {
				for i := range perSender {
					if r.Send(t.Context(), s*perSender+i) != nil {
						return
					}
				}
			})
		}
		for range 3 {
			receiverGroup.Go(func() {
				for {
					v, err := r.Receive(t.Context())
					if err != nil {
						return
					}
					got[v]++
				}
			})
		}
		senderGroup.Wait()
		r.Close()
		receiverGroup.Wait()
		for v, n := range got {
			require.Equal(t, 1, n, "element %d", v)
		}
	})
}

// Guards against a sender or receiver that still waits after its context has ended or
// the ring was closed.
func TestWaitEndsWithContextOrClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := ring.New[int](1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := r.Receive(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.NoError(t, r.Send(t.Context(), 1))
		require.ErrorIs(t, r.Send(ctx, 2), context.DeadlineExceeded)
		r.Close()
		require.ErrorIs(t, r.Send(t.Context(), 3), ring.ErrClosed)
		v, err := r.Receive(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, v)
		_, err = r.Receive(t.Context())
		require.ErrorIs(t, err, ring.ErrClosed)
	})
}

func BenchmarkRingHandOver(b *testing.B) {
	r := ring.New[int](1024)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			if _, err := r.Receive(b.Context()); err != nil {
				return
			}
		}
	})
	b.ReportAllocs()
	for b.Loop() {
		if err := r.Send(b.Context(), 1); err != nil {
			b.Fatal(err)
		}
	}
	r.Close()
	group.Wait()
}
