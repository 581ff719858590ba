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
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_generation", "lease": leaseName, "generation": generation}).Info("first response of this generation of the store; the weights lease is not acquired until leases of lost content have ended")
	}
	l.lease.ObserveGeneration(clock.SinceBoot(), generation)
}

// renew acquires or renews the lease.
func (l *Loader) renew(ctx context.Context) {
	requestedAt := clock.SinceBoot()
	page, err := l.opts.Store.Rows(ctx, leaseTable)
	if err != nil {
		if !l.readFailed {
			l.opts.Log.WithFields(logrus.Fields{"event": "lease_unread", "lease": leaseName}).WithError(err).Warn("weights lease could not be read")
		}
		l.readFailed = true
		l.nextLeaseAttempt = time.Now().Add(checkInterval)
		return
	}
	if l.readFailed {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_read", "lease": leaseName}).Info("weights lease can be read again")
	}
	l.readFailed = false
	l.observeGeneration(page.Generation)
	if page.Generation < l.lease.Generation() {
		// A peer has reported a restore that is later than this response.
		l.nextLeaseAttempt = time.Now().Add(checkInterval)
		return
	}
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
		err = l.write(ctx, value, replacedRowVersion, page)
	}
	if err != nil {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_not_taken", "lease": leaseName, "fence": next.Fence}).WithError(err).Warn("write of the weights lease was not confirmed")
		l.nextLeaseAttempt = time.Now().Add(checkInterval)
		return
	}
	l.lease.RecordWrite(next)
	if !wasHeld || oldFence != next.Fence {
		l.opts.Log.WithFields(logrus.Fields{"event": "lease_taken", "lease": leaseName, "fence": next.Fence, "until_ms": next.Expiry.Milliseconds()}).Info("weights lease acquired")
	}
}

// write replaces the row of the lease if it still has the version that was read, and
// removes the rows of older generations. The row that it writes belongs to the generation
// of the page, so that it has no effect on the lease after a restore.
func (l *Loader) write(ctx context.Context, value []byte, replacedRowVersion uint64, read fleet.StoreResponse) error {
	key := lease.StoreLeaseKey(leaseName, read.Generation)
	response, err := l.opts.Store.Commit(ctx, fleet.Transaction{
		Conditions: []fleet.Row{{Table: leaseTable, Key: key, Version: replacedRowVersion}},
		Puts:       []fleet.Row{{Table: leaseTable, Key: key, Value: value}},
		Removes:    olderLeaseRows(read),
	})
	if err == nil && response.Generation != read.Generation {
		return errs.New(errs.Conflict, "read the row again", "the metadata store was restored after the lease was read")
	}
	return err
}

// olderLeaseRows returns the rows to remove: those of older generations, at most
// maxRemovedRows.
func olderLeaseRows(page fleet.StoreResponse) (older []fleet.Row) {
	for _, r := range page.Rows {
		if len(older) < maxRemovedRows && lease.IsOlderStoreLeaseKey(r.Key, leaseName, page.Generation) {
			older = append(older, fleet.Row{Table: leaseTable, Key: r.Key})
		}
	}
	return older
}

// decodeLease returns the row of the page's generation and its version. If there is none,
// the version is 0 and the row contains only the highest fence of the older rows.
func decodeLease(page fleet.StoreResponse) (lease.StoreLeaseRow, uint64) {
	key := lease.StoreLeaseKey(leaseName, page.Generation)
	highest := core.Fence(0)
	for _, r := range page.Rows {
		var row wire.LeaseRow
		if proto.Unmarshal(r.Value, &row) != nil {
			continue
		}
		if r.Key == key {
			return lease.StoreLeaseRow{
				Holder: core.NodeID(row.Holder), Incarnation: core.Incarnation(row.Incarnation),
				Fence: core.Fence(row.Fence), Expiry: time.Duration(row.UntilMs) * time.Millisecond,
			}, r.Version
		}
		if lease.IsOlderStoreLeaseKey(r.Key, leaseName, page.Generation) {
			highest = max(highest, core.Fence(row.Fence))
		}
	}
	return lease.StoreLeaseRow{Fence: highest}, 0
}
