package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"waxwingtide.example/waxwingtide/membudget"
)

// readBody reads the body up to the configured limit and until the deadline of the call.
// On an error it responds to the caller and returns false.
func (s *callState) readBody() bool {
	limit := s.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	s.requestMemory = s.gateway.opts.RequestMemory.Open()
	limited := http.MaxBytesReader(s.writer, s.request.Body, limit)
	s.setReadDeadline(s.deadline)
	body, err := membudget.ReadAll(limited, s.requestMemory, s.request.ContentLength, limit)
	if err != nil {
		s.respondToBodyError(err)
		// Waiting callers need the memory before the rest of the body has been discarded.
		s.requestMemory.Close()
		return false
	}
	// The deadline would end the read by which http.Server notices that the caller leaves.
	s.setReadDeadline(time.Time{})
	s.call.Body = body
	return true
}

// setReadDeadline sets the time at which reads of the connection fail; zero means none.
func (s *callState) setReadDeadline(at time.Time) {
	if s.request.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(s.writer).SetReadDeadline(at) // fails only with a writer that has no connection
}

// respondToBodyError responds to a call whose body was not received. The call has not run.
func (s *callState) respondToBodyError(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case membudget.IsRefusal(err):
		s.respondWithError(http.StatusServiceUnavailable, "request_memory", s.limitRetryAfter(notRunRetryAfter), err)
	case errors.As(err, &tooLarge):
		s.respondWithError(http.StatusRequestEntityTooLarge, "body_too_large", 0, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.responseHeader().Set("Connection", "close")
		s.respondWithError(http.StatusRequestTimeout, "body_late", 0, err)
	default:
		s.respondWithError(http.StatusBadRequest, "body_broken", 0, err)
	}
}
