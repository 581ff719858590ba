package entry

import (
	"context"
	"errors"
	"io"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/rollout"
	"waxwingtide.example/waxwingtide/route"
	"waxwingtide.example/waxwingtide/stream"
	"waxwingtide.example/waxwingtide/wire"
)

// sendAttempt sends one attempt to the agent and forwards its tokens to the caller. If no
// connection can be opened, the error of Run has the kind Unavailable. Only such an error proves
// that nothing was sent.
func (c *call) sendAttempt(a placementResult) core.Outcome {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	resumeFrom := c.response.AddAttempt(a.attemptID)
	c.lastResult, c.agentDraining = rollout.NotDispatched, false
	client := wire.NewDRPCAgentClient(c.opts.Dial(ctx, a.address))
	frames, err := client.Run(ctx, c.newRunRequest(a, resumeFrom))
	if err != nil {
		c.response.CloseAttempt(a.attemptID)
		c.lastReason = "request to the agent failed"
		if errs.Is(err, errs.Unavailable) {
			return core.OutcomeNeverDispatched
		}
		return core.OutcomeUnknown
	}
	outcome := c.receiveFrames(a, frames)
	_ = frames.Close() // the stream is abandoned even if closing it fails
	if c.agentDraining {
		<-frames.Context().Done() // its connection is idle then
		c.opts.CloseIdle(a.address)
	}
	return outcome
}

func (c *call) newRunRequest(a placementResult, resumeFrom uint32) *wire.RunRequest {
	return &wire.RunRequest{
		Sender:           &wire.Sender{Node: string(c.opts.Node), Incarnation: uint64(c.opts.Incarnation), Epoch: uint64(a.epoch)},
		Attempt:          string(a.attemptID),
		Upstream:         string(a.choice.Upstream),
		AgentIncarnation: uint64(a.choice.Incarnation),
		Workspace:        string(c.identity.Workspace),
		Model:            string(c.Prompt.Model),
		Adapter:          string(c.adapter),
		Version:          string(c.version),
		Prompt:           c.Prompt.Text,
		MaxTokens:        uint32(c.Prompt.MaxOutputTokens),
		Deferrable:       c.class == core.Deferrable,
		DeadlineMs:       uint32(max(0, c.Deadline.Sub(c.opts.Now()).Milliseconds())),
		ResumeFrom:       resumeFrom,
		Weight:           uint32(c.weight),
	}
}

// receiveFrames receives the frames of one attempt until the attempt has ended.
func (c *call) receiveFrames(a placementResult, frames wire.DRPCAgent_RunClient) core.Outcome {
	for {
		f, err := frames.Recv()
		if err != nil {
			c.response.CloseAttempt(a.attemptID)
			c.lastReason, c.lastResult = "stream was interrupted", c.interruptedResult()
			if !errors.Is(err, io.EOF) {
				c.lastReason += ": " + err.Error()
			}
			return core.OutcomeUnknown
		}
		result := c.response.Accept(convertFrame(f))
		if result.Fault != stream.FaultNone {
			c.metrics.countFault(result.Fault.String())
		}
		switch result.Verdict {
		case stream.VerdictDeliver:
			if err := c.deliverToken(f.GetToken().GetText()); err != nil {
				c.lastReason, c.lastResult = "caller has disconnected", rollout.CallerCancelled
				return core.OutcomeUnknown
			}
		case stream.VerdictComplete:
			c.endFrame, c.lastResult = f.GetEnd(), rollout.Complete
			c.agentDraining = c.endFrame.GetState().GetDraining()
			c.dispatcher.stateUpdates.Push(stateUpdate{upstream: a.choice.Upstream, state: c.endFrame.GetState()})
			return core.OutcomeFinished
		case stream.VerdictRejected:
			return c.handleReject(f.GetReject())
		case stream.VerdictBroken:
			c.lastReason = "attempt failed (" + result.Fault.String() + ") " + f.GetFailure().GetDetail()
			c.lastResult = brokenResult(f.GetFailure())
			return core.OutcomeUnknown
		}
	}
}

func (c *call) handleReject(r *wire.Reject) core.Outcome {
	c.lastReason = "agent rejected the attempt (" + r.GetReason().String() + ") " + r.GetDetail()
	c.agentDraining = r.GetReason() == wire.RejectReason_REJECT_DRAINING
	c.opts.Control.ObserveEpoch(core.Epoch(r.GetEpoch()))
	return core.OutcomeRejected
}

// convertFrame converts a frame of the inner protocol to a frame of package stream.
func convertFrame(f *wire.Frame) stream.Frame {
	out := stream.Frame{Attempt: core.AttemptID(f.GetAttempt()), Seq: f.GetSeq()}
	switch body := f.GetBody().(type) {
	case *wire.Frame_Token:
		out.Kind, out.Position, out.Text = stream.KindToken, body.Token.GetPosition(), body.Token.GetText()
	case *wire.Frame_End:
		out.Kind, out.FrameCount, out.TokenCount = stream.KindEnd, body.End.GetFrames(), body.End.GetTokens()
	case *wire.Frame_Reject:
		out.Kind = stream.KindReject
	case *wire.Frame_Failure:
		out.Kind, out.TokenCount = stream.KindFailure, body.Failure.GetTokens()
	}
	return out
}

// reportAttempt reports the end of an attempt to the dispatch duty. For a finished attempt, the
// report contains two numbers of leading blocks of the prompt. ReusedBlocks were in the engine's
// cache before the run. HeldBlocks are in the cache after the run, including the computed ones.
func (c *call) reportAttempt(a placementResult, outcome core.Outcome) {
	finished := attemptFinished{choice: a.choice, notSent: outcome == core.OutcomeNeverDispatched, run: route.RunResult{
		Upstream: a.choice.Upstream, Incarnation: a.choice.Incarnation, Blocks: c.blocks,
		HintedBlocks: a.choice.HintedBlocks, HintAge: a.choice.HintAge,
	}}
	if outcome == core.OutcomeFinished {
		finished.run.HeldBlocks = int(c.endFrame.GetPrefixBlocks())
		finished.run.ReusedBlocks = cachedBlocks(c.endFrame, len(c.Prompt.Text))
		// Imported blocks came from the kept-cache store, because the engine's cache no
		// longer contained them. They are recorded as kept blocks. If they were recorded as
		// reused, the routing state would assume that upstreams retain blocks which they have
		// evicted.
		if c.endFrame.GetImportedBytes() > 0 {
			finished.keptBlocks, finished.run.ReusedBlocks = finished.run.ReusedBlocks, 0
		}
	}
	_ = c.dispatcher.events.Send(context.Background(), finished)
}

// cachedBlocks converts the number of cached tokens to a number of blocks, under the
// assumption that all tokens of the prompt have the same length in bytes.
func cachedBlocks(end *wire.End, promptBytes int) int {
	if end.GetPromptTokens() == 0 {
		return 0
	}
	return int(uint64(end.GetCachedTokens()) * uint64(promptBytes) / uint64(end.GetPromptTokens()) / core.BlockBytes)
}

func (c *call) logUnfinishedAttempt(a placementResult, outcome core.Outcome) {
	c.opts.Log.WithFields(logrus.Fields{
		"event": "attempt", "attempt": a.attemptID, "upstream": a.choice.Upstream,
		"outcome": outcome.String(), "reason": c.lastReason, "tokens": c.response.Position(),
	}).Debug("attempt did not finish")
}
