package retry

import (
	"math/rand/v2"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Kind says what a second attempt of a call may do.
type Kind uint8

// Kinds of call.
const (
	// Prompt may run again after hand-over, because the answer resumes at the
	// token position that it has reached.
	Prompt Kind = iota
	// Idempotent may be sent again while it is proved not to have run.
	Idempotent
	// NonIdempotent is sent once.
	NonIdempotent
)

// Options bound the attempts of one call.
type Options struct {
	// MaxAttempts counts the first attempt, retries and hedges.
	MaxAttempts int
	// Backoff is the mean delay before the first retry; it doubles with each
	// further one up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// HedgeAfter is how long an urgent prompt waits for its first token before a
	// second attempt runs beside the first.
	HedgeAfter time.Duration
}

// Defaults returns the options of the prompt path.
func Defaults() Options {
	return Options{
		MaxAttempts: 4,
		Backoff:     10 * time.Millisecond,
		MaxBackoff:  time.Second,
		HedgeAfter:  600 * time.Millisecond,
	}
}

// Denial is why a call is not sent again.
type Denial uint8

// Denials.
const (
	// Allowed means that the call may be sent again.
	Allowed Denial = iota
	// DeniedKind means that calls of this kind are never sent again.
	DeniedKind
	// DeniedHandedOver means that the call may have run.
	DeniedHandedOver
	// DeniedRunning means that an attempt is under way, or that the call is over.
	DeniedRunning
	// DeniedAttempts means that all attempts are used.
	DeniedAttempts
	// DeniedDeadline means that too little time is left.
	DeniedDeadline
	// DeniedBudget means that the entry's retry budget is empty.
	DeniedBudget
	// DeniedNotDue means that it is too early for a hedge, or that none is needed.
	DeniedNotDue
)

// String returns the name of the denial as used in metrics and logs.
func (d Denial) String() string {
	return [...]string{"allowed", "kind", "handed_over", "running", "attempts", "deadline", "budget", "not_due"}[d]
}

// attempt is one attempt of a call.
type attempt struct {
	id      core.AttemptID
	outcome core.Outcome
	over    bool
}

// Call keeps the attempts of one call. It is not safe for concurrent use.
type Call struct {
	kind     Kind
	class    core.Class
	deadline time.Time
	opts     Options
	attempts []attempt
	hedged   bool
	answered bool
	first    time.Time
}

// NewCall returns a call without attempts; a zero deadline means none.
func NewCall(kind Kind, class core.Class, deadline time.Time, opts Options) *Call {
	return &Call{kind: kind, class: class, deadline: deadline, opts: opts}
}

// Begin records that an attempt is about to be sent. From here on it may have
// run, until End gives proof that it did not.
func (c *Call) Begin(now time.Time, id core.AttemptID) {
	if c.running() == 0 {
		c.first = now
	}
	c.attempts = append(c.attempts, attempt{id: id, outcome: core.Started})
}

// End records what is known about an attempt that is over. An attempt that was
// started and did not finish is unknown.
func (c *Call) End(id core.AttemptID, outcome core.Outcome) {
	if outcome == core.Started {
		outcome = core.Unknown
	}
	for i := range c.attempts {
		if c.attempts[i].id == id && !c.attempts[i].over {
			c.attempts[i].outcome = outcome
			c.attempts[i].over = true
		}
	}
}

// Answered records that an attempt has begun to deliver and returns the other
// running attempts, which the caller cancels.
func (c *Call) Answered(id core.AttemptID) (cancel []core.AttemptID) {
	c.answered = true
	for _, a := range c.attempts {
		if a.id != id && !a.over {
			cancel = append(cancel, a.id)
		}
	}
	return cancel
}

// Outcome returns what is known about the call.
func (c *Call) Outcome() core.Outcome {
	outcomes := make([]core.Outcome, len(c.attempts))
	for i, a := range c.attempts {
		outcomes[i] = a.outcome
	}
	return Combine(outcomes)
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

// Retry decides whether the call may be sent again after its last attempt
// failed, and after which delay. It spends from the budget only when allowed.
func (c *Call) Retry(now time.Time, budget *Budget, random *rand.Rand) (time.Duration, Denial) {
	if denial := c.retryable(); denial != Allowed {
		return 0, denial
	}
	delay := c.backoff(random)
	if !c.deadline.IsZero() && !now.Add(delay).Before(c.deadline) {
		return 0, DeniedDeadline
	}
	if !budget.Take(now) {
		return 0, DeniedBudget
	}
	return delay, Allowed
}

func (c *Call) retryable() Denial {
	outcome := c.Outcome()
	switch {
	case c.kind == NonIdempotent:
		return DeniedKind
	case c.running() > 0 || outcome == core.Finished:
		return DeniedRunning
	case c.kind == Idempotent && !outcome.NotRun():
		return DeniedHandedOver
	case len(c.attempts) >= c.opts.MaxAttempts:
		return DeniedAttempts
	}
	return Allowed
}

// HedgeDue returns when Hedge may first allow a hedge, or zero for never.
func (c *Call) HedgeDue() time.Time {
	if c.kind != Prompt || c.class != core.Urgent || c.hedged || c.answered || c.running() != 1 {
		return time.Time{}
	}
	return c.first.Add(c.opts.HedgeAfter)
}

// Hedge decides whether a second attempt may run beside the first, which has
// not delivered a token. It spends from the budget only when allowed.
func (c *Call) Hedge(now time.Time, budget *Budget) Denial {
	due := c.HedgeDue()
	switch {
	case c.kind != Prompt:
		return DeniedKind
	case due.IsZero() || now.Before(due):
		return DeniedNotDue
	case len(c.attempts) >= c.opts.MaxAttempts:
		return DeniedAttempts
	case !c.deadline.IsZero() && !now.Before(c.deadline):
		return DeniedDeadline
	case !budget.Take(now):
		return DeniedBudget
	}
	c.hedged = true
	return Allowed
}

func (c *Call) running() int {
	n := 0
	for _, a := range c.attempts {
		if !a.over {
			n++
		}
	}
	return n
}

// backoff returns a random delay between half and one and a half of the mean,
// so that calls that failed together do not return together.
func (c *Call) backoff(random *rand.Rand) time.Duration {
	mean := c.opts.Backoff
	for range len(c.attempts) - 1 {
		mean = min(2*mean, c.opts.MaxBackoff)
	}
	return mean/2 + time.Duration(random.Int64N(int64(max(mean, 1))))
}

// Resend decides whether a call may be sent to another upstream after an
// attempt with the given outcome. A call that may run once only is sent again
// on proof that it has not run. ran is the number of upstreams that may have
// run the call, most the number that may run it.
func Resend(repeatable bool, last core.Outcome, ran, most int) bool {
	if last.NotRun() {
		return ran == 0 || repeatable && ran < most
	}
	return repeatable && ran < most
}
