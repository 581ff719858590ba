package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"

	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

// answerBytes bounds an answer that is read whole before it is passed on.
const answerBytes = 32 << 20

// buffered is a whole answer.
type buffered struct {
	header http.Header
	status int
	body   []byte
}

// relayWhole reads a whole answer before it passes it on.
func (s *session) relayWhole(x *upstreamhttp.Exchange, answer UpstreamResponse) outcome {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, answerBytes))
	x.Finish(err == nil && !answer.Close, answer.KeepAlive)
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
	switch {
	case s.started:
		return outcome{result: placement.Failed, err: errors.New("resumed stream was answered without events")}
	case answer.Status >= http.StatusInternalServerError:
		s.failure = whole
		return outcome{result: placement.Failed}
	}
	s.pass(whole)
	return outcome{result: placement.Completed}
}

// pass sends a whole answer to the caller.
func (s *session) pass(b *buffered) {
	h := s.writer.Header()
	s.gateway.opts.Codec.CopyResponseHeader(h, b.header)
	h.Set("Content-Length", strconv.Itoa(len(b.body)))
	s.status = b.status
	s.writer.WriteHeader(b.status)
	_, _ = s.writer.Write(b.body) // a caller that left cannot be told
}

// relayStream passes events on as they come. Only whole events are passed, so
// that the stream can go on at another upstream.
func (s *session) relayStream(x *upstreamhttp.Exchange, answer UpstreamResponse) outcome {
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
			x.Finish(!answer.Close, answer.KeepAlive)
			s.logAnswer("stream_completed")
			return outcome{result: placement.Completed}
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
		s.gateway.opts.Codec.CopyResponseHeader(s.writer.Header(), resp.Header)
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
