package record

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
	// claimRetention is the time after which a claim may be deleted from the table.
	// Until then, a retry of a finished call returns the first response.
	claimRetention = 7 * 24 * time.Hour
	// MaxInlineBytes is the maximum size of a response body that is stored in the
	// row of its claim. Larger bodies are stored in the object store.
	MaxInlineBytes = 64 << 10
	// maxBatchResults is the maximum number of results in one transaction. It keeps
	// a transaction of rows of maximum size below the protocol's limit of 4 MB.
	maxBatchResults = 25
	// The write of a result is retried with delays that double from firstRetryDelay
	// to maxRetryDelay.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// batch is a group of rows written in one transaction.
type batch struct {
	// hasResults is true for a batch of results and false for a batch of claims.
	hasResults bool
	calls      []*liveCall
	writes     []rowWrite
}

// rowWrite is the content to write to the row of a call, and the row version that
// the write replaces. It is a copy made when the batch was formed.
type rowWrite struct {
	key     stores.Key
	version uint64
	row     claim.Row
}

// commitOutcome is the result of the transaction of a batch. After a conflict it contains the current
// row of each call.
type commitOutcome struct {
	batch       batch
	err         error
	currentRows []currentRow
}

type currentRow struct {
	row     claim.Row
	version uint64
}

// committer is a duty that writes batches to the table, one at a time. Calls that
// arrive while a batch is written form the next batch (group commit).
type committer struct {
	name     string
	owner    claim.Owner
	table    stores.Table
	objects  stores.ObjectStore
	log      logrus.FieldLogger
	batches  *ring.Ring[batch]
	outcomes *ring.Ring[commitOutcome]
	// retryUntilStored is set if a batch is retried until it succeeds or conflicts
	// with a row in the table.
	retryUntilStored bool
	// minInterval is the minimum time between the starts of two batches.
	minInterval time.Duration
	batchCount  uint64
}

func (c *committer) run(ctx context.Context) error {
	for {
		b, err := c.batches.Receive(ctx)
		if err != nil {
			return err
		}
		nextStart := time.Now().Add(c.minInterval)
		if err := c.outcomes.Send(ctx, c.commit(ctx, b)); err != nil {
			return err
		}
		if !duty.Pause(ctx, time.Until(nextStart)) {
			return ctx.Err()
		}
	}
}

func (c *committer) commit(ctx context.Context, b batch) commitOutcome {
	c.batchCount++
	id := fmt.Sprintf("%s/%s/%d/%d", c.name, c.owner.Upstream, c.owner.Incarnation, c.batchCount)
	err := c.write(ctx, id, b)
	for delay := firstRetryDelay; c.retryUntilStored && mustRetryWrite(err); delay = min(2*delay, maxRetryDelay) {
		c.log.WithFields(logrus.Fields{"event": "result_not_stored", "calls": len(b.calls)}).WithError(err).Warn("transaction of results failed; the results remain in memory and the transaction is retried")
		if !duty.Pause(ctx, delay) {
			break
		}
		err = c.write(ctx, id, b)
	}
	if !errs.Is(err, errs.Conflict) {
		return commitOutcome{batch: b, err: err}
	}
	rows, readErr := c.readRows(ctx, b)
	for delay := firstRetryDelay; c.retryUntilStored && readErr != nil; delay = min(2*delay, maxRetryDelay) {
		if !duty.Pause(ctx, delay) {
			break
		}
		rows, readErr = c.readRows(ctx, b)
	}
	if readErr != nil {
		return commitOutcome{batch: b, err: readErr}
	}
	return commitOutcome{batch: b, err: err, currentRows: rows}
}

// mustRetryWrite reports whether the write of results must be retried after err.
// Every error other than a conflict is retried, because its cause may disappear: an
// operator can correct settings while the agent runs.
func mustRetryWrite(err error) bool { return err != nil && !errs.Is(err, errs.Conflict) }

func (c *committer) write(ctx context.Context, id string, b batch) error {
	writes := make([]stores.Write, 0, len(b.writes))
	for _, write := range b.writes {
		row, err := c.storeLargeBody(ctx, write)
		if err != nil {
			return err
		}
		writes = append(writes, stores.Write{
			Key: write.key, ExpectedVersion: write.version, Value: encodeRow(row), TTL: claimRetention,
		})
	}
	return c.table.Transact(ctx, id, writes)
}

// storeLargeBody stores a large response body in the object store, before the row
// that refers to the object is written, and returns that row. The object name is
// unique to the attempt, so that no other incarnation replaces the object.
func (c *committer) storeLargeBody(ctx context.Context, write rowWrite) (claim.Row, error) {
	row := write.row
	if len(row.Response.Body) <= MaxInlineBytes {
		return row, nil
	}
	name := objectName(write.key, row.Attempt)
	if err := c.objects.Put(ctx, name, row.Response.Body); err != nil {
		return row, err
	}
	row.Response.Body = nil
	row.Response.BodyObject = name
	return row, nil
}

func objectName(key stores.Key, attempt core.AttemptID) string {
	sum := hashFields([]string{string(attempt)}, nil)
	return fmt.Sprintf("answers/%s/%x", key.Partition, sum[:16])
}

func (c *committer) readRows(ctx context.Context, b batch) ([]currentRow, error) {
	rows := make([]currentRow, 0, len(b.writes))
	for _, write := range b.writes {
		stored, err := c.table.Get(ctx, write.key)
		if err != nil {
			return nil, err
		}
		row, err := decodeRow(stored)
		if err != nil {
			// The row shows that there was an earlier attempt, but not its result.
			c.log.WithFields(logrus.Fields{"event": "claim_corrupt", "row": stored.Key.Partition}).WithError(err).Error("claim in the table is corrupt; its call is treated as one that may have run")
			row = claim.Row{State: claim.Lost, RequestDigest: write.row.RequestDigest}
		}
		rows = append(rows, currentRow{row, stored.Version})
	}
	return rows, nil
}
