package canary_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet/quota"
)

// Guards against the first calls on an unjudged version that each front sends as if it were
// alone, because all fronts join at once and have listed only themselves so far.
func TestFirstCallsAreBoundedWhileFrontsJoin(t *testing.T) {
	const fronts, participants, aboveCanaryShare = 27, 4, 0.59
	in := testInputs(fronts, 50)
	all, first := in.Fronts, 0
	in.Joins = true
	for _, node := range all {
		c := canary.New(node, share)
		for at := time.Duration(0); at < quota.ArrivalDelay+4*time.Second; at += 100 * time.Millisecond {
			in.Fronts = all
			if at < 800*time.Millisecond {
				in.Fronts = []core.NodeID{node}
			}
			c.SetInputs(start.Add(at), in)
			if filter := c.FilterFor(start.Add(at), service, aboveCanaryShare); filter.RequiredVersion != "" {
				c.RecordPlaced(newUpstream)
				first++
			}
		}
	}
	require.GreaterOrEqual(t, first, firstCalls-participants)
	require.LessOrEqual(t, first, firstCalls+participants)
}
