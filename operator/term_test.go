package operator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/rollout"
)

// newTestTermState returns the state of a driver in the lease term with fence 1.
func newTestTermState(f *fixture, control *fakeControl) *termState {
	return newTermState(DriverOptions{Control: control, OrderSender: f, EngineStates: f, Timing: rollout.DefaultTiming(), Log: f.log}, 1)
}

// Guards against a load limit for each model separately, and against a load that does
// not count towards the limit after its reply was lost.
func TestLoadLimitAppliesToAllModels(t *testing.T) {
	f := newFixture(4, time.Hour)
	state := newTestTermState(f, &fakeControl{fixture: f, fence: 1})
	firstModel := f.view.Index.Models["gate"]
	secondModel := *firstModel
	secondModel.ID = "belt"
	now := time.Now()
	state.queueLoads(now, f.view, firstModel, []core.UpstreamID{"e00", "e01"})
	state.queueLoads(now, f.view, &secondModel, []core.UpstreamID{"e02"})
	require.Equal(t, 2, state.orderJobs.Len())
	for range 2 {
		job, _ := state.orderJobs.TryReceive()
		state.applyOrderResult(now, orderResult{job: job, err: errs.New(errs.Unknown, "retry", "reply is lost")})
	}
	state.queueLoads(now, f.view, &secondModel, []core.UpstreamID{"e02"})
	require.Zero(t, state.orderJobs.Len())
	afterExpiry := now.Add(2 * rollout.DefaultTiming().LoadTime)
	state.expireLoads(afterExpiry, f.view)
	state.queueLoads(afterExpiry, f.view, &secondModel, []core.UpstreamID{"e02"})
	require.Equal(t, 1, state.orderJobs.Len())
}

// Guards against an order by a process whose lease term ended during a pause while its
// context is still valid.
func TestNoOrderWithoutLease(t *testing.T) {
	f := newFixture(1, time.Hour)
	for name, control := range map[string]*fakeControl{"ended": {fixture: f, fence: 1, leaseExpired: true}, "newer term": {fixture: f, fence: 2}} {
		r := newTestTermState(f, control).sendOrder(t.Context(), orderJob{upstream: "e00"})
		require.True(t, r.notSent, name)
	}
	require.Zero(t, f.orderCount())
}

// Guards against a permission for a step if, since the decision, the bundle or the
// stage has changed or a restriction of the version was lifted.
func TestPermissionConflictsAfterHeadChange(t *testing.T) {
	f := newFixture(1, time.Hour)
	subject := facts.VersionSubject("gate", "v2")
	job := permitJob{model: f.view.Index.Models["gate"], toState: facts.RolloutState{Stage: facts.StageLoading}, bundleDigest: "b1", epoch: 1}
	changes := map[string]func(head *facts.Head){
		"bundle": func(head *facts.Head) { head.BundleDigest = "b2" },
		"stage":  func(head *facts.Head) { head.Rollouts["gate"] = facts.RolloutState{Stage: facts.StageCanary} },
		"lifted": func(head *facts.Head) { head.Clear(subject) },
	}
	for name, change := range changes {
		head := f.view.Head.Next()
		change(&head)
		_, err := job.changeHead(head)
		require.True(t, errs.Is(err, errs.Conflict), name)
	}
	head := f.view.Head.Next()
	head.Rollouts["belt"] = facts.RolloutState{Stage: facts.StageCanary}
	head, err := job.changeHead(head)
	require.NoError(t, err, "a step of another model causes no conflict")
	require.Equal(t, job.toState, head.Rollouts["gate"])
}
