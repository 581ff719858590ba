package dev

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
)

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// Guards against parts that no longer work together: the whole system serves
// prompts and records, while an entry stops as planned and another crashes,
// without breaking an invariant.
func TestRunServesThroughRestarts(t *testing.T) {
	summary, err := Run(t.Context(), Options{
		For: 3 * time.Second, Seed: 3, Deployment: "a", Faults: []string{"entry-restart"}, Log: quiet(),
	})
	require.NoError(t, err)
	require.Positive(t, summary.Prompts)
	require.Positive(t, summary.Records)
	require.Positive(t, summary.Lookups)
	require.Zero(t, summary.FaultErrors)
	require.Zero(t, summary.Counters)
}

// Guards against a run without the fault or the deployment that was asked for.
func TestUnknownNamesAreRefused(t *testing.T) {
	_, err := Run(t.Context(), Options{For: time.Second, Deployment: "a", Faults: []string{"meteor"}, Log: quiet()})
	require.True(t, errs.Is(err, errs.Invalid))
	require.ErrorContains(t, err, "store-outage")
	_, err = Run(t.Context(), Options{For: time.Second, Deployment: "c", Log: quiet()})
	require.True(t, errs.Is(err, errs.Invalid))
}

// Guards against a workload that differs between runs with one seed, and
// against a number that the engines' observer cannot find again.
func TestWorkloadIsSeeded(t *testing.T) {
	for _, name := range []string{"a", "b"} {
		d, err := loadDeployment(name)
		require.NoError(t, err)
		items := workload(d, time.Second, 9, true)
		require.Equal(t, items, workload(d, time.Second, 9, true))
		require.NotEqual(t, items, workload(d, time.Second, 10, true))
		for _, item := range items {
			if item.kind == kindPrompt {
				require.Equal(t, item.number, numberOf(item.prompt))
			}
		}
	}
}
