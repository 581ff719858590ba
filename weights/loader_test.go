package weights_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"storj.io/drpc"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/platform"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/weights"
)

const (
	model    = core.ModelID("m1")
	timeout  = 15 * time.Second
	loadTime = 60 * time.Millisecond
)

// engine is the state of one fake model server.
type engine struct {
	version        catalog.WeightNumber
	acceptedOrders uint64
	busyUntil      time.Time
	loadingVersion catalog.WeightNumber
	receivedOrders int
}

// fakeEngines simulates model servers. Their state is passed through a ring with
// one slot, so that only one goroutine at a time uses it.
type fakeEngines struct {
	state           *ring.Ring[map[string]*engine]
	orders          *ring.Ring[weights.Order]
	concurrentLoads *ring.Ring[int]
	loseFirstOrders bool
	holders         *ring.Ring[core.NodeID]
}

func newEngines(n int) *fakeEngines {
	all := make(map[string]*engine)
	for i := range n {
		all[address(i)] = &engine{version: 1}
	}
	f := &fakeEngines{
		state: ring.New[map[string]*engine](1), orders: ring.New[weights.Order](256),
		concurrentLoads: ring.New[int](256), holders: ring.New[core.NodeID](256),
	}
	f.state.Offer(all)
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

func (f *fakeEngines) withEngines(ctx context.Context, use func(all map[string]*engine)) {
	all, err := f.state.Receive(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	for _, e := range all {
		if e.loadingVersion > 0 && now.After(e.busyUntil) {
			e.version, e.loadingVersion = e.loadingVersion, 0
		}
	}
	use(all)
	f.state.Offer(all)
}

func (f *fakeEngines) State(ctx context.Context, addr string) (s weights.EngineState, err error) {
	f.withEngines(ctx, func(all map[string]*engine) {
		e := all[addr]
		s = weights.EngineState{Weights: map[core.ModelID]catalog.WeightNumber{model: e.version}, Busy: e.loadingVersion > 0, AcceptedOrders: e.acceptedOrders}
	})
	return s, ctx.Err()
}

func (f *fakeEngines) Load(ctx context.Context, o weights.Order) (result weights.OrderResult, err error) {
	f.orders.Push(o)
	f.withEngines(ctx, func(all map[string]*engine) {
		e := all[o.Address]
		e.receivedOrders++
		if e.acceptedOrders != o.ExpectedOrders || e.loadingVersion > 0 {
			result = weights.Conflicting
			return
		}
		if f.loseFirstOrders && e.receivedOrders == 1 {
			result, err = weights.NoResponse, errs.New(errs.Unknown, "", "no response")
			return
		}
		e.acceptedOrders++
		e.loadingVersion, e.busyUntil = o.Version, time.Now().Add(loadTime)
		loadingCount := 0
		for _, other := range all {
			if other.loadingVersion > 0 {
				loadingCount++
			}
		}
		f.concurrentLoads.Push(loadingCount)
		result = weights.Accepted
	})
	return result, err
}

// startLoaders starts the fleets and loaders of several processes with one store.
func startLoaders(t *testing.T, store *standin.PlatformStore, engines weights.EngineClient, nodes ...core.NodeID) {
	t.Helper()
	server := httptest.NewServer(store)
	log := logrus.New()
	log.SetOutput(io.Discard)
	group := duty.NewGroup(context.Background(), log)
	for i, node := range nodes {
		client := platform.NewMetadataStore(server.Listener.Addr().String())
		dialer := transport.NewDialer(nil, nil)
		f := fleet.New(fleet.Options{
			Self: fleet.Member{Node: node, Address: fmt.Sprintf("127.0.0.1:%d", i+1)}, Store: client, Tables: platform.Tables(),
			Decoder: platform.RowCodec{}, Log: log,
			Dial: func(ctx context.Context, at string) drpc.Conn { return dialer.Dial(ctx, at) },
		})
		l := weights.NewLoader(weights.Options{
			Self: node, Incarnation: core.Incarnation(i + 1), Store: client, Fleet: f, Engines: engines,
			HandoverInterval: 600 * time.Millisecond, LoadShare: 0.2, Mode: weights.KeepRuns, Log: log,
			OnLoaded: func(core.UpstreamID, core.ModelID, catalog.WeightNumber) {},
		})
		f.Start(group)
		group.Go("loader", l.Run)
	}
	t.Cleanup(func() {
		group.Stop()
		require.NoError(t, group.Wait())
		server.CloseClientConnections()
		server.Close()
		store.Close()
	})
}

func newStore(n int) *standin.PlatformStore {
	store := standin.NewPlatformStore()
	store.Put("op", "config", map[string]any{"version": 1})
	for i := range n {
		store.Put("servers", fmt.Sprintf("i-%d", i), map[string]any{
			"service": "svc", "address": address(i), "zone": "z", "version": "v1", "slots": 4, "state": "ready",
			"models": []any{map[string]any{"name": model, "version": 1}},
		})
	}
	return store
}

// With three processes that contend for the lease, all servers must load the
// newest weights, also when the first order to each server is lost and when the
// operator requests several versions in a row. Guards also against too many
// concurrent loads and against orders from two holders.
func TestLoaderLoadsNewestWeightsOnAllServers(t *testing.T) {
	cases := map[string]struct {
		loseOrders bool
		series     bool
	}{"one version": {}, "lost orders": {loseOrders: true}, "a series": {series: true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const servers = 10
			store, engines := newStore(servers), newEngines(servers)
			engines.loseFirstOrders = c.loseOrders
			startLoaders(t, store, engines, "a", "b", "c")
			wantVersion := catalog.WeightNumber(2)
			store.Put("op", "version/"+string(model), map[string]any{"model": model, "version": wantVersion})
			if c.series {
				time.Sleep(3 * loadTime)
				wantVersion = 4
				store.Put("op", "version/"+string(model), map[string]any{"model": model, "version": wantVersion})
			}
			require.Eventually(t, func() bool {
				allUpdated := true
				engines.withEngines(t.Context(), func(all map[string]*engine) {
					for _, e := range all {
						allUpdated = allUpdated && e.version == wantVersion
					}
				})
				return allUpdated
			}, timeout, 20*time.Millisecond)
			for loadingCount, ok := engines.concurrentLoads.TryReceive(); ok; loadingCount, ok = engines.concurrentLoads.TryReceive() {
				require.LessOrEqual(t, loadingCount, 2)
			}
			first, ok := engines.orders.TryReceive()
			require.True(t, ok)
			for o, ok := engines.orders.TryReceive(); ok; o, ok = engines.orders.TryReceive() {
				require.Equal(t, first.Holder, o.Holder)
				require.Equal(t, first.Fence, o.Fence)
			}
		})
	}
}

// Guards against orders from a process that does not know whether it holds the
// lease because the responses of the metadata store are lost.
func TestLoaderSendsNoOrderWithoutLease(t *testing.T) {
	const servers = 4
	store, engines := newStore(servers), newEngines(servers)
	store.SetLoseAnswers(true)
	startLoaders(t, store, engines, "a")
	store.Put("op", "version/"+string(model), map[string]any{"model": model, "version": 2})
	time.Sleep(500 * time.Millisecond)
	_, ordered := engines.orders.TryReceive()
	require.False(t, ordered, "the response that grants the lease was lost")
	store.SetLoseAnswers(false)
	require.Eventually(t, func() bool {
		_, ordered := engines.orders.TryReceive()
		return ordered
	}, timeout, 20*time.Millisecond)
}
