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
	// maxUnconfirmed bounds the upstreams with broken attempts and no confirmation.
	maxUnconfirmed = 64
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

// unconfirmed contains the suspects of an upstream that may have crashed.
type unconfirmed struct {
	since    time.Time
	suspects []Suspect
}

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
