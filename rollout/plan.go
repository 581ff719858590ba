// Package rollout decides how the traffic of a model is switched to a new weight
// version: the schedule before the deadline, the choice of canary upstreams, the
// stages and the sequential tests that find a bad version. It performs no I/O
// and reads no clock. The driver of a rollout is the duty in package operator that
// executes these decisions. It runs on one entry at a time: the one that holds the
// lease for this duty. It puts a stage in force by a permission, which is a change
// of the head (facts.Head) that all processes receive.
//
// An engine is an upstream that serves a model. The rollout of a service's
// software version is decided by package canary, which uses the judge of this
// package.
package rollout

import (
	"time"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
)

// Timing holds the durations and sizes of the steps of a rollout.
type Timing struct {
	// LoadTime is the duration of one weight load while at most MaxConcurrentLoads
	// run.
	LoadTime time.Duration
	// MaxConcurrentLoads is the maximum number of weight loads that run at the
	// same time.
	MaxConcurrentLoads int
	// MinCanaryTime is the minimum time in the canary stage before an early
	// promotion.
	MinCanaryTime time.Duration
	// EarlyPromotionSamples is the minimum number of samples of the new
	// version for a promotion before the latest promotion time.
	EarlyPromotionSamples uint64
	// LatePromotionSamples is the minimum number of samples of the new
	// version for a promotion at the latest promotion time. The test that
	// compares the errors of paired samples (see Judge) finds a version that fails
	// every attempt after about 25 samples, the test for hard failures earlier.
	LatePromotionSamples uint64
	// RampBatches is the number of batches in which engines are switched to the new
	// version. The ramp is the time from the promotion to the last batch.
	RampBatches int
	// RampInterval is the interval between two batches.
	RampInterval time.Duration
	// Margin is the time reserved before the deadline for the propagation of the
	// permission of the last stage to all processes and for a change of the lease
	// holder.
	Margin time.Duration
}

// DefaultTiming returns the timing for the platform's load time of about two
// thirds of a second, with a reserve of half that time.
func DefaultTiming() Timing {
	return Timing{
		LoadTime:              time.Second,
		MaxConcurrentLoads:    2,
		MinCanaryTime:         5 * time.Second,
		EarlyPromotionSamples: 100,
		LatePromotionSamples:  40,
		RampBatches:           4,
		RampInterval:          time.Second,
		Margin:                2 * time.Second,
	}
}

// Engine is the state of one engine of the model.
type Engine struct {
	ID            core.UpstreamID
	FailureDomain core.FailureDomain
	// Window is the maximum number of concurrent runs.
	Window int
	// Open is set when the engine may receive new work.
	Open bool
	// Loaded is set when the engine has loaded the new version.
	Loaded bool
	// Loading is set while an order to load the new version is in progress.
	Loading bool
}

// Engines returns a model's engines according to the view. The caller has to set
// Loaded and Loading.
func Engines(v *facts.View, model core.ModelID) []Engine {
	upstreams := v.Index.Engines[model]
	out := make([]Engine, len(upstreams))
	for i, u := range upstreams {
		out[i] = Engine{ID: u.ID, FailureDomain: u.FailureDomain, Window: u.MaxWindow, Open: v.UpstreamAllowed(u)}
	}
	return out
}

// Plan holds the latest time of each step that still meets the deadline.
type Plan struct {
	Model core.ModelID       `json:"model"`
	From  core.WeightVersion `json:"from"`
	To    core.WeightVersion `json:"to"`
	// LoadBy is the latest start of the first weight load.
	LoadBy time.Time `json:"load_by"`
	// CanaryBy is the latest start of the canary stage.
	CanaryBy time.Time `json:"canary_by"`
	// PromoteBy is the latest time of the promotion.
	PromoteBy time.Time `json:"promote_by"`
	// DoneBy is the latest time at which the last batch is switched.
	DoneBy   time.Time `json:"done_by"`
	Deadline time.Time `json:"deadline"`
}

// Schedule calculates the plan backwards from the deadline of the model's
// rollout. While the canary is judged, the weights are loaded on the engines that do
// not serve it, so the longer of the two durations counts.
func Schedule(m *bundle.Model, engines []Engine, t Timing) Plan {
	open := countOpen(engines)
	canaries := min(m.Rollout.CanaryUpstreams, open)
	canaryTime := max(t.MinCanaryTime, t.loadDuration(open-canaries))
	plan := Plan{Model: m.ID, From: m.Stable, To: m.Rollout.To, Deadline: m.Rollout.Deadline}
	plan.DoneBy = plan.Deadline.Add(-t.Margin)
	plan.PromoteBy = plan.DoneBy.Add(-time.Duration(t.RampBatches) * t.RampInterval)
	plan.CanaryBy = plan.PromoteBy.Add(-canaryTime)
	plan.LoadBy = plan.CanaryBy.Add(-t.loadDuration(canaries))
	return plan
}

// loadDuration returns the duration of n weight loads of which at most
// MaxConcurrentLoads run at the same time.
func (t Timing) loadDuration(n int) time.Duration {
	rounds := (n + t.MaxConcurrentLoads - 1) / t.MaxConcurrentLoads
	return time.Duration(rounds) * t.LoadTime
}

// CheckDeadline returns the plan of the model's rollout. If the deadline cannot
// be met, it also returns an error of kind Invalid that states why.
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
	required := plan.Deadline.Sub(plan.LoadBy)
	earliest := now.Add(required).Truncate(time.Second).Add(time.Second)
	return plan, errs.New(errs.Invalid, "set the deadline to "+earliest.UTC().Format(time.RFC3339)+" or later",
		"rollout of %s@%s needs %s (%s for %d canary loads, %d at a time, %s for judging and %d other loads, %s for the ramp, %s margin) and its deadline is in %s",
		m.ID, m.Rollout.To, required, plan.CanaryBy.Sub(plan.LoadBy), m.Rollout.CanaryUpstreams, t.MaxConcurrentLoads,
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
