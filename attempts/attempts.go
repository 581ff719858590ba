// Package attempts runs the attempts of a call. It records the outcome of each
// attempt, decides whether the call is retried and returns the result of the
// call. The code for each client protocol implements Sender, which selects the
// upstreams and encodes the messages.
package attempts

import (
	"context"
	"errors"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Rules bound the attempts of one call.
type Rules struct {
	// Repeatable calls may run more than once. Other calls are retried only with
	// proof that no attempt has run.
	Repeatable bool
	// MaxRuns is the maximum number of attempts that may have run, MaxSends the
	// maximum number of all attempts. Both include the first attempt.
	MaxRuns  int
	MaxSends int
	// Deadline is the time after which the response is useless. Zero means no
	// deadline.
	Deadline time.Time
	// MinRemaining is the minimum time until the deadline with which a call is
	// retried.
	MinRemaining time.Duration
}

// Denial is the reason why a call is not retried.
type Denial uint8

// Denials.
const (
	// Allowed means that the call may be retried.
	Allowed Denial = iota
	// DeniedFinal means that the result of the last attempt is final.
	DeniedFinal
	// DeniedMayHaveRun means that the call may have run and is not repeatable.
	DeniedMayHaveRun
	// DeniedNoAttemptsLeft means that all attempts are used.
	DeniedNoAttemptsLeft
	// DeniedNoTimeOrCanceled means that too little time remains or that the caller
	// canceled the call.
	DeniedNoTimeOrCanceled
	// DeniedPlacement means that Sender.Place returned an error, because no upstream
	// could be selected for the next attempt.
	DeniedPlacement
)

// String returns the name of the denial as used in metrics and logs.
func (d Denial) String() string {
	return [...]string{"allowed", "final", "may_have_run", "attempts", "deadline", "no_upstream"}[d]
}

// Result is the result of one attempt.
type Result struct {
	Outcome core.Outcome
	// Final is set when no further attempt may follow, whatever the outcome.
	Final bool
}

// Sender places and sends the attempts of one call.
type Sender interface {
	// Place selects an upstream for the next attempt. previous is the number of
	// previous attempts. An error ends the call.
	Place(ctx context.Context, previous int) error
	// Send sends the attempt to the upstream that Place selected last and forwards
	// its response.
	Send(ctx context.Context) Result
}

// Cause is the reason why a call has ended.
type Cause uint8

// Causes.
const (
	// Responded means that the caller has received its response.
	Responded Cause = iota
	// CallerCanceled means that the caller no longer waits for a response: the cause of
	// the context is context.Canceled.
	CallerCanceled
	// NotRun means that every attempt is proved not to have run.
	NotRun
	// DeadlineExceeded means that the deadline has passed and that the call may have
	// run.
	DeadlineExceeded
	// Failed means that no further attempt is allowed and that the call may have
	// run.
	Failed
)

// CallResult is the result of a call.
type CallResult struct {
	Cause Cause
	// Outcome is the combined outcome of all attempts.
	Outcome core.Outcome
	// Denial is the reason why no further attempt was made.
	Denial Denial
	// Err is the error of Sender.Place when Denial is DeniedPlacement.
	Err error
}

// Run places and sends a call until the caller has received a response or no
// further attempt is allowed.
func Run(ctx context.Context, rules Rules, sender Sender) CallResult {
	var outcomes []core.Outcome
	for {
		if err := sender.Place(ctx, len(outcomes)); err != nil {
			return newCallResult(ctx, outcomes, DeniedPlacement, err)
		}
		result := sender.Send(ctx)
		outcomes = append(outcomes, result.Outcome)
		if denial := rules.checkRetry(ctx, time.Now(), outcomes, result); denial != Allowed {
			return newCallResult(ctx, outcomes, denial, nil)
		}
	}
}

// checkRetry decides whether a call may be retried after its last attempt.
func (r Rules) checkRetry(ctx context.Context, now time.Time, outcomes []core.Outcome, last Result) Denial {
	ran := 0
	for _, o := range outcomes {
		if !o.ProvesNotRun() {
			ran++
		}
	}
	switch {
	case last.Final || last.Outcome == core.OutcomeFinished:
		return DeniedFinal
	case ctx.Err() != nil || !r.Deadline.IsZero() && r.Deadline.Sub(now) < r.MinRemaining:
		return DeniedNoTimeOrCanceled
	case ran > 0 && !r.Repeatable:
		return DeniedMayHaveRun
	case len(outcomes) >= r.MaxSends || ran > 0 && ran >= r.MaxRuns:
		return DeniedNoAttemptsLeft
	}
	return Allowed
}

func newCallResult(ctx context.Context, outcomes []core.Outcome, denial Denial, err error) CallResult {
	e := CallResult{Outcome: Combine(outcomes), Denial: denial, Err: err}
	switch {
	case e.Outcome == core.OutcomeFinished:
		e.Cause = Responded
	case errors.Is(context.Cause(ctx), context.Canceled):
		e.Cause = CallerCanceled
	case e.Outcome.ProvesNotRun():
		e.Cause = NotRun
	case ctx.Err() != nil:
		e.Cause = DeadlineExceeded
	default:
		e.Cause = Failed
	}
	return e
}

// Combine returns the outcome of a call from the outcomes of its attempts. The
// call is proved not to have run only when this is proved for every attempt.
func Combine(outcomes []core.Outcome) core.Outcome {
	result := core.OutcomeNeverDispatched
	for _, o := range outcomes {
		if rank(o) > rank(result) {
			result = o
		}
	}
	return result
}

// rank returns the precedence of an attempt's outcome in the outcome of the call.
// An undefined value proves nothing and ranks as OutcomeUnknown.
func rank(o core.Outcome) int {
	switch o {
	case core.OutcomeNeverDispatched:
		return 0
	case core.OutcomeRejected:
		return 1
	case core.OutcomeStarted:
		return 3
	case core.OutcomeFinished:
		return 4
	default:
		return 2
	}
}
