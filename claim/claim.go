// Package claim decides what may be done with a call that may run at most
// once. A call is claimed by a conditional write of its row before it runs, and
// its result is written to the same row. The package performs no I/O: the
// caller reads and writes the rows.
package claim

import (
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// Owner is one incarnation of the agent of an upstream.
type Owner struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
}

// State is what a row says about its call.
type State uint8

// States of a row.
const (
	// Absent means that there is no row.
	Absent State = iota
	// Claimed means that the owner may run the call, or has run it.
	Claimed
	// Released means that the owner claimed the call and did not run it.
	Released
	// Lost means that the owner handed the call over and got no whole answer.
	Lost
	// Finished means that the row holds the first answer.
	Finished
)

// RequestDigest identifies the content of a request, so that a key that is
// used again for another request is noticed.
type RequestDigest [32]byte

// Response is the first answer to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// Object names the object that holds the body when Body is not in the row.
	Object string
}

// Record is the content of a row.
type Record struct {
	State    State
	Owner    Owner
	Attempt  core.AttemptID
	Request  RequestDigest
	Response Response
}

// Decision is what an attempt may do.
type Decision uint8

// Decisions on an attempt.
const (
	// MayClaim means that the attempt may claim the call.
	MayClaim Decision = iota + 1
	// Replay means that the first answer is known.
	Replay
	// InProgress means that an attempt of this incarnation is under way.
	InProgress
	// Unknown means that an earlier attempt may have run.
	Unknown
	// Mismatch means that the key belongs to another request.
	Mismatch
	// Wait means that the row is about to change; a later attempt may take it.
	Wait
)

// Decide decides on an attempt from the row. The attempt's owner must have no
// call of the key in memory. Then a claim of the same incarnation was never
// run, because a call stays in memory from its claim until its result is in
// the row.
func Decide(row Record, me Owner, request RequestDigest) Decision {
	if row.State == Absent || row.State == Released {
		return MayClaim
	}
	if row.Request != request {
		return Mismatch
	}
	switch {
	case row.State == Finished:
		return Replay
	case row.State == Claimed && row.Owner == me:
		return MayClaim
	default:
		return Unknown
	}
}

// Phase is how far a call in memory has come.
type Phase uint8

// Phases of a call.
const (
	// Claiming means that the claim is not known to be in the table.
	Claiming Phase = iota + 1
	// Running means that the claim is in the table and the attempt may be handed
	// over.
	Running
	// Storing means that the result is known and not yet in the table.
	Storing
	// Stored means that the result is in the table.
	Stored
)

// Call is one call in the memory of the incarnation that claims it.
type Call struct {
	phase     Phase
	abandoned bool
	version   uint64
	record    Record
}

// NewCall returns a call whose claim has yet to be written.
func NewCall(me Owner, attempt core.AttemptID, request RequestDigest) *Call {
	return &Call{
		phase:  Claiming,
		record: Record{State: Claimed, Owner: me, Attempt: attempt, Request: request},
	}
}

// Phase returns how far the call has come.
func (c *Call) Phase() Phase { return c.phase }

// Record returns the content that the row should have.
func (c *Call) Record() Record { return c.record }

// Version returns the version of the row that the next write replaces.
func (c *Call) Version() uint64 { return c.version }

// Attempt returns the attempt that claims the call.
func (c *Call) Attempt() core.AttemptID { return c.record.Attempt }

// DecideDuplicate decides on a further attempt at a call in memory.
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
// attempt may run; when it was abandoned, the claim must be released.
func (c *Call) ClaimStored() (bool, error) {
	if err := c.require(Claiming); err != nil {
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

// ClaimConflict records the row that a claim met. MayClaim means that the claim is
// to be written again over that row; every other verdict ends the call.
func (c *Call) ClaimConflict(row Record, version uint64) (Decision, error) {
	if err := c.require(Claiming); err != nil {
		return 0, err
	}
	c.version = version
	return Decide(row, c.record.Owner, c.record.Request), nil
}

// Abandon records that the attempt will not be handed over. It reports whether
// the release has to be written.
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
	return false, c.require(Running)
}

// Finish records the first answer.
func (c *Call) Finish(a Response) error {
	if err := c.require(Running); err != nil {
		return err
	}
	c.phase = Storing
	c.record.State = Finished
	c.record.Response = a
	return nil
}

// MarkLost records that the attempt was handed over and its answer is not known.
func (c *Call) MarkLost() error {
	if err := c.require(Running); err != nil {
		return err
	}
	c.phase = Storing
	c.record.State = Lost
	return nil
}

// ResultStored records that the result is in the table.
func (c *Call) ResultStored() error {
	if err := c.require(Storing); err != nil {
		return err
	}
	c.version++
	c.phase = Stored
	return nil
}

// ResultConflict records the row that a result met and reports whether the
// result is to be written again over that row. Otherwise the call is over:
// either the row holds the result already or it belongs to another owner.
func (c *Call) ResultConflict(row Record, version uint64) (bool, error) {
	if err := c.require(Storing); err != nil {
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

func (c *Call) require(p Phase) error {
	if c.phase == p {
		return nil
	}
	return errs.New(errs.Internal, "report this as a defect", "claim is in phase %d and not in phase %d", c.phase, p)
}
