package agent

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/route"
	"waxwingtide.example/waxwingtide/wire"
)

// infoTimeout bounds the look at the engine before a hand-over.
const infoTimeout = time.Second

// errPreempted is the cause of a run that was cancelled for an urgent call.
var errPreempted = errors.New("preempted by an urgent call")

// server answers the inner protocol. Its methods run on goroutines of the
// drpc library, which own nothing that outlives their call.
type server struct{ *Agent }

// run is one attempt of a prompt.
type run struct {
	*Agent
	req    *wire.RunRequest
	out    wire.DRPCAgent_RunStream
	seq    uint64
	tokens uint32
	first  time.Time
}

// Run runs one attempt and streams its frames. Every attempt ends with exactly
// one frame of kind End, Reject or Failure, unless the caller has gone.
func (s *server) Run(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
	r := &run{Agent: s.Agent, req: req, out: out, tokens: req.GetResumeFrom()}
	ctx, cancelTimer := context.WithTimeout(out.Context(), time.Duration(req.GetDeadlineMs())*time.Millisecond)
	defer cancelTimer()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	if rejection := r.check(s.opts.Control.View()); rejection != nil {
		return r.reject(rejection)
	}
	arrived := s.opts.Now()
	v, err := s.admit(ctx, r.call(arrived), cancel)
	if err != nil {
		return err
	}
	if !v.admitted {
		return r.reject(rejectionOf(v))
	}
	queued := s.opts.Now().Sub(arrived)
	if rejection := r.checkEngine(ctx); rejection != nil {
		s.finish(doneEvent{id: r.attempt(), sample: admit.Sample{Result: admit.ResultCancelled}})
		return r.reject(rejection)
	}
	return r.execute(ctx, queued)
}

// check refuses requests that must not reach the upstream whatever its load.
func (r *run) check(view *facts.View) *wire.Reject {
	upstream := r.upstream(view)
	switch {
	case r.opts.Engine == nil || r.req.GetUpstream() != string(r.opts.Upstream):
		return &wire.Reject{Reason: wire.RejectReason_REJECT_WRONG_UPSTREAM, Detail: "this agent serves " + string(r.opts.Upstream)}
	case upstream == nil:
		return &wire.Reject{Reason: wire.RejectReason_REJECT_DRAINING, Detail: "upstream is not in the bundle in force"}
	}
	if rejection := r.checkEpoch(view, r.req.GetSender()); rejection != nil {
		return rejection
	}
	model, version := core.ModelID(r.req.GetModel()), core.WeightVersion(r.req.GetVersion())
	// A resumed run may keep the version that its first attempt began with.
	current := view.ServedVersion(upstream) == version || r.req.GetResumeFrom() > 0
	if upstream.Model != model || !current || !view.VersionAllowed(model, version) {
		return &wire.Reject{Reason: wire.RejectReason_REJECT_VERSION, Detail: "version is not served here"}
	}
	return nil
}

// checkEpoch refuses senders that act on an older bundle than this process.
func (a *Agent) checkEpoch(view *facts.View, sender *wire.Sender) *wire.Reject {
	epoch := core.Epoch(sender.GetEpoch())
	if epoch > view.Head.Epoch {
		a.opts.Control.ObserveEpoch(epoch)
	}
	if epoch < view.Head.Epoch {
		return &wire.Reject{Reason: wire.RejectReason_REJECT_STALE_EPOCH, Epoch: uint64(view.Head.Epoch), Detail: "sender's epoch is old"}
	}
	return nil
}

// checkEngine asks the engine for its state just before hand-over. An engine
// may turn cold at any moment, and the sampler would notice too late to keep
// the runs that were admitted for a warm one away from it.
func (r *run) checkEngine(ctx context.Context) *wire.Reject {
	ctx, cancel := context.WithTimeout(ctx, infoTimeout)
	defer cancel()
	known := r.admission.state.Load().info
	info, err := r.opts.Engine.Info(ctx)
	if err != nil {
		return &wire.Reject{Reason: wire.RejectReason_REJECT_UPSTREAM_UNAVAILABLE, Detail: err.Error()}
	}
	if known.Incarnation == 0 || info.Incarnation == known.Incarnation && info.CacheEpoch == known.CacheEpoch {
		return nil
	}
	_ = r.admission.events.Send(ctx, infoEvent{info})
	return &wire.Reject{Reason: wire.RejectReason_REJECT_WINDOW_FULL, Detail: "upstream turned cold"}
}

func (r *run) class() core.Class {
	if r.req.GetDeferrable() {
		return core.Deferrable
	}
	return core.Urgent
}

func (r *run) call(now time.Time) admit.Call {
	return admit.Call{
		ID:          r.attempt(),
		Workspace:   core.WorkspaceID(r.req.GetWorkspace()),
		Weight:      int(r.req.GetWeight()),
		Class:       r.class(),
		Deadline:    now.Add(time.Duration(r.req.GetDeadlineMs()) * time.Millisecond),
		Watcher:     core.NodeID(r.req.GetSender().GetNode()),
		Incarnation: core.Incarnation(r.req.GetAgentIncarnation()),
	}
}

// admit asks the admission duty and waits for its verdict. An error means that
// the caller has gone; the admission duty was told.
func (a *Agent) admit(ctx context.Context, call admit.Call, cancel context.CancelCauseFunc) (verdict, error) {
	reply := ring.New[verdict](1)
	if !a.admission.offers.Offer(offer{call, reply, cancel}) {
		return verdict{reason: admit.ReasonQueueFull}, nil
	}
	v, err := reply.Receive(ctx)
	if err != nil {
		a.finish(doneEvent{id: call.ID, sample: admit.Sample{Result: admit.ResultCancelled}})
		return verdict{}, errs.Wrap(err, errs.Unavailable, "send the call again", "caller left before admission")
	}
	return v, nil
}

// finish reports the end of a call. It waits for room, so that no run is
// counted as under way for ever, and ends with the duty itself.
func (a *Agent) finish(done doneEvent) {
	_ = a.admission.events.Send(context.Background(), done)
}

// finishWithCredit reports the end of a run and returns the state with the
// entry's renewed credits, or nil when the caller has gone. An entry that keeps
// sending thus does not wait for its next watch message.
func (r *run) finishWithCredit(ctx context.Context, done doneEvent) *wire.UpstreamState {
	done.watcher = core.NodeID(r.req.GetSender().GetNode())
	done.reply = ring.New[grant](1)
	r.finish(done)
	credit, err := done.reply.Receive(ctx)
	if err != nil {
		return nil
	}
	return r.upstreamState(credit)
}

func (r *run) attempt() core.AttemptID { return core.AttemptID(r.req.GetAttempt()) }

func rejectionOf(v verdict) *wire.Reject {
	reject := &wire.Reject{Detail: v.reason.String(), RetryAfterMs: uint32(v.retryAfter.Milliseconds())}
	switch {
	case v.duplicate:
		reject.Reason = wire.RejectReason_REJECT_DUPLICATE
	case v.reason == admit.ReasonDeadline:
		reject.Reason = wire.RejectReason_REJECT_DEADLINE
	case v.reason == admit.ReasonStaleIncarnation:
		reject.Reason = wire.RejectReason_REJECT_STALE_INCARNATION
	case v.reason == admit.ReasonDraining:
		reject.Reason = wire.RejectReason_REJECT_DRAINING
	case v.reason == admit.ReasonDisplaced:
		reject.Reason = wire.RejectReason_REJECT_PREEMPTED
	default:
		reject.Reason = wire.RejectReason_REJECT_QUEUE_FULL
	}
	return reject
}

func (r *run) send(f *wire.Frame) error {
	f.Attempt = r.req.GetAttempt()
	f.Seq = r.seq
	r.seq++
	return r.out.Send(f)
}

func (r *run) reject(reject *wire.Reject) error {
	r.metrics.rejected(reject.GetReason())
	return r.send(&wire.Frame{Body: &wire.Frame_Reject{Reject: reject}})
}

// scope is what the run's cache blocks must match.
func (r *run) scope() core.CacheScope {
	return core.CacheScope{
		Workspace: core.WorkspaceID(r.req.GetWorkspace()),
		Model:     core.ModelID(r.req.GetModel()),
		Adapter:   core.AdapterID(r.req.GetAdapter()),
		Version:   core.WeightVersion(r.req.GetVersion()),
	}
}

// execute hands the admitted run to the engine and streams its tokens.
func (r *run) execute(ctx context.Context, queued time.Duration) error {
	scope := r.scope()
	var imported int
	if r.opts.Transfer != nil {
		imported, _ = r.opts.Transfer.Prepare(ctx, scope, r.req.GetPrompt(), r.class())
	}
	handedOver := r.opts.Now()
	usage, finish, err := r.opts.Engine.Complete(ctx, r.completion(scope), r.token)
	if err != nil {
		sample, err := r.fail(ctx, err)
		r.finish(doneEvent{id: r.attempt(), sample: sample})
		return err
	}
	sample := r.sample(handedOver, usage)
	if r.opts.Transfer != nil {
		r.opts.Transfer.ObservePrefill(ctx, sample.ComputedBytes, sample.TimeToFirstToken)
		r.opts.Transfer.RecordRun(scope, r.req.GetPrompt(), usage)
	}
	stored := storedHints(scope, r.req.GetPrompt(), sample.ComputedBytes)
	r.metrics.finished(r.class(), usage, imported)
	state := r.finishWithCredit(ctx, doneEvent{id: r.attempt(), sample: sample, stored: stored})
	return r.send(&wire.Frame{Body: &wire.Frame_End{End: &wire.End{
		State:         state,
		Frames:        r.seq,
		Tokens:        r.tokens,
		FinishReason:  finish,
		PromptTokens:  uint32(usage.PromptTokens),
		CachedTokens:  uint32(usage.CachedTokens),
		ImportedBytes: uint64(imported),
		PrefixBlocks:  uint32(len(r.req.GetPrompt()) / core.BlockBytes),
		QueueMs:       uint32(queued.Milliseconds()),
		PrefillMs:     uint32(sample.TimeToFirstToken.Milliseconds()),
	}}})
}

// storedHints returns the hints that entries record for a finished run: the
// first 8 bytes of some of its block keys.
func storedHints(scope core.CacheScope, prompt string, computedBytes int) []uint64 {
	keys := core.BlockKeys(scope.Salt(), prompt)
	cached := (len(prompt) - computedBytes) / core.BlockBytes
	var hints []uint64
	route.VisitRecordedDepths(len(keys), cached, func(depth int) {
		hints = append(hints, binary.BigEndian.Uint64(keys[depth-1][:8]))
	})
	return hints
}

func (r *run) completion(scope core.CacheScope) engine.CompletionRequest {
	return engine.CompletionRequest{
		Model:      engine.ModelName(scope.Model, scope.Version, scope.Adapter),
		Prompt:     r.req.GetPrompt(),
		MaxTokens:  int(r.req.GetMaxTokens()),
		Stream:     true,
		Priority:   int(r.class()),
		CacheSalt:  scope.Salt(),
		RequestID:  r.req.GetAttempt(),
		ResumeFrom: int(r.req.GetResumeFrom()),
	}
}

func (r *run) token(position int, text string) error {
	if r.first.IsZero() {
		r.first = r.opts.Now()
	}
	r.tokens = uint32(position) + 1
	return r.send(&wire.Frame{Body: &wire.Frame_Token{Token: &wire.Token{Position: uint32(position), Text: text}}})
}

func (r *run) sample(handedOver time.Time, usage engine.Usage) admit.Sample {
	s := admit.Sample{Result: admit.ResultSucceeded}
	if !r.first.IsZero() {
		s.TimeToFirstToken = r.first.Sub(handedOver)
	}
	if usage.PromptTokens > 0 {
		computed := float64(usage.PromptTokens-usage.CachedTokens) / float64(usage.PromptTokens)
		s.ComputedBytes = int(computed * float64(len(r.req.GetPrompt())))
	}
	return s
}

// fail tells the entry how an admitted run ended without a whole answer. Only
// an engine that provably did not take the request makes it a rejection.
func (r *run) fail(ctx context.Context, err error) (admit.Sample, error) {
	sample := admit.Sample{Result: admit.ResultFailed}
	if ctx.Err() != nil {
		sample.Result = admit.ResultCancelled
	}
	if errs.Is(err, errs.Unavailable) && r.seq == 0 {
		return sample, r.reject(&wire.Reject{Reason: wire.RejectReason_REJECT_UPSTREAM_UNAVAILABLE, Detail: err.Error()})
	}
	r.metrics.failed(r.class())
	return sample, r.send(&wire.Frame{Body: &wire.Frame_Failure{Failure: &wire.Failure{
		Cause: r.causeOf(ctx, err), Detail: err.Error(), Tokens: r.tokens,
	}}})
}

// causeOf tells why an admitted run failed. An engine that still answers as the
// same incarnation has failed the run itself; otherwise all its runs were lost.
func (r *run) causeOf(ctx context.Context, err error) wire.FailureCause {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errPreempted):
		return wire.FailureCause_CAUSE_PREEMPTED
	case errors.Is(cause, context.DeadlineExceeded):
		return wire.FailureCause_CAUSE_DEADLINE
	case cause != nil:
		return wire.FailureCause_CAUSE_CALLER_LEFT
	case errs.Is(err, errs.Corrupt):
		return wire.FailureCause_CAUSE_GARBLED
	case r.checkEngine(ctx) == nil:
		return wire.FailureCause_CAUSE_ENGINE_FAILED
	default:
		return wire.FailureCause_CAUSE_ENGINE_LOST
	}
}
