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
	operator  Table = "operator"
	upstreams Table = "upstreams"
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
	return newState(Tables{Operator: operator, Upstreams: upstreams}, fakeDecoder{})
}

func row(table Table, key, value string, version uint64) Row {
	return Row{Table: table, Key: key, Value: []byte(value), Version: version, Removed: value == ""}
}

func ids(v *View) []string {
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

// Guards against a configuration or a drain that reverts, whatever the order in
// which rows come from the store and from peers.
func TestMergeNeverReverts(t *testing.T) {
	cases := map[string]struct {
		rows       []Row
		config     core.Epoch
		upstreams  []string
		unreadable int
	}{
		"older row after newer": {
			rows:   []Row{row(operator, "c", "config 5", 9), row(operator, "c", "config 4", 8)},
			config: 5,
		},
		"older configuration in a newer row": {
			rows:   []Row{row(operator, "c", "config 5", 9), row(operator, "c", "config 4", 10)},
			config: 5,
		},
		"unreadable configuration": {
			rows:   []Row{row(operator, "c", "config 5", 9), row(operator, "c", "garbage", 10)},
			config: 5, unreadable: 1,
		},
		"drain before the older ready row": {
			rows:      []Row{row(upstreams, "u", "draining", 7), row(upstreams, "u", "ready", 6)},
			upstreams: []string{"u draining"},
		},
		"removal before the older ready row": {
			rows: []Row{row(upstreams, "u", "", 7), row(upstreams, "u", "ready", 6)},
		},
		"row of another writer": {
			rows:      []Row{row(upstreams, "u", "ready", 6), row(upstreams, "x", "garbage", 7)},
			upstreams: []string{"u"}, unreadable: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := testState()
			for _, r := range c.rows {
				s.merge(t0, r.Table, []Row{r}, r.Version)
			}
			require.Len(t, s.invalid, c.unreadable)
			v := s.view()
			if c.config > 0 {
				require.Equal(t, c.config, v.Config.Epoch)
			}
			require.Equal(t, c.upstreams, ids(v))
		})
	}
}

// Guards against an upstream that stays in use after the store dropped the part
// of its history in which it left.
func TestReplaceRemovesMissingRows(t *testing.T) {
	s := testState()
	s.merge(t0, upstreams, []Row{row(upstreams, "a", "ready", 1), row(upstreams, "b", "ready", 2), row(upstreams, "c", "ready", 30)}, 30)
	s.replace(t0, upstreams, []Row{row(upstreams, "a", "ready", 1)}, 20)
	require.Equal(t, []string{"a", "c"}, ids(s.view()), "c is newer than the table that was read")
}

// Guards against an outage of the service when all entries lapse while the
// store is away, and against the use of upstreams that have really gone.
func TestLapsedUpstreamsStayInUseForAWhile(t *testing.T) {
	s := testState()
	s.merge(t0, upstreams, []Row{row(upstreams, "a", "ready", 1), row(upstreams, "b", "ready", 2), row(upstreams, "c", "draining", 3)}, 3)
	s.storeAway(t0)
	back := t0.Add(5 * time.Second)
	s.storeBack(back)
	s.replace(back, upstreams, nil, 10)
	require.Equal(t, []string{"a", "b"}, ids(s.view()), "the draining one has left")
	s.merge(back.Add(time.Second), upstreams, []Row{row(upstreams, "a", "ready", 11)}, 11)
	changed, _ := s.expire(back.Add(lapseGrace))
	require.True(t, changed)
	require.Equal(t, []string{"a"}, ids(s.view()))

	later := back.Add(time.Minute)
	s.merge(later, upstreams, []Row{row(upstreams, "a", "", 12)}, 12)
	require.Empty(t, ids(s.view()), "a removal while the store is there holds at once")
}

// Guards against a process that takes its own start for the time at which
// weights were named.
func TestWeightsFromBeforeTheStartHaveNoTime(t *testing.T) {
	s := testState()
	s.replace(t0, operator, []Row{row(operator, "w", "weights 2", 5)}, 5)
	require.True(t, s.view().Weights["m"].Newest().RequestedAt.IsZero())
	s.merge(t0.Add(time.Second), operator, []Row{row(operator, "w", "weights 3", 6)}, 6)
	namings := s.view().Weights["m"]
	require.Equal(t, t0.Add(time.Second), namings.Newest().RequestedAt)
	s.merge(t0.Add(2*time.Second), operator, []Row{row(operator, "w", "weights 4", 7)}, 7)
	above, ok := s.view().Weights["m"].FirstAbove(2)
	require.True(t, ok)
	require.Equal(t, t0.Add(time.Second), above.RequestedAt, "version 2 became old when 3 was named")
}

// Guards against a peer that does not get all it lacks.
func TestSinceReturnsWhatAPeerLacks(t *testing.T) {
	s := testState()
	s.merge(t0, operator, []Row{row(operator, "c", "config 5", 9)}, 9)
	s.merge(t0, upstreams, []Row{row(upstreams, "a", "ready", 3), row(upstreams, "b", "", 8)}, 8)
	rows := s.since(map[Table]uint64{upstreams: 3})
	require.Len(t, rows, 2)
	require.Equal(t, "b", rows[0].Key)
	require.True(t, rows[0].Removed)
	require.Equal(t, "c", rows[1].Key)
}

// Guards against processes that are gone for good and keep their shares of
// limits, and against ones that lose them because the store was away.
func TestMembersLapseWithoutRenewal(t *testing.T) {
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
	half := t0.Add(memberLapse / 2)
	s.merge(half, MembersTable, []Row{member("a", 3)}, 3)
	changed, next := s.expire(half)
	require.False(t, changed)
	require.Equal(t, t0.Add(memberLapse), next)
	changed, _ = s.expire(t0.Add(memberLapse))
	require.True(t, changed)
	require.Equal(t, []core.NodeID{"a"}, nodes())
	require.Equal(t, "b", s.view().ExpiredMembers[0].Key)

	away := half.Add(memberLapse / 2)
	s.storeAway(away)
	later := away.Add(time.Hour)
	s.expire(later)
	require.Equal(t, []core.NodeID{"a"}, nodes(), "renewals cannot be seen")
	s.storeBack(later)
	s.merge(later, MembersTable, []Row{member("b", 9)}, 9)
	s.expire(later)
	require.Equal(t, []core.NodeID{"a", "b"}, nodes(), "b is back")
	require.Empty(t, s.view().ExpiredMembers)
	require.Less(t, ownLapse, memberLapse)
}
