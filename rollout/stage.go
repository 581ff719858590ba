package rollout

import (
	"fmt"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
)

// Phase is the progress of a rollout as shown to operators. It is derived from
// the stage in force (facts.Stage) and the restriction of the new version.
type Phase string

// Phases of a rollout. It is promoted while batches of upstreams switch to the
// new version, and done when all traffic is on the new version. The version is
// judged in all phases.
const (
	PhaseNone      Phase = "none"
	PhasePending   Phase = "pending"
	PhaseLoading   Phase = "loading"
	PhaseCanary    Phase = "canary"
	PhasePromoted  Phase = "promoted"
	PhaseDone      Phase = "done"
	PhaseWithdrawn Phase = "withdrawn"
)

// PhaseOf returns the phase of a model's rollout in the view.
func PhaseOf(v *facts.View, m *bundle.Model) Phase {
	if m.Rollout == nil {
		return PhaseNone
	}
	if !v.VersionAllowed(m.ID, m.Rollout.To) {
		return PhaseWithdrawn
	}
	return phaseOfStage(v.Head.Rollouts[m.ID])
}

func phaseOfStage(s facts.RolloutState) Phase {
	switch s.Stage {
	case facts.StageLoading:
		return PhaseLoading
	case facts.StageCanary:
		return PhaseCanary
	case facts.StagePromoted:
		if s.Complete() {
			return PhaseDone
		}
		return PhasePromoted
	default:
		return PhasePending
	}
}

// Observation is the state of a rollout that its driver passes to Decide.
type Observation struct {
	Now   time.Time
	Model *bundle.Model
	Stage facts.RolloutState
	// StageStart is the time at which the driver first observed the stage with
	// these upstreams.
	StageStart time.Time
	Withdrawn  bool
	Engines    []Engine
	// MeanRuns is the mean number of concurrent runs of the model.
	MeanRuns float64
	// Samples is the number of samples of the new version.
	Samples uint64
	// Finding is set when a judge has found the version bad.
	Finding *Finding
}

// Decision is the next step of the driver. The zero Decision means to wait.
type Decision struct {
	// Load lists the engines to which the driver has to send an order to load the
	// new version.
	Load []core.UpstreamID
	// NextStage is the stage that the driver has to put in force by a permission, or
	// nil.
	NextStage *facts.RolloutState
	// Withdraw is set when the driver has to raise a restriction on the new version.
	Withdraw bool
	Reason   string
}

// Decide returns the next step of a rollout.
func Decide(o Observation, t Timing) Decision {
	if o.Model.Rollout == nil {
		return Decision{}
	}
	if o.Withdrawn {
		return resetStage(o)
	}
	if o.Finding != nil {
		return withdraw("%s", o.Finding)
	}
	phase := phaseOfStage(o.Stage)
	if phase != PhaseDone && !o.Now.Before(o.Model.Rollout.Deadline) {
		return withdraw("deadline %s passed in phase %s", o.Model.Rollout.Deadline.Format(time.RFC3339), phase)
	}
	plan := Schedule(o.Model, o.Engines, t)
	switch phase {
	case PhasePending:
		return startLoading(o)
	case PhaseLoading:
		return decideLoading(o, t, plan)
	case PhaseCanary:
		return decideCanary(o, t, plan)
	case PhasePromoted:
		return decideRamp(o, t, plan)
	default:
		return Decision{Load: nextLoads(o.Engines, nil, t)}
	}
}

func withdraw(reason string, args ...any) Decision {
	return Decision{Withdraw: true, Reason: fmt.Sprintf(reason, args...)}
}

// resetStage clears the stage of a withdrawn version, so that a later bundle
// starts its rollout from the beginning.
func resetStage(o Observation) Decision {
	if o.Stage.Stage == facts.StageNone {
		return Decision{}
	}
	return Decision{NextStage: &facts.RolloutState{}, Reason: "version is withdrawn"}
}

func startLoading(o Observation) Decision {
	canary := selectCanaryFor(o)
	if len(canary.Upstreams) == 0 {
		return Decision{Reason: "waiting for two open engines"}
	}
	next := facts.RolloutState{Stage: facts.StageLoading, Upstreams: canary.Upstreams}
	return Decision{NextStage: &next, Reason: "canary upstreams were selected and start to load the weights"}
}

func selectCanaryFor(o Observation) Canary {
	r := o.Model.Rollout
	return SelectCanary(o.Engines, r.CanaryUpstreams, r.CanaryShare, o.MeanRuns)
}

func decideLoading(o Observation, t Timing, plan Plan) Decision {
	if !allOpen(o.Engines, o.Stage.Upstreams) {
		return startLoading(o)
	}
	if !allLoaded(o.Engines, o.Stage.Upstreams) {
		if o.Now.After(plan.CanaryBy) {
			return withdraw("canary upstreams did not load the weights by %s", plan.CanaryBy.Format(time.RFC3339))
		}
		return Decision{Load: nextLoads(o.Engines, o.Stage.Upstreams, t)}
	}
	next := facts.RolloutState{Stage: facts.StageCanary, Share: canaryShare(o), Upstreams: o.Stage.Upstreams}
	return Decision{NextStage: &next, Reason: "canary upstreams have loaded the weights"}
}

// canaryShare returns the share that fills the canary upstreams, at most the
// bundle's canary share.
func canaryShare(o Observation) float64 {
	limit := o.Model.Rollout.CanaryShare
	if o.MeanRuns <= 0 {
		return limit
	}
	window := 0
	for _, e := range o.Engines {
		if slices.Contains(o.Stage.Upstreams, e.ID) {
			window += e.Window
		}
	}
	return min(limit, float64(window)/o.MeanRuns)
}

func decideCanary(o Observation, t Timing, plan Plan) Decision {
	if !anyOpen(o.Engines, o.Stage.Upstreams) {
		// Without an open canary upstream no samples would be received.
		return startLoading(o)
	}
	loads := nextLoads(o.Engines, nil, t)
	judged := o.Now.Sub(o.StageStart) >= t.MinCanaryTime && o.Samples >= t.EarlyPromotionSamples
	loaded := allLoaded(o.Engines, openIDs(o.Engines))
	if judged && loaded {
		next := nextRampStage(o, t)
		return Decision{NextStage: &next, Reason: fmt.Sprintf("no fault in %d samples", o.Samples)}
	}
	if o.Now.Before(plan.PromoteBy) {
		return Decision{Load: loads}
	}
	// At the latest promotion time fewer samples suffice, because judging continues
	// while the batches switch. MinCanaryTime is not required, because a driver that
	// has just acquired the lease may have observed the stage for less time.
	if o.Samples >= t.LatePromotionSamples && loaded {
		next := nextRampStage(o, t)
		return Decision{NextStage: &next, Reason: fmt.Sprintf("no fault in %d samples by the latest promotion time", o.Samples)}
	}
	if !loaded {
		return withdraw("engines did not load the weights by %s", plan.PromoteBy.Format(time.RFC3339))
	}
	return withdraw("%d samples by %s are too few to judge the version, %d are needed",
		o.Samples, plan.PromoteBy.Format(time.RFC3339), t.LatePromotionSamples)
}

func decideRamp(o Observation, t Timing, plan Plan) Decision {
	due := o.Now.Sub(o.StageStart) >= t.RampInterval || !o.Now.Before(plan.DoneBy)
	if !due {
		return Decision{Load: nextLoads(o.Engines, nil, t)}
	}
	next := nextRampStage(o, t)
	if !o.Now.Before(plan.DoneBy) {
		next = finalStage()
	}
	return Decision{Load: nextLoads(o.Engines, nil, t), NextStage: &next, Reason: "next batch of upstreams switches to the new version"}
}

func finalStage() facts.RolloutState {
	return facts.RolloutState{Stage: facts.StagePromoted, Share: 1}
}

// nextRampStage adds the next batch of loaded engines to those on the new
// version. Switching in batches keeps most of the capacity warm while the engines
// of the latest batch warm up.
func nextRampStage(o Observation, t Timing) facts.RolloutState {
	batch := (len(o.Engines) + t.RampBatches - 1) / t.RampBatches
	next := facts.RolloutState{Stage: facts.StagePromoted, Upstreams: slices.Clone(o.Stage.Upstreams)}
	var window, total int
	for _, e := range o.Engines {
		total += e.Window
		onNewVersion := slices.Contains(next.Upstreams, e.ID)
		if !onNewVersion && e.Loaded && batch > 0 {
			next.Upstreams = append(next.Upstreams, e.ID)
			batch--
			onNewVersion = true
		}
		if onNewVersion {
			window += e.Window
		}
	}
	if containsAll(next.Upstreams, openIDs(o.Engines)) {
		return finalStage()
	}
	next.Share = float64(window) / float64(total)
	return next
}

// nextLoads returns the engines that should load next, so that at most
// MaxConcurrentLoads load at the same time. A nil subset means all engines.
func nextLoads(engines []Engine, subset []core.UpstreamID, t Timing) []core.UpstreamID {
	freeSlots := t.MaxConcurrentLoads
	for _, e := range engines {
		if e.Loading {
			freeSlots--
		}
	}
	var out []core.UpstreamID
	for _, e := range engines {
		if len(out) >= freeSlots {
			break
		}
		selected := subset == nil || slices.Contains(subset, e.ID)
		if selected && e.Open && !e.Loaded && !e.Loading {
			out = append(out, e.ID)
		}
	}
	return out
}

func openIDs(engines []Engine) []core.UpstreamID {
	var out []core.UpstreamID
	for _, e := range engines {
		if e.Open {
			out = append(out, e.ID)
		}
	}
	return out
}

func allOpen(engines []Engine, ids []core.UpstreamID) bool {
	return containsAll(openIDs(engines), ids)
}

func anyOpen(engines []Engine, ids []core.UpstreamID) bool {
	return slices.ContainsFunc(openIDs(engines), func(id core.UpstreamID) bool { return slices.Contains(ids, id) })
}

func allLoaded(engines []Engine, ids []core.UpstreamID) bool {
	for _, e := range engines {
		if slices.Contains(ids, e.ID) && !e.Loaded {
			return false
		}
	}
	return true
}

func containsAll(ids, subset []core.UpstreamID) bool {
	for _, id := range subset {
		if !slices.Contains(ids, id) {
			return false
		}
	}
	return true
}
