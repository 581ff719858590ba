package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/clock"
)

// Guards against a process that goes on with knowledge from before its VM was
// suspended.
func TestWatchNoticesSuspension(t *testing.T) {
	var w clock.SuspensionDetector
	require.Zero(t, w.Suspended(time.Hour, time.Second), "the clocks start apart")
	require.Zero(t, w.Suspended(time.Hour+5*time.Second, 6*time.Second))
	require.Zero(t, w.Suspended(time.Hour+6*time.Second+50*time.Millisecond, 7*time.Second))
	require.Equal(t, 3*time.Second, w.Suspended(time.Hour+10*time.Second+50*time.Millisecond, 8*time.Second))
	require.Zero(t, w.Suspended(time.Hour+11*time.Second+50*time.Millisecond, 9*time.Second))
}
