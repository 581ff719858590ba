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
	// tableSessions is how many requests of one process run at a time, so that
	// a slow one does not hold up a lease renewal.
	tableSessions = 4
	// tableRequestsPerSecond and tableBurst bound one process's requests.
	tableRequestsPerSecond = 100
	tableBurst             = 200
	// tableTimeout bounds a request whose caller has no earlier deadline.
	tableTimeout = 5 * time.Second
)

// tableJob is one request; it pushes its answer to the ring of its caller.
type tableJob func(t stores.Table)

// runTable carries out requests to the table, one at a time.
func (c *Control) runTable(ctx context.Context) error {
	for {
		job, err := c.tableJobs.Receive(ctx)
		if err != nil {
			return err
		}
		job(c.opts.Table)
	}
}

type answer[T any] struct {
	value T
	err   error
}

// request passes a request to the table duties and waits for its answer.
func request[T any](ctx context.Context, c *Control, run func(t stores.Table) (T, error)) (T, error) {
	var zero T
	if !c.budget.Allow() {
		return zero, errs.New(errs.Exhausted, "send fewer changes a second", "request budget of the table is used up")
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	replies := ring.New[answer[T]](1)
	job := func(t stores.Table) {
		if err := ctx.Err(); err != nil {
			replies.Push(answer[T]{err: errs.Wrap(err, errs.Unavailable, "retry later", "table request waited too long")})
			return
		}
		v, err := run(t)
		c.metrics.requests.Add(ctx, 1, result(err))
		replies.Push(answer[T]{v, err})
	}
	if !c.tableJobs.Offer(job) {
		return zero, errs.New(errs.Unavailable, "retry later", "too many requests wait for the table")
	}
	a, err := await(ctx, c.ctx, replies)
	if err != nil {
		return zero, errs.Wrap(err, errs.Unknown, "read the operation id back", "table did not answer in time")
	}
	return a.value, a.err
}

// tableClient is the platform's table behind the ring of the table duties.
type tableClient struct{ c *Control }

// Get reads one row.
func (t *tableClient) Get(ctx context.Context, key stores.Key) (stores.Row, error) {
	row, err := request(ctx, t.c, func(p stores.Table) (stores.Row, error) { return p.Get(ctx, key) })
	return row, readError(err)
}

// List reads rows of a partition in order.
func (t *tableClient) List(ctx context.Context, partition, after string, limit int) ([]stores.Row, error) {
	rows, err := request(ctx, t.c, func(p stores.Table) ([]stores.Row, error) {
		return p.List(ctx, partition, after, limit)
	})
	return rows, readError(err)
}

// Transact applies all writes or none.
func (t *tableClient) Transact(ctx context.Context, operationID string, writes []stores.Write) error {
	_, err := request(ctx, t.c, func(p stores.Table) (struct{}, error) {
		return struct{}{}, p.Transact(ctx, operationID, writes)
	})
	return err
}

// readError turns a lost answer into Unavailable: a read has no effect that
// could be unknown.
func readError(err error) error {
	if errs.Is(err, errs.Unknown) {
		return errs.Wrap(err, errs.Unavailable, "retry later", "table cannot be read")
	}
	return err
}

// transactionID returns an id for one attempt of a transaction. Attempts never
// share an id, because an attempt that re-read its rows writes other values.
func (c *Control) transactionID(purpose string) string {
	return fmt.Sprintf("%s/%s/%d/%d", purpose, c.opts.Node, c.opts.Incarnation, c.transactions.Add(1))
}
