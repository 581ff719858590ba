package servicecall

import (
	"encoding/json"
	"net/http"

	"waxwingtide.example/waxwingtide/claim"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

func callFromWire(r *wire.CallRequest) *Call {
	call := core.Call{Method: r.GetMethod(), Path: r.GetPath(), URI: target(r.GetPath(), r.GetQuery()), Body: r.GetBody()}
	if r.GetContentType() != "" {
		call.Header = http.Header{"Content-Type": {r.GetContentType()}}
	}
	return &Call{
		Call:           call,
		Attempt:        core.AttemptID(r.GetAttempt()),
		Workspace:      core.WorkspaceID(r.GetWorkspace()),
		Caller:         core.CallerID(r.GetCaller()),
		Service:        core.ServiceID(r.GetService()),
		IdempotencyKey: r.GetIdempotencyKey(),
	}
}

// target joins the path and the query of a request.
func target(path, query string) string {
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

func outcomeFromWire(o wire.Outcome) core.Outcome {
	for outcome, encoded := range outcomesToWire {
		if encoded == o {
			return outcome
		}
	}
	return core.OutcomeUnknown
}

// replyToWire encodes a reply. A rejection with a status of 422 says that the
// key belongs to another request.
func replyToWire(attempt core.AttemptID, r Reply) *wire.CallReply {
	out := &wire.CallReply{
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
		out.Status = http.StatusUnprocessableEntity
	}
	return out
}

func replyFromWire(r *wire.CallReply) Reply {
	reply := Reply{
		Outcome:  outcomeFromWire(r.GetOutcome()),
		Replayed: r.GetReplayed(),
		Reason:   r.GetReason(),
		Detail:   r.GetDetail(),
	}
	if reply.Outcome == core.OutcomeFinished {
		reply.Response = claim.Response{Status: int(r.GetStatus()), ContentType: r.GetContentType(), Body: r.GetBody()}
	}
	reply.KeyReused = reply.Outcome == core.OutcomeRejected && r.GetStatus() == http.StatusUnprocessableEntity
	return reply
}

// rowValue is the JSON form of a claim in the table.
type rowValue struct {
	State       claim.State      `json:"state"`
	Upstream    core.UpstreamID  `json:"upstream"`
	Incarnation core.Incarnation `json:"incarnation"`
	Attempt     core.AttemptID   `json:"attempt"`
	Request     []byte           `json:"request"`
	Status      int              `json:"status,omitempty"`
	ContentType string           `json:"content_type,omitempty"`
	Body        []byte           `json:"body,omitempty"`
	Object      string           `json:"object,omitempty"`
}

func encodeRecord(r claim.Row) []byte {
	value, err := json.Marshal(rowValue{
		State: r.State, Upstream: r.Owner.Upstream, Incarnation: r.Owner.Incarnation,
		Attempt: r.Attempt, Request: r.RequestDigest[:],
		Status: r.Response.Status, ContentType: r.Response.ContentType, Body: r.Response.Body, Object: r.Response.BodyObject,
	})
	if err != nil {
		panic(err) // the fields are numbers, strings and bytes
	}
	return value
}

func decodeRecord(row stores.Row) (claim.Row, error) {
	if row.Version == 0 {
		return claim.Row{}, nil
	}
	var v rowValue
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return claim.Row{}, errs.Wrap(err, errs.Corrupt, "inspect the row", "claim %s", row.Key.Partition)
	}
	if len(v.Request) != len(claim.RequestDigest{}) {
		return claim.Row{}, errs.New(errs.Corrupt, "inspect the row", "claim %s has a request digest of %d bytes", row.Key.Partition, len(v.Request))
	}
	return claim.Row{
		State: v.State, Owner: claim.Owner{Upstream: v.Upstream, Incarnation: v.Incarnation},
		Attempt: v.Attempt, RequestDigest: claim.RequestDigest(v.Request),
		Response: claim.Response{Status: v.Status, ContentType: v.ContentType, Body: v.Body, BodyObject: v.Object},
	}, nil
}
