// Package gateway serves callers: it finds the route and the workspace of a
// call, has it placed, sends it to upstreams and relays the answer. HTTP
// handlers own nothing that outlives their call; the router duty owns the
// knowledge of upstreams. How calls and answers are written in HTTP is left to
// a Codec.
package gateway

import (
	"net/http"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Attempt is what the system adds to a call on its way to an upstream.
type Attempt struct {
	Upstream  core.UpstreamID
	Workspace core.WorkspaceID
	// Timeout is the time until the system gives the attempt up.
	Timeout time.Duration
	// Weights are those on which the call has to begin; 0 means any.
	Weights  catalog.WeightNumber
	Salt     string
	Priority int
	// FetchFrom and SaveTo hold a store's address or nothing for each part.
	FetchFrom []string
	SaveTo    []string
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
}

// UpstreamResponse is what the head of an upstream's answer says.
type UpstreamResponse struct {
	ID     string
	Status int
	// Sealed is set when the answer comes from the upstream's program.
	Sealed bool
	// NotRun is set when the upstream states that it did not run the call.
	NotRun  bool
	Close   bool
	Weights catalog.WeightNumber
	Load    int
	HasLoad bool
	// KeepAlive is how long the upstream keeps the connection; 0 when unknown.
	KeepAlive     time.Duration
	ColdRemaining time.Duration
}

// Success reports whether the upstream served the call.
func (a UpstreamResponse) Success() bool { return a.Status >= 200 && a.Status < 300 }

// Codec writes and reads calls in HTTP.
type Codec interface {
	// DecodeCall returns the call of a request, without its body.
	DecodeCall(r *http.Request, now time.Time) (*core.Call, error)
	// EncodeAttempt returns the request for an upstream, without its body.
	EncodeAttempt(call *core.Call, a Attempt) *http.Request
	// DecodeResponse reads the head of an answer.
	DecodeResponse(status int, h http.Header) UpstreamResponse
	// CopyResponseHeader copies the headers that a caller gets of an upstream's answer.
	CopyResponseHeader(to, from http.Header)
	// SetRefusalHeader sets the headers of an answer of the system's own.
	SetRefusalHeader(to http.Header, id string, retryAfter time.Duration)
}
