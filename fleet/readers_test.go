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

const eventuallyTimeout = 15 * time.Second

// countingStore counts the read calls of one process. It can fail them or leave calls
// for changes without a response.
type countingStore struct {
	fleet.Store
	reads   atomic.Int64
	failing atomic.Bool
	// unresponsive is set when calls for changes receive no response.
	unresponsive atomic.Bool
}

func (s *countingStore) countRead() error {
	s.reads.Add(1)
	if s.failing.Load() {
		return errs.New(errs.Unavailable, "", "store is unavailable")
	}
	return nil
}

func (s *countingStore) Rows(ctx context.Context, table fleet.Table) (fleet.StoreResponse, error) {
	if err := s.countRead(); err != nil {
		return fleet.StoreResponse{}, err
	}
	return s.Store.Rows(ctx, table)
}

func (s *countingStore) Changes(ctx context.Context, table fleet.Table, after uint64, wait time.Duration) (fleet.StoreResponse, error) {
	if err := s.countRead(); err != nil {
		return fleet.StoreResponse{}, err
	}
	response, err := s.Store.Changes(ctx, table, after, wait)
	if s.unresponsive.Load() {
		<-ctx.Done()
		return fleet.StoreResponse{}, ctx.Err()
	}
	return response, err
}

// process is one Fleet with a server for the protocol between processes.
type process struct {
	fleet   *fleet.Fleet
	store   *countingStore
	group   *duty.Group
	stopped bool
	// address is that of this server. unreachableAddress is the address of a peer that
	// the process cannot reach.
	address            string
	unreachableAddress atomic.Value
}

type pullServer struct {
	wire.DRPCCatalogUnimplementedServer
	*fleet.Fleet
}

// Pull calls the Fleet's Pull instead of the unimplemented one.
func (s *pullServer) Pull(ctx context.Context, r *wire.PullRequest) (*wire.PullReply, error) {
	return s.Fleet.Pull(ctx, r)
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	if p.stopped {
		return
	}
	p.stopped = true
	p.group.Stop()
	require.NoError(t, p.group.Wait())
}

func startProcess(t *testing.T, storeAddress string, n int) *process {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &process{address: listener.Addr().String(), store: &countingStore{Store: platform.NewMetadataStore(storeAddress)}, group: duty.NewGroup(context.Background(), log)}
	dialer := transport.NewDialer(nil, nil)
	p.fleet = fleet.New(fleet.Options{
		Self:  fleet.Member{Node: core.NodeID(fmt.Sprintf("front-%d", n)), Address: listener.Addr().String(), Domain: "z1"},
		Store: p.store, Tables: platform.Tables(), Decoder: platform.RowCodec{}, Log: log, RandomSeed: uint64(n),
		Dial: func(ctx context.Context, address string) drpc.Conn {
			if address == p.unreachableAddress.Load() {
				address = "127.0.0.1:1" // connection refused
			}
			return dialer.Dial(ctx, address)
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

// storeReaders returns the processes that read the store. It waits for 2.5 s, in which
// each feed that reads the store calls it at least once.
func storeReaders(all []*process) (out []*process) {
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

// Guards against a process that reads the store directly for ever after one reader
// did not respond in time.
func TestFailedReaderIsRetried(t *testing.T) {
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
		all[i] = startProcess(t, server.Listener.Addr().String(), i)
	}
	var readers []*process
	require.Eventually(t, func() bool {
		readers = storeReaders(all)
		return len(readers) == 2
	}, 2*eventuallyTimeout, time.Millisecond, "number of processes that read the store is not two")
	// A process reads the store when it cannot reach the reader that it queries. Which
	// reader it queries depends on the names, so each pair is tried.
	findProcessWithoutReader := func() *process {
		for _, p := range all {
			for _, r := range readers {
				if p == readers[0] || p == readers[1] {
					continue
				}
				p.unreachableAddress.Store(r.address)
				if len(storeReaders(all)) == 3 {
					return p
				}
				p.unreachableAddress.Store("")
				time.Sleep(6 * time.Second) // until the reader is queried again
			}
		}
		return nil
	}
	p := findProcessWithoutReader()
	require.NotNil(t, p, "no process reads the store in place of an unreachable reader")
	p.unreachableAddress.Store("")
	require.Eventually(t, func() bool { return len(storeReaders(all)) == 2 }, 2*eventuallyTimeout, time.Millisecond, "number of processes that read the store does not return to two")
}

// Guards against processes that all read the store directly, and against a process
// that misses changes when the store is unavailable to the readers or when the readers
// have stopped.
func TestTwoProcessesReadTheStore(t *testing.T) {
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
		all[i] = startProcess(t, server.Listener.Addr().String(), i)
	}
	version := 1
	changeConfigAndWait := func(observers []*process) {
		version++
		value, err := json.Marshal(map[string]any{"version": version})
		require.NoError(t, err)
		store.Put("op", "config", json.RawMessage(value))
		require.Eventually(t, func() bool {
			for _, p := range observers {
				if c := p.fleet.View().Config; c == nil || int(c.Epoch) != version {
					return false
				}
			}
			return true
		}, eventuallyTimeout, 10*time.Millisecond, "a process has not received the change")
	}
	require.Eventually(t, func() bool {
		for _, p := range all {
			if len(p.fleet.View().Members) != processes {
				return false
			}
		}
		return true
	}, eventuallyTimeout, 10*time.Millisecond)
	changeConfigAndWait(all)
	var readers []*process
	require.Eventually(t, func() bool {
		readers = storeReaders(all)
		return len(readers) == 2
	}, 2*eventuallyTimeout, time.Millisecond, "number of processes that read the store is not two")

	for _, r := range readers {
		r.store.failing.Store(true)
	}
	changeConfigAndWait(all)
	for _, r := range readers {
		r.stop(t)
	}
	var remaining []*process
	for _, p := range all {
		if p != readers[0] && p != readers[1] {
			remaining = append(remaining, p)
		}
	}
	changeConfigAndWait(remaining)
}

// Guards against a process that retains an old configuration because the store does
// not respond to it, although it has received a newer epoch from another process.
func TestNewerEpochIsPulledFromPeer(t *testing.T) {
	store := standin.NewPlatformStore()
	store.Put("op", "config", map[string]any{"version": 1})
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		store.Close()
	})
	current, stale := startProcess(t, server.Listener.Addr().String(), 1), startProcess(t, server.Listener.Addr().String(), 2)
	hasVersion := func(p *process, version core.Epoch) func() bool {
		return func() bool {
			v := p.fleet.View()
			return len(v.Members) == 2 && v.Config != nil && v.Config.Epoch == version
		}
	}
	require.Eventually(t, func() bool { return hasVersion(current, 1)() && hasVersion(stale, 1)() }, eventuallyTimeout, 10*time.Millisecond)
	require.Equal(t, current.fleet.View().Epoch, stale.fleet.View().Epoch)
	stale.store.unresponsive.Store(true)
	time.Sleep(3 * time.Second) // until the pending calls have finished
	store.Put("op", "config", map[string]any{"version": 2})
	require.Eventually(t, hasVersion(current, 2), eventuallyTimeout, 10*time.Millisecond)
	require.Never(t, hasVersion(stale, 2), time.Second, 50*time.Millisecond, "stale process received version 2 without the newer epoch")
	require.Less(t, stale.fleet.View().Epoch, current.fleet.View().Epoch)
	stale.fleet.ObserveEpoch(current.fleet.Sender())
	require.Eventually(t, hasVersion(stale, 2), 2*time.Second, 10*time.Millisecond)
	require.Equal(t, current.fleet.View().Epoch, stale.fleet.View().Epoch)
}
