// Package canary moves a service's calls to another software version as the
// operator orders. A small share of the calls goes to a few upstreams with the
// new version and is judged against the old one; all calls follow near the end
// of the time, and a version that is found worse gets none any more. Decisions
// perform no I/O and read no clock; the Teller writes them to the store.
package canary

import (
	"cmp"
	"math"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/rollout"
)

const (
	// shiftShare is the share of an order's time after which all calls go to the
	// new version. It is late, since each call on a bad version counts, and leaves
	// time to find a fault that shows only under the whole load.
	shiftShare = 0.85
	// completeShare is the share after which the move is complete: the old
	// upstreams end then without notice.
	completeShare = 0.96
	// defaultWithin holds for orders that state no time.
	defaultWithin = 30 * time.Second
	// turn is how much later than the one before it a process tells the operator
	// of a completed move.
	turn = time.Second
)

// Limit says which upstreams a call may go to. The zero Limit allows all.
type Limit struct {
	// Software is the version that the upstream must have, Not the one that it
	// must not have; either may be empty.
	Software string
	Not      string
	// Among are the only upstreams that may be used; nil means any.
	Among []core.UpstreamID
}

// Sample is an ended attempt.
type Sample struct {
	Service  core.ServiceID
	Software string
	Route    string
	Failed   bool
	// Latency is the time to the first byte, Work the prompt tokens that were read.
	Latency time.Duration
	Work    int
}

// Found is a version that was found worse.
type Found struct {
	catalog.Rollout
	Finding rollout.Finding
}

// Told is a state that the operator has to be told, with the revision of the row
// that it replaces.
type Told struct {
	catalog.RolloutStatus
	Revision uint64
}

// World is what the table takes from outside.
type World struct {
	Moves     map[core.ServiceID]fleet.Move
	Upstreams []catalog.ListedUpstream
	Fronts    []core.NodeID
}

// Table is one process's part in all moves. It is owned by one duty.
type Table struct {
	self core.NodeID
	// share is the part of a service's calls that the new version gets at first,
	// over all processes.
	share  float64
	fronts []core.NodeID
	moves  map[core.ServiceID]*move
}

// move is one order under way.
type move struct {
	fleet.Move
	begun time.Time
	judge *rollout.Judge
	bad   bool
	// first are the upstreams that serve the new version before the shift.
	first []core.UpstreamID
	// ready is set when an upstream has the new version.
	ready bool
}

// New returns a table without moves.
func New(self core.NodeID, share float64) *Table {
	return &Table{self: self, share: share, moves: make(map[core.ServiceID]*move)}
}

// SetWorld takes newer orders and upstreams.
func (t *Table) SetWorld(now time.Time, w World) {
	t.fronts = w.Fronts
	next := make(map[core.ServiceID]*move, len(w.Moves))
	for service, ordered := range w.Moves {
		m := t.moves[service]
		if m == nil || m.Ordered != ordered.Ordered || m.To != ordered.To {
			// An order that is older than this process is taken to begin now: the
			// shift comes late rather than early.
			begun := ordered.Since
			if begun.IsZero() {
				begun = now
			}
			m = &move{begun: begun, judge: rollout.NewJudge(oldVersion, newVersion, rollout.DefaultLimits())}
		}
		m.Move = ordered
		m.bad = m.bad || m.told(catalog.RolledBack)
		m.setFirst(w.Upstreams, t.share)
		next[service] = m
	}
	t.moves = next
}

// Names of the two sides of a move for the judge: the old upstreams may have
// several versions.
const (
	oldVersion core.WeightVersion = "old"
	newVersion core.WeightVersion = "new"
)

func (m *move) told(state catalog.RolloutState) bool {
	return m.Status.To == m.To && m.Status.State == state
}

// setFirst picks the upstreams of the new version that serve the first share:
// as many as fill with it, since some faults show only at full load.
func (m *move) setFirst(upstreams []catalog.ListedUpstream, share float64) {
	var to []core.UpstreamID
	for _, u := range upstreams {
		if u.Service == m.Service && u.Software == m.To && !u.Draining {
			to = append(to, u.ID)
		}
	}
	m.ready = len(to) > 0
	to = rendezvous.Rank(to, string(m.Service), func(id core.UpstreamID) string { return string(id) })
	m.first = to[:min(len(to), max(int(math.Ceil(share*float64(len(to)))), 1))]
}

func (m *move) within() time.Duration { return cmp.Or(max(m.MaxDuration, 0), defaultWithin) }

// after reports whether a share of the order's time has passed.
func (m *move) after(now time.Time, share float64) bool {
	return now.Sub(m.begun) >= time.Duration(share*float64(m.within()))
}

// Choose returns what holds for a call to a service; draw is a random number
// from 0 to 1.
func (t *Table) Choose(now time.Time, service core.ServiceID, draw float64) Limit {
	m := t.moves[service]
	switch {
	case m == nil:
		return Limit{}
	case m.bad:
		return Limit{Not: m.To}
	case m.told(catalog.Completed) || m.ready && m.after(now, shiftShare):
		return Limit{Software: m.To}
	case draw < t.ownShare(service):
		return Limit{Software: m.To, Among: m.first}
	}
	return Limit{Not: m.To}
}

// Otherwise returns what holds when no upstream within a limit can take the
// call, and whether there is such a choice. A call never goes to a new version
// because the old one has no room.
func (t *Table) Otherwise(service core.ServiceID, l Limit) (Limit, bool) {
	m := t.moves[service]
	if m == nil || l.Software == "" {
		return Limit{}, false
	}
	return Limit{Not: m.To}, true
}

// ownShare is the part of this process's calls that the new version gets before
// the shift. As few processes as can give the whole share do so, so that each
// of them judges many calls.
func (t *Table) ownShare(service core.ServiceID) float64 {
	n := max(len(t.fronts), 1)
	givers := max(int(math.Ceil(t.share*float64(n))), 1)
	if rendezvous.Place(t.fronts, t.self, string(service)) >= givers {
		return 0
	}
	return t.share * float64(n) / float64(givers)
}

// Learn takes an ended attempt and returns the finding if it shows that the new
// version is worse.
func (t *Table) Learn(now time.Time, s Sample) (Found, bool) {
	m := t.moves[s.Service]
	if m == nil || m.bad || m.told(catalog.Completed) {
		return Found{}, false
	}
	version := oldVersion
	if s.Software == m.To {
		version = newVersion
	}
	finding := m.judge.Add(rollout.Sample{
		Version: version, Route: rollout.Route{Name: s.Route}, At: now, Failed: s.Failed, Latency: s.Latency, Work: s.Work,
	})
	if finding == nil {
		return Found{}, false
	}
	m.bad = true
	return Found{Rollout: m.Rollout, Finding: *finding}, true
}

// Due returns the states that the operator has yet to be told. A version taken
// back stays so, whoever else would complete the move.
func (t *Table) Due(now time.Time) []Told {
	var due []Told
	for service, m := range t.moves {
		place := rendezvous.Place(t.fronts, t.self, string(service))
		state := catalog.Running
		switch {
		case m.told(catalog.Completed) || m.told(catalog.RolledBack):
			continue
		case m.bad:
			state = catalog.RolledBack
		case m.ready && m.after(now.Add(-time.Duration(place)*turn), completeShare):
			state = catalog.Completed
		case m.told(catalog.Running) || place > 0:
			continue
		}
		due = append(due, Told{RolloutStatus: catalog.RolloutStatus{Service: service, To: m.To, State: state}, Revision: m.Revision})
	}
	slices.SortFunc(due, func(a, b Told) int { return cmp.Compare(a.Service, b.Service) })
	return due
}
