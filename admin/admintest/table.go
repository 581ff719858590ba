package admintest

import (
	"context"
	"sync"
	"sync/atomic"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/stores"
)

// Table is an in-memory stores.Table for transactions of one write.
type Table struct {
	rows sync.Map
	// Fail is how many further calls fail as unavailable.
	Fail atomic.Int32
}

// Get implements stores.Table.
func (t *Table) Get(_ context.Context, key stores.Key) (stores.Row, error) {
	if t.Fail.Add(-1) >= 0 {
		return stores.Row{}, errs.New(errs.Unavailable, "retry later", "table does not answer")
	}
	row, ok := t.rows.Load(key)
	if !ok {
		return stores.Row{Key: key}, nil
	}
	return *row.(*stores.Row), nil
}

// List implements stores.Table; it finds nothing.
func (t *Table) List(context.Context, string, string, int) ([]stores.Row, error) { return nil, nil }

// Transact implements stores.Table.
func (t *Table) Transact(_ context.Context, _ string, writes []stores.Write) error {
	w := writes[0]
	next := &stores.Row{Key: w.Key, Version: w.ExpectedVersion + 1, Value: w.Value}
	if w.ExpectedVersion == 0 {
		if _, loaded := t.rows.LoadOrStore(w.Key, next); loaded {
			return conflict()
		}
		return nil
	}
	old, ok := t.rows.Load(w.Key)
	if !ok || old.(*stores.Row).Version != w.ExpectedVersion || !t.rows.CompareAndSwap(w.Key, old, next) {
		return conflict()
	}
	return nil
}

func conflict() error { return errs.New(errs.Conflict, "read the row again", "row has changed") }
