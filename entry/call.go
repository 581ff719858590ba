package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/attempts"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/rollout"
	"waxwingtide.example/waxwingtide/stream"
	"waxwingtide.example/waxwingtide/wire"
)

// maxAttempts bounds the upstreams that one prompt is sent to.
const maxAttempts = 4

// call is one prompt on its way through attempts. It lives on the goroutine of
// its HTTP handler.
type call struct {
	*Entry
	*prompt
	ctx     context.Context
	id      core.AttemptID
	version core.WeightVersion
	blocks  []core.BlockKey
	answer  *stream.Response
	out     answerWriter
	tried   []core.UpstreamID
	// assigned is where the next attempt goes, placed when that was decided.
	assigned assignment
	placed   time.Time
	first    time.Time
	last     time.Time
	end      *wire.End
	// reason and ending say how the last attempt ended.
	reason string
	ending rollout.Result
}

// completions serves POST /v1/completions.
func (e *Entry) completions(w http.ResponseWriter, r *http.Request) {
	p, refused := parsePrompt(r, e.opts.Now(), e.opts.Control.View(), e.opts.Limits.BodyBytes, e.opts.Limits.Timeout)
	if refused != nil {
		refused.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), p.Deadline.Sub(p.ReceivedAt))
	defer cancel()
	c, err := e.newCall(ctx, p)
	if err != nil {
		notServing().write(w)
		return
	}
	defer c.close()
	c.out = c.writer(w)
	ended := attempts.Run(ctx, attempts.Rules{
		Repeatable: true, MaxRuns: maxAttempts, MaxSends: maxAttempts, Deadline: p.Deadline,
	}, c)
	if ended.Cause != attempts.Responded {
		c.out.refuse(c.refusal(ended))
	}
	c.record(ended.Outcome)
}

func (e *Entry) newCall(ctx context.Context, p *prompt) (*call, error) {
	id, err := ring.Request(ctx, e.dispatch.reports, func(reply *ring.Ring[core.AttemptID]) report { return identify{reply} })
	if err != nil {
		return nil, err
	}
	p.ID = string(id)
	return &call{Entry: e, prompt: p, ctx: ctx, id: id, answer: stream.NewResponse()}, nil
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

// Place implements attempts.Sender. A further attempt spends from the retry budget
// and waits for its delay.
func (c *call) Place(ctx context.Context, before int) error {
	if before > 0 {
		if err := c.awaitRetry(ctx, before); err != nil {
			return err
		}
	}
	a, err := c.place()
	c.assigned, c.placed = a, c.opts.Now()
	return err
}

// awaitRetry returns when the call may be sent again.
func (c *call) awaitRetry(ctx context.Context, before int) error {
	granted, err := ring.Request(ctx, c.dispatch.reports, func(reply *ring.Ring[permission]) report {
		return again{before: before, deadline: c.Deadline, reply: reply}
	})
	switch {
	case err != nil:
		return errs.Wrap(err, errs.Unavailable, "retry later", "last attempt: %s", c.reason)
	case granted.denied != nil:
		return errs.Wrap(granted.denied, errs.Unavailable, "retry later", "last attempt: %s", c.reason)
	case !duty.Pause(ctx, granted.delay):
		return errs.New(errs.Unavailable, "allow more time or retry later", "last attempt: %s; the deadline came before a further one", c.reason)
	}
	return nil
}

// Send implements attempts.Sender.
func (c *call) Send(context.Context) attempts.Result {
	a := c.assigned
	outcome := c.run(a)
	c.metrics.attempt(outcome.String())
	c.learn(a, outcome)
	c.judge(a, outcome)
	if outcome != core.OutcomeFinished {
		c.tried = append(c.tried, a.choice.Upstream)
		c.logAttempt(a, outcome)
	}
	return attempts.Result{Outcome: outcome}
}

// refusal is what the caller of a call without an answer is told.
func (c *call) refusal(ended attempts.CallResult) *refusal {
	err := ended.Err
	if err == nil {
		err = errs.New(errs.Unavailable, "retry later", "last attempt: %s (no further one: %s)", c.reason, ended.Denial)
	}
	return refuseOutcome(ended.Outcome, errs.KindOf(err), err.Error(), time.Second)
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
	name := engine.ModelName(c.Prompt.Model, c.version, c.adapter)
	switch out := c.out.(type) {
	case *streamWriter:
		out.model = name
	case *bodyWriter:
		out.model = name
	}
}

// record completes the answer and counts the prompt.
func (c *call) record(outcome core.Outcome) {
	c.metrics.prompt(c.class, outcome)
	if outcome != core.OutcomeFinished {
		return
	}
	if c.first.IsZero() {
		c.setModel()
	}
	if err := c.out.end(c.end.GetFinishReason(), usageOf(c.end)); err != nil || c.first.IsZero() {
		return
	}
	c.metrics.times(c.class, c.first.Sub(c.ReceivedAt), c.perToken())
	c.opts.Log.WithFields(logrus.Fields{
		"event": "prompt", "id": c.id, "class": c.class.String(), "attempts": len(c.tried) + 1,
		"upstream": c.assigned.choice.Upstream, "source": c.assigned.choice.Source.String(), "hinted": c.assigned.choice.HintedBlocks, "hint_age": c.assigned.choice.HintAge,
		"first_token": c.first.Sub(c.ReceivedAt), "waited": c.placed.Sub(c.ReceivedAt),
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
