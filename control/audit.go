package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/stores"
)

const (
	// maxAuditBatch is the maximum number of audit rows in one transaction. The limit of
	// the table is 50 writes (stores.MaxTransactionWrites), which include one for the
	// restrictions row. The row that records the id of the transaction does not count
	// towards this limit, because package stores adds it.
	maxAuditBatch = 40
	// auditTimeout is the maximum duration of one write, including the read of the row.
	auditTimeout = 2 * time.Second
	// maxAuditBackoff is the maximum backoff after a failed write, before jitter.
	maxAuditBackoff = 5 * time.Second
	// minTakeoverDelay is the minimum time after which a reader writes a restriction
	// that its origin has not written.
	minTakeoverDelay = 5 * time.Second
)

// auditDuty writes the restrictions that are in force, but not in the table.
type auditDuty struct {
	c   *Control
	rng *rand.Rand
	// takeoverAt contains a time for each unpersisted restriction. From this time, the
	// process writes the restriction if it is a reader, even if it is not the origin.
	takeoverAt map[facts.Subject]time.Time
	// failures counts the consecutive failed writes.
	failures int
}

func (c *Control) runAudit(ctx context.Context) error {
	a := &auditDuty{c: c, rng: c.rng(auditStream), takeoverAt: make(map[facts.Subject]time.Time)}
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.auditSignal.Ready():
			c.auditSignal.TryReceive()
			if a.failures > 0 {
				continue // the backoff timer is running
			}
		case <-timer.C:
		}
		timer.Reset(max(a.writeDueRestrictions(ctx, time.Now()), minWait))
	}
}

// writeDueRestrictions writes the restrictions that are due, at most one batch, and returns the
// delay until the next call.
func (a *auditDuty) writeDueRestrictions(ctx context.Context, now time.Time) time.Duration {
	due := a.dueRestrictions(now)
	if len(due) == 0 {
		a.failures = 0
		return time.Second
	}
	err := a.persist(ctx, due[:min(maxAuditBatch, len(due))])
	if err == nil {
		a.failures = 0
		return 0
	}
	a.failures++
	if a.failures == 1 && !errs.Is(err, errs.Conflict) {
		a.c.log.WithFields(logrus.Fields{"event": "audit_waits", "restrictions": len(due)}).WithError(err).Warn("restrictions cannot be written to the table; retrying with backoff")
	}
	backoff := min(100*time.Millisecond<<min(a.failures, 10), maxAuditBackoff)
	return backoff/2 + time.Duration(a.rng.Int64N(int64(backoff)))
}

// dueRestrictions returns the restrictions that this process must write now, oldest
// first. A restriction raised by this process is due immediately. A restriction of
// another origin is due if this process is a reader and a random delay between one
// and two times minTakeoverDelay has elapsed since this process first found the
// restriction in force, but not in the table.
func (a *auditDuty) dueRestrictions(now time.Time) []facts.Restriction {
	unpersisted := a.c.snapshot.Load().UnpersistedRestrictions
	if len(unpersisted) == 0 {
		clear(a.takeoverAt)
		return nil
	}
	isReader := a.c.isReader()
	var due []facts.Restriction
	for _, r := range unpersisted {
		takeoverAt, scheduled := a.takeoverAt[r.Subject]
		if !scheduled {
			takeoverAt = now.Add(minTakeoverDelay + time.Duration(a.rng.Int64N(int64(minTakeoverDelay))))
			a.takeoverAt[r.Subject] = takeoverAt
		}
		if r.Origin == a.c.opts.Node || (isReader && !now.Before(takeoverAt)) {
			due = append(due, r)
		}
	}
	return due
}

// persist adds restrictions to the restrictions row and writes one audit row for
// each. It skips restrictions that are already in the row. They were written by
// another process or by an earlier write whose response was lost.
func (a *auditDuty) persist(ctx context.Context, due []facts.Restriction) error {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	row, err := a.c.table.Get(ctx, restrictionsKey)
	if err != nil {
		return err
	}
	persisted, err := decodeRestrictions(row)
	if err != nil {
		return err
	}
	unpersisted := selectUnpersisted(due, persisted)
	if len(unpersisted) > 0 {
		if persisted, err = a.writeRows(ctx, row.Version, persisted, unpersisted); err != nil {
			return err
		}
	}
	return a.c.mergeFacts(ctx, mergeRequest{update: facts.Update{PersistedRestrictions: persisted}})
}

// selectUnpersisted returns the due restrictions that are missing in persisted or have a
// lower stamp there.
func selectUnpersisted(due, persisted []facts.Restriction) []facts.Restriction {
	persistedBySubject := make(map[facts.Subject]facts.Restriction, len(persisted))
	for _, r := range persisted {
		persistedBySubject[r.Subject] = r
	}
	var unpersisted []facts.Restriction
	for _, r := range due {
		if old, ok := persistedBySubject[r.Subject]; !ok || old.Stamp < r.Stamp {
			unpersisted = append(unpersisted, r)
		}
	}
	return unpersisted
}

// writeRows writes the merged restrictions row and the audit rows. It returns the
// restrictions in the merged row.
func (a *auditDuty) writeRows(ctx context.Context, version uint64, persisted, unpersisted []facts.Restriction) ([]facts.Restriction, error) {
	snapshot := a.c.snapshot.Load()
	merged := mergeRestrictions(&snapshot.View.Head, snapshot.Bundle, append(persisted, unpersisted...))
	value, err := encodeRestrictions(merged)
	if err != nil {
		return nil, err
	}
	writes := []stores.Write{{Key: restrictionsKey, ExpectedVersion: version, Value: value}}
	for _, r := range unpersisted {
		auditValue, err := json.Marshal(AuditEntry{
			Actor: string(r.Origin), Action: "restrict", Epoch: r.Stamp, TimeMS: r.RaisedMS,
			Detail: fmt.Sprintf("%s %s: %s", r.Subject.Kind, r.Subject.Name, r.Reason),
		})
		if err != nil {
			return nil, err
		}
		writes = append(writes, stores.Write{Key: restrictionAuditKey(r), Value: auditValue})
	}
	return merged, a.c.table.Transact(ctx, a.c.transactionID("restrict"), writes)
}

// mergeRestrictions merges restrictions by the rules of package facts and removes
// those that the head has lifted. The result contains all remaining restrictions,
// because a delta for an empty digest contains the complete facts.
func mergeRestrictions(head *facts.Head, bundle *facts.Bundle, restrictions []facts.Restriction) []facts.Restriction {
	factsStore := facts.NewStore()
	factsStore.Merge(facts.Update{Head: head, Bundle: bundle, Restrictions: restrictions})
	return factsStore.Snapshot().Delta(facts.StoreDigest{}).Restrictions
}
