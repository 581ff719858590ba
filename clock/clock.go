// Package clock reads the clock that also counts while the VM is suspended.
// Go's monotonic clock stops then, so a lease that is measured with it alone
// outlives its end.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM has started, suspended times included. It
// falls back to the monotonic clock where the kernel has no such clock.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}

var started = time.Now()
