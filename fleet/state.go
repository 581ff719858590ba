package fleet

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// lapseGrace is how long an upstream stays in use after its row went while
	// the store was away: live upstreams are listed again within two seconds.
	lapseGrace = 2200 * time.Millisecond
	// lapseWindow is how long after the store's return a missing row may be due
	// to the store's absence.
	lapseWindow = 2200 * time.Millisecond
	// mostNamings bounds the weight versions of a model that are remembered.
	mostNamings = 16
)

type rowKey struct {
	table Table
	key   string
}

// entry is a row with what it says.
type entry struct {
	row    Row
	change DecodedRow
	// since is when the row was first seen in this version; zero for rows that
	// are older than this process.
	since time.Time
	// seenAt is when this process learned of the row's version. For members it
	// moves on while the store is away, since renewals cannot be seen.
	seenAt time.Time
	lapsed bool
	// namings are the weight versions that the row has named so far.
	namings catalog.WeightHistory
	// lapsedUntil is set while a removed upstream stays in use.
	lapsedUntil time.Time
}

// state merges rows from the store and from peers. For each row the newest
// version wins, so that nothing reverts. It performs no I/O.
type state struct {
	tables  Tables
	decoder Decoder
	rows    map[rowKey]*entry
	// known is the version up to which all of a table is known.
	known map[Table]uint64
	// awaySince and backAt are the begin and the end of the store's last absence.
	awaySince time.Time
	backAt    time.Time
	// invalid collects rows that could not be decoded, for the log.
	invalid []error
}

func newState(tables Tables, decoder Decoder) *state {
	return &state{tables: tables, decoder: decoder, rows: make(map[rowKey]*entry), known: make(map[Table]uint64)}
}

// merge takes changed rows of a table that is then known up to a version.
func (s *state) merge(now time.Time, table Table, rows []Row, version uint64) (changed bool) {
	for _, row := range rows {
		changed = s.put(now, row) || changed
	}
	s.known[table] = max(s.known[table], version)
	return changed
}

// replace takes a whole table as of a version. Rows that are missing in it
// were removed.
func (s *state) replace(now time.Time, table Table, rows []Row, version uint64) (changed bool) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for key, e := range s.rows {
		if key.table == table && !present[key.key] && !e.row.Removed && e.row.Version <= version {
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
	next := &entry{row: row, since: now, seenAt: now}
	if s.known[row.Table] == 0 {
		next.since = time.Time{} // older than this process
	}
	if row.Table == s.tables.Operator || row.Table == s.tables.Upstreams || row.Table == s.tables.Status {
		if !row.Removed {
			change, err := s.decoder.Decode(row)
			if err != nil {
				s.invalid = append(s.invalid, err)
			}
			next.change = change
		}
		s.keepLapsed(now, old, next)
	}
	next.namings = namingsAfter(old, next)
	if !s.configAdvances(old, next) {
		next.change.Config = old.change.Config
	}
	s.rows[key] = next
	return true
}

// namingsAfter adds the weight version of a row to those that it named before.
func namingsAfter(old, next *entry) catalog.WeightHistory {
	var namings catalog.WeightHistory
	if old != nil {
		namings = old.namings
	}
	w := next.change.Weights
	if w == nil || w.Version <= namings.Newest().Version {
		return namings
	}
	first := max(len(namings)+1-mostNamings, 0)
	return append(append(catalog.WeightHistory{}, namings[first:]...), catalog.RequestedVersion{Version: w.Version, RequestedAt: next.since})
}

// configAdvances reports whether the row does not lead back to an older or an
// unreadable configuration.
func (s *state) configAdvances(old, next *entry) bool {
	if old == nil || old.change.Config == nil {
		return true
	}
	return next.change.Config != nil && next.change.Config.Epoch >= old.change.Config.Epoch
}

// keepLapsed keeps an upstream in use whose row went while the store was away.
func (s *state) keepLapsed(now time.Time, old, next *entry) {
	if !next.row.Removed || old == nil || old.change.Upstream == nil || old.change.Upstream.Draining {
		return
	}
	away := !s.awaySince.IsZero()
	justBack := !s.backAt.IsZero() && now.Sub(s.backAt) < lapseWindow
	if away || justBack {
		next.change = old.change
		next.lapsedUntil = now.Add(lapseGrace)
		if justBack {
			next.lapsedUntil = s.backAt.Add(lapseGrace)
		}
	}
}

// storeAway notes that the store does not serve this process.
func (s *state) storeAway(now time.Time) {
	if s.awaySince.IsZero() {
		s.awaySince = now
	}
}

// storeBack notes that the store serves this process again.
func (s *state) storeBack(now time.Time) {
	if !s.awaySince.IsZero() {
		s.awaySince, s.backAt = time.Time{}, now
	}
}

// expire drops upstreams whose time after a lapse is over and members that no
// longer renew their rows, and returns when the next one is due.
func (s *state) expire(now time.Time) (changed bool, next time.Time) {
	for key, e := range s.rows {
		if key.table == MembersTable && !e.row.Removed && !e.lapsed {
			if !s.awaySince.IsZero() {
				e.seenAt = now
			}
			due := e.seenAt.Add(memberLapse)
			if e.lapsed = !now.Before(due); e.lapsed {
				changed = true
			} else if next.IsZero() || due.Before(next) {
				next = due
			}
			continue
		}
		if e.lapsedUntil.IsZero() {
			continue
		}
		if !s.awaySince.IsZero() {
			e.lapsedUntil = now.Add(lapseGrace) // the upstream cannot be listed meanwhile
		}
		if !now.Before(e.lapsedUntil) {
			e.change, e.lapsedUntil = DecodedRow{}, time.Time{}
			changed = true
			continue
		}
		if next.IsZero() || e.lapsedUntil.Before(next) {
			next = e.lapsedUntil
		}
	}
	return changed, next
}

// since returns the rows that changed after the known versions of a peer.
func (s *state) since(known map[Table]uint64) []Row {
	var rows []Row
	for key, e := range s.rows {
		if e.row.Version > known[key.table] {
			rows = append(rows, e.row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows
}

// view builds a snapshot.
func (s *state) view() *View {
	v := &View{
		Evacuated: make(map[core.FailureDomain]bool),
		Weights:   make(map[core.ModelID]catalog.WeightHistory),
		Rollouts:  s.moves(),
	}
	for key, e := range s.rows {
		// Removed rows don't count: processes see a removal at different versions.
		if !e.row.Removed && (key.table == s.tables.Operator || key.table == s.tables.Upstreams) {
			v.Epoch = max(v.Epoch, core.Epoch(e.row.Version))
		}
		switch {
		case e.change.Config != nil:
			v.Config = e.change.Config
		case e.change.Upstream != nil && e.change.Upstream.Service != "":
			v.Upstreams = append(v.Upstreams, catalog.ListedUpstream{Upstream: e.change.Upstream, Revision: e.row.Version})
		case e.change.Evacuated != "" && !e.row.Removed:
			v.Evacuated[e.change.Evacuated] = true
		case e.change.Weights != nil:
			v.Weights[e.change.Weights.Model] = e.namings
		case key.table == MembersTable && e.lapsed && !e.row.Removed:
			v.ExpiredMembers = append(v.ExpiredMembers, e.row)
		case key.table == MembersTable && !e.row.Removed:
			if m, err := decodeMember(e.row.Value); err == nil {
				v.Members = append(v.Members, m)
			} else {
				s.invalid = append(s.invalid, err)
			}
		case key.table == MembersTable && !e.since.IsZero():
			v.Departures = append(v.Departures, e.since)
		}
	}
	sort.Slice(v.Upstreams, func(i, j int) bool { return v.Upstreams[i].ID < v.Upstreams[j].ID })
	sort.Slice(v.Departures, func(i, j int) bool { return v.Departures[i].Before(v.Departures[j]) })
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].Node < v.Members[j].Node })
	return v
}

// moves joins the orders for rollouts with what the operator was told of them.
func (s *state) moves() map[core.ServiceID]ActiveRollout {
	moves := make(map[core.ServiceID]ActiveRollout)
	for _, e := range s.rows {
		if r := e.change.Rollout; r != nil && r.To != "" {
			moves[r.Service] = ActiveRollout{Rollout: *r, RequestRevision: e.row.Version, RequestedAt: e.since}
		}
	}
	for _, e := range s.rows {
		status := e.change.Status
		if status == nil || e.row.Removed {
			continue
		}
		if m, ok := moves[status.Service]; ok {
			m.Status, m.StatusRevision = *status, e.row.Version
			moves[status.Service] = m
		}
	}
	return moves
}

func decodeMember(value []byte) (Member, error) {
	var m wire.MemberRow
	if err := proto.Unmarshal(value, &m); err != nil || m.Node == "" {
		return Member{}, errs.Wrap(err, errs.Corrupt, "ignore the row", "row of a member cannot be read")
	}
	return Member{
		Node: core.NodeID(m.Node), Address: m.Address, Domain: core.FailureDomain(m.FailureDomain),
		Incarnation: core.Incarnation(m.Incarnation),
	}, nil
}

func encodeMember(m Member) ([]byte, error) {
	return proto.Marshal(&wire.MemberRow{
		Node: string(m.Node), Address: m.Address, FailureDomain: string(m.Domain), Incarnation: uint64(m.Incarnation),
	})
}
