package weights

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/fleet"
)

// renew acquires or renews the lease.
func (l *Loader) renew(ctx context.Context) {
	l.nextLeaseAttempt = time.Now().Add(checkInterval)
	read, err := l.leases.Read(ctx)
	if err != nil {
		return // the reader logs the failure
	}
	// The contender logs failures.
	acquired, err := l.lease.Renew(ctx, read, fleet.Transaction{})
	if err != nil {
		return
	}
	l.nextLeaseAttempt = time.Time{}
	if !acquired {
		l.nextLeaseAttempt = time.Now().Add(max(l.lease.TakeoverDelay(), checkInterval))
	}
}
