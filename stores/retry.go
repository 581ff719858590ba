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

// RetryOptions bounds the attempts at one operation. Zero fields take their
// defaults.
type RetryOptions struct {
	// MaxAttempts is the largest number of requests for one operation; default 4.
	MaxAttempts int
	// InitialDelay is the mean wait before the second attempt. It doubles for each
	// further attempt up to MaxDelay. Defaults 20 ms and 300 ms.
	InitialDelay time.Duration
	MaxDelay     time.Duration
	// RequestTimeout bounds one request; default 2 s.
	RequestTimeout time.Duration
	// Seed determines the jitter.
	Seed uint64
}

// retrier runs operations with bounded retries. Each operation has a random
// source of its own, derived from the seed and a counter, so that operations
// on different goroutines share no source.
type retrier struct {
	options    RetryOptions
	operations atomic.Uint64
}

func newRetrier(o RetryOptions) *retrier {
	o.MaxAttempts = cmp.Or(max(o.MaxAttempts, 0), defaultAttempts)
	o.InitialDelay = cmp.Or(max(o.InitialDelay, 0), defaultFirstDelay)
	o.MaxDelay = cmp.Or(max(o.MaxDelay, 0), defaultMaxDelay)
	o.RequestTimeout = cmp.Or(max(o.RequestTimeout, 0), defaultRequestTimeout)
	return &retrier{options: o}
}

// run calls the operation until it succeeds, fails with a kind other than
// Unavailable or Unknown, or the attempts or the context end.
func (r *retrier) run(ctx context.Context, operation func(ctx context.Context) error) error {
	source := rand.New(rand.NewPCG(r.options.Seed, r.operations.Add(1)))
	backoff := retry.Backoff{Initial: r.options.InitialDelay, Max: r.options.MaxDelay}
	for attempt := 1; ; attempt++ {
		err := r.once(ctx, operation)
		if !retryable(err) || attempt >= r.options.MaxAttempts {
			return err
		}
		if !duty.Pause(ctx, backoff.Delay(attempt, source)) {
			return err
		}
	}
}

func (r *retrier) once(ctx context.Context, operation func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.RequestTimeout)
	defer cancel()
	return operation(ctx)
}

func retryable(err error) bool {
	return errs.Is(err, errs.Unavailable) || errs.Is(err, errs.Unknown)
}
