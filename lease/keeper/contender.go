package keeper

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

const (
	// Table contains the rows of all leases.
	Table = fleet.Table("leases")
	// maxRemovedRows is the number of rows of older generations that one write of a lease
	// removes. A transaction has at most 100 entries.
	maxRemovedRows = 80
)

// Snapshot is the content of the table of leases.
type Snapshot struct {
	fleet.StoreResponse
	// RequestedAt is the time of clock.SinceBoot before the table was requested.
	RequestedAt time.Duration
}

// Reader reads the table of leases. One duty uses it.
type Reader struct {
	store   fleet.Store
	log     logrus.FieldLogger
	failing bool
	unsound unsoundRows
}

// NewReader returns a reader of a store.
func NewReader(store fleet.Store, log logrus.FieldLogger) *Reader {
	return &Reader{store: store, log: log}
}

// Read returns the content of the table.
func (r *Reader) Read(ctx context.Context) (Snapshot, error) {
	requestedAt := clock.SinceBoot()
	response, err := r.store.Rows(ctx, Table)
	if err != nil {
		if !r.failing {
			r.log.WithField("event", "lease_unread").WithError(err).Warn("leases could not be read")
		}
		r.failing = true
		return Snapshot{}, err
	}
	if r.failing {
		r.log.WithField("event", "lease_read").Info("leases can be read again")
	}
	r.failing = false
	r.unsound.record(response, r.log)
	return Snapshot{StoreResponse: response, RequestedAt: requestedAt}, nil
}

// Contender acquires, renews and releases one lease in the store. One duty owns it.
type Contender struct {
	name  string
	lease *lease.StoreLease
	store fleet.Store
	log   logrus.FieldLogger
	// holder is the holder in the row that was read last. It is empty if there was no row.
	holder core.NodeID
}

// NewContender returns a contender that has not read the row of the lease.
func NewContender(name string, l *lease.StoreLease, store fleet.Store, log logrus.FieldLogger) *Contender {
	return &Contender{name: name, lease: l, store: store, log: log.WithField("lease", name)}
}

// ObserveGeneration records the generation of the store's content.
func (c *Contender) ObserveGeneration(generation core.Generation) {
	if generation > c.lease.Generation() {
		c.log.WithFields(logrus.Fields{"event": "lease_generation", "generation": generation}).Info("first response of this generation of the store; the lease is not acquired until leases of lost content have ended")
	}
	c.lease.ObserveGeneration(clock.SinceBoot(), generation)
}

// Due reports whether the table must be read to acquire or renew the lease.
func (c *Contender) Due(now time.Duration) bool { return c.lease.ReadDue(now) }

// Held returns the fence of the lease and the time at which the holder must stop. It
// returns false if the lease is not held.
func (c *Contender) Held(now time.Duration) (core.Fence, time.Duration, bool) {
	fence, held := c.lease.HeldFence(now)
	return fence, c.lease.StopAt(), held
}

// TakeoverDelay returns the time, counted from the last read, after which the lease may be
// acquired unless its holder renews it.
func (c *Contender) TakeoverDelay() time.Duration { return c.lease.TakeoverDelay() }

// Renew acquires or renews the lease with the content of the table, and writes extra rows
// in the same transaction. It returns false if the lease may not be acquired yet.
func (c *Contender) Renew(ctx context.Context, read Snapshot, extra fleet.Transaction) (bool, error) {
	version, err := c.recordRead(read)
	if err != nil {
		return false, err
	}
	oldFence, wasHeld := c.lease.HeldFence(read.RequestedAt)
	next, replaced, available := c.lease.Proposal()
	if !available {
		return false, nil
	}
	if err := c.write(ctx, read, next, replaced, extra); err != nil {
		c.log.WithFields(logrus.Fields{"event": "lease_not_taken", "fence": next.Fence, "row_version": version}).WithError(err).Warn("write of the lease was not confirmed")
		return false, err
	}
	c.lease.RecordWrite(next)
	c.holder = next.Holder
	if !wasHeld || oldFence != next.Fence {
		c.log.WithFields(logrus.Fields{"event": "lease_taken", "fence": next.Fence, "until_ms": next.Expiry.Milliseconds()}).Info("lease acquired")
	}
	return true, nil
}

// Release ends the time of the holder at once. GiveUp then releases the row.
func (c *Contender) Release() { c.lease.Release() }

// GiveUp writes the row of a released lease, so that the next holder waits only for the gap.
func (c *Contender) GiveUp(ctx context.Context, read Snapshot) error {
	if _, err := c.recordRead(read); err != nil {
		return err
	}
	released, replaced, ok := c.lease.ReleaseProposal()
	if !ok {
		return nil
	}
	return c.write(ctx, read, released, replaced, fleet.Transaction{})
}

// recordRead records the row in the content of the table and returns its version.
func (c *Contender) recordRead(read Snapshot) (uint64, error) {
	c.ObserveGeneration(read.Generation)
	if read.Generation < c.lease.Generation() {
		// A peer has reported a restore that is later than this response.
		return 0, errs.New(errs.Stale, "read the table again", "the leases are those of an older generation of the store")
	}
	row, version := decodeRow(read.StoreResponse, c.name)
	c.holder = row.Holder
	c.lease.RecordRead(read.RequestedAt, row, version, read.Now)
	return version, nil
}

// write replaces the row of the lease if it still has the version that was read, and
// removes the rows of older generations. The row that it writes belongs to the generation
// of the snapshot, so that it has no effect on the lease after a restore.
func (c *Contender) write(ctx context.Context, read Snapshot, next lease.StoreLeaseRow, replaced uint64, extra fleet.Transaction) error {
	value, err := proto.Marshal(&wire.LeaseRow{
		Holder: string(next.Holder), Incarnation: uint64(next.Incarnation), Fence: uint64(next.Fence), UntilMs: next.Expiry.Milliseconds(),
	})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "encoding the lease failed")
	}
	key := lease.StoreLeaseKey(c.name, read.Generation)
	response, err := c.store.Commit(ctx, fleet.Transaction{
		Conditions: append([]fleet.Row{{Table: Table, Key: key, Version: replaced}}, extra.Conditions...),
		Puts:       append([]fleet.Row{{Table: Table, Key: key, Value: value}}, extra.Puts...),
		Removes:    append(olderRows(read.StoreResponse, c.name), extra.Removes...),
	})
	if err == nil && response.Generation != read.Generation {
		return errs.New(errs.Conflict, "read the row again", "the metadata store was restored after the lease was read")
	}
	return err
}

// olderRows returns the rows of a lease to remove: those of older generations, at most
// maxRemovedRows.
func olderRows(page fleet.StoreResponse, name string) (older []fleet.Row) {
	for _, r := range page.Rows {
		if len(older) < maxRemovedRows && lease.IsOlderStoreLeaseKey(r.Key, name, page.Generation) {
			older = append(older, fleet.Row{Table: Table, Key: r.Key})
		}
	}
	return older
}

// decodeRow returns the row of a lease in the page's generation and its version. If there
// is none, the version is 0 and the row contains only the highest fence of the older rows.
// A row that is not sound has fence 0, with which the lease is not acquired, since the
// fence of its holder is unknown.
func decodeRow(page fleet.StoreResponse, name string) (lease.StoreLeaseRow, uint64) {
	key := lease.StoreLeaseKey(name, page.Generation)
	highest := core.Fence(0)
	for _, r := range page.Rows {
		row, sound := decodeLease(r, page.Generation)
		switch {
		case r.Key == key && !sound:
			return lease.StoreLeaseRow{Expiry: page.Now}, r.Version
		case r.Key == key:
			return row, r.Version
		case sound && lease.IsOlderStoreLeaseKey(r.Key, name, page.Generation):
			highest = max(highest, row.Fence)
		}
	}
	return lease.StoreLeaseRow{Fence: highest}, 0
}
