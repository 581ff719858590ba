package duty

import (
	"context"
	"time"
)

// Pause waits for a duration and reports whether it elapsed before the context ended.
// A duration of zero or less elapses at once, without a timer: with the race detector, a
// timer that has expired when it is created crashes the Go 1.26 runtime in synctest
// bubbles.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
