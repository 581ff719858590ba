package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// jsonDecoder reads values that are written as DecodedRow.
type jsonDecoder struct{}

func (jsonDecoder) Decode(row Row) (out DecodedRow, err error) {
	return out, errs.Wrap(json.Unmarshal(row.Value, &out), errs.Invalid, "ignore the row", "row")
}

// restoreTest applies updates of one table at times after t0.
type restoreTest struct {
	*testing.T
	state *state
	table Table
}

func newRestoreTest(t *testing.T, table Table) restoreTest {
	return restoreTest{t, newState(Tables{Operator: operatorTable, Upstreams: upstreamsTable, Status: "status"}, jsonDecoder{}), table}
}

func (r restoreTest) row(key string, version uint64, value any) Row {
	if value == nil {
		return Row{Table: r.table, Key: key, Version: version, Removed: true}
	}
	var body []byte
	var err error
	if m, ok := value.(Member); ok {
		body, err = encodeMember(m)
	} else {
		body, err = json.Marshal(value)
	}
	require.NoError(r, err)
	return Row{Table: r.table, Key: key, Version: version, Value: body}
}

func (r restoreTest) readTable(after time.Duration, generation core.Generation, version uint64, rows ...Row) *View {
	r.state.apply(t0.Add(after), update{table: r.table, rows: rows, position: Position{generation, version}, complete: true})
	return r.state.view()
}

func (r restoreTest) changes(after time.Duration, generation core.Generation, version uint64, rows ...Row) *View {
	r.state.apply(t0.Add(after), update{table: r.table, rows: rows, position: Position{generation, version}})
	return r.state.view()
}

func (r restoreTest) expire(after time.Duration) *View {
	r.state.expire(t0.Add(after))
	return r.state.view()
}

func config(epoch core.Epoch) DecodedRow {
	return DecodedRow{Config: &catalog.Config{Epoch: epoch}}
}

func weightsOf(number catalog.WeightNumber) DecodedRow {
	return DecodedRow{Weights: &RequestedWeights{Model: "m", Version: number}}
}

func entry(id string, startedAtMs int64, revision uint64, draining bool) DecodedRow {
	return DecodedRow{Upstream: &catalog.Upstream{ID: core.UpstreamID(id), Service: "s", StartedAtMs: startedAtMs, Revision: revision, Draining: draining}}
}

// Guards against a configuration that is ignored since its row got a version that was
// assigned before the store's content was restored, and against one that goes back to
// that of the copy.
func TestConfigurationAdvancesAfterRestore(t *testing.T) {
	r := newRestoreTest(t, operatorTable)
	r.readTable(0, 0, 23, r.row("config", 23, config(12)))
	require.Equal(t, core.Epoch(12), r.readTable(time.Second, 1, 20, r.row("config", 20, config(5))).Config.Epoch, "the copy is older")
	require.Equal(t, core.Epoch(12), r.changes(2*time.Second, 1, 22, r.row("config", 22, config(12))).Config.Epoch)
	v := r.changes(3*time.Second, 1, 23, r.row("config", 23, config(15)))
	require.Equal(t, core.Epoch(15), v.Config.Epoch, "version 23 was assigned to configuration 12 before")
	require.Equal(t, Position{1, 23}, v.position())
	require.Equal(t, core.Epoch(15), r.changes(4*time.Second, 0, 99, r.row("config", 99, config(16))).Config.Epoch, "changes of the lost content are ignored")
	require.Equal(t, core.Epoch(15), r.readTable(5*time.Second, 2, 1).Config.Epoch, "the second copy has no configuration")
	require.Equal(t, core.Epoch(16), r.changes(6*time.Second, 2, 2, r.row("config", 2, config(16))).Config.Epoch)
}

// Guards against rows of the lost content that a peer sends after the content was restored
// from an empty copy.
func TestLostContentIsIgnoredAfterRestoreFromEmptyCopy(t *testing.T) {
	r := newRestoreTest(t, operatorTable)
	r.readTable(0, 1, 23, r.row("z1", 23, DecodedRow{Evacuated: "z1"}))
	r.readTable(time.Second, 2, 0)
	require.Empty(t, r.expire(time.Second+restoreGracePeriod).Evacuated)
	require.Empty(t, r.readTable(time.Minute, 1, 23, r.row("z1", 23, DecodedRow{Evacuated: "z1"})).Evacuated)
	require.Equal(t, Position{2, 0}, r.state.seen[operatorTable])
}

// Guards against a weight version that calls no longer require since the copy of the
// store's content is older than its request.
func TestRequestedWeightsRemainAfterRestore(t *testing.T) {
	for name, copied := range map[string][]any{"older version in the copy": {weightsOf(1)}, "no version in the copy": nil} {
		t.Run(name, func(t *testing.T) {
			r := newRestoreTest(t, operatorTable)
			r.readTable(0, 0, 5, r.row("w", 5, weightsOf(1)))
			r.changes(time.Second, 0, 9, r.row("w", 9, weightsOf(2)))
			var rows []Row
			for _, value := range copied {
				rows = append(rows, r.row("w", 5, value))
			}
			history := r.readTable(2*time.Second, 1, 5, rows...).Weights["m"]
			require.Equal(t, catalog.RequestedVersion{Version: 2, RequestedAt: t0.Add(time.Second)}, history.Newest())
			require.Equal(t, history, r.expire(time.Hour).Weights["m"])
			r.changes(2*time.Hour, 1, 9, r.row("w", 9, weightsOf(3)))
			require.Equal(t, catalog.WeightNumber(3), r.state.view().Weights["m"].Newest().Version)
		})
	}
}

// Guards against calls to upstreams that drain or have left, which the copy of the
// store's content lists as they were, and against the loss of live upstreams that the
// copy lacks.
func TestUpstreamsAfterRestore(t *testing.T) {
	ready, newer, drains := entry("u", 100, 1, false), entry("u", 100, 3, false), entry("u", 100, 2, true)
	cases := map[string]struct {
		before []any // values of the row before the restore; nil is a removal
		copied any
		// restored, graceEnds and written are what is listed after the copy was read,
		// when the grace period has ended, and when again has been written before that.
		restored, graceEnds []string
		again               any
		written             []string
	}{
		"draining, ready in the copy":    {before: []any{ready, drains}, copied: ready, restored: []string{"u draining"}, graceEnds: []string{"u"}, again: drains, written: []string{"u draining"}},
		"removed, ready in the copy":     {before: []any{ready, nil}, copied: ready, graceEnds: []string{"u"}, again: newer, written: []string{"u"}},
		"drained and removed, in copy":   {before: []any{ready, drains, nil}, copied: drains, graceEnds: []string{"u draining"}},
		"live, missing in the copy":      {before: []any{ready}, restored: []string{"u"}, again: newer, written: []string{"u"}},
		"draining, missing in the copy":  {before: []any{drains}, again: drains, written: []string{"u draining"}},
		"removed, missing in the copy":   {before: []any{ready, nil}, again: newer, written: []string{"u"}},
		"newer entry than known":         {before: []any{ready}, copied: drains, restored: []string{"u draining"}, graceEnds: []string{"u draining"}},
		"restarted with a reused id":     {before: []any{drains, nil}, copied: entry("u", 200, 1, false), restored: []string{"u"}, graceEnds: []string{"u"}},
		"older incarnation in the copy":  {before: []any{drains, nil, entry("u", 200, 1, false)}, copied: drains, restored: []string{"u"}, graceEnds: []string{"u draining"}, again: entry("u", 200, 2, false), written: []string{"u"}},
		"live, the same in the copy":     {before: []any{ready}, copied: ready, restored: []string{"u"}, graceEnds: []string{"u"}, again: drains, written: []string{"u draining"}},
		"live, older entry in the copy":  {before: []any{ready, newer}, copied: ready, restored: []string{"u"}, graceEnds: []string{"u"}, again: nil, written: nil},
		"unknown before":                 {copied: ready, restored: []string{"u"}, graceEnds: []string{"u"}},
		"unreadable entry in the copy":   {before: []any{ready}, copied: "garbage"},
		"unreadable entry known, sound":  {before: []any{"garbage"}, copied: ready, restored: []string{"u"}, graceEnds: []string{"u"}},
		"drain written before the copy":  {before: []any{ready, drains}, copied: drains, restored: []string{"u draining"}, graceEnds: []string{"u draining"}},
		"removal written after the copy": {before: []any{ready, drains, nil}, copied: ready, graceEnds: []string{"u"}, again: nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			restored := func() restoreTest {
				r := newRestoreTest(t, upstreamsTable)
				r.readTable(0, 0, 50, r.row("other", 50, entry("other", 1, 1, false)))
				for i, value := range c.before {
					r.changes(0, 0, uint64(51+i), r.row("u", uint64(51+i), value))
				}
				rows := []Row{r.row("other", 50, entry("other", 1, 1, false))}
				if c.copied != nil {
					rows = append(rows, r.row("u", 51, c.copied))
				}
				v := r.readTable(time.Second, 1, 51, rows...)
				require.Equal(t, append([]string{"other"}, c.restored...), listedUpstreams(v))
				return r
			}
			r := restored()
			require.Equal(t, append([]string{"other"}, c.restored...), listedUpstreams(r.expire(time.Second+removalGracePeriod-1)))
			require.Equal(t, append([]string{"other"}, c.graceEnds...), listedUpstreams(r.expire(time.Second+restoreGracePeriod)))
			r = restored()
			r.changes(2*time.Second, 1, 52, r.row("u", 52, c.again))
			require.Equal(t, append([]string{"other"}, c.written...), listedUpstreams(r.expire(time.Minute)))
		})
	}
}

// Guards against an upstream that is listed again by a second restore within the grace
// period of the first one, or while the store is away.
func TestGracePeriodLastsForSecondRestoreAndOutage(t *testing.T) {
	r := newRestoreTest(t, upstreamsTable)
	ready := r.row("u", 5, entry("u", 100, 1, false))
	r.readTable(0, 0, 5, ready)
	r.changes(0, 0, 6, r.row("u", 6, nil))
	require.Empty(t, listedUpstreams(r.readTable(time.Second, 1, 5, ready)))
	require.Empty(t, listedUpstreams(r.readTable(3*time.Second, 2, 5, ready)))
	require.Empty(t, listedUpstreams(r.expire(time.Second+restoreGracePeriod)))
	r.state.setUpstreamsUnavailable(t0.Add(7 * time.Second))
	require.Empty(t, listedUpstreams(r.expire(20*time.Second)))
	r.state.setUpstreamsRecovered(t0.Add(20 * time.Second))
	require.Empty(t, listedUpstreams(r.readTable(20*time.Second, 3, 5, ready)))
	require.Equal(t, []string{"u"}, listedUpstreams(r.expire(20*time.Second+restoreGracePeriod)), "not removed again")
}

// Guards against calls to a failure domain whose evacuation is missing in the copy.
func TestEvacuationRemainsAfterRestore(t *testing.T) {
	evacuated := DecodedRow{Evacuated: "z1"}
	r := newRestoreTest(t, operatorTable)
	r.readTable(0, 0, 5, r.row("other", 5, config(1)))
	r.changes(0, 0, 6, r.row("z1", 6, evacuated))
	require.True(t, r.readTable(time.Second, 1, 5, r.row("other", 5, config(1))).Evacuated["z1"])
	require.True(t, r.expire(time.Second + restoreGracePeriod - 1).Evacuated["z1"])
	require.False(t, r.expire(time.Second + restoreGracePeriod).Evacuated["z1"], "not requested again")

	r.changes(10*time.Second, 1, 6, r.row("z1", 6, evacuated))
	r.changes(11*time.Second, 1, 7, r.row("z1", 7, nil))
	require.True(t, r.readTable(12*time.Second, 2, 6, r.row("z1", 6, evacuated)).Evacuated["z1"])
	require.False(t, r.changes(13*time.Second, 2, 7, r.row("z1", 7, nil)).Evacuated["z1"], "the end is written again")
}

// Guards against the loss of retained values when another process has recorded the
// same removal with a later version.
func TestRepeatedRemovalKeepsRetainedValues(t *testing.T) {
	r := newRestoreTest(t, operatorTable)
	r.readTable(0, 0, 6, r.row("other", 5, config(1)), r.row("z1", 6, DecodedRow{Evacuated: "z1"}))
	r.readTable(time.Second, 1, 5, r.row("other", 5, config(1)))
	require.True(t, r.changes(time.Second, 1, 7, r.row("z1", 7, nil)).Evacuated["z1"])
	require.False(t, r.expire(time.Second + restoreGracePeriod).Evacuated["z1"])

	m := newRestoreTest(t, MembersTable)
	m.readTable(0, 0, 6, m.row("a", 6, Member{Node: "a", Incarnation: 1}))
	m.readTable(time.Second, 1, 5)
	v := m.changes(2*time.Second, 1, 7, m.row("a", 7, nil))
	require.Len(t, v.Members, 1)
	require.Empty(t, v.Departures)
}

// Guards against a rollout that begins anew, disappears, or comes back after its end,
// since the copy is older than the request.
func TestRolloutAfterRestore(t *testing.T) {
	request := DecodedRow{Rollout: &catalog.Rollout{Service: "s", Version: "v2", MaxDuration: time.Minute}}
	other := DecodedRow{Rollout: &catalog.Rollout{Service: "s", Version: "v1", MaxDuration: time.Minute}}
	known := func(values ...any) restoreTest {
		r := newRestoreTest(t, operatorTable)
		r.readTable(0, 0, 5)
		for i, value := range values {
			r.changes(time.Second, 0, uint64(6+i), r.row("r", uint64(6+i), value))
		}
		return r
	}
	r := known(request)
	rollout := r.readTable(2*time.Second, 1, 9, r.row("r", 8, request)).Rollouts["s"]
	require.Equal(t, t0.Add(time.Second), rollout.RequestedAt, "the same request")
	require.Equal(t, uint64(8), rollout.RequestRowVersion)

	r = known(request)
	require.Equal(t, t0.Add(time.Second), r.readTable(2*time.Second, 1, 5).Rollouts["s"].RequestedAt, "missing in the copy")
	rollout = r.changes(3*time.Second, 1, 6, r.row("r", 6, request)).Rollouts["s"]
	require.Equal(t, t0.Add(time.Second), rollout.RequestedAt, "written again")

	r = known(request)
	r.readTable(2*time.Second, 1, 5)
	require.Empty(t, r.expire(2*time.Second+restoreGracePeriod).Rollouts, "not written again")

	r = known(request)
	require.Equal(t, "v2", r.readTable(2*time.Second, 1, 5, r.row("r", 4, other)).Rollouts["s"].Version, "older request in the copy")
	require.Equal(t, "v1", r.expire(2*time.Second + restoreGracePeriod).Rollouts["s"].Version)

	r = known(request, nil)
	require.Empty(t, r.readTable(2*time.Second, 1, 6, r.row("r", 6, request)).Rollouts, "withdrawn since the copy")
	require.Equal(t, "v2", r.changes(3*time.Second, 1, 7, r.row("r", 7, request)).Rollouts["s"].Version, "written again")
}

// Guards against a new version that gets all calls too early, since its rollout counts
// from the request of another one that was retained after a restore.
func TestRolloutThatFollowsRetainedOneBeginsAfterIt(t *testing.T) {
	rollout := func(version string) DecodedRow {
		return DecodedRow{Rollout: &catalog.Rollout{Service: "s", Version: version, MaxDuration: time.Minute}}
	}
	for name, before := range map[string]any{"another rollout": rollout("v2"), "withdrawn": nil} {
		t.Run(name, func(t *testing.T) {
			r := newRestoreTest(t, operatorTable)
			r.readTable(0, 0, 5)
			r.changes(0, 0, 6, r.row("r", 6, rollout("v2")))
			r.changes(0, 0, 7, r.row("r", 7, before))
			r.readTable(time.Minute, 1, 8, r.row("r", 8, rollout("v3")))
			began := r.expire(time.Minute + restoreGracePeriod).Rollouts["s"]
			require.Equal(t, "v3", began.Version)
			require.Equal(t, t0.Add(time.Minute+restoreGracePeriod), began.RequestedAt)
		})
	}
}

// Guards against limits that are divided among too few processes because the copy lacks
// members, or among too many because it lists processes that have left.
func TestMembersAfterRestore(t *testing.T) {
	r := newRestoreTest(t, MembersTable)
	a, b, c := Member{Node: "a", Incarnation: 1}, Member{Node: "b", Incarnation: 1}, Member{Node: "c", Incarnation: 1}
	nodes := func(v *View) (out []core.NodeID) {
		for _, m := range v.Members {
			out = append(out, m.Node)
		}
		return out
	}
	r.readTable(0, 0, 5, r.row("a", 3, a), r.row("b", 4, b), r.row("c", 5, c))
	b.Incarnation = 2
	r.changes(0, 0, 6, r.row("b", 6, b))
	v := r.changes(time.Second, 0, 7, r.row("c", 7, nil))
	require.Equal(t, []time.Time{t0.Add(time.Second)}, v.Departures)

	b.Incarnation = 1
	v = r.readTable(2*time.Second, 1, 5, r.row("b", 4, b), r.row("c", 5, c))
	require.Equal(t, []core.NodeID{"a", "b"}, nodes(v), "a is not in the copy, c has left")
	require.Equal(t, core.Incarnation(2), v.Members[1].Incarnation)
	require.Len(t, v.ExpiredMembers, 1)
	require.Equal(t, Row{Table: MembersTable, Key: "c", Version: 5, Value: v.ExpiredMembers[0].Value}, v.ExpiredMembers[0])

	v = r.expire(memberExpiry)
	require.Equal(t, []core.NodeID(nil), nodes(v), "a and b have not renewed their rows")
	require.Len(t, v.ExpiredMembers, 2, "rows of b and c")
	require.Empty(t, v.Departures, "a has not left just now")
	c.Incarnation = 2
	v = r.changes(memberExpiry, 1, 9, r.row("a", 8, a), r.row("c", 9, c))
	require.Equal(t, []core.NodeID{"a", "c"}, nodes(v))
}

// Guards against a process that learns of a restore from a peer only, and misses rows
// or goes back to rows of the lost content.
func TestRestoreIsLearnedFromPeer(t *testing.T) {
	ahead, behind := newRestoreTest(t, operatorTable), newRestoreTest(t, operatorTable)
	for _, r := range []restoreTest{ahead, behind} {
		r.readTable(0, 0, 30, r.row("config", 30, config(12)), r.row("z1", 29, DecodedRow{Evacuated: "z1"}))
	}
	ahead.readTable(time.Second, 1, 20, ahead.row("config", 20, config(5)))
	ahead.changes(2*time.Second, 1, 25, ahead.row("config", 25, config(13)))

	rows, complete := behind.state.rowsAfter(ahead.state.seen)
	require.Empty(t, rows, "the peer has a newer generation")
	require.False(t, complete[operatorTable])
	behindUpdate := update{table: operatorTable, rows: rows, position: behind.state.seen[operatorTable]}
	changed, _ := ahead.state.apply(t0.Add(3*time.Second), behindUpdate)
	require.False(t, changed)
	require.Equal(t, Position{1, 25}, ahead.state.seen[operatorTable])

	rows, complete = ahead.state.rowsAfter(behind.state.seen)
	require.True(t, complete[operatorTable])
	u := update{table: operatorTable, rows: rows, position: ahead.state.seen[operatorTable], complete: true}
	_, restored := behind.state.apply(t0.Add(3*time.Second), u)
	require.True(t, restored)
	v := behind.state.view()
	require.Equal(t, core.Epoch(13), v.Config.Epoch)
	require.True(t, v.Evacuated["z1"], "retained here as well")
	rows, complete = ahead.state.rowsAfter(behind.state.seen)
	require.Empty(t, rows)
	require.False(t, complete[operatorTable])

	_, restored = newRestoreTest(t, operatorTable).state.apply(t0, u)
	require.False(t, restored, "a process that has started does not know the lost content")
}

// Guards against an evacuation, or an upstream that has left, that is in force again since
// a peer's reply arrives after a newer read of the store that no longer has it.
func TestLateReplyDoesNotRestoreRemovedRow(t *testing.T) {
	r := newRestoreTest(t, operatorTable)
	r.readTable(0, 0, 7, r.row("config", 5, config(1)))
	require.Empty(t, r.changes(time.Second, 0, 6, r.row("config", 5, config(1)), r.row("z1", 6, DecodedRow{Evacuated: "z1"})).Evacuated)
	require.Empty(t, r.readTable(time.Second, 0, 6, r.row("config", 5, config(1)), r.row("z1", 6, DecodedRow{Evacuated: "z1"})).Evacuated)
}

// Guards against a row that remains in force although a peer's complete table lacks it,
// since the peer sends an earlier removal of that row.
func TestEarlierRemovalInCompleteTableRemovesRow(t *testing.T) {
	r := newRestoreTest(t, operatorTable)
	r.readTable(0, 0, 8, r.row("config", 5, config(1)), r.row("z1", 8, DecodedRow{Evacuated: "z1"}))
	require.Empty(t, r.readTable(time.Second, 0, 9, r.row("config", 5, config(1)), r.row("z1", 7, nil)).Evacuated)
}

// Guards against an evacuation, or an upstream that has left, that remains in force in a
// process that pulls from a peer which has started after the removal and does not know it.
func TestPeerThatStartedAfterRemovalSendsCompleteTable(t *testing.T) {
	behind, started := newRestoreTest(t, operatorTable), newRestoreTest(t, operatorTable)
	behind.readTable(0, 0, 6, behind.row("config", 5, config(1)), behind.row("z1", 6, DecodedRow{Evacuated: "z1"}))
	started.readTable(time.Second, 0, 7, started.row("config", 5, config(1)))

	rows, complete := started.state.rowsAfter(behind.state.seen)
	require.True(t, complete[operatorTable])
	behind.state.apply(t0.Add(time.Second), update{table: operatorTable, rows: rows, position: started.state.seen[operatorTable], complete: true})
	require.Empty(t, behind.state.view().Evacuated)
	_, complete = started.state.rowsAfter(behind.state.seen)
	require.False(t, complete[operatorTable], "nothing was removed since")
}

// Guards against the removal of a live member: one whose row had expired when the store's
// content was restored, and that has renewed it before the table is read again.
func TestMemberThatRenewsBeforeTableIsReadAfterRestoreIsCounted(t *testing.T) {
	a := Member{Node: "a", Incarnation: 1}
	for name, c := range map[string]struct {
		version uint64
		counted bool
	}{"renewed": {9, true}, "as copied": {3, false}} {
		t.Run(name, func(t *testing.T) {
			r := newRestoreTest(t, MembersTable)
			r.readTable(0, 0, 5, r.row("a", 3, a))
			require.Len(t, r.expire(memberExpiry).ExpiredMembers, 1)
			v := r.readTable(memberExpiry, 1, 9, r.row("a", c.version, a))
			require.Equal(t, c.counted, len(v.Members) == 1)
			require.Equal(t, c.counted, len(v.ExpiredMembers) == 0)
		})
	}
}

// Guards against complete tables that grow with each row that was ever removed, such as
// those of upstreams that have left.
func TestCompleteTableHasNoRemovedRows(t *testing.T) {
	r := newRestoreTest(t, upstreamsTable)
	r.readTable(0, 0, 5, r.row("u1", 4, entry("u1", 1, 1, false)), r.row("u2", 5, entry("u2", 1, 1, false)))
	r.changes(time.Second, 0, 6, r.row("u1", 6, nil))
	rows, complete := r.state.rowsAfter(nil)
	require.True(t, complete[upstreamsTable])
	require.Len(t, rows, 1)
	rows, complete = r.state.rowsAfter(map[Table]Position{upstreamsTable: {0, 5}})
	require.False(t, complete[upstreamsTable])
	require.Len(t, rows, 1, "a peer that is not behind the complete read gets the removal")
}

// Guards against a removed row that remains in force although the table was read
// completely, since a process with older software has sent changes without the removal.
func TestCompleteReadAtSameVersionRemovesRow(t *testing.T) {
	r := newRestoreTest(t, operatorTable)
	r.readTable(0, 1, 6, r.row("z1", 6, DecodedRow{Evacuated: "z1"}))
	require.True(t, r.changes(time.Second, 1, 9, r.row("config", 9, config(1))).Evacuated["z1"])
	require.Empty(t, r.readTable(2*time.Second, 1, 9, r.row("config", 9, config(1))).Evacuated)
}

// Guards against a rollout or weight version that counts as requested before the process
// started, since it is the first that is written after a restore from an empty copy.
func TestRequestAfterRestoreFromEmptyCopyHasTime(t *testing.T) {
	r := newRestoreTest(t, operatorTable)
	r.readTable(0, 0, 5, r.row("w", 5, weightsOf(1)))
	r.readTable(time.Second, 1, 0)
	v := r.changes(2*time.Second, 1, 1, r.row("w", 1, weightsOf(2)))
	require.Equal(t, t0.Add(2*time.Second), v.Weights["m"].Newest().RequestedAt)
}

// Guards against verdicts on a version that other processes drop, since each process
// identifies a request that the copy lacks by the time at which it read the table.
func TestRetainedRolloutHasSameIdentityInAllProcesses(t *testing.T) {
	request := DecodedRow{Rollout: &catalog.Rollout{Service: "s", Version: "v2", MaxDuration: time.Minute}}
	var identities []uint64
	for _, readAt := range []uint64{5, 7} {
		r := newRestoreTest(t, operatorTable)
		r.readTable(0, 0, 5)
		r.changes(time.Second, 0, 6, r.row("r", 6, request))
		identities = append(identities, r.readTable(2*time.Second, 1, readAt).Rollouts["s"].RequestRowVersion)
	}
	require.Equal(t, identities[0], identities[1])
}
