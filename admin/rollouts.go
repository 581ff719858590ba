package admin

import (
	"context"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/rollout"
)

func (s *Server) listRollouts(_ context.Context, _ call) (answer, error) {
	v, err := s.readyView()
	if err != nil {
		return answer{}, err
	}
	return ok(rolloutStatuses(v, s.timing)), nil
}

func (s *Server) showRollout(_ context.Context, c call) (answer, error) {
	v, m, err := s.model(c)
	if err != nil {
		return answer{}, err
	}
	return ok(rolloutStatus(v, m, s.timing)), nil
}

func (s *Server) model(c call) (*facts.View, *bundle.Model, error) {
	v, err := s.readyView()
	if err != nil {
		return nil, nil, err
	}
	name := c.param("model")
	m := v.Index.Models[core.ModelID(name)]
	if m == nil {
		return nil, nil, errs.New(errs.NotFound, "use a model of the bundle in force", "there is no model %q", name)
	}
	return v, m, nil
}

// withdraw withdraws the version that a model is rolled to.
func (s *Server) withdraw(ctx context.Context, c call) (answer, error) {
	reason, err := readReason(c)
	if err != nil {
		return answer{}, err
	}
	_, m, err := s.model(c)
	if err != nil {
		return answer{}, err
	}
	if m.Rollout == nil {
		return answer{}, errs.New(errs.Conflict, "sign off a bundle with a rollout to another version", "model %s has no rollout to withdraw", m.ID)
	}
	stamp, err := s.restrict(ctx, c, facts.VersionSubject(m.ID, m.Rollout.To), reason.Reason)
	return ok(Withdrawal{Model: m.ID, Version: m.Rollout.To, Stamp: stamp}), err
}

// maxReason is the largest length of a reason in bytes; it travels with the
// restriction to every process.
const maxReason = 512

func readReason(c call) (Reason, error) {
	var reason Reason
	if err := readJSON(c.r, &reason); err != nil {
		return reason, err
	}
	if reason.Reason == "" || len(reason.Reason) > maxReason {
		return reason, errs.New(errs.Invalid, "state a reason for the audit trail", "reason is empty or has more than %d bytes", maxReason)
	}
	return reason, nil
}

// rolloutStatuses lists the models that have a rollout.
func rolloutStatuses(v *facts.View, t rollout.Timing) []RolloutStatus {
	out := []RolloutStatus{}
	for i := range v.Index.Bundle.Models {
		if m := &v.Index.Bundle.Models[i]; m.Rollout != nil {
			out = append(out, rolloutStatus(v, m, t))
		}
	}
	return out
}

func rolloutStatus(v *facts.View, m *bundle.Model, t rollout.Timing) RolloutStatus {
	out := RolloutStatus{Model: m.ID, From: m.Stable, Phase: rollout.PhaseOf(v, m)}
	if m.Rollout == nil {
		return out
	}
	plan := rollout.Schedule(m, rollout.Engines(v, m.ID), t)
	out.To, out.Plan = m.Rollout.To, &plan
	if out.Phase == rollout.PhaseWithdrawn {
		out.Reason = v.Restrictions[facts.VersionSubject(m.ID, m.Rollout.To)].Reason
		return out
	}
	stage := v.Head.Rollouts[m.ID]
	out.Share, out.Upstreams = stage.Share, stage.Upstreams
	return out
}
