package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/retry"
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
	// answerBytes bounds an answer that is read whole before it is passed on.
	answerBytes = 32 << 20
	// retryAfterRefusal is what a caller is told whose call could not be placed.
	retryAfterRefusal = 250 * time.Millisecond
)

// serve places and sends the call until it is answered or given up.
func (s *session) serve() {
	ctx, cancel := context.WithDeadline(s.request.Context(), s.deadline.Add(-answerMargin))
	defer cancel()
	for {
		p, ok := s.place(ctx)
		if !ok {
			return
		}
		a := s.attempt(ctx, p)
		s.failure = a.failure
		s.gateway.metrics.attempted(string(s.service), a.result)
		if a.answered {
			s.gateway.metrics.answered(s.route.Name, time.Since(s.call.Arrived))
			return
		}
		if !s.again(ctx, a) {
			s.giveUp(ctx, a)
			return
		}
	}
}

// place asks the router until the call is placed or the time for it is over.
// It answers the caller in the second case.
func (s *session) place(ctx context.Context) (placed, bool) {
	until := time.Now().Add(time.Duration(placeShare * float64(s.route.Aim)))
	for {
		p, err := s.gateway.router.ask(ctx, s.need())
		if err == nil && p.refusal == placement.Placed {
			return p, true
		}
		wait := err == nil && p.refusal != placement.NoBudget && !s.started && time.Now().Add(placeInterval).Before(until)
		if !wait || !duty.Pause(ctx, placeInterval) {
			s.unplaced(p, err)
			return placed{}, false
		}
	}
}

// unplaced answers a call that has no upstream.
func (s *session) unplaced(p placed, err error) {
	reason := p.refusal.String()
	if err != nil {
		reason = "deadline"
	}
	if s.callerLeft() {
		s.abandon(reason)
		return
	}
	switch {
	case s.started:
		s.cut(reason)
	case s.failure != nil:
		s.pass(s.failure)
		s.logAnswer("failure_passed")
	case s.ran > 0:
		s.refuse(http.StatusBadGateway, reason, 0, err)
	default:
		s.refuse(http.StatusServiceUnavailable, reason, s.retryAfter(), err)
	}
}

// retryAfter is what the caller is told: callers honour up to a third of the
// time that they have left.
func (s *session) retryAfter() time.Duration {
	return max(min(retryAfterRefusal, s.left()/4), 0)
}

// outcome is what an attempt has come to.
type outcome struct {
	result placement.Result
	// answered is set when the caller has its final answer.
	answered bool
	// notRun is set when the call is proved not to have run.
	notRun bool
	err    error
	// failure is a complete failed answer that may be passed on.
	failure *buffered
}

// buffered is a whole answer.
type buffered struct {
	header http.Header
	status int
	body   []byte
}

// again decides whether the call goes to another upstream.
func (s *session) again(ctx context.Context, a outcome) bool {
	known := core.Unknown
	if a.notRun {
		known = core.Rejected
	}
	if ctx.Err() != nil || s.left() < minLeft || len(s.tried) >= maxSends {
		return false
	}
	if s.started && (!s.route.Resumable || s.lastEvent == "") {
		return false
	}
	return retry.Resend(s.route.Repeatable(), known, s.ran, s.route.MaxAttempts)
}

// giveUp answers a call that is not sent again.
func (s *session) giveUp(ctx context.Context, a outcome) {
	switch {
	case s.callerLeft():
		s.abandon(a.result.String())
	case s.started:
		s.cut(a.result.String())
	case a.failure != nil:
		s.pass(a.failure)
		s.logAnswer("failure_passed")
	case s.ran == 0:
		s.refuse(http.StatusServiceUnavailable, a.result.String(), s.retryAfter(), a.err)
	case ctx.Err() != nil:
		s.refuse(http.StatusGatewayTimeout, "deadline", 0, a.err)
	default:
		s.refuse(http.StatusBadGateway, a.result.String(), 0, a.err)
	}
}

// abandon ends a call whose caller has left.
func (s *session) abandon(reason string) {
	s.log("caller_left").WithField("reason", reason).Info("caller left before the answer")
}

// cut breaks the connection, so that an answer that has begun does not look
// complete.
func (s *session) cut(reason string) {
	s.log("answer_cut").WithFields(logrus.Fields{"reason": reason, "last_event": s.lastEvent}).Warn("answer broke off")
	panic(http.ErrAbortHandler)
}

// attempt sends the call to an upstream and relays what it answers.
func (s *session) attempt(ctx context.Context, p placed) outcome {
	sentAt := time.Now()
	report := placement.Report{Ticket: p.choice.Ticket, Upstream: p.choice.Upstream.ID, Model: s.call.Prompt.Model, Route: s.route.Name}
	s.tried = append(s.tried, p.choice.Upstream.ID)
	x, err := s.send(ctx, p)
	if err != nil {
		return s.unanswered(ctx, p, report, sentAt, err)
	}
	answer := s.gateway.opts.Codec.DecodeAnswer(x.Response.StatusCode, x.Response.Header)
	report.Load, report.HasLoad, report.Weights, report.Cold = answer.Load, answer.HasLoad, answer.Weights, answer.Cold
	s.gateway.router.report(report)
	first := time.Since(sentAt)
	s.gateway.metrics.firstByte(string(s.service), first)
	if !answer.NotRun {
		s.ran++
	}
	var a outcome
	if s.route.Kind == core.Stream && answer.Success() && answer.Sealed {
		a = s.relayStream(x, answer)
	} else {
		a = s.relayWhole(x, answer)
	}
	if a.result == placement.Broken && ctx.Err() != nil {
		a.result = placement.Abandoned
	}
	report.Ended, report.Result, report.First = true, a.result, first
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
		Upstream: p.choice.Upstream.ID, Left: s.left(), Weights: p.choice.Weights, Salt: p.choice.Salt,
		Priority: min(max(s.priority(), 0), 9), Fetch: p.choice.Fetch, Save: p.choice.Save, ResumeAfter: resumeAfter,
	}
	if s.workspace != nil {
		attempt.Workspace = s.workspace.ID
	}
	codec := s.gateway.opts.Codec
	return s.gateway.opts.Client.Send(ctx, p.idle, upstreamhttp.Request{
		Address: p.choice.Upstream.Address, Header: codec.EncodeAttempt(s.call, attempt), Body: s.call.Body,
		Until: s.deadline,
		Mine: func(status int, h http.Header) bool {
			return codec.DecodeAnswer(status, h).ID == s.call.ID
		},
	})
}

// unanswered handles an attempt that got no answer.
func (s *session) unanswered(ctx context.Context, p placed, report placement.Report, sentAt time.Time, err error) outcome {
	a := outcome{result: placement.Broken, err: err}
	switch {
	case errs.Is(err, errs.Unavailable):
		a.result, a.notRun = placement.Unreachable, true
	default:
		s.ran++
	}
	if ctx.Err() != nil && (s.callerLeft() || a.notRun) {
		a.result = placement.Abandoned
	}
	report.Ended, report.Result = true, a.result
	s.gateway.router.report(report)
	s.logAttempt(p, attemptTimes{sentAt: sentAt}, false, 0, a)
	return a
}

// relayWhole reads a whole answer before it passes it on.
func (s *session) relayWhole(x *upstreamhttp.Exchange, answer Answer) outcome {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, answerBytes))
	x.Finish(err == nil && !answer.Closing, answer.KeepAlive)
	switch {
	case err != nil:
		return outcome{result: placement.Broken, notRun: answer.NotRun, err: err}
	case answer.Status == http.StatusMisdirectedRequest:
		return outcome{result: placement.Misdirected, notRun: true}
	case answer.NotRun:
		return outcome{result: placement.Rejected, notRun: true}
	case !answer.Sealed:
		return outcome{result: placement.Broken, err: errors.New("answer without the upstream's seal")}
	}
	whole := &buffered{header: x.Response.Header, status: answer.Status, body: body}
	if !answer.Success() && answer.Status >= http.StatusInternalServerError {
		return outcome{result: placement.Failed, failure: whole}
	}
	if s.started {
		return outcome{result: placement.Failed, err: errors.New("resumed stream was answered with a failure")}
	}
	s.pass(whole)
	return outcome{result: placement.Completed, answered: true}
}

// pass sends a whole answer to the caller.
func (s *session) pass(b *buffered) {
	h := s.writer.Header()
	s.gateway.opts.Codec.PassAnswer(h, b.header)
	h.Set("Content-Length", strconv.Itoa(len(b.body)))
	s.status = b.status
	s.writer.WriteHeader(b.status)
	_, _ = s.writer.Write(b.body) // a caller that left cannot be told
}

// relayStream passes events on as they come. Only whole events are passed, so
// that the stream can go on at another upstream.
func (s *session) relayStream(x *upstreamhttp.Exchange, answer Answer) outcome {
	events := newEventReader(bufio.NewReader(x.Response.Body))
	control := http.NewResponseController(s.writer)
	for {
		event, err := events.next()
		if err == nil || errors.Is(err, io.EOF) {
			if werr := s.passEvent(control, x.Response, event, events.pending()); werr != nil {
				x.Finish(false, 0)
				return outcome{result: placement.Abandoned, err: werr}
			}
		}
		if errors.Is(err, io.EOF) {
			x.Finish(!answer.Closing, answer.KeepAlive)
			s.logAnswer("stream_completed")
			return outcome{result: placement.Completed, answered: true}
		}
		if err != nil {
			x.Finish(false, 0)
			return outcome{result: placement.Broken, err: err}
		}
	}
}

// passEvent writes an event; the head of the answer goes with the first one.
func (s *session) passEvent(control *http.ResponseController, resp *http.Response, e event, more bool) error {
	if e.precedes(s.lastEvent) {
		return nil // the caller has it from an earlier attempt
	}
	if !s.started {
		s.gateway.opts.Codec.PassAnswer(s.writer.Header(), resp.Header)
		s.writer.WriteHeader(resp.StatusCode)
		s.started, s.status = true, resp.StatusCode
	}
	if len(e.text) > 0 {
		if _, err := s.writer.Write(e.text); err != nil {
			return err
		}
	}
	if e.id != "" {
		s.lastEvent = e.id
	}
	if more {
		return nil
	}
	return control.Flush()
}

// attemptTimes are the times of an attempt; first is zero when no answer came.
type attemptTimes struct {
	sentAt time.Time
	first  time.Duration
}

func (s *session) logAttempt(p placed, times attemptTimes, reused bool, status int, a outcome) {
	entry := s.log("attempt").WithFields(logrus.Fields{
		"upstream": p.choice.Upstream.ID, "service": s.service, "list_revision": p.choice.Upstream.Revision,
		"weights": p.choice.Weights, "fetched": p.choice.Fetched, "read": p.choice.Read,
		"expected_ms": p.choice.Expected.Milliseconds(), "first_ms": times.first.Milliseconds(), "took_ms": time.Since(times.sentAt).Milliseconds(),
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
