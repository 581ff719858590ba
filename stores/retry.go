package stores

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/retry"
)

// Defaults of RetryOptions.
const (
	defaultAttempts       = 4
	defaultFirstDelay     = 20 * time.Millisecond
	defaultMaxDelay       = 300 * time.Millisecond
	defaultRequestTimeout = 2 * time.Second
)

// RetryOptions limits the attempts of one operation. Numbers and durations that are
// 0 or negative are replaced by their defaults.
type RetryOptions struct {
	// MaxAttempts is the maximum number of attempts of one operation. The default
	// is 4.
	MaxAttempts int
	// InitialDelay is the mean delay before the second attempt. It doubles for each
	// further attempt up to MaxDelay. The defaults are 20 ms and 300 ms.
	InitialDelay time.Duration
	MaxDelay     time.Duration
	// RequestTimeout is the maximum duration of one attempt. The default is 2 s.
	RequestTimeout time.Duration
	// Seed is the seed of the random jitter of the delays.
	Seed uint64
}

// retrier runs operations with a limited number of retries. Each operation has a
// separate random source, derived from the seed and a counter, so that operations on
// different goroutines do not use the same source.
type retrier struct {
	options        RetryOptions
	operationCount atomic.Uint64
}

func newRetrier(o RetryOptions) *retrier {
	o.MaxAttempts = cmp.Or(max(o.MaxAttempts, 0), defaultAttempts)
	o.InitialDelay = cmp.Or(max(o.InitialDelay, 0), defaultFirstDelay)
	o.MaxDelay = cmp.Or(max(o.MaxDelay, 0), defaultMaxDelay)
	o.RequestTimeout = cmp.Or(max(o.RequestTimeout, 0), defaultRequestTimeout)
	return &retrier{options: o}
}

// run calls the operation until it succeeds, returns an error of a kind other than
// Unavailable or Unknown, reaches the maximum number of attempts, or the context
// ends during a delay. It returns the error of the last attempt.
func (r *retrier) run(ctx context.Context, operation func(ctx context.Context) error) error {
	randomSource := rand.New(rand.NewPCG(r.options.Seed, r.operationCount.Add(1)))
	backoff := retry.Backoff{Initial: r.options.InitialDelay, Max: r.options.MaxDelay}
	for attempt := 1; ; attempt++ {
		err := r.runAttempt(ctx, operation)
		if !retryable(err) || attempt >= r.options.MaxAttempts {
			return err
		}
		if !duty.Pause(ctx, backoff.Delay(attempt, randomSource)) {
			return err
		}
	}
}

func (r *retrier) runAttempt(ctx context.Context, operation func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.RequestTimeout)
	defer cancel()
	return operation(ctx)
}

func retryable(err error) bool {
	return errs.Is(err, errs.Unavailable) || errs.Is(err, errs.Unknown)
}
