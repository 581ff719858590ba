package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/dispatch"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/retry"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/rollout"
	"waxwingtide.example/waxwingtide/route"
	"waxwingtide.example/waxwingtide/stream"
	"waxwingtide.example/waxwingtide/wire"
)

// call is one prompt on its way through attempts. It lives on the goroutine of
// its HTTP handler.
type call struct {
	*Entry
	*prompt
	ctx      context.Context
	id       core.AttemptID
	arrived  time.Time
	deadline time.Time
	version  core.WeightVersion
	blocks   []core.BlockKey
	tries    *retry.Call
	answer   *stream.Answer
	out      answerWriter
	tried    []core.UpstreamID
	// placed is when the last attempt was given an upstream.
	placed time.Time
	choice route.Choice
	first  time.Time
	last   time.Time
	end    *wire.End
	// reason and ending say how the last attempt ended.
	reason string
	ending rollout.Ending
}

// completions serves POST /v1/completions.
func (e *Entry) completions(w http.ResponseWriter, r *http.Request) {
	p, refused := parsePrompt(r, e.opts.Control.View(), e.opts.Limits.BodyBytes, e.opts.Limits.Timeout)
	if refused != nil {
		refused.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), p.timeout)
	defer cancel()
	c, err := e.newCall(ctx, p)
	if err != nil {
		notServing().write(w)
		return
	}
	defer c.close()
	c.out = c.writer(w)
	if refused := c.serve(); refused != nil {
		c.out.refuse(refused)
	}
	c.record()
}

func (e *Entry) newCall(ctx context.Context, p *prompt) (*call, error) {
	reply := ring.New[core.AttemptID](1)
	if err := e.dispatch.reports.Send(ctx, identify{reply}); err != nil {
		return nil, err
	}
	id, err := reply.Receive(ctx)
	if err != nil {
		return nil, err
	}
	now := e.opts.Now()
	deadline := now.Add(p.timeout)
	return &call{
		Entry: e, prompt: p, ctx: ctx, id: id, arrived: now, deadline: deadline,
		tries:  retry.NewCall(retry.Prompt, p.class, deadline, retry.Defaults()),
		answer: stream.NewAnswer(),
	}, nil
}

func (c *call) writer(w http.ResponseWriter) answerWriter {
	if c.stream {
		return &streamWriter{w: w, id: string(c.id)}
	}
	return &bodyWriter{w: w, id: string(c.id)}
}

// close tells dispatch that the call no longer counts towards its workspace's
// limit.
func (c *call) close() {
	_ = c.dispatch.reports.Send(context.Background(), ended{c.id})
}

// serve runs attempts until the answer is whole or no further one is allowed.
func (c *call) serve() *refusal {
	for {
		refused, done := c.attempt()
		if done {
			return refused
		}
		permission, err := c.mayRetry()
		if err != nil || permission.denial != retry.Allowed {
			return c.giveUp(permission.denial)
		}
		if !duty.Pause(c.ctx, permission.delay) {
			return c.giveUp(retry.DeniedDeadline)
		}
	}
}

// attempt places and runs one attempt. It reports whether the call is over.
func (c *call) attempt() (refused *refusal, done bool) {
	a, refused := c.place()
	if refused != nil {
		return refused, true
	}
	c.placed, c.choice = c.opts.Now(), a.choice
	c.tries.Begin(c.placed, a.attempt)
	outcome := c.run(a)
	c.tries.End(a.attempt, outcome)
	c.metrics.attempt(outcome.String())
	c.learn(a, outcome)
	c.judge(a, outcome)
	if outcome != core.Finished {
		c.tried = append(c.tried, a.choice.Upstream)
		c.logAttempt(a, outcome)
	}
	return nil, outcome == core.Finished || c.ctx.Err() != nil && c.clientGone()
}

func (c *call) clientGone() bool { return errors.Is(c.ctx.Err(), context.Canceled) }

// place asks dispatch for an upstream. While the canary has no free credit the
// stable version serves the call.
func (c *call) place() (assignment, *refusal) {
	view := c.opts.Control.View()
	canary := c.chooseVersion(view, true)
	a, refused := c.ask(canary)
	if refused == nil && a.unserved && c.canChangeVersion() {
		c.chooseVersion(view, false)
		a, refused = c.ask(false)
	}
	if refused == nil && a.unserved {
		return a, c.refuse(errs.Unavailable, "no upstream serves model "+string(c.model)+" now; retry later")
	}
	return a, refused
}

// canChangeVersion reports whether no token was sent yet. An answer must come
// from one weight version.
func (c *call) canChangeVersion() bool { return c.answer.Position() == 0 }

// chooseVersion sets the weight version and the block keys under it. It
// reports whether the call belongs to the canary share.
func (c *call) chooseVersion(view *facts.View, canary bool) bool {
	if !c.canChangeVersion() {
		return false
	}
	split := splitFor(view, c.model, canary)
	version := split.Version(c.id)
	if version != c.version {
		c.version = version
		c.blocks = core.BlockKeys(c.scope().Salt(), c.text)
	}
	return version == split.Canary
}

// splitFor returns how a model's traffic is divided between weight versions.
// Without canary, and while the new version is withdrawn, one version gets all.
func splitFor(view *facts.View, model core.ModelID, canary bool) route.Split {
	m := view.Index.Models[model]
	if m == nil {
		return route.Split{}
	}
	split := route.Split{Stable: m.Stable}
	if m.Rollout == nil || !view.VersionOpen(model, m.Rollout.To) {
		return split
	}
	stage := view.Head.Rollouts[model]
	switch {
	case stage.Stage == facts.StagePromoted:
		split.Stable = m.Rollout.To
	case stage.Stage == facts.StageCanary && canary:
		split.Canary = m.Rollout.To
		split.Share = min(stage.Share, m.Rollout.CanaryShare)
	}
	return split
}

func (c *call) scope() core.Scope {
	return core.Scope{Workspace: c.identity.Workspace, Model: c.model, Adapter: c.adapter, Version: c.version}
}

func (c *call) ask(canary bool) (assignment, *refusal) {
	p := &placement{
		canary: canary,
		route: route.Request{
			Scope: c.scope(), Class: c.class, Blocks: c.blocks, PromptBytes: len(c.text), Tried: c.tried,
		},
		reply: ring.New[assignment](1),
	}
	p.call = dispatch.Call[*placement]{
		ID: c.id, Workspace: c.identity.Workspace, Weight: c.weight, MaxInFlight: c.limit, Class: c.class,
		Deadline: c.deadline, Pool: dispatch.Pool{Model: c.model, Version: c.version}, Value: p,
	}
	if !c.dispatch.placements.Offer(p) {
		return assignment{}, c.refuse(errs.Exhausted, "this entry has too many calls waiting; retry later")
	}
	a, err := p.reply.Receive(c.ctx)
	if err != nil {
		return assignment{}, c.refuse(errs.Unavailable, "no upstream was free before the deadline; allow more time or retry later")
	}
	return a, c.refusePlacement(a.refused)
}

func (c *call) refusePlacement(reason dispatch.Reason) *refusal {
	switch reason {
	case dispatch.ReasonNone:
		return nil
	case dispatch.ReasonWorkspaceLimit:
		return c.refuse(errs.Exhausted, "workspace has as many calls under way as its limit allows; retry later")
	case dispatch.ReasonDeadline:
		return c.refuse(errs.Unavailable, "no upstream was free before the deadline; allow more time or retry later")
	default:
		return c.refuse(errs.Unavailable, "too many calls wait for an upstream ("+reason.String()+"); retry later")
	}
}

// refuse builds the refusal that the attempts so far prove.
func (c *call) refuse(kind errs.Kind, message string) *refusal {
	return refuseOutcome(c.tries.Outcome(), kind, message, time.Second)
}

func (c *call) giveUp(denial retry.Denial) *refusal {
	return c.refuse(errs.Unavailable, "last attempt: "+c.reason+" (no further one: "+denial.String()+"); retry later")
}

func (c *call) mayRetry() (permission, error) {
	reply := ring.New[permission](1)
	if err := c.dispatch.reports.Send(c.ctx, again{c.tries, reply}); err != nil {
		return permission{denial: retry.DeniedDeadline}, err
	}
	return reply.Receive(c.ctx)
}

// run sends one attempt to the agent and passes its tokens on. A failure to
// connect proves that nothing was sent.
func (c *call) run(a assignment) core.Outcome {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	resume := c.answer.Begin(a.attempt)
	c.ending = rollout.NotHandedOver
	client := wire.NewDRPCAgentClient(c.opts.Dial(ctx, a.address))
	frames, err := client.Run(ctx, c.request(a, resume))
	if err != nil {
		c.answer.Closed(a.attempt)
		c.reason = "agent does not answer"
		if errs.Is(err, errs.Unavailable) {
			return core.NeverDispatched
		}
		return core.Unknown
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
		Model:            string(c.model),
		Adapter:          string(c.adapter),
		Version:          string(c.version),
		Prompt:           c.text,
		MaxTokens:        uint32(c.maxTokens),
		Deferrable:       c.class == core.Deferrable,
		DeadlineMs:       uint32(max(0, c.deadline.Sub(c.opts.Now()).Milliseconds())),
		ResumeFrom:       resume,
		Weight:           uint32(c.weight),
	}
}

// follow receives the frames of one attempt until it is over.
func (c *call) follow(a assignment, frames wire.DRPCAgent_RunClient) core.Outcome {
	for {
		f, err := frames.Recv()
		if err != nil {
			c.answer.Closed(a.attempt)
			c.reason, c.ending = "stream was cut", c.cutEnding()
			if !errors.Is(err, io.EOF) {
				c.reason += ": " + err.Error()
			}
			return core.Unknown
		}
		step := c.answer.Accept(frameOf(f))
		if step.Fault != stream.FaultNone {
			c.metrics.fault(step.Fault.String())
		}
		switch step.Verdict {
		case stream.Deliver:
			if err := c.deliver(f.GetToken().GetText()); err != nil {
				c.reason, c.ending = "caller has gone", rollout.CallerLeft
				return core.Unknown
			}
		case stream.Complete:
			c.end, c.ending = f.GetEnd(), rollout.Complete
			c.dispatch.states.Push(stateUpdate{id: a.choice.Upstream, state: c.end.GetState()})
			return core.Finished
		case stream.Rejected:
			return c.rejected(f.GetReject())
		case stream.Broken:
			c.reason = "attempt broke (" + step.Fault.String() + ") " + f.GetFailure().GetDetail()
			c.ending = brokenEnding(f.GetFailure())
			return core.Unknown
		}
	}
}

func (c *call) rejected(r *wire.Reject) core.Outcome {
	c.reason = "agent rejected it (" + r.GetReason().String() + ") " + r.GetDetail()
	c.opts.Control.NoteEpoch(core.Epoch(r.GetEpoch()))
	return core.Rejected
}

// deliver writes the next token to the caller.
func (c *call) deliver(text string) error {
	now := c.opts.Now()
	if c.first.IsZero() {
		c.first = now
		c.setModel()
	}
	c.last = now
	return c.out.token(text)
}

// setModel names the weight version that answers in the caller's answer.
func (c *call) setModel() {
	name := engine.ModelName(c.model, c.version, c.adapter)
	switch out := c.out.(type) {
	case *streamWriter:
		out.model = name
	case *bodyWriter:
		out.model = name
	}
}

// frameOf converts a frame of the inner protocol.
func frameOf(f *wire.Frame) stream.Frame {
	out := stream.Frame{Attempt: core.AttemptID(f.GetAttempt()), Seq: f.GetSeq()}
	switch body := f.GetBody().(type) {
	case *wire.Frame_Token:
		out.Kind, out.Position, out.Text = stream.KindToken, body.Token.GetPosition(), body.Token.GetText()
	case *wire.Frame_End:
		out.Kind, out.Frames, out.Tokens = stream.KindEnd, body.End.GetFrames(), body.End.GetTokens()
	case *wire.Frame_Reject:
		out.Kind = stream.KindReject
	case *wire.Frame_Failure:
		out.Kind, out.Tokens = stream.KindFailure, body.Failure.GetTokens()
	}
	return out
}

// cutEnding classifies an attempt whose stream ended without an end frame.
func (c *call) cutEnding() rollout.Ending {
	switch {
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return rollout.TimedOut
	case c.ctx.Err() != nil:
		return rollout.CallerLeft
	default:
		return rollout.VMLost
	}
}

// brokenEnding classifies an attempt by the agent's failure frame; without one
// the frames did not add up.
func brokenEnding(f *wire.Failure) rollout.Ending {
	if f == nil {
		return rollout.Garbled
	}
	switch f.GetCause() {
	case wire.FailureCause_CAUSE_ENGINE_FAILED:
		return rollout.EngineFailed
	case wire.FailureCause_CAUSE_GARBLED:
		return rollout.Garbled
	case wire.FailureCause_CAUSE_PREEMPTED:
		return rollout.Preempted
	case wire.FailureCause_CAUSE_DEADLINE:
		return rollout.TimedOut
	case wire.FailureCause_CAUSE_CALLER_LEFT:
		return rollout.CallerLeft
	default:
		return rollout.EngineLost
	}
}

// judge gives the rollout's tests a sample, if the ending says anything about
// the weight version. An upstream that is leaving says nothing.
func (c *call) judge(a assignment, outcome core.Outcome) {
	counts, failed := rollout.Classify(c.ending)
	view := c.opts.Control.View()
	upstream := view.Index.Upstreams[a.choice.Upstream]
	if c.opts.Judge == nil || !counts || upstream == nil || failed && !view.UpstreamOpen(upstream) {
		return
	}
	s := Sample{
		Model: c.model, Version: c.version, Workspace: c.identity.Workspace, Upstream: a.choice.Upstream,
		Class: c.class, Failed: failed, At: c.opts.Now(),
	}
	if outcome == core.Finished {
		s.FirstToken = time.Duration(c.end.GetPrefillMs()) * time.Millisecond
		s.PerToken = c.perToken()
		s.Work = int(c.end.GetPromptTokens()) - int(c.end.GetCachedTokens())
	}
	c.opts.Judge.Observe(s)
}

// learn tells dispatch what the attempt showed about its upstream's cache.
func (c *call) learn(a assignment, outcome core.Outcome) {
	l := learned{choice: a.choice, unsent: outcome == core.NeverDispatched, run: route.Run{
		Upstream: a.choice.Upstream, Incarnation: a.choice.Incarnation, Blocks: c.blocks,
		Hinted: a.choice.Hinted, HintAge: a.choice.HintAge,
	}}
	if outcome == core.Finished {
		l.run.Held = int(c.end.GetPrefixBlocks())
		l.run.Cached = cachedBlocks(c.end, len(c.text))
		// Imported blocks were no longer at the upstream. Counting them as found
		// would make every former holder look as good as the one that holds them.
		if c.end.GetImportedBytes() > 0 {
			l.kept, l.run.Cached = l.run.Cached, 0
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

// record completes the answer and counts the prompt.
func (c *call) record() {
	outcome := c.tries.Outcome()
	c.metrics.prompt(c.class, outcome)
	if outcome != core.Finished {
		return
	}
	if c.first.IsZero() {
		c.setModel()
	}
	if err := c.out.end(c.end.GetFinishReason(), usageOf(c.end)); err != nil || c.first.IsZero() {
		return
	}
	c.metrics.times(c.class, c.first.Sub(c.arrived), c.perToken())
	c.opts.Log.WithFields(logrus.Fields{
		"event": "prompt", "id": c.id, "class": c.class.String(), "attempts": len(c.tried) + 1,
		"upstream": c.choice.Upstream, "source": c.choice.Source.String(), "hinted": c.choice.Hinted, "hint_age": c.choice.HintAge,
		"first_token": c.first.Sub(c.arrived), "waited": c.placed.Sub(c.arrived),
		"agent_queue_ms": c.end.GetQueueMs(), "prefill_ms": c.end.GetPrefillMs(),
		"imported_bytes": c.end.GetImportedBytes(), "prompt_tokens": c.end.GetPromptTokens(), "cached_tokens": c.end.GetCachedTokens(),
	}).Debug("prompt finished")
}

func usageOf(end *wire.End) engine.Usage {
	return engine.Usage{
		PromptTokens: int(end.GetPromptTokens()), CompletionTokens: int(end.GetTokens()), CachedTokens: int(end.GetCachedTokens()),
	}
}

func (c *call) perToken() time.Duration {
	if n := c.answer.Position(); n > 1 {
		return c.last.Sub(c.first) / time.Duration(n-1)
	}
	return 0
}
