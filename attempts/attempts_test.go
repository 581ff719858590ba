package attempts_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/attempts"
	"waxwingtide.example/waxwingtide/core"
)

const (
	never    = core.OutcomeNeverDispatched
	rejected = core.OutcomeRejected
	started  = core.OutcomeStarted
	finished = core.OutcomeFinished
	unknown  = core.OutcomeUnknown
)

// Guards against reporting a call as not run when one of its attempts may have
// run.
func TestCombine(t *testing.T) {
	cases := []struct {
		attempts []core.Outcome
		want     core.Outcome
	}{
		{nil, never},
		{[]core.Outcome{never}, never},
		{[]core.Outcome{rejected, never}, rejected},
		{[]core.Outcome{rejected, rejected}, rejected},
		{[]core.Outcome{unknown, rejected}, unknown},
		{[]core.Outcome{rejected, unknown, never}, unknown},
		{[]core.Outcome{unknown, started}, started},
		{[]core.Outcome{started, finished}, finished},
		{[]core.Outcome{finished, unknown, rejected}, finished},
		{[]core.Outcome{rejected, 99}, 99},
	}
	for _, c := range cases {
		got := attempts.Combine(c.attempts)
		require.Equal(t, c.want, got, "%v", c.attempts)
		proved := true
		for _, o := range c.attempts {
			proved = proved && o.ProvesNotRun()
		}
		require.Equal(t, proved, got.ProvesNotRun(), "%v", c.attempts)
	}
}

// scriptedSender is a sender whose attempts have the given outcomes.
type scriptedSender struct {
	outcomes []core.Outcome
	// finalAttempt is the number of the attempt that is final, 0 for none.
	finalAttempt int
	// onSend is called with the number of each attempt.
	onSend func(n int)
	sent   int
}

var errNoUpstream = errors.New("no upstream")

func (s *scriptedSender) Place(_ context.Context, previous int) error {
	if previous == len(s.outcomes) {
		return errNoUpstream
	}
	return nil
}

func (s *scriptedSender) Send(context.Context) attempts.Result {
	s.sent++
	if s.onSend != nil {
		s.onSend(s.sent)
	}
	return attempts.Result{Outcome: s.outcomes[s.sent-1], Final: s.sent == s.finalAttempt}
}

// Guards against a second run of a call that may run only once, against more
// attempts than the rules allow, and against a call result that states less or
// more than the attempts prove.
func TestRun(t *testing.T) {
	const notRepeatable, repeatable = false, true
	cases := map[string]struct {
		repeatable   bool
		maxRuns      int
		outcomes     []core.Outcome
		finalAttempt int
		sent         int
		cause        attempts.Cause
		denial       attempts.Denial
		outcome      core.Outcome
	}{
		"response": {notRepeatable, 1, []core.Outcome{finished, finished}, 0, 1, attempts.Responded, attempts.DeniedFinal, finished},
		"not repeatable, rejected, then response": {notRepeatable, 1, []core.Outcome{rejected, never, finished}, 0, 3, attempts.Responded, attempts.DeniedFinal, finished},
		"not repeatable, may have run":            {notRepeatable, 3, []core.Outcome{unknown, finished}, 0, 1, attempts.Failed, attempts.DeniedMayHaveRun, unknown},
		"not repeatable, started":                 {notRepeatable, 3, []core.Outcome{started, finished}, 0, 1, attempts.Failed, attempts.DeniedMayHaveRun, started},
		"not repeatable, undefined outcome":       {notRepeatable, 3, []core.Outcome{99, finished}, 0, 1, attempts.Failed, attempts.DeniedMayHaveRun, 99},
		"not repeatable, rejected, then run":      {notRepeatable, 3, []core.Outcome{rejected, unknown, finished}, 0, 2, attempts.Failed, attempts.DeniedMayHaveRun, unknown},
		"repeatable, retried":                     {repeatable, 2, []core.Outcome{unknown, finished}, 0, 2, attempts.Responded, attempts.DeniedFinal, finished},
		"repeatable, no runs left":                {repeatable, 2, []core.Outcome{unknown, unknown, finished}, 0, 2, attempts.Failed, attempts.DeniedNoAttemptsLeft, unknown},
		"repeatable, rejected between":            {repeatable, 2, []core.Outcome{unknown, rejected, finished}, 0, 3, attempts.Responded, attempts.DeniedFinal, finished},
		"no sends left":                           {repeatable, 9, []core.Outcome{rejected, rejected, rejected, rejected, finished}, 0, 4, attempts.NotRun, attempts.DeniedNoAttemptsLeft, rejected},
		"final":                                   {repeatable, 9, []core.Outcome{rejected, finished}, 1, 1, attempts.NotRun, attempts.DeniedFinal, rejected},
		"no upstream at all":                      {notRepeatable, 1, nil, 0, 0, attempts.NotRun, attempts.DeniedPlacement, never},
		"no upstream after a run":                 {repeatable, 3, []core.Outcome{unknown}, 0, 1, attempts.Failed, attempts.DeniedPlacement, unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedSender{outcomes: c.outcomes, finalAttempt: c.finalAttempt}
			got := attempts.Run(t.Context(), attempts.Rules{Repeatable: c.repeatable, MaxRuns: c.maxRuns, MaxSends: 4}, s)
			require.Equal(t, c.sent, s.sent)
			require.Equal(t, c.cause, got.Cause)
			require.Equal(t, c.denial.String(), got.Denial.String())
			require.Equal(t, c.outcome, got.Outcome)
			if c.denial == attempts.DeniedPlacement {
				require.ErrorIs(t, got.Err, errNoUpstream)
			}
		})
	}
}

// Guards against attempts for a caller that has canceled the call or whose
// deadline has passed, and against a deadline that hides that the call has not
// run.
func TestRunStopsWithContext(t *testing.T) {
	rules := attempts.Rules{Repeatable: true, MaxRuns: 9, MaxSends: 9}
	canceled, cancelCall := context.WithCancel(t.Context())
	s := &scriptedSender{outcomes: []core.Outcome{unknown, finished}, onSend: func(int) { cancelCall() }}
	got := attempts.Run(canceled, rules, s)
	require.Equal(t, attempts.CallerCanceled, got.Cause)
	require.Equal(t, attempts.DeniedNoTimeOrCanceled, got.Denial)
	require.Equal(t, 1, s.sent)

	for outcome, cause := range map[core.Outcome]attempts.Cause{unknown: attempts.DeadlineExceeded, rejected: attempts.NotRun} {
		expired, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		s = &scriptedSender{outcomes: []core.Outcome{outcome, finished}, onSend: func(int) { <-expired.Done() }}
		got = attempts.Run(expired, rules, s)
		cancel()
		require.Equal(t, cause, got.Cause)
		require.Equal(t, 1, s.sent)
	}

	rules.Deadline, rules.MinRemaining = time.Now().Add(time.Minute), time.Hour
	s = &scriptedSender{outcomes: []core.Outcome{rejected, finished}}
	got = attempts.Run(t.Context(), rules, s)
	require.Equal(t, attempts.DeniedNoTimeOrCanceled, got.Denial, "an attempt requires more time than remains")
	require.Equal(t, 1, s.sent)
}
