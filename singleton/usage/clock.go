package usage

import (
	"sync/atomic"
	"time"
)

// minCorrection is the smallest difference from the clocks of other processes that is
// corrected. Differences of synchronised clocks and delays of messages are smaller.
const minCorrection = 300 * time.Millisecond

// Clock is the estimate of the true time. It reads the time of day once and then follows
// the clock since boot, so that a step of the time of day has no effect. A time of day that
// was wrong at the start is corrected by the estimates of other processes.
type Clock struct {
	// offset is the true time, since 1970, at which the VM started.
	offset atomic.Int64
}

// NewClock returns a clock from simultaneous readings of the time of day and of the clock
// since boot.
func NewClock(timeOfDay time.Time, sinceBoot time.Duration) *Clock {
	c := &Clock{}
	c.offset.Store(timeOfDay.UnixNano() - int64(sinceBoot))
	return c
}

// At returns the true time, since 1970, at a reading of the clock since boot.
func (c *Clock) At(sinceBoot time.Duration) time.Duration {
	return time.Duration(c.offset.Load()) + sinceBoot
}

// Correct corrects the clock by the differences between the clocks of two other processes
// and this one, if those two agree. One wrong clock of the three has no effect on the other
// two. Correct returns the correction, which is usually zero.
func (c *Clock) Correct(first, second time.Duration) time.Duration {
	mean := (first + second) / 2
	if (first-second).Abs() >= minCorrection || mean.Abs() < minCorrection {
		return 0
	}
	c.offset.Add(int64(mean))
	return mean
}
