package quarantine

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

const (
	// beginWindow is the age of an answer below which its call is a suspect of a
	// crash, and clearWindow the age from which it clears the parts of its prompt.
	beginWindow = 500 * time.Millisecond
	clearWindow = time.Second
	// confirmWindow is the time within which a broken attempt and the confirmation of
	// the crash belong together.
	confirmWindow = time.Second
	// maxUnconfirmed bounds the upstreams with broken attempts and no confirmation.
	maxUnconfirmed = 64

	// minSupport is the number of crashes and of prompts that quarantine a part
	// without recent answers.
	minSupport = 3
	// manyCrashes is the number of crashes with which two prompts are enough. Repeats
	// of a prompt that crash one upstream after the other leave little doubt.
	manyCrashes = 5
	// minSupportAnswered, minSpanAnswered and minOtherAnswers are required of a part
	// with recent answers: that many crashes, over at least that time, while that many
	// other calls were answered. Without them, a failure of many upstreams at once
	// would quarantine a part that many prompts share.
	minSupportAnswered = 6
	minSpanAnswered    = time.Second
	minOtherAnswers    = 20
	// minCrashShare is the ratio that a part's crashes must have to all crashes between
	// its first and its last one, where simultaneous ones count once. Among many crashes
	// with other causes, some parts occur several times by chance.
	minCrashShare = 0.3
	// settleTime is the time after a crash in which answers that other processes have
	// received can still clear a part.
	settleTime = 700 * time.Millisecond
	// evaluateInterval is the minimum interval between two evaluations.
	evaluateInterval = 100 * time.Millisecond
	// warmUp is the time after the start of a process in which it does not know which
	// parts have recent answers.
	warmUp = 10 * time.Second
)

// AttemptEnd is the end of an attempt at an upstream.
type AttemptEnd struct {
	Incarnation
	Prompt core.Prompt
	// Broken is set when the connection ended without a complete answer, Completed
	// when the answer was complete.
	Broken    bool
	Completed bool
	// AnswerAge is the time since the answer began, or 0 if it has not begun.
	AnswerAge time.Duration
}

// Decision is the decision on a call.
type Decision struct {
	// Refused is set when the call must not be sent because of Part.
	Refused bool
	Part    Part
	// RetryAfter is the time until the next trial of a part in quarantine.
	RetryAfter time.Duration
	// Trial is set when the call is the trial of Part.
	Trial bool
}

// unconfirmed contains the suspects of an upstream that may have crashed.
type unconfirmed struct {
	since    time.Time
	suspects []Suspect
}

// Tracker holds the evidence and the quarantines of one process. It is owned by one
// duty.
type Tracker struct {
	self      core.NodeID
	fronts    []core.NodeID
	startedAt time.Time
	broken    map[Incarnation]*unconfirmed
	crashes   crashLog
	answers   answerLog
	states    map[Part]State
	// implicated are the parts of which one more crash would complete the evidence.
	implicated map[Part]bool
	outgoing   Evidence
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
		self: self, startedAt: now, broken: make(map[Incarnation]*unconfirmed), crashes: newCrashLog(), answers: newAnswerLog(),
		states: make(map[Part]State), implicated: make(map[Part]bool),
	}
}

// SetFronts sets the processes among which trials are distributed.
func (t *Tracker) SetFronts(fronts []core.NodeID) { t.fronts = fronts }

// RecordEnd records the end of an attempt. It returns true if the caller should find
// out whether the upstream has crashed, and report it with ConfirmCrash or
// DismissCrash.
func (t *Tracker) RecordEnd(now time.Time, end AttemptEnd) bool {
	shared := end.Prompt.ShareableParts()
	switch {
	case end.Completed || end.AnswerAge >= clearWindow:
		t.answers.count++
		for _, part := range shared {
			t.recordAnswer(now, Part{end.Prompt.Model, part.ID})
		}
		return false
	case !end.Broken || end.AnswerAge >= beginWindow || len(shared) == 0:
		return false
	}
	return t.recordSuspect(now, end.Incarnation, newSuspect(end.Prompt))
}

func newSuspect(p core.Prompt) Suspect {
	shared := p.ShareableParts()
	shared = shared[max(len(shared)-maxSharedParts, 0):]
	s := Suspect{Model: p.Model, LastPart: p.Parts[len(p.Parts)-1].ID, Shared: make([]core.PartID, len(shared))}
	for i, part := range shared {
		s.Shared[i] = part.ID
	}
	return s
}

func (t *Tracker) recordAnswer(now time.Time, part Part) {
	t.answers.record(part, now, false)
	if state := t.states[part]; state.Quarantined() {
		t.setState(State{Part: part, Version: state.Version + 1, Until: now})
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

func (t *Tracker) recordSuspect(now time.Time, incarnation Incarnation, s Suspect) bool {
	if record := t.crashes.records[incarnation]; record != nil {
		if local, ok := record.reports[t.self]; ok {
			t.addCrash(now, Crash{Incarnation: incarnation, Reporter: t.self, ObservedAt: local.ObservedAt, Suspects: appendSuspect(local.Suspects, s)})
			return false
		}
	}
	u := t.broken[incarnation]
	first := u == nil
	if first {
		if len(t.broken) >= maxUnconfirmed {
			return false
		}
		u = &unconfirmed{since: now}
		t.broken[incarnation] = u
	}
	u.suspects = appendSuspect(u.suspects, s)
	return first
}

// appendSuspect returns a new list with one more suspect, up to maxSuspects.
func appendSuspect(suspects []Suspect, s Suspect) []Suspect {
	if len(suspects) >= maxSuspects {
		return suspects
	}
	return append(suspects[:len(suspects):len(suspects)], s)
}

// ConfirmCrash records that an upstream with broken attempts has crashed.
func (t *Tracker) ConfirmCrash(now time.Time, incarnation Incarnation) {
	u := t.broken[incarnation]
	delete(t.broken, incarnation)
	if u != nil && now.Sub(u.since) <= confirmWindow {
		t.addCrash(now, Crash{Incarnation: incarnation, Reporter: t.self, ObservedAt: u.since, Suspects: u.suspects})
	}
}

// DismissCrash records that an upstream with broken attempts has not crashed.
func (t *Tracker) DismissCrash(incarnation Incarnation) { delete(t.broken, incarnation) }

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
		t.mergeState(s)
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
func (t *Tracker) mergeState(s State) {
	local, ok := t.states[s.Part]
	switch {
	case s.Supersedes(local):
		t.storeState(s)
	case ok && local.Supersedes(s):
		t.outgoing.States = append(t.outgoing.States, local)
	}
}

// Evaluate quarantines the parts against which the evidence is complete and returns
// their states.
func (t *Tracker) Evaluate(now time.Time) []State {
	if !t.changed && !t.unsettled || now.Sub(t.evaluatedAt) < evaluateInterval {
		return nil
	}
	t.changed, t.evaluatedAt = false, now
	var quarantined []State
	for {
		t.crashes.markExplained(func(part Part) bool { return t.states[part].Quarantined() })
		worst := t.strongest(now)
		if worst == nil {
			return quarantined
		}
		// The version after a release or without a state is odd.
		version := t.states[worst.part].Version + 1
		state := State{Part: worst.part, Version: version, Until: now.Add(duration(version))}
		t.setState(state)
		quarantined = append(quarantined, state)
	}
}

// strongest returns the tally with the strongest evidence among those that are complete
// and settled, or nil. It also updates the implicated parts. Only one part is selected
// at a time: the crashes that it explains are then no evidence against the others.
func (t *Tracker) strongest(now time.Time) *tally {
	clear(t.implicated)
	t.unsettled = false
	var worst *tally
	for part, candidate := range t.crashes.tallies(t.answers.lastAnswer) {
		required := minSupport
		answered := t.hasRecentAnswers(now, part)
		if answered {
			required = minSupportAnswered
		}
		if !answered && candidate.support() >= required-1 {
			t.implicated[part] = true
		}
		repeated := !answered && len(candidate.prompts) > 1 && len(candidate.crashes) >= manyCrashes
		if candidate.support() < required && !repeated || answered && !t.excludesOutage(candidate) {
			continue
		}
		if first, last := candidate.period(); float64(len(candidate.crashes)) < minCrashShare*float64(t.crashes.unexplainedEvents(first, last)) {
			continue
		}
		if now.Sub(candidate.crashes[required-1].receivedAt) < settleTime {
			t.unsettled = true
			continue
		}
		if worst == nil || compareStrength(candidate, worst) > 0 {
			worst = candidate
		}
	}
	return worst
}

// hasRecentAnswers reports whether a part is in use, or whether this process has not
// run for long enough to know.
func (t *Tracker) hasRecentAnswers(now time.Time, part Part) bool {
	return now.Sub(t.startedAt) < warmUp || now.Sub(t.answers.lastAnswer(part)) < answerMemory
}

// excludesOutage reports whether other calls were answered between the crashes, so
// that a failure of all upstreams at once does not explain them.
func (t *Tracker) excludesOutage(candidate *tally) bool {
	first, last := candidate.period()
	return last.Sub(first) >= minSpanAnswered && t.answers.count-candidate.crashes[0].answersBefore >= minOtherAnswers
}

// Check decides whether a call may be sent. retry is set for a further attempt.
func (t *Tracker) Check(now time.Time, prompt core.Prompt, retry bool) Decision {
	if len(t.states) == 0 && len(t.implicated) == 0 {
		return Decision{}
	}
	trial := Decision{}
	for _, p := range prompt.ShareableParts() {
		part := Part{prompt.Model, p.ID}
		if retry && t.implicated[part] {
			return Decision{Refused: true, Part: part}
		}
		state := t.states[part]
		if !state.Quarantined() {
			continue
		}
		if wait := t.trialTime(state).Sub(now); retry || wait > 0 || trial.Trial {
			return Decision{Refused: true, Part: part, RetryAfter: max(wait, 0)}
		}
		trial = Decision{Trial: true, Part: part}
	}
	if trial.Trial {
		// The next trial is delayed before the result of this one is known.
		version := t.states[trial.Part].Version + 2
		t.setState(State{Part: trial.Part, Version: version, Until: now.Add(duration(version))})
	}
	return trial
}

// trialTime returns the time from which this process may make a trial.
func (t *Tracker) trialTime(s State) time.Time {
	rank := rendezvous.Position(t.fronts, t.self, string(s.ID))
	return s.Until.Add(time.Duration(rank) * trialStagger)
}

// setState records a state of this process.
func (t *Tracker) setState(s State) {
	t.storeState(s)
	t.outgoing.States = append(t.outgoing.States, s)
}

func (t *Tracker) storeState(s State) {
	t.states[s.Part] = s
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
	delete(t.states, oldest.Part)
}

// Sweep removes what has expired and repeats quarantines for processes that have not
// received them. It is called at regular intervals.
func (t *Tracker) Sweep(now time.Time) {
	t.crashes.prune(now)
	for incarnation, u := range t.broken {
		if now.Sub(u.since) > confirmWindow {
			delete(t.broken, incarnation)
		}
	}
	for part, s := range t.states {
		if now.Sub(s.Until) > stateRetention {
			delete(t.states, part)
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
