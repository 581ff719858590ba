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

// maxResponseBytes is the maximum size of a response that is buffered before it is
// forwarded.
const maxResponseBytes = 32 << 20

// bufferedResponse is a complete response.
type bufferedResponse struct {
	header http.Header
	status int
	body   []byte
}

// relayBuffered reads the complete response before it forwards it.
func (s *session) relayBuffered(x *upstreamhttp.Exchange, response UpstreamResponse) outcome {
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, maxResponseBytes))
	x.Finish(err == nil && !response.Close, response.KeepAlive)
	switch {
	case err != nil:
		return outcome{result: placement.Incomplete, notRun: response.NotRun, err: err}
	case response.Status == http.StatusMisdirectedRequest:
		return outcome{result: placement.Misdirected, notRun: true}
	case response.NotRun:
		return outcome{result: placement.Rejected, notRun: true}
	case !response.Sealed:
		return outcome{result: placement.Incomplete, err: errors.New("response does not contain the upstream's seal")}
	}
	buffered := &bufferedResponse{header: x.Response.Header, status: response.Status, body: body}
	switch {
	case s.headerSent:
		return outcome{result: placement.Failed, err: errors.New("response to a resumed stream is not an event stream")}
	case response.Status >= http.StatusInternalServerError:
		s.failedResponse = buffered
		return outcome{result: placement.Failed}
	}
	s.writeResponse(buffered)
	return outcome{result: placement.Completed}
}

// writeResponse sends a complete response to the caller.
func (s *session) writeResponse(response *bufferedResponse) {
	h := s.writer.Header()
	s.gateway.opts.Codec.CopyResponseHeader(h, response.header)
	h.Set("Content-Length", strconv.Itoa(len(response.body)))
	s.status = response.status
	s.writer.WriteHeader(response.status)
	_, _ = s.writer.Write(response.body) // the caller may have disconnected
}

// relayStream forwards events as they are received. It forwards complete events only,
// so that the stream can be resumed at another upstream.
func (s *session) relayStream(x *upstreamhttp.Exchange, response UpstreamResponse) outcome {
	events := newEventReader(bufio.NewReader(x.Response.Body))
	control := http.NewResponseController(s.writer)
	for {
		event, err := events.next()
		if err == nil || errors.Is(err, io.EOF) {
			if writeErr := s.writeEvent(control, x.Response, event, events.hasBuffered()); writeErr != nil {
				x.Finish(false, 0)
				return outcome{result: placement.Abandoned, err: writeErr}
			}
		}
		if errors.Is(err, io.EOF) {
			x.Finish(!response.Close, response.KeepAlive)
			s.logResponse("stream_completed")
			return outcome{result: placement.Completed}
		}
		if err != nil {
			x.Finish(false, 0)
			return outcome{result: placement.Incomplete, err: err}
		}
	}
}

// writeEvent sends an event to the caller. Status and headers are sent with the
// first one. The writer is flushed unless more events are buffered.
func (s *session) writeEvent(control *http.ResponseController, resp *http.Response, e event, more bool) error {
	if e.precedes(s.lastEventID) {
		return nil // the caller has received it from an earlier attempt
	}
	if !s.headerSent {
		s.gateway.opts.Codec.CopyResponseHeader(s.writer.Header(), resp.Header)
		s.writer.WriteHeader(resp.StatusCode)
		s.headerSent, s.status = true, resp.StatusCode
	}
	if len(e.text) > 0 {
		if _, err := s.writer.Write(e.text); err != nil {
			return err
		}
	}
	if e.id != "" {
		s.lastEventID = e.id
	}
	if more {
		return nil
	}
	return control.Flush()
}
