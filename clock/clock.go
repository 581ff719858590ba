// Package clock reads the clock that also advances while the VM is suspended. Go's
// monotonic clock stops during a suspension, so a process that measures a lease
// with it alone would use the lease after its expiry.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM started, including the time in which it
// was suspended. If the kernel has no such clock, it returns SinceProcessStart.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// minSuspension is the minimum growth of the offset between the clocks that counts
// as a suspension of the VM. The offset also varies a little because the clocks are
// read one after the other.
const minSuspension = 200 * time.Millisecond

// SuspensionDetector detects that the VM was suspended: the boot clock advances
// during a suspension and the monotonic clock does not.
type SuspensionDetector struct {
	lastOffset  time.Duration
	initialized bool
}

// SuspendedFor returns the time for which the VM was suspended since the last call,
// given the readings of both clocks. The first call returns zero.
func (d *SuspensionDetector) SuspendedFor(boot, monotonic time.Duration) time.Duration {
	offset := boot - monotonic
	previous, initialized := d.lastOffset, d.initialized
	d.lastOffset, d.initialized = offset, true
	if !initialized || offset-previous < minSuspension {
		return 0
	}
	return offset - previous
}

// SinceProcessStart returns the time since the process started, excluding the
// time in which the VM was suspended.
func SinceProcessStart() time.Duration { return time.Since(processStart) }
