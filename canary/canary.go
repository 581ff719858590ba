// Package canary moves a service's calls to another software version as the
// operator orders. A small share of the calls goes to a few upstreams with the
// new version and is judged against the old one; all calls follow near the end
// of the time, and a version that is found worse gets none any more. Decisions
// perform no I/O and read no clock; the StatusWriter writes them to the store.
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

// Filter says which upstreams a call may go to. The zero Filter allows all.
type Filter struct {
	// Software is the version that the upstream must have, Not the one that it
	// must not have; either may be empty.
	RequiredSoftware string
	ExcludedSoftware string
	// Among are the only upstreams that may be used; nil means any.
	Upstreams []core.UpstreamID
}

// Sample is an ended attempt.
type Sample struct {
	Service  core.ServiceID
	Software string
	Route    string
	Failed   bool
	// Latency is the time to the first byte, Work the prompt tokens that were read.
	Latency       time.Duration
	PrefillTokens int
}

// FailedRollout is a version that was found worse.
type FailedRollout struct {
	catalog.Rollout
	Finding rollout.Finding
}

// StatusUpdate is a state that the operator has to be told, with the revision of the row
// that it replaces.
type StatusUpdate struct {
	catalog.RolloutStatus
	ReplacedRevision uint64
}

// Inputs is what the table takes from outside.
type Inputs struct {
	Rollouts  map[core.ServiceID]fleet.ActiveRollout
	Upstreams []catalog.ListedUpstream
	Fronts    []core.NodeID
}

// Controller is one process's part in all moves. It is owned by one duty.
type Controller struct {
	self core.NodeID
	// share is the part of a service's calls that the new version gets at first,
	// over all processes.
	share  float64
	fronts []core.NodeID
	moves  map[core.ServiceID]*move
}

// move is one order under way.
type move struct {
	fleet.ActiveRollout
	begun time.Time
	judge *rollout.Judge
	bad   bool
	// first are the upstreams that serve the new version before the shift.
	first []core.UpstreamID
	// ready is set when an upstream has the new version.
	ready bool
}

// New returns a table without moves.
func New(self core.NodeID, share float64) *Controller {
	return &Controller{self: self, share: share, moves: make(map[core.ServiceID]*move)}
}

// SetInputs takes newer orders and upstreams.
func (t *Controller) SetInputs(now time.Time, w Inputs) {
	t.fronts = w.Fronts
	next := make(map[core.ServiceID]*move, len(w.Rollouts))
	for service, ordered := range w.Rollouts {
		m := t.moves[service]
		if m == nil || m.RequestRevision != ordered.RequestRevision || m.To != ordered.To {
			// An order that is older than this process is taken to begin now: the
			// shift comes late rather than early.
			begun := ordered.RequestedAt
			if begun.IsZero() {
				begun = now
			}
			m = &move{begun: begun, judge: rollout.NewJudge(oldVersion, newVersion, rollout.DefaultLimits())}
		}
		m.ActiveRollout = ordered
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

// FilterFor returns what holds for a call to a service; draw is a random number
// from 0 to 1.
func (t *Controller) FilterFor(now time.Time, service core.ServiceID, draw float64) Filter {
	m := t.moves[service]
	switch {
	case m == nil:
		return Filter{}
	case m.bad:
		return Filter{ExcludedSoftware: m.To}
	case m.told(catalog.Completed) || m.ready && m.after(now, shiftShare):
		return Filter{RequiredSoftware: m.To}
	case draw < t.ownShare(service):
		return Filter{RequiredSoftware: m.To, Upstreams: m.first}
	}
	return Filter{ExcludedSoftware: m.To}
}

// Fallback returns what holds when no upstream within a limit can take the
// call, and whether there is such a choice. A call never goes to a new version
// because the old one has no room.
func (t *Controller) Fallback(service core.ServiceID, l Filter) (Filter, bool) {
	m := t.moves[service]
	if m == nil || l.RequiredSoftware == "" {
		return Filter{}, false
	}
	return Filter{ExcludedSoftware: m.To}, true
}

// ownShare is the part of this process's calls that the new version gets before
// the shift. As few processes as can give the whole share do so, so that each
// of them judges many calls.
func (t *Controller) ownShare(service core.ServiceID) float64 {
	n := max(len(t.fronts), 1)
	givers := max(int(math.Ceil(t.share*float64(n))), 1)
	if rendezvous.Position(t.fronts, t.self, string(service)) >= givers {
		return 0
	}
	return t.share * float64(n) / float64(givers)
}

// Observe takes an ended attempt and returns the finding if it shows that the new
// version is worse.
func (t *Controller) Observe(now time.Time, s Sample) (FailedRollout, bool) {
	m := t.moves[s.Service]
	if m == nil || m.bad || m.told(catalog.Completed) {
		return FailedRollout{}, false
	}
	version := oldVersion
	if s.Software == m.To {
		version = newVersion
	}
	finding := m.judge.Add(rollout.Sample{
		Version: version, Route: rollout.Route{Name: s.Route}, FinishedAt: now, Failed: s.Failed, Latency: s.Latency, PrefillTokens: s.PrefillTokens,
	})
	if finding == nil {
		return FailedRollout{}, false
	}
	m.bad = true
	return FailedRollout{Rollout: m.Rollout, Finding: *finding}, true
}

// PendingUpdates returns the states that the operator has yet to be told. A version taken
// back stays so, whoever else would complete the move.
func (t *Controller) PendingUpdates(now time.Time) []StatusUpdate {
	var due []StatusUpdate
	for service, m := range t.moves {
		place := rendezvous.Position(t.fronts, t.self, string(service))
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
		due = append(due, StatusUpdate{RolloutStatus: catalog.RolloutStatus{Service: service, To: m.To, State: state}, ReplacedRevision: m.StatusRevision})
	}
	slices.SortFunc(due, func(a, b StatusUpdate) int { return cmp.Compare(a.Service, b.Service) })
	return due
}
