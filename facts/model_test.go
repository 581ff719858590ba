package facts_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/gossip"
)

// The state machine of this file follows spec/facts.pml, transition by
// transition, with the Go decisions in place of the specification's.

const modelNodes = 3

var (
	modelSubject  = facts.Subject{Kind: facts.SubjectUpstream, Name: "u"}
	modelUpstream = &bundle.Upstream{ID: "u", FailureDomain: "d0"}
	modelDomains  = []core.FailureDomain{"d0", "d1", "d2"}
)

// modelNode is one process, alone in its failure domain.
type modelNode struct {
	store     *facts.Store
	readiness *gossip.Readiness
	ready     bool
	// stamp is the highest stamp merged since the start, and floor the highest
	// epoch that another process knew at the start.
	stamp core.Epoch
	floor core.Epoch
}

type factsModel struct {
	head      facts.Head
	up        bool
	permitted map[core.Epoch]int
	// cleared gives for each epoch when the subject was last cleared.
	cleared map[core.Epoch]core.Epoch
	nodes   [modelNodes]*modelNode
}

func (m *factsModel) node(t *rapid.T) (int, *modelNode) {
	i := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	return i, m.nodes[i]
}

func (n *modelNode) epoch() core.Epoch { return n.store.Snapshot().Digest.Epoch }

func (m *factsModel) start(i int) {
	n := &modelNode{store: facts.NewStore(), readiness: gossip.NewReadiness(modelDomains[i], modelDomains)}
	for j, other := range m.nodes {
		if j != i && other != nil {
			n.floor = max(n.floor, other.epoch())
		}
	}
	m.nodes[i] = n
}

func (m *factsModel) adopt(n *modelNode) {
	h := m.head.Clone()
	n.store.Merge(facts.Update{Head: &h, Bundle: &facts.Bundle{Digest: h.BundleDigest, Index: index}})
}

func (m *factsModel) permit(t *rapid.T) {
	_, n := m.node(t)
	if !m.up || !n.ready || n.epoch() != m.head.Epoch {
		t.Skip("the condition of the transaction does not hold")
	}
	next := n.store.Snapshot().View.Head.Next()
	if rapid.Bool().Draw(t, "clears") {
		next.Clear(modelSubject)
	}
	m.permitted[next.Epoch]++
	require.Equal(t, 1, m.permitted[next.Epoch], "two permissions have epoch %d", next.Epoch)
	m.cleared[next.Epoch] = next.ClearedAt[modelSubject]
	m.head = next
	m.adopt(n)
}

func (m *factsModel) restrict(t *rapid.T) {
	i, n := m.node(t)
	if !n.ready {
		t.Skip("not ready")
	}
	r := facts.Restriction{Subject: modelSubject, Stamp: n.epoch(), Origin: core.NodeID(fmt.Sprint(i))}
	n.store.Merge(facts.Update{Restrictions: []facts.Restriction{r}})
	n.stamp = max(n.stamp, r.Stamp)
}

func (m *factsModel) merge(t *rapid.T) {
	i, into := m.node(t)
	from := (i + rapid.IntRange(1, modelNodes-1).Draw(t, "from")) % modelNodes
	sent := m.nodes[from].store.Snapshot()
	into.readiness.ObservePeerEpoch(modelDomains[from], sent.Digest.Epoch)
	if rapid.Bool().Draw(t, "facts lost") {
		return // the digest arrived and what was asked for did not
	}
	into.store.Merge(sent.Delta(into.store.Snapshot().Digest))
	into.stamp = max(into.stamp, m.nodes[from].stamp)
}

func (m *factsModel) becomeReady(t *rapid.T) {
	_, n := m.node(t)
	if n.ready {
		t.Skip("is ready")
	}
	if m.up {
		n.readiness.ObserveTableEpoch(m.head.Epoch)
		m.adopt(n)
	}
	n.ready = n.readiness.Ready(n.epoch(), true)
	if n.ready {
		require.GreaterOrEqual(t, n.epoch(), n.floor, "ready with an older epoch than known at the restart")
	}
}

// restart needs the other processes to be ready: when every process that knew
// an epoch restarts within one outage, that epoch is not known anywhere until
// the table is back.
func (m *factsModel) restart(t *rapid.T) {
	i, _ := m.node(t)
	for j, other := range m.nodes {
		if j != i && !other.ready {
			t.Skip("another process is not ready")
		}
	}
	m.start(i)
}

func (m *factsModel) outage(*rapid.T) { m.up = !m.up }

// check compares what each process serves with the ghost state.
func (m *factsModel) check(t *rapid.T) {
	for _, n := range m.nodes {
		view := n.store.Snapshot().View
		holds := n.stamp > 0 && n.stamp >= m.cleared[view.Head.Epoch]
		if n.ready {
			require.Equal(t, holds, !view.UpstreamOpen(modelUpstream), "restriction %d at epoch %d", n.stamp, view.Head.Epoch)
		}
	}
}

// Guards against code that departs from spec/facts.pml: a known restriction
// that does not hold, readiness behind a known epoch, two permissions with one
// epoch.
func TestFactsFollowSpecification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &factsModel{
			head: facts.Head{Epoch: 1, BundleDigest: "b"}, up: true,
			permitted: make(map[core.Epoch]int), cleared: make(map[core.Epoch]core.Epoch),
		}
		for i := range modelNodes {
			m.start(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"permit": m.permit, "restrict": m.restrict, "merge": m.merge, "merge 2": m.merge, "ready": m.becomeReady,
			"ready 2": m.becomeReady, "restart": m.restart, "outage": m.outage, "": m.check,
		})
	})
}
