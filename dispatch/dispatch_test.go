package dispatch_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/dispatch"
)

// TestMain fixes the seed of the property test, so that every run checks the
// same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	start = time.Unix(1_800_000_000, 0)
	pool  = dispatch.Pool{Model: "m", Version: "v1"}
)

type call = dispatch.Call[string]

// fleet is an upstream side with a number of credits. It refuses calls whose
// value names them as tried.
type fleet struct {
	credits int
	asked   int
	placed  []core.AttemptID
}

func (f *fleet) place(_ time.Time, c *call) bool {
	f.asked++
	if f.credits == 0 || c.Value == "tried" {
		return false
	}
	f.credits--
	f.placed = append(f.placed, c.ID)
	return true
}

func urgent(id core.AttemptID, w core.WorkspaceID) call {
	return call{ID: id, Workspace: w, Pool: pool}
}

func deferrable(id core.AttemptID, w core.WorkspaceID) call {
	c := urgent(id, w)
	c.Class = core.Deferrable
	return c
}

// Guards against a wrong or missing refusal, and against a refused call that
// still counts towards its workspace's limit.
func TestRefusals(t *testing.T) {
	f := &fleet{}
	q := dispatch.New(2, f.place)
	limited := func(id core.AttemptID) call {
		c := urgent(id, "w")
		c.MaxInFlight = 1
		return c
	}
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, limited("a")).Verdict)
	require.Equal(t, dispatch.VerdictDuplicate, q.Offer(start, limited("a")).Verdict)
	require.Equal(t, dispatch.ReasonWorkspaceLimit, q.Offer(start, limited("b")).Reason)
	require.Equal(t, 1, q.InFlight())
	q.Finish("a")
	require.Zero(t, q.Waiting(pool), "a call given up by its caller leaves the queue")

	late := limited("c")
	late.Deadline = start.Add(time.Second)
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, late).Verdict)
	require.Equal(t, late.Deadline, q.NextDeadline())
	require.Empty(t, q.Expire(start))
	refused := q.Expire(late.Deadline)
	require.Len(t, refused, 1)
	require.Equal(t, dispatch.ReasonDeadline, refused[0].Reason)
	require.Equal(t, dispatch.ReasonDeadline, q.Offer(late.Deadline, late).Reason)

	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, deferrable("d", "w")).Verdict)
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, urgent("e", "w")).Verdict)
	require.Equal(t, dispatch.ReasonQueueFull, q.Offer(start, deferrable("f", "w")).Reason)
	evicted := q.Offer(start, urgent("g", "w")).Evicted
	require.Equal(t, core.AttemptID("d"), evicted.Call.ID)
	require.Equal(t, dispatch.ReasonPreempted, evicted.Reason)

	require.Len(t, q.Stop(), 2)
	require.Equal(t, dispatch.ReasonStopping, q.Offer(start, urgent("h", "w")).Reason)
	require.Zero(t, q.InFlight())
}

// Guards against urgent calls behind deferrable ones, and against a new call
// that overtakes those that wait.
func TestCreditsGoToTheCallDueNext(t *testing.T) {
	f := &fleet{}
	q := dispatch.New(8, f.place)
	q.Offer(start, deferrable("d1", "w"))
	q.Offer(start, urgent("u1", "w"))
	q.Offer(start, urgent("u2", "w"))
	f.credits = 1
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, urgent("u3", "w")).Verdict)
	require.Len(t, q.PlaceWaiting(start, pool, 1), 1)
	f.credits = 3
	require.Len(t, q.PlaceWaiting(start, pool, 3), 3)
	require.Equal(t, []core.AttemptID{"u1", "u2", "u3", "d1"}, f.placed)
	require.Equal(t, 4, q.InFlight())
	q.Finish("u1")
	require.Equal(t, 3, q.InFlight())
}

// Guards against calls that cannot use a credit and hold up those behind them,
// and against their losing their place.
func TestCallThatCannotUseCreditIsPassedOver(t *testing.T) {
	f := &fleet{}
	q := dispatch.New(8, f.place)
	tried := urgent("a", "w")
	tried.Value = "tried"
	q.Offer(start, tried)
	q.Offer(start, urgent("b", "w"))
	f.credits = 2
	placed := q.PlaceWaiting(start, pool, 2)
	require.Len(t, placed, 1)
	require.Equal(t, core.AttemptID("b"), placed[0].ID)
	require.Equal(t, 1, q.Waiting(pool))
}

// Guards against a retried call that counts twice or is lost.
func TestRetryKeepsItsPlaceInTheLimit(t *testing.T) {
	f := &fleet{credits: 1}
	q := dispatch.New(8, f.place)
	c := urgent("a", "w")
	c.MaxInFlight = 1
	require.Equal(t, dispatch.VerdictPlaced, q.Offer(start, c).Verdict)
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, c).Verdict)
	f.credits = 1
	require.Len(t, q.PlaceWaiting(start, pool, 1), 1)
	q.Finish("a")
	require.Zero(t, q.InFlight())
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, c).Verdict)
}

// Guards against a large workspace that starves the others, and against work
// for each credit that grows with the number of waiting calls.
func TestWaitingWorkspacesShareCredits(t *testing.T) {
	f := &fleet{}
	q := dispatch.New(4000, f.place)
	owner := map[core.AttemptID]core.WorkspaceID{}
	offer := func(w core.WorkspaceID, n int) {
		for i := range n {
			id := core.AttemptID(fmt.Sprint(w, i))
			owner[id] = w
			q.Offer(start, urgent(id, w))
		}
	}
	offer("large", 3000)
	for w := range 9 {
		offer(core.WorkspaceID(fmt.Sprint("small", w)), 100)
	}
	f.asked = 0
	for range 500 {
		f.credits = 1
		q.PlaceWaiting(start, pool, 1)
	}
	require.Equal(t, 500, f.asked)
	served := map[core.WorkspaceID]int{}
	for _, id := range f.placed {
		served[owner[id]]++
	}
	for w, n := range served {
		require.InDelta(t, 50, n, 1, "workspace %s", w)
	}
	require.Len(t, served, 10)

	q.RetainPools(nil)
	require.Equal(t, 3400, q.Waiting(pool), "a pool with waiting calls is kept")
}

// BenchmarkCredits measures the matching of one credit with many calls waiting.
func BenchmarkCredits(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &fleet{credits: 0}
			q := dispatch.New(n, f.place)
			for i := range n {
				q.Offer(start, urgent(core.AttemptID(fmt.Sprint(i)), core.WorkspaceID(fmt.Sprint(i%100))))
			}
			for b.Loop() {
				f.credits, f.placed = 1, f.placed[:0]
				placed := q.PlaceWaiting(start, pool, 1)
				q.Offer(start, *placed[0])
			}
		})
	}
}

// Guards against a caller that is told to come back at once while many wait.
func TestRetryAfterFollowsTheQueue(t *testing.T) {
	f := &fleet{}
	q := dispatch.New(50, f.place)
	for i := range 50 {
		q.Offer(start, urgent(core.AttemptID(fmt.Sprint(i)), "w"))
	}
	require.Equal(t, time.Second, q.Offer(start, urgent("x", "w")).RetryAfter)
	for i := range 49 {
		f.credits = 1
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		q.PlaceWaiting(now, pool, 1)
		q.Offer(now, urgent(core.AttemptID(fmt.Sprint("y", i)), "w"))
	}
	require.InDelta(t, 10, q.Offer(start, urgent("z", "w")).RetryAfter.Seconds(), 1)
}

// Guards against calls that are lost, placed twice, or placed after a refusal.
func TestEveryCallEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{}
		q := dispatch.New(6, f.place)
		now, n := start, 0
		waiting, refused := map[core.AttemptID]bool{}, 0
		settle := func(refusals ...dispatch.Refusal[string]) {
			for _, r := range refusals {
				require.True(t, waiting[r.Call.ID])
				delete(waiting, r.Call.ID)
				refused++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				require.Equal(t, n, len(f.placed)+len(waiting)+refused)
				require.Equal(t, len(waiting), q.Waiting(pool))
				require.Equal(t, len(waiting)+len(f.placed), q.InFlight())
			},
			"offer": func(t *rapid.T) {
				n++
				c := urgent(core.AttemptID(fmt.Sprint(n)), core.WorkspaceID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace")))
				c.Class = core.Class(rapid.IntRange(0, 1).Draw(t, "class"))
				c.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
				d := q.Offer(now, c)
				switch d.Verdict {
				case dispatch.VerdictRefused:
					refused++
				case dispatch.VerdictWaiting:
					waiting[c.ID] = true
				}
				if d.Evicted != nil {
					settle(*d.Evicted)
				}
			},
			"credits": func(t *rapid.T) {
				f.credits += rapid.IntRange(0, 3).Draw(t, "credits")
				for _, c := range q.PlaceWaiting(now, pool, f.credits) {
					require.True(t, waiting[c.ID])
					delete(waiting, c.ID)
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Second)
				settle(q.Expire(now)...)
			},
		})
	})
}
