package weights

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/wire"
)

// observeGeneration records the generation of the store's content, for the lease.
func (l *Loader) observeGeneration(generation core.Generation) {
	if generation > l.lease.Generation() {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_generation", "lease": leaseKey, "generation": generation}).Info("first response of this generation of the store; the weights lease is not acquired until leases of lost content have ended")
	}
	l.lease.ObserveGeneration(clock.SinceBoot(), generation)
}

// renew acquires or renews the lease.
func (l *Loader) renew(ctx context.Context) {
	requestedAt := clock.SinceBoot()
	page, err := l.opts.Store.Rows(ctx, leaseTable)
	if err != nil {
		if !l.readFailed {
			l.opts.Log.WithFields(logrus.Fields{"event": "lease_unread", "lease": leaseKey}).WithError(err).Warn("weights lease could not be read")
		}
		l.readFailed = true
		l.nextLeaseAttempt = time.Now().Add(checkInterval)
		return
	}
	if l.readFailed {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_read", "lease": leaseKey}).Info("weights lease can be read again")
	}
	l.readFailed = false
	l.observeGeneration(page.Generation)
	row, rowVersion := decodeLease(page)
	oldFence, wasHeld := l.lease.HeldFence(requestedAt)
	l.lease.RecordRead(requestedAt, row, rowVersion, page.Now)
	next, replacedRowVersion, available := l.lease.Proposal()
	if !available {
		l.nextLeaseAttempt = time.Now().Add(max(l.lease.TakeoverDelay(), checkInterval))
		return
	}
	value, err := proto.Marshal(&wire.LeaseRow{
		Holder: string(next.Holder), Incarnation: uint64(next.Incarnation), Fence: uint64(next.Fence), UntilMs: next.Expiry.Milliseconds(),
	})
	if err == nil {
		err = l.write(ctx, value, replacedRowVersion, page.Generation)
	}
	if err != nil {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_not_taken", "lease": leaseKey, "fence": next.Fence}).WithError(err).Warn("write of the weights lease was not confirmed")
		l.nextLeaseAttempt = time.Now().Add(checkInterval)
		return
	}
	l.lease.RecordWrite(next)
	if !wasHeld || oldFence != next.Fence {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_taken", "lease": leaseKey, "fence": next.Fence, "until_ms": next.Expiry.Milliseconds()}).Info("weights lease acquired")
	}
}

// write replaces the row of the lease if it still has the version that was read in the
// given generation. The version may belong to another row after a restore.
func (l *Loader) write(ctx context.Context, value []byte, replacedRowVersion uint64, generation core.Generation) error {
	response, err := l.opts.Store.Commit(ctx, fleet.Transaction{
		Conditions: []fleet.Row{{Table: leaseTable, Key: leaseKey, Version: replacedRowVersion}},
		Puts:       []fleet.Row{{Table: leaseTable, Key: leaseKey, Value: value}},
	})
	if err == nil && response.Generation != generation {
		return errs.New(errs.Conflict, "read the row again", "the metadata store was restored after the lease was read")
	}
	return err
}

func decodeLease(page fleet.StoreResponse) (lease.StoreLeaseRow, uint64) {
	for _, r := range page.Rows {
		var row wire.LeaseRow
		if r.Key != leaseKey || proto.Unmarshal(r.Value, &row) != nil {
			continue
		}
		return lease.StoreLeaseRow{
			Holder: core.NodeID(row.Holder), Incarnation: core.Incarnation(row.Incarnation),
			Fence: core.Fence(row.Fence), Expiry: time.Duration(row.UntilMs) * time.Millisecond,
		}, r.Version
	}
	return lease.StoreLeaseRow{}, 0
}
