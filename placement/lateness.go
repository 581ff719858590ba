package placement

import "time"

// lateness is the mean time, as of at, by which responses exceed the estimate. It decays to
// half in failureHalfLife.
type lateness struct {
	ms float64
	at time.Time
}

// current returns the lateness in milliseconds.
func (l lateness) current(now time.Time) float64 {
	return decayed(l.ms, l.at, now, failureHalfLife)
}

// record adds a response. A response before the estimate counts as one at the estimate.
func (l *lateness) record(now time.Time, excess time.Duration) {
	ms := max(float64(excess.Microseconds())/1000, 0)
	l.ms, l.at = l.current(now)*(1-latenessGain)+ms*latenessGain, now
}
