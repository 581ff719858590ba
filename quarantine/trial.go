package quarantine

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

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
			t.active[part].Refused++
			return Decision{Refused: true, Part: part, RetryAfter: max(wait, 0)}
		}
		trial = Decision{Trial: true, Part: part}
	}
	if trial.Trial {
		// The next trial is delayed before the result of this one is known.
		version := t.states[trial.Part].Version + 2
		t.setState(now, State{Part: trial.Part, Version: version, Until: now.Add(duration(version))})
	}
	return trial
}

// trialTime returns the time from which this process may make a trial.
func (t *Tracker) trialTime(s State) time.Time {
	rank := rendezvous.Position(t.fronts, t.self, string(s.ID))
	return s.Until.Add(time.Duration(rank) * trialStagger)
}
