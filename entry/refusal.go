package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// Refusal types in the body of an error answer.
const (
	typeInvalid         = "invalid_request"
	typeUnauthenticated = "unauthenticated"
	typeNotRun          = "not_run"
	typeOutcomeUnknown  = "outcome_unknown"
)

// refusal is an error answer to a caller.
type refusal struct {
	Status     int
	Type       string
	Code       string
	Message    string
	RetryAfter time.Duration
}

type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

func invalid(code, message string) *refusal {
	return &refusal{Status: http.StatusBadRequest, Type: typeInvalid, Code: code, Message: message}
}

// refuseOutcome builds the answer to a call that did not finish. Only an
// outcome that proves that nothing ran is told as "not run".
func refuseOutcome(outcome core.Outcome, kind errs.Kind, message string, retryAfter time.Duration) *refusal {
	if !outcome.ProvesNotRun() {
		return &refusal{Status: http.StatusGatewayTimeout, Type: typeOutcomeUnknown, Code: core.OutcomeUnknown.String(), Message: message}
	}
	status := http.StatusServiceUnavailable
	if kind == errs.Exhausted && outcome == core.OutcomeNeverDispatched {
		status = http.StatusTooManyRequests
	}
	return &refusal{Status: status, Type: typeNotRun, Code: outcome.String(), Message: message, RetryAfter: max(retryAfter, time.Second)}
}

func (r *refusal) body() []byte {
	body, err := json.Marshal(refusalBody{refusalDetail{r.Type, r.Code, r.Message}})
	if err != nil {
		return []byte(`{"error":{"type":"internal"}}`)
	}
	return body
}

func (r *refusal) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := int((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.body())
}
