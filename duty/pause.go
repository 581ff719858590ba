package duty

import (
	"context"
	"time"
)

// Pause waits for a time and reports whether it passed before the context
// ended. A time that is not above zero passes at once, without a timer: with
// the race detector, a timer that is due when it is made crashes the Go 1.26
// runtime in synctest bubbles.
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
