package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/platform"
	"waxwingtide.example/waxwingtide/standin"
)

// restorableStore is a store with processes that read it. Two read it directly, the
// others pull from them.
type restorableStore struct {
	*testing.T
	store     *standin.PlatformStore
	address   string
	processes []*process
}

func newRestorableStore(t *testing.T) *restorableStore {
	store := standin.NewPlatformStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		store.Close()
	})
	return &restorableStore{T: t, store: store, address: server.Listener.Addr().String()}
}

// start starts processes until there are n.
func (r *restorableStore) start(n int) {
	for len(r.processes) < n {
		r.processes = append(r.processes, startProcess(r.T, r.address, len(r.processes)))
	}
}

func (r *restorableStore) putConfig(version core.Epoch) {
	r.store.Put("op", "config", map[string]any{"version": version})
}

func (r *restorableStore) putUpstream(id string, revision int, state string) {
	r.store.Put("servers", id, map[string]any{
		"service": "svc", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": 1, "state": state, "born": 1000, "seq": revision,
	})
}

// await waits until all processes have n members, a configuration and upstreams.
func (r *restorableStore) await(message string, config core.Epoch, upstreams ...string) {
	r.Helper()
	require.Eventually(r, func() bool {
		for _, p := range r.processes {
			v := p.fleet.View()
			if len(v.Members) != len(r.processes) || v.Config == nil || v.Config.Epoch != config || len(v.Upstreams) != len(upstreams) {
				return false
			}
			for i, u := range v.Upstreams {
				if string(u.ID) != upstreams[i] {
					return false
				}
			}
		}
		return true
	}, eventuallyTimeout, 10*time.Millisecond, message)
}

// Guards against processes that ignore or miss a configuration or an upstream's entry
// that is written after the store's content was restored from an older copy, since
// versions are assigned again; also when no read fails, and when it happens twice.
func TestChangesAfterRestoreTakeEffect(t *testing.T) {
	for _, outage := range []bool{true, false} {
		t.Run(fmt.Sprintf("outage %t", outage), func(t *testing.T) {
			r := newRestorableStore(t)
			r.putConfig(1)
			r.putUpstream("i-1", 1, "ready")
			r.start(4)
			r.await("start", 1, "i-1")
			version := core.Epoch(1)
			for range 2 {
				backup := r.store.Copy()
				r.putConfig(version + 1)
				r.putUpstream("i-2", 1, "ready")
				r.putConfig(version + 2)
				r.await("before the restore", version+2, "i-1", "i-2")
				if outage {
					r.store.SetDark(true)
					time.Sleep(2500 * time.Millisecond) // until pending calls have ended
				}
				r.store.Restore(backup)
				r.putConfig(version + 2) // again
				r.putUpstream("i-2", 2, "ready")
				r.putConfig(version + 3)
				r.store.SetDark(false)
				r.await("after the restore", version+3, "i-1", "i-2")
				version += 3
			}
		})
	}
}

// Guards against a process whose row remains lost for up to a minute after the store's
// content was restored, so that processes that start do not count it.
func TestProcessRegistersAgainAfterRestore(t *testing.T) {
	r := newRestorableStore(t)
	r.putConfig(1)
	backup := r.store.Copy()
	r.start(4)
	r.await("start", 1)
	r.store.Restore(backup)
	require.Eventually(t, func() bool {
		for i := range r.processes {
			if _, ok := r.store.Row("members", fmt.Sprintf("front-%d", i)); !ok {
				return false
			}
		}
		return true
	}, eventuallyTimeout, 10*time.Millisecond, "a process has not registered again")
}

// Guards against a process that keeps lost content of the store, since the store does
// not respond to it and the versions that other processes send are lower than its own.
func TestNewerGenerationIsPulledFromPeer(t *testing.T) {
	const lostConfig core.Epoch = 8
	r := newRestorableStore(t)
	r.putConfig(1)
	r.start(2)
	r.await("start", 1)
	backup := r.store.Copy()
	for config := core.Epoch(2); config <= lostConfig; config++ {
		r.putConfig(config)
	}
	r.await("before the restore", lostConfig)
	current, stale := r.processes[0], r.processes[1]
	stale.store.unresponsive.Store(true)
	time.Sleep(3 * time.Second) // until the pending calls have finished
	r.store.Restore(backup)
	r.putConfig(lostConfig + 1)
	hasConfig := func(p *process) func() bool {
		return func() bool { return p.fleet.View().Config.Epoch == lostConfig+1 }
	}
	require.Eventually(t, hasConfig(current), eventuallyTimeout, 10*time.Millisecond)
	require.Less(t, current.fleet.View().Epoch, stale.fleet.View().Epoch)
	stale.fleet.ObserveEpoch(current.fleet.Sender())
	require.Eventually(t, hasConfig(stale), 2*time.Second, 10*time.Millisecond, "a newer generation was not pulled")
	require.Equal(t, current.fleet.View().Generation, stale.fleet.View().Generation)
}

// unreadStore accepts registrations. Its reads fail until readable is set, and then belong
// to a newer generation than the first registration.
type unreadStore struct {
	readable  atomic.Bool
	committed chan core.Generation
}

func (s *unreadStore) response() fleet.StoreResponse {
	if s.readable.Load() {
		return fleet.StoreResponse{Version: 1, Generation: 2}
	}
	return fleet.StoreResponse{Version: 1, Generation: 1}
}

func (s *unreadStore) Rows(context.Context, fleet.Table) (fleet.StoreResponse, error) {
	if !s.readable.Load() {
		return fleet.StoreResponse{}, errs.New(errs.Unavailable, "", "store is unavailable")
	}
	return s.response(), nil
}

func (s *unreadStore) Changes(ctx context.Context, _ fleet.Table, _ uint64, _ time.Duration) (fleet.StoreResponse, error) {
	<-ctx.Done()
	return fleet.StoreResponse{}, ctx.Err()
}

func (s *unreadStore) Commit(context.Context, fleet.Transaction) (fleet.StoreResponse, error) {
	response := s.response()
	s.committed <- response.Generation
	return response, nil
}

// Guards against a process whose row is lost for up to a minute, since the store's content
// was restored between its registration and its first read.
func TestProcessRegistersAgainAfterRestoreBeforeFirstRead(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := &unreadStore{committed: make(chan core.Generation, 8)}
	f := fleet.New(fleet.Options{Self: fleet.Member{Node: "front-0"}, Store: store, Tables: platform.Tables(), Decoder: platform.RowCodec{}, Log: log})
	group := duty.NewGroup(context.Background(), log)
	f.Start(group)
	defer func() {
		group.Stop()
		require.NoError(t, group.Wait())
	}()
	require.Equal(t, core.Generation(1), <-store.committed)
	store.readable.Store(true)
	select {
	case generation := <-store.committed:
		require.Equal(t, core.Generation(2), generation)
	case <-time.After(eventuallyTimeout):
		t.Fatal("the process has not registered again")
	}
}

// staleStore has no content of any version and counts the reads.
type staleStore struct{ reads atomic.Int64 }

func (s *staleStore) Rows(context.Context, fleet.Table) (fleet.StoreResponse, error) {
	s.reads.Add(1)
	return fleet.StoreResponse{}, errs.New(errs.Stale, "", "content was restored during the read")
}

func (s *staleStore) Changes(ctx context.Context, table fleet.Table, _ uint64, _ time.Duration) (fleet.StoreResponse, error) {
	return s.Rows(ctx, table)
}

func (s *staleStore) Commit(context.Context, fleet.Transaction) (fleet.StoreResponse, error) {
	return fleet.StoreResponse{}, errs.New(errs.Unavailable, "", "store is unavailable")
}

// Guards against feeds that read without a pause while complete tables are stale.
func TestStaleTablesAreReadWithPauses(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := &staleStore{}
	f := fleet.New(fleet.Options{Self: fleet.Member{Node: "front-0"}, Store: store, Tables: platform.Tables(), Decoder: platform.RowCodec{}, Log: log})
	group := duty.NewGroup(context.Background(), log)
	f.Start(group)
	time.Sleep(500 * time.Millisecond)
	reads := store.reads.Load()
	group.Stop()
	require.NoError(t, group.Wait())
	require.Positive(t, reads)
	require.Less(t, reads, int64(50), "three feeds with a pause of 200 ms")
}
