package admintest

import (
	"context"
	"sync"
	"sync/atomic"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/platform"
)

// Table is an in-memory platform.Table for transactions of one write.
type Table struct {
	rows sync.Map
	// Fail is how many further calls fail as unavailable.
	Fail atomic.Int32
}

// Get implements platform.Table.
func (t *Table) Get(_ context.Context, key platform.Key) (platform.Row, error) {
	if t.Fail.Add(-1) >= 0 {
		return platform.Row{}, errs.New(errs.Unavailable, "retry later", "table does not answer")
	}
	row, ok := t.rows.Load(key)
	if !ok {
		return platform.Row{Key: key}, nil
	}
	return *row.(*platform.Row), nil
}

// List implements platform.Table; it finds nothing.
func (t *Table) List(context.Context, string, string, int) ([]platform.Row, error) { return nil, nil }

// Transact implements platform.Table.
func (t *Table) Transact(_ context.Context, _ string, writes []platform.Write) error {
	w := writes[0]
	next := &platform.Row{Key: w.Key, Version: w.IfVersion + 1, Value: w.Value}
	if w.IfVersion == 0 {
		if _, loaded := t.rows.LoadOrStore(w.Key, next); loaded {
			return conflict()
		}
		return nil
	}
	old, ok := t.rows.Load(w.Key)
	if !ok || old.(*platform.Row).Version != w.IfVersion || !t.rows.CompareAndSwap(w.Key, old, next) {
		return conflict()
	}
	return nil
}

func conflict() error { return errs.New(errs.Conflict, "read the row again", "row has changed") }
