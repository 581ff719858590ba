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

// pass completes every prompt.
func pass(time.Duration, core.WorkspaceID, int) (rollout.Result, float64) { return rollout.Complete, 1 }

// failWhile fails prompts by an error of the engine while the condition is true.
func failWhile(condition func(elapsed time.Duration, workspace core.WorkspaceID) bool) promptBehavior {
	return func(elapsed time.Duration, workspace core.WorkspaceID, _ int) (rollout.Result, float64) {
		if condition(elapsed, workspace) {
			return rollout.EngineFailed, 1
		}
		return rollout.Complete, 1
	}
}

// Guards against a bad version that remains in service, and against a good version
// that is withdrawn or not complete by the deadline.
func TestRolloutPhaseByPromptResults(t *testing.T) {
	const deadline = 60 * time.Second
	cases := []struct {
		name     string
		behavior promptBehavior
		// atStart is called when the driver starts, inCanary 3 s after the start of
		// the canary stage.
		atStart, inCanary func(f *fixture)
		want              rollout.Phase
		reason            string
		// maxDelay is the maximum time from the start of the fault to the withdrawal.
		// faultAt is the time from the start of the canary stage to the start of the
		// fault.
		maxDelay time.Duration
		faultAt  time.Duration
	}{
		{name: "good version", behavior: pass, want: rollout.PhaseDone},
		{
			name: "fails at once", want: rollout.PhaseWithdrawn, reason: "errors", maxDelay: 8 * time.Second,
			behavior: failWhile(func(time.Duration, core.WorkspaceID) bool { return true }),
		},
		{
			name: "fails after promotion", want: rollout.PhaseWithdrawn, reason: "errors", faultAt: 30 * time.Second, maxDelay: 5 * time.Second,
			behavior: failWhile(func(elapsed time.Duration, _ core.WorkspaceID) bool { return elapsed > 30*time.Second }),
		},
		{
			name: "slow first token", want: rollout.PhaseWithdrawn, reason: "first token: latency", maxDelay: 12 * time.Second,
			behavior: func(time.Duration, core.WorkspaceID, int) (rollout.Result, float64) { return rollout.Complete, 2.5 },
		},
		{
			name: "one route fails", want: rollout.PhaseWithdrawn, reason: "errors", maxDelay: 12 * time.Second,
			behavior: failWhile(func(_ time.Duration, workspace core.WorkspaceID) bool { return workspace == "w1" }),
		},
		{
			name: "canary VM fails", want: rollout.PhaseDone,
			behavior: func(elapsed time.Duration, _ core.WorkspaceID, n int) (rollout.Result, float64) {
				if elapsed > 3*time.Second && n%2 == 0 {
					return rollout.AgentLost, 1
				}
				return rollout.Complete, 1
			},
			inCanary: func(f *fixture) { f.withLock(func() { f.agents["e00"].unavailable = true }) },
		},
		{
			name: "canary VM is unavailable when the rollout starts", behavior: pass, want: rollout.PhaseDone,
			atStart: func(f *fixture) { f.withLock(func() { f.agents["e00"].unavailable = true }) },
		},
		{
			name: "first replies to orders are lost", behavior: pass, want: rollout.PhaseDone,
			atStart: func(f *fixture) {
				for _, a := range f.agents {
					a.repliesToLose = 1
				}
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				f := newFixture(12, deadline)
				defer f.group.Stop()
				f.startEntries(t, c.behavior)
				if c.atStart != nil {
					c.atStart(f)
				}
				f.startDriver(t, &fakeControl{fixture: f, fence: 1})
				f.waitForCanary(t)
				canaryStart := time.Now()
				if c.inCanary != nil {
					f.advanceTime(3 * time.Second)
					c.inCanary(f)
				}
				if c.want == rollout.PhaseWithdrawn {
					for f.rolloutPhase() != c.want && time.Since(canaryStart) < deadline {
						f.advanceTime(100 * time.Millisecond)
					}
					t.Logf("withdrawn %v after the start of the fault", time.Since(canaryStart)-c.faultAt)
					require.LessOrEqual(t, time.Since(canaryStart)-c.faultAt, c.maxDelay)
					require.Contains(t, f.currentView().Restrictions[facts.VersionSubject("gate", "v2")].Reason, c.reason)
				}
				for f.rolloutPhase() != c.want && time.Now().Before(f.currentView().Index.Models["gate"].Rollout.Deadline) {
					f.advanceTime(100 * time.Millisecond)
				}
				t.Logf("%s %v after the start", f.rolloutPhase(), time.Since(start))
				f.advanceTime(time.Until(f.currentView().Index.Models["gate"].Rollout.Deadline))
				require.Equal(t, c.want, f.rolloutPhase(), "%v", f.permittedStages)
				require.LessOrEqual(t, f.maxLoading, 2)
				f.stop(t)
			})
		})
	}
}

// Guards against a promotion while the table is unavailable, and against a withdrawal
// that waits until it is available again.
func TestRolloutDuringTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failing := false
		f := newFixture(12, 40*time.Second)
		defer f.group.Stop()
		f.startEntries(t, failWhile(func(time.Duration, core.WorkspaceID) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return failing
		}))
		f.startDriver(t, &fakeControl{fixture: f, fence: 1})
		f.waitForCanary(t)
		f.withLock(func() { f.tableUnavailable = true })
		f.advanceTime(15 * time.Second)
		require.Equal(t, rollout.PhaseCanary, f.rolloutPhase())
		f.withLock(func() { failing = true })
		f.advanceTime(8 * time.Second)
		require.Equal(t, rollout.PhaseWithdrawn, f.rolloutPhase())
		require.Equal(t, []string{"loading", "canary"}, f.permittedStages)
		f.stop(t)
	})
}

// Guards against loads that are started without the lease, against an order of a
// former holder that is executed late, and against two holders that both advance the
// rollout.
func TestLeaseHolderChange(t *testing.T) {
	t.Run("lease lost during a load", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(12, 60*time.Second)
			defer f.group.Stop()
			f.startEntries(t, pass)
			endTerm := f.startDriver(t, &fakeControl{fixture: f, fence: 1})
			f.advanceTime(300 * time.Millisecond)
			require.Equal(t, 2, f.loading)
			endTerm()
			f.advanceTime(5 * time.Second)
			require.Equal(t, 2, f.orderCount(), "no order without the lease")
			f.startDriver(t, &fakeControl{fixture: f, fence: 2})
			f.advanceTime(40 * time.Second)
			require.Equal(t, rollout.PhaseDone, f.rolloutPhase())
			require.LessOrEqual(t, f.maxLoading, 2)
			f.stop(t)
		})
	})
	t.Run("paused holder", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(12, 60*time.Second)
			defer f.group.Stop()
			f.startEntries(t, pass)
			old := f.currentView()
			f.startDriver(t, &fakeControl{fixture: f, fence: 2})
			f.advanceTime(40 * time.Second)
			require.Equal(t, rollout.PhaseDone, f.rolloutPhase())
			epoch, orders := f.currentView().Head.Epoch, f.orderCount()
			// The paused process still assumes that it holds the lease and that
			// weights must be loaded.
			outdated := *old
			outdated.Head = old.Head.Clone()
			outdated.Head.Rollouts = map[core.ModelID]facts.RolloutState{"gate": {Stage: facts.StageLoading, Upstreams: []core.UpstreamID{"e00", "e01"}}}
			f.withLock(func() { f.agents["e00"].loadedModels = nil })
			f.startDriver(t, &fakeControl{fixture: f, fence: 1, frozenView: &outdated})
			f.advanceTime(5 * time.Second)
			require.Equal(t, epoch, f.currentView().Head.Epoch)
			require.Equal(t, 1, f.agents["e00"].staleOrders)
			require.Equal(t, orders+2, f.orderCount(), "one refused, one sent by the new holder")
			f.stop(t)
		})
	})
	t.Run("two holders at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(12, 60*time.Second)
			defer f.group.Stop()
			f.startEntries(t, pass)
			f.startDriver(t, &fakeControl{fixture: f, fence: 1})
			f.startDriver(t, &fakeControl{fixture: f, fence: 2})
			f.advanceTime(40 * time.Second)
			require.Equal(t, rollout.PhaseDone, f.rolloutPhase())
			require.Equal(t, []string{"loading", "canary", "promoted", "promoted", "promoted", "complete"}, f.permittedStages)
			f.stop(t)
		})
	})
}

// waitForCanary waits until the rollout is in the canary stage, at most 20 s.
func (f *fixture) waitForCanary(t *testing.T) {
	for range 200 {
		if f.rolloutPhase() == rollout.PhaseCanary {
			return
		}
		f.advanceTime(100 * time.Millisecond)
	}
	f.group.Stop()
	require.Equal(t, rollout.PhaseCanary, f.rolloutPhase())
}

// orderCount returns the number of orders that the agents received.
func (f *fixture) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.agents {
		n += a.orderCount
	}
	return n
}

// Guards against an engine that is available again after a drain with only the old
// weights and receives no load order.
func TestEngineLoadsWeightsAfterDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(12, 60*time.Second)
		defer f.group.Stop()
		f.startEntries(t, pass)
		control := &fakeControl{fixture: f, fence: 1}
		subject := facts.Subject{Kind: facts.SubjectUpstream, Name: "e11"}
		require.NoError(t, control.Restrict(t.Context(), facts.Restriction{Subject: subject, Reason: "drain"}))
		f.startDriver(t, control)
		f.advanceTime(40 * time.Second)
		require.Equal(t, rollout.PhaseDone, f.rolloutPhase())
		require.Zero(t, f.agents["e11"].orderCount)
		f.withLock(func() {
			next := f.view.Head.Next()
			next.Clear(subject)
			f.merge(facts.Update{Head: &next})
		})
		f.advanceTime(3 * time.Second)
		require.Contains(t, f.agents["e11"].loadedModels, "gate@v2")
		require.Equal(t, 1, f.agents["e11"].orderCount)
		f.stop(t)
	})
}

// Guards against the promotion of a version for which no prompt was judged.
func TestNoPromotionWithoutSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(12, 30*time.Second)
		defer f.group.Stop()
		f.startDriver(t, &fakeControl{fixture: f, fence: 1})
		f.advanceTime(30 * time.Second)
		require.Equal(t, rollout.PhaseWithdrawn, f.rolloutPhase())
		require.Contains(t, f.currentView().Restrictions[facts.VersionSubject("gate", "v2")].Reason, "too few")
		f.advanceTime(time.Second)
		require.Equal(t, []string{"loading", "canary", "none"}, f.permittedStages, "the stage is reset after the withdrawal")
		f.stop(t)
	})
}
