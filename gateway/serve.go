package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/attempts"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// maxSends is the maximum number of attempts of a call, whether or not they have
	// run. The route limits the attempts that may have run.
	maxSends = 4
	// placeRetryInterval is the interval between two requests to place a call.
	// placeTargetLatencyShare is the share of the route's target latency in which placement is
	// retried.
	placeRetryInterval      = 25 * time.Millisecond
	placeTargetLatencyShare = 0.2
	// memoryWaitShare is the share of the route's target latency in which a call may wait
	// for the memory of an engine. The call can then still be answered in time. Later calls
	// would delay those that can.
	memoryWaitShare = 0.6
	// minAttemptTime is the minimum time until the deadline for a further attempt.
	minAttemptTime = 15 * time.Millisecond
	// responseMargin is subtracted from the deadline, so that the caller receives the
	// refusal in time.
	responseMargin = 20 * time.Millisecond
	// notRunRetryAfter is the Retry-After value of a call that has not run.
	notRunRetryAfter = 250 * time.Millisecond
	// maxRetryAfterShare is the maximum Retry-After value as a share of the time until
	// the deadline. Callers do not wait longer than a third of that time before a
	// retry.
	maxRetryAfterShare = 0.3
	// reasonDeadline is the reason reported for a call whose deadline has passed.
	reasonDeadline = "deadline"
)

// serve places and sends the call until it is completed or no further attempt is
// allowed.
func (s *callState) serve() {
	ctx, cancel := s.callContext()
	defer cancel()
	s.finish(attempts.Run(ctx, attempts.Rules{
		Repeatable: s.route.Repeatable(), MaxRuns: s.route.MaxRuns, MaxSends: maxSends, Deadline: s.deadline, MinRemaining: minAttemptTime,
	}, s))
}

// Place implements attempts.Sender. It requests a placement from the router until the
// call is placed or the time for placement has passed.
func (s *callState) Place(ctx context.Context, _ int) error {
	retryUntil := time.Now().Add(s.targetLatencyShare(placeTargetLatencyShare))
	waitUntil := time.Now().Add(s.targetLatencyShare(memoryWaitShare))
	for {
		p, err := s.gateway.router.place(ctx, placeRequest{req: s.placementRequest(), priority: s.priority(), waitUntil: waitUntil, deadline: s.deadline})
		if err == nil && p.refusal == placement.NotRefused {
			s.nextPlacement = p
			return nil
		}
		retry := err == nil && p.mayChange(retryUntil) && !s.headerSent && time.Now().Add(placeRetryInterval).Before(retryUntil)
		if !retry || !duty.Pause(ctx, placeRetryInterval) {
			return &placementError{refusal: p.refusal, retryAfter: p.retryAfter, cause: err}
		}
	}
}

// targetLatencyShare returns a share of the target latency of the call's route.
func (s *callState) targetLatencyShare(share float64) time.Duration {
	return time.Duration(share * float64(s.route.TargetLatency))
}

// mayChange reports whether a call that was refused may be placed before a point in time.
func (p placementResult) mayChange(until time.Time) bool {
	switch p.refusal {
	case placement.NoUpstream, placement.Limited:
		return true
	case placement.Paused:
		return time.Now().Add(p.retryAfter).Before(until)
	default:
		return false
	}
}

// placementError is the error of a call that could not be placed.
type placementError struct {
	refusal placement.Refusal
	// retryAfter is set when it is known when the call may be placed.
	retryAfter time.Duration
	// cause is set when the call ended before it was placed.
	cause error
}

// Error implements error.
func (e *placementError) Error() string {
	if e.cause != nil {
		return e.cause.Error()
	}
	return "call could not be placed: " + e.refusal.String() + "; retry"
}

// reason returns the reason for the response and the log. It is the deadline for every
// call that ended before it was placed, including those that the caller canceled.
func (e *placementError) reason() string {
	if e.cause != nil {
		return reasonDeadline
	}
	return e.refusal.String()
}

// finish completes a call after its last attempt. If the caller still waits and has
// received nothing, it sends the last error response of an upstream or one of the
// system itself. If the caller has received an incomplete response, it closes the
// connection. A caller that has disconnected may have closed only its sending side, so that
// it still receives an error response or the end of its connection.
func (s *callState) finish(result attempts.CallResult) {
	reason, err := s.lastOutcome.result.String(), s.lastOutcome.err
	retryAfter := s.limitRetryAfter(notRunRetryAfter)
	var placementErr *placementError
	if errors.As(result.Err, &placementErr) {
		reason, err = placementErr.reason(), placementErr.cause
		// A known time is not limited: an earlier retry would be refused as well.
		retryAfter = cmp.Or(placementErr.retryAfter, retryAfter)
		if placementErr.refusal == placement.MemoryFull {
			retryAfter = s.limitRetryAfter(retryAfter)
		}
	}
	switch {
	case result.Cause == attempts.Responded:
		s.gateway.metrics.callCompleted(s.route.Name, time.Since(s.call.ReceivedAt))
	case result.Cause == attempts.CallerCanceled:
		s.endAfterCallerLeft(reason)
	case s.headerSent:
		s.abort(reason)
	case s.failedResponse != nil:
		s.writeResponse(s.failedResponse)
		s.logResponse("failure_passed")
	case result.Cause == attempts.NotRun:
		s.respondWithError(http.StatusServiceUnavailable, reason, retryAfter, err)
	case result.Cause == attempts.DeadlineExceeded:
		s.respondWithError(http.StatusGatewayTimeout, reasonDeadline, 0, err)
	default:
		s.respondWithError(http.StatusBadGateway, reason, 0, err)
	}
}

// attemptOutcome is the result of an attempt, and whether it proves that the call has
// not run.
type attemptOutcome struct {
	result placement.UpstreamResult
	// notRun is set when the call is proved not to have run.
	notRun bool
	// unframed is set when a complete response ended with its connection.
	unframed bool
	err      error
}

// callOutcome returns what the attempt proves about the run of the call.
func (o attemptOutcome) callOutcome() core.Outcome {
	switch {
	case o.result == placement.Completed:
		return core.OutcomeFinished
	case o.notRun:
		return core.OutcomeRejected
	default:
		return core.OutcomeUnknown
	}
}

// abort closes the connection to the caller, so that a partially sent response does
// not appear complete.
func (s *callState) abort(reason string) {
	s.log("answer_cut").WithFields(logrus.Fields{"reason": reason, "last_event": s.lastEventID}).Warn("response was interrupted; closing the connection to the caller")
	s.closeConnection()
}

// endAfterCallerLeft ends the response to a caller that has disconnected.
func (s *callState) endAfterCallerLeft(reason string) {
	s.log("caller_left").WithField("reason", reason).Info("caller disconnected before the response was complete")
	if s.headerSent {
		s.closeConnection()
	}
	s.writeError(http.StatusBadGateway, "caller_left", 0)
}

// closeConnection closes the connection to the caller. It does not return. The end of an
// HTTP/1.0 response is the end of its connection, which is therefore reset.
func (s *callState) closeConnection() {
	control := http.NewResponseController(s.writer)
	_ = control.Flush() // the caller may resume after the last complete event
	if !s.request.ProtoAtLeast(1, 1) {
		resetConnection(control)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes a connection so that its client sees an error.
func resetConnection(control *http.ResponseController) {
	conn, _, err := control.Hijack()
	if err != nil {
		return // the connection has ended
	}
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0) // fails only if the connection is closed
	}
	_ = conn.Close() // the connection is abandoned even if closing it fails
}

// Send implements attempts.Sender. A stream that was sent to the caller incompletely is
// retried only if it can be resumed after its last event.
func (s *callState) Send(ctx context.Context) attempts.Result {
	s.lastOutcome = s.attempt(ctx, s.nextPlacement)
	s.gateway.metrics.attemptFinished(string(s.service), s.lastOutcome.result)
	return attempts.Result{Outcome: s.lastOutcome.callOutcome(), Final: s.headerSent && !s.canResume() || s.lastOutcome.result == placement.Abandoned}
}

// canResume reports whether the stream that the caller receives can be resumed. The id of
// the last event must be known, and no section without an id may follow that event, since
// another upstream would send it again.
func (s *callState) canResume() bool {
	return s.route.Resumable && s.lastEventID != "" && !s.unnumbered
}

// attempt sends the call to an upstream and relays its response.
func (s *callState) attempt(ctx context.Context, p placementResult) attemptOutcome {
	sentAt := time.Now()
	report := s.newReport(p)
	s.attemptedUpstreams = append(s.attemptedUpstreams, p.choice.Upstream.ID)
	memory := s.gateway.opts.ResponseMemory.Open()
	defer s.finishAttempt(memory)
	x, err := s.sendToUpstream(ctx, p, memory)
	if err != nil {
		s.logRefusal(p, err)
		return s.handleNoResponse(ctx, p, report, sentAt, err)
	}
	response := s.gateway.opts.Codec.DecodeResponse(x.Response.StatusCode, x.Response.Header)
	report.Load, report.Weights, report.ColdRemaining = response.Load, response.Weights, response.ColdRemaining
	report.RateLimit, report.HasRateLimit = response.RateLimit, response.fromUpstreamItself()
	report.Leaving, report.PauseFor = response.announcesDeparture(), response.requestedPause()
	firstByte := time.Since(sentAt)
	if response.Success() && response.FromUpstream {
		report.FirstByte = firstByte
	}
	s.gateway.router.report(report)
	s.gateway.metrics.firstByteReceived(string(s.service), firstByte)
	body := &timedBody{ReadCloser: x.Response.Body}
	x.Response.Body = body
	var o attemptOutcome
	if s.isStream(x, response) {
		o = s.relayStream(x, response, memory, func(pace time.Duration) {
			paced := s.newReport(p)
			paced.Pace = pace
			s.gateway.router.report(paced)
		})
	} else {
		o = s.relayBuffered(x, response, memory)
	}
	s.logRefusal(p, o.err)
	if o.result == placement.Incomplete && ctx.Err() != nil {
		o.result = placement.Abandoned
	}
	report.Final, report.Result, report.Unframed = true, o.result, o.unframed
	report.AnswerAge = body.age(sentAt.Add(firstByte))
	s.gateway.router.report(report)
	s.logAttempt(p, attemptTimes{sentAt: sentAt, firstByte: firstByte}, x.Reused, response, o)
	return o
}

func (s *callState) newReport(p placementResult) attemptReport {
	return attemptReport{
		Report: placement.Report{AttemptID: p.choice.AttemptID, Upstream: p.choice.Upstream.ID, Address: p.choice.Upstream.Address, StartedAtMs: p.choice.Upstream.StartedAtMs, Model: s.call.Prompt.Model, Route: s.route.Name},
		Prompt: s.call.Prompt,
	}
}

func (s *callState) sendToUpstream(ctx context.Context, p placementResult, memory *membudget.Account) (*upstreamhttp.Exchange, error) {
	resumeAfter := s.call.LastEventID
	if s.lastEventID != "" {
		resumeAfter = s.lastEventID
	}
	attempt := Attempt{
		Upstream: p.choice.Upstream.ID, Timeout: s.remaining(), Weights: p.choice.Weights, CacheSalt: p.choice.Salt,
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
		NewConnection: s.call.ID == "",
		Memory:        memory,
	})
}

// handleNoResponse reports an attempt that received no response.
func (s *callState) handleNoResponse(ctx context.Context, p placementResult, report attemptReport, sentAt time.Time, err error) attemptOutcome {
	o := attemptOutcome{result: placement.Incomplete, err: err}
	if errs.Is(err, errs.Unavailable) {
		o.result, o.notRun = placement.Unreachable, true
	}
	if errors.Is(context.Cause(ctx), context.Canceled) || ctx.Err() != nil && o.notRun {
		o.result = placement.Abandoned
	}
	report.Final, report.Result = true, o.result
	s.gateway.router.report(report)
	s.logAttempt(p, attemptTimes{sentAt: sentAt}, false, UpstreamResponse{}, o)
	if o.notRun {
		// Nothing was sent, so that the call may be placed at this upstream again.
		s.attemptedUpstreams = s.attemptedUpstreams[:len(s.attemptedUpstreams)-1]
	}
	return o
}

// attemptTimes are the times of an attempt. firstByte is zero when there was no
// response.
type attemptTimes struct {
	sentAt    time.Time
	firstByte time.Duration
}

func (s *callState) logAttempt(p placementResult, times attemptTimes, reused bool, response UpstreamResponse, o attemptOutcome) {
	entry := s.log("attempt").WithFields(logrus.Fields{
		"upstream": p.choice.Upstream.ID, "service": s.service, "list_revision": p.choice.Upstream.RowVersion,
		"weights": p.choice.Weights, "fetched": p.choice.FetchedTokens, "read": p.choice.ReadTokens,
		"expected_ms": p.choice.ExpectedFirstByte.Milliseconds(), "first_ms": times.firstByte.Milliseconds(), "took_ms": time.Since(times.sentAt).Milliseconds(),
		"reused": reused, "status": response.Status, "result": o.result, "not_run": o.notRun, "number": len(s.attemptedUpstreams),
	})
	if calls, ok := response.Load.Calls(); ok {
		entry = entry.WithFields(logrus.Fields{"load": calls, "waiting": response.Load.Waiting})
	}
	if response.Load.Slowdown > 0 {
		entry = entry.WithField("slowdown", response.Load.Slowdown)
	}
	if o.err != nil {
		entry = entry.WithError(o.err)
	}
	if o.result == placement.Incomplete {
		entry = entry.WithField("parts", s.call.Prompt.PartIDs())
	}
	if response.announcesDeparture() {
		entry = entry.WithField("leaving", true)
	}
	if pause := response.requestedPause(); pause > 0 {
		entry = entry.WithField("pause_ms", pause.Milliseconds())
	}
	entry.Info("attempt finished")
}

func (s *callState) logResponse(event string) {
	s.log(event).WithFields(logrus.Fields{"status": s.status, "attempts": len(s.attemptedUpstreams), "last_event": s.lastEventID}).Debug("response forwarded to the caller")
}
