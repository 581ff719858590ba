package quarantine

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

const (
	// beginWindow is the age of an answer below which its call is a suspect of a
	// crash, and clearWindow the age from which it clears the parts of its prompt.
	beginWindow = 500 * time.Millisecond
	clearWindow = time.Second
	// confirmWindow is the time within which a broken attempt and the confirmation of
	// the crash belong together.
	confirmWindow = time.Second
	// restartWindow is the time within which broken attempts and a new incarnation of
	// their upstream belong together. An upstream may be silent for 14 s before.
	restartWindow = 20 * time.Second
	// maxUnconfirmed bounds the upstreams with broken attempts and no confirmation.
	maxUnconfirmed = 64
	// maxUnconfirmedAnswers bounds the unframed answers of one such upstream. Further ones
	// are not recorded.
	maxUnconfirmedAnswers = 64
)

// AttemptEnd is the end of an attempt at an upstream.
type AttemptEnd struct {
	Incarnation
	Prompt core.Prompt
	// Broken is set when the connection ended without a complete answer, Completed
	// when the answer was complete.
	Broken    bool
	Completed bool
	// Unframed is set for a complete answer that ended with its connection. The crash of
	// the upstream looks the same.
	Unframed bool
	// AnswerAge is the time from the first byte of the answer to its last one, or 0 if it
	// has not begun.
	AnswerAge time.Duration
}

// unconfirmed contains the suspects and the unframed answers of an upstream that may have
// crashed. Of the two, only the suspects count after a crash and only the answers
// otherwise.
type unconfirmed struct {
	since    time.Time
	suspects []Suspect
	answers  []unframedAnswer
}

// unframedAnswer is a complete answer that ended with its connection.
type unframedAnswer struct {
	at     time.Time
	prompt core.Prompt
	// age is the time since the answer began.
	age time.Duration
}

// RecordEnd records the end of an attempt. It returns true if the caller should find
// out whether the upstream has crashed, and report it with ConfirmCrash or
// DismissCrash.
func (t *Tracker) RecordEnd(now time.Time, end AttemptEnd) bool {
	if end.Completed {
		t.dismissSilence(now, end.Incarnation)
	}
	framed := end.Completed && !end.Unframed
	switch {
	case framed || end.AnswerAge >= clearWindow:
		t.recordAnswers(now, now, end.Prompt)
		return false
	case end.Completed || end.Broken && end.AnswerAge < beginWindow:
		return len(end.Prompt.ShareableParts()) > 0 && t.recordUnconfirmed(now, end)
	}
	return false
}

// recordAnswers records a complete answer that was received at answeredAt.
func (t *Tracker) recordAnswers(now, answeredAt time.Time, p core.Prompt) {
	t.answers.recordCall(answeredAt)
	for _, part := range p.ShareableParts() {
		t.recordAnswer(now, answeredAt, Part{p.Model, part.ID})
	}
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

// recordUnconfirmed records the end of an attempt after which the upstream may have
// crashed. It returns true for the first one.
func (t *Tracker) recordUnconfirmed(now time.Time, end AttemptEnd) bool {
	if t.addToCrash(now, end) {
		return false
	}
	u := t.broken[end.Incarnation]
	first := u == nil
	if first {
		if len(t.broken) >= maxUnconfirmed {
			t.recordDismissed(now, &unconfirmed{answers: unframedAnswers(now, end)})
			return false
		}
		u = &unconfirmed{since: now}
		t.broken[end.Incarnation] = u
	}
	if end.Broken {
		u.suspects = appendSuspect(u.suspects, newSuspect(end.Prompt))
	}
	if len(u.answers) < maxUnconfirmedAnswers {
		u.answers = append(u.answers, unframedAnswers(now, end)...)
	}
	return first
}

// addToCrash adds a suspect to a crash that this process has observed, and returns false
// if there is none.
func (t *Tracker) addToCrash(now time.Time, end AttemptEnd) bool {
	record := t.crashes.records[end.Incarnation]
	if record == nil {
		return false
	}
	local, ok := record.reports[t.self]
	if ok && end.AnswerAge < beginWindow {
		local.Suspects = appendSuspect(local.Suspects, newSuspect(end.Prompt))
		t.addCrash(now, local)
	}
	return ok
}

// unframedAnswers returns the answer of an attempt, if it has one.
func unframedAnswers(now time.Time, end AttemptEnd) []unframedAnswer {
	if !end.Completed {
		return nil
	}
	return []unframedAnswer{{at: now, prompt: end.Prompt, age: end.AnswerAge}}
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
		t.addCrash(now, Crash{Incarnation: incarnation, Reporter: t.self, ObservedAt: u.since, Suspects: u.allSuspects()})
	}
}

// allSuspects returns the suspects of a crash, with the calls whose unframed answer had
// just begun.
func (u *unconfirmed) allSuspects() []Suspect {
	suspects := u.suspects
	for _, answer := range u.answers {
		if answer.age < beginWindow {
			suspects = appendSuspect(suspects, newSuspect(answer.prompt))
		}
	}
	return suspects
}

// DismissCrash records that an upstream with broken attempts does not refuse connections,
// or that it is not known. Its unframed answers are then complete. A new incarnation
// within restartWindow still proves a crash; see ConfirmRestart.
func (t *Tracker) DismissCrash(now time.Time, incarnation Incarnation) {
	u := t.broken[incarnation]
	delete(t.broken, incarnation)
	if u == nil {
		return
	}
	t.recordDismissed(now, u)
	if len(u.suspects) > 0 {
		t.awaitRestart(incarnation, u)
	}
}

// awaitRestart retains the suspects of an upstream that may have been silent after a
// crash, or may have started again before it was checked.
func (t *Tracker) awaitRestart(incarnation Incarnation, u *unconfirmed) {
	waiting := t.awaiting[incarnation]
	if waiting == nil {
		if len(t.awaiting) >= maxUnconfirmed {
			return
		}
		waiting = &unconfirmed{since: u.since}
		t.awaiting[incarnation] = waiting
	}
	for _, s := range u.suspects {
		waiting.suspects = appendSuspect(waiting.suspects, s)
	}
}

// dismissSilence forgets the broken attempts of an upstream that has completed an answer
// since. Answers from before the break may be recorded within confirmWindow.
func (t *Tracker) dismissSilence(now time.Time, incarnation Incarnation) {
	if u := t.awaiting[incarnation]; u != nil && now.Sub(u.since) > confirmWindow {
		delete(t.awaiting, incarnation)
	}
}

// ConfirmRestart records that an upstream has started again as the given incarnation.
// Earlier ones whose attempts broke have crashed. It returns those.
func (t *Tracker) ConfirmRestart(now time.Time, current Incarnation) []Incarnation {
	var crashed []Incarnation
	for incarnation, u := range t.awaiting {
		if incarnation.Upstream != current.Upstream || incarnation.StartedAtMs >= current.StartedAtMs {
			continue
		}
		delete(t.awaiting, incarnation)
		if now.Sub(u.since) <= restartWindow {
			t.addCrash(now, Crash{Incarnation: incarnation, Reporter: t.self, ObservedAt: u.since, Suspects: u.suspects})
			crashed = append(crashed, incarnation)
		}
	}
	return crashed
}

// recordDismissed records the unframed answers of an upstream that has not crashed.
func (t *Tracker) recordDismissed(now time.Time, u *unconfirmed) {
	for _, answer := range u.answers {
		t.recordAnswers(now, answer.at, answer.prompt)
	}
}
