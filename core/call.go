package core

import (
	"strings"
	"time"
)

// CallKind determines how often a call may run.
type CallKind uint8

// Kinds of call.
const (
	// KindIdempotent calls may run any number of times.
	KindIdempotent CallKind = iota
	// KindNonIdempotent calls may run at most once.
	KindNonIdempotent
	// KindStream calls have a response of several events. They may run at most once
	// unless their route is configured as resumable.
	KindStream
)

// String returns the name of the kind as used in metrics and logs.
func (k CallKind) String() string {
	return [...]string{"idempotent", "non_idempotent", "stream"}[k]
}

// PartID identifies a part of a prompt. Prompts with the same prefix have parts in
// common.
type PartID string

// Part is a contiguous sequence of tokens of a prompt that is cached and transferred as
// a unit.
type Part struct {
	ID     PartID
	Tokens int
}

// Prompt describes the prompt in the body of a call.
type Prompt struct {
	Model ModelID
	// Tokens is the length of the prompt, MaxOutputTokens the maximum length of the
	// response.
	Tokens          int
	MaxOutputTokens int
	// Text is the prompt itself, if the API transmits it as text. Parts is then empty,
	// because the parts are the blocks of Text, whose IDs depend on the weight version.
	Text string
	// Parts lists the parts from the beginning of the prompt to its end. The last part
	// is specific to this call.
	Parts []Part
}

// ShareableParts returns the parts that other prompts can have in common with this one:
// all parts except the last.
func (p Prompt) ShareableParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// PartIDs returns the IDs of all parts, separated by commas.
func (p Prompt) PartIDs() string {
	ids := make([]string, len(p.Parts))
	for i, part := range p.Parts {
		ids[i] = string(part.ID)
	}
	return strings.Join(ids, ",")
}

// Call is one client request of any API. Its body and headers are forwarded unchanged.
type Call struct {
	// ID is chosen by the caller. A caller that sends a request again uses a new ID.
	ID         string
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting; zero means that it set no deadline.
	Deadline time.Time
	Method   string
	Host     string
	// URI is the request target as sent by the caller, Path its path.
	URI  string
	Path string
	// APIKey identifies and authenticates the caller.
	APIKey string
	Prompt Prompt
	// LastEventID is the ID of the last event that the caller has received of a stream
	// that is to be resumed; empty for a new stream.
	LastEventID string
	// Header contains the forwarded headers.
	Header map[string][]string
	Body   []byte
}

// Query returns the query part of the request target.
func (c *Call) Query() string {
	_, query, _ := strings.Cut(c.URI, "?")
	return query
}

// ContentType returns the media type of the body according to the caller.
func (c *Call) ContentType() string {
	if values := c.Header["Content-Type"]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// RateLimit is the rate of calls that an upstream accepts from all processes together,
// as it announces it in its responses. The zero value means that it announces none.
type RateLimit struct {
	Limited bool
	// PerSecond is the number of calls per second.
	PerSecond float64
}
