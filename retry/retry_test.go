package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/retry"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against "not run" said of a call of which one attempt may have run.
func TestCombine(t *testing.T) {
	const (
		n, r, s, f, u = core.NeverDispatched, core.Rejected, core.Started, core.Finished, core.Unknown
	)
	cases := []struct {
		attempts []core.Outcome
		want     core.Outcome
	}{
		{nil, n},
		{[]core.Outcome{n}, n},
		{[]core.Outcome{r, n}, r},
		{[]core.Outcome{r, r}, r},
		{[]core.Outcome{u, r}, u},
		{[]core.Outcome{r, u, n}, u},
		{[]core.Outcome{u, s}, s},
		{[]core.Outcome{s, f}, f},
		{[]core.Outcome{f, u, r}, f},
		{[]core.Outcome{r, 99}, 99},
	}
	for _, c := range cases {
		got := retry.Combine(c.attempts)
		require.Equal(t, c.want, got, "%v", c.attempts)
		proved := true
		for _, o := range c.attempts {
			proved = proved && o.NotRun()
		}
		require.Equal(t, proved, got.NotRun(), "%v", c.attempts)
	}
}

// Guards against a second run of a call that must not run twice, and against a
// retry without time, attempts or budget.
func TestRetry(t *testing.T) {
	cases := map[string]struct {
		kind     retry.Kind
		outcomes []core.Outcome // Started leaves the attempt running
		deadline time.Duration
		noBudget bool
		want     retry.Denial
	}{
		"prompt rejected":          {retry.Prompt, []core.Outcome{core.Rejected}, 0, false, retry.Allowed},
		"prompt cut":               {retry.Prompt, []core.Outcome{core.Unknown}, 0, false, retry.Allowed},
		"prompt running":           {retry.Prompt, []core.Outcome{core.Unknown, core.Started}, 0, false, retry.DeniedRunning},
		"prompt finished":          {retry.Prompt, []core.Outcome{core.Unknown, core.Finished}, 0, false, retry.DeniedRunning},
		"attempts used":            {retry.Prompt, []core.Outcome{1, 1, 1, 1}, 0, false, retry.DeniedAttempts},
		"no time":                  {retry.Prompt, []core.Outcome{core.Rejected}, time.Millisecond, false, retry.DeniedDeadline},
		"no budget":                {retry.Prompt, []core.Outcome{core.Rejected}, 0, true, retry.DeniedBudget},
		"idempotent rejected":      {retry.Idempotent, []core.Outcome{core.Rejected}, 0, false, retry.Allowed},
		"idempotent unknown":       {retry.Idempotent, []core.Outcome{core.Unknown}, 0, false, retry.DeniedHandedOver},
		"idempotent unknown first": {retry.Idempotent, []core.Outcome{core.Unknown, core.Rejected}, 0, false, retry.DeniedHandedOver},
		"non-idempotent rejected":  {retry.NonIdempotent, []core.Outcome{core.Rejected}, 0, false, retry.DeniedKind},
		"non-idempotent unknown":   {retry.NonIdempotent, []core.Outcome{core.Unknown}, 0, false, retry.DeniedKind},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var deadline time.Time
			if c.deadline > 0 {
				deadline = start.Add(c.deadline)
			}
			call := retry.NewCall(c.kind, core.Urgent, deadline, retry.Defaults())
			for i, o := range c.outcomes {
				id := core.AttemptID(fmt.Sprint(i))
				call.Begin(start, id)
				if o != core.Started {
					call.End(id, o)
				}
			}
			burst := 5.0
			if c.noBudget {
				burst = 0
			}
			budget := retry.NewBudget(retry.BudgetOptions{Burst: burst})
			delay, denial := call.Retry(start, budget, rand.New(rand.NewPCG(1, 2)))
			require.Equal(t, c.want.String(), denial.String())
			if denial == retry.Allowed {
				require.Positive(t, delay)
				burst--
			}
			require.InDelta(t, burst, budget.Left(start), 1e-9, "a denial costs nothing")
		})
	}
}

// Guards against a hedge that runs twice, too early or for calls that may not
// run twice, and against a loser that goes on running.
func TestHedge(t *testing.T) {
	budget := retry.NewBudget(retry.DefaultBudget())
	opts := retry.Defaults()
	due := start.Add(opts.HedgeAfter)
	call := retry.NewCall(retry.Prompt, core.Urgent, time.Time{}, opts)
	call.Begin(start, "a")
	require.Equal(t, due, call.HedgeDue())
	require.Equal(t, retry.DeniedNotDue, call.Hedge(due.Add(-1), budget))
	require.Equal(t, retry.Allowed, call.Hedge(due, budget))
	call.Begin(due, "b")
	require.Equal(t, retry.DeniedNotDue, call.Hedge(due, budget))
	require.Equal(t, []core.AttemptID{"a"}, call.Answered("b"))
	call.End("a", core.Started)
	require.Equal(t, core.Started, call.Outcome())
	call.End("b", core.Finished)
	require.Equal(t, core.Finished, call.Outcome())

	for _, kind := range []retry.Kind{retry.Idempotent, retry.NonIdempotent} {
		call := retry.NewCall(kind, core.Urgent, time.Time{}, opts)
		call.Begin(start, "a")
		require.Equal(t, retry.DeniedKind, call.Hedge(due, budget))
	}
	call = retry.NewCall(retry.Prompt, core.Deferrable, time.Time{}, opts)
	call.Begin(start, "a")
	require.Equal(t, retry.DeniedNotDue, call.Hedge(due, budget))
}

// Guards against retries that multiply the load of an overloaded system.
func TestBudgetBoundsRetries(t *testing.T) {
	budget := retry.NewBudget(retry.DefaultBudget())
	retries := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		budget.Call(now)
		if budget.Take(now) { // every call fails once
			retries++
		}
	}
	require.InDelta(t, 20+1000+10, retries, 2) // burst, share of calls, ten seconds
}
