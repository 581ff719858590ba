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

// TestMain fixes the seed, so that each run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// sentOrder is an order under way to the agent. A holder that is paused between
// the check of its clock and the sending is an order that arrives late.
type sentOrder struct {
	fence  core.Fence
	holder int
}

// leaseModel follows spec/lease.pml, transition by transition, with the Go
// decisions in place of the specification's.
type leaseModel struct {
	row     table
	now     time.Time
	holders [2]*lease.State
	orders  []sentOrder
	gate    lease.FenceChecker
	// knows is false from a restart of the agent until it has read the fence.
	knows bool
	done  sentOrder
}

func (m *leaseModel) acquire(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "holder")
	f := rapid.SampledFrom([]fault{none, none, none, down, lost}).Draw(t, "fault")
	before := m.row.row.Fence
	step(m.holders[i], &m.row, m.now, f)
	require.GreaterOrEqual(t, m.row.row.Fence, before, "the fence went back")
}

func (m *leaseModel) timePasses(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(100, 10_000).Draw(t, "ms")) * time.Millisecond)
}

func (m *leaseModel) send(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "holder")
	fence, _, ok := m.holders[i].HeldFence(m.now)
	if !ok {
		t.Skip("does not hold the lease")
	}
	m.orders = append(m.orders, sentOrder{fence, i})
}

// deliver hands any order under way to the agent. The upstream ignores fences,
// so the agent alone protects it.
func (m *leaseModel) deliver(t *rapid.T) {
	if len(m.orders) == 0 {
		t.Skip("no order under way")
	}
	o := rapid.SampledFrom(m.orders).Draw(t, "order")
	if !m.knows {
		m.gate.Accept(m.row.row.Fence)
		m.knows = true
	}
	if !m.gate.Accept(o.fence) {
		return
	}
	require.GreaterOrEqual(t, o.fence, m.done.fence, "an order of an older lease was carried out")
	if o.fence == m.done.fence {
		require.Equal(t, m.done.holder, o.holder, "two holders have fence %d", o.fence)
	}
	m.done = o
}

func (m *leaseModel) restartAgent(*rapid.T) { m.gate, m.knows = lease.FenceChecker{}, false }

func (m *leaseModel) check(t *rapid.T) {
	_, _, first := m.holders[0].HeldFence(m.now)
	_, _, second := m.holders[1].HeldFence(m.now)
	require.False(t, first && second, "two holders at one time")
}

// Guards against code that departs from spec/lease.pml: an order that is
// carried out after one with a larger fence, and two holders of one fence.
func TestLeaseFollowsSpecification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leaseModel{now: time.Unix(1_000, 0), knows: true}
		for i, node := range []core.NodeID{"a", "b"} {
			m.holders[i] = lease.New(cfg, node, 1, m.now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire": m.acquire, "time": m.timePasses, "send": m.send, "deliver": m.deliver,
			"restart": m.restartAgent, "": m.check,
		})
	})
}
