package gateway

import (
	"waxwingtide.example/waxwingtide/membudget"
)

// keepFailedResponse keeps a response that is sent if no further attempt has a better one.
func (s *callState) keepFailedResponse(response *bufferedResponse) {
	if s.failedResponse != nil {
		s.failedResponse.memory.Close()
	}
	s.failedResponse = response
}

// finishAttempt releases the memory of an attempt, unless its response is kept.
func (s *callState) finishAttempt(memory *membudget.Account) {
	if s.failedResponse == nil || s.failedResponse.memory != memory {
		memory.Close()
	}
}

// releaseMemory releases the memory of a call that has ended.
func (s *callState) releaseMemory() {
	if s.requestMemory != nil {
		s.requestMemory.Close()
	}
	if s.failedResponse != nil {
		s.failedResponse.memory.Close()
	}
}

// logRefusal logs a response that was broken off because the memory for unfinished
// responses is exhausted.
func (s *callState) logRefusal(p placementResult, err error) {
	if !membudget.IsRefusal(err) {
		return
	}
	memory := s.gateway.opts.ResponseMemory
	s.log("response_memory").WithError(err).WithField("upstream", p.choice.Upstream.ID).
		WithField("used_bytes", memory.UsedBytes()).WithField("limit_bytes", memory.LimitBytes()).
		Warn("response was broken off; the memory for unfinished responses is exhausted")
}
