package lease_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/lease"
)

// TestMain fixes the seed so that each run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// sentOrder is an order in transit to the agent. A pause of the holder between the
// check of its clock and the sending of the order is modelled as late delivery.
type sentOrder struct {
	fence  core.Fence
	holder int
}

// leaseModel has the transitions of spec/lease.pml. It calls the Go code under test
// for each decision.
type leaseModel struct {
	table     table
	now       time.Time
	processes [2]*lease.State
	orders    []sentOrder
	checker   lease.FenceChecker
	// fenceRead is false from a restart of the agent until it has read the fence.
	fenceRead bool
	// lastExecuted is the last order that the agent executed.
	lastExecuted sentOrder
}

func (m *leaseModel) stepProcess(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "holder")
	f := rapid.SampledFrom([]fault{noFault, noFault, noFault, unreachable, responsesLost}).Draw(t, "fault")
	before := m.table.row.Fence
	step(m.processes[i], &m.table, m.now, f)
	require.GreaterOrEqual(t, m.table.row.Fence, before, "the fence decreased")
}

func (m *leaseModel) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(100, 10_000).Draw(t, "ms")) * time.Millisecond)
}

func (m *leaseModel) send(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "holder")
	fence, _, ok := m.processes[i].HeldFence(m.now)
	if !ok {
		t.Skip("does not hold the lease")
	}
	m.orders = append(m.orders, sentOrder{fence, i})
}

// deliver delivers a random order in transit to the agent. The upstream ignores
// fences, so only the agent protects it.
func (m *leaseModel) deliver(t *rapid.T) {
	if len(m.orders) == 0 {
		t.Skip("no order in transit")
	}
	o := rapid.SampledFrom(m.orders).Draw(t, "order")
	if !m.fenceRead {
		m.checker.Accept(m.table.row.Fence)
		m.fenceRead = true
	}
	if !m.checker.Accept(o.fence) {
		return
	}
	require.GreaterOrEqual(t, o.fence, m.lastExecuted.fence, "an order with an older fence was executed")
	if o.fence == m.lastExecuted.fence {
		require.Equal(t, m.lastExecuted.holder, o.holder, "two holders have fence %d", o.fence)
	}
	m.lastExecuted = o
}

func (m *leaseModel) restartAgent(*rapid.T) { m.checker, m.fenceRead = lease.FenceChecker{}, false }

func (m *leaseModel) check(t *rapid.T) {
	_, _, firstHolds := m.processes[0].HeldFence(m.now)
	_, _, secondHolds := m.processes[1].HeldFence(m.now)
	require.False(t, firstHolds && secondHolds, "two holders at the same time")
}

// Guards against code that departs from spec/lease.pml: an order that is executed
// after one with a higher fence, and two holders with the same fence.
func TestLeaseFollowsSpecification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leaseModel{now: time.Unix(1_000, 0), fenceRead: true}
		for i, node := range []core.NodeID{"a", "b"} {
			m.processes[i] = lease.New(cfg, node, 1, m.now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": m.stepProcess, "time": m.advanceTime, "send": m.send, "deliver": m.deliver,
			"restart": m.restartAgent, "": m.check,
		})
	})
}
