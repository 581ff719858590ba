package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
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
