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

const (
	// readBackTimeout is the maximum time spent on reading back whether an operation
	// took effect after a failed transaction.
	readBackTimeout  = 3 * time.Second
	readBackInterval = 200 * time.Millisecond
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
	// Cursor is the position of the entry in the trail. It is not stored.
	Cursor string `json:"-"`
}

// Time returns the time of the change.
func (e AuditEntry) Time() time.Time { return time.UnixMilli(e.TimeMS).UTC() }

// operationJSON records that an operation took effect, and the resulting epoch.
type operationJSON struct {
	Epoch core.Epoch `json:"epoch"`
}

// Permit writes a permission, that is, it changes the head in one conditional
// transaction, together with a row for the operation id and an audit row. The change
// function receives a copy of the head that already has the next epoch, so that it may
// call Clear. If the operation with this id already took effect, Permit changes nothing
// and returns the head in the table.
//
// Permit returns the errors of the change function, of loading the bundle and of
// decoding rows. Its other errors have these kinds:
//
//   - Conflict: another change was written first. The message contains the last observed
//     epoch.
//   - Unavailable: the transaction did not take effect, or the table could not be read.
//     The caller may retry with the same id.
//   - Unknown: the response was lost and the operation could not be read back. The
//     caller must retry with the same id.
//   - Exhausted: the request rate of the table is exceeded.
//   - Invalid: the operation id is missing or too long.
func (c *Control) Permit(ctx context.Context, operationID string, change func(facts.Head) (facts.Head, error), audit AuditEntry) (facts.Head, error) {
	if operationID == "" || len(operationID) > 128 {
		return facts.Head{}, errs.New(errs.Invalid, "use an id of 1 to 128 bytes", "permission has no valid operation id")
	}
	if applied, err := c.operationApplied(ctx, operationID); err != nil || applied {
		// The head is read only if err is nil. Otherwise the call returns err.
		return c.readAndPutHeadInForce(ctx, err)
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
	removals, err := c.removalWrites(ctx, &next, bundle)
	if err != nil {
		return facts.Head{}, err
	}
	writes = append(writes, removals...)
	err = c.table.Transact(ctx, c.transactionID("permit/"+operationID), writes)
	if err != nil {
		return c.resolveFailedPermit(ctx, operationID, err)
	}
	c.log.WithFields(logrus.Fields{"event": "permission", "epoch": next.Epoch, "actor": audit.Actor, "action": audit.Action, "operation": operationID}).Info("permission granted")
	if err := c.mergeFacts(ctx, mergeRequest{update: facts.Update{Head: &next, Bundle: bundle}}); err != nil {
		c.handleNotInForce(next.Epoch, err)
	}
	return next, nil
}

// handleNotInForce logs that a permission in the table is not yet in force in this
// process, and starts exchanges to receive it. A later read of the table also puts it in
// force.
func (c *Control) handleNotInForce(epoch core.Epoch, err error) {
	c.ObserveEpoch(epoch)
	c.log.WithFields(logrus.Fields{"event": "permission_not_adopted", "epoch": epoch}).WithError(err).Warn("permission is in the table, but not yet in force in this process")
}

// nextHead applies the change to the head in a row, sets the epochs and returns the
// new head with its bundle.
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
	// A head with a missing or invalid bundle could never be put in force.
	bundle, err := c.loadBundle(ctx, next.BundleDigest)
	return next, bundle, err
}

// permitWrites returns the writes of the head, of the operation and of the audit entry.
func permitWrites(next *facts.Head, version uint64, operationID string, audit AuditEntry) ([]stores.Write, error) {
	headValue, err := encodeHead(next)
	if err != nil {
		return nil, err
	}
	operationValue, err := json.Marshal(operationJSON{next.Epoch})
	if err != nil {
		return nil, err
	}
	auditValue, err := json.Marshal(audit)
	if err != nil {
		return nil, err
	}
	return []stores.Write{
		{Key: headKey, ExpectedVersion: version, Value: headValue},
		{Key: operationKey(operationID), Value: operationValue},
		{Key: permissionAuditKey(next.Epoch, operationID), Value: auditValue},
	}, nil
}

// removalWrites returns the write that removes the restrictions lifted by the next head
// from the restrictions row, or nil if the next head lifts none. A restriction must not
// remain in the row after it was lifted: its entry in ClearedAt expires after
// facts.ClearedRetention, and the restriction would then come into force again.
func (c *Control) removalWrites(ctx context.Context, next *facts.Head, bundle *facts.Bundle) ([]stores.Write, error) {
	if !slices.Contains(slices.Collect(maps.Values(next.ClearedAt)), next.Epoch) {
		return nil, nil
	}
	row, err := c.table.Get(ctx, restrictionsKey)
	if err != nil {
		return nil, err
	}
	persisted, err := decodeRestrictions(row)
	if err != nil {
		return nil, err
	}
	remaining := mergeRestrictions(next, bundle, persisted)
	if len(remaining) == len(persisted) {
		return nil, nil
	}
	value, err := encodeRestrictions(remaining)
	return []stores.Write{{Key: restrictionsKey, ExpectedVersion: row.Version, Value: value}}, err
}

// operationApplied reads from the table whether the operation took effect.
func (c *Control) operationApplied(ctx context.Context, operationID string) (bool, error) {
	row, err := c.table.Get(ctx, operationKey(operationID))
	return row.Version > 0, err
}

// readAndPutHeadInForce reads the head from the table, puts it in force in this process
// and returns it. If err, the error of the preceding request, is not nil, it returns err
// and does not read the head.
func (c *Control) readAndPutHeadInForce(ctx context.Context, err error) (facts.Head, error) {
	if err != nil {
		return facts.Head{}, err
	}
	row, err := c.table.Get(ctx, headKey)
	if err != nil {
		return facts.Head{}, err
	}
	head, err := decodeHead(row)
	if err != nil {
		return facts.Head{}, err
	}
	if err := c.putHeadInForce(ctx, head); err != nil {
		c.handleNotInForce(head.Epoch, err)
	}
	return head, nil
}

// resolveFailedPermit reads back whether the operation took effect although its
// transaction failed, and returns the head or the error of Permit.
func (c *Control) resolveFailedPermit(ctx context.Context, operationID string, cause error) (facts.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	for {
		applied, err := c.operationApplied(ctx, operationID)
		if err == nil && applied {
			return c.readAndPutHeadInForce(ctx, nil)
		}
		if err == nil && errs.Is(cause, errs.Conflict) {
			return facts.Head{}, c.conflictError(ctx, cause)
		}
		if err == nil {
			return facts.Head{}, errs.Wrap(cause, errs.Unavailable, "retry with the same operation id", "permission has not taken effect")
		}
		if !duty.Pause(ctx, readBackInterval) {
			return facts.Head{}, errs.Wrap(cause, errs.Unknown, "retry with the same operation id", "permission may have taken effect")
		}
	}
}

// conflictError reads the head from the table, puts it in force in this process and
// returns an error with its epoch. If the table cannot be read, the error contains the
// epoch in force in this process.
func (c *Control) conflictError(ctx context.Context, cause error) error {
	head, err := c.readAndPutHeadInForce(ctx, nil)
	if err != nil {
		head.Epoch = c.Epoch()
	}
	return errs.Wrap(cause, errs.Conflict, "check the current state before retrying", "another change was written first; the last observed epoch is %d", head.Epoch)
}

// AuditTrail reads at most limit entries after a cursor, oldest first. With an empty
// cursor it starts at the beginning. A restriction that was written after an outage of
// the table is sorted by its stamp, so its entry may be before a cursor that was
// returned earlier.
func (c *Control) AuditTrail(ctx context.Context, cursor string, limit int) ([]AuditEntry, error) {
	rows, err := c.table.List(ctx, auditPartition, cursor, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]AuditEntry, len(rows))
	for i, row := range rows {
		if err := decodeRow(row, &entries[i]); err != nil {
			return nil, err
		}
		entries[i].Cursor = row.Key.Sort
	}
	return entries, nil
}
