package fleet

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

const (
	// modelProcesses is the number of processes that read the store and pull from each
	// other.
	modelProcesses = 3
	// modelRewriteTime is the time after a restore in which the operator writes again
	// what was lost, modelDeliveryTime the time after that in which every process
	// receives it. Their sum is shorter than restoreGracePeriod.
	modelRewriteTime  = 2 * time.Second
	modelDeliveryTime = 2 * time.Second
	// modelMaxStep is the maximum time between two actions.
	modelMaxStep = 300 * time.Millisecond
)

// modelEvacuations are the keys of evacuations.
var modelEvacuations = []string{"e1", "e2"}

// modelStore is the operator table of a store that can be restored from copies.
type modelStore struct {
	position Position
	rows     map[string]Row
	copies   []modelCopy
}

type modelCopy struct {
	version uint64
	rows    map[string]Row
}

func (s *modelStore) write(key string, value any) {
	row := Row{Table: operatorTable, Key: key, Removed: value == nil}
	if value != nil {
		row.Value, _ = json.Marshal(value) // test data is encodable
	}
	s.position.Version++
	row.Version = s.position.Version
	s.rows[key] = row
}

// after returns the rows that changed after a version, in order.
func (s *modelStore) after(version uint64) (rows []Row) {
	for _, row := range s.rows {
		if row.Version > version {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return int(a.Version) - int(b.Version) })
	return rows
}

// listed returns the rows that exist.
func (s *modelStore) listed() []Row {
	return slices.DeleteFunc(s.after(0), func(row Row) bool { return row.Removed })
}

// modelProcess is a process with its feed of the operator table.
type modelProcess struct {
	state *state
	// read is the position that the feed has read; readAll is set if it reads the
	// complete table next.
	read    Position
	readAll bool
	// updates are in transit from the feed, replies in transit from peers. Replies
	// arrive in any order or never.
	updates, replies []update
	// config and weights are what was in force after the last action.
	config  core.Epoch
	weights catalog.WeightNumber
	// received is the number of the operator's write of each evacuation that was received
	// last.
	received map[string]int
}

func newModelProcess() *modelProcess {
	tables := Tables{Operator: operatorTable, Upstreams: upstreamsTable, Status: "status"}
	return &modelProcess{state: newState(tables, jsonDecoder{}), readAll: true, received: make(map[string]int)}
}

// poll reads the store as the feed of the table does.
func (p *modelProcess) poll(s *modelStore) {
	switch {
	case p.readAll:
	case s.position.Generation != p.read.Generation, p.read.Version > s.position.Version:
		p.readAll = true
	default:
		p.updates = append(p.updates, update{table: operatorTable, rows: s.after(p.read.Version), position: s.position})
		p.read = s.position
		return
	}
	p.updates = append(p.updates, update{table: operatorTable, rows: s.listed(), position: s.position, complete: true})
	p.read, p.readAll = s.position, false
}

// pull queries a peer with the positions that were seen at the time of the request.
func (p *modelProcess) pull(peer *modelProcess, seen map[Table]Position) {
	rows, complete := peer.state.rowsAfter(seen)
	for table, position := range peer.state.seen {
		p.replies = append(p.replies, update{table: table, rows: rows, position: position, complete: complete[table]})
	}
}

// applyAll applies all updates of a queue.
func (p *modelProcess) applyAll(now time.Time, queue *[]update) {
	for _, u := range *queue {
		p.state.apply(now, u)
	}
	*queue = nil
}

// hasReceived reports whether the process has received what was written at a position.
func (p *modelProcess) hasReceived(written Position) bool {
	seen := p.state.seen[operatorTable]
	return seen.Generation == written.Generation && seen.Compare(written) >= 0
}

// restoreModel has several processes, a store that is restored from copies, and an
// operator who writes again what was lost.
type restoreModel struct {
	now       time.Time
	store     modelStore
	processes []*modelProcess
	// requested is what the operator has written last, by key.
	requested map[string]any
	config    core.Epoch
	weights   catalog.WeightNumber
	// writtenAt is the position at which each key was written last.
	writtenAt map[string]Position
	// writes is the number of times that the operator has changed each key.
	writes map[string]int
	// rewriteBy is the time until which the operator writes again what was lost, and
	// receivedBy the time until which all processes receive it; zero if nothing is due.
	rewriteBy, receivedBy time.Time
}

func newRestoreModel() *restoreModel {
	m := &restoreModel{
		now: t0, store: modelStore{rows: make(map[string]Row)}, requested: make(map[string]any),
		writtenAt: make(map[string]Position), writes: make(map[string]int),
	}
	for range modelProcesses {
		m.processes = append(m.processes, newModelProcess())
	}
	m.write("config", config(0))
	return m
}

func (m *restoreModel) write(key string, value any) {
	m.requested[key] = value
	m.writes[key]++
	m.store.write(key, value)
	m.writtenAt[key] = m.store.position
}

func (m *restoreModel) process(t *rapid.T, label string) *modelProcess {
	return m.processes[rapid.IntRange(0, modelProcesses-1).Draw(t, label)]
}

func (m *restoreModel) writeConfig(*rapid.T) {
	m.config++
	m.write("config", config(m.config))
}

func (m *restoreModel) writeWeights(*rapid.T) {
	m.weights++
	m.write("weights", weightsOf(m.weights))
}

func (m *restoreModel) toggleEvacuation(t *rapid.T) {
	key := rapid.SampledFrom(modelEvacuations).Draw(t, "evacuation")
	if m.requested[key] != nil {
		m.write(key, nil)
		return
	}
	m.write(key, DecodedRow{Evacuated: core.FailureDomain(key)})
}

// writeOther advances the store's version by a write to another table.
func (m *restoreModel) writeOther(*rapid.T) { m.store.position.Version++ }

func (m *restoreModel) copyStore(*rapid.T) {
	m.store.copies = append(m.store.copies, modelCopy{m.store.position.Version, maps.Clone(m.store.rows)})
}

func (m *restoreModel) restore(t *rapid.T) {
	if len(m.store.copies) == 0 || !m.receivedBy.IsZero() {
		t.Skip("no copy, or a restore is not over")
	}
	from := rapid.SampledFrom(m.store.copies).Draw(t, "copy")
	m.store.rows = maps.Clone(from.rows)
	m.store.position = Position{m.store.position.Generation + 1, from.version}
	m.store.copies = nil
	m.rewriteBy = m.now.Add(modelRewriteTime)
	m.receivedBy = m.rewriteBy.Add(modelDeliveryTime)
}

// rewrite writes again what the copy lacks.
func (m *restoreModel) rewrite(*rapid.T) {
	for _, key := range slices.Sorted(maps.Keys(m.requested)) {
		value, row := m.requested[key], m.store.rows[key]
		body, _ := json.Marshal(value)
		if value == nil && (row.Key == "" || row.Removed) || value != nil && string(row.Value) == string(body) {
			continue
		}
		m.store.write(key, value)
		m.writtenAt[key] = m.store.position
	}
	m.rewriteBy = time.Time{}
}

func (m *restoreModel) poll(t *rapid.T) { m.process(t, "reader").poll(&m.store) }

// deliverUpdate delivers the oldest update of a feed.
func (m *restoreModel) deliverUpdate(t *rapid.T) {
	p := m.process(t, "process")
	if len(p.updates) == 0 {
		t.Skip("no update")
	}
	p.state.apply(m.now, p.updates[0])
	p.updates = p.updates[1:]
}

func (m *restoreModel) pull(t *rapid.T) {
	p, peer := m.process(t, "process"), m.process(t, "peer")
	p.pull(peer, maps.Clone(p.state.seen))
}

// read delivers all that one process reads from the store.
func (m *restoreModel) read(t *rapid.T) {
	p := m.process(t, "reader")
	p.poll(&m.store)
	p.applyAll(m.now, &p.updates)
}

// exchange delivers all that one process pulls from another.
func (m *restoreModel) exchange(t *rapid.T) {
	p, peer := m.process(t, "process"), m.process(t, "peer")
	p.pull(peer, p.state.seen)
	p.applyAll(m.now, &p.replies)
}

// deliverReply delivers any reply, or loses it.
func (m *restoreModel) deliverReply(t *rapid.T) {
	p := m.process(t, "process")
	if len(p.replies) == 0 {
		t.Skip("no reply")
	}
	i := rapid.IntRange(0, len(p.replies)-1).Draw(t, "reply")
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		p.state.apply(m.now, p.replies[i])
	}
	p.replies = slices.Delete(p.replies, i, i+1)
}

func (m *restoreModel) restart(t *rapid.T) {
	m.processes[rapid.IntRange(0, modelProcesses-1).Draw(t, "restarted")] = newModelProcess()
}

// advanceTime lets the operator and the processes meet their bounds.
func (m *restoreModel) advanceTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(modelMaxStep)).Draw(t, "step")))
	if !m.rewriteBy.IsZero() && !m.now.Before(m.rewriteBy) {
		m.rewrite(t)
	}
	if !m.receivedBy.IsZero() && !m.now.Before(m.receivedBy) {
		m.settle()
		m.receivedBy = time.Time{}
	}
	for _, p := range m.processes {
		p.state.expire(m.now)
	}
}

// settle delivers all changes: the first process reads the store, the others pull from
// it. What was in transit arrives before.
func (m *restoreModel) settle() {
	for i, p := range m.processes {
		if i == 0 {
			p.poll(&m.store)
		}
		p.applyAll(m.now, &p.updates)
		p.applyAll(m.now, &p.replies)
		if i > 0 {
			p.pull(m.processes[0], p.state.seen)
			p.applyAll(m.now, &p.replies)
		}
	}
}

// requestedEvacuations returns the domains that the operator has evacuated.
func (m *restoreModel) requestedEvacuations() map[core.FailureDomain]bool {
	domains := make(map[core.FailureDomain]bool)
	for _, key := range modelEvacuations {
		if m.requested[key] != nil {
			domains[core.FailureDomain(key)] = true
		}
	}
	return domains
}

// check finds processes that go back.
func (m *restoreModel) check(t *rapid.T) {
	for i, p := range m.processes {
		name := fmt.Sprintf("process %d", i)
		v := p.state.view()
		if v.Config != nil {
			require.GreaterOrEqual(t, v.Config.Epoch, p.config, "%s: configuration", name)
			p.config = v.Config.Epoch
		}
		weights := v.Weights["m"].Newest().Version
		require.GreaterOrEqual(t, weights, p.weights, "%s: weights", name)
		p.weights = weights
		for _, key := range modelEvacuations {
			if p.hasReceived(m.writtenAt[key]) {
				p.received[key] = m.writes[key]
			}
			if m.requested[key] != nil && p.received[key] == m.writes[key] {
				require.True(t, v.Evacuated[core.FailureDomain(key)], "%s: evacuation %s is lost", name, key)
			}
		}
	}
}

// checkSettled finds processes that lack something.
func (m *restoreModel) checkSettled(t *rapid.T) {
	m.rewrite(t)
	m.settle()
	m.now = m.now.Add(restoreGracePeriod)
	for i, p := range m.processes {
		p.state.expire(m.now)
		name := fmt.Sprintf("process %d", i)
		v := p.state.view()
		require.Equal(t, m.config, v.Config.Epoch, name)
		require.Equal(t, m.weights, v.Weights["m"].Newest().Version, name)
		require.Equal(t, m.requestedEvacuations(), v.Evacuated, name)
	}
}

// Guards against configurations, evacuations and weight versions that a process loses, or
// that go back, when the store is restored while rows are in transit between processes.
func TestRowsInTransitAcrossRestores(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "20261205", "rapid.checks": "2000", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		require.NoError(t, flag.Set(name, value))
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newRestoreModel()
		t.Repeat(map[string]func(*rapid.T){
			"write config": m.writeConfig, "write weights": m.writeWeights, "toggle evacuation": m.toggleEvacuation,
			"write other": m.writeOther, "copy": m.copyStore, "restore": m.restore, "rewrite": m.rewrite,
			"poll": m.poll, "deliver update": m.deliverUpdate, "read": m.read, "pull": m.pull, "deliver reply": m.deliverReply, "exchange": m.exchange,
			"restart": m.restart, "advance": m.advanceTime, "": m.check,
		})
		m.checkSettled(t)
	})
}
