package entry

import (
	"context"
	"errors"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rollout"
	"waxwingtide.example/waxwingtide/wire"
)

// cutEnding classifies an attempt whose stream ended without an end frame.
func (c *call) interruptedResult() rollout.Result {
	switch {
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return rollout.TimedOut
	case c.ctx.Err() != nil:
		return rollout.CallerCancelled
	default:
		return rollout.AgentLost
	}
}

// brokenEnding classifies an attempt by the agent's failure frame; without one
// the frames did not add up.
func brokenResult(f *wire.Failure) rollout.Result {
	if f == nil {
		return rollout.Corrupt
	}
	switch f.GetCause() {
	case wire.FailureCause_CAUSE_ENGINE_FAILED:
		return rollout.EngineFailed
	case wire.FailureCause_CAUSE_GARBLED:
		return rollout.Corrupt
	case wire.FailureCause_CAUSE_PREEMPTED:
		return rollout.Preempted
	case wire.FailureCause_CAUSE_DEADLINE:
		return rollout.TimedOut
	case wire.FailureCause_CAUSE_CALLER_LEFT:
		return rollout.CallerCancelled
	default:
		return rollout.EngineLost
	}
}

// judge gives the rollout's tests a sample, if the ending says anything about
// the weight version. An upstream that is leaving says nothing.
func (c *call) reportSample(a assignment, outcome core.Outcome) {
	isSample, failed := rollout.Classify(c.lastResult)
	view := c.opts.Control.View()
	upstream := view.Index.Upstreams[a.choice.Upstream]
	if c.opts.Judge == nil || !isSample || upstream == nil || failed && !view.UpstreamAllowed(upstream) {
		return
	}
	s := Sample{
		Model: c.Prompt.Model, Version: c.version, Workspace: c.identity.Workspace, Upstream: a.choice.Upstream,
		Class: c.class, Failed: failed, FinishedAt: c.opts.Now(),
	}
	if outcome == core.OutcomeFinished {
		s.TimeToFirstToken = time.Duration(c.endFrame.GetPrefillMs()) * time.Millisecond
		s.TimePerToken = c.timePerToken()
		s.RecomputedTokens = int(c.endFrame.GetPromptTokens()) - int(c.endFrame.GetCachedTokens())
	}
	c.opts.Judge.Observe(s)
}
