// Package record serves calls to plain services, which are services without a model
// engine, and records the claims and results of calls that may run at most once. In
// the entry, Handler converts HTTP requests of callers into calls and selects
// upstreams. In the agent of an upstream, Executor sends the calls to the service. It
// writes a claim to the platform's table before it sends a call that may run at most
// once, and writes the result to the same row afterwards.
package record

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"waxwingtide.example/waxwingtide/claim"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

// Call is one attempt of a call to a plain service. Its path is the path on the
// service, without the prefix of Route.
type Call struct {
	core.Call
	Attempt   core.AttemptID
	Workspace core.WorkspaceID
	Caller    core.CallerID
	Service   core.ServiceID
	// IdempotencyKey is set if the call may run at most once, and is empty otherwise.
	IdempotencyKey string
}

// AtMostOnce reports whether the call needs a claim.
func (c *Call) AtMostOnce() bool { return c.IdempotencyKey != "" }

// RowKey returns the table key of the call's claim. The key does not depend on the
// upstream, so that the agents of two upstreams compete for the same row.
func (c *Call) RowKey() stores.Key {
	sum := hashFields([]string{string(c.Workspace), string(c.Service), c.IdempotencyKey}, nil)
	return stores.Key{Partition: "claim/" + hex.EncodeToString(sum[:16]), Sort: "call"}
}

// RequestDigest identifies the content of the request: method, path, query and
// body.
func (c *Call) RequestDigest() claim.RequestDigest {
	return hashFields([]string{c.Method, c.Path, c.Query()}, c.Body)
}

// hashFields returns the hash of fields and a body. The fields are encoded as a JSON
// array, so that different fields with the same concatenation have different hashes.
func hashFields(fields []string, body []byte) [sha256.Size]byte {
	encodedFields, err := json.Marshal(fields)
	if err != nil {
		panic(err) // encoding a slice of strings cannot fail
	}
	hash := sha256.New()
	hash.Write(encodedFields)
	hash.Write(body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// Reply is the result of an attempt.
type Reply struct {
	Outcome core.Outcome
	// Response is set if the outcome is Finished.
	Response claim.Response
	// Replayed is set if the response is that of an earlier attempt.
	Replayed bool
	// Reason is the reason for a rejection, if it has one. Detail explains in
	// words any outcome other than Finished.
	Reason wire.RejectReason
	Detail string
	// KeyReused is set if the idempotency key was used for a different request.
	KeyReused bool
}

func rejectedReply(reason wire.RejectReason, detail string) Reply {
	return Reply{Outcome: core.OutcomeRejected, Reason: reason, Detail: detail}
}

func unknownReply(detail string) Reply {
	return Reply{Outcome: core.OutcomeUnknown, Detail: detail}
}
