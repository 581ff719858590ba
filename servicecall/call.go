// Package servicecall carries calls to plain services. At the entry, Handler turns
// callers' HTTP requests into calls and chooses upstreams. Beside the upstream,
// Executor runs the calls and keeps those that may run at most once in claims.
package servicecall

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

// RowKey returns the key of the call's claim. It does not depend on the
// upstream, so that agents of two upstreams compete for the same row.
func (c *Call) RowKey() stores.Key {
	sum := digest([]string{string(c.Workspace), string(c.Service), c.IdempotencyKey}, nil)
	return stores.Key{Partition: "claim/" + hex.EncodeToString(sum[:16]), Sort: "call"}
}

// RequestDigest identifies the content of the request: method, path, query and
// body.
func (c *Call) RequestDigest() claim.RequestDigest {
	return digest([]string{c.Method, c.Path, c.Query()}, c.Body)
}

// digest hashes fields and a body. A JSON array keeps the field borders apart.
func digest(fields []string, body []byte) [sha256.Size]byte {
	head, err := json.Marshal(fields)
	if err != nil {
		panic(err) // encoding a slice of strings cannot fail
	}
	h := sha256.New()
	h.Write(head)
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// Reply is what is known about a call after an attempt.
type Reply struct {
	Outcome core.Outcome
	// Response is set if the outcome is Finished.
	Response claim.Response
	// Replayed is set when the answer is that of an earlier attempt.
	Replayed bool
	// Reason and Detail say why the attempt was rejected.
	Reason wire.RejectReason
	Detail string
	// KeyReused is set when the key belongs to another request.
	KeyReused bool
}

func rejected(reason wire.RejectReason, detail string) Reply {
	return Reply{Outcome: core.OutcomeRejected, Reason: reason, Detail: detail}
}

func unknown(detail string) Reply {
	return Reply{Outcome: core.OutcomeUnknown, Detail: detail}
}
