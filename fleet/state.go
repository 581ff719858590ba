package fleet

import (
	"cmp"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// removalGracePeriod is the time for which an upstream remains in use after its
	// row was removed during a store outage. Live upstreams are listed again within
	// two seconds after the store has recovered.
	removalGracePeriod = 2200 * time.Millisecond
	// recoveryWindow is the time after the store has recovered in which a removed row
	// is attributed to the outage.
	recoveryWindow = 2200 * time.Millisecond
	// maxWeightVersions limits the weight history of a model.
	maxWeightVersions = 16
)

type rowKey struct {
	table Table
	key   string
}

// rowState is a row with its decoded value.
type rowState struct {
	row Row
	// listed is the decoded value of the row as the store has it. decoded is the value
	// in force, which differs while an older value is retained.
	listed, decoded DecodedRow
	// receivedAt is the time at which this process received this version of the row;
	// zero for rows that are older than this process.
	receivedAt time.Time
	// renewedAt is the time from which the expiry of a member is counted. It is the
	// time at which this version of the row was received, and advances while the
	// upstreams table is unavailable, since renewals may not be received then.
	renewedAt time.Time
	expired   bool
	// weightHistory contains the weight versions that the row has contained so far.
	weightHistory catalog.WeightHistory
	// retainedUntil is set while a value is retained for a limited time. gracePeriod is
	// that time.
	retainedUntil time.Time
	gracePeriod   time.Duration
	// requestVersion is the version of the row that a retained rollout was read from; 0
	// if the row as the store has it requests the same rollout. It is the same in all
	// processes that retain the rollout.
	requestVersion uint64
	// newestUpstream is the newest entry of the upstream, newestIncarnation the newest
	// incarnation of the member. They remain when the row is removed.
	newestUpstream    *catalog.Upstream
	newestIncarnation core.Incarnation
}

// state merges rows from the store and from peers. For each row the newest version
// wins, so that no change is reverted. When the store's content was restored from a
// copy, versions start again from that copy; see restore. It performs no I/O.
type state struct {
	tables  Tables
	decoder Decoder
	rows    map[rowKey]*rowState
	// seen contains, for each table, the position up to which all changes have been
	// received. All rows of a table belong to the generation of its position.
	seen map[Table]Position
	// completeAt contains, for each table, the position of the last complete read that was
	// applied. Records of removals before it may be missing, so that a peer that has seen
	// less receives the complete table.
	completeAt map[Table]Position
	// upstreamsUnavailableSince is the time since which the upstreams table cannot be
	// read from the store, zero while it can be read. upstreamsRecoveredAt is the end
	// of the last such outage.
	upstreamsUnavailableSince time.Time
	upstreamsRecoveredAt      time.Time
	// servedAt is the time at which rows were last received from a peer that reads the
	// store without failures.
	servedAt time.Time
	// decodeErrors collects the errors of rows that could not be decoded, for the
	// log.
	decodeErrors []error
}

func newState(tables Tables, decoder Decoder) *state {
	return &state{
		tables: tables, decoder: decoder, rows: make(map[rowKey]*rowState),
		seen: make(map[Table]Position), completeAt: make(map[Table]Position),
	}
}

// merge applies changed rows of a table and records that all its changes up to a
// version have been received.
func (s *state) merge(now time.Time, table Table, rows []Row, version uint64) (changed bool) {
	for _, row := range rows {
		changed = s.put(now, row) || changed
	}
	seen := s.seen[table]
	seen.Version = max(seen.Version, version)
	s.seen[table] = seen
	return changed
}

// replace applies the complete table as of a version. Rows that are missing from it
// were removed.
func (s *state) replace(now time.Time, table Table, rows []Row, version uint64) (changed bool) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = !row.Removed // a peer may have an older removal than this row
	}
	for key, rs := range s.rows {
		if key.table == table && !present[key.key] && !rs.row.Removed && rs.row.Version <= version {
			rows = append(rows, Row{Table: table, Key: key.key, Version: version, Removed: true})
		}
	}
	return s.merge(now, table, rows, version)
}

func (s *state) put(now time.Time, row Row) bool {
	key := rowKey{row.Table, row.Key}
	old := s.rows[key]
	if old != nil && (row.Version < old.row.Version || row.Version == old.row.Version && row.Removed == old.row.Removed) {
		return false
	}
	if old != nil && old.row.Removed && row.Removed {
		old.row.Version = row.Version // recorded by another process, with another version
		return false
	}
	next := s.newRowState(now, row)
	if row.Table != MembersTable {
		s.retainRemoved(now, old, next)
		continueRollout(old, next)
	}
	s.finish(old, next)
	s.rows[key] = next
	return true
}

// newRowState decodes a row.
func (s *state) newRowState(now time.Time, row Row) *rowState {
	next := &rowState{row: row, receivedAt: now, renewedAt: now}
	// The content of an empty store has version 0, also after it was read.
	if _, readBefore := s.completeAt[row.Table]; !readBefore && s.seen[row.Table].Version == 0 {
		next.receivedAt = time.Time{} // older than this process
	}
	if row.Removed {
		return next
	}
	decode := s.decoder.Decode
	if row.Table == MembersTable {
		decode = decodeMemberRow
	}
	decoded, err := decode(row)
	if err != nil {
		s.decodeErrors = append(s.decodeErrors, err)
	}
	next.listed, next.decoded = decoded, decoded
	return next
}

// finish adds to a row what never goes back.
func (s *state) finish(old, next *rowState) {
	next.rememberNewest(old)
	next.weightHistory = appendWeightVersion(old, next)
	if !s.acceptsConfig(old, next) {
		next.decoded.Config = old.decoded.Config
	}
}

// appendWeightVersion returns the weight history of the old row. If the next row
// contains a newer weight version, that version is appended.
func appendWeightVersion(old, next *rowState) catalog.WeightHistory {
	var history catalog.WeightHistory
	if old != nil {
		history = old.weightHistory
	}
	w := next.listed.Weights
	if w == nil || w.Version <= history.Newest().Version {
		return history
	}
	start := max(len(history)+1-maxWeightVersions, 0)
	return append(append(catalog.WeightHistory{}, history[start:]...), catalog.RequestedVersion{Version: w.Version, RequestedAt: next.receivedAt})
}

// acceptsConfig reports whether the configuration of the next row may replace that
// of the old one. It may not if it is older, cannot be decoded or was removed; the
// old configuration is then retained.
func (s *state) acceptsConfig(old, next *rowState) bool {
	if old == nil || old.decoded.Config == nil {
		return true
	}
	return next.decoded.Config != nil && next.decoded.Config.Epoch >= old.decoded.Config.Epoch
}

// retainRemoved retains an upstream whose row was removed during a store outage or
// shortly after it.
func (s *state) retainRemoved(now time.Time, old, next *rowState) {
	if !next.row.Removed || old == nil || old.decoded.Upstream == nil || old.decoded.Upstream.Draining {
		return
	}
	unavailable := !s.upstreamsUnavailableSince.IsZero()
	justRecovered := !s.upstreamsRecoveredAt.IsZero() && now.Sub(s.upstreamsRecoveredAt) < recoveryWindow
	if unavailable || justRecovered {
		from := now
		if justRecovered {
			from = s.upstreamsRecoveredAt
		}
		next.retain(old.decoded, from, removalGracePeriod)
	}
}

// setUpstreamsUnavailable records that the upstreams table cannot be read from the
// store. It has no effect while a peer provides the rows: the store then rejects this
// process only.
func (s *state) setUpstreamsUnavailable(now time.Time) {
	isServed := !s.servedAt.IsZero() && now.Sub(s.servedAt) < servedValidity
	if s.upstreamsUnavailableSince.IsZero() && !isServed {
		s.upstreamsUnavailableSince = now
	}
}

// recordServed records that a peer that reads the store has provided rows.
func (s *state) recordServed(now time.Time) {
	s.servedAt = now
	s.setUpstreamsRecovered(now)
}

// setUpstreamsRecovered records that the upstreams table can be read from the store
// again.
func (s *state) setUpstreamsRecovered(now time.Time) {
	if !s.upstreamsUnavailableSince.IsZero() {
		s.upstreamsUnavailableSince, s.upstreamsRecoveredAt = time.Time{}, now
	}
}

// expire ends the retention of values whose grace period has ended, marks members
// that no longer renew their rows as expired, and returns the time of the next
// expiry.
func (s *state) expire(now time.Time) (changed bool, next time.Time) {
	for key, rs := range s.rows {
		due := rs.retainedUntil
		if key.table == MembersTable {
			due = s.memberExpiresAt(now, rs)
		} else if !due.IsZero() && !s.upstreamsUnavailableSince.IsZero() {
			due = now.Add(rs.gracePeriod) // rows cannot be written again during the outage
			rs.retainedUntil = due
		}
		switch {
		case due.IsZero():
		case !now.Before(due):
			rs.endRetention()
			changed = true
		case next.IsZero() || due.Before(next):
			next = due
		}
	}
	return changed, next
}

// memberExpiresAt returns the time at which a member expires; zero if it has expired or
// left.
func (s *state) memberExpiresAt(now time.Time, rs *rowState) time.Time {
	if rs.expired || rs.row.Removed && rs.decoded.Member == nil {
		return time.Time{}
	}
	if !s.upstreamsUnavailableSince.IsZero() {
		rs.renewedAt = now
	}
	return rs.renewedAt.Add(memberExpiry)
}

// endRetention applies what the store has in a row, or marks a member as expired.
func (rs *rowState) endRetention() {
	if rs.row.Table != MembersTable {
		if rs.replacesRollout() {
			rs.receivedAt = rs.retainedUntil
		}
		rs.decoded, rs.retainedUntil, rs.requestVersion = rs.listed, time.Time{}, 0
		return
	}
	rs.expired = true
	if rs.row.Removed {
		rs.decoded, rs.receivedAt = DecodedRow{}, time.Time{} // it did not leave just now
	}
}

// rowsAfter returns the rows that changed after the positions that a peer has seen,
// sorted by version, and the tables of which it returns exactly the rows that exist:
// those of which the peer has an older generation, or may have rows whose removal is
// unknown here. It returns no rows of tables of which the peer has a newer generation.
func (s *state) rowsAfter(peerSeen map[Table]Position) (rows []Row, complete map[Table]bool) {
	complete = make(map[Table]bool)
	for table := range s.seen {
		complete[table] = peerSeen[table].Compare(s.completeAt[table]) < 0
	}
	for key, rs := range s.rows {
		own := Position{s.seen[key.table].Generation, rs.row.Version}
		included := own.Compare(peerSeen[key.table]) > 0
		if complete[key.table] {
			included = !rs.row.Removed
		}
		if included {
			rows = append(rows, rs.row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows, complete
}

// view returns a snapshot of the state.
func (s *state) view() *View {
	v := &View{
		Evacuated: make(map[core.FailureDomain]bool),
		Weights:   make(map[core.ModelID]catalog.WeightHistory),
		Rollouts:  s.rollouts(),

		MembersGeneration: s.seen[MembersTable].Generation,
	}
	for key, rs := range s.rows {
		// Removed rows do not contribute to the epoch, since processes may record a
		// removal with different versions.
		if !rs.row.Removed && (key.table == s.tables.Operator || key.table == s.tables.Upstreams) {
			v.advance(Position{s.seen[key.table].Generation, rs.row.Version})
		}
		switch {
		case rs.decoded.Config != nil:
			v.Config = rs.decoded.Config
		case rs.decoded.Upstream != nil && rs.decoded.Upstream.Service != "":
			v.Upstreams = append(v.Upstreams, catalog.UpstreamRow{Upstream: rs.decoded.Upstream, RowVersion: rs.row.Version})
		case rs.decoded.Evacuated != "":
			v.Evacuated[rs.decoded.Evacuated] = true
		case rs.decoded.Weights != nil:
			v.Weights[rs.decoded.Weights.Model] = rs.weightHistory
		case key.table == MembersTable && rs.expired && !rs.row.Removed:
			v.ExpiredMembers = append(v.ExpiredMembers, rs.row)
		case rs.decoded.Member != nil:
			v.Members = append(v.Members, *rs.decoded.Member)
		case key.table == MembersTable && rs.row.Removed && !rs.receivedAt.IsZero():
			v.Departures = append(v.Departures, rs.receivedAt)
		}
	}
	sort.Slice(v.Upstreams, func(i, j int) bool { return v.Upstreams[i].ID < v.Upstreams[j].ID })
	sort.Slice(v.Departures, func(i, j int) bool { return v.Departures[i].Before(v.Departures[j]) })
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].Node < v.Members[j].Node })
	return v
}

// rollouts joins the requested rollouts with the status last written for each of
// them.
func (s *state) rollouts() map[core.ServiceID]ActiveRollout {
	rollouts := make(map[core.ServiceID]ActiveRollout)
	for _, rs := range s.rows {
		if requested := rs.decoded.Rollout; requested != nil && requested.Version != "" {
			rollouts[requested.Service] = ActiveRollout{Rollout: *requested, RequestRowVersion: cmp.Or(rs.requestVersion, rs.row.Version), RequestedAt: rs.receivedAt}
		}
	}
	for _, rs := range s.rows {
		status := rs.decoded.Status
		if status == nil || rs.row.Removed {
			continue
		}
		if rollout, ok := rollouts[status.Service]; ok {
			rollout.Status = *status
			rollouts[status.Service] = rollout
		}
	}
	return rollouts
}

func decodeMemberRow(row Row) (DecodedRow, error) {
	var m wire.MemberRow
	if err := proto.Unmarshal(row.Value, &m); err != nil {
		return DecodedRow{}, errs.Wrap(err, errs.Corrupt, "ignore the row", "member row cannot be decoded")
	}
	if m.Node == "" {
		return DecodedRow{}, errs.New(errs.Corrupt, "ignore the row", "member row has no node name")
	}
	return DecodedRow{Member: &Member{
		Node: core.NodeID(m.Node), Address: m.Address, Domain: core.FailureDomain(m.FailureDomain),
		Incarnation: core.Incarnation(m.Incarnation),
	}}, nil
}

func encodeMember(m Member) ([]byte, error) {
	return proto.Marshal(&wire.MemberRow{
		Node: string(m.Node), Address: m.Address, FailureDomain: string(m.Domain), Incarnation: uint64(m.Incarnation),
	})
}
