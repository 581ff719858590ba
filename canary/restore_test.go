package canary_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
)

// rewritten returns inputs in which the rows of the rollout were written again after a
// restore of the store: the request has another row version, and the status is missing.
func rewritten(in canary.Inputs) canary.Inputs {
	requested := in.Rollouts[service]
	requested.RequestRowVersion = 3
	requested.Status = catalog.RolloutStatus{}
	in.Rollouts[service] = requested
	return in
}

// Guards against calls on a withdrawn version, and against a missing status, after the
// store has lost the request and its status and the operator has written the request
// again.
func TestFinalStateOfRolloutSurvivesRestore(t *testing.T) {
	cases := map[string]struct {
		state  catalog.RolloutState
		filter canary.Filter
	}{
		"rolled back": {catalog.RolloutRolledBack, canary.Filter{ExcludedVersion: "v2"}},
		"completed":   {catalog.RolloutCompleted, canary.Filter{RequiredVersion: "v2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			in := testInputs(1, 3)
			controller := newControllers(in)[0]
			requested := in.Rollouts[service]
			requested.Status = catalog.RolloutStatus{Service: service, Version: "v2", State: c.state}
			in.Rollouts[service] = requested
			controller.SetInputs(timeAt(0.5), in)
			require.Empty(t, controller.PendingUpdates(timeAt(0.5)))

			controller.SetInputs(timeAt(0.6), rewritten(in))
			require.Equal(t, c.filter, controller.FilterFor(timeAt(0.6), service, 1))
			updates := controller.PendingUpdates(timeAt(0.6))
			require.Len(t, updates, 1)
			require.Equal(t, c.state, updates[0].State)
		})
	}
}

// Guards against a cutover that starts anew, and so comes too late, after a restore.
func TestRolloutContinuesAfterRestore(t *testing.T) {
	in := testInputs(1, 3)
	controller := newControllers(in)[0]
	controller.SetInputs(timeAt(0.8), rewritten(in))
	require.Equal(t, canary.Filter{RequiredVersion: "v2"}, controller.FilterFor(timeAt(0.9), service, 1))
}
