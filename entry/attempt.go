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

// run sends one attempt to the agent and passes its tokens on. A failure to
// connect proves that nothing was sent.
func (c *call) run(a assignment) core.Outcome {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	resume := c.answer.AddAttempt(a.attempt)
	c.ending = rollout.NotDispatched
	client := wire.NewDRPCAgentClient(c.opts.Dial(ctx, a.address))
	frames, err := client.Run(ctx, c.request(a, resume))
	if err != nil {
		c.answer.CloseAttempt(a.attempt)
		c.reason = "agent does not answer"
		if errs.Is(err, errs.Unavailable) {
			return core.OutcomeNeverDispatched
		}
		return core.OutcomeUnknown
	}
	defer func() { _ = frames.Close() }()
	return c.follow(a, frames)
}

func (c *call) request(a assignment, resume uint32) *wire.RunRequest {
	return &wire.RunRequest{
		Sender:           &wire.Sender{Node: string(c.opts.Node), Incarnation: uint64(c.opts.Incarnation), Epoch: uint64(a.epoch)},
		Attempt:          string(a.attempt),
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
		ResumeFrom:       resume,
		Weight:           uint32(c.weight),
	}
}

// follow receives the frames of one attempt until it is over.
func (c *call) follow(a assignment, frames wire.DRPCAgent_RunClient) core.Outcome {
	for {
		f, err := frames.Recv()
		if err != nil {
			c.answer.CloseAttempt(a.attempt)
			c.reason, c.ending = "stream was cut", c.cutEnding()
			if !errors.Is(err, io.EOF) {
				c.reason += ": " + err.Error()
			}
			return core.OutcomeUnknown
		}
		step := c.answer.Accept(frameOf(f))
		if step.Fault != stream.FaultNone {
			c.metrics.fault(step.Fault.String())
		}
		switch step.Verdict {
		case stream.VerdictDeliver:
			if err := c.deliver(f.GetToken().GetText()); err != nil {
				c.reason, c.ending = "caller has gone", rollout.CallerCancelled
				return core.OutcomeUnknown
			}
		case stream.VerdictComplete:
			c.end, c.ending = f.GetEnd(), rollout.Complete
			c.dispatch.states.Push(stateUpdate{id: a.choice.Upstream, state: c.end.GetState()})
			return core.OutcomeFinished
		case stream.VerdictRejected:
			return c.rejected(f.GetReject())
		case stream.VerdictBroken:
			c.reason = "attempt broke (" + step.Fault.String() + ") " + f.GetFailure().GetDetail()
			c.ending = brokenEnding(f.GetFailure())
			return core.OutcomeUnknown
		}
	}
}

func (c *call) rejected(r *wire.Reject) core.Outcome {
	c.reason = "agent rejected it (" + r.GetReason().String() + ") " + r.GetDetail()
	c.opts.Control.ObserveEpoch(core.Epoch(r.GetEpoch()))
	return core.OutcomeRejected
}

// frameOf converts a frame of the inner protocol.
func frameOf(f *wire.Frame) stream.Frame {
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

// learn tells dispatch what the attempt showed about its upstream's cache.
func (c *call) learn(a assignment, outcome core.Outcome) {
	l := learned{choice: a.choice, unsent: outcome == core.OutcomeNeverDispatched, run: route.RunResult{
		Upstream: a.choice.Upstream, Incarnation: a.choice.Incarnation, Blocks: c.blocks,
		HintedBlocks: a.choice.HintedBlocks, HintAge: a.choice.HintAge,
	}}
	if outcome == core.OutcomeFinished {
		l.run.HeldBlocks = int(c.end.GetPrefixBlocks())
		l.run.ReusedBlocks = cachedBlocks(c.end, len(c.Prompt.Text))
		// Imported blocks were no longer at the upstream. Counting them as found
		// would make every former holder look as good as the one that holds them.
		if c.end.GetImportedBytes() > 0 {
			l.kept, l.run.ReusedBlocks = l.run.ReusedBlocks, 0
		}
	}
	_ = c.dispatch.reports.Send(context.Background(), l)
}

// cachedBlocks converts the share of cached tokens to blocks of the prompt.
func cachedBlocks(end *wire.End, promptBytes int) int {
	if end.GetPromptTokens() == 0 {
		return 0
	}
	return int(uint64(end.GetCachedTokens()) * uint64(promptBytes) / uint64(end.GetPromptTokens()) / core.BlockBytes)
}

func (c *call) logAttempt(a assignment, outcome core.Outcome) {
	c.opts.Log.WithFields(logrus.Fields{
		"event": "attempt", "attempt": a.attempt, "upstream": a.choice.Upstream,
		"outcome": outcome.String(), "reason": c.reason, "tokens": c.answer.Position(),
	}).Debug("attempt did not finish")
}
