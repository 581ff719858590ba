package usage

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

// network connects meters by their addresses.
type network map[string]*Meter

func (n network) exchange(ctx context.Context, address string, request *wire.MeterRequest) (*wire.MeterReply, error) {
	m := n[address]
	if m == nil || ctx.Err() != nil {
		return nil, errs.New(errs.Unavailable, "", "no process at %s", address)
	}
	return m.Meter(ctx, request)
}

func testMembers(nodes ...string) (members []fleet.Member) {
	for _, node := range nodes {
		members = append(members, fleet.Member{Node: core.NodeID(node), Address: node, Domain: core.FailureDomain(node[:1]), Incarnation: 1})
	}
	return members
}

// startMeters starts the books of meters. The tests call handOver themselves.
func startMeters(t *testing.T, members []fleet.Member, at time.Duration) (network, map[core.NodeID]*meterDuty) {
	t.Helper()
	n, duties := make(network), make(map[core.NodeID]*meterDuty)
	group := duty.NewGroup(context.Background(), testLog())
	for _, self := range members {
		c := &Clock{}
		c.offset.Store(int64(at - clock.SinceBoot()))
		m, err := NewMeter(MeterOptions{
			Self: self, Periods: testPeriods, Members: func() []fleet.Member { return members }, Exchange: n.exchange,
			Sender: func() *wire.Sender {
				return &wire.Sender{Node: string(self.Node), Incarnation: uint64(self.Incarnation)}
			},
			ObserveEpoch: func(*wire.Sender) {}, Clock: c, Log: testLog(), Meter: noop.Meter{},
		})
		require.NoError(t, err)
		n[self.Address] = m
		duties[self.Node] = &meterDuty{Meter: m, counts: newLocalCounts(testPeriods)}
		group.Go("book", m.runBook)
	}
	t.Cleanup(func() {
		group.Stop()
		require.NoError(t, group.Wait())
	})
	return n, duties
}

// Guards against the loss of counts that a process had handed over before its death, also
// with its whole failure domain, and against a gathering that counts them twice.
func TestCountsSurviveTheProcess(t *testing.T) {
	members := testMembers("x1", "x2", "x3", "y1", "y2", "z1", "z2")
	at := testPeriods.end(firstWindow-1) + time.Second
	n, duties := startMeters(t, members, at)
	for _, d := range duties {
		for range 10 {
			d.CallBegan(crew)
		}
		d.handOver(t.Context())
		d.CallBegan(crew)
		d.handOver(t.Context())
	}
	counts, missing := duties["y1"].Gather(t.Context(), firstWindow)
	require.Equal(t, Counts{crew: 77}, counts)
	require.Len(t, missing, len(members), "the window has not ended")
	duties["x2"].CallBegan(crew) // not handed over
	for _, node := range []string{"x1", "x2", "x3"} {
		delete(n, node)
	}
	counts, _ = duties["y1"].Gather(t.Context(), firstWindow)
	require.Equal(t, Counts{crew: 77}, counts, "only what was not handed over is lost")
}

// Guards against counts that a restarted collector lacks, and against a process without new
// calls whose counts never count as complete.
func TestRestartedCollectorReceivesAllCounts(t *testing.T) {
	members := testMembers("x1", "y1")
	at := testPeriods.end(firstWindow-1) + time.Second
	n, duties := startMeters(t, members, at)
	x1 := duties["x1"]
	x1.CallBegan(crew)
	x1.handOver(t.Context())
	restarted, _ := startMeters(t, []fleet.Member{{Node: "y1", Address: "y1", Domain: "y", Incarnation: 2}}, at)
	n["y1"] = restarted["y1"]
	x1.opts.Clock.offset.Add(int64(testPeriods.Window))
	x1.handOver(t.Context()) // finds the collector restarted
	x1.handOver(t.Context())
	delete(n, "x1")
	reports, err := n["y1"].collect(t.Context(), "y1", firstWindow)
	require.NoError(t, err)
	book := NewBook(testPeriods)
	for _, r := range reports {
		book.Merge(at, r)
	}
	require.Equal(t, Counts{crew: 1}, book.Total(firstWindow))
	require.Empty(t, book.Missing(firstWindow, []core.NodeID{"x1"}))
}

// Guards against the loss of the calls that began just before the end of a planned stop, when
// the book has stopped already.
func TestStopHandsOver(t *testing.T) {
	members := testMembers("x1", "y1")
	n, duties := startMeters(t, members, testPeriods.end(firstWindow-1)+time.Second)
	stopping := *duties["x1"].Meter
	stopping.requests = ring.New[bookRequest](requestCapacity) // without a receiver
	stopping.CallBegan(crew)
	stopped, stop := context.WithCancel(t.Context())
	stop()
	require.NoError(t, stopping.runMeter(stopped))
	reports, err := n["y1"].collect(t.Context(), "y1", firstWindow)
	require.NoError(t, err)
	require.Len(t, reports, 1)
	require.Equal(t, Counts{crew: 1}, reports[0].Windows[firstWindow])
}

// Guards against hand-overs without new counts, which would cost each process a message
// every interval.
func TestNothingIsHandedOverWithoutCalls(t *testing.T) {
	members := testMembers("x1", "y1")
	n, duties := startMeters(t, members, testPeriods.end(firstWindow-1)+time.Second)
	x1 := duties["x1"]
	x1.handOver(t.Context())
	delete(n, "y1")
	x1.handOver(t.Context())
	require.True(t, x1.links[1].connected, "no message was sent to the collector that is gone")
}

// Guards against calls that are counted in another window after a step of the time of day,
// and against a process that started with a wrong time of day.
func TestClockSteps(t *testing.T) {
	started := clock.SinceBoot()
	c := NewClock(time.Unix(5000, 0), started)
	// The time of day is read once: a step has no effect.
	require.Equal(t, 5003*time.Second, c.At(started+3*time.Second))
	require.Zero(t, c.Correct(100*time.Millisecond, -100*time.Millisecond), "synchronised clocks differ a little")
	require.Zero(t, c.Correct(4*time.Second, 0), "one of three clocks is wrong")
	require.Equal(t, -4*time.Second, c.Correct(-4*time.Second, -4*time.Second))
	require.Equal(t, 4999*time.Second, c.At(started+3*time.Second))
}

// Guards against a book that grows without bound with sources, old windows and windows in
// the future.
func TestBookIsBounded(t *testing.T) {
	book := NewBook(testPeriods)
	for w := range Window(1000) {
		now := testPeriods.end(w)
		source := Source{Node: "a", Incarnation: core.Incarnation(w)}
		book.Merge(now, SourceReport{Source: source, Through: now, Windows: map[Window]Counts{w: {crew: 1}, w + 50: {crew: 1}}})
		book.Prune(now)
		require.LessOrEqual(t, len(book.sources), 8)
	}
}
