package fleet

import (
	"bytes"
	"time"
)

// apply applies an update from the store or a peer. restored is true if the update
// contains the table after the store's content was restored from a copy.
func (s *state) apply(now time.Time, u update) (changed, restored bool) {
	seen := s.seen[u.table]
	switch {
	case seen.Version == 0 && u.complete:
		s.seen[u.table] = Position{Generation: u.position.Generation}
		return s.replace(now, u.table, u.rows, u.position.Version), false
	case u.position.Generation > seen.Generation && u.complete:
		s.restore(now, u)
		return true, true
	case u.position.Generation != seen.Generation:
		return false, false // lost content, or changes without the rows that they refer to
	case u.complete:
		return s.replace(now, u.table, u.rows, u.position.Version), false
	}
	return s.merge(now, u.table, u.rows, u.position.Version), false
}

// restore applies a complete table of a newer generation. All rows of the table get
// versions of that generation. Values that are newer than the copy remain in force; see
// carryOver.
func (s *state) restore(now time.Time, u update) {
	present := make(map[string]bool, len(u.rows))
	for _, row := range u.rows {
		present[row.Key] = true
	}
	rows := u.rows
	for key := range s.rows {
		if key.table == u.table && !present[key.key] {
			rows = append(rows, Row{Table: u.table, Key: key.key, Version: u.position.Version, Removed: true})
		}
	}
	for _, row := range rows {
		key := rowKey{row.Table, row.Key}
		old, next := s.rows[key], s.newRowState(now, row)
		if old != nil {
			next.keepDecoded(old)
			s.carryOver(old, next)
		}
		s.finish(old, next)
		s.rows[key] = next
	}
	s.seen[u.table] = u.position
}

// keepDecoded keeps the decoded value of an old row with the same content.
func (rs *rowState) keepDecoded(old *rowState) {
	if !rs.row.Removed && !old.row.Removed && bytes.Equal(rs.row.Value, old.row.Value) {
		rs.listed, rs.decoded = old.listed, old.listed
	}
}

// carryOver decides what remains in force of the old row after a restore. The
// configuration and the history of weight versions never go back; see finish.
func (s *state) carryOver(old, next *rowState) {
	if next.row.Table == s.tables.Operator {
		carryOverRequest(old, next)
	}
}

// carryOverRequest retains what the operator has requested since the copy.
func carryOverRequest(old, next *rowState) {
	if old.decoded.Weights != nil && next.listed.Weights == nil {
		next.decoded = old.decoded
	}
}
