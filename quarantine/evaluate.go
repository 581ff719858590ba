package quarantine

import (
	"math"
	"time"
)

const (
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
	// maxChanceAnswered is the maximum probability with which the crashes and the missing
	// answers of a sound part with recent answers may occur by chance.
	maxChanceAnswered = 1e-5
	// soundCrashShare is the share of the crashes in which a sound part may occur, and
	// maxChance the maximum probability of as many crashes with it as there are. Among
	// many crashes with other causes, some parts occur several times.
	soundCrashShare = 0.3
	maxChance       = 0.15
	// settleTime is the time after a crash in which answers that other processes have
	// received can still clear a part.
	settleTime = 700 * time.Millisecond
	// evaluateInterval is the minimum interval between two evaluations.
	evaluateInterval = 100 * time.Millisecond
	// warmUp is the time after the start of a process in which it does not know which
	// parts have recent answers.
	warmUp = 10 * time.Second
)

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
		t.setState(now, state)
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
		if candidate.support() < required && !repeated || !t.standsOut(candidate) {
			continue
		}
		if answered && (!t.excludesOutage(candidate) || t.chance(now, candidate) > maxChanceAnswered) {
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

// standsOut reports whether the part occurs in more of the crashes between its first and
// its last one than a sound part does. A part that occurs in all of them does.
func (t *Tracker) standsOut(candidate *tally) bool {
	first, last := candidate.period()
	all := t.crashes.unexplainedEvents(first, last)
	events := candidate.events()
	return events >= all || binomialTail(all, events, soundCrashShare) <= maxChance
}

// chance returns the probability with which a sound part that has the candidate's share
// of the answers occurs in its crashes and in none of the answers since the first one.
func (t *Tracker) chance(now time.Time, candidate *tally) float64 {
	share := t.answers.share(now, candidate.part)
	first, last := candidate.period()
	all := t.crashes.unexplainedEvents(first, last)
	inCrashes := binomialTail(all, min(candidate.events(), all), anyOf(candidate.meanSuspects(), share))
	others := t.answers.count - candidate.crashes[0].answersBefore
	return inCrashes * math.Pow(1-share, float64(others))
}

// excludesOutage reports whether other calls were answered between the crashes, so
// that a failure of all upstreams at once does not explain them.
func (t *Tracker) excludesOutage(candidate *tally) bool {
	first, last := candidate.period()
	return last.Sub(first) >= minSpanAnswered && t.answers.count-candidate.crashes[0].answersBefore >= minOtherAnswers
}
