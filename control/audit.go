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
	// auditBatch leaves room for the restrictions row and the operation id in
	// the 50 writes of a transaction.
	auditBatch   = 40
	auditTimeout = 2 * time.Second
	auditBackoff = 5 * time.Second
	// auditTakeover is the least time after which a reader writes a restriction
	// whose origin has not written it.
	auditTakeover = 5 * time.Second
)

// auditDuty writes restrictions in force that the table does not hold.
type auditDuty struct {
	c   *Control
	rng *rand.Rand
	// dueAt is when this process writes a restriction of another origin.
	dueAt    map[facts.Subject]time.Time
	failures int
}

func (c *Control) runAudit(ctx context.Context) error {
	a := &auditDuty{c: c, rng: c.rng(auditStream), dueAt: make(map[facts.Subject]time.Time)}
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.auditWake.Ready():
			c.auditWake.TryReceive()
			if a.failures > 0 {
				continue // the backoff timer is running
			}
		case <-timer.C:
		}
		timer.Reset(max(a.turn(ctx, time.Now()), minWait))
	}
}

// turn writes what is due and returns the time to the next turn.
func (a *auditDuty) turn(ctx context.Context, now time.Time) time.Duration {
	due := a.due(now)
	if len(due) == 0 {
		a.failures = 0
		return time.Second
	}
	err := a.write(ctx, due[:min(auditBatch, len(due))])
	if err == nil {
		a.failures = 0
		return 0
	}
	a.failures++
	if a.failures == 1 && !errs.Is(err, errs.Conflict) {
		a.c.log.WithFields(logrus.Fields{"event": "audit_waits", "restrictions": len(due)}).WithError(err).Warn("restrictions cannot be written to the table yet")
	}
	backoff := min(100*time.Millisecond<<min(a.failures, 10), auditBackoff)
	return backoff/2 + time.Duration(a.rng.Int64N(int64(backoff)))
}

// due returns, oldest first, the unwritten restrictions that this process has
// to write: its own at once, those of others as a reader after a random time
// from auditTakeover to twice that.
func (a *auditDuty) due(now time.Time) []facts.Restriction {
	unwritten := a.c.snapshot.Load().UnpersistedRestrictions
	if len(unwritten) == 0 {
		clear(a.dueAt)
		return nil
	}
	reader := a.c.isReader()
	var due []facts.Restriction
	for _, r := range unwritten {
		at, known := a.dueAt[r.Subject]
		if !known {
			at = now.Add(auditTakeover + time.Duration(a.rng.Int64N(int64(auditTakeover))))
			a.dueAt[r.Subject] = at
		}
		if r.Origin == a.c.opts.Node || (reader && !now.Before(at)) {
			due = append(due, r)
		}
	}
	return due
}

// write adds restrictions to the row, with one audit row each. Restrictions
// that the row holds already were written by another process or by an attempt
// whose answer was lost.
func (a *auditDuty) write(ctx context.Context, due []facts.Restriction) error {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	row, err := a.c.table.Get(ctx, restrictionsKey)
	if err != nil {
		return err
	}
	held, err := decodeRestrictions(row)
	if err != nil {
		return err
	}
	fresh := notHeld(due, held)
	if len(fresh) > 0 {
		if held, err = a.commit(ctx, row.Version, held, fresh); err != nil {
			return err
		}
	}
	return a.c.merge(ctx, update{facts: facts.Update{PersistedRestrictions: held}})
}

func notHeld(due, held []facts.Restriction) []facts.Restriction {
	stamps := make(map[facts.Subject]facts.Restriction, len(held))
	for _, r := range held {
		stamps[r.Subject] = r
	}
	var fresh []facts.Restriction
	for _, r := range due {
		if h, ok := stamps[r.Subject]; !ok || h.Stamp < r.Stamp {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

// commit writes the merged row and returns what it holds.
func (a *auditDuty) commit(ctx context.Context, version uint64, held, fresh []facts.Restriction) ([]facts.Restriction, error) {
	snapshot := a.c.snapshot.Load()
	merged := mergeRow(&snapshot.View.Head, snapshot.Bundle, append(held, fresh...))
	value, err := encodeRestrictions(merged)
	if err != nil {
		return nil, err
	}
	writes := []stores.Write{{Key: restrictionsKey, IfVersion: version, Value: value}}
	for _, r := range fresh {
		entry, err := json.Marshal(AuditEntry{
			Actor: string(r.Origin), Action: "restrict", Epoch: r.Stamp, TimeMS: r.RaisedMS,
			Detail: fmt.Sprintf("%s %s: %s", r.Subject.Kind, r.Subject.Name, r.Reason),
		})
		if err != nil {
			return nil, err
		}
		writes = append(writes, stores.Write{Key: restrictionAuditKey(r), Value: entry})
	}
	return merged, a.c.table.Transact(ctx, a.c.transactionID("restrict"), writes)
}

// mergeRow merges restrictions by the rules of facts and drops those that a
// head has lifted.
func mergeRow(head *facts.Head, bundle *facts.Bundle, list []facts.Restriction) []facts.Restriction {
	store := facts.NewStore()
	store.Merge(facts.Update{Head: head, Bundle: bundle, Restrictions: list})
	return store.Snapshot().Delta(facts.StoreDigest{}).Restrictions
}
