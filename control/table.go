package control

import (
	"context"
	"fmt"
	"time"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/stores"
)

const (
	// tableConcurrency is the number of concurrent requests of one process. It is
	// greater than one so that a slow request does not delay a lease renewal.
	tableConcurrency = 4
	// tableRequestsPerSecond and tableBurst limit the request rate of one process.
	tableRequestsPerSecond = 100
	tableBurst             = 200
	// tableTimeout is the maximum duration of a request. The caller's context may have
	// an earlier deadline.
	tableTimeout = 5 * time.Second
)

// tableRequest executes one request and pushes its result to the ring of the caller.
type tableRequest func(t stores.Table)

// runTable executes requests to the table, one at a time.
func (c *Control) runTable(ctx context.Context) error {
	for {
		request, err := c.tableRequests.Receive(ctx)
		if err != nil {
			return err
		}
		request(c.opts.Table)
	}
}

// tableResult is the result of one request to the table.
type tableResult[T any] struct {
	value T
	err   error
}

// requestTable sends a request to the table duties and waits for its result.
func requestTable[T any](ctx context.Context, c *Control, execute func(t stores.Table) (T, error)) (T, error) {
	var zero T
	if !c.tableLimiter.Allow() {
		return zero, errs.New(errs.Exhausted, "send fewer requests per second", "this process has exceeded its rate limit for table requests")
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	results := ring.New[tableResult[T]](1)
	request := func(t stores.Table) {
		if err := ctx.Err(); err != nil {
			results.Push(tableResult[T]{err: errs.Wrap(err, errs.Unavailable, "retry later", "request was not sent to the table before its deadline")})
			return
		}
		value, err := execute(t)
		c.metrics.tableRequests.Add(ctx, 1, resultAttribute(err))
		results.Push(tableResult[T]{value, err})
	}
	if !c.tableRequests.Offer(request) {
		return zero, errs.New(errs.Unavailable, "retry later", "queue of table requests is full")
	}
	result, err := await(ctx, c.dutiesCtx, results)
	if err != nil {
		return zero, errs.Wrap(err, errs.Unknown, "read the operation id back", "no response from the table before the request ended")
	}
	return result.value, result.err
}

// tableClient sends requests to the platform's table through the table duties.
type tableClient struct{ c *Control }

// Get implements stores.Table.
func (t *tableClient) Get(ctx context.Context, key stores.Key) (stores.Row, error) {
	row, err := requestTable(ctx, t.c, func(table stores.Table) (stores.Row, error) { return table.Get(ctx, key) })
	return row, readError(err)
}

// List implements stores.Table.
func (t *tableClient) List(ctx context.Context, partition, afterSort string, limit int) ([]stores.Row, error) {
	rows, err := requestTable(ctx, t.c, func(table stores.Table) ([]stores.Row, error) {
		return table.List(ctx, partition, afterSort, limit)
	})
	return rows, readError(err)
}

// Transact implements stores.Table.
func (t *tableClient) Transact(ctx context.Context, transactionID string, writes []stores.Write) error {
	_, err := requestTable(ctx, t.c, func(table stores.Table) (struct{}, error) {
		return struct{}{}, table.Transact(ctx, transactionID, writes)
	})
	return err
}

// readError converts the error of a lost response from Unknown to Unavailable, because
// a read has no effect that could be unknown.
func readError(err error) error {
	if errs.Is(err, errs.Unknown) {
		return errs.Wrap(err, errs.Unavailable, "retry later", "table cannot be read")
	}
	return err
}

// transactionID returns a unique id for one transaction. A retried transaction gets a
// new id, because it reads its rows again and writes other values.
func (c *Control) transactionID(purpose string) string {
	return fmt.Sprintf("%s/%s/%d/%d", purpose, c.opts.Node, c.opts.Incarnation, c.transactionCount.Add(1))
}
