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

// The state machine in this file has the transitions of spec/facts.pml. It calls
// the Go code under test for each decision.

const modelNodes = 3

var (
	modelSubject  = facts.Subject{Kind: facts.SubjectUpstream, Name: "u"}
	modelUpstream = &bundle.Upstream{ID: "u", FailureDomain: "d0"}
	modelDomains  = []core.FailureDomain{"d0", "d1", "d2"}
)

// modelNode is one process, the only one in its failure domain.
type modelNode struct {
	store     *facts.Store
	readiness *gossip.Readiness
	ready     bool
	// stamp is the highest stamp merged since the start.
	stamp core.Epoch
	// minEpoch is the lowest epoch at which the process may become ready. It is the
	// highest epoch that another process had when this process started.
	minEpoch core.Epoch
}

// factsModel is the state of the table and of all processes.
type factsModel struct {
	head facts.Head
	// tableAvailable is false during an outage of the table.
	tableAvailable bool
	// permissions counts the permissions with each epoch.
	permissions map[core.Epoch]int
	// clearedAtByEpoch contains, for the head with each epoch, the ClearedAt entry
	// of the subject.
	clearedAtByEpoch map[core.Epoch]core.Epoch
	nodes            [modelNodes]*modelNode
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
			n.minEpoch = max(n.minEpoch, other.epoch())
		}
	}
	m.nodes[i] = n
}

// mergeTableHead merges the head in the table into the store of n.
func (m *factsModel) mergeTableHead(n *modelNode) {
	h := m.head.Clone()
	n.store.Merge(facts.Update{Head: &h, Bundle: &facts.Bundle{Digest: h.BundleDigest, Index: index}})
}

// permit writes a permission to the table from a random process.
func (m *factsModel) permit(t *rapid.T) {
	_, n := m.node(t)
	if !m.tableAvailable || !n.ready || n.epoch() != m.head.Epoch {
		t.Skip("the condition of the transaction is not met")
	}
	next := n.store.Snapshot().View.Head.Next()
	if rapid.Bool().Draw(t, "clears") {
		next.Clear(modelSubject)
	}
	m.permissions[next.Epoch]++
	require.Equal(t, 1, m.permissions[next.Epoch], "two permissions have epoch %d", next.Epoch)
	m.clearedAtByEpoch[next.Epoch] = next.ClearedAt[modelSubject]
	m.head = next
	m.mergeTableHead(n)
}

// restrict raises a restriction in a random process.
func (m *factsModel) restrict(t *rapid.T) {
	i, n := m.node(t)
	if !n.ready {
		t.Skip("not ready")
	}
	r := facts.Restriction{Subject: modelSubject, Stamp: n.epoch(), Origin: core.NodeID(fmt.Sprint(i))}
	n.store.Merge(facts.Update{Restrictions: []facts.Restriction{r}})
	n.stamp = max(n.stamp, r.Stamp)
}

// exchange sends the digest of one process to another, and the facts that the
// receiver lacks unless they are lost.
func (m *factsModel) exchange(t *rapid.T) {
	i, receiver := m.node(t)
	senderIndex := (i + rapid.IntRange(1, modelNodes-1).Draw(t, "from")) % modelNodes
	sent := m.nodes[senderIndex].store.Snapshot()
	receiver.readiness.ObservePeerEpoch(modelDomains[senderIndex], sent.Digest.Epoch)
	if rapid.Bool().Draw(t, "facts lost") {
		return // the digest was received and the requested facts were lost
	}
	receiver.store.Merge(sent.Delta(receiver.store.Snapshot().Digest))
	receiver.stamp = max(receiver.stamp, m.nodes[senderIndex].stamp)
}

func (m *factsModel) becomeReady(t *rapid.T) {
	_, n := m.node(t)
	if n.ready {
		t.Skip("already ready")
	}
	if m.tableAvailable {
		n.readiness.ObserveTableEpoch(m.head.Epoch)
		m.mergeTableHead(n)
	}
	n.ready = n.readiness.Ready(n.epoch(), true)
	if n.ready {
		require.GreaterOrEqual(t, n.epoch(), n.minEpoch, "ready with a lower epoch than another process had at the restart")
	}
}

// restart requires the other processes to be ready. Otherwise all processes that
// have the highest epoch could restart within one outage, and no process would
// have it until the table is available again.
func (m *factsModel) restart(t *rapid.T) {
	i, _ := m.node(t)
	for j, other := range m.nodes {
		if j != i && !other.ready {
			t.Skip("another process is not ready")
		}
	}
	m.start(i)
}

// toggleTable starts or ends an outage of the table.
func (m *factsModel) toggleTable(*rapid.T) { m.tableAvailable = !m.tableAvailable }

// check compares the restrictions in force in each ready process with the state of
// the model.
func (m *factsModel) check(t *rapid.T) {
	for _, n := range m.nodes {
		view := n.store.Snapshot().View
		restricted := n.stamp > 0 && n.stamp >= m.clearedAtByEpoch[view.Head.Epoch]
		if n.ready {
			require.Equal(t, restricted, !view.UpstreamAllowed(modelUpstream), "restriction %d at epoch %d", n.stamp, view.Head.Epoch)
		}
	}
}

// Guards against code that departs from spec/facts.pml: a received restriction
// that is not in force, a process that is ready with a lower epoch than another
// process had at its start, and two permissions with the same epoch.
func TestFactsFollowSpecification(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &factsModel{
			head: facts.Head{Epoch: 1, BundleDigest: "b"}, tableAvailable: true,
			permissions: make(map[core.Epoch]int), clearedAtByEpoch: make(map[core.Epoch]core.Epoch),
		}
		for i := range modelNodes {
			m.start(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"permit": m.permit, "restrict": m.restrict, "merge": m.exchange, "merge 2": m.exchange, "ready": m.becomeReady,
			"ready 2": m.becomeReady, "restart": m.restart, "outage": m.toggleTable, "": m.check,
		})
	})
}
