// Package stream validates the frames of attempts and assembles one response from
// them. A response may require several attempts. A later attempt resumes at the
// token position that the response has reached. If attempts run concurrently (a
// hedge), only the first attempt that delivers a token, or that ends an empty
// response, is used.
package stream

import (
	"strconv"

	"waxwingtide.example/waxwingtide/core"
)

// AttemptIDs generates attempt ids that are unique across processes and restarts.
// It is owned by one duty.
type AttemptIDs struct {
	prefix string
	next   uint64
}

// NewAttemptIDs returns the generator for one incarnation of a process.
func NewAttemptIDs(node core.NodeID, incarnation core.Incarnation) *AttemptIDs {
	return &AttemptIDs{prefix: string(node) + "-" + strconv.FormatUint(uint64(incarnation), 36) + "-"}
}

// Next returns a new attempt id.
func (s *AttemptIDs) Next() core.AttemptID {
	s.next++
	return core.AttemptID(s.prefix + strconv.FormatUint(s.next, 36))
}

// Kind is the type of the body of a frame.
type Kind uint8

// Kinds of frames. Kind 0 denotes a frame without a readable body.
const (
	KindToken Kind = iota + 1
	KindEnd
	KindReject
	KindFailure
)

// Frame is one message of an attempt.
type Frame struct {
	Attempt core.AttemptID
	// Seq is the position of the frame in its attempt, from 0.
	Seq  uint64
	Kind Kind
	// Position is the index of a token in the response, from 0.
	Position uint32
	// Text is the text of a token.
	Text string
	// FrameCount is the number of frames before an end frame.
	FrameCount uint64
	// TokenCount is the total number of tokens of the response in an end frame,
	// and the number of tokens sent so far in a failure frame. Both include the
	// tokens of earlier attempts.
	TokenCount uint32
}

// Verdict determines the next action of the caller of Accept or CloseAttempt.
type Verdict uint8

// Verdicts.
const (
	// VerdictIgnore means that no action is required.
	VerdictIgnore Verdict = iota
	// VerdictDeliver means that the token is the next one of the response.
	VerdictDeliver
	// VerdictComplete means that all tokens of the response have been delivered.
	VerdictComplete
	// VerdictRejected means that the attempt was provably not submitted to the
	// upstream.
	VerdictRejected
	// VerdictBroken means that the attempt cannot be continued and must be
	// cancelled. If no other attempt is open, the caller must add a new one, which
	// resumes the response at Response.Position.
	VerdictBroken
)

// String returns the name of the verdict as used in logs.
func (v Verdict) String() string {
	return [...]string{"ignore", "deliver", "complete", "rejected", "broken"}[v]
}

// Fault is the reason why a frame was ignored or an attempt broke.
type Fault uint8

// Faults.
const (
	FaultNone Fault = iota
	// FaultLate is a frame of an attempt that is no longer open.
	FaultLate
	// FaultWrongCall is a frame of another call's attempt.
	FaultWrongCall
	// FaultDuplicate is a frame that was already received.
	FaultDuplicate
	// FaultGap is a gap in the sequence numbers, or an unexpected token position.
	FaultGap
	// FaultTruncated is a stream that ended or was cancelled without an end frame.
	FaultTruncated
	// FaultCountMismatch is an end frame whose counts differ from the received
	// frames or tokens.
	FaultCountMismatch
	// FaultMalformed is a frame without a readable body, or a rejection that is not
	// the first frame and therefore does not show that the attempt was not
	// submitted.
	FaultMalformed
	// FaultUpstreamFailure is a failure that the agent reported after it submitted
	// the attempt to the upstream.
	FaultUpstreamFailure
)

// String returns the name of the fault as used in metrics and logs.
func (f Fault) String() string {
	return [...]string{"none", "late", "crossed", "repeated", "missing", "cut", "count", "malformed", "upstream"}[f]
}

// Result is the result of a frame or of the end of a stream.
type Result struct {
	Verdict Verdict
	Fault   Fault
	// Cancel lists the concurrent attempts that are no longer needed.
	Cancel []core.AttemptID
}

type attempt struct {
	id      core.AttemptID
	nextSeq uint64
	open    bool
}

// Response assembles the response of one call. It is not safe for concurrent use.
type Response struct {
	attempts []attempt
	// selected is the index of the attempt whose tokens are used. It is noAttempt at
	// the start and after the selected attempt broke.
	selected int
	position uint32
	complete bool
}

// noAttempt is the index of a missing attempt.
const noAttempt = -1

// NewResponse returns an empty response.
func NewResponse() *Response { return &Response{selected: noAttempt} }

// AddAttempt registers a new attempt and returns the number of tokens that were
// already delivered to the client and that the attempt must skip.
func (r *Response) AddAttempt(id core.AttemptID) (resumeFrom uint32) {
	r.attempts = append(r.attempts, attempt{id: id, open: true})
	return r.position
}

// Position returns the number of tokens delivered so far.
func (r *Response) Position() uint32 { return r.position }

// Complete reports whether all tokens of the response were delivered.
func (r *Response) Complete() bool { return r.complete }

// OpenAttempts returns the attempts whose frames are still accepted.
func (r *Response) OpenAttempts() []core.AttemptID {
	var ids []core.AttemptID
	for i := range r.attempts {
		if r.attempts[i].open {
			ids = append(ids, r.attempts[i].id)
		}
	}
	return ids
}

// Accept validates a frame that was received for this response.
func (r *Response) Accept(f Frame) Result {
	i := r.find(f.Attempt)
	if i < 0 {
		return Result{Verdict: VerdictIgnore, Fault: FaultWrongCall}
	}
	current := &r.attempts[i]
	if !current.open {
		return Result{Verdict: VerdictIgnore, Fault: FaultLate}
	}
	if f.Seq < current.nextSeq {
		return Result{Verdict: VerdictIgnore, Fault: FaultDuplicate}
	}
	if f.Seq > current.nextSeq {
		return r.breakAttempt(i, FaultGap)
	}
	current.nextSeq++
	switch f.Kind {
	case KindToken:
		return r.acceptToken(i, f)
	case KindEnd:
		return r.acceptEnd(i, f)
	case KindReject:
		return r.acceptReject(i)
	case KindFailure:
		return r.breakAttempt(i, FaultUpstreamFailure)
	default:
		return r.breakAttempt(i, FaultMalformed)
	}
}

// CloseAttempt records that the stream of an attempt ended or was cancelled. If the
// attempt is still open, the result is FaultTruncated.
func (r *Response) CloseAttempt(id core.AttemptID) Result {
	i := r.find(id)
	if i < 0 || !r.attempts[i].open {
		return Result{Verdict: VerdictIgnore}
	}
	return r.breakAttempt(i, FaultTruncated)
}

func (r *Response) find(id core.AttemptID) int {
	for i := range r.attempts {
		if r.attempts[i].id == id {
			return i
		}
	}
	return noAttempt
}

func (r *Response) acceptToken(i int, f Frame) Result {
	if f.Position != r.position {
		return r.breakAttempt(i, FaultGap)
	}
	cancel := r.selectAttempt(i)
	r.position++
	return Result{Verdict: VerdictDeliver, Cancel: cancel}
}

func (r *Response) acceptEnd(i int, f Frame) Result {
	if f.FrameCount != f.Seq || f.TokenCount != r.position {
		return r.breakAttempt(i, FaultCountMismatch)
	}
	cancel := r.selectAttempt(i)
	r.attempts[i].open = false
	r.complete = true
	return Result{Verdict: VerdictComplete, Cancel: cancel}
}

// acceptReject returns VerdictRejected only if the rejection is the first frame of
// the attempt. After another frame, the attempt was submitted to the upstream.
func (r *Response) acceptReject(i int) Result {
	if r.attempts[i].nextSeq != 1 {
		return r.breakAttempt(i, FaultMalformed)
	}
	r.attempts[i].open = false
	return Result{Verdict: VerdictRejected}
}

func (r *Response) breakAttempt(i int, fault Fault) Result {
	r.attempts[i].open = false
	if r.selected == i {
		r.selected = noAttempt
	}
	return Result{Verdict: VerdictBroken, Fault: fault}
}

// selectAttempt selects the attempt for the response and returns the other open
// attempts, which it closes.
func (r *Response) selectAttempt(i int) []core.AttemptID {
	if r.selected == i {
		return nil
	}
	r.selected = i
	var cancel []core.AttemptID
	for j := range r.attempts {
		if j != i && r.attempts[j].open {
			r.attempts[j].open = false
			cancel = append(cancel, r.attempts[j].id)
		}
	}
	return cancel
}
