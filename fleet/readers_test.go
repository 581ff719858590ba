package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/platform"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/wire"
)

const patience = 15 * time.Second

// countedStore counts the readings of one process and can refuse them.
type countedStore struct {
	fleet.Store
	reads   atomic.Int64
	refused atomic.Bool
	// silent is set when calls get no answer.
	silent atomic.Bool
}

func (s *countedStore) refusal() error {
	s.reads.Add(1)
	if s.refused.Load() {
		return errs.New(errs.Unavailable, "", "refused")
	}
	return nil
}

func (s *countedStore) Rows(ctx context.Context, table fleet.Table) (fleet.StoreResponse, error) {
	if err := s.refusal(); err != nil {
		return fleet.StoreResponse{}, err
	}
	return s.Store.Rows(ctx, table)
}

func (s *countedStore) Changes(ctx context.Context, table fleet.Table, after uint64, wait time.Duration) (fleet.StoreResponse, error) {
	if err := s.refusal(); err != nil {
		return fleet.StoreResponse{}, err
	}
	page, err := s.Store.Changes(ctx, table, after, wait)
	if s.silent.Load() {
		<-ctx.Done()
		return fleet.StoreResponse{}, ctx.Err()
	}
	return page, err
}

// process is one fleet with its inner protocol.
type process struct {
	fleet *fleet.Fleet
	store *countedStore
	group *duty.Group
	ended bool
	// address is that of the inner protocol, cutTo one that the process does not
	// reach.
	address string
	cutTo   atomic.Value
}

type pullServer struct {
	wire.DRPCCatalogUnimplementedServer
	*fleet.Fleet
}

// Pull implements the inner protocol.
func (s *pullServer) Pull(ctx context.Context, r *wire.PullRequest) (*wire.PullReply, error) {
	return s.Fleet.Pull(ctx, r)
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	if p.ended {
		return
	}
	p.ended = true
	p.group.Stop()
	require.NoError(t, p.group.Wait())
}

func start(t *testing.T, storeAt string, n int) *process {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &process{address: listener.Addr().String(), store: &countedStore{Store: platform.NewMetadataStore(storeAt)}, group: duty.NewGroup(context.Background(), log)}
	dialer := transport.NewDialer(nil, nil)
	p.fleet = fleet.New(fleet.Options{
		Self:  fleet.Member{Node: core.NodeID(fmt.Sprintf("front-%d", n)), Address: listener.Addr().String(), Domain: "z1"},
		Store: p.store, Tables: platform.Tables(), Decoder: platform.RowCodec{}, Log: log, RandomSeed: uint64(n),
		Dial: func(ctx context.Context, at string) drpc.Conn {
			if at == p.cutTo.Load() {
				at = "127.0.0.1:1" // refuses connections
			}
			return dialer.Dial(ctx, at)
		},
	})
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterCatalog(mux, &pullServer{Fleet: p.fleet}))
	p.group.Go("inner", func(ctx context.Context) error { return transport.Serve(ctx, listener, nil, mux) })
	p.fleet.Start(p.group)
	t.Cleanup(func() {
		p.stop(t)
		require.NoError(t, dialer.Close())
	})
	return p
}

// reading returns the processes that call the store within the time in which each
// feed calls it at least once.
func reading(all []*process) (out []*process) {
	for _, p := range all {
		p.store.reads.Store(0)
	}
	time.Sleep(2500 * time.Millisecond)
	for _, p := range all {
		if p.store.reads.Load() > 0 {
			out = append(out, p)
		}
	}
	return out
}

// Guards against a process that goes on reading the store itself after it has
// passed over a reader once, which did not answer in time.
func TestPassedOverReaderIsAskedAgain(t *testing.T) {
	store := standin.NewPlatformStore()
	store.Put("op", "config", map[string]any{"version": 1})
	store.Put("servers", "i-1", map[string]any{
		"service": "svc", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": 1, "state": "ready",
	})
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		store.Close()
	})
	all := make([]*process, 4)
	for i := range all {
		all[i] = start(t, server.Listener.Addr().String(), i)
	}
	var readers []*process
	require.Eventually(t, func() bool {
		readers = reading(all)
		return len(readers) == 2
	}, 2*patience, time.Millisecond, "not two processes read the store")
	// One of the others takes the duty over when it does not reach the reader that
	// it asks; which one follows from the names.
	takesOver := func() *process {
		for _, p := range all {
			for _, r := range readers {
				if p == readers[0] || p == readers[1] {
					continue
				}
				p.cutTo.Store(r.address)
				if len(reading(all)) == 3 {
					return p
				}
				p.cutTo.Store("")
				time.Sleep(6 * time.Second) // the reader is asked again
			}
		}
		return nil
	}
	p := takesOver()
	require.NotNil(t, p, "no process takes the duty over")
	p.cutTo.Store("")
	require.Eventually(t, func() bool { return len(reading(all)) == 2 }, 2*patience, time.Millisecond, "a process reads the store for ever")
}

// Guards against a store that every process reads by itself, and against a
// process that misses changes when the ones it learns from are refused by the
// store or gone.
func TestFewProcessesReadTheStore(t *testing.T) {
	store := standin.NewPlatformStore()
	store.Put("op", "config", map[string]any{"version": 1})
	store.Put("servers", "i-1", map[string]any{
		"service": "svc", "address": "127.0.0.1:9", "zone": "z1", "version": "v1", "slots": 1, "state": "ready",
	})
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		store.Close()
	})
	const processes = 5
	all := make([]*process, processes)
	for i := range all {
		all[i] = start(t, server.Listener.Addr().String(), i)
	}
	version := 1
	requireChange := func(among []*process) {
		version++
		value, err := json.Marshal(map[string]any{"version": version})
		require.NoError(t, err)
		store.Put("op", "config", json.RawMessage(value))
		require.Eventually(t, func() bool {
			for _, p := range among {
				if c := p.fleet.View().Config; c == nil || int(c.Epoch) != version {
					return false
				}
			}
			return true
		}, patience, 10*time.Millisecond, "a change is missed")
	}
	require.Eventually(t, func() bool {
		for _, p := range all {
			if len(p.fleet.View().Members) != processes {
				return false
			}
		}
		return true
	}, patience, 10*time.Millisecond)
	requireChange(all)
	var readers []*process
	require.Eventually(t, func() bool {
		readers = reading(all)
		return len(readers) == 2
	}, 2*patience, time.Millisecond, "not two processes read the store")

	for _, r := range readers {
		r.store.refused.Store(true)
	}
	requireChange(all)
	for _, r := range readers {
		r.stop(t)
	}
	var left []*process
	for _, p := range all {
		if p != readers[0] && p != readers[1] {
			left = append(left, p)
		}
	}
	requireChange(left)
}

// Guards against a process that keeps an old configuration because the store has
// fallen silent for it alone, though another process has told it of a newer one.
func TestNewerEpochIsAskedFor(t *testing.T) {
	store := standin.NewPlatformStore()
	store.Put("op", "config", map[string]any{"version": 1})
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		store.Close()
	})
	one, two := start(t, server.Listener.Addr().String(), 1), start(t, server.Listener.Addr().String(), 2)
	knows := func(p *process, version core.Epoch) func() bool {
		return func() bool {
			v := p.fleet.View()
			return len(v.Members) == 2 && v.Config != nil && v.Config.Epoch == version
		}
	}
	require.Eventually(t, func() bool { return knows(one, 1)() && knows(two, 1)() }, patience, 10*time.Millisecond)
	require.Equal(t, one.fleet.View().Epoch, two.fleet.View().Epoch)
	two.store.silent.Store(true)
	time.Sleep(3 * time.Second) // the calls under way have ended
	store.Put("op", "config", map[string]any{"version": 2})
	require.Eventually(t, knows(one, 2), patience, 10*time.Millisecond)
	require.Never(t, knows(two, 2), time.Second, 50*time.Millisecond, "nobody has told it")
	require.Less(t, two.fleet.View().Epoch, one.fleet.View().Epoch)
	two.fleet.ObserveEpoch(one.fleet.Identity())
	require.Eventually(t, knows(two, 2), 2*time.Second, 10*time.Millisecond)
	require.Equal(t, one.fleet.View().Epoch, two.fleet.View().Epoch)
}
