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
	// maxSends bounds the upstreams that are tried while none of them has run
	// the call.
	maxSends = 4
	// placeInterval is the pause before a call that could not be placed is tried
	// again; placeShare is the share of the route's aim in which that is done.
	placeInterval = 25 * time.Millisecond
	placeShare    = 0.2
	// minLeft is the least time that an attempt needs.
	minLeft = 15 * time.Millisecond
	// answerMargin is taken off the deadline so that the caller hears of it in
	// time.
	answerMargin = 20 * time.Millisecond
	// retryAfterRefusal is what a caller is told whose call could not be placed.
	retryAfterRefusal = 250 * time.Millisecond
	// callerPatience is the share of its time after which a caller is told to come
	// back at the latest. Callers wait for up to a third.
	callerPatience = 0.3
	// reasonDeadline is the reason of a call whose time was over.
	reasonDeadline = "deadline"
)

// serve has the call placed and sent until it is answered or given up.
func (s *session) serve() {
	ctx, cancel := context.WithDeadline(s.request.Context(), s.deadline.Add(-answerMargin))
	defer cancel()
	s.end(attempts.Run(ctx, attempts.Rules{
		Repeatable: s.route.Repeatable(), MaxRuns: s.route.MaxAttempts, MaxSends: maxSends, Deadline: s.deadline, MinRemaining: minLeft,
	}, s))
}

// Place implements attempts.Sender: it asks the router until the call is placed or
// the time for it is over.
func (s *session) Place(ctx context.Context, _ int) error {
	until := time.Now().Add(time.Duration(placeShare * float64(s.route.TargetLatency)))
	for {
		p, err := s.gateway.router.ask(ctx, s.need())
		if err == nil && p.refusal == placement.Placed {
			s.placed = p
			return nil
		}
		wait := err == nil && p.refusal != placement.NoRetryBudget && !s.started && time.Now().Add(placeInterval).Before(until)
		if !wait || !duty.Pause(ctx, placeInterval) {
			return &unplaced{refusal: p.refusal, cause: err}
		}
	}
}

// unplaced is the error of a call that has no upstream.
type unplaced struct {
	refusal placement.Refusal
	// cause is set when the call's time was over before it was placed.
	cause error
}

// Error implements error.
func (u *unplaced) Error() string {
	if u.cause != nil {
		return u.cause.Error()
	}
	return "call could not be placed: " + u.refusal.String() + "; retry"
}

// reason is the refusal as a caller is told it.
func (u *unplaced) reason() string {
	if u.cause != nil {
		return reasonDeadline
	}
	return u.refusal.String()
}

// end answers the caller of a call that is not sent again.
func (s *session) end(e attempts.CallResult) {
	reason, cause := s.last.result.String(), s.last.err
	var u *unplaced
	if errors.As(e.Err, &u) {
		reason, cause = u.reason(), u.cause
	}
	switch {
	case e.Cause == attempts.Responded:
		s.gateway.metrics.answered(s.route.Name, time.Since(s.call.ReceivedAt))
	case e.Cause == attempts.CallerCanceled:
		s.log("caller_left").WithField("reason", reason).Info("caller left before the answer")
	case s.started:
		s.cut(reason)
	case s.failure != nil:
		s.pass(s.failure)
		s.logAnswer("failure_passed")
	case e.Cause == attempts.NotRun:
		s.refuse(http.StatusServiceUnavailable, reason, s.patient(retryAfterRefusal), cause)
	case e.Cause == attempts.DeadlineExceeded:
		s.refuse(http.StatusGatewayTimeout, reasonDeadline, 0, cause)
	default:
		s.refuse(http.StatusBadGateway, reason, 0, cause)
	}
}

// outcome is what an attempt has come to.
type outcome struct {
	result placement.Result
	// notRun is set when the call is proved not to have run.
	notRun bool
	err    error
}

// known is what an outcome proves of the call.
func (a outcome) known() core.Outcome {
	switch {
	case a.result == placement.Completed:
		return core.Finished
	case a.notRun:
		return core.Rejected
	default:
		return core.Unknown
	}
}

// cut breaks the connection, so that an answer that has begun does not look
// complete.
func (s *session) cut(reason string) {
	s.log("answer_cut").WithFields(logrus.Fields{"reason": reason, "last_event": s.lastEvent}).Warn("answer broke off")
	panic(http.ErrAbortHandler)
}

// Send implements attempts.Sender. A stream that has begun is sent again only if
// its rest can be asked for.
func (s *session) Send(ctx context.Context) attempts.Result {
	s.last = s.attempt(ctx, s.placed)
	s.gateway.metrics.attempted(string(s.service), s.last.result)
	noRest := s.started && (!s.route.Resumable || s.lastEvent == "")
	return attempts.Result{Outcome: s.last.known(), Final: noRest || s.last.result == placement.Abandoned}
}

// attempt sends the call to an upstream and relays what it answers.
func (s *session) attempt(ctx context.Context, p placed) outcome {
	sentAt := time.Now()
	report := placement.Report{AttemptID: p.choice.AttemptID, Upstream: p.choice.Upstream.ID, Model: s.call.Prompt.Model, Route: s.route.Name}
	s.tried = append(s.tried, p.choice.Upstream.ID)
	x, err := s.send(ctx, p)
	if err != nil {
		return s.unanswered(ctx, p, report, sentAt, err)
	}
	answer := s.gateway.opts.Codec.DecodeResponse(x.Response.StatusCode, x.Response.Header)
	report.Load, report.HasLoad, report.Weights, report.ColdRemaining = answer.Load, answer.HasLoad, answer.Weights, answer.ColdRemaining
	s.gateway.router.report(report)
	first := time.Since(sentAt)
	s.gateway.metrics.firstByte(string(s.service), first)
	var a outcome
	if s.route.Kind == core.Stream && answer.Success() && answer.Sealed {
		a = s.relayStream(x, answer)
	} else {
		a = s.relayWhole(x, answer)
	}
	if a.result == placement.Broken && ctx.Err() != nil {
		a.result = placement.Abandoned
	}
	report.Final, report.Result, report.FirstByte = true, a.result, first
	s.gateway.router.report(report)
	s.logAttempt(p, attemptTimes{sentAt: sentAt, first: first}, x.Reused, answer.Status, a)
	return a
}

func (s *session) send(ctx context.Context, p placed) (*upstreamhttp.Exchange, error) {
	resumeAfter := s.call.ResumeAfter
	if s.lastEvent != "" {
		resumeAfter = s.lastEvent
	}
	attempt := Attempt{
		Upstream: p.choice.Upstream.ID, Timeout: s.left(), Weights: p.choice.Weights, Salt: p.choice.Salt,
		Priority: min(max(s.priority(), 0), 9), FetchFrom: p.choice.FetchFrom, SaveTo: p.choice.SaveTo, ResumeAfter: resumeAfter,
	}
	if s.workspace != nil {
		attempt.Workspace = s.workspace.ID
	}
	codec := s.gateway.opts.Codec
	return s.gateway.opts.Client.Send(ctx, p.idle, upstreamhttp.Request{
		Address: p.choice.Upstream.Address, HTTPRequest: codec.EncodeAttempt(s.call, attempt), Body: s.call.Body,
		Deadline: s.deadline,
		Matches: func(status int, h http.Header) bool {
			return codec.DecodeResponse(status, h).ID == s.call.ID
		},
	})
}

// unanswered handles an attempt that got no answer.
func (s *session) unanswered(ctx context.Context, p placed, report placement.Report, sentAt time.Time, err error) outcome {
	a := outcome{result: placement.Broken, err: err}
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

// attemptTimes are the times of an attempt; first is zero when no answer came.
type attemptTimes struct {
	sentAt time.Time
	first  time.Duration
}

func (s *session) logAttempt(p placed, times attemptTimes, reused bool, status int, a outcome) {
	entry := s.log("attempt").WithFields(logrus.Fields{
		"upstream": p.choice.Upstream.ID, "service": s.service, "list_revision": p.choice.Upstream.Revision,
		"weights": p.choice.Weights, "fetched": p.choice.FetchedTokens, "read": p.choice.ReadTokens,
		"expected_ms": p.choice.ExpectedFirstByte.Milliseconds(), "first_ms": times.first.Milliseconds(), "took_ms": time.Since(times.sentAt).Milliseconds(),
		"reused": reused, "status": status, "result": a.result, "not_run": a.notRun, "number": len(s.tried),
	})
	if a.err != nil {
		entry = entry.WithError(a.err)
	}
	entry.Info("attempt ended")
}

func (s *session) logAnswer(event string) {
	s.log(event).WithFields(logrus.Fields{"status": s.status, "attempts": len(s.tried), "last_event": s.lastEvent}).Debug("call answered")
}
