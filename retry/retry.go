// Package retry bounds the repeated attempts of calls: a budget over all calls of
// a process, and growing delays between the attempts of one call.
package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff gives the delays between the attempts of one call.
type Backoff struct {
	// First is the mean delay before the second attempt. It doubles for each
	// further one up to Most.
	Initial time.Duration
	Max     time.Duration
}

// Delay returns a random delay between half and one and a half of the mean, so
// that calls that failed together do not return together. before is the number
// of earlier attempts, at least 1.
func (b Backoff) Delay(before int, random *rand.Rand) time.Duration {
	mean := b.Initial
	for range before - 1 {
		mean = min(2*mean, b.Max)
	}
	return mean/2 + time.Duration(random.Int64N(int64(max(mean, 1))))
}
