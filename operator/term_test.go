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

func newTestTerm(w *world, h *holder) *term {
	return newTerm(DriverOptions{Control: h, OrderSender: w, EngineStates: w, Timing: rollout.DefaultTiming(), Log: w.log}, 1)
}

// Guards against a pace that each model has for itself, and against a load
// whose answer was lost that no longer counts.
func TestPaceOfAllModels(t *testing.T) {
	w := newWorld(4, time.Hour)
	term := newTestTerm(w, &holder{world: w, fence: 1})
	first := w.view.Index.Models["gate"]
	second := *first
	second.ID = "belt"
	now := time.Now()
	term.load(now, w.view, first, []core.UpstreamID{"e00", "e01"})
	term.load(now, w.view, &second, []core.UpstreamID{"e02"})
	require.Equal(t, 2, term.orders.Len())
	for range 2 {
		job, _ := term.orders.TryReceive()
		term.noteOrder(now, orderResult{job: job, err: errs.New(errs.Unknown, "retry", "answer is lost")})
	}
	term.load(now, w.view, &second, []core.UpstreamID{"e02"})
	require.Zero(t, term.orders.Len())
	later := now.Add(2 * rollout.DefaultTiming().LoadTime)
	term.settleLoads(later, w.view)
	term.load(later, w.view, &second, []core.UpstreamID{"e02"})
	require.Equal(t, 1, term.orders.Len())
}

// Guards against an order by a process whose term has passed while it was
// paused, before its context ends.
func TestOrderWithoutLease(t *testing.T) {
	w := newWorld(1, time.Hour)
	for name, h := range map[string]*holder{"ended": {world: w, fence: 1, ended: true}, "newer term": {world: w, fence: 2}} {
		r := newTestTerm(w, h).send(t.Context(), orderJob{upstream: "e00"})
		require.True(t, r.unsent, name)
	}
	require.Zero(t, w.orders())
}

// Guards against a step that is permitted under another bundle, stage or return
// than those it was decided under.
func TestStepOnChangedHead(t *testing.T) {
	w := newWorld(1, time.Hour)
	subject := facts.VersionSubject("gate", "v2")
	job := permitJob{model: w.view.Index.Models["gate"], to: facts.RolloutState{Stage: facts.StageLoading}, digest: "b1", epoch: 1}
	changes := map[string]func(h *facts.Head){
		"bundle": func(h *facts.Head) { h.BundleDigest = "b2" },
		"stage":  func(h *facts.Head) { h.Rollouts["gate"] = facts.RolloutState{Stage: facts.StageCanary} },
		"return": func(h *facts.Head) { h.Clear(subject) },
	}
	for name, change := range changes {
		h := w.view.Head.Next()
		change(&h)
		_, err := job.change(h)
		require.True(t, errs.Is(err, errs.Conflict), name)
	}
	h := w.view.Head.Next()
	h.Rollouts["belt"] = facts.RolloutState{Stage: facts.StageCanary}
	h, err := job.change(h)
	require.NoError(t, err, "another model's step does not matter")
	require.Equal(t, job.to, h.Rollouts["gate"])
}
