package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/retry"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against calls that failed together and come back together, and against
// delays that grow without bound.
func TestDelaysGrowAndScatter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := retry.Backoff{Initial: 10 * time.Millisecond, Max: 50 * time.Millisecond}
	for before, mean := range []time.Duration{0, 10, 20, 40, 50, 50} {
		if before == 0 {
			continue
		}
		mean *= time.Millisecond
		seen := make(map[time.Duration]bool)
		for range 100 {
			d := b.Delay(before, random)
			require.GreaterOrEqual(t, d, mean/2)
			require.Less(t, d, mean*3/2)
			seen[d] = true
		}
		require.Greater(t, len(seen), 50)
	}
	require.Zero(t, retry.Backoff{}.Delay(3, random))
}

// Guards against a denial that spends from the budget, and against more retries
// than the budget holds.
func TestBudgetGivesWhatItHolds(t *testing.T) {
	budget := retry.NewBudget(retry.BudgetOptions{Burst: 5})
	for left := 5; left > 0; left-- {
		require.InDelta(t, float64(left), budget.Available(start), 1e-9)
		require.True(t, budget.Take(start))
	}
	require.False(t, budget.Take(start))
	require.InDelta(t, 0, budget.Available(start), 1e-9)
}

// Guards against retries that multiply the load of an overloaded system.
func TestBudgetBoundsRetries(t *testing.T) {
	budget := retry.NewBudget(retry.DefaultBudget())
	retries := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		budget.RecordCall(now)
		if budget.Take(now) { // every call fails once
			retries++
		}
	}
	require.InDelta(t, 20+1000+10, retries, 2) // burst, share of calls, ten seconds
}
