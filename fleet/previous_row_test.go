package fleet

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// memberStore has one row of the members table. The response to the first transaction is
// lost if loseResponse is set.
type memberStore struct {
	versionedStore
	value        []byte
	loseResponse bool
	unreadable   bool
}

func (s *memberStore) Rows(context.Context, Table) (StoreResponse, error) {
	if s.unreadable {
		return StoreResponse{}, errs.New(errs.Unavailable, "", "not readable")
	}
	if s.value == nil {
		return StoreResponse{}, nil
	}
	return StoreResponse{Rows: []Row{{Table: MembersTable, Key: "a", Value: s.value, Version: 1}}}, nil
}

func (s *memberStore) Commit(_ context.Context, tx Transaction) (StoreResponse, error) {
	s.value = tx.Puts[0].Value
	if s.loseResponse {
		s.loseResponse = false
		return StoreResponse{}, errs.New(errs.Unavailable, "", "no response")
	}
	return StoreResponse{}, nil
}

// Guards against a process that uses its portion of a limit before the others count it: it
// takes the row that it has written itself for that of its previous process.
func TestProcessJoinsUnlessItsPreviousRowIsListed(t *testing.T) {
	member := func(incarnation core.Incarnation) Member { return Member{Node: "a", Incarnation: incarnation} }
	previous, err := encodeMember(member(1))
	require.NoError(t, err)
	cases := map[string]struct {
		value        []byte
		loseResponse bool
		unreadable   bool
		joins        bool
	}{
		"no row":                      {joins: true},
		"no row and a lost response":  {loseResponse: true, joins: true},
		"row of the previous process": {value: previous},
		"rows that cannot be read":    {value: previous, unreadable: true, joins: true},
		"row that cannot be decoded":  {value: []byte{0xff}, joins: true},
		"previous row, lost response": {value: previous, loseResponse: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			store := &memberStore{value: c.value, loseResponse: c.loseResponse, unreadable: c.unreadable}
			f := New(Options{Self: member(2), Store: store, Log: log})
			require.True(t, f.Joins(), "unknown")
			row := Row{Table: MembersTable, Key: "a"}
			row.Value, err = encodeMember(f.opts.Self)
			require.NoError(t, err)
			for range 2 {
				f.register(context.Background(), row, false)
			}
			require.Equal(t, c.joins, f.Joins())
			require.Equal(t, row.Value, store.value, "registered")
		})
	}
}
