// Package gateway serves callers: it finds the route and the workspace of a call,
// requests its placement, sends it to upstreams and relays the response. HTTP
// handlers own no state that outlives their call. The router duty owns the state of
// the upstreams. A Codec encodes and decodes calls and responses in HTTP.
package gateway

import (
	"net/http"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Attempt contains what the system adds to a call that it sends to an upstream.
type Attempt struct {
	Upstream  core.UpstreamID
	Workspace core.WorkspaceID
	// Timeout is the time after which the system abandons the attempt.
	Timeout time.Duration
	// Weights is the weight version with which the run must start; 0 means any.
	Weights catalog.WeightNumber
	// CacheSalt separates cached parts by model, weight version and isolated
	// workspace; see placement.Salt.
	CacheSalt string
	Priority  int
	// FetchFrom and SaveTo contain one address for each part of the prompt, or an empty
	// string if the KV cache of the part is not fetched or saved. It is fetched from a
	// model server or from a kept-cache store, which stores KV cache that model servers
	// have exported. It is saved to a kept-cache store.
	FetchFrom []string
	SaveTo    []string
	// ResumeAfter is the id of the last event that the caller has received.
	ResumeAfter string
}

// UpstreamResponse contains the decoded status and headers of an upstream's
// response.
type UpstreamResponse struct {
	ID     string
	Status int
	// FromUpstream is set when the response was produced by the upstream's program, and
	// not by a proxy or another server at the address.
	FromUpstream bool
	// NotRun is set when the upstream states that it did not run the call.
	NotRun bool
	// Close is set when the upstream closes the connection after the response.
	Close   bool
	Weights catalog.WeightNumber
	// Load is the load that the upstream states.
	Load core.UpstreamLoad
	// RateLimit is the rate of calls that the upstream announces.
	RateLimit core.RateLimit
	// Leaving is set when the response announces that the upstream leaves.
	Leaving bool
	// RetryAfter is the time after which the upstream may be used again, or 0.
	RetryAfter time.Duration
	// KeepAlive is the time for which the upstream keeps the idle connection open; 0
	// when it is unknown.
	KeepAlive time.Duration
	// ColdRemaining is the time for which the upstream remains cold, which means that
	// it can handle only few calls after its start; see admit.ColdPeriod.
	ColdRemaining time.Duration
}

// Success reports whether the upstream served the call.
func (r UpstreamResponse) Success() bool { return r.Status >= 200 && r.Status < 300 }

// fromUpstreamItself reports whether the response was produced by the upstream to which
// the call was sent, and not by another server at its address.
func (r UpstreamResponse) fromUpstreamItself() bool {
	return r.Status != http.StatusMisdirectedRequest && (r.FromUpstream || r.NotRun)
}

// announcesDeparture reports whether the upstream to which the call was sent announces
// that it leaves. The upstream does so in all its responses, also in those without its
// mark.
func (r UpstreamResponse) announcesDeparture() bool {
	return r.Leaving && r.Status != http.StatusMisdirectedRequest
}

// requestedPause returns the time for which the upstream wants no calls from this process,
// as it states in a refusal, or 0. A refusal need not have the upstream's mark.
func (r UpstreamResponse) requestedPause() time.Duration {
	if r.Status != http.StatusServiceUnavailable {
		return 0
	}
	return r.RetryAfter
}

// Codec encodes and decodes calls and responses in HTTP.
type Codec interface {
	// DecodeCall decodes the call from a request, without its body.
	DecodeCall(r *http.Request, now time.Time) (*core.Call, error)
	// EncodeAttempt encodes the request to an upstream, without its body.
	EncodeAttempt(call *core.Call, a Attempt) *http.Request
	// DecodeResponse decodes the status and headers of a response.
	DecodeResponse(status int, h http.Header) UpstreamResponse
	// CopyResponseHeader copies the headers of an upstream's response that are
	// forwarded to the caller.
	CopyResponseHeader(to, from http.Header)
	// SetErrorHeader sets the headers of an error response of the system itself.
	SetErrorHeader(to http.Header, id string, retryAfter time.Duration)
}
