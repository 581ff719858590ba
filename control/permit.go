package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/stores"
)

// readBackTime bounds the reading back of an operation after a lost answer.
const (
	readBackTime  = 3 * time.Second
	readBackPause = 200 * time.Millisecond
)

// AuditEntry is one row of the audit trail.
type AuditEntry struct {
	// Actor is the operator, or the process for automatic changes.
	Actor string `json:"actor"`
	// Action is a short name, for example "sign_off" or "drain".
	Action string `json:"action"`
	Detail string `json:"detail,omitempty"`
	// Epoch is the new epoch of a permission or the stamp of a restriction.
	Epoch       core.Epoch `json:"epoch"`
	OperationID string     `json:"operation_id,omitempty"`
	// TimeMS is the time of the change in Unix milliseconds.
	TimeMS int64 `json:"time_ms"`
	// Cursor is the position in the trail. It is not stored.
	Cursor string `json:"-"`
}

// Time returns the time of the change.
func (e AuditEntry) Time() time.Time { return time.UnixMilli(e.TimeMS).UTC() }

type permitRow struct {
	Epoch core.Epoch `json:"epoch"`
}

// Permit changes the head in one conditional transaction, together with a row
// for the operation id and an audit row. The change function gets a copy of the
// head that already has the following epoch, so that it may call Clear. Permit
// with the id of an operation that took effect changes nothing and returns the
// head of the table.
//
// Errors: Conflict when another change came first, with the current epoch in
// the message; Unavailable when nothing took effect; Unknown when the answer was
// lost and could not be read back, then call again with the same id; Invalid
// and the errors of the change function and of the bundle.
func (c *Control) Permit(ctx context.Context, operationID string, change func(facts.Head) (facts.Head, error), audit AuditEntry) (facts.Head, error) {
	if operationID == "" || len(operationID) > 128 {
		return facts.Head{}, errs.New(errs.Invalid, "give an id of 1 to 128 bytes", "permission has no valid operation id")
	}
	if done, err := c.permitted(ctx, operationID); err != nil || done {
		return c.headAfter(ctx, err)
	}
	row, err := c.table.Get(ctx, headKey)
	if err != nil {
		return facts.Head{}, err
	}
	next, bundle, err := c.nextHead(ctx, row, change)
	if err != nil {
		return facts.Head{}, err
	}
	audit.Epoch, audit.OperationID, audit.TimeMS = next.Epoch, operationID, time.Now().UnixMilli()
	writes, err := permitWrites(&next, row.Version, operationID, audit)
	if err != nil {
		return facts.Head{}, err
	}
	lifted, err := c.liftedWrites(ctx, &next, bundle)
	if err != nil {
		return facts.Head{}, err
	}
	writes = append(writes, lifted...)
	err = c.table.Transact(ctx, c.transactionID("permit/"+operationID), writes)
	if err != nil {
		return c.afterFailure(ctx, operationID, err)
	}
	c.log.WithFields(logrus.Fields{"event": "permission", "epoch": next.Epoch, "actor": audit.Actor, "action": audit.Action, "operation": operationID}).Info("permission given")
	if err := c.merge(ctx, update{facts: facts.Update{Head: &next, Bundle: bundle}}); err != nil {
		c.notAdopted(next.Epoch, err)
	}
	return next, nil
}

// notAdopted logs that a permission in the table is not yet in force here. It
// arrives with the next exchange or reading of the table.
func (c *Control) notAdopted(epoch core.Epoch, err error) {
	c.ObserveEpoch(epoch)
	c.log.WithFields(logrus.Fields{"event": "permission_not_adopted", "epoch": epoch}).WithError(err).Warn("permission is not yet in force here")
}

// nextHead applies the change, fills in what does not depend on it and returns
// the head with its bundle.
func (c *Control) nextHead(ctx context.Context, row stores.Row, change func(facts.Head) (facts.Head, error)) (facts.Head, *facts.Bundle, error) {
	old, err := decodeHead(row)
	if err != nil {
		return facts.Head{}, nil, err
	}
	next, err := change(old.Next())
	if err != nil {
		return facts.Head{}, nil, err
	}
	next.Epoch = old.Epoch + 1
	if next.BundleDigest != old.BundleDigest {
		next.BundleEpoch = next.Epoch
	}
	// A head that names a missing or invalid bundle could never be in force.
	bundle, err := c.bundleFor(ctx, next.BundleDigest)
	return next, bundle, err
}

func permitWrites(next *facts.Head, version uint64, operationID string, audit AuditEntry) ([]stores.Write, error) {
	head, err := encodeHead(next)
	if err != nil {
		return nil, err
	}
	operation, err := json.Marshal(permitRow{next.Epoch})
	if err != nil {
		return nil, err
	}
	entry, err := json.Marshal(audit)
	if err != nil {
		return nil, err
	}
	return []stores.Write{
		{Key: headKey, IfVersion: version, Value: head},
		{Key: permitKey(operationID), Value: operation},
		{Key: permissionAuditKey(next.Epoch, operationID), Value: entry},
	}, nil
}

// liftedWrites removes the restrictions that a head lifts from their row. They
// must not outlive the head's memory of the return.
func (c *Control) liftedWrites(ctx context.Context, next *facts.Head, bundle *facts.Bundle) ([]stores.Write, error) {
	if !slices.Contains(slices.Collect(maps.Values(next.ClearedAt)), next.Epoch) {
		return nil, nil
	}
	row, err := c.table.Get(ctx, restrictionsKey)
	if err != nil {
		return nil, err
	}
	held, err := decodeRestrictions(row)
	if err != nil {
		return nil, err
	}
	kept := mergeRow(next, bundle, held)
	if len(kept) == len(held) {
		return nil, nil
	}
	value, err := encodeRestrictions(kept)
	return []stores.Write{{Key: restrictionsKey, IfVersion: row.Version, Value: value}}, err
}

// permitted reports whether the operation took effect.
func (c *Control) permitted(ctx context.Context, operationID string) (bool, error) {
	row, err := c.table.Get(ctx, permitKey(operationID))
	return row.Version > 0, err
}

// headAfter returns the head of the table for an operation that took effect.
func (c *Control) headAfter(ctx context.Context, err error) (facts.Head, error) {
	if err != nil {
		return facts.Head{}, err
	}
	row, err := c.table.Get(ctx, headKey)
	if err != nil {
		return facts.Head{}, err
	}
	h, err := decodeHead(row)
	if err != nil {
		return facts.Head{}, err
	}
	if err := c.adopt(ctx, h); err != nil {
		c.notAdopted(h.Epoch, err)
	}
	return h, nil
}

// afterFailure reads the operation id back after a failed transaction.
func (c *Control) afterFailure(ctx context.Context, operationID string, cause error) (facts.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackTime)
	defer cancel()
	for {
		done, err := c.permitted(ctx, operationID)
		if err == nil && done {
			return c.headAfter(ctx, nil)
		}
		if err == nil && errs.Is(cause, errs.Conflict) {
			return facts.Head{}, c.conflict(ctx, cause)
		}
		if err == nil {
			return facts.Head{}, errs.Wrap(cause, errs.Unavailable, "try again with the same operation id", "permission has not taken effect")
		}
		if !duty.Pause(ctx, readBackPause) {
			return facts.Head{}, errs.Wrap(cause, errs.Unknown, "try again with the same operation id", "permission may have taken effect")
		}
	}
}

// conflict names the current epoch and puts the winner in force here.
func (c *Control) conflict(ctx context.Context, cause error) error {
	h, err := c.headAfter(ctx, nil)
	if err != nil {
		h.Epoch = c.Epoch()
	}
	return errs.Wrap(cause, errs.Conflict, "look at the current state and decide again", "another change came first, the epoch is now %d", h.Epoch)
}

// AuditTrail reads at most limit entries after a cursor, oldest first. An empty
// cursor starts at the beginning. A restriction that is written late, after an
// outage of the table, is placed by its stamp and may lie before a cursor.
func (c *Control) AuditTrail(ctx context.Context, after string, limit int) ([]AuditEntry, error) {
	rows, err := c.table.List(ctx, auditPartition, after, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]AuditEntry, len(rows))
	for i, row := range rows {
		if err := decode(row, &entries[i]); err != nil {
			return nil, err
		}
		entries[i].Cursor = row.Key.Sort
	}
	return entries, nil
}
