package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Active is a quarantine as this process has applied it.
type Active struct {
	State
	// Since is when this process learned of the quarantine. Failed trials do not change
	// it.
	Since time.Time
	// Refused is the number of calls that this process has refused because of it.
	Refused uint64
}

// Active returns the quarantines in force, the oldest first.
func (t *Tracker) Active() []Active {
	out := make([]Active, 0, len(t.active))
	for part, a := range t.active {
		a := *a
		a.State = t.states[part]
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b Active) int { return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID)) })
	return out
}

// TakeEnded returns the quarantines that have ended since the last call.
func (t *Tracker) TakeEnded() []Active {
	ended := t.ended
	t.ended = nil
	return ended
}

// updateActive begins or ends the record of a quarantine according to its state.
func (t *Tracker) updateActive(now time.Time, s State) {
	active := t.active[s.Part]
	switch {
	case s.Quarantined() && active == nil:
		t.active[s.Part] = &Active{Since: now}
	case !s.Quarantined() && active != nil:
		t.endActive(s)
	}
}

// endActive ends the record of a quarantine, if there is one.
func (t *Tracker) endActive(s State) {
	active := t.active[s.Part]
	if active == nil {
		return
	}
	delete(t.active, s.Part)
	if len(t.ended) < maxStates {
		t.ended = append(t.ended, Active{State: s, Since: active.Since, Refused: active.Refused})
	}
}

// removeState forgets the state of a part, which is no longer in quarantine then.
func (t *Tracker) removeState(s State) {
	delete(t.states, s.Part)
	if s.Quarantined() {
		t.recordChange(State{Part: s.Part, Version: s.Version + 1, Until: s.Until})
	}
	t.endActive(s)
}
