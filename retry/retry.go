// Package retry bounds the retries of calls with a budget over all calls of a
// process and with exponential delays between the attempts of one call.
package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delays between the attempts of one call.
type Backoff struct {
	// Initial is the mean delay before the second attempt. It doubles for each
	// further attempt up to Max.
	Initial time.Duration
	Max     time.Duration
}

// Delay returns a random delay between 0.5 and 1.5 times the mean, so that calls
// that failed together are not retried at the same time. previous is the number
// of previous attempts, at least 1.
func (b Backoff) Delay(previous int, random *rand.Rand) time.Duration {
	mean := b.Initial
	for range previous - 1 {
		mean = min(2*mean, b.Max)
	}
	return mean/2 + time.Duration(random.Int64N(int64(max(mean, 1))))
}
