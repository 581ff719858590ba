package fleet_test

import (
	"context"
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
)

// restoredStore is a store that is restored from copies and may perform transactions
// late. A row written through it contains the generation of its content as the first byte.
type restoredStore struct {
	rows       []fleet.Row
	version    uint64
	generation core.Generation
	// late contains the transactions that have no result and were not performed yet.
	late []fleet.Transaction
	// loseNext makes the next transaction late.
	loseNext bool
}

func (s *restoredStore) respond(rows []fleet.Row) fleet.StoreResponse {
	return fleet.StoreResponse{Rows: rows, Version: s.version, Generation: s.generation}
}

// Rows implements fleet.Store.
func (s *restoredStore) Rows(_ context.Context, table fleet.Table) (fleet.StoreResponse, error) {
	var rows []fleet.Row
	for _, row := range s.rows {
		if row.Table == table {
			rows = append(rows, row)
		}
	}
	return s.respond(rows), nil
}

// Changes implements fleet.Store.
func (s *restoredStore) Changes(context.Context, fleet.Table, uint64, time.Duration) (fleet.StoreResponse, error) {
	return s.respond(nil), nil
}

// Commit implements fleet.Store.
func (s *restoredStore) Commit(_ context.Context, tx fleet.Transaction) (fleet.StoreResponse, error) {
	if s.loseNext {
		s.loseNext = false
		s.late = append(s.late, tx)
		return fleet.StoreResponse{}, errs.New(errs.Unknown, "", "no response")
	}
	if !s.perform(tx) {
		return fleet.StoreResponse{}, errs.New(errs.Conflict, "", "a row has changed")
	}
	return s.respond(nil), nil
}

func (s *restoredStore) find(row fleet.Row) int {
	return slices.IndexFunc(s.rows, func(r fleet.Row) bool { return r.Table == row.Table && r.Key == row.Key })
}

// perform performs a transaction if its conditions are met.
func (s *restoredStore) perform(tx fleet.Transaction) bool {
	for _, condition := range tx.Conditions {
		version := uint64(0)
		if i := s.find(condition); i >= 0 {
			version = s.rows[i].Version
		}
		if version != condition.Version {
			return false
		}
	}
	s.version++
	s.rows = slices.Clone(s.rows) // copies keep the rows before
	for _, row := range slices.Concat(tx.Puts, tx.Removes) {
		if i := s.find(row); i >= 0 {
			s.rows = slices.Delete(s.rows, i, i+1)
		}
	}
	for _, row := range tx.Puts {
		row.Version = s.version
		s.rows = append(s.rows, row)
	}
	return true
}

// statusKey is the row that the tests write under a mark.
var statusKey = fleet.Row{Table: "status", Key: "rollout/s"}

// writeMarked replaces the status row under a mark. The value is the generation.
func writeMarked(ctx context.Context, s *restoredStore, loseMark, loseWrite bool) error {
	s.loseNext = loseMark
	mark, err := fleet.ReadGenerationMark(ctx, s)
	s.loseNext = loseWrite
	if err != nil {
		return err
	}
	row := statusKey
	if i := s.find(row); i >= 0 {
		row.Version = s.rows[i].Version
	}
	put := fleet.Row{Table: row.Table, Key: row.Key, Value: []byte{byte(mark.Generation)}}
	_, err = s.Commit(ctx, mark.Bind(fleet.Transaction{Conditions: []fleet.Row{row}, Puts: []fleet.Row{put}}))
	return err
}

// statusGeneration returns the generation in which the status row was written, or 0.
func statusGeneration(s *restoredStore) byte {
	if i := s.find(statusKey); i >= 0 {
		return s.rows[i].Value[0]
	}
	return 0
}

// Guards against a write of one generation that takes effect late on a row that was
// written in a later generation, under a version that was assigned again.
func TestMarkedWriteNeverReplacesRowOfLaterGeneration(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261205", "rapid.checks": "5000", "rapid.nofailfile": "true"} {
		require.NoError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(t *rapid.T) {
		s := &restoredStore{generation: 1}
		copies := []restoredStore{*s}
		for range 40 {
			switch rapid.SampledFrom([]string{"write", "write", "late", "late", "restore", "lost mark", "lost write"}).Draw(t, "event") {
			case "write":
				_ = writeMarked(context.Background(), s, false, false)
			case "lost mark":
				_ = writeMarked(context.Background(), s, true, false)
			case "lost write":
				_ = writeMarked(context.Background(), s, false, true)
			case "restore":
				from := rapid.SampledFrom(copies).Draw(t, "copy")
				s.rows, s.version = from.rows, from.version
				s.generation++
			case "late":
				if len(s.late) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(s.late)-1).Draw(t, "transaction")
				tx := s.late[i]
				s.late = slices.Delete(s.late, i, i+1)
				before := statusGeneration(s)
				s.perform(tx)
				require.GreaterOrEqual(t, statusGeneration(s), before, "a late write replaced a row of a later generation")
			}
			s.loseNext = false
			copies = append(copies, restoredStore{rows: s.rows, version: s.version})
		}
	})
}

// Guards against marks that accumulate, one for each restore of the store.
func TestMarksOfOlderGenerationsAreRemoved(t *testing.T) {
	s := &restoredStore{}
	for range 150 {
		s.generation++
		require.NoError(t, writeMarked(t.Context(), s, false, false))
	}
	require.Len(t, s.rows, 2, "the status and one mark")
	for range 150 { // marks without a write of a row after them
		s.generation++
		s.rows = append(s.rows, fleet.Row{Table: "generations", Key: "0/" + string(rune('a'+s.generation)), Version: 1})
	}
	require.Eventually(t, func() bool { return writeMarked(t.Context(), s, false, false) == nil && len(s.rows) == 2 }, time.Second, time.Millisecond)
}
