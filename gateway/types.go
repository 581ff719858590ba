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
	// Left is the time until the system gives the attempt up.
	Left time.Duration
	// Weights are those on which the call has to begin; 0 means any.
	Weights  catalog.WeightNumber
	Salt     string
	Priority int
	// Fetch and Save hold a store's address or nothing for each part.
	Fetch []string
	Save  []string
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
}

// Answer is what the head of an upstream's answer says.
type Answer struct {
	ID     string
	Status int
	// Sealed is set when the answer comes from the upstream's program.
	Sealed bool
	// NotRun is set when the upstream states that it did not run the call.
	NotRun  bool
	Closing bool
	Weights catalog.WeightNumber
	Load    int
	HasLoad bool
	// KeepAlive is how long the upstream keeps the connection; 0 when unknown.
	KeepAlive time.Duration
	Cold      time.Duration
}

// Success reports whether the upstream served the call.
func (a Answer) Success() bool { return a.Status >= 200 && a.Status < 300 }

// Codec writes and reads calls in HTTP.
type Codec interface {
	// DecodeCall returns the call of a request, without its body.
	DecodeCall(r *http.Request, now time.Time) (*core.Call, error)
	// EncodeAttempt returns the request for an upstream, without its body.
	EncodeAttempt(call *core.Call, a Attempt) *http.Request
	// DecodeAnswer reads the head of an answer.
	DecodeAnswer(status int, h http.Header) Answer
	// PassAnswer copies the headers that a caller gets of an upstream's answer.
	PassAnswer(to, from http.Header)
	// Refuse sets the headers of an answer of the system's own.
	Refuse(to http.Header, id string, retryAfter time.Duration)
}
