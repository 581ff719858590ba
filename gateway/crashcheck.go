package gateway

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// crashCheckCapacity is the number of upstreams that may wait for a check. Further
	// checks are dropped.
	crashCheckCapacity = 32
	// crashCheckTimeout is the timeout of one check. An ended process refuses within a
	// round trip.
	crashCheckTimeout = 100 * time.Millisecond
)

// crashCheck asks whether an upstream with broken attempts has crashed.
type crashCheck struct {
	incarnation quarantine.Incarnation
	address     string
}

// crashCheckResult is the result of a check.
type crashCheckResult struct {
	incarnation quarantine.Incarnation
	crashed     bool
}

// crashChecker is the duty that finds out whether upstreams have crashed. An upstream
// with a fault of another kind still accepts connections.
type crashChecker struct {
	checks  *ring.Ring[crashCheck]
	results *ring.Ring[crashCheckResult]
	// refuses reports whether new connections to an address are refused.
	refuses func(ctx context.Context, address string) bool
}

func newCrashChecker(refuses func(ctx context.Context, address string) bool) *crashChecker {
	return &crashChecker{
		checks: ring.New[crashCheck](crashCheckCapacity), results: ring.New[crashCheckResult](crashCheckCapacity), refuses: refuses,
	}
}

// run is the duty's loop.
func (c *crashChecker) run(ctx context.Context) error {
	for {
		check, err := c.checks.Receive(ctx)
		if err != nil {
			return nil
		}
		result := crashCheckResult{incarnation: check.incarnation, crashed: c.check(ctx, check.address)}
		if err := c.results.Send(ctx, result); err != nil {
			return nil
		}
	}
}

func (c *crashChecker) check(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	return c.refuses(ctx, address)
}
