package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/clock"
)

// Guards against a suspension that is not detected, and against a small difference
// between the clocks that is reported as a suspension.
func TestSuspensionDetector(t *testing.T) {
	var d clock.SuspensionDetector
	require.Zero(t, d.SuspendedFor(time.Hour, time.Second), "the clocks start with an offset")
	require.Zero(t, d.SuspendedFor(time.Hour+5*time.Second, 6*time.Second))
	require.Zero(t, d.SuspendedFor(time.Hour+6*time.Second+50*time.Millisecond, 7*time.Second))
	require.Equal(t, 3*time.Second, d.SuspendedFor(time.Hour+10*time.Second+50*time.Millisecond, 8*time.Second))
	require.Zero(t, d.SuspendedFor(time.Hour+11*time.Second+50*time.Millisecond, 9*time.Second))
}
