package quarantine

import "waxwingtide.example/waxwingtide/rendezvous"

// storeWriters is the number of processes that write the state of a part to the metadata
// store, so that it is also written if one or two of them have failed.
const storeWriters = 3

// Change is a change of a part's state that this process has to write to the metadata
// store, from which processes read the quarantines when they start.
type Change struct {
	State
	// Rank is the position of this process among those that write the state.
	Rank int
}

// TakeChanges returns the changes that this process has to write since the last call.
func (t *Tracker) TakeChanges() []Change {
	var out []Change
	for part, s := range t.changes {
		if rank := rendezvous.Position(t.fronts, t.self, string(part.ID)); rank < storeWriters {
			out = append(out, Change{State: s, Rank: rank})
		}
	}
	clear(t.changes)
	return out
}

// RepeatChanges makes all quarantines changes again, since the store may have lost them.
func (t *Tracker) RepeatChanges() {
	for part, s := range t.states {
		if s.Quarantined() {
			t.changes[part] = s
		}
	}
}

// recordChange records a change of a state. Changes are bounded like the states, from
// which they result, and the last one of a part remains.
func (t *Tracker) recordChange(s State) {
	if _, ok := t.changes[s.Part]; ok || len(t.changes) < 2*maxStates {
		t.changes[s.Part] = s
	}
}
