// Package claim decides whether an attempt at an at-most-once call may run. A
// call is claimed by a conditional write of its row before it runs, and its
// result is written to the same row. The package performs no I/O: the caller
// reads and writes the rows.
package claim

import (
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// Owner identifies the process that holds a claim: one incarnation of the agent
// of an upstream.
type Owner struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
}

// State is the state of a call as recorded in its row.
type State uint8

// States of a row.
const (
	// Absent means that the row does not exist.
	Absent State = iota
	// Claimed means that the owner may run the call, or has run it.
	Claimed
	// Released means that the owner claimed the call and did not run it.
	Released
	// Lost means that the owner sent the call to its upstream and did not receive
	// a complete response.
	Lost
	// Finished means that the row contains the first response.
	Finished
)

// RequestDigest identifies the content of a request. It detects the reuse of an
// idempotency key for a different request.
type RequestDigest [32]byte

// Response is the first response to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Object is the name of the object that contains the body when the row does
	// not contain it.
	Object string
}

// Record is the content of a call's row.
type Record struct {
	State    State
	Owner    Owner
	Attempt  core.AttemptID
	Request  RequestDigest
	Response Response
}

// Decision states whether an attempt may claim its call, and otherwise why not.
type Decision uint8

// Decisions about an attempt.
const (
	// MayClaim means that the attempt may claim the call.
	MayClaim Decision = iota + 1
	// Replay means that the first response is available and is returned again.
	Replay
	// InProgress means that an attempt of this incarnation is in progress.
	InProgress
	// Unknown means that an earlier attempt may have run the call.
	Unknown
	// Mismatch means that the idempotency key was used for a different request.
	Mismatch
	// Wait means that the row is about to be released. A later attempt may claim
	// the call.
	Wait
)

// Decide returns the decision about an attempt from the call's row. The owner of
// the attempt must have no call with the same key in memory. Under this
// condition, a claim by the same incarnation has never run, because a call
// remains in memory from its claim until its result is in the row.
func Decide(row Record, self Owner, request RequestDigest) Decision {
	if row.State == Absent || row.State == Released {
		return MayClaim
	}
	if row.Request != request {
		return Mismatch
	}
	switch {
	case row.State == Finished:
		return Replay
	case row.State == Claimed && row.Owner == self:
		return MayClaim
	default:
		return Unknown
	}
}

// Phase is the progress of a call in memory.
type Phase uint8

// Phases of a call.
const (
	// Claiming means that the write of the claim has not been confirmed.
	Claiming Phase = iota + 1
	// Running means that the claim is in the table and the attempt may be sent to
	// the upstream.
	Running
	// Storing means that the result has been determined and is not yet in the
	// table.
	Storing
	// Stored means that the result is in the table.
	Stored
)

// Call is the in-memory state of a call in the process that claims it.
type Call struct {
	phase     Phase
	abandoned bool
	version   uint64
	record    Record
}

// NewCall returns a call whose claim has not been written.
func NewCall(self Owner, attempt core.AttemptID, request RequestDigest) *Call {
	return &Call{
		phase:  Claiming,
		record: Record{State: Claimed, Owner: self, Attempt: attempt, Request: request},
	}
}

// Phase returns the progress of the call.
func (c *Call) Phase() Phase { return c.phase }

// Record returns the content that the row should have.
func (c *Call) Record() Record { return c.record }

// Version returns the row version that the next write must replace.
func (c *Call) Version() uint64 { return c.version }

// Attempt returns the attempt that claims the call.
func (c *Call) Attempt() core.AttemptID { return c.record.Attempt }

// DecideDuplicate returns the decision about another attempt at a call in memory.
func (c *Call) DecideDuplicate(request RequestDigest) Decision {
	if c.record.Request != request {
		return Mismatch
	}
	switch c.record.State {
	case Finished:
		return Replay
	case Lost:
		return Unknown
	case Released:
		return Wait
	default:
		return InProgress
	}
}

// ClaimStored records that the claim is in the table. It reports whether the
// attempt may run. If the attempt was abandoned, the claim must be released.
func (c *Call) ClaimStored() (bool, error) {
	if err := c.requirePhase(Claiming); err != nil {
		return false, err
	}
	c.version++
	if c.abandoned {
		c.phase = Storing
		c.record.State = Released
		return false, nil
	}
	c.phase = Running
	return true, nil
}

// ClaimConflict records the row that made the conditional write of the claim
// fail. MayClaim means that the caller must write the claim again over that row.
// Every other decision ends the call.
func (c *Call) ClaimConflict(row Record, version uint64) (Decision, error) {
	if err := c.requirePhase(Claiming); err != nil {
		return 0, err
	}
	c.version = version
	return Decide(row, c.record.Owner, c.record.Request), nil
}

// Abandon records that the attempt will not be sent to the upstream. It reports
// whether the caller must write the release.
func (c *Call) Abandon() (bool, error) {
	switch c.phase {
	case Claiming:
		c.abandoned = true
		return false, nil
	case Running:
		c.phase = Storing
		c.record.State = Released
		return true, nil
	}
	return false, c.requirePhase(Running)
}

// Finish records the first response.
func (c *Call) Finish(r Response) error {
	if err := c.requirePhase(Running); err != nil {
		return err
	}
	c.phase = Storing
	c.record.State = Finished
	c.record.Response = r
	return nil
}

// MarkLost records that the attempt was sent to the upstream and that its
// response is unknown.
func (c *Call) MarkLost() error {
	if err := c.requirePhase(Running); err != nil {
		return err
	}
	c.phase = Storing
	c.record.State = Lost
	return nil
}

// ResultStored records that the result is in the table.
func (c *Call) ResultStored() error {
	if err := c.requirePhase(Storing); err != nil {
		return err
	}
	c.version++
	c.phase = Stored
	return nil
}

// ResultConflict records the row that made the conditional write of the result
// fail, and reports whether the caller must write the result again over that
// row. Otherwise the call has ended: the row either contains the result already
// or belongs to another owner.
func (c *Call) ResultConflict(row Record, version uint64) (bool, error) {
	if err := c.requirePhase(Storing); err != nil {
		return false, err
	}
	sameAttempt := row.Owner == c.record.Owner && row.Attempt == c.record.Attempt
	if row.State == Claimed && sameAttempt {
		c.version = version
		return true, nil
	}
	c.phase = Stored
	return false, nil
}

func (c *Call) requirePhase(p Phase) error {
	if c.phase == p {
		return nil
	}
	return errs.New(errs.Internal, "report this as a defect", "claim is in phase %d, expected phase %d", c.phase, p)
}
