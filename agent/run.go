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

// infoTimeout is the timeout of the request for the engine's state before a submission.
const infoTimeout = time.Second

// errPreempted is the context cause of a run that was cancelled for an urgent call.
var errPreempted = errors.New("preempted by an urgent call")

// server handles requests of the inner protocol. Its methods run on goroutines of the drpc
// library. All state that remains after a request is owned by duties.
type server struct{ *Agent }

// runHandler handles one attempt of a prompt. It runs on the goroutine of the request.
type runHandler struct {
	*Agent
	req *wire.RunRequest
	out wire.DRPCAgent_RunStream
	// nextSeq is the sequence number of the next frame.
	nextSeq uint64
	// nextPosition is the position of the next token in the response. It includes the
	// tokens of earlier attempts.
	nextPosition uint32
	firstTokenAt time.Time
}

// Run runs one attempt and streams its frames. Exactly one frame, the last one, is of kind
// End, Reject or Failure. It is missing if the context ends before the admission duty has
// decided, or if the stream fails.
func (s *server) Run(req *wire.RunRequest, out wire.DRPCAgent_RunStream) error {
	r := &runHandler{Agent: s.Agent, req: req, out: out, nextPosition: req.GetResumeFrom()}
	ctx, cancelTimer := context.WithTimeout(out.Context(), time.Duration(req.GetDeadlineMs())*time.Millisecond)
	defer cancelTimer()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	if rejection := r.checkRequest(s.opts.Control.View()); rejection != nil {
		return r.reject(rejection)
	}
	receivedAt := s.opts.Now()
	result, err := s.requestAdmission(ctx, r.newPromptCall(receivedAt), cancel)
	if err != nil {
		return err
	}
	if !result.admitted {
		return r.reject(newReject(result))
	}
	queueTime := s.opts.Now().Sub(receivedAt)
	if rejection := r.checkEngine(ctx); rejection != nil {
		s.finishCall(finishEvent{id: r.attemptID(), sample: admit.Sample{Result: admit.ResultCancelled}})
		return r.reject(rejection)
	}
	return r.execute(ctx, queueTime)
}

// checkRequest rejects a request that must not be submitted to the upstream, whatever its
// load.
func (r *runHandler) checkRequest(view *facts.View) *wire.Reject {
	upstream := r.bundleUpstream(view)
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
	// A resumed call keeps the weight version of its first attempt, which the upstream may
	// no longer use for new calls.
	served := view.ServedVersion(upstream) == version || r.req.GetResumeFrom() > 0
	if upstream.Model != model || !served || !view.VersionAllowed(model, version) {
		return &wire.Reject{Reason: wire.RejectReason_REJECT_VERSION, Detail: "upstream does not serve the requested weight version"}
	}
	return nil
}

// checkEpoch rejects a request whose sender has an older epoch than this process. It records
// a newer epoch, so that the facts of that epoch are fetched.
func (a *Agent) checkEpoch(view *facts.View, sender *wire.Sender) *wire.Reject {
	epoch := core.Epoch(sender.GetEpoch())
	if epoch > view.Head.Epoch {
		a.opts.Control.ObserveEpoch(epoch)
	}
	if epoch < view.Head.Epoch {
		return &wire.Reject{Reason: wire.RejectReason_REJECT_STALE_EPOCH, Epoch: uint64(view.Head.Epoch), Detail: "epoch of the sender is outdated"}
	}
	return nil
}

// checkEngine requests the engine's state directly before a run is submitted. An engine can
// become cold at any time. engineMonitor would detect that too late, and the engine would get
// the runs that were admitted for a warm engine.
func (r *runHandler) checkEngine(ctx context.Context) *wire.Reject {
	ctx, cancel := context.WithTimeout(ctx, infoTimeout)
	defer cancel()
	lastInfo := r.admission.latestSnapshot.Load().engineInfo
	info, err := r.opts.Engine.Info(ctx)
	if err != nil {
		return &wire.Reject{Reason: wire.RejectReason_REJECT_UPSTREAM_UNAVAILABLE, Detail: err.Error()}
	}
	if lastInfo.Incarnation == 0 || info.Incarnation == lastInfo.Incarnation && info.CacheEpoch == lastInfo.CacheEpoch {
		return nil
	}
	_ = r.admission.events.Send(ctx, infoEvent{info})
	return &wire.Reject{Reason: wire.RejectReason_REJECT_WINDOW_FULL, Detail: "upstream became cold"}
}

func (r *runHandler) class() core.Class {
	if r.req.GetDeferrable() {
		return core.Deferrable
	}
	return core.Urgent
}

func (r *runHandler) newPromptCall(now time.Time) admit.Call {
	return admit.Call{
		ID:          r.attemptID(),
		Workspace:   core.WorkspaceID(r.req.GetWorkspace()),
		Weight:      int(r.req.GetWeight()),
		Class:       r.class(),
		Deadline:    now.Add(time.Duration(r.req.GetDeadlineMs()) * time.Millisecond),
		Watcher:     core.NodeID(r.req.GetSender().GetNode()),
		Incarnation: core.Incarnation(r.req.GetAgentIncarnation()),
	}
}

// requestAdmission requests admission for a call and waits for the result. It returns an
// error if the context ends first. In that case it removes the call from the queue.
func (a *Agent) requestAdmission(ctx context.Context, call admit.Call, cancel context.CancelCauseFunc) (admissionResult, error) {
	reply := ring.New[admissionResult](1)
	if !a.admission.offers.Offer(offeredCall{call, reply, cancel}) {
		return admissionResult{reason: admit.ReasonQueueFull}, nil
	}
	result, err := reply.Receive(ctx)
	if err != nil {
		a.finishCall(finishEvent{id: call.ID, sample: admit.Sample{Result: admit.ResultCancelled}})
		return admissionResult{}, errs.Wrap(err, errs.Unavailable, "send the call again", "call was cancelled before admission")
	}
	return result, nil
}

// finishCall reports the end of a call to the admission duty. It waits for space in the ring
// without a timeout, because a run whose end is not reported would be counted forever.
// Send returns an error when the duty stops.
func (a *Agent) finishCall(done finishEvent) {
	_ = a.admission.events.Send(context.Background(), done)
}

// finishAndGetState reports the end of a run and returns the upstream's state with renewed
// credits for the entry, so that the entry can send its next call before the next message of
// its watch stream. It returns nil if the context ends first.
func (r *runHandler) finishAndGetState(ctx context.Context, done finishEvent) *wire.UpstreamState {
	done.watcher = core.NodeID(r.req.GetSender().GetNode())
	done.reply = ring.New[watcherGrant](1)
	r.finishCall(done)
	grant, err := done.reply.Receive(ctx)
	if err != nil {
		return nil
	}
	return r.upstreamState(grant)
}

func (r *runHandler) attemptID() core.AttemptID { return core.AttemptID(r.req.GetAttempt()) }

func newReject(result admissionResult) *wire.Reject {
	reject := &wire.Reject{Detail: result.reason.String(), RetryAfterMs: uint32(result.retryAfter.Milliseconds())}
	switch {
	case result.duplicate:
		reject.Reason = wire.RejectReason_REJECT_DUPLICATE
	case result.reason == admit.ReasonDeadline:
		reject.Reason = wire.RejectReason_REJECT_DEADLINE
	case result.reason == admit.ReasonStaleIncarnation:
		reject.Reason = wire.RejectReason_REJECT_STALE_INCARNATION
	case result.reason == admit.ReasonDraining:
		reject.Reason = wire.RejectReason_REJECT_DRAINING
	case result.reason == admit.ReasonDisplaced:
		reject.Reason = wire.RejectReason_REJECT_PREEMPTED
	default:
		reject.Reason = wire.RejectReason_REJECT_QUEUE_FULL
	}
	return reject
}

func (r *runHandler) send(f *wire.Frame) error {
	f.Attempt = r.req.GetAttempt()
	f.Seq = r.nextSeq
	r.nextSeq++
	return r.out.Send(f)
}

func (r *runHandler) reject(reject *wire.Reject) error {
	r.metrics.countRejection(reject.GetReason())
	return r.send(&wire.Frame{Body: &wire.Frame_Reject{Reject: reject}})
}

// cacheScope returns the values that a cache block must match to be used by the run.
func (r *runHandler) cacheScope() core.CacheScope {
	return core.CacheScope{
		Workspace: core.WorkspaceID(r.req.GetWorkspace()),
		Model:     core.ModelID(r.req.GetModel()),
		Adapter:   core.AdapterID(r.req.GetAdapter()),
		Version:   core.WeightVersion(r.req.GetVersion()),
	}
}

// execute submits the admitted run to the engine and streams its tokens.
func (r *runHandler) execute(ctx context.Context, queueTime time.Duration) error {
	scope := r.cacheScope()
	var importedBytes int
	if r.opts.Transfer != nil {
		importedBytes, _ = r.opts.Transfer.ImportPrefix(ctx, scope, r.req.GetPrompt(), r.class())
	}
	submittedAt := r.opts.Now()
	usage, finishReason, err := r.opts.Engine.Complete(ctx, r.completionRequest(scope), r.sendToken)
	if err != nil {
		sample, err := r.reportFailure(ctx, err)
		r.finishCall(finishEvent{id: r.attemptID(), sample: sample})
		return err
	}
	sample := r.newSample(submittedAt, usage)
	if r.opts.Transfer != nil {
		r.opts.Transfer.ObservePrefill(ctx, sample.ComputedBytes, sample.TimeToFirstToken)
		r.opts.Transfer.RecordRun(scope, r.req.GetPrompt(), usage)
	}
	storedKeys := selectStoredKeys(scope, r.req.GetPrompt(), sample.ComputedBytes)
	r.metrics.countFinishedRun(r.class(), usage, importedBytes)
	state := r.finishAndGetState(ctx, finishEvent{id: r.attemptID(), sample: sample, storedKeys: storedKeys})
	return r.send(&wire.Frame{Body: &wire.Frame_End{End: &wire.End{
		State:         state,
		Frames:        r.nextSeq,
		Tokens:        r.nextPosition,
		FinishReason:  finishReason,
		PromptTokens:  uint32(usage.PromptTokens),
		CachedTokens:  uint32(usage.CachedTokens),
		ImportedBytes: uint64(importedBytes),
		PrefixBlocks:  uint32(len(r.req.GetPrompt()) / core.BlockBytes),
		QueueMs:       uint32(queueTime.Milliseconds()),
		PrefillMs:     uint32(sample.TimeToFirstToken.Milliseconds()),
	}}})
}

// selectStoredKeys returns the keys that entries record as hints for a finished run. They are
// the first 8 bytes of the block keys at the depths that route.VisitRecordedDepths selects.
func selectStoredKeys(scope core.CacheScope, prompt string, computedBytes int) []uint64 {
	keys := core.BlockKeys(scope.Salt(), prompt)
	cachedBlocks := (len(prompt) - computedBytes) / core.BlockBytes
	var hints []uint64
	route.VisitRecordedDepths(len(keys), cachedBlocks, func(depth int) {
		hints = append(hints, binary.BigEndian.Uint64(keys[depth-1][:8]))
	})
	return hints
}

func (r *runHandler) completionRequest(scope core.CacheScope) engine.CompletionRequest {
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

func (r *runHandler) sendToken(position int, text string) error {
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = r.opts.Now()
	}
	r.nextPosition = uint32(position) + 1
	return r.send(&wire.Frame{Body: &wire.Frame_Token{Token: &wire.Token{Position: uint32(position), Text: text}}})
}

func (r *runHandler) newSample(submittedAt time.Time, usage engine.Usage) admit.Sample {
	s := admit.Sample{Result: admit.ResultSucceeded}
	if !r.firstTokenAt.IsZero() {
		s.TimeToFirstToken = r.firstTokenAt.Sub(submittedAt)
	}
	if usage.PromptTokens > 0 {
		computedShare := float64(usage.PromptTokens-usage.CachedTokens) / float64(usage.PromptTokens)
		s.ComputedBytes = int(computedShare * float64(len(r.req.GetPrompt())))
	}
	return s
}

// reportFailure sends the last frame of an admitted run whose response is incomplete. It
// sends a rejection only if the engine was unavailable and no frame was sent, because this
// proves that the engine did not run the prompt.
func (r *runHandler) reportFailure(ctx context.Context, err error) (admit.Sample, error) {
	sample := admit.Sample{Result: admit.ResultFailed}
	if ctx.Err() != nil {
		sample.Result = admit.ResultCancelled
	}
	if errs.Is(err, errs.Unavailable) && r.nextSeq == 0 {
		return sample, r.reject(&wire.Reject{Reason: wire.RejectReason_REJECT_UPSTREAM_UNAVAILABLE, Detail: err.Error()})
	}
	r.metrics.countFailedRun(r.class())
	return sample, r.send(&wire.Frame{Body: &wire.Frame_Failure{Failure: &wire.Failure{
		Cause: r.failureCause(ctx, err), Detail: err.Error(), Tokens: r.nextPosition,
	}}})
}

// failureCause returns the reason why an admitted run failed. If neither the context nor a
// corrupt response explains the failure, it requests the engine's state: an engine with the
// same incarnation and cache epoch has failed this run only. Otherwise the engine has lost
// all its runs.
func (r *runHandler) failureCause(ctx context.Context, err error) wire.FailureCause {
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
