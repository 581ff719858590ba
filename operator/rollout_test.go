package operator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/rollout"
)

func good(time.Duration, core.WorkspaceID, int) (rollout.Result, float64) { return rollout.Complete, 1 }

// failing ends prompts by an error of the engine while the condition holds.
func failing(when func(since time.Duration, w core.WorkspaceID) bool) behaviour {
	return func(since time.Duration, w core.WorkspaceID, _ int) (rollout.Result, float64) {
		if when(since, w) {
			return rollout.EngineFailed, 1
		}
		return rollout.Complete, 1
	}
}

// Guards against a bad version that stays in service and against a good one
// that is withdrawn or late.
func TestVersions(t *testing.T) {
	const deadline = 60 * time.Second
	cases := []struct {
		name string
		act  behaviour
		// before runs when the driver starts, later after 3 s in the canary stage.
		before, later func(w *world)
		want          rollout.Phase
		reason        string
		// within bounds the time from the fault to the withdrawal.
		within time.Duration
		fault  time.Duration
	}{
		{name: "good version", act: good, want: rollout.PhaseDone},
		{
			name: "fails at once", want: rollout.PhaseWithdrawn, reason: "errors", within: 8 * time.Second,
			act: failing(func(time.Duration, core.WorkspaceID) bool { return true }),
		},
		{
			name: "fails after promotion", want: rollout.PhaseWithdrawn, reason: "errors", fault: 30 * time.Second, within: 5 * time.Second,
			act: failing(func(since time.Duration, _ core.WorkspaceID) bool { return since > 30*time.Second }),
		},
		{
			name: "slow first token", want: rollout.PhaseWithdrawn, reason: "first token: latency", within: 12 * time.Second,
			act: func(time.Duration, core.WorkspaceID, int) (rollout.Result, float64) { return rollout.Complete, 2.5 },
		},
		{
			name: "one route fails", want: rollout.PhaseWithdrawn, reason: "errors", within: 12 * time.Second,
			act: failing(func(_ time.Duration, w core.WorkspaceID) bool { return w == "w1" }),
		},
		{
			name: "canary VM dies", want: rollout.PhaseDone,
			act: func(since time.Duration, _ core.WorkspaceID, n int) (rollout.Result, float64) {
				if since > 3*time.Second && n%2 == 0 {
					return rollout.AgentLost, 1
				}
				return rollout.Complete, 1
			},
			later: func(w *world) { w.set(func() { w.agents["e00"].dead = true }) },
		},
		{
			name: "canary VM is dead when the rollout starts", act: good, want: rollout.PhaseDone,
			before: func(w *world) { w.set(func() { w.agents["e00"].dead = true }) },
		},
		{
			name: "first answers to orders are lost", act: good, want: rollout.PhaseDone,
			before: func(w *world) {
				for _, a := range w.agents {
					a.loseAnswers = 1
				}
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				w := newWorld(12, deadline)
				defer w.group.Stop()
				w.serve(t, c.act)
				if c.before != nil {
					c.before(w)
				}
				w.drive(t, &holder{world: w, fence: 1})
				w.untilCanary(t)
				canary := time.Now()
				if c.later != nil {
					w.run(3 * time.Second)
					c.later(w)
				}
				if c.want == rollout.PhaseWithdrawn {
					for w.phase() != c.want && time.Since(canary) < deadline {
						w.run(100 * time.Millisecond)
					}
					t.Logf("withdrawn %v after the fault", time.Since(canary)-c.fault)
					require.LessOrEqual(t, time.Since(canary)-c.fault, c.within)
					require.Contains(t, w.current().Restrictions[facts.VersionSubject("gate", "v2")].Reason, c.reason)
				}
				for w.phase() != c.want && time.Now().Before(w.current().Index.Models["gate"].Rollout.Deadline) {
					w.run(100 * time.Millisecond)
				}
				t.Logf("%s %v after the start", w.phase(), time.Since(start))
				w.run(time.Until(w.current().Index.Models["gate"].Rollout.Deadline))
				require.Equal(t, c.want, w.phase(), "%v", w.stages)
				require.LessOrEqual(t, w.most, 2)
				w.stop(t)
			})
		})
	}
}

// Guards against a promotion without the table, and against a withdrawal that
// waits for it.
func TestTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bad := false
		w := newWorld(12, 40*time.Second)
		defer w.group.Stop()
		w.serve(t, failing(func(time.Duration, core.WorkspaceID) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return bad
		}))
		w.drive(t, &holder{world: w, fence: 1})
		w.untilCanary(t)
		w.set(func() { w.down = true })
		w.run(15 * time.Second)
		require.Equal(t, rollout.PhaseCanary, w.phase())
		w.set(func() { bad = true })
		w.run(8 * time.Second)
		require.Equal(t, rollout.PhaseWithdrawn, w.phase())
		require.Equal(t, []string{"loading", "canary"}, w.stages)
		w.stop(t)
	})
}

// Guards against loads that continue without the lease, against a late order
// that is carried out, and against two holders that both move the rollout.
func TestHolders(t *testing.T) {
	t.Run("lease lost during a load", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(12, 60*time.Second)
			defer w.group.Stop()
			w.serve(t, good)
			end := w.drive(t, &holder{world: w, fence: 1})
			w.run(300 * time.Millisecond)
			require.Equal(t, 2, w.loading)
			end()
			w.run(5 * time.Second)
			require.Equal(t, 2, w.orders(), "no order without the lease")
			w.drive(t, &holder{world: w, fence: 2})
			w.run(40 * time.Second)
			require.Equal(t, rollout.PhaseDone, w.phase())
			require.LessOrEqual(t, w.most, 2)
			w.stop(t)
		})
	})
	t.Run("paused holder", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(12, 60*time.Second)
			defer w.group.Stop()
			w.serve(t, good)
			old := w.current()
			w.drive(t, &holder{world: w, fence: 2})
			w.run(40 * time.Second)
			require.Equal(t, rollout.PhaseDone, w.phase())
			epoch, orders := w.current().Head.Epoch, w.orders()
			// The paused process still believes that it holds the lease and that
			// weights have to be loaded.
			behind := *old
			behind.Head = old.Head.Clone()
			behind.Head.Rollouts = map[core.ModelID]facts.RolloutState{"gate": {Stage: facts.StageLoading, Upstreams: []core.UpstreamID{"e00", "e01"}}}
			w.set(func() { w.agents["e00"].loaded = nil })
			w.drive(t, &holder{world: w, fence: 1, frozen: &behind})
			w.run(5 * time.Second)
			require.Equal(t, epoch, w.current().Head.Epoch)
			require.Equal(t, 1, w.agents["e00"].stale)
			require.Equal(t, orders+2, w.orders(), "one refused, one by the new holder")
			w.stop(t)
		})
	})
	t.Run("two holders at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(12, 60*time.Second)
			defer w.group.Stop()
			w.serve(t, good)
			w.drive(t, &holder{world: w, fence: 1})
			w.drive(t, &holder{world: w, fence: 2})
			w.run(40 * time.Second)
			require.Equal(t, rollout.PhaseDone, w.phase())
			require.Equal(t, []string{"loading", "canary", "promoted", "promoted", "promoted", "complete"}, w.stages)
			w.stop(t)
		})
	})
}

func (w *world) untilCanary(t *testing.T) {
	for range 200 {
		if w.phase() == rollout.PhaseCanary {
			return
		}
		w.run(100 * time.Millisecond)
	}
	w.group.Stop()
	require.Equal(t, rollout.PhaseCanary, w.phase())
}

func (w *world) orders() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.agents {
		n += a.orders
	}
	return n
}

// Guards against an engine that returns from a drain with old weights only and
// is taken for ready.
func TestDrainedEngineReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(12, 60*time.Second)
		defer w.group.Stop()
		w.serve(t, good)
		h := &holder{world: w, fence: 1}
		subject := facts.Subject{Kind: facts.SubjectUpstream, Name: "e11"}
		require.NoError(t, h.Restrict(t.Context(), facts.Restriction{Subject: subject, Reason: "drain"}))
		w.drive(t, h)
		w.run(40 * time.Second)
		require.Equal(t, rollout.PhaseDone, w.phase())
		require.Zero(t, w.agents["e11"].orders)
		w.set(func() {
			next := w.view.Head.Next()
			next.Clear(subject)
			w.merge(facts.Update{Head: &next})
		})
		w.run(3 * time.Second)
		require.Contains(t, w.agents["e11"].loaded, "gate@v2")
		require.Equal(t, 1, w.agents["e11"].orders)
		w.stop(t)
	})
}

// Guards against a version that is promoted although no prompt was judged.
func TestNoSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(12, 30*time.Second)
		defer w.group.Stop()
		w.drive(t, &holder{world: w, fence: 1})
		w.run(30 * time.Second)
		require.Equal(t, rollout.PhaseWithdrawn, w.phase())
		require.Contains(t, w.current().Restrictions[facts.VersionSubject("gate", "v2")].Reason, "too few")
		w.run(time.Second)
		require.Equal(t, []string{"loading", "canary", "none"}, w.stages, "the stage is reset after the withdrawal")
		w.stop(t)
	})
}
