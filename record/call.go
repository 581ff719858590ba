// Package record serves calls to plain services, which are services without a model
// engine. It records the claims and results of at-most-once calls, which must not run
// more than once. All other calls are repeatable.
//
// In the entry, Handler converts HTTP requests of callers into calls and selects
// upstreams. In the agent of an upstream, Executor sends the calls to the service. It
// writes the claim of an at-most-once call to the platform's table before it sends the
// call, and writes the result to the same row afterwards.
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

// Call is a call to a plain service. Its path is the path on the service, without the
// prefix of Route.
type Call struct {
	core.Call
	// Attempt is the ID of the attempt in the agent. In the entry it is the ID of the
	// call, and each request to an agent contains a new attempt ID instead.
	Attempt   core.AttemptID
	Workspace core.WorkspaceID
	Caller    core.CallerID
	Service   core.ServiceID
	// IdempotencyKey is set for an at-most-once call and is empty for any other call.
	IdempotencyKey string
}

// AtMostOnce reports whether the call needs a claim.
func (c *Call) AtMostOnce() bool { return c.IdempotencyKey != "" }

// ClaimKey returns the key of the row with the call's claim. The key does not depend on the
// upstream, so that the agents of two upstreams compete for the same row.
func (c *Call) ClaimKey() stores.Key {
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

// Reply is the result of an attempt that the agent returns to the entry.
type Reply struct {
	Outcome core.Outcome
	// Response is the response of the service. It is set if the outcome is Finished.
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
