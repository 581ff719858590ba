package record

import (
	"encoding/json"
	"net/http"

	"waxwingtide.example/waxwingtide/claim"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

func callFromWire(req *wire.CallRequest) *Call {
	call := core.Call{Method: req.GetMethod(), Path: req.GetPath(), URI: requestURI(req.GetPath(), req.GetQuery()), Body: req.GetBody()}
	if req.GetContentType() != "" {
		call.Header = http.Header{"Content-Type": {req.GetContentType()}}
	}
	return &Call{
		Call:           call,
		Attempt:        core.AttemptID(req.GetAttempt()),
		Workspace:      core.WorkspaceID(req.GetWorkspace()),
		Caller:         core.CallerID(req.GetCaller()),
		Service:        core.ServiceID(req.GetService()),
		IdempotencyKey: req.GetIdempotencyKey(),
	}
}

// requestURI joins the path and the query of a request.
func requestURI(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

func callToWire(c *Call) *wire.CallRequest {
	return &wire.CallRequest{
		Attempt:        string(c.Attempt),
		Workspace:      string(c.Workspace),
		Caller:         string(c.Caller),
		Service:        string(c.Service),
		Method:         c.Method,
		Path:           c.Path,
		Query:          c.Query(),
		ContentType:    c.ContentType(),
		Body:           c.Body,
		IdempotencyKey: c.IdempotencyKey,
	}
}

var outcomesToWire = map[core.Outcome]wire.Outcome{
	core.OutcomeNeverDispatched: wire.Outcome_OUTCOME_NEVER_DISPATCHED,
	core.OutcomeRejected:        wire.Outcome_OUTCOME_REJECTED,
	core.OutcomeStarted:         wire.Outcome_OUTCOME_STARTED,
	core.OutcomeFinished:        wire.Outcome_OUTCOME_FINISHED,
	core.OutcomeUnknown:         wire.Outcome_OUTCOME_UNKNOWN,
}

func outcomeFromWire(wireOutcome wire.Outcome) core.Outcome {
	for outcome, encoded := range outcomesToWire {
		if encoded == wireOutcome {
			return outcome
		}
	}
	return core.OutcomeUnknown
}

// replyToWire encodes a reply. A rejection with status 422 means that the
// idempotency key was used for a different request.
func replyToWire(attempt core.AttemptID, r Reply) *wire.CallReply {
	reply := &wire.CallReply{
		Attempt:     string(attempt),
		Outcome:     outcomesToWire[r.Outcome],
		Status:      uint32(r.Response.Status),
		ContentType: r.Response.ContentType,
		Body:        r.Response.Body,
		Replayed:    r.Replayed,
		Reason:      r.Reason,
		Detail:      r.Detail,
	}
	if r.KeyReused {
		reply.Status = http.StatusUnprocessableEntity
	}
	return reply
}

func replyFromWire(wireReply *wire.CallReply) Reply {
	reply := Reply{
		Outcome:  outcomeFromWire(wireReply.GetOutcome()),
		Replayed: wireReply.GetReplayed(),
		Reason:   wireReply.GetReason(),
		Detail:   wireReply.GetDetail(),
	}
	if reply.Outcome == core.OutcomeFinished {
		reply.Response = claim.Response{Status: int(wireReply.GetStatus()), ContentType: wireReply.GetContentType(), Body: wireReply.GetBody()}
	}
	reply.KeyReused = reply.Outcome == core.OutcomeRejected && wireReply.GetStatus() == http.StatusUnprocessableEntity
	return reply
}

// rowValue is the JSON encoding of a claim in the table.
type rowValue struct {
	State         claim.State      `json:"state"`
	Upstream      core.UpstreamID  `json:"upstream"`
	Incarnation   core.Incarnation `json:"incarnation"`
	Attempt       core.AttemptID   `json:"attempt"`
	RequestDigest []byte           `json:"request"`
	Status        int              `json:"status,omitempty"`
	ContentType   string           `json:"content_type,omitempty"`
	Body          []byte           `json:"body,omitempty"`
	BodyObject    string           `json:"object,omitempty"`
}

func encodeRow(r claim.Row) []byte {
	value, err := json.Marshal(rowValue{
		State: r.State, Upstream: r.Owner.Upstream, Incarnation: r.Owner.Incarnation,
		Attempt: r.Attempt, RequestDigest: r.RequestDigest[:],
		Status: r.Response.Status, ContentType: r.Response.ContentType, Body: r.Response.Body, BodyObject: r.Response.BodyObject,
	})
	if err != nil {
		panic(err) // encoding numbers, strings and bytes cannot fail
	}
	return value
}

func decodeRow(row stores.Row) (claim.Row, error) {
	if row.Version == 0 {
		return claim.Row{}, nil
	}
	var value rowValue
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return claim.Row{}, errs.Wrap(err, errs.Corrupt, "inspect the row", "claim %s cannot be decoded", row.Key.Partition)
	}
	if len(value.RequestDigest) != len(claim.RequestDigest{}) {
		return claim.Row{}, errs.New(errs.Corrupt, "inspect the row", "claim %s has a request digest of %d bytes", row.Key.Partition, len(value.RequestDigest))
	}
	return claim.Row{
		State: value.State, Owner: claim.Owner{Upstream: value.Upstream, Incarnation: value.Incarnation},
		Attempt: value.Attempt, RequestDigest: claim.RequestDigest(value.RequestDigest),
		Response: claim.Response{Status: value.Status, ContentType: value.ContentType, Body: value.Body, BodyObject: value.BodyObject},
	}, nil
}
