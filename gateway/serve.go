package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/attempts"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// maxSends is the maximum number of attempts of a call while none of them has
	// run.
	maxSends = 4
	// placeRetryInterval is the interval between two attempts to place a call.
	// placeAimShare is the share of the route's target latency in which placement is
	// retried.
	placeRetryInterval = 25 * time.Millisecond
	placeAimShare      = 0.2
	// minAttemptTime is the minimum time until the deadline for a further attempt.
	minAttemptTime = 15 * time.Millisecond
	// responseMargin is subtracted from the deadline, so that the caller receives the
	// refusal in time.
	responseMargin = 20 * time.Millisecond
	// retryAfterRefusal is the Retry-After value of a call that could not be placed.
	retryAfterRefusal = 250 * time.Millisecond
	// maxRetryAfterShare is the maximum Retry-After value as a share of the time until
	// the deadline. Callers wait for up to a third of that time.
	maxRetryAfterShare = 0.3
	// reasonDeadline is the reason reported for a call whose deadline has passed.
	reasonDeadline = "deadline"
)

// serve places and sends the call until it is completed or no further attempt is
// allowed.
func (s *session) serve() {
	ctx, cancel := context.WithDeadline(s.request.Context(), s.deadline.Add(-responseMargin))
	defer cancel()
	s.finish(attempts.Run(ctx, attempts.Rules{
		Repeatable: s.route.Repeatable(), MaxRuns: s.route.MaxRuns, MaxSends: maxSends, Deadline: s.deadline, MinRemaining: minAttemptTime,
	}, s))
}

// Place implements attempts.Sender. It requests a placement from the router until the
// call is placed or the time for placement has passed.
func (s *session) Place(ctx context.Context, _ int) error {
	retryUntil := time.Now().Add(time.Duration(placeAimShare * float64(s.route.TargetLatency)))
	for {
		p, err := s.gateway.router.place(ctx, s.placementRequest())
		if err == nil && p.refusal == placement.Placed {
			s.nextPlacement = p
			return nil
		}
		retry := err == nil && p.refusal != placement.NoRetryBudget && !s.headerSent && time.Now().Add(placeRetryInterval).Before(retryUntil)
		if !retry || !duty.Pause(ctx, placeRetryInterval) {
			return &placementError{refusal: p.refusal, cause: err}
		}
	}
}

// placementError is the error of a call that could not be placed.
type placementError struct {
	refusal placement.Refusal
	// cause is set when the call ended before it was placed.
	cause error
}

// Error implements error.
func (u *placementError) Error() string {
	if u.cause != nil {
		return u.cause.Error()
	}
	return "call could not be placed: " + u.refusal.String() + "; retry"
}

// reason returns the reason that is reported to the caller.
func (u *placementError) reason() string {
	if u.cause != nil {
		return reasonDeadline
	}
	return u.refusal.String()
}

// finish completes a call after its last attempt: it sends the response that the
// caller has not yet received and records the result.
func (s *session) finish(ending attempts.CallResult) {
	reason, cause := s.lastOutcome.result.String(), s.lastOutcome.err
	var u *placementError
	if errors.As(ending.Err, &u) {
		reason, cause = u.reason(), u.cause
	}
	switch {
	case ending.Cause == attempts.Responded:
		s.gateway.metrics.callCompleted(s.route.Name, time.Since(s.call.ReceivedAt))
	case ending.Cause == attempts.CallerCanceled:
		s.log("caller_left").WithField("reason", reason).Info("caller disconnected before the response was complete")
	case s.headerSent:
		s.abort(reason)
	case s.failedResponse != nil:
		s.writeResponse(s.failedResponse)
		s.logResponse("failure_passed")
	case ending.Cause == attempts.NotRun:
		s.refuse(http.StatusServiceUnavailable, reason, s.limitRetryAfter(retryAfterRefusal), cause)
	case ending.Cause == attempts.DeadlineExceeded:
		s.refuse(http.StatusGatewayTimeout, reasonDeadline, 0, cause)
	default:
		s.refuse(http.StatusBadGateway, reason, 0, cause)
	}
}

// outcome is the outcome of an attempt.
type outcome struct {
	result placement.UpstreamResult
	// notRun is set when the call is proved not to have run.
	notRun bool
	err    error
}

// callOutcome returns what the attempt's outcome proves about the call.
func (a outcome) callOutcome() core.Outcome {
	switch {
	case a.result == placement.Completed:
		return core.OutcomeFinished
	case a.notRun:
		return core.OutcomeRejected
	default:
		return core.OutcomeUnknown
	}
}

// abort closes the connection to the caller, so that a partially sent response does
// not appear complete.
func (s *session) abort(reason string) {
	s.log("answer_cut").WithFields(logrus.Fields{"reason": reason, "last_event": s.lastEventID}).Warn("response was interrupted; closing the connection to the caller")
	panic(http.ErrAbortHandler)
}

// Send implements attempts.Sender. A stream that was sent to the caller incompletely is
// retried only if it can be resumed after its last event.
func (s *session) Send(ctx context.Context) attempts.Result {
	s.lastOutcome = s.attempt(ctx, s.nextPlacement)
	s.gateway.metrics.attemptCompleted(string(s.service), s.lastOutcome.result)
	cannotResume := s.headerSent && (!s.route.Resumable || s.lastEventID == "")
	return attempts.Result{Outcome: s.lastOutcome.callOutcome(), Final: cannotResume || s.lastOutcome.result == placement.Abandoned}
}

// attempt sends the call to an upstream and relays its response.
func (s *session) attempt(ctx context.Context, p placementResult) outcome {
	sentAt := time.Now()
	report := placement.Report{AttemptID: p.choice.AttemptID, Upstream: p.choice.Upstream.ID, Model: s.call.Prompt.Model, Route: s.route.Name}
	s.attemptedUpstreams = append(s.attemptedUpstreams, p.choice.Upstream.ID)
	x, err := s.send(ctx, p)
	if err != nil {
		return s.handleNoResponse(ctx, p, report, sentAt, err)
	}
	response := s.gateway.opts.Codec.DecodeResponse(x.Response.StatusCode, x.Response.Header)
	report.Load, report.HasLoad, report.Weights, report.ColdRemaining = response.Load, response.HasLoad, response.Weights, response.ColdRemaining
	s.gateway.router.report(report)
	firstByte := time.Since(sentAt)
	s.gateway.metrics.firstByteReceived(string(s.service), firstByte)
	var a outcome
	if s.route.Kind == core.KindStream && response.Success() && response.Sealed {
		a = s.relayStream(x, response)
	} else {
		a = s.relayBuffered(x, response)
	}
	if a.result == placement.Incomplete && ctx.Err() != nil {
		a.result = placement.Abandoned
	}
	report.Final, report.Result, report.FirstByte = true, a.result, firstByte
	s.gateway.router.report(report)
	s.logAttempt(p, attemptTimes{sentAt: sentAt, firstByte: firstByte}, x.Reused, response.Status, a)
	return a
}

func (s *session) send(ctx context.Context, p placementResult) (*upstreamhttp.Exchange, error) {
	resumeAfter := s.call.LastEventID
	if s.lastEventID != "" {
		resumeAfter = s.lastEventID
	}
	attempt := Attempt{
		Upstream: p.choice.Upstream.ID, Timeout: s.remaining(), Weights: p.choice.Weights, Salt: p.choice.Salt,
		Priority: min(max(s.priority(), 0), 9), FetchFrom: p.choice.FetchFrom, SaveTo: p.choice.SaveTo, ResumeAfter: resumeAfter,
	}
	if s.workspace != nil {
		attempt.Workspace = s.workspace.ID
	}
	codec := s.gateway.opts.Codec
	return s.gateway.opts.Client.Send(ctx, p.idleConns, upstreamhttp.Request{
		Address: p.choice.Upstream.Address, HTTPRequest: codec.EncodeAttempt(s.call, attempt), Body: s.call.Body,
		Deadline: s.deadline,
		Matches: func(status int, h http.Header) bool {
			return codec.DecodeResponse(status, h).ID == s.call.ID
		},
	})
}

// handleNoResponse reports an attempt that received no response.
func (s *session) handleNoResponse(ctx context.Context, p placementResult, report placement.Report, sentAt time.Time, err error) outcome {
	a := outcome{result: placement.Incomplete, err: err}
	if errs.Is(err, errs.Unavailable) {
		a.result, a.notRun = placement.Unreachable, true
	}
	if errors.Is(ctx.Err(), context.Canceled) || ctx.Err() != nil && a.notRun {
		a.result = placement.Abandoned
	}
	report.Final, report.Result = true, a.result
	s.gateway.router.report(report)
	s.logAttempt(p, attemptTimes{sentAt: sentAt}, false, 0, a)
	return a
}

// attemptTimes are the times of an attempt. firstByte is zero when there was no
// response.
type attemptTimes struct {
	sentAt    time.Time
	firstByte time.Duration
}

func (s *session) logAttempt(p placementResult, times attemptTimes, reused bool, status int, a outcome) {
	entry := s.log("attempt").WithFields(logrus.Fields{
		"upstream": p.choice.Upstream.ID, "service": s.service, "list_revision": p.choice.Upstream.Revision,
		"weights": p.choice.Weights, "fetched": p.choice.FetchedTokens, "read": p.choice.ReadTokens,
		"expected_ms": p.choice.ExpectedFirstByte.Milliseconds(), "first_ms": times.firstByte.Milliseconds(), "took_ms": time.Since(times.sentAt).Milliseconds(),
		"reused": reused, "status": status, "result": a.result, "not_run": a.notRun, "number": len(s.attemptedUpstreams),
	})
	if a.err != nil {
		entry = entry.WithError(a.err)
	}
	entry.Info("attempt finished")
}

func (s *session) logResponse(event string) {
	s.log(event).WithFields(logrus.Fields{"status": s.status, "attempts": len(s.attemptedUpstreams), "last_event": s.lastEventID}).Debug("response forwarded to the caller")
}
