package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/retry"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against calls that failed together and are retried at the same time, and
// against delays that grow without bound.
func TestDelayGrowsWithJitter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := retry.Backoff{Initial: 10 * time.Millisecond, Max: 50 * time.Millisecond}
	for previous, mean := range []time.Duration{0, 10, 20, 40, 50, 50} {
		if previous == 0 {
			continue
		}
		mean *= time.Millisecond
		seen := make(map[time.Duration]bool)
		for range 100 {
			d := b.Delay(previous, random)
			require.GreaterOrEqual(t, d, mean/2)
			require.Less(t, d, mean*3/2)
			seen[d] = true
		}
		require.Greater(t, len(seen), 50)
	}
	require.Zero(t, retry.Backoff{}.Delay(3, random))
}

// Guards against a denied retry that reduces the budget, and against more retries
// than the budget contains.
func TestBudgetGrantsAvailableRetries(t *testing.T) {
	budget := retry.NewBudget(retry.BudgetOptions{Burst: 5})
	for available := 5; available > 0; available-- {
		require.InDelta(t, float64(available), budget.Available(start), 1e-9)
		require.True(t, budget.Take(start))
	}
	require.False(t, budget.Take(start))
	require.InDelta(t, 0, budget.Available(start), 1e-9)
}

// Guards against retries that multiply the load of an overloaded system.
func TestBudgetBoundsRetries(t *testing.T) {
	budget := retry.NewBudget(retry.DefaultBudgetOptions())
	retries := 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		budget.RecordCall(now)
		if budget.Take(now) { // every call fails once
			retries++
		}
	}
	require.InDelta(t, 20+1000+10, retries, 2) // burst, share of calls, 10 seconds at 1 per second
}
