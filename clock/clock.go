// Package clock reads the clock that also counts while the VM is suspended.
// Go's monotonic clock stops then, so a lease that is measured with it alone
// outlives its end.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM has started, suspended times included. It
// falls back to the monotonic clock where the kernel has no such clock.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}

var started = time.Now()

// suspendedFrom is the difference between the clocks that counts as a suspended
// VM; smaller ones come from reading the clocks one after the other.
const suspendedFrom = 200 * time.Millisecond

// SuspensionDetector notices that the VM was suspended: the clock that counts such times
// moves ahead of the monotonic one.
type SuspensionDetector struct {
	ahead time.Duration
	set   bool
}

// Suspended returns how long the VM was suspended since the last call, given
// both clocks. It returns zero for the first call.
func (w *SuspensionDetector) Suspended(boot, monotonic time.Duration) time.Duration {
	ahead := boot - monotonic
	before, set := w.ahead, w.set
	w.ahead, w.set = ahead, true
	if !set || ahead-before < suspendedFrom {
		return 0
	}
	return ahead - before
}

// Monotonic returns the time since the process has started, without the times
// in which the VM was suspended.
func Monotonic() time.Duration { return time.Since(started) }
