package quarantine

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Tracker holds the evidence and the quarantines of one process. It is owned by one
// duty.
type Tracker struct {
	self      core.NodeID
	fronts    []core.NodeID
	startedAt time.Time
	broken    map[Incarnation]*unconfirmed
	// awaiting contains broken attempts of upstreams that did not refuse connections.
	awaiting map[Incarnation]*unconfirmed
	crashes  crashLog
	answers  answerLog
	states   map[Part]State
	// active contains the quarantines in force, ended those that TakeEnded returns.
	active map[Part]*Active
	ended  []Active
	// implicated are the parts of which one more crash would complete the evidence.
	implicated map[Part]bool
	outgoing   Evidence
	// changes contains the changed states for TakeChanges.
	changes map[Part]State
	// changed is set when there is new evidence since the last Evaluate, unsettled
	// when evidence was complete but for settleTime.
	changed     bool
	unsettled   bool
	evaluatedAt time.Time
	repeatedAt  time.Time
}

// New returns a Tracker without evidence.
func New(self core.NodeID, now time.Time) *Tracker {
	return &Tracker{
		self: self, startedAt: now, broken: make(map[Incarnation]*unconfirmed), awaiting: make(map[Incarnation]*unconfirmed), crashes: newCrashLog(), answers: newAnswerLog(),
		states: make(map[Part]State), active: make(map[Part]*Active), implicated: make(map[Part]bool), changes: make(map[Part]State),
	}
}

// SetFronts sets the processes among which trials are distributed.
func (t *Tracker) SetFronts(fronts []core.NodeID) { t.fronts = fronts }

// recordAnswer records a local answer to a prompt with a part. It releases the part.
func (t *Tracker) recordAnswer(now, answeredAt time.Time, part Part) {
	t.answers.record(part, answeredAt, false)
	if state := t.states[part]; state.Quarantined() {
		t.setState(now, State{Part: part, Version: state.Version + 1, Until: now})
	}
	if crashedAt, ok := t.crashes.watched[part]; ok {
		t.shareAnswer(now, part, crashedAt)
	}
}

// shareAnswer reports the last answer of a part unless the other processes know one
// after the part's last crash.
func (t *Tracker) shareAnswer(now time.Time, part Part, crashedAt time.Time) {
	if answer, ok := t.answers.unshared(now, part, crashedAt); ok {
		t.outgoing.Answers = append(t.outgoing.Answers, answer)
		t.changed = true
	}
}

// addCrash records a local observation.
func (t *Tracker) addCrash(now time.Time, c Crash) {
	if !t.crashes.add(now, c, t.answers.count) {
		return
	}
	t.changed = true
	isSame := func(other Crash) bool { return other.Incarnation == c.Incarnation }
	t.outgoing.Crashes = append(slices.DeleteFunc(t.outgoing.Crashes, isSame), c)
}

// Merge adds the evidence of other processes.
func (t *Tracker) Merge(now time.Time, e Evidence) {
	for _, a := range e.Answers {
		t.answers.record(a.Part, a.AnsweredAt, true)
		t.changed = true
	}
	for _, s := range e.States {
		t.mergeState(now, s)
	}
	for _, c := range e.Crashes {
		if !t.crashes.add(now, c, t.answers.count) {
			continue
		}
		t.changed = true
		for _, s := range c.Suspects {
			for _, id := range s.Shared {
				t.shareAnswer(now, Part{s.Model, id}, c.ObservedAt)
			}
		}
	}
}

// mergeState applies the state of another process, or repeats the local one if that
// is newer.
func (t *Tracker) mergeState(now time.Time, s State) {
	local, ok := t.states[s.Part]
	switch {
	case s.Supersedes(local):
		t.storeState(now, s)
	case ok && local.Supersedes(s):
		t.outgoing.States = append(t.outgoing.States, local)
	}
}

// setState records a state of this process.
func (t *Tracker) setState(now time.Time, s State) {
	t.storeState(now, s)
	t.outgoing.States = append(t.outgoing.States, s)
}

func (t *Tracker) storeState(now time.Time, s State) {
	t.states[s.Part] = s
	t.recordChange(s)
	t.updateActive(now, s)
	t.changed = true
	if len(t.states) <= maxStates {
		return
	}
	oldest := s
	for _, other := range t.states {
		if other.Until.Before(oldest.Until) {
			oldest = other
		}
	}
	t.removeState(oldest)
}

// Sweep removes what has expired and repeats quarantines for processes that have not
// received them. It is called at regular intervals.
func (t *Tracker) Sweep(now time.Time) {
	t.crashes.prune(now)
	for incarnation, u := range t.broken {
		if now.Sub(u.since) > confirmWindow {
			t.DismissCrash(now, incarnation)
		}
	}
	for incarnation, u := range t.awaiting {
		if now.Sub(u.since) > restartWindow {
			delete(t.awaiting, incarnation)
		}
	}
	for _, s := range t.states {
		if now.Sub(s.Until) > stateRetention {
			t.removeState(s)
		}
	}
	if now.Sub(t.repeatedAt) >= repeatInterval {
		t.repeatedAt = now
		t.RepeatQuarantines()
	}
	t.changed = true
}

// RepeatQuarantines reports quarantines again, up to maxRepeated. The order of the map makes each of them
// part of a later selection.
func (t *Tracker) RepeatQuarantines() {
	repeated := 0
	for _, s := range t.states {
		if repeated == maxRepeated {
			return
		}
		if s.Quarantined() {
			t.outgoing.States = append(t.outgoing.States, s)
			repeated++
		}
	}
}

// TakeOutgoing returns the evidence for other processes that was added since the last
// call.
func (t *Tracker) TakeOutgoing() Evidence {
	out := t.outgoing
	t.outgoing = Evidence{}
	return out
}

// States returns the states of all parts.
func (t *Tracker) States() []State {
	out := make([]State, 0, len(t.states))
	for _, s := range t.states {
		out = append(out, s)
	}
	return out
}
