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

// TestMain sets a fixed seed for the property test, so that every run checks the same
// cases.
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

// placer is a PlaceFunc that places calls while it has credits. It does not place calls
// with the value "tried".
type placer struct {
	credits    int
	placeCount int
	placed     []core.AttemptID
}

func (p *placer) place(_ time.Time, c *call) bool {
	p.placeCount++
	if p.credits == 0 || c.Value == "tried" {
		return false
	}
	p.credits--
	p.placed = append(p.placed, c.ID)
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

// Guards against wrong or missing refusals, and against a refused call that still counts
// towards its workspace's limit.
func TestRefusals(t *testing.T) {
	p := &placer{}
	q := dispatch.New(2, p.place)
	limited := func(id core.AttemptID) call {
		c := urgent(id, "w")
		c.MaxInFlight = 1
		return c
	}
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, limited("a")).Verdict)
	require.Equal(t, dispatch.VerdictDuplicate, q.Offer(start, limited("a")).Verdict)
	require.Equal(t, dispatch.ReasonWorkspaceLimit, q.Offer(start, limited("b")).Reason)
	require.Equal(t, 1, q.InFlightCount())
	q.Remove("a")
	require.Zero(t, q.WaitingCount(pool), "a call cancelled by its client is removed from the queue")

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
	require.Equal(t, dispatch.ReasonDisplaced, evicted.Reason)

	require.Len(t, q.Stop(), 2)
	require.Equal(t, dispatch.ReasonStopping, q.Offer(start, urgent("h", "w")).Reason)
	require.Zero(t, q.InFlightCount())
}

// Guards against deferrable calls that are placed before urgent ones, and against a new
// call that overtakes waiting calls.
func TestCreditsAreUsedByClassAndAge(t *testing.T) {
	p := &placer{}
	q := dispatch.New(8, p.place)
	q.Offer(start, deferrable("d1", "w"))
	q.Offer(start, urgent("u1", "w"))
	q.Offer(start, urgent("u2", "w"))
	p.credits = 1
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, urgent("u3", "w")).Verdict)
	require.Len(t, q.PlaceWaiting(start, pool, 1), 1)
	p.credits = 3
	require.Len(t, q.PlaceWaiting(start, pool, 3), 3)
	require.Equal(t, []core.AttemptID{"u1", "u2", "u3", "d1"}, p.placed)
	require.Equal(t, 4, q.InFlightCount())
	q.Remove("u1")
	require.Equal(t, 3, q.InFlightCount())
}

// Guards against a call that cannot use a credit and blocks later calls, and against its
// removal from the queue.
func TestCallThatCannotUseCreditIsSkipped(t *testing.T) {
	p := &placer{}
	q := dispatch.New(8, p.place)
	tried := urgent("a", "w")
	tried.Value = "tried"
	q.Offer(start, tried)
	q.Offer(start, urgent("b", "w"))
	p.credits = 2
	placed := q.PlaceWaiting(start, pool, 2)
	require.Len(t, placed, 1)
	require.Equal(t, core.AttemptID("b"), placed[0].ID)
	require.Equal(t, 1, q.WaitingCount(pool))
}

// Guards against a retried call that counts twice towards the limit or is lost.
func TestRetryCountsOnceTowardsLimit(t *testing.T) {
	p := &placer{credits: 1}
	q := dispatch.New(8, p.place)
	c := urgent("a", "w")
	c.MaxInFlight = 1
	require.Equal(t, dispatch.VerdictPlaced, q.Offer(start, c).Verdict)
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, c).Verdict)
	p.credits = 1
	require.Len(t, q.PlaceWaiting(start, pool, 1), 1)
	q.Remove("a")
	require.Zero(t, q.InFlightCount())
	require.Equal(t, dispatch.VerdictWaiting, q.Offer(start, c).Verdict)
}

// Guards against a large workspace that starves the others, and against a cost per credit
// that grows with the number of waiting calls.
func TestCreditsAreDividedBetweenWorkspaces(t *testing.T) {
	p := &placer{}
	q := dispatch.New(4000, p.place)
	workspaceOf := map[core.AttemptID]core.WorkspaceID{}
	offer := func(w core.WorkspaceID, n int) {
		for i := range n {
			id := core.AttemptID(fmt.Sprint(w, i))
			workspaceOf[id] = w
			q.Offer(start, urgent(id, w))
		}
	}
	offer("large", 3000)
	for w := range 9 {
		offer(core.WorkspaceID(fmt.Sprint("small", w)), 100)
	}
	p.placeCount = 0
	for range 500 {
		p.credits = 1
		q.PlaceWaiting(start, pool, 1)
	}
	require.Equal(t, 500, p.placeCount)
	served := map[core.WorkspaceID]int{}
	for _, id := range p.placed {
		served[workspaceOf[id]]++
	}
	for w, n := range served {
		require.InDelta(t, 50, n, 1, "workspace %s", w)
	}
	require.Len(t, served, 10)

	q.RetainPools(nil)
	require.Equal(t, 3400, q.WaitingCount(pool), "a pool with waiting calls is not removed")
}

// BenchmarkCredits measures PlaceWaiting for one credit and many waiting calls.
func BenchmarkCredits(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := &placer{credits: 0}
			q := dispatch.New(n, p.place)
			for i := range n {
				q.Offer(start, urgent(core.AttemptID(fmt.Sprint(i)), core.WorkspaceID(fmt.Sprint(i%100))))
			}
			for b.Loop() {
				p.credits, p.placed = 1, p.placed[:0]
				placed := q.PlaceWaiting(start, pool, 1)
				q.Offer(start, *placed[0])
			}
		})
	}
}

// Guards against a retry time that is too short for the length of the queue.
func TestRetryAfterDependsOnQueueLength(t *testing.T) {
	p := &placer{}
	q := dispatch.New(50, p.place)
	for i := range 50 {
		q.Offer(start, urgent(core.AttemptID(fmt.Sprint(i)), "w"))
	}
	require.Equal(t, time.Second, q.Offer(start, urgent("x", "w")).RetryAfter)
	for i := range 49 {
		p.credits = 1
		now := start.Add(time.Duration(i) * 200 * time.Millisecond)
		q.PlaceWaiting(now, pool, 1)
		q.Offer(now, urgent(core.AttemptID(fmt.Sprint("y", i)), "w"))
	}
	require.InDelta(t, 10, q.Offer(start, urgent("z", "w")).RetryAfter.Seconds(), 1)
}

// Guards against calls that are lost, placed twice, or placed after a refusal.
func TestEveryCallIsPlacedOrRefusedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &placer{}
		q := dispatch.New(6, p.place)
		now, n := start, 0
		waiting, refused := map[core.AttemptID]bool{}, 0
		recordRefusals := func(refusals ...dispatch.Refusal[string]) {
			for _, r := range refusals {
				require.True(t, waiting[r.Call.ID])
				delete(waiting, r.Call.ID)
				refused++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				require.Equal(t, n, len(p.placed)+len(waiting)+refused)
				require.Equal(t, len(waiting), q.WaitingCount(pool))
				require.Equal(t, len(waiting)+len(p.placed), q.InFlightCount())
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
					recordRefusals(*d.Evicted)
				}
			},
			"credits": func(t *rapid.T) {
				p.credits += rapid.IntRange(0, 3).Draw(t, "credits")
				for _, c := range q.PlaceWaiting(now, pool, p.credits) {
					require.True(t, waiting[c.ID])
					delete(waiting, c.ID)
				}
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Second)
				recordRefusals(q.Expire(now)...)
			},
		})
	})
}
