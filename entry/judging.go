package entry

import (
	"context"
	"errors"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rollout"
	"waxwingtide.example/waxwingtide/wire"
)

// interruptedResult classifies an attempt whose stream ended without a final frame.
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

// brokenResult classifies an attempt by the agent's failure frame. Without a failure frame,
// the attempt broke because its frames were invalid.
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

// reportSample sends a sample to the judge if the result of the attempt is evidence on the
// weight version. Failures of an upstream that is drained are not evidence.
func (c *call) reportSample(a placementResult, outcome core.Outcome) {
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
		s.EngineTimeToFirstToken = time.Duration(c.endFrame.GetPrefillMs()) * time.Millisecond
		s.TimePerToken = c.timePerToken()
		s.RecomputedTokens = int(c.endFrame.GetPromptTokens()) - int(c.endFrame.GetCachedTokens())
	}
	c.opts.Judge.Observe(s)
}
