package record

import (
	"encoding/json"
	"net/http"
	"strconv"

	"waxwingtide.example/waxwingtide/core"
)

// errorResponse is an error in the HTTP interface for callers.
type errorResponse struct {
	status    int
	errorType string
	code      string
	message   string
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

const (
	typeInvalid    = "invalid_request"
	typeNotRun     = "not_run"
	typeInProgress = "in_progress"
	typeUnknown    = "outcome_unknown"

	headerReplayed   = "Idempotency-Replayed"
	headerRetryAfter = "Retry-After"
	// retryAfterSeconds is the delay that is suggested to callers before a retry.
	retryAfterSeconds = 1
)

func notRunResponse(code, message string) errorResponse {
	return errorResponse{http.StatusServiceUnavailable, typeNotRun, code, message + "; this request was not run, send it again with the same key"}
}

func writeErrorResponse(w http.ResponseWriter, r errorResponse) {
	body, err := json.Marshal(errorBody{errorDetail{r.errorType, r.code, r.message}})
	if err != nil {
		panic(err) // encoding three strings cannot fail
	}
	w.Header().Set("Content-Type", "application/json")
	if r.errorType == typeNotRun || r.errorType == typeInProgress {
		w.Header().Set(headerRetryAfter, strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}

// writeReply writes the HTTP response for a reply.
func writeReply(w http.ResponseWriter, r Reply) {
	if r.KeyReused {
		writeErrorResponse(w, errorResponse{http.StatusUnprocessableEntity, typeInvalid, "idempotency_key_reused", r.Detail + "; use a new key for a new request"})
		return
	}
	switch r.Outcome {
	case core.OutcomeFinished:
		writeResponse(w, r)
	case core.OutcomeNeverDispatched, core.OutcomeRejected:
		writeErrorResponse(w, notRunResponse(r.Outcome.String(), r.Detail))
	case core.OutcomeStarted:
		writeErrorResponse(w, errorResponse{http.StatusConflict, typeInProgress, r.Outcome.String(), r.Detail + "; ask again with the same key"})
	default:
		writeErrorResponse(w, errorResponse{http.StatusGatewayTimeout, typeUnknown, core.OutcomeUnknown.String(), r.Detail + "; the request may have run, ask again with the same key"})
	}
}

func writeResponse(w http.ResponseWriter, r Reply) {
	if r.Response.ContentType != "" {
		w.Header().Set("Content-Type", r.Response.ContentType)
	}
	if r.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	// Statuses below 200 are not final, and WriteHeader panics for a status above 999.
	status := r.Response.Status
	if status < http.StatusOK || status > 999 {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
	_, _ = w.Write(r.Response.Body)
}
