package core

import (
	"strings"
	"time"
)

// CallKind says how often a call may run.
type CallKind uint8

// Kinds of call.
const (
	// Idempotent calls may run any number of times.
	Idempotent CallKind = iota
	// NonIdempotent calls may run at most once.
	NonIdempotent
	// Stream calls are answered by a series of events. They may run at most once
	// unless their route says that they can be resumed.
	Stream
)

// String returns the name of the kind as used in metrics and logs.
func (k CallKind) String() string {
	return [...]string{"idempotent", "non_idempotent", "stream"}[k]
}

// PartID names a part of a prompt. Prompts with equal beginnings share parts.
type PartID string

// Part is a section of a prompt.
type Part struct {
	ID     PartID
	Tokens int
}

// Prompt is what a call says about the prompt in its body.
type Prompt struct {
	Model ModelID
	// Tokens is the length of the prompt, MaxOutputTokens the largest answer.
	Tokens          int
	MaxOutputTokens int
	// Text is the prompt itself where the interface carries it as text. Its parts
	// are then the blocks of the text, whose ids depend on the weight version.
	Text string
	// Parts are in prompt order. The last one belongs to this call alone.
	Parts []Part
}

// SharedParts returns the parts that other prompts may have in common with this one.
func (p Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// Call is one request of a caller on any interface. The body and the headers are opaque.
type Call struct {
	// ID is chosen by the caller and differs between its retries.
	ID         string
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting; zero when it states none.
	Deadline time.Time
	Method   string
	Host     string
	// URI is the request target as the caller sent it, Path its path.
	URI  string
	Path string
	// APIKey is the caller's credential.
	APIKey string
	Prompt Prompt
	// ResumeAfter is the id of the last event that the caller already has.
	ResumeAfter string
	// Header holds what is passed on unchanged.
	Header map[string][]string
	Body   []byte
}

// Query returns the query part of the request target.
func (c *Call) Query() string {
	_, query, _ := strings.Cut(c.URI, "?")
	return query
}

// ContentType returns the media type that the caller states for the body.
func (c *Call) ContentType() string {
	if values := c.Header["Content-Type"]; len(values) > 0 {
		return values[0]
	}
	return ""
}
