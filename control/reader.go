package control

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/gossip"
	"waxwingtide.example/waxwingtide/membership"
)

const (
	readInterval = time.Second
	readTimeout  = 2 * time.Second
	// maxUnreadyReadInterval is the maximum interval, before jitter, between reads of a
	// process that is neither a reader nor ready. The interval increases up to this
	// value, so that many such processes do not overload the table.
	maxUnreadyReadInterval = 8 * time.Second
)

// readerDuty reads the head and the restrictions from the table while this process is
// one of the readers of its failure domain, or is not ready.
type readerDuty struct {
	c *Control
	// Versions of the rows that were merged last.
	headVersion, restrictionsVersion uint64
	// unreadyReads counts the reads while this process was neither a reader nor ready.
	unreadyReads   int
	lastReadFailed bool
}

func (c *Control) runReader(ctx context.Context) error {
	r := &readerDuty{c: c}
	rng := c.rng(readerStream)
	for {
		wait := readInterval
		if isReader := c.isReader(); isReader || !c.ready.Load() {
			r.read(ctx)
			if !isReader {
				wait = min(readInterval<<min(r.unreadyReads, 10), maxUnreadyReadInterval)
				r.unreadyReads++
			}
		}
		wait = wait*3/4 + time.Duration(rng.Int64N(int64(wait)/2))
		if !duty.Pause(ctx, wait) {
			return ctx.Err()
		}
	}
}

// isReader reports whether this process is a reader, that is, one of the processes that
// read the table for all processes of their failure domain. While
// the member list is empty, it returns false, because otherwise every process would be
// a reader.
func (c *Control) isReader() bool {
	members := c.members.Load()
	if cached := c.readerStatus.Load(); cached != nil && cached.members == members {
		return cached.isReader
	}
	live, _, _ := c.gossipPeers(members)
	isReader := len(members.All) > 0 && gossip.IsReader(c.opts.Node, c.opts.FailureDomain, live)
	c.readerStatus.Store(&readerStatus{members, isReader})
	return isReader
}

// readerStatus is the result of isReader for one snapshot of the members.
type readerStatus struct {
	members  *membership.Members
	isReader bool
}

// read reads and merges the head and the restrictions.
func (r *readerDuty) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := r.readHead(ctx)
	if err == nil {
		err = r.readRestrictions(ctx)
	}
	if err != nil && !r.lastReadFailed {
		r.c.log.WithField("event", "table_unreadable").WithError(err).Warn("facts cannot be read from the table")
	}
	r.lastReadFailed = err != nil
}

func (r *readerDuty) readHead(ctx context.Context) error {
	row, err := r.c.table.Get(ctx, headKey)
	if err != nil {
		return err
	}
	if row.Version == r.headVersion {
		r.reportTableRead()
		return nil
	}
	head, err := decodeHead(row)
	if err != nil {
		return err
	}
	// The epoch is recorded even if the bundle cannot be fetched, because peers may
	// have the bundle.
	r.c.epochObservations.Push(epochObservation{fromTable: true, epoch: head.Epoch})
	if err := r.c.putHeadInForce(ctx, head); err != nil {
		return err
	}
	r.headVersion = row.Version
	r.reportTableRead()
	return nil
}

// reportTableRead reports to the gossip duty that the head row was read and that its head
// has been merged, so that the duty updates the readiness.
func (r *readerDuty) reportTableRead() {
	r.c.epochObservations.Push(epochObservation{fromTable: true, epoch: r.c.Epoch()})
}

// putHeadInForce puts a head from the table and its bundle in force, unless the head is not
// newer than the one in force.
func (c *Control) putHeadInForce(ctx context.Context, head facts.Head) error {
	if head.Epoch <= c.Epoch() {
		return nil
	}
	bundle, err := c.loadBundle(ctx, head.BundleDigest)
	if err != nil {
		return err
	}
	return c.mergeFacts(ctx, mergeRequest{update: facts.Update{Head: &head, Bundle: bundle}})
}

func (r *readerDuty) readRestrictions(ctx context.Context) error {
	row, err := r.c.table.Get(ctx, restrictionsKey)
	if err != nil || row.Version == r.restrictionsVersion {
		return err
	}
	restrictions, err := decodeRestrictions(row)
	if err != nil {
		return err
	}
	if err := r.c.mergeFacts(ctx, mergeRequest{update: facts.Update{PersistedRestrictions: restrictions}}); err != nil {
		return err
	}
	r.restrictionsVersion = row.Version
	return nil
}
