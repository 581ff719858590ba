package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// maxResponseBytes is the maximum size of a response body that is buffered.
	maxResponseBytes = 8 << 20
	// refusalBodyTimeout is the maximum time for which the body of a refusal is awaited.
	// The body is not needed, except that the connection is kept after it.
	refusalBodyTimeout = 100 * time.Millisecond
)

// bufferedResponse is a response whose body has been buffered.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
	// length is the Content-Length that the caller receives. It is negative when there
	// is none.
	length int64
	// memory is charged for the response.
	memory *membudget.Account
}

// relayBuffered reads the response before it forwards it. A body that is too large is an
// incomplete response.
func (s *callState) relayBuffered(x *upstreamhttp.Exchange, response UpstreamResponse, memory *membudget.Account) attemptOutcome {
	refused := provesNotRun(response)
	if refused {
		x.LimitBodyTime(refusalBodyTimeout)
	}
	body, err := membudget.ReadAll(x.Response.Body, memory, x.Response.ContentLength, maxResponseBytes)
	surplus := x.Surplus()
	x.Finish(err == nil && !response.Close, response.KeepAlive)
	bodyIsLate := refused && errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case err != nil && !bodyIsLate:
		return attemptOutcome{result: placement.Incomplete, notRun: refused, err: err}
	case isContradictory(response):
		return attemptOutcome{result: placement.Incomplete, err: errors.New("response states that the call has not run, which its status contradicts")}
	case response.Status == http.StatusMisdirectedRequest:
		return attemptOutcome{result: placement.Misdirected, notRun: true}
	case response.NotRun:
		return attemptOutcome{result: placement.Rejected, notRun: true}
	case !response.FromUpstream:
		return attemptOutcome{result: placement.Incomplete, err: errors.New("response lacks the header with which upstreams mark their responses")}
	}
	if err := checkBody(x, response, receivedBody{body, surplus, memory}); err != nil {
		return attemptOutcome{result: placement.Incomplete, err: err}
	}
	buffered := &bufferedResponse{header: x.Response.Header, status: response.Status, body: body, length: x.ForwardedLength(len(body)), memory: memory}
	switch {
	case s.headerSent:
		return attemptOutcome{result: placement.Failed, err: errors.New("response to a resumed stream is not an event stream")}
	case response.Status >= http.StatusInternalServerError:
		s.keepFailedResponse(buffered)
		return attemptOutcome{result: placement.Failed}
	}
	if response.Success() {
		s.recordBegun()
	}
	s.writeResponse(buffered)
	return attemptOutcome{result: placement.Completed}
}

// isContradictory reports whether a response states that the call has not run, with a
// status of calls that were served or have failed.
func isContradictory(r UpstreamResponse) bool {
	switch r.Status {
	case http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return false
	}
	return r.NotRun
}

// provesNotRun reports whether a response proves that the call has not run.
func provesNotRun(r UpstreamResponse) bool { return r.NotRun && !isContradictory(r) }

// isStream reports whether a response is forwarded as a stream.
func (s *callState) isStream(x *upstreamhttp.Exchange, r UpstreamResponse) bool {
	if s.headerSent && !canContinueStream(x.Response) {
		return false
	}
	return s.route.Kind == core.KindStream && r.Success() && r.FromUpstream && !isContradictory(r)
}

// writeResponse sends a buffered response to the caller.
func (s *callState) writeResponse(response *bufferedResponse) {
	h := s.responseHeader()
	s.gateway.opts.Codec.CopyResponseHeader(h, response.header)
	if response.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.length, 10))
	}
	s.status = response.status
	s.writer.WriteHeader(response.status)
	_, _ = s.writer.Write(response.body) // the caller may have disconnected
}

// checkStream returns the error with which the stream is broken off after an event. err is
// the error of the event, which is io.EOF at the end of the stream. The end is certain
// if the stream had events or states where it ends.
func checkStream(e event, err error, isEndCertain bool, order continuation) error {
	atEnd := errors.Is(err, io.EOF)
	switch {
	case e.containsResponse():
		return errs.New(errs.Corrupt, remedyResume, "stream contains another response")
	case atEnd && (e.isPartial() || !isEndCertain):
		return errs.New(errs.Corrupt, remedyResume, "stream ended inside an event or without any")
	case atEnd && order.onlyRepeated():
		return errs.New(errs.Corrupt, remedyResume, "stream repeated the last event and ended")
	}
	return err
}

// relayStream forwards events as they are received. It forwards complete events only,
// so that the stream can be resumed at another upstream. reportPace is called once with
// the mean time between the first events.
func (s *callState) relayStream(x *upstreamhttp.Exchange, response UpstreamResponse, memory *membudget.Account, reportPace func(time.Duration)) attemptOutcome {
	events := newEventReader(bufio.NewReader(x.Response.Body), memory)
	control := http.NewResponseController(s.writer)
	pace := paceMeter{report: reportPace}
	order := continuation{resumed: s.headerSent}
	for {
		event, err := events.next()
		if err == nil {
			pace.recordEvent(time.Now())
			s.recordBegun()
			if order.isRepetition(event, s.lastEventDigest) {
				continue
			}
			err = order.check(event, s.lastEventID)
		}
		err = checkStream(event, err, pace.events > 0 || x.HasKnownEnd(), order)
		if err == nil || errors.Is(err, io.EOF) {
			if writeErr := s.writeEvent(control, x.Response, event, events.hasBuffered()); writeErr != nil {
				x.Finish(false, 0)
				return attemptOutcome{result: placement.Abandoned, err: writeErr}
			}
		}
		if errors.Is(err, io.EOF) {
			x.Finish(!response.Close, response.KeepAlive)
			s.logResponse("stream_completed")
			return attemptOutcome{result: placement.Completed, unframed: !x.HasKnownEnd()}
		}
		if err != nil {
			x.Finish(false, 0)
			return attemptOutcome{result: placement.Incomplete, err: err}
		}
	}
}

// paceEvents is the number of events after which the pace of a stream is reported.
const paceEvents = 8

// paceMeter measures the mean time between the first events of a stream.
type paceMeter struct {
	report  func(time.Duration)
	events  int
	firstAt time.Time
}

func (m *paceMeter) recordEvent(now time.Time) {
	m.events++
	switch m.events {
	case 1:
		m.firstAt = now
	case paceEvents:
		m.report(now.Sub(m.firstAt) / (paceEvents - 1))
	}
}

// writeEvent sends an event to the caller. Status and headers are sent with the
// first one. The writer is flushed unless more bytes are buffered.
func (s *callState) writeEvent(control *http.ResponseController, resp *http.Response, e event, moreBuffered bool) error {
	if !s.headerSent {
		s.gateway.opts.Codec.CopyResponseHeader(s.responseHeader(), resp.Header)
		s.writer.WriteHeader(resp.StatusCode)
		s.headerSent, s.status = true, resp.StatusCode
	}
	if len(e.text) > 0 {
		if _, err := s.writer.Write(e.text); err != nil {
			return err
		}
	}
	if e.id != "" {
		if s.route.Resumable && s.lastEventID != "" {
			s.lastEventDigest = e.digest()
		}
		s.lastEventID, s.unnumbered = e.id, false
	} else if e.hasFields {
		s.unnumbered = true
	}
	if moreBuffered {
		return nil
	}
	return control.Flush()
}
