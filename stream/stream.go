// Package stream checks the frames of attempts and assembles one answer from
// them. An answer may take several attempts: a later attempt resumes at the
// token position that the answer has reached, and of attempts that run at the
// same time (a hedge) only the first to deliver is followed.
package stream

import (
	"strconv"

	"waxwingtide.example/waxwingtide/core"
)

// AttemptIDs makes attempt ids that are unique across processes and restarts. It is
// owned by one duty.
type AttemptIDs struct {
	prefix string
	next   uint64
}

// NewAttemptIDs returns the source of attempt ids of one run of a process.
func NewAttemptIDs(node core.NodeID, incarnation core.Incarnation) *AttemptIDs {
	return &AttemptIDs{prefix: string(node) + "-" + strconv.FormatUint(uint64(incarnation), 36) + "-"}
}

// Next returns a new attempt id.
func (s *AttemptIDs) Next() core.AttemptID {
	s.next++
	return core.AttemptID(s.prefix + strconv.FormatUint(s.next, 36))
}

// Kind is the kind of a frame.
type Kind uint8

// Kinds of frame. A frame of kind 0 has no readable body.
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
	// Position is the index of a token in the whole answer, from 0.
	Position uint32
	// Text is the text of a token.
	Text string
	// FrameCount is the number of frames before the end frame.
	FrameCount uint64
	// TokenCount is the number of tokens of the whole answer in an end frame, and
	// the number sent so far in a failure frame. Resumed ones are included.
	TokenCount uint32
}

// Verdict says what the receiver of a frame does next.
type Verdict uint8

// Verdicts on a frame.
const (
	// Ignore means that the frame changes nothing.
	Ignore Verdict = iota
	// Deliver means that the token is the next of the answer.
	Deliver
	// Complete means that every token of the answer has been delivered.
	Complete
	// Rejected means that the attempt is proved not to have been handed over.
	Rejected
	// Broken means that the attempt cannot be continued: it is to be cancelled,
	// and the answer resumes with another attempt at Position.
	Broken
)

// String returns the name of the verdict as used in logs.
func (v Verdict) String() string {
	return [...]string{"ignore", "deliver", "complete", "rejected", "broken"}[v]
}

// Fault is what is wrong with a frame or with the end of a stream.
type Fault uint8

// Faults of a frame.
const (
	FaultNone Fault = iota
	// FaultLate is a frame of an attempt that is no longer followed.
	FaultLate
	// FaultWrongCall is a frame of another call's attempt.
	FaultWrongCall
	// FaultDuplicate is a frame that was received before.
	FaultDuplicate
	// FaultGap is a gap in the sequence or in the token positions.
	FaultGap
	// FaultTruncated is a stream that ended without an end frame.
	FaultTruncated
	// FaultCountMismatch is an end frame whose counts differ from what was received.
	FaultCountMismatch
	// FaultMalformed is a frame without a readable body, or a rejection after
	// the first frame, which proves nothing.
	FaultMalformed
	// FaultUpstreamFailure is a failure that the agent reported after hand-over.
	FaultUpstreamFailure
)

// String returns the name of the fault as used in metrics and logs.
func (f Fault) String() string {
	return [...]string{"none", "late", "crossed", "repeated", "missing", "cut", "count", "malformed", "upstream"}[f]
}

// Result is the result of one frame.
type Result struct {
	Verdict Verdict
	Fault   Fault
	// Cancel lists the other attempts that ran at the same time and lost.
	Cancel []core.AttemptID
}

// attempt is the state of one attempt.
type attempt struct {
	id   core.AttemptID
	next uint64
	open bool
}

// Response assembles the answer of one call. It is not safe for concurrent use.
type Response struct {
	attempts []attempt
	leader   int
	position uint32
	complete bool
}

// noLeader means that no attempt has delivered since the last one broke.
const noLeader = -1

// NewResponse returns an empty answer.
func NewResponse() *Response { return &Response{leader: noLeader} }

// AddAttempt registers a new attempt and returns the number of tokens that the
// caller already has, which the attempt must skip.
func (a *Response) AddAttempt(id core.AttemptID) (resumeFrom uint32) {
	a.attempts = append(a.attempts, attempt{id: id, open: true})
	return a.position
}

// Position returns the number of tokens delivered so far.
func (a *Response) Position() uint32 { return a.position }

// Complete reports whether the whole answer was delivered.
func (a *Response) Complete() bool { return a.complete }

// OpenAttempts returns the attempts that are still followed.
func (a *Response) OpenAttempts() []core.AttemptID {
	var ids []core.AttemptID
	for i := range a.attempts {
		if a.attempts[i].open {
			ids = append(ids, a.attempts[i].id)
		}
	}
	return ids
}

// Accept checks a frame that was received for this answer.
func (a *Response) Accept(f Frame) Result {
	i := a.find(f.Attempt)
	if i < 0 {
		return Result{Verdict: Ignore, Fault: FaultWrongCall}
	}
	at := &a.attempts[i]
	if !at.open {
		return Result{Verdict: Ignore, Fault: FaultLate}
	}
	if f.Seq < at.next {
		return Result{Verdict: Ignore, Fault: FaultDuplicate}
	}
	if f.Seq > at.next {
		return a.broken(i, FaultGap)
	}
	at.next++
	switch f.Kind {
	case KindToken:
		return a.token(i, f)
	case KindEnd:
		return a.end(i, f)
	case KindReject:
		return a.reject(i)
	case KindFailure:
		return a.broken(i, FaultUpstreamFailure)
	default:
		return a.broken(i, FaultMalformed)
	}
}

// CloseAttempt records that the stream of an attempt ended or was cancelled. A
// stream that ends while it is followed was cut.
func (a *Response) CloseAttempt(id core.AttemptID) Result {
	i := a.find(id)
	if i < 0 || !a.attempts[i].open {
		return Result{Verdict: Ignore}
	}
	return a.broken(i, FaultTruncated)
}

func (a *Response) find(id core.AttemptID) int {
	for i := range a.attempts {
		if a.attempts[i].id == id {
			return i
		}
	}
	return noLeader
}

func (a *Response) token(i int, f Frame) Result {
	if f.Position != a.position {
		return a.broken(i, FaultGap)
	}
	cancel := a.follow(i)
	a.position++
	return Result{Verdict: Deliver, Cancel: cancel}
}

func (a *Response) end(i int, f Frame) Result {
	if f.FrameCount != f.Seq || f.TokenCount != a.position {
		return a.broken(i, FaultCountMismatch)
	}
	cancel := a.follow(i)
	a.attempts[i].open = false
	a.complete = true
	return Result{Verdict: Complete, Cancel: cancel}
}

// reject accepts a rejection as proof only when it is the attempt's first
// frame; after that the attempt was handed over.
func (a *Response) reject(i int) Result {
	if a.attempts[i].next != 1 {
		return a.broken(i, FaultMalformed)
	}
	a.attempts[i].open = false
	return Result{Verdict: Rejected}
}

func (a *Response) broken(i int, fault Fault) Result {
	a.attempts[i].open = false
	if a.leader == i {
		a.leader = noLeader
	}
	return Result{Verdict: Broken, Fault: fault}
}

// follow makes the attempt the one whose frames count and returns the others.
func (a *Response) follow(i int) []core.AttemptID {
	if a.leader == i {
		return nil
	}
	a.leader = i
	var cancel []core.AttemptID
	for j := range a.attempts {
		if j != i && a.attempts[j].open {
			a.attempts[j].open = false
			cancel = append(cancel, a.attempts[j].id)
		}
	}
	return cancel
}
