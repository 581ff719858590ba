package fleet

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// versionedStore has the versions of the members table and applies transactions to them.
// Its responses have a version that is newer than the rows.
type versionedStore struct {
	generation core.Generation
	version    uint64
	rows       map[string]uint64
	// afterRead is called after the first read.
	afterRead func()
}

func (s *versionedStore) Rows(context.Context, Table) (StoreResponse, error) {
	response := StoreResponse{Version: s.version + 1, Generation: s.generation}
	for key, version := range s.rows {
		response.Rows = append(response.Rows, Row{Table: MembersTable, Key: key, Version: version})
	}
	if restore := s.afterRead; restore != nil {
		s.afterRead = nil
		restore()
	}
	return response, nil
}

func (s *versionedStore) Changes(context.Context, Table, uint64, time.Duration) (StoreResponse, error) {
	return StoreResponse{}, errs.New(errs.Unavailable, "", "not used")
}

func (s *versionedStore) Commit(_ context.Context, tx Transaction) (StoreResponse, error) {
	for _, c := range tx.Conditions {
		if s.rows[c.Key] != c.Version {
			return StoreResponse{}, errs.New(errs.Conflict, "", "version of %s is %d", c.Key, s.rows[c.Key])
		}
	}
	s.version++
	for _, row := range tx.Puts {
		s.rows[row.Key] = s.version
	}
	for _, row := range tx.Removes {
		delete(s.rows, row.Key)
	}
	return StoreResponse{Version: s.version + 1, Generation: s.generation}, nil
}

// Guards against the removal of a live member whose row has the version that the row of an
// expired member had before the store's content was restored.
func TestRemovalOfExpiredMemberSparesRowsOfOtherGenerations(t *testing.T) {
	const localVersion, expiredVersion = 3, 2
	cases := map[string]struct {
		read          core.Generation // generation of the members table that was read
		restoredAfter bool            // the store is restored after the local row was read
		removed       bool
	}{
		"no restore":                  {read: 1, removed: true},
		"restored before the renewal": {read: 0},
		"restored after the read":     {read: 1, restoredAfter: true},
		"restored before and after":   {read: 0, restoredAfter: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			store := &versionedStore{generation: 1, version: localVersion, rows: map[string]uint64{"a": localVersion, "b": expiredVersion}}
			if c.restoredAfter {
				store.afterRead = func() {
					store.generation, store.version = 2, expiredVersion
					store.rows = map[string]uint64{"b": expiredVersion} // b has registered again
				}
			}
			f := New(Options{Self: Member{Node: "a"}, Store: store, Log: log})
			f.view.Store(&View{
				Members: []Member{{Node: "a"}}, MembersGeneration: c.read,
				ExpiredMembers: []Row{{Table: MembersTable, Key: "b", Version: expiredVersion}},
			})
			f.removeExpired(context.Background())
			_, listed := store.rows["b"]
			require.Equal(t, c.removed, !listed)
		})
	}
}
