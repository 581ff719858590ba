package fleet

import (
	"bytes"
	"cmp"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// restoreGracePeriod is the time after a restore of the store's content in which
// knowledge of this process that is newer than the copy takes precedence over it. The
// operator and the upstreams write again within about two seconds what was lost.
const restoreGracePeriod = 5 * time.Second

// apply applies an update from the store or a peer. restored is true if the update
// contains the table after the store's content was restored from a copy.
func (s *state) apply(now time.Time, u update) (changed, restored bool) {
	seen := s.seen[u.table]
	switch {
	case seen == Position{} && u.complete:
		s.seen[u.table] = Position{Generation: u.position.Generation}
		changed = s.replace(now, u.table, u.rows, u.position.Version)
		s.completeAt[u.table] = u.position
		return changed, false
	case u.position.Generation > seen.Generation && u.complete:
		s.restore(now, u)
		return true, true
	case u.position.Generation != seen.Generation:
		return false, false // lost content, or changes without the rows that they refer to
	case u.position.Version < seen.Version, u.position.Version == seen.Version && !u.complete:
		return false, false // delivered late; may have rows that were removed since
	case u.complete:
		s.completeAt[u.table] = u.position
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
			s.carryOver(now, old, next)
		}
		s.finish(old, next)
		s.rows[key] = next
	}
	s.seen[u.table], s.completeAt[u.table] = u.position, u.position
}

// keepDecoded keeps the decoded value of an old row with the same content.
func (rs *rowState) keepDecoded(old *rowState) {
	if !rs.row.Removed && !old.row.Removed && bytes.Equal(rs.row.Value, old.row.Value) {
		rs.listed, rs.decoded = old.listed, old.listed
	}
}

// retain keeps a value in force for a grace period.
func (rs *rowState) retain(value DecodedRow, from time.Time, gracePeriod time.Duration) {
	rs.decoded, rs.retainedUntil, rs.gracePeriod = value, from.Add(gracePeriod), gracePeriod
}

// carryOver decides what remains in force of the old row after a restore. The
// configuration and the history of weight versions never go back; see finish.
func (s *state) carryOver(now time.Time, old, next *rowState) {
	switch next.row.Table {
	case s.tables.Upstreams:
		carryOverUpstream(now, old, next)
	case MembersTable:
		carryOverMember(old, next)
	case s.tables.Operator:
		carryOverRequest(now, old, next)
	}
}

// carryOverUpstream compares the upstream's own numbers of its entries, which a restore
// does not change. An older entry of the copy, for example of an upstream that has left
// or is draining, comes in force only if it is not written again.
func carryOverUpstream(now time.Time, old, next *rowState) {
	inForce := old.decoded.Upstream
	switch listed := next.listed.Upstream; {
	case next.row.Removed:
		if inForce != nil && !inForce.Draining {
			next.retain(old.decoded, now, removalGracePeriod)
		}
	case listed == nil || old.newestUpstream == nil || listed.IsNewerThan(old.newestUpstream):
	case inForce == listed: // the same content
	default:
		next.retain(old.decoded, now, restoreGracePeriod)
	}
}

// carryOverRequest retains what the operator has requested since the copy, and the
// withdrawal of a rollout. A withdrawn evacuation that the copy has is in force again
// until it is withdrawn again, since it only restricts.
func carryOverRequest(now time.Time, old, next *rowState) {
	before, listed := old.decoded, next.listed
	switch {
	case before.Weights != nil && listed.Weights == nil:
		next.decoded = before
	case before.Evacuated != "" && listed.Evacuated == "":
		next.retain(before, now, restoreGracePeriod)
	case before.Rollout != nil:
		next.receivedAt = old.receivedAt
		next.retain(before, now, restoreGracePeriod)
		if listed.Rollout == nil || *listed.Rollout != *before.Rollout {
			next.requestVersion = cmp.Or(old.requestVersion, old.row.Version)
		}
	case listed.Rollout != nil:
		next.retain(DecodedRow{}, now, restoreGracePeriod) // withdrawn since the copy
	}
}

// replacesRollout reports whether the store lists another rollout than the retained one.
// It begins when the retention ends.
func (rs *rowState) replacesRollout() bool {
	listed, retained := rs.listed.Rollout, rs.decoded.Rollout
	return listed != nil && (retained == nil || *retained != *listed)
}

// continueRollout keeps the time of a rollout's request that is written again within the
// grace period.
func continueRollout(old, next *rowState) {
	if old == nil || old.retainedUntil.IsZero() || old.decoded.Rollout == nil || next.decoded.Rollout == nil {
		return
	}
	if *old.decoded.Rollout == *next.decoded.Rollout {
		next.receivedAt = old.receivedAt
	}
}

// carryOverMember retains a member that the copy lacks until it has not been renewed
// for memberExpiry, so that limits are not divided among too few processes. A member
// that has left is expired at once if the copy lists it.
func carryOverMember(old, next *rowState) {
	next.renewedAt, next.expired = old.renewedAt, old.expired
	before, listed := old.decoded.Member, next.listed.Member
	switch {
	case before == nil && next.row.Removed:
		next.receivedAt, next.expired = old.receivedAt, false
	case before == nil && listed != nil:
		next.renewedAt = next.receivedAt
		next.expired = listed.Incarnation <= old.newestIncarnation
	case before == nil:
	case listed == nil && old.expired:
		next.receivedAt, next.expired = time.Time{}, false
	case listed == nil || listed.Incarnation < before.Incarnation:
		next.decoded = old.decoded
	case listed.Incarnation > before.Incarnation || next.row.Version != old.row.Version:
		// Another version may be a renewal in this generation.
		next.renewedAt, next.expired = next.receivedAt, false
	}
}

// rememberNewest records the newest entry of an upstream or member, also if the row was
// removed since.
func (rs *rowState) rememberNewest(old *rowState) {
	if u := rs.listed.Upstream; u != nil {
		rs.newestUpstream = u
	}
	if m := rs.listed.Member; m != nil {
		rs.newestIncarnation = m.Incarnation
	}
	if old == nil {
		return
	}
	rs.newestIncarnation = max(rs.newestIncarnation, old.newestIncarnation)
	if rs.newestUpstream == nil || old.newestUpstream != nil && old.newestUpstream.IsNewerThan(rs.newestUpstream) {
		rs.newestUpstream = old.newestUpstream
	}
}

// newestGeneration returns the newest generation of all tables.
func (s *state) newestGeneration() core.Generation {
	var newest core.Generation
	for _, position := range s.seen {
		newest = max(newest, position.Generation)
	}
	return newest
}
