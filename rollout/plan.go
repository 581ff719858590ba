// Package rollout decides how a model's traffic moves to a new weight version:
// the schedule before the deadline, the choice of canary upstreams, the stages
// and the sequential tests that find a bad version. It performs no I/O and
// reads no clock.
package rollout

import (
	"time"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
)

// Timing is how long the steps of a rollout take.
type Timing struct {
	// Load is the time of one weight load at the paced rate.
	LoadTime time.Duration
	// MaxConcurrentLoads is how many weight loads run at the same time.
	MaxConcurrentLoads int
	// MinCanaryTime is the least time in the canary stage.
	MinCanaryTime time.Duration
	// EarlyPromotionSamples is the least number of finished calls on the new version
	// before an early promotion.
	EarlyPromotionSamples uint64
	// LatePromotionSamples is the least number of finished calls on the new version
	// before a promotion at the latest time. A version that fails every call is
	// found after about 25.
	LatePromotionSamples uint64
	// RampSteps is how many batches of upstreams take over after promotion.
	RampSteps int
	// RampInterval is the time between two batches.
	RampInterval time.Duration
	// Margin is kept free before the deadline, for the spread of permissions
	// and a change of the lease holder.
	Margin time.Duration
}

// DefaultTiming returns the timing for the platform's load time of about two
// thirds of a second, with half as much again in reserve.
func DefaultTiming() Timing {
	return Timing{
		LoadTime:              time.Second,
		MaxConcurrentLoads:    2,
		MinCanaryTime:         5 * time.Second,
		EarlyPromotionSamples: 100,
		LatePromotionSamples:  40,
		RampSteps:             4,
		RampInterval:          time.Second,
		Margin:                2 * time.Second,
	}
}

// Engine is what is known about one engine of the model.
type Engine struct {
	ID            core.UpstreamID
	FailureDomain core.FailureDomain
	// Window is the largest number of concurrent runs.
	Window int
	// Open says that the engine may take new work.
	Open bool
	// Loaded says that the engine holds the new version.
	Loaded bool
	// Loading says that an order to load the new version is under way.
	Loading bool
}

// Engines returns a model's engines as the view shows them. Loaded and Loading
// are left for the caller to set.
func Engines(v *facts.View, model core.ModelID) []Engine {
	upstreams := v.Index.Engines[model]
	out := make([]Engine, len(upstreams))
	for i, u := range upstreams {
		out[i] = Engine{ID: u.ID, FailureDomain: u.FailureDomain, Window: u.MaxWindow, Open: v.UpstreamOpen(u)}
	}
	return out
}

// Plan is the latest time of each step that still meets the deadline.
type Plan struct {
	Model core.ModelID       `json:"model"`
	From  core.WeightVersion `json:"from"`
	To    core.WeightVersion `json:"to"`
	// LoadBy is the latest start of the first weight load.
	LoadBy time.Time `json:"load_by"`
	// CanaryBy is the latest start of the canary stage.
	CanaryBy time.Time `json:"canary_by"`
	// PromoteBy is the latest promotion.
	PromoteBy time.Time `json:"promote_by"`
	// DoneBy is when the last batch takes over at the latest.
	DoneBy   time.Time `json:"done_by"`
	Deadline time.Time `json:"deadline"`
}

// Schedule works back from the deadline of the model's rollout. The engines
// that do not serve the canary load while the canary is judged, so the longer
// of the two counts.
func Schedule(m *bundle.Model, engines []Engine, t Timing) Plan {
	open := countOpen(engines)
	canaries := min(m.Rollout.CanaryUpstreams, open)
	judging := max(t.MinCanaryTime, t.loads(open-canaries))
	plan := Plan{Model: m.ID, From: m.Stable, To: m.Rollout.To, Deadline: m.Rollout.Deadline}
	plan.DoneBy = plan.Deadline.Add(-t.Margin)
	plan.PromoteBy = plan.DoneBy.Add(-time.Duration(t.RampSteps) * t.RampInterval)
	plan.CanaryBy = plan.PromoteBy.Add(-judging)
	plan.LoadBy = plan.CanaryBy.Add(-t.loads(canaries))
	return plan
}

// loads returns the time of n weight loads at the paced rate.
func (t Timing) loads(n int) time.Duration {
	rounds := (n + t.MaxConcurrentLoads - 1) / t.MaxConcurrentLoads
	return time.Duration(rounds) * t.LoadTime
}

// CheckDeadline returns the schedule of the model's rollout, or an error of
// kind Invalid that says why the deadline cannot be met.
func CheckDeadline(now time.Time, m *bundle.Model, engines []Engine, t Timing) (Plan, error) {
	plan := Schedule(m, engines, t)
	open := countOpen(engines)
	if open <= m.Rollout.CanaryUpstreams {
		return plan, errs.New(errs.Invalid, "return upstreams to service or use fewer canary upstreams",
			"rollout of %s@%s needs more open engines than its %d canary upstreams, and %d are open",
			m.ID, m.Rollout.To, m.Rollout.CanaryUpstreams, open)
	}
	if !plan.LoadBy.Before(now) {
		return plan, nil
	}
	need := plan.Deadline.Sub(plan.LoadBy)
	earliest := now.Add(need).Truncate(time.Second).Add(time.Second)
	return plan, errs.New(errs.Invalid, "set the deadline to "+earliest.UTC().Format(time.RFC3339)+" or later",
		"rollout of %s@%s needs %s (%s for %d canary loads, %d at a time, %s for judging and %d other loads, %s for the ramp, %s margin) and its deadline is in %s",
		m.ID, m.Rollout.To, need, plan.CanaryBy.Sub(plan.LoadBy), m.Rollout.CanaryUpstreams, t.MaxConcurrentLoads,
		plan.PromoteBy.Sub(plan.CanaryBy), open-m.Rollout.CanaryUpstreams,
		plan.DoneBy.Sub(plan.PromoteBy), t.Margin, plan.Deadline.Sub(now).Truncate(time.Millisecond))
}

func countOpen(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if e.Open {
			n++
		}
	}
	return n
}
