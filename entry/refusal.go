package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// Error types in the body of an error response.
const (
	typeInvalid         = "invalid_request"
	typeUnauthenticated = "unauthenticated"
	typeNotRun          = "not_run"
	typeOutcomeUnknown  = "outcome_unknown"
)

// errorResponse is an error response to a caller.
type errorResponse struct {
	Status     int
	Type       string
	Code       string
	Message    string
	RetryAfter time.Duration
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

func newInvalidRequestError(code, message string) *errorResponse {
	return &errorResponse{Status: http.StatusBadRequest, Type: typeInvalid, Code: code, Message: message}
}

// newOutcomeError returns the error response for a call that did not finish. Its type is
// typeNotRun only if the outcome proves that the call did not run.
func newOutcomeError(outcome core.Outcome, kind errs.Kind, message string, retryAfter time.Duration) *errorResponse {
	if !outcome.ProvesNotRun() {
		return &errorResponse{Status: http.StatusGatewayTimeout, Type: typeOutcomeUnknown, Code: core.OutcomeUnknown.String(), Message: message}
	}
	status := http.StatusServiceUnavailable
	if kind == errs.Exhausted && outcome == core.OutcomeNeverDispatched {
		status = http.StatusTooManyRequests
	}
	return &errorResponse{Status: status, Type: typeNotRun, Code: outcome.String(), Message: message, RetryAfter: max(retryAfter, time.Second)}
}

func (r *errorResponse) body() []byte {
	body, err := json.Marshal(errorBody{errorDetail{r.Type, r.Code, r.Message}})
	if err != nil {
		return []byte(`{"error":{"type":"internal"}}`)
	}
	return body
}

func (r *errorResponse) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := int((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.body())
}
