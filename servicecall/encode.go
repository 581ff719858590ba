package servicecall

import (
	"encoding/json"
	"net/http"
	"strconv"

	"waxwingtide.example/waxwingtide/core"
)

// refusal is an answer in the error form of the callers' protocol.
type refusal struct {
	status  int
	kind    string
	code    string
	message string
}

type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
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
	// retryAfterSeconds is the wait suggested to a caller.
	retryAfterSeconds = 1
)

func notRun(code, message string) refusal {
	return refusal{http.StatusServiceUnavailable, typeNotRun, code, message + "; this request was not run, send it again with the same key"}
}

func writeRefusal(w http.ResponseWriter, r refusal) {
	body, err := json.Marshal(refusalBody{refusalError{r.kind, r.code, r.message}})
	if err != nil {
		panic(err) // encoding three strings cannot fail
	}
	w.Header().Set("Content-Type", "application/json")
	if r.kind == typeNotRun || r.kind == typeInProgress {
		w.Header().Set(headerRetryAfter, strconv.Itoa(retryAfterSeconds))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}

// writeReply writes what is known about a call.
func writeReply(w http.ResponseWriter, r Reply) {
	if r.KeyReused {
		writeRefusal(w, refusal{http.StatusUnprocessableEntity, typeInvalid, "idempotency_key_reused", r.Detail + "; use a new key for a new request"})
		return
	}
	switch r.Outcome {
	case core.OutcomeFinished:
		writeAnswer(w, r)
	case core.OutcomeNeverDispatched, core.OutcomeRejected:
		writeRefusal(w, notRun(r.Outcome.String(), r.Detail))
	case core.OutcomeStarted:
		writeRefusal(w, refusal{http.StatusConflict, typeInProgress, r.Outcome.String(), r.Detail + "; ask again with the same key"})
	default:
		writeRefusal(w, refusal{http.StatusGatewayTimeout, typeUnknown, core.OutcomeUnknown.String(), r.Detail + "; the request may have run, ask again with the same key"})
	}
}

func writeAnswer(w http.ResponseWriter, r Reply) {
	if r.Response.ContentType != "" {
		w.Header().Set("Content-Type", r.Response.ContentType)
	}
	if r.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	status := r.Response.Status
	if status < http.StatusOK || status > 999 {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
	_, _ = w.Write(r.Response.Body)
}
