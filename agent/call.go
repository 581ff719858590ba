package agent

import (
	"context"
	"net/http"
	"time"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/wire"
)

// Call serves one call to a plain service. Its admission has the same limits as that of
// prompts.
func (s *server) Call(ctx context.Context, req *wire.CallRequest) (*wire.CallReply, error) {
	ctx, cancelTimer := context.WithTimeout(ctx, time.Duration(req.GetDeadlineMs())*time.Millisecond)
	defer cancelTimer()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if reject := s.checkCall(req); reject != nil {
		return newRejectReply(req, reject), nil
	}
	result, err := s.requestAdmission(ctx, newServiceCall(req, s.opts.Now()), cancel)
	if err != nil {
		return newRejectReply(req, &wire.Reject{Reason: wire.RejectReason_REJECT_DEADLINE, Detail: err.Error()}), nil
	}
	if !result.admitted {
		return newRejectReply(req, newReject(result)), nil
	}
	reply := s.opts.CallService(ctx, req)
	sample := admit.Sample{Result: admit.ResultSucceeded}
	if reply.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN || reply.GetStatus() >= http.StatusInternalServerError {
		sample.Result = admit.ResultFailed
	}
	s.finishCall(finishEvent{id: core.AttemptID(req.GetAttempt()), sample: sample})
	return reply, nil
}

func (s *server) checkCall(req *wire.CallRequest) *wire.Reject {
	view := s.opts.Control.View()
	if s.opts.CallService == nil || req.GetUpstream() != string(s.opts.Upstream) {
		return &wire.Reject{Reason: wire.RejectReason_REJECT_WRONG_UPSTREAM, Detail: "this agent serves " + string(s.opts.Upstream)}
	}
	if s.bundleUpstream(view) == nil {
		return &wire.Reject{Reason: wire.RejectReason_REJECT_DRAINING, Detail: "upstream is not in the bundle in force"}
	}
	return s.checkEpoch(view, req.GetSender())
}

func newServiceCall(req *wire.CallRequest, now time.Time) admit.Call {
	return admit.Call{
		ID:        core.AttemptID(req.GetAttempt()),
		Workspace: core.WorkspaceID(req.GetWorkspace()),
		Weight:    1,
		Class:     core.Urgent,
		Deadline:  now.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond),
		Watcher:   core.NodeID(req.GetSender().GetNode()),
	}
}

func newRejectReply(req *wire.CallRequest, reject *wire.Reject) *wire.CallReply {
	return &wire.CallReply{
		Attempt:      req.GetAttempt(),
		Outcome:      wire.Outcome_OUTCOME_REJECTED,
		Reason:       reject.GetReason(),
		Detail:       reject.GetDetail(),
		Epoch:        reject.GetEpoch(),
		RetryAfterMs: reject.GetRetryAfterMs(),
	}
}
