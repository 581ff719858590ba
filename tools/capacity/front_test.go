// The benchmarks of this file measure the state, the messages and the processor
// time of a front at sizes up to the target, as slopes for docs/CAPACITY.md.
package main

import (
	"context"
	"flag"
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

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/platform"
	"waxwingtide.example/waxwingtide/sharing"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/wire"
)

// measure runs the measurement of a front's duties without calls:
//
//	go test ./tools/capacity -run TestMeasureFronts -measure -v
var measure = flag.Bool("measure", false, "measure the control of up to 300 fronts")

func frontWorld(n int) placement.Inputs {
	w := placement.Inputs{Config: (&catalog.Config{Services: map[core.ServiceID]*catalog.Service{
		"engines": {ID: "engines", ColdCallsPerSecond: 11, Engine: &catalog.Engine{CacheTokens: 50_000, TokenBytes: 160_000, LinkMbps: 700_000}},
	}}).Index()}
	for i := range n {
		w.Upstreams = append(w.Upstreams, catalog.UpstreamRow{RowVersion: 1, Upstream: &catalog.Upstream{
			ID: upstreamID(i), Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Domain: core.FailureDomain(fmt.Sprint("domain-", i%domains)), Slots: 64,
			Weights: map[core.ModelID]catalog.WeightNumber{core.ModelID(fmt.Sprint("model-", i%models)): 1},
		}})
	}
	for i := range 1800 {
		w.Fronts = append(w.Fronts, core.NodeID(fmt.Sprint("front-", i)))
	}
	return w
}

func BenchmarkFrontTableHeap(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		w := frontWorld(n)
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			reportHeap(b, n, func() *placement.Placer {
				t := placement.New(placement.Options{Node: "front-0"}, cacheindex.New())
				t.SetInputs(now, w)
				return t
			})
		})
	}
}

func BenchmarkKeptIndexHeap(b *testing.B) {
	const address = "10.0.0.1:80"
	for _, n := range []int{10_000, 340_000} {
		held := make([]cacheindex.CachedPart, n)
		for i := range held {
			held[i] = cacheindex.CachedPart{Key: cacheindex.Key{Salt: "1/model-1/*", ID: core.PartID(fmt.Sprintf("part-%08d", i))}, Tokens: 800}
		}
		b.Run(fmt.Sprint("parts=", n), func(b *testing.B) {
			reportHeap(b, n, func() *cacheindex.Index {
				x := cacheindex.NewWithin(membudget.New("kept_cache", 1<<30))
				x.SetStores([]catalog.CacheStore{{Address: address}})
				x.SetContent(now, address, 1, held)
				return x
			})
		})
	}
}

// counted adds the bytes of a connection to a sum, in both directions.
type counted struct {
	net.Conn
	sum *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.sum.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sum.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	sum *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return counted{conn, l.sum}, err
}

// controlServer is the inner protocol of a front without its relay.
type controlServer struct {
	wire.DRPCCatalogUnimplementedServer
	fleet   *fleet.Fleet
	sharing *sharing.Exchanger
}

// Pull implements the inner protocol.
func (s *controlServer) Pull(ctx context.Context, r *wire.PullRequest) (*wire.PullReply, error) {
	return s.fleet.Pull(ctx, r)
}

// Share implements the inner protocol.
func (s *controlServer) Share(ctx context.Context, r *wire.ShareRequest) (*wire.ShareReply, error) {
	return s.sharing.Share(ctx, r)
}

// control is the control of n fronts in three failure domains over loopback.
type control struct {
	store        *standin.PlatformStore
	fronts       []*controlServer
	inner, cloud atomic.Int64
}

func startControl(t *testing.T, n int) *control {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &control{store: standin.NewPlatformStore()}
	for i := range 100 {
		c.store.Put("servers", fmt.Sprint("i-", i), map[string]any{
			"service": "svc", "address": fmt.Sprintf("127.0.0.1:%d", 10_000+i), "zone": "z1", "version": "v1", "slots": 64, "state": "ready",
		})
	}
	c.store.Put("op", "config", map[string]any{"version": 1})
	server := httptest.NewUnstartedServer(c.store)
	server.Listener = countedListener{server.Listener, &c.cloud}
	server.Start()
	group := duty.NewGroup(context.Background(), log)
	dialer := transport.NewDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return counted{conn, &c.inner}, err
	}, nil)
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		self := fleet.Member{
			Node: core.NodeID(fmt.Sprint("front-", i)), Address: listener.Addr().String(),
			Domain: core.FailureDomain(fmt.Sprint("domain-", i%3)), Incarnation: core.Incarnation(i + 1),
		}
		f := fleet.New(fleet.Options{
			Self: self, Store: platform.NewMetadataStore(server.Listener.Addr().String()), Tables: platform.Tables(), Decoder: platform.RowCodec{},
			Dial: func(ctx context.Context, at string) drpc.Conn { return dialer.Dial(ctx, at) }, Log: log, RandomSeed: uint64(i),
		})
		s := &controlServer{fleet: f}
		s.sharing = sharing.New(sharing.Options{
			Self: self.Node, Candidates: func() sharing.CollectorCandidates { return peersOf(f, self) }, Sender: f.Sender, ObserveEpoch: f.ObserveEpoch, Log: log,
			Exchange: func(ctx context.Context, at string, r *wire.ShareRequest) (*wire.ShareReply, error) {
				return wire.NewDRPCCatalogClient(dialer.Dial(ctx, at)).Share(ctx, r)
			},
		})
		mux := drpcmux.New()
		require.NoError(t, wire.DRPCRegisterCatalog(mux, s))
		group.Go("inner", func(ctx context.Context) error { return transport.Serve(ctx, listener, nil, mux) })
		f.Start(group)
		s.sharing.Start(group)
		c.fronts = append(c.fronts, s)
	}
	t.Cleanup(func() {
		group.Stop()
		require.NoError(t, group.Wait())
		require.NoError(t, dialer.Close())
		server.CloseClientConnections()
		server.Close()
		c.store.Close()
	})
	return c
}

func peersOf(f *fleet.Fleet, self fleet.Member) sharing.CollectorCandidates {
	p := sharing.CollectorCandidates{LocalAddress: self.Address}
	for _, m := range f.View().Members {
		p.AllAddresses = append(p.AllAddresses, m.Address)
		if m.Domain == self.Domain {
			p.DomainAddresses = append(p.DomainAddresses, m.Address)
		}
	}
	return p
}

// TestMeasureFronts reports what the control of one front takes by the number of
// fronts: without anything to tell, and with 20 observations a second from each.
// It guards against fronts that do not all learn of a new configuration.
func TestMeasureFronts(t *testing.T) {
	sizes, lasting := []int{3}, time.Second
	if *measure {
		sizes, lasting = []int{10, 30, 100, 300}, 10*time.Second
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint("fronts=", n), func(t *testing.T) {
			c := startControl(t, n)
			for _, f := range c.fronts {
				require.Eventually(t, func() bool { return len(f.fleet.View().Members) == n }, time.Minute, 10*time.Millisecond)
			}
			time.Sleep(lasting) // fronts that need not read the store have stopped
			c.report(t, "idle", n, lasting, func() {})
			c.report(t, "20 observations/s", n, lasting, func() {
				for i, f := range c.fronts {
					f.sharing.Record(sharing.Observation{Upstream: upstreamID(i % 100), Load: i, HasLoad: true, ObservedAt: time.Now()})
				}
			})
			changed := time.Now()
			c.store.Put("op", "config", map[string]any{"version": 2})
			for _, f := range c.fronts {
				require.Eventually(t, func() bool { return f.fleet.View().Config.Epoch == 2 }, time.Minute, time.Millisecond)
			}
			t.Logf("| %d fronts | change in force everywhere | %d ms |", n, time.Since(changed).Milliseconds())
		})
	}
}

// report measures a span in which each front observes something 20 times a second.
func (c *control) report(t *testing.T, what string, n int, lasting time.Duration, observe func()) {
	inner, cloud, cpu := c.inner.Load(), c.cloud.Load(), processorTime()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for until := time.Now().Add(lasting); time.Now().Before(until); <-ticker.C {
		observe()
	}
	each := float64(n) * lasting.Seconds()
	t.Logf("| %d fronts | %s | %.2f ms/s | %.0f B/s between fronts | %.0f B/s of the store |", n, what,
		(processorTime()-cpu).Seconds()*1000/each, float64(c.inner.Load()-inner)/each, float64(c.cloud.Load()-cloud)/each)
}
