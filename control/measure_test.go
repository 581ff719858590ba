package control_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"waxwingtide.example/waxwingtide/control"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/gossip"
	"waxwingtide.example/waxwingtide/membership"
	"waxwingtide.example/waxwingtide/wire"
)

// measure runs the measurement of docs/decisions/0005-spread-of-facts.md:
//
//	go test ./control -run TestMeasure -measure -v
var measure = flag.Bool("measure", false, "measure the spread of facts in groups of up to 300 processes")

const (
	models       = 21
	changePeriod = 24 * time.Hour / 16_000
	idleTime     = time.Minute
	changes      = 20
)

// figures are the results of one group. Bytes and processor time are those of
// one node in one second, messages those of one node for one change.
type figures struct {
	spread           time.Duration
	idleBytes, bytes float64
	idleCPU, cpu     time.Duration
	messages         float64
	tableRequests    float64
	// heap is the memory of one node in kilobytes.
	heap uint64
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// stage changes one model's rollout in a head with all models.
func stage(i int) func(facts.Head) (facts.Head, error) {
	return func(h facts.Head) (facts.Head, error) {
		for m := range models {
			id := core.ModelID(fmt.Sprint("model-", m))
			if _, ok := h.Rollouts[id]; !ok {
				h.Rollouts[id] = facts.RolloutState{Stage: facts.StageCanary, Share: 0.05, Upstreams: []core.UpstreamID{"upstream-0001", "upstream-0002", "upstream-0003"}}
			}
		}
		id := core.ModelID(fmt.Sprint("model-", i%models))
		h.Rollouts[id] = facts.RolloutState{Stage: facts.StageCanary, Share: float64(i) / 100}
		return h, nil
	}
}

// spread measures a group of n processes.
// With failing, every tenth process fails without notice just before the
// changes and answers no more.
func spread(t *testing.T, n int, failing bool, tune func(*control.Options)) (f figures) {
	inCluster(t, n, tune, func(t *testing.T, c *cluster) {
		_, err := c.nodes[0].signOff(t.Context(), "first")
		require.NoError(t, err)
		_, err = c.nodes[0].control.Permit(t.Context(), "stages", stage(0), control.AuditEntry{})
		require.NoError(t, err)
		c.everywhere(2, 10*time.Second)
		time.Sleep(30 * time.Second)
		perNode := func(bytes int64, over time.Duration) float64 { return float64(bytes) / float64(n) / over.Seconds() }

		bytes, cpu := c.net.bytes.Load(), processorTime()
		c.platform.set(func() { c.platform.reads, c.platform.writes = 0, 0 })
		messages := c.net.messages.Load()
		time.Sleep(idleTime)
		idleMessages := float64(c.net.messages.Load()-messages) / idleTime.Seconds()
		c.platform.set(func() { f.tableRequests = float64(c.platform.reads+c.platform.writes) / idleTime.Seconds() })
		f.idleBytes = perNode(c.net.bytes.Load()-bytes, idleTime)
		f.idleCPU = (processorTime() - cpu) / time.Duration(n) / time.Duration(idleTime.Seconds())

		bytes, cpu = c.net.bytes.Load(), processorTime()
		f.heap = heapInUse() / uint64(n) / 1000
		if failing {
			c.failEveryTenth()
		}
		messages = c.net.messages.Load()
		started := time.Now()
		for i := range changes {
			head, err := c.nodes[i%len(c.nodes)].control.Permit(t.Context(), fmt.Sprint("change", i), stage(i), control.AuditEntry{})
			require.NoError(t, err)
			took := c.until("change everywhere", 30*time.Second, c.all(func(n *node) bool { return n.control.Epoch() == head.Epoch }))
			f.spread = max(f.spread, took)
			time.Sleep(changePeriod - took)
		}
		over := time.Since(started)
		f.bytes = perNode(c.net.bytes.Load()-bytes, over)
		f.cpu = (processorTime() - cpu) / time.Duration(float64(n)*over.Seconds())
		f.messages = (float64(c.net.messages.Load()-messages) - idleMessages*over.Seconds()) / float64(n) / changes
	})
	return f
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func (c *cluster) failEveryTenth() {
	failed := map[*node]bool{}
	var live []*node
	for i, n := range c.nodes {
		if failed[n] = i%10 == 5; !failed[n] {
			live = append(live, n)
		}
	}
	c.net.hang = true
	c.setCut(func(from, _ *node) bool { return failed[from] })
	c.failed, c.nodes = c.nodes, live
}

func withGossip(change func(*gossip.Config)) func(*control.Options) {
	return func(o *control.Options) {
		o.Gossip = gossip.DefaultConfig()
		change(&o.Gossip)
	}
}

var variants = []struct {
	name  string
	limit int // largest group that is measured
	fail  bool
	tune  func(*control.Options)
}{
	{"default, 5 slots", 300, false, nil},
	{"default, one node in ten fails", 300, true, nil},
	{"3 slots", 300, false, withGossip(func(g *gossip.Config) { g.Slots = 3 })},
	{"3 slots, one node in ten fails", 300, true, withGossip(func(g *gossip.Config) { g.Slots = 3 })},
	{"8 slots", 300, false, withGossip(func(g *gossip.Config) { g.Slots = 8 })},
	{"full mesh", 30, false, withGossip(func(g *gossip.Config) { g.Slots = 29 })},
}

// Guards against a change that takes longer than the target or costs a node
// more bytes than the target, and prints the figures of larger groups and of
// the variants with -measure.
func TestMeasureSpread(t *testing.T) {
	var table strings.Builder
	row := func(name string, n int, f figures) {
		fmt.Fprintf(&table, "| %s | %d | %v | %.0f | %.0f | %v | %v | %.1f | %.1f | %d |\n", name, n, f.spread, f.idleBytes, f.bytes,
			f.idleCPU.Round(time.Microsecond), f.cpu.Round(time.Microsecond), f.messages, f.tableRequests, f.heap)
	}
	for i, v := range variants {
		for _, n := range []int{3, 30, 300} {
			if n > v.limit || (!*measure && (n > 30 || i > 1)) {
				continue
			}
			f := spread(t, n, v.fail, v.tune)
			row(v.name, n, f)
			require.LessOrEqual(t, f.spread, target)
			require.Less(t, f.bytes, 3000.0)
		}
	}
	t.Logf("variant | nodes | slowest change | idle B/s | B/s | idle CPU/s | CPU/s | messages a change | table requests/s | heap KB\n%s", table.String())
}

// TestMeasureSuspicion prints how long a process that has stopped answering
// stays live for its peers, and how many suspicions a short stall causes, with
// and without the shortened interval after a missed reply.
func TestMeasureSuspicion(t *testing.T) {
	if !*measure {
		t.Skip("measurement, run it with -measure")
	}
	for _, retry := range []time.Duration{250 * time.Millisecond, time.Second} {
		for _, stall := range []time.Duration{2 * time.Second, time.Minute} {
			inCluster(t, 30, withGossip(func(g *gossip.Config) { g.RetryInterval = retry }), func(t *testing.T, c *cluster) {
				c.begin()
				c.net.hang = true
				var first time.Duration
				suspected := 0
				for _, n := range c.nodes {
					time.Sleep(20 * time.Second)
					took, ok := c.stall(n, stall)
					if ok {
						first += took
						suspected++
					}
				}
				t.Logf("retry %v, stall %v: suspected %d of 30, first suspicion after %v on average", retry, stall, suspected, first/time.Duration(max(suspected, 1)))
			})
		}
	}
}

// stall cuts a process off for a time and returns when a peer first suspected
// it.
func (c *cluster) stall(silent *node, d time.Duration) (time.Duration, bool) {
	const step = 10 * time.Millisecond
	c.setCut(func(from, _ *node) bool { return from == silent })
	defer c.setCut(nil)
	for took := time.Duration(0); took < d+5*time.Second; took += step {
		if took >= d {
			c.setCut(nil)
		}
		time.Sleep(step)
		synctest.Wait()
		for _, n := range c.nodes {
			m, _ := n.control.Members().ByNode(silent.options.Node)
			if n != silent && m.State == membership.Suspect {
				return took, true
			}
		}
	}
	return 0, false
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// overTCP calls a function with a client of a process's Peer service on
// loopback and a count of the bytes on its connection.
func overTCP(t testing.TB, run func(client wire.DRPCPeerClient, bytes *atomic.Int64)) {
	c := &cluster{t: t, platform: newPlatform(), net: &network{nodes: map[string]endpoint{}}}
	n := &node{cluster: c, options: control.Options{
		Node: "n", FailureDomain: "a", FailureDomains: domains, Address: "127.0.0.1:7000",
	}}
	n.start()
	defer n.stop()
	mux := drpcmux.New()
	require.NoError(t, wire.DRPCRegisterPeer(mux, n.control.PeerServer()))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- drpcserver.New(mux).Serve(ctx, listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	var bytes atomic.Int64
	run(wire.NewDRPCPeerClient(drpcconn.New(countingConn{conn, &bytes})), &bytes)
	require.NoError(t, conn.Close())
	cancel()
	require.NoError(t, <-served)
}

var idleDigest = &wire.Digest{
	Sender:        &wire.Sender{Node: "m", Incarnation: 1_800_000_000_000_000_000},
	FailureDomain: "a", Address: "127.0.0.2:7000",
}

// Guards against a Peer service that works in memory only.
func TestExchangeOverTCP(t *testing.T) {
	overTCP(t, func(client wire.DRPCPeerClient, _ *atomic.Int64) {
		delta, err := client.Exchange(t.Context(), idleDigest)
		require.NoError(t, err)
		require.Equal(t, "n", delta.GetSender().GetNode())
		require.False(t, delta.GetWants())
	})
}

// BenchmarkExchangeOverTCP measures one idle exchange over drpc on loopback,
// with the work of both sides.
func BenchmarkExchangeOverTCP(b *testing.B) {
	overTCP(b, func(client wire.DRPCPeerClient, bytes *atomic.Int64) {
		cpu := processorTime()
		for b.Loop() {
			_, err := client.Exchange(b.Context(), idleDigest)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(processorTime()-cpu)/float64(b.N), "cpu-ns/op")
		b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
	})
}
