package servicecall

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/claim"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/stores"
)

const (
	// claimRetention is how long a retry of a call gets its first answer.
	claimRetention = 7 * 24 * time.Hour
	// MaxInlineBytes is the largest answer that is kept in the row; larger ones
	// go to the object store.
	MaxInlineBytes = 64 << 10
	// maxResults keeps a transaction of full rows below the 4 MB of the protocol.
	maxResults = 25
	// A result that cannot be stored is tried again with growing waits.
	firstStoreDelay = 100 * time.Millisecond
	maxStoreDelay   = 2 * time.Second
)

// batch is a group of rows written in one transaction.
type batch struct {
	// results tells a batch of results from a batch of claims.
	results bool
	calls   []*liveCall
	rows    []rowWrite
}

// rowWrite is the state of a call when its batch was formed.
type rowWrite struct {
	key     stores.Key
	version uint64
	record  claim.Row
}

// committed is the result of a batch. After a conflict it has the current row
// of each call.
type committed struct {
	batch batch
	err   error
	rows  []currentRow
}

type currentRow struct {
	record  claim.Row
	version uint64
}

// committer is a duty that writes batches to the table, one at a time. While
// one is under way, further calls gather for the next: the group commit.
type committer struct {
	name    string
	owner   claim.Owner
	table   stores.Table
	objects stores.Objects
	log     logrus.FieldLogger
	in      *ring.Ring[batch]
	out     *ring.Ring[committed]
	// persistent batches are tried until they succeed or meet a conflict.
	persistent bool
	// interval is the shortest time from the start of one batch to the next.
	interval   time.Duration
	operations uint64
}

func (c *committer) run(ctx context.Context) error {
	for {
		b, err := c.in.Receive(ctx)
		if err != nil {
			return err
		}
		next := time.Now().Add(c.interval)
		if err := c.out.Send(ctx, c.commit(ctx, b)); err != nil {
			return err
		}
		if !duty.Pause(ctx, time.Until(next)) {
			return ctx.Err()
		}
	}
}

func (c *committer) commit(ctx context.Context, b batch) committed {
	c.operations++
	id := fmt.Sprintf("%s/%s/%d/%d", c.name, c.owner.Upstream, c.owner.Incarnation, c.operations)
	err := c.write(ctx, id, b)
	for delay := firstStoreDelay; c.persistent && retryStore(err); delay = min(2*delay, maxStoreDelay) {
		c.log.WithFields(logrus.Fields{"event": "result_not_stored", "calls": len(b.calls)}).WithError(err).Warn("result is kept in memory")
		if !duty.Pause(ctx, delay) {
			break
		}
		err = c.write(ctx, id, b)
	}
	if !errs.Is(err, errs.Conflict) {
		return committed{batch: b, err: err}
	}
	rows, readErr := c.read(ctx, b)
	for delay := firstStoreDelay; c.persistent && readErr != nil; delay = min(2*delay, maxStoreDelay) {
		if !duty.Pause(ctx, delay) {
			break
		}
		rows, readErr = c.read(ctx, b)
	}
	if readErr != nil {
		return committed{batch: b, err: readErr}
	}
	return committed{batch: b, err: err, rows: rows}
}

// retryStore reports whether a result has to be written again. Everything but
// a conflict may pass: an operator can repair settings while the agent runs.
func retryStore(err error) bool { return err != nil && !errs.Is(err, errs.Conflict) }

func (c *committer) write(ctx context.Context, id string, b batch) error {
	writes := make([]stores.Write, 0, len(b.rows))
	for _, row := range b.rows {
		record, err := c.moveLargeBody(ctx, row)
		if err != nil {
			return err
		}
		writes = append(writes, stores.Write{
			Key: row.key, IfVersion: row.version, Value: encodeRecord(record), TTL: claimRetention,
		})
	}
	return c.table.Transact(ctx, id, writes)
}

// moveLargeBody puts a large answer into the object store before the row that
// names it is written. The name is unique to the attempt, so that no other
// incarnation replaces the object.
func (c *committer) moveLargeBody(ctx context.Context, row rowWrite) (claim.Row, error) {
	record := row.record
	if len(record.Response.Body) <= MaxInlineBytes {
		return record, nil
	}
	name := objectName(row.key, record.Attempt)
	if err := c.objects.Put(ctx, name, record.Response.Body); err != nil {
		return record, err
	}
	record.Response.Body = nil
	record.Response.BodyObject = name
	return record, nil
}

func objectName(key stores.Key, attempt core.AttemptID) string {
	sum := digest([]string{string(attempt)}, nil)
	return fmt.Sprintf("answers/%s/%x", key.Partition, sum[:16])
}

func (c *committer) read(ctx context.Context, b batch) ([]currentRow, error) {
	rows := make([]currentRow, 0, len(b.rows))
	for _, write := range b.rows {
		row, err := c.table.Get(ctx, write.key)
		if err != nil {
			return nil, err
		}
		record, err := decodeRecord(row)
		if err != nil {
			// The row proves an earlier attempt, but not what became of it.
			c.log.WithFields(logrus.Fields{"event": "claim_corrupt", "row": row.Key.Partition}).WithError(err).Error("claim cannot be read")
			record = claim.Row{State: claim.Lost, RequestDigest: write.record.RequestDigest}
		}
		rows = append(rows, currentRow{record, row.Version})
	}
	return rows, nil
}
