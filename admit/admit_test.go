package admit_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/core"
)

// TestMain sets a fixed seed for the property tests, so that every run checks the same
// cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0)

// harness applies operations to a controller and records separately which calls are
// running, waiting, started and rejected.
type harness struct {
	c       *admit.Controller
	opts    admit.Options
	now     time.Time
	lastID  int
	running map[core.AttemptID]bool
	waiting map[core.AttemptID]bool
	started map[core.AttemptID]bool
	// succeeded counts complete responses, preempted the calls in ToCancel.
	succeeded, preempted int
	rejected             map[core.AttemptID]bool
}

func newHarness(maxWindow int) *harness {
	opts := admit.Defaults(maxWindow, 7)
	opts.QueueCapacity = 8
	return &harness{
		c: admit.New(opts), opts: opts, now: start,
		running: map[core.AttemptID]bool{}, waiting: map[core.AttemptID]bool{},
		started: map[core.AttemptID]bool{}, rejected: map[core.AttemptID]bool{},
	}
}

// recordStart records the start of a call and checks that it does not exceed the window.
func (h *harness) recordStart(t require.TestingT, id core.AttemptID) {
	require.False(t, h.started[id], "call started twice")
	h.started[id] = true
	h.running[id] = true
	delete(h.waiting, id)
	require.LessOrEqual(t, len(h.running), h.c.State(h.now).Window, "more running calls than the window allows")
}

func (h *harness) apply(t require.TestingT, e admit.Effects) {
	for _, id := range e.Started {
		require.True(t, h.waiting[id])
		h.recordStart(t, id)
	}
	for _, r := range e.Rejected {
		require.True(t, h.waiting[r.ID], "rejected a call that is not waiting")
		delete(h.waiting, r.ID)
		h.rejected[r.ID] = true
	}
	for _, id := range e.ToCancel {
		require.True(t, h.running[id])
		h.preempted++
	}
}

func (h *harness) offer(t require.TestingT, call admit.Call) admit.Verdict {
	d := h.c.Offer(h.now, call)
	switch d.Verdict {
	case admit.VerdictStarted:
		require.True(t, call.Deadline.IsZero() || h.now.Before(call.Deadline), "call started after its deadline")
		h.recordStart(t, call.ID)
	case admit.VerdictQueued:
		h.waiting[call.ID] = true
	case admit.VerdictRejected:
		h.rejected[call.ID] = true
	}
	h.apply(t, d.Effects)
	return d.Verdict
}

func (h *harness) newID() core.AttemptID {
	h.lastID++
	return core.AttemptID(fmt.Sprintf("c%03d", h.lastID))
}

func (h *harness) check(t require.TestingT) {
	s := h.c.State(h.now)
	require.Equal(t, len(h.running), s.Running)
	require.Equal(t, len(h.waiting), s.Queued)
	require.LessOrEqual(t, s.Queued, h.opts.QueueCapacity)
	require.LessOrEqual(t, s.Window, h.opts.MaxWindow)
	require.LessOrEqual(t, s.OutstandingCredits, s.Window+h.opts.QueueCapacity)
	require.LessOrEqual(t, float64(h.preempted), 2+h.opts.PreemptionsPerSuccess*float64(h.succeeded)+1e-9)
	for id := range h.rejected {
		require.False(t, h.started[id], "call both rejected and started")
	}
}

// randomCall returns a random call of the set, if the set is not empty.
func randomCall(t *rapid.T, set map[core.AttemptID]bool) (core.AttemptID, bool) {
	if len(set) == 0 {
		return "", false
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(set))).Draw(t, "id"), true
}

// Guards against calls that are started although the window is full, also directly after
// a reset, against calls that are both rejected and started, against more credits than
// the limit, and against preemptions so frequent that a small window never finishes a
// call.
func TestInvariantsUnderRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapid.IntRange(1, 12).Draw(t, "max"))
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { h.check(t) },
			"offer": func(t *rapid.T) {
				h.offer(t, admit.Call{
					ID:          h.newID(),
					Workspace:   core.WorkspaceID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "workspace")),
					Class:       core.Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Deadline:    h.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond),
					Watcher:     "e1",
					Incarnation: core.Incarnation(rapid.SampledFrom([]int{0, 6, 7}).Draw(t, "incarnation")),
				})
			},
			"done": func(t *rapid.T) {
				if id, ok := randomCall(t, h.running); ok {
					delete(h.running, id)
					firstToken := time.Duration(rapid.IntRange(1, 900).Draw(t, "first")) * time.Millisecond
					result := admit.Result(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2}).Draw(t, "result"))
					if result == admit.ResultSucceeded {
						h.succeeded++
					}
					h.apply(t, h.c.Finish(h.now, id, admit.Sample{Result: result, TimeToFirstToken: firstToken}))
				}
			},
			"give up": func(t *rapid.T) {
				if id, ok := randomCall(t, h.waiting); ok {
					delete(h.waiting, id)
					h.apply(t, h.c.Finish(h.now, id, admit.Sample{Result: admit.ResultCancelled}))
				}
			},
			"repeat": func(t *rapid.T) {
				if id, ok := randomCall(t, h.running); ok {
					require.Equal(t, admit.VerdictDuplicate, h.c.Offer(h.now, admit.Call{ID: id}).Verdict)
				}
			},
			"reset": func(t *rapid.T) {
				h.c.Reset(admit.ResetCacheLost)
				require.Equal(t, h.opts.InitialWindow, h.c.State(h.now).Window)
			},
			"time": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				h.apply(t, h.c.Expire(h.now))
			},
			"grant": func(t *rapid.T) {
				grant := h.c.GrantCredits(h.now, core.NodeID(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "watcher")))
				require.GreaterOrEqual(t, grant.Count, grant.UrgentOnly)
			},
			"drain": func(t *rapid.T) {
				h.apply(t, h.c.Drain())
				require.Equal(t, admit.VerdictRejected, h.offer(t, admit.Call{ID: h.newID()}))
				h.c.Resume()
				require.Equal(t, h.opts.InitialWindow, h.c.State(h.now).Window)
			},
		})
	})
}

// finishOne fills the window and finishes one call.
func (h *harness) finishOne(t require.TestingT, s admit.Sample) {
	for h.offer(t, admit.Call{ID: h.newID()}) == admit.VerdictStarted {
	}
	id := slices.Min(slices.Collect(maps.Keys(h.running)))
	delete(h.running, id)
	h.apply(t, h.c.Finish(h.now, id, s))
}

// Guards against a window that grows although it is not full, and checks its growth and
// its maximum under load.
func TestWindowGrowsOnlyWhenFull(t *testing.T) {
	h := newHarness(4)
	for range 20 {
		id := h.newID()
		h.offer(t, admit.Call{ID: id})
		delete(h.running, id)
		h.apply(t, h.c.Finish(h.now, id, admit.Sample{}))
	}
	require.Equal(t, 2, h.c.State(h.now).Window, "sequential calls fill a window of 1, which grows to 2, but not a window of 2")
	for range 40 {
		h.finishOne(t, admit.Sample{})
	}
	require.Equal(t, 4, h.c.State(h.now).Window)
	require.False(t, h.c.State(h.now).Cold)
}

// Guards against an upstream that becomes cold without reporting a restart or the loss of
// its cache, and keeps the window of a warm one.
func TestSlowResponsesResetWindow(t *testing.T) {
	h := newHarness(8)
	warm := admit.Sample{TimeToFirstToken: 50 * time.Millisecond, ComputedBytes: 1000}
	cold := admit.Sample{TimeToFirstToken: 900 * time.Millisecond, ComputedBytes: 1000}
	for range 100 {
		h.finishOne(t, warm)
	}
	require.Equal(t, 8, h.c.State(h.now).Window)
	h.finishOne(t, cold)
	require.Equal(t, 8, h.c.State(h.now).Window, "one slow response is not enough")
	h.finishOne(t, cold)
	require.Equal(t, 1, h.c.State(h.now).Window)
	require.Equal(t, admit.ResetResponseTime, h.c.State(h.now).LastReset)
}

// Guards against a large workspace that starves the others. While all workspaces have
// waiting calls, nine workspaces of weight 1 get equal service, and one of weight 3 gets
// three times as much.
func TestWorkspacesAreServedByWeight(t *testing.T) {
	opts := admit.Defaults(1, 7)
	opts.QueueCapacity = 40
	c := admit.New(opts)
	workspaceOf := map[core.AttemptID]core.WorkspaceID{}
	served := map[core.WorkspaceID]int{}
	n := 0
	offer := func(w core.WorkspaceID, weight int) {
		n++
		id := core.AttemptID(fmt.Sprint(n))
		workspaceOf[id] = w
		c.Offer(start, admit.Call{ID: id, Workspace: w, Weight: weight})
	}
	offer("large", 1)
	current := core.AttemptID("1")
	for range 1200 {
		for range 12 {
			offer("large", 1)
		}
		for w := range 8 {
			offer(core.WorkspaceID(fmt.Sprintf("small%d", w)), 1)
		}
		offer("heavy", 3)
		offer("heavy", 3)
		effects := c.Finish(start, current, admit.Sample{})
		require.Len(t, effects.Started, 1)
		current = effects.Started[0]
		served[workspaceOf[current]]++
	}
	for w, got := range served {
		want := 100
		if w == "heavy" {
			want = 300
		}
		require.InDelta(t, want, got, 10, "workspace %s", w)
	}
	require.Len(t, served, 10)
}

// Guards against urgent calls that wait behind deferrable ones.
func TestUrgentCallsAreServedFirst(t *testing.T) {
	opts := admit.Defaults(4, 7)
	opts.InitialWindow = 4
	opts.QueueCapacity = 2
	c := admit.New(opts)
	now := start
	offer := func(id core.AttemptID, class core.Class) admit.Decision {
		now = now.Add(time.Millisecond)
		return c.Offer(now, admit.Call{ID: id, Class: class})
	}
	for _, id := range []core.AttemptID{"d1", "d2", "d3"} {
		require.Equal(t, admit.VerdictStarted, offer(id, core.Deferrable).Verdict)
	}
	require.Equal(t, admit.VerdictQueued, offer("d4", core.Deferrable).Verdict, "the reserved slot stays free")
	require.Equal(t, admit.VerdictStarted, offer("u1", core.Urgent).Verdict)
	require.Equal(t, admit.VerdictQueued, offer("d5", core.Deferrable).Verdict)

	d := offer("u2", core.Urgent)
	require.Equal(t, admit.VerdictQueued, d.Verdict)
	require.Len(t, d.Rejected, 1, "a full queue evicts a waiting deferrable call")
	require.Equal(t, admit.ReasonDisplaced, d.Rejected[0].Reason)
	require.Equal(t, []core.AttemptID{"d3"}, d.ToCancel, "one running deferrable call is cancelled")

	effects := c.Finish(now, "d3", admit.Sample{Result: admit.ResultCancelled})
	require.Equal(t, []core.AttemptID{"u2"}, effects.Started)
	require.Empty(t, effects.ToCancel)
}

// Guards against a cold upstream whose only credit is always granted to the same entry.
func TestSingleCreditRotates(t *testing.T) {
	opts := admit.Defaults(8, 7)
	opts.QueueCreditFactor = 0
	c := admit.New(opts)
	got := map[core.NodeID]int{}
	for i := range 120 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		sum := 0
		for _, w := range []core.NodeID{"e1", "e2", "e3"} {
			grant := c.GrantCredits(now, w)
			got[w] += grant.Count
			sum += grant.Count
		}
		require.LessOrEqual(t, c.State(now).OutstandingCredits, 1)
	}
	for w, n := range got {
		require.InDelta(t, 40, n, 10, "watcher %s", w)
	}
}

// Guards against deferrable calls that fill the agent's queue and thus use the credits
// that urgent calls need.
func TestBusyUpstreamKeepsCreditsForUrgentCalls(t *testing.T) {
	opts := admit.Defaults(8, 7)
	opts.InitialWindow = 8
	c := admit.New(opts)
	creditsWhenIdle := c.GrantCredits(start, "e1")
	require.Equal(t, 16, creditsWhenIdle.Count, "window and queue")
	require.Equal(t, 16-(8-2)-2, creditsWhenIdle.UrgentOnly, "all except those for unreserved slots and a short queue")
	for i := range 8 {
		c.Offer(start, admit.Call{ID: core.AttemptID(fmt.Sprint(i)), Class: core.Deferrable})
	}
	creditsWhenBusy := c.GrantCredits(start, "e1")
	require.Equal(t, 2+8-2, creditsWhenBusy.Count)
	require.Equal(t, creditsWhenBusy.Count, creditsWhenBusy.UrgentOnly)
}

// BenchmarkAdmission measures offering and finishing one call with a full window and a
// full queue.
func BenchmarkAdmission(b *testing.B) {
	opts := admit.Defaults(64, 7)
	opts.InitialWindow = 64
	c := admit.New(opts)
	ids := make([]core.AttemptID, 256)
	for i := range ids {
		ids[i] = core.AttemptID(fmt.Sprint(i))
	}
	running := []core.AttemptID{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := ids[i%len(ids)]
		if c.Offer(start, admit.Call{ID: id, Workspace: core.WorkspaceID(ids[i%10])}).Verdict == admit.VerdictStarted {
			running = append(running, id)
		}
		if i >= 120 {
			effects := c.Finish(start, running[0], admit.Sample{})
			running = append(running[1:], effects.Started...)
		}
	}
}
