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
	// Finished means that the call ran and the row contains its response.
	Finished
)

// RequestDigest identifies the content of a request. It detects the reuse of an
// idempotency key for a different request.
type RequestDigest [32]byte

// Response is the response of the run of a call. Replays return it again.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyObject is the name of the object in the platform's object store that
	// contains the body, if the row does not contain it.
	BodyObject string
}

// Row is the content of a call's row in the platform's table.
type Row struct {
	State         State
	Owner         Owner
	Attempt       core.AttemptID
	RequestDigest RequestDigest
	Response      Response
}

// Decision states whether an attempt may claim its call, and otherwise why not.
type Decision uint8

// Decisions about an attempt.
const (
	// MayClaim means that the attempt may claim the call.
	MayClaim Decision = iota + 1
	// Replay means that the response of the run is available and is returned again.
	Replay
	// InProgress means that an attempt of this incarnation is in progress.
	InProgress
	// MayHaveRun means that an earlier attempt may have run the call.
	MayHaveRun
	// Mismatch means that the idempotency key was used for a different request.
	Mismatch
	// ReleasePending means that the claim is being released. This attempt ends, and
	// a later one may claim the call.
	ReleasePending
)

// Decide returns the decision of the process self about an attempt, given the
// call's row. The process must not have the call in memory in phase Running or
// Storing. Under this condition, a claim by self in the row means that the call has
// not run: a call runs only after it has entered phase Running, and it then remains
// in memory until its result is in the row.
func Decide(row Row, self Owner, request RequestDigest) Decision {
	if row.State == Absent || row.State == Released {
		return MayClaim
	}
	if row.RequestDigest != request {
		return Mismatch
	}
	switch {
	case row.State == Finished:
		return Replay
	case row.State == Claimed && row.Owner == self:
		return MayClaim
	default:
		return MayHaveRun
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
	// Storing means that the result is available and is not yet in the table. The
	// result is a response, a release or a loss.
	Storing
	// Ended means that the result is in the table, or that the row belongs to
	// another owner.
	Ended
)

// Call is the in-memory state of a call in the process that claims it.
type Call struct {
	phase     Phase
	abandoned bool
	version   uint64
	row       Row
}

// NewCall returns a call whose claim has not been written.
func NewCall(self Owner, attempt core.AttemptID, request RequestDigest) *Call {
	return &Call{
		phase: Claiming,
		row:   Row{State: Claimed, Owner: self, Attempt: attempt, RequestDigest: request},
	}
}

// Phase returns the progress of the call.
func (c *Call) Phase() Phase { return c.phase }

// Row returns the content to write to the row.
func (c *Call) Row() Row { return c.row }

// Version returns the row version that the next write must replace.
func (c *Call) Version() uint64 { return c.version }

// Attempt returns the attempt that claims the call.
func (c *Call) Attempt() core.AttemptID { return c.row.Attempt }

// DecideDuplicate returns the decision about another attempt at a call in memory.
func (c *Call) DecideDuplicate(request RequestDigest) Decision {
	if c.row.RequestDigest != request {
		return Mismatch
	}
	switch c.row.State {
	case Finished:
		return Replay
	case Lost:
		return MayHaveRun
	case Released:
		return ReleasePending
	default:
		return InProgress
	}
}

// RecordClaimStored records that the claim is in the table. It reports whether the
// attempt may run. If the attempt was abandoned, the claim must be released.
func (c *Call) RecordClaimStored() (bool, error) {
	if err := c.requirePhase(Claiming); err != nil {
		return false, err
	}
	c.version++
	if c.abandoned {
		c.phase = Storing
		c.row.State = Released
		return false, nil
	}
	c.phase = Running
	return true, nil
}

// HandleClaimConflict handles a conflict: the conditional write of the claim failed
// because the row has the given content and version. It records the version and
// returns the decision about the attempt. MayClaim means that the caller must write
// the claim again over that row. After any other decision the caller must discard
// the call.
func (c *Call) HandleClaimConflict(row Row, version uint64) (Decision, error) {
	if err := c.requirePhase(Claiming); err != nil {
		return 0, err
	}
	c.version = version
	return Decide(row, c.row.Owner, c.row.RequestDigest), nil
}

// Abandon records that the attempt will not be sent to the upstream. It reports
// whether the caller must write the release. It returns an error if the result is
// already available.
func (c *Call) Abandon() (bool, error) {
	switch c.phase {
	case Claiming:
		c.abandoned = true
		return false, nil
	case Running:
		c.phase = Storing
		c.row.State = Released
		return true, nil
	}
	return false, c.requirePhase(Running)
}

// Finish records the response of the run.
func (c *Call) Finish(r Response) error {
	if err := c.requirePhase(Running); err != nil {
		return err
	}
	c.phase = Storing
	c.row.State = Finished
	c.row.Response = r
	return nil
}

// MarkLost records that the attempt was sent to the upstream and that its
// response is unknown.
func (c *Call) MarkLost() error {
	if err := c.requirePhase(Running); err != nil {
		return err
	}
	c.phase = Storing
	c.row.State = Lost
	return nil
}

// RecordResultStored records that the result is in the table.
func (c *Call) RecordResultStored() error {
	if err := c.requirePhase(Storing); err != nil {
		return err
	}
	c.version++
	c.phase = Ended
	return nil
}

// HandleResultConflict handles a conflict: the conditional write of the result
// failed because the row has the given content and version. It reports whether the
// caller must write the result again over that row. Otherwise the call has ended:
// the row either contains the result already or belongs to another owner.
func (c *Call) HandleResultConflict(row Row, version uint64) (bool, error) {
	if err := c.requirePhase(Storing); err != nil {
		return false, err
	}
	sameAttempt := row.Owner == c.row.Owner && row.Attempt == c.row.Attempt
	if row.State == Claimed && sameAttempt {
		c.version = version
		return true, nil
	}
	c.phase = Ended
	return false, nil
}

func (c *Call) requirePhase(p Phase) error {
	if c.phase == p {
		return nil
	}
	return errs.New(errs.Internal, "report this as a defect", "call is in phase %d, but the operation requires phase %d", c.phase, p)
}
