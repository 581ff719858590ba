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

// measure enables the measurements of docs/decisions/0005-spread-of-facts.md:
//
//	go test ./control -run TestMeasure -measure -v
var measure = flag.Bool("measure", false, "measure the propagation of facts in clusters of up to 300 processes")

const (
	modelCount     = 21
	changeInterval = 24 * time.Hour / 16_000
	idleDuration   = time.Minute
	changeCount    = 20
)

// figures are the measured results of one cluster.
type figures struct {
	// propagation is the longest time until a change was in force in all processes.
	propagation time.Duration
	// idleBytes and activeBytes are bytes per node and second, without and with changes.
	idleBytes, activeBytes float64
	// idleCPU and activeCPU are CPU time per node and second, without and with changes.
	idleCPU, activeCPU time.Duration
	// messages is the number of messages per node and change, in addition to the
	// messages of an idle cluster.
	messages float64
	// tableRequests is the number of table requests of the idle cluster per second.
	tableRequests float64
	// heapKB is the heap and stack memory of one node in kilobytes.
	heapKB uint64
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// changeRollout returns a change of the rollout of model i modulo modelCount, in a head
// with rollouts of all models.
func changeRollout(i int) func(facts.Head) (facts.Head, error) {
	return func(h facts.Head) (facts.Head, error) {
		for modelIndex := range modelCount {
			id := core.ModelID(fmt.Sprint("model-", modelIndex))
			if _, ok := h.Rollouts[id]; !ok {
				h.Rollouts[id] = facts.RolloutState{Stage: facts.StageCanary, Share: 0.05, Upstreams: []core.UpstreamID{"upstream-0001", "upstream-0002", "upstream-0003"}}
			}
		}
		id := core.ModelID(fmt.Sprint("model-", i%modelCount))
		h.Rollouts[id] = facts.RolloutState{Stage: facts.StageCanary, Share: float64(i) / 100}
		return h, nil
	}
}

// measurePropagation measures a cluster of n processes. If withFailures is true, every
// tenth process fails without notice immediately before the changes.
func measurePropagation(t *testing.T, n int, withFailures bool, configure func(*control.Options)) (f figures) {
	withCluster(t, n, configure, func(t *testing.T, c *cluster) {
		_, err := c.nodes[0].signOff(t.Context(), "first")
		require.NoError(t, err)
		_, err = c.nodes[0].control.Permit(t.Context(), "stages", changeRollout(0), control.AuditEntry{})
		require.NoError(t, err)
		c.waitForEpoch(2, 10*time.Second)
		time.Sleep(30 * time.Second)
		perNode := func(bytes int64, d time.Duration) float64 { return float64(bytes) / float64(n) / d.Seconds() }

		bytes, cpu := c.net.bytes.Load(), cpuTime()
		c.platform.update(func() { c.platform.readCount, c.platform.writeCount = 0, 0 })
		messages := c.net.messages.Load()
		time.Sleep(idleDuration)
		idleMessages := float64(c.net.messages.Load()-messages) / idleDuration.Seconds()
		c.platform.update(func() { f.tableRequests = float64(c.platform.readCount+c.platform.writeCount) / idleDuration.Seconds() })
		f.idleBytes = perNode(c.net.bytes.Load()-bytes, idleDuration)
		f.idleCPU = (cpuTime() - cpu) / time.Duration(n) / time.Duration(idleDuration.Seconds())

		bytes, cpu = c.net.bytes.Load(), cpuTime()
		f.heapKB = heapInUse() / uint64(n) / 1000
		if withFailures {
			c.failEveryTenthNode()
		}
		messages = c.net.messages.Load()
		startedAt := time.Now()
		for i := range changeCount {
			head, err := c.nodes[i%len(c.nodes)].control.Permit(t.Context(), fmt.Sprint("change", i), changeRollout(i), control.AuditEntry{})
			require.NoError(t, err)
			propagation := c.waitUntil("change everywhere", 30*time.Second, c.onRunningNodes(func(n *node) bool { return n.control.Epoch() == head.Epoch }))
			f.propagation = max(f.propagation, propagation)
			time.Sleep(changeInterval - propagation)
		}
		elapsed := time.Since(startedAt)
		f.activeBytes = perNode(c.net.bytes.Load()-bytes, elapsed)
		f.activeCPU = (cpuTime() - cpu) / time.Duration(float64(n)*elapsed.Seconds())
		f.messages = (float64(c.net.messages.Load()-messages) - idleMessages*elapsed.Seconds()) / float64(n) / changeCount
	})
	return f
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// failEveryTenthNode partitions every tenth process from all others. Calls to these
// processes get no reply.
func (c *cluster) failEveryTenthNode() {
	failed := map[*node]bool{}
	var live []*node
	for i, n := range c.nodes {
		if failed[n] = i%10 == 5; !failed[n] {
			live = append(live, n)
		}
	}
	c.net.hangPartitioned = true
	c.setPartition(func(source, _ *node) bool { return failed[source] })
	c.allNodes, c.nodes = c.nodes, live
}

func withGossip(change func(*gossip.Config)) func(*control.Options) {
	return func(o *control.Options) {
		o.Gossip = gossip.DefaultConfig()
		change(&o.Gossip)
	}
}

var measuredVariants = []struct {
	name         string
	maxNodes     int
	withFailures bool
	configure    func(*control.Options)
}{
	{"default, 5 slots", 300, false, nil},
	{"default, one node in ten fails", 300, true, nil},
	{"3 slots", 300, false, withGossip(func(g *gossip.Config) { g.Slots = 3 })},
	{"3 slots, one node in ten fails", 300, true, withGossip(func(g *gossip.Config) { g.Slots = 3 })},
	{"8 slots", 300, false, withGossip(func(g *gossip.Config) { g.Slots = 8 })},
	{"full mesh", 30, false, withGossip(func(g *gossip.Config) { g.Slots = 29 })},
}

// Guards against a change that takes longer than the target to propagate, and against more
// than 3000 bytes per node and second. With -measure it also measures larger clusters and
// more variants. It prints all figures.
func TestMeasureSpread(t *testing.T) {
	var table strings.Builder
	row := func(name string, n int, f figures) {
		fmt.Fprintf(&table, "| %s | %d | %v | %.0f | %.0f | %v | %v | %.1f | %.1f | %d |\n", name, n, f.propagation, f.idleBytes, f.activeBytes,
			f.idleCPU.Round(time.Microsecond), f.activeCPU.Round(time.Microsecond), f.messages, f.tableRequests, f.heapKB)
	}
	for i, v := range measuredVariants {
		for _, n := range []int{3, 30, 300} {
			if n > v.maxNodes || (!*measure && (n > 30 || i > 1)) {
				continue
			}
			f := measurePropagation(t, n, v.withFailures, v.configure)
			row(v.name, n, f)
			require.LessOrEqual(t, f.propagation, propagationTarget)
			require.Less(t, f.activeBytes, 3000.0)
		}
	}
	t.Logf("variant | nodes | slowest change | idle B/s | B/s | idle CPU/s | CPU/s | messages a change | table requests/s | heap KB\n%s", table.String())
}

// TestMeasureSuspicion prints the time until an unreachable process is first suspected by
// a peer, and the number of suspicions that a short stall causes. The retry interval after
// a missed reply is the default of 250 ms or the normal interval of one second.
func TestMeasureSuspicion(t *testing.T) {
	if !*measure {
		t.Skip("measurement; run it with -measure")
	}
	for _, retry := range []time.Duration{250 * time.Millisecond, time.Second} {
		for _, stall := range []time.Duration{2 * time.Second, time.Minute} {
			withCluster(t, 30, withGossip(func(g *gossip.Config) { g.RetryInterval = retry }), func(t *testing.T, c *cluster) {
				c.signOffFirst()
				c.net.hangPartitioned = true
				var totalDelay time.Duration
				suspected := 0
				for _, n := range c.nodes {
					time.Sleep(20 * time.Second)
					suspectDelay, ok := c.partitionAndAwaitSuspicion(n, stall)
					if ok {
						totalDelay += suspectDelay
						suspected++
					}
				}
				t.Logf("retry %v, stall %v: suspected %d of 30, first suspicion after %v on average", retry, stall, suspected, totalDelay/time.Duration(max(suspected, 1)))
			})
		}
	}
}

// partitionAndAwaitSuspicion partitions a process for a duration. It returns the time
// until a peer first suspected the process, and false if none did within 5 s after the
// end of the partition.
func (c *cluster) partitionAndAwaitSuspicion(unreachable *node, duration time.Duration) (time.Duration, bool) {
	const step = 10 * time.Millisecond
	c.setPartition(func(source, _ *node) bool { return source == unreachable })
	defer c.setPartition(nil)
	for elapsed := time.Duration(0); elapsed < duration+5*time.Second; elapsed += step {
		if elapsed >= duration {
			c.setPartition(nil)
		}
		time.Sleep(step)
		synctest.Wait()
		for _, n := range c.nodes {
			m, _ := n.control.Members().ByNode(unreachable.options.Node)
			if n != unreachable && m.State == membership.Suspect {
				return elapsed, true
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

// withPeerClientOverTCP calls run with a client of the Peer service of a process on loopback and with
// the counter of the bytes on its connection.
func withPeerClientOverTCP(t testing.TB, run func(client wire.DRPCPeerClient, bytes *atomic.Int64)) {
	c := &cluster{t: t, platform: newFakePlatform(), net: &network{nodes: map[string]endpoint{}}}
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

// emptyDigest is the digest of a process without facts.
var emptyDigest = &wire.Digest{
	Sender:        &wire.Sender{Node: "m", Incarnation: 1_800_000_000_000_000_000},
	FailureDomain: "a", Address: "127.0.0.2:7000",
}

// Guards against a Peer service that fails over TCP.
func TestExchangeOverTCP(t *testing.T) {
	withPeerClientOverTCP(t, func(client wire.DRPCPeerClient, _ *atomic.Int64) {
		delta, err := client.Exchange(t.Context(), emptyDigest)
		require.NoError(t, err)
		require.Equal(t, "n", delta.GetSender().GetNode())
		require.False(t, delta.GetWants())
	})
}

// BenchmarkExchangeOverTCP measures one exchange without facts over drpc on loopback. The
// CPU time includes the client and the server.
func BenchmarkExchangeOverTCP(b *testing.B) {
	withPeerClientOverTCP(b, func(client wire.DRPCPeerClient, bytes *atomic.Int64) {
		cpu := cpuTime()
		for b.Loop() {
			_, err := client.Exchange(b.Context(), emptyDigest)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/op")
		b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
	})
}
