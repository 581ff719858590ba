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

// maxAttempts is the maximum number of attempts for one prompt.
const maxAttempts = 4

// call is the state of one call while its attempts are made. It is used only by the
// goroutine of its HTTP handler.
type call struct {
	*Entry
	*promptRequest
	ctx context.Context
	// callID identifies the call in the dispatch queue and in the response. It is from the
	// same sequence as the IDs of attempts, but is not the ID of an attempt. core.Call.ID
	// has the same value.
	callID         core.AttemptID
	version        core.WeightVersion
	blocks         []core.BlockKey
	response       *stream.Response
	writer         completionWriter
	triedUpstreams []core.UpstreamID
	// placement is the result of the last placement request, placedAt its time.
	placement    placementResult
	placedAt     time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	endFrame     *wire.End
	// agentDraining is set if the agent of the last attempt rejected it because it is
	// draining, or drained when it finished.
	agentDraining bool
	// lastReason is the reason, for errors and logs, why the last attempt did not finish.
	// lastResult is the classification of the last attempt for the judge.
	lastReason string
	lastResult rollout.Result
}

// serveCompletions serves POST /v1/completions.
func (e *Entry) serveCompletions(w http.ResponseWriter, r *http.Request) {
	p, errResp := parsePrompt(r, e.opts.Now(), e.opts.Control.View(), e.opts.Limits.BodyBytes, e.opts.Limits.Timeout)
	if errResp != nil {
		errResp.write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), p.Deadline.Sub(p.ReceivedAt))
	defer cancel()
	c, err := e.newCall(ctx, p)
	if err != nil {
		newNotServingError().write(w)
		return
	}
	defer c.close()
	c.writer = c.newWriter(w)
	result := attempts.Run(ctx, attempts.Rules{
		Repeatable: true, MaxRuns: maxAttempts, MaxSends: maxAttempts, Deadline: p.Deadline,
	}, c)
	if result.Cause != attempts.Responded {
		c.writer.writeError(c.newCallError(result))
	}
	c.completeCall(result.Outcome)
}

func (e *Entry) newCall(ctx context.Context, p *promptRequest) (*call, error) {
	id, err := ring.Request(ctx, e.dispatcher.events, func(reply *ring.Ring[core.AttemptID]) event { return startRequest{reply} })
	if err != nil {
		return nil, err
	}
	p.ID = string(id)
	return &call{Entry: e, promptRequest: p, ctx: ctx, callID: id, response: stream.NewResponse()}, nil
}

func (c *call) newWriter(w http.ResponseWriter) completionWriter {
	if c.streamed {
		return &streamWriter{w: w, id: string(c.callID)}
	}
	return &bodyWriter{w: w, id: string(c.callID)}
}

// close reports to the dispatch duty that the call has ended and no longer counts towards
// the limit of its workspace.
func (c *call) close() {
	_ = c.dispatcher.events.Send(context.Background(), callEnded{c.callID})
}

// Place implements attempts.Sender. A retry uses the retry budget and waits for the retry
// delay.
func (c *call) Place(ctx context.Context, previous int) error {
	if previous > 0 {
		if err := c.awaitRetry(ctx, previous); err != nil {
			return err
		}
	}
	a, err := c.placeAttempt()
	c.placement, c.placedAt = a, c.opts.Now()
	return err
}

// awaitRetry waits until the call may be retried. It returns an error if the call may not be
// retried.
func (c *call) awaitRetry(ctx context.Context, previous int) error {
	decision, err := ring.Request(ctx, c.dispatcher.events, func(reply *ring.Ring[retryDecision]) event {
		return retryRequest{previousAttempts: previous, deadline: c.Deadline, reply: reply}
	})
	switch {
	case err != nil:
		return errs.Wrap(err, errs.Unavailable, "retry later", "last attempt: %s", c.lastReason)
	case decision.denial != nil:
		return errs.Wrap(decision.denial, errs.Unavailable, "retry later", "last attempt: %s", c.lastReason)
	case !duty.Pause(ctx, decision.delay):
		return errs.New(errs.Unavailable, "allow more time or retry later", "last attempt: %s; the deadline passed before the next attempt", c.lastReason)
	}
	return nil
}

// Send implements attempts.Sender.
func (c *call) Send(context.Context) attempts.Result {
	a := c.placement
	outcome := c.sendAttempt(a)
	c.metrics.countAttempt(outcome.String())
	c.reportAttempt(a, outcome)
	c.reportSample(a, outcome)
	if outcome != core.OutcomeFinished {
		c.triedUpstreams = append(c.triedUpstreams, a.choice.Upstream)
		c.logUnfinishedAttempt(a, outcome)
	}
	return attempts.Result{Outcome: outcome}
}

// newCallError returns the error response for a call that did not finish.
func (c *call) newCallError(result attempts.CallResult) *errorResponse {
	err := result.Err
	if err == nil {
		err = errs.New(errs.Unavailable, "retry later", "last attempt: %s (no retry: %s)", c.lastReason, result.Denial)
	}
	return newOutcomeError(result.Outcome, errs.KindOf(err), err.Error(), time.Second)
}

// deliverToken writes the next token to the caller and records its time.
func (c *call) deliverToken(text string) error {
	now := c.opts.Now()
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = now
		c.setResponseModel()
	}
	c.lastTokenAt = now
	return c.writer.writeToken(text)
}

// setResponseModel sets the model name in the response, which contains the weight version
// that generates the response.
func (c *call) setResponseModel() {
	name := engine.ModelName(c.Prompt.Model, c.version, c.adapter)
	switch out := c.writer.(type) {
	case *streamWriter:
		out.model = name
	case *bodyWriter:
		out.model = name
	}
}

// completeCall counts the prompt. If the call has finished, it also completes the response
// and records the times.
func (c *call) completeCall(outcome core.Outcome) {
	c.metrics.countPrompt(c.class, outcome)
	if outcome != core.OutcomeFinished {
		return
	}
	if c.firstTokenAt.IsZero() {
		c.setResponseModel()
	}
	if err := c.writer.writeEnd(c.endFrame.GetFinishReason(), newUsage(c.endFrame)); err != nil || c.firstTokenAt.IsZero() {
		return
	}
	c.metrics.recordTimes(c.class, c.firstTokenAt.Sub(c.ReceivedAt), c.timePerToken())
	c.opts.Log.WithFields(logrus.Fields{
		"event": "prompt", "id": c.callID, "class": c.class.String(), "attempts": len(c.triedUpstreams) + 1,
		"upstream": c.placement.choice.Upstream, "source": c.placement.choice.Source.String(), "hinted": c.placement.choice.HintedBlocks, "hint_age": c.placement.choice.HintAge,
		"first_token": c.firstTokenAt.Sub(c.ReceivedAt), "waited": c.placedAt.Sub(c.ReceivedAt),
		"agent_queue_ms": c.endFrame.GetQueueMs(), "prefill_ms": c.endFrame.GetPrefillMs(),
		"imported_bytes": c.endFrame.GetImportedBytes(), "prompt_tokens": c.endFrame.GetPromptTokens(), "cached_tokens": c.endFrame.GetCachedTokens(),
	}).Debug("prompt finished")
}

func newUsage(end *wire.End) engine.Usage {
	return engine.Usage{
		PromptTokens: int(end.GetPromptTokens()), CompletionTokens: int(end.GetTokens()), CachedTokens: int(end.GetCachedTokens()),
	}
}

func (c *call) timePerToken() time.Duration {
	if n := c.response.Position(); n > 1 {
		return c.lastTokenAt.Sub(c.firstTokenAt) / time.Duration(n-1)
	}
	return 0
}
