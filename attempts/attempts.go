// Package attempts carries a call through its attempts: it keeps what is known
// of each of them, decides whether the call is sent again, and says how the
// call has ended. How an upstream is chosen and how messages are encoded is
// left to the Path of an interface.
package attempts

import (
	"context"
	"errors"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Rules bound the attempts of one call.
type Rules struct {
	// Repeatable calls may run more than once. Others are sent again only on
	// proof that no attempt has run.
	Repeatable bool
	// MaxRuns bounds the attempts that may have run, MaxSends all attempts. Both
	// count the first one.
	MaxRuns  int
	MaxSends int
	// Deadline is when the answer is of no more use; zero means never.
	Deadline time.Time
	// MinLeft is the least time that an attempt needs.
	MinRemaining time.Duration
}

// Denial is why a call is not sent again.
type Denial uint8

// Denials.
const (
	// Allowed means that the call may be sent again.
	Allowed Denial = iota
	// DeniedFinal means that the last answer is the caller's.
	DeniedFinal
	// DeniedRan means that the call may have run and is not repeatable.
	DeniedMayHaveRun
	// DeniedAttempts means that all attempts are used.
	DeniedAttempts
	// DeniedDeadline means that too little time is left, or that the caller left.
	DeniedDeadline
	// DeniedPlace means that there is no upstream for a further attempt.
	DeniedNoUpstream
)

// String returns the name of the denial as used in metrics and logs.
func (d Denial) String() string {
	return [...]string{"allowed", "final", "may_have_run", "attempts", "deadline", "no_upstream"}[d]
}

// Result is what one attempt has come to.
type Result struct {
	Outcome core.Outcome
	// Final is set when no further attempt may follow, whatever the outcome.
	Final bool
}

// Path places and sends the attempts of one call.
type Sender interface {
	// Place gets an upstream for the next attempt; before is the number of earlier
	// ones. An error ends the call.
	Place(ctx context.Context, before int) error
	// Send sends the attempt to the upstream that was placed last and relays what
	// it answers.
	Send(ctx context.Context) Result
}

// Cause is what ended a call without an answer.
type Cause uint8

// Causes.
const (
	// Answered means that the caller has its answer.
	Responded Cause = iota
	// CallerLeft means that the caller does not wait any more.
	CallerCanceled
	// NotRun means that no attempt has run, which is proved for each.
	NotRun
	// Late means that the deadline came, and that the call may have run.
	DeadlineExceeded
	// Failed means that no further attempt is allowed, and that the call may have
	// run.
	Failed
)

// Ending is how a call has ended.
type CallResult struct {
	Cause Cause
	// Outcome is what is known about the call.
	Outcome core.Outcome
	// Denial is why no further attempt followed.
	Denial Denial
	// Err is the error of placing when Denial is DeniedPlace.
	Err error
}

// Run places and sends a call until it is answered or may not be sent again.
func Run(ctx context.Context, rules Rules, path Sender) CallResult {
	var outcomes []core.Outcome
	for {
		if err := path.Place(ctx, len(outcomes)); err != nil {
			return ending(ctx, outcomes, DeniedNoUpstream, err)
		}
		result := path.Send(ctx)
		outcomes = append(outcomes, result.Outcome)
		if denial := rules.again(ctx, time.Now(), outcomes, result); denial != Allowed {
			return ending(ctx, outcomes, denial, nil)
		}
	}
}

// again decides whether a call may be sent again after its last attempt.
func (r Rules) again(ctx context.Context, now time.Time, outcomes []core.Outcome, last Result) Denial {
	ran := 0
	for _, o := range outcomes {
		if !o.NotRun() {
			ran++
		}
	}
	switch {
	case last.Final || last.Outcome == core.Finished:
		return DeniedFinal
	case ctx.Err() != nil || !r.Deadline.IsZero() && r.Deadline.Sub(now) < r.MinRemaining:
		return DeniedDeadline
	case ran > 0 && !r.Repeatable:
		return DeniedMayHaveRun
	case len(outcomes) >= r.MaxSends || ran > 0 && ran >= r.MaxRuns:
		return DeniedAttempts
	}
	return Allowed
}

func ending(ctx context.Context, outcomes []core.Outcome, denial Denial, err error) CallResult {
	e := CallResult{Outcome: Combine(outcomes), Denial: denial, Err: err}
	switch {
	case e.Outcome == core.Finished:
		e.Cause = Responded
	case errors.Is(ctx.Err(), context.Canceled):
		e.Cause = CallerCanceled
	case e.Outcome.NotRun():
		e.Cause = NotRun
	case ctx.Err() != nil:
		e.Cause = DeadlineExceeded
	default:
		e.Cause = Failed
	}
	return e
}

// Combine returns the outcome of a call from those of its attempts. The call is
// proved not to have run only when this is proved for every attempt.
func Combine(attempts []core.Outcome) core.Outcome {
	result := core.NeverDispatched
	for _, o := range attempts {
		if rank(o) > rank(result) {
			result = o
		}
	}
	return result
}

// rank orders outcomes by what they decide about the call. A value that is not
// an outcome proves nothing and ranks as Unknown.
func rank(o core.Outcome) int {
	switch o {
	case core.NeverDispatched:
		return 0
	case core.Rejected:
		return 1
	case core.Started:
		return 3
	case core.Finished:
		return 4
	default:
		return 2
	}
}
