package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

const (
	operatorTable  Table = "operator"
	upstreamsTable Table = "upstreams"
)

var t0 = time.Unix(1000, 0)

// fakeDecoder reads values such as "config 3", "ready", "draining" and "weights 2".
type fakeDecoder struct{}

func (fakeDecoder) Decode(row Row) (DecodedRow, error) {
	word, number, _ := strings.Cut(string(row.Value), " ")
	switch word {
	case "config":
		return DecodedRow{Config: &catalog.Config{Epoch: core.Epoch(number[0] - '0')}}, nil
	case "ready", "draining":
		return DecodedRow{Upstream: &catalog.Upstream{ID: core.UpstreamID(row.Key), Service: "s", Draining: word == "draining"}}, nil
	case "weights":
		return DecodedRow{Weights: &RequestedWeights{Model: "m", Version: catalog.WeightNumber(number[0] - '0')}}, nil
	}
	return DecodedRow{}, errs.New(errs.Invalid, "ignore the row", "%q", row.Value)
}

func testState() *state {
	return newState(Tables{Operator: operatorTable, Upstreams: upstreamsTable}, fakeDecoder{})
}

func row(table Table, key, value string, version uint64) Row {
	return Row{Table: table, Key: key, Value: []byte(value), Version: version, Removed: value == ""}
}

func listedUpstreams(v *View) []string {
	var out []string
	for _, u := range v.Upstreams {
		name := string(u.ID)
		if u.Draining {
			name += " draining"
		}
		out = append(out, name)
	}
	return out
}

// Guards against a configuration or a drain that is reverted when rows from the store
// and from peers are received out of order.
func TestMergeKeepsNewestRow(t *testing.T) {
	cases := map[string]struct {
		rows         []Row
		config       core.Epoch
		upstreams    []string
		decodeErrors int
	}{
		"older row after newer": {
			rows:   []Row{row(operatorTable, "c", "config 5", 9), row(operatorTable, "c", "config 4", 8)},
			config: 5,
		},
		"older configuration in a newer row": {
			rows:   []Row{row(operatorTable, "c", "config 5", 9), row(operatorTable, "c", "config 4", 10)},
			config: 5,
		},
		"corrupt configuration": {
			rows:   []Row{row(operatorTable, "c", "config 5", 9), row(operatorTable, "c", "garbage", 10)},
			config: 5, decodeErrors: 1,
		},
		"drain received before the older ready row": {
			rows:      []Row{row(upstreamsTable, "u", "draining", 7), row(upstreamsTable, "u", "ready", 6)},
			upstreams: []string{"u draining"},
		},
		"removal received before the older ready row": {
			rows: []Row{row(upstreamsTable, "u", "", 7), row(upstreamsTable, "u", "ready", 6)},
		},
		"row with an unexpected format": {
			rows:      []Row{row(upstreamsTable, "u", "ready", 6), row(upstreamsTable, "x", "garbage", 7)},
			upstreams: []string{"u"}, decodeErrors: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := testState()
			for _, r := range c.rows {
				s.merge(t0, r.Table, []Row{r}, r.Version)
			}
			require.Len(t, s.decodeErrors, c.decodeErrors)
			v := s.view()
			if c.config > 0 {
				require.Equal(t, c.config, v.Config.Epoch)
			}
			require.Equal(t, c.upstreams, listedUpstreams(v))
		})
	}
}

// Guards against an upstream that remains in use after it was removed and the store
// has dropped the removal from its history.
func TestReplaceRemovesMissingRows(t *testing.T) {
	s := testState()
	s.merge(t0, upstreamsTable, []Row{row(upstreamsTable, "a", "ready", 1), row(upstreamsTable, "b", "ready", 2), row(upstreamsTable, "c", "ready", 30)}, 30)
	s.replace(t0, upstreamsTable, []Row{row(upstreamsTable, "a", "ready", 1)}, 20)
	require.Equal(t, []string{"a", "c"}, listedUpstreams(s.view()), "c is newer than the version of the table that was read")
}

// Guards against a service outage when all rows of upstreams expire while the store is
// unavailable, and against upstreams that were removed and remain in use for longer
// than the grace period.
func TestRemovedUpstreamsAreRetainedAfterStoreOutage(t *testing.T) {
	s := testState()
	s.merge(t0, upstreamsTable, []Row{row(upstreamsTable, "a", "ready", 1), row(upstreamsTable, "b", "ready", 2), row(upstreamsTable, "c", "draining", 3)}, 3)
	s.setUpstreamsUnavailable(t0)
	recoveredAt := t0.Add(5 * time.Second)
	s.setUpstreamsRecovered(recoveredAt)
	s.replace(recoveredAt, upstreamsTable, nil, 10)
	require.Equal(t, []string{"a", "b"}, listedUpstreams(s.view()), "a draining upstream is not retained")
	s.merge(recoveredAt.Add(time.Second), upstreamsTable, []Row{row(upstreamsTable, "a", "ready", 11)}, 11)
	changed, _ := s.expire(recoveredAt.Add(removalGracePeriod))
	require.True(t, changed)
	require.Equal(t, []string{"a"}, listedUpstreams(s.view()))

	later := recoveredAt.Add(time.Minute)
	s.merge(later, upstreamsTable, []Row{row(upstreamsTable, "a", "", 12)}, 12)
	require.Empty(t, listedUpstreams(s.view()), "a removal while the store is available applies at once")
}

// Guards against a process that uses its own start time as the time at which a weight
// version was requested.
func TestWeightsReadAtStartHaveNoTimestamp(t *testing.T) {
	s := testState()
	s.replace(t0, operatorTable, []Row{row(operatorTable, "w", "weights 2", 5)}, 5)
	require.True(t, s.view().Weights["m"].Newest().RequestedAt.IsZero())
	s.merge(t0.Add(time.Second), operatorTable, []Row{row(operatorTable, "w", "weights 3", 6)}, 6)
	history := s.view().Weights["m"]
	require.Equal(t, t0.Add(time.Second), history.Newest().RequestedAt)
	s.merge(t0.Add(2*time.Second), operatorTable, []Row{row(operatorTable, "w", "weights 4", 7)}, 7)
	above, ok := s.view().Weights["m"].FirstAbove(2)
	require.True(t, ok)
	require.Equal(t, t0.Add(time.Second), above.RequestedAt, "version 2 is superseded when version 3 is requested")
}

// Guards against a peer that does not receive all rows that are newer than its
// versions.
func TestRowsAfterReturnsMissingRows(t *testing.T) {
	s := testState()
	s.merge(t0, operatorTable, []Row{row(operatorTable, "c", "config 5", 9)}, 9)
	s.merge(t0, upstreamsTable, []Row{row(upstreamsTable, "a", "ready", 3), row(upstreamsTable, "b", "", 8)}, 8)
	rows, complete := s.rowsAfter(map[Table]Position{upstreamsTable: {Version: 3}})
	require.False(t, complete[upstreamsTable])
	require.Len(t, rows, 2)
	require.Equal(t, "b", rows[0].Key)
	require.True(t, rows[0].Removed)
	require.Equal(t, "c", rows[1].Key)
}

// Guards against departed processes that retain their shares of limits, and against
// live processes that lose their shares because the store was unavailable.
func TestMembersExpireWithoutRenewal(t *testing.T) {
	s := testState()
	member := func(node core.NodeID, version uint64) Row {
		value, err := encodeMember(Member{Node: node, Address: "10.0.0.1:1"})
		require.NoError(t, err)
		return Row{Table: MembersTable, Key: string(node), Value: value, Version: version}
	}
	nodes := func() (out []core.NodeID) {
		for _, m := range s.view().Members {
			out = append(out, m.Node)
		}
		return out
	}
	s.replace(t0, MembersTable, []Row{member("a", 1), member("b", 2)}, 2)
	half := t0.Add(memberExpiry / 2)
	s.merge(half, MembersTable, []Row{member("a", 3)}, 3)
	changed, next := s.expire(half)
	require.False(t, changed)
	require.Equal(t, t0.Add(memberExpiry), next)
	changed, _ = s.expire(t0.Add(memberExpiry))
	require.True(t, changed)
	require.Equal(t, []core.NodeID{"a"}, nodes())
	require.Equal(t, "b", s.view().ExpiredMembers[0].Key)

	outageStart := half.Add(memberExpiry / 2)
	s.setUpstreamsUnavailable(outageStart)
	later := outageStart.Add(time.Hour)
	s.expire(later)
	require.Equal(t, []core.NodeID{"a"}, nodes(), "members do not expire during a store outage")
	s.setUpstreamsRecovered(later)
	s.merge(later, MembersTable, []Row{member("b", 9)}, 9)
	s.expire(later)
	require.Equal(t, []core.NodeID{"a", "b"}, nodes(), "b has renewed its row")
	require.Empty(t, s.view().ExpiredMembers)
	require.Less(t, localRegistrationExpiry, memberExpiry)
}

// Guards against a process that the store rejects and that counts this as an outage while
// peers provide the rows, and against one that misses an outage that follows.
func TestOutageBeginsWhenPeersStopServing(t *testing.T) {
	s := testState()
	s.merge(t0, upstreamsTable, []Row{row(upstreamsTable, "a", "ready", 1), row(upstreamsTable, "b", "ready", 2)}, 2)
	s.setUpstreamsUnavailable(t0)
	s.recordServed(t0.Add(time.Second))
	s.setUpstreamsUnavailable(t0.Add(time.Second + servedValidity/2))
	s.replace(t0.Add(5*time.Second), upstreamsTable, []Row{row(upstreamsTable, "a", "ready", 1)}, 3)
	require.Equal(t, []string{"a"}, listedUpstreams(s.view()), "b was removed long after the outage")

	s.setUpstreamsUnavailable(t0.Add(time.Second + servedValidity))
	s.replace(t0.Add(6*time.Second), upstreamsTable, nil, 4)
	require.Equal(t, []string{"a"}, listedUpstreams(s.view()), "a was removed during an outage")
}

// Guards against a member row without a node name that is ignored without a sign in the log.
func TestMemberRowWithoutNodeNameIsAnError(t *testing.T) {
	value, err := encodeMember(Member{Address: "10.0.0.1:80"})
	require.NoError(t, err)
	s := testState()
	s.merge(t0, MembersTable, []Row{{Table: MembersTable, Key: "n-1", Value: value, Version: 1}}, 1)
	require.Empty(t, s.view().Members)
	require.Len(t, s.decodeErrors, 1)
}
