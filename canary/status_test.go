package canary_test

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/platform"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/standin"
)

// lateStore leaves transactions that write a status without a response while it has a
// place for them in late, so that the test can perform them later.
type lateStore struct {
	fleet.Store
	late *ring.Ring[fleet.Transaction]
	// results receives an element for each transaction that writes a status.
	results *ring.Ring[error]
}

// Commit implements fleet.Store.
func (s *lateStore) Commit(ctx context.Context, tx fleet.Transaction) (fleet.StoreResponse, error) {
	if tx.Puts[0].Table != platform.Tables().Status {
		return s.Store.Commit(ctx, tx)
	}
	if s.late != nil {
		s.late.Push(tx)
		s.results.Push(errs.New(errs.Unknown, "", "no response"))
		return fleet.StoreResponse{}, errs.New(errs.Unknown, "", "no response")
	}
	response, err := s.Store.Commit(ctx, tx)
	s.results.Push(err)
	return response, err
}

// statusWorld is a store with the writers of two fronts. The transactions of the first
// one get no response.
type statusWorld struct {
	store        *standin.PlatformStore
	client       fleet.Store
	first, other *canary.StatusWriter
	late         *ring.Ring[fleet.Transaction]
	results      *ring.Ring[error]
}

func newStatusWorld(t *testing.T) *statusWorld {
	t.Helper()
	w := &statusWorld{store: standin.NewPlatformStore(), late: ring.New[fleet.Transaction](4), results: ring.New[error](4)}
	server := httptest.NewServer(w.store)
	w.client = platform.NewMetadataStore(server.Listener.Addr().String())
	log := logrus.New()
	log.SetOutput(io.Discard)
	w.first = canary.NewStatusWriter(&lateStore{w.client, w.late, w.results}, platform.RowCodec{}, log)
	w.other = canary.NewStatusWriter(&lateStore{w.client, nil, w.results}, platform.RowCodec{}, log)
	group := duty.NewGroup(context.Background(), log)
	group.Go("first", w.first.Run)
	group.Go("other", w.other.Run)
	t.Cleanup(func() {
		group.Stop()
		require.NoError(t, group.Wait())
		server.Close()
		w.store.Close()
	})
	return w
}

// status returns a status of the rollout to v2.
func status(state catalog.RolloutState) catalog.RolloutStatus {
	return catalog.RolloutStatus{Service: service, Version: "v2", State: state}
}

// write lets a writer replace a status and waits until it has sent the transaction.
func (w *statusWorld) write(t *testing.T, writer *canary.StatusWriter, replaced, next catalog.RolloutStatus) error {
	t.Helper()
	writer.Enqueue(canary.StatusUpdate{RolloutStatus: next, Replaced: replaced})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err := w.results.Receive(ctx)
	require.NoError(t, err, "the status was not sent")
	return result
}

// stored returns the status in the store.
func (w *statusWorld) stored(t *testing.T) catalog.RolloutStatus {
	t.Helper()
	page, err := w.client.Rows(t.Context(), platform.Tables().Status)
	require.NoError(t, err)
	require.Len(t, page.Rows, 1)
	decoded, err := platform.RowCodec{}.Decode(page.Rows[0])
	require.NoError(t, err)
	return *decoded.Status
}

// Guards against a rollout that the operator reads as completed, and ends the old
// upstreams, after it was rolled back: the write of "completed" got no response before a
// restore of the store and takes effect after it, on a row whose version was assigned
// again.
func TestLateStatusOfOlderGenerationReplacesNoNewerOne(t *testing.T) {
	w := newStatusWorld(t)
	beforeRollout := w.store.Copy()
	running, completed, rolledBack := status(catalog.RolloutRunning), status(catalog.RolloutCompleted), status(catalog.RolloutRolledBack)
	require.NoError(t, w.write(t, w.other, catalog.RolloutStatus{}, running))
	require.Error(t, w.write(t, w.first, running, completed))
	w.store.Restore(beforeRollout)
	require.NoError(t, w.write(t, w.other, catalog.RolloutStatus{}, rolledBack))

	late, ok := w.late.TryReceive()
	require.True(t, ok)
	_, err := w.client.Commit(t.Context(), late)
	require.True(t, errs.Is(err, errs.Conflict), "%v", err)
	require.Equal(t, rolledBack, w.stored(t))
}

// Guards against a status that replaces another one than its writer knew, and against a
// status that can no longer be replaced after a restore.
func TestStatusReplacesOnlyTheKnownOne(t *testing.T) {
	w := newStatusWorld(t)
	running, completed, rolledBack := status(catalog.RolloutRunning), status(catalog.RolloutCompleted), status(catalog.RolloutRolledBack)
	require.NoError(t, w.write(t, w.other, catalog.RolloutStatus{}, rolledBack))
	w.other.Enqueue(canary.StatusUpdate{RolloutStatus: completed, Replaced: running}) // not sent
	w.store.Restore(w.store.Copy())
	require.NoError(t, w.write(t, w.other, rolledBack, running))
	require.Equal(t, running, w.stored(t))
}
