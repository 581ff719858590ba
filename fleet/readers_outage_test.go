package fleet

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
)

// unavailableStore fails all calls.
type unavailableStore struct{}

func (unavailableStore) Rows(context.Context, Table) (StoreResponse, error) {
	return StoreResponse{}, errs.New(errs.Unavailable, "", "store is unavailable")
}

func (s unavailableStore) Changes(ctx context.Context, table Table, _ uint64, _ time.Duration) (StoreResponse, error) {
	return s.Rows(ctx, table)
}

func (s unavailableStore) Commit(ctx context.Context, _ Transaction) (StoreResponse, error) {
	return s.Rows(ctx, "")
}

// Guards against a process for which an outage of the store never ends, since its feeds
// stopped while reads failed: removed upstreams remained in use, and members never expired.
func TestOutageEndsWhenReaderServes(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := New(Options{
		Self: Member{Node: "a"}, Store: unavailableStore{}, Log: log, Decoder: fakeDecoder{},
		Tables: Tables{Operator: operatorTable, Upstreams: upstreamsTable, Status: "status"},
	})
	group := duty.NewGroup(context.Background(), log)
	group.Go("fleet state", f.runState)
	for _, table := range []Table{operatorTable, upstreamsTable} {
		group.Go("feed "+string(table), func(ctx context.Context) error { return f.runFeed(ctx, table, f.feedWakeups[table]) })
	}
	defer func() {
		group.Stop()
		require.NoError(t, group.Wait())
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	unavailable, err := f.tablesUnavailable.Receive(ctx)
	require.NoError(t, err)
	require.True(t, unavailable)
	f.setReadsStore(false, "reader serves")
	for unavailable {
		unavailable, err = f.tablesUnavailable.Receive(ctx)
		require.NoError(t, err, "the outage has not ended")
	}
}
