// Package quarantine finds parts of prompts that crash upstreams and keeps calls with
// such a part away from them. Processes exchange their observations as Evidence and
// each evaluates all of it, so that a part is found although its calls and the crashes
// are distributed over many processes. The package performs no I/O and reads no clock.
//
// A crash is a refused connection or a new incarnation after attempts at an upstream
// broke. It makes suspects of the calls whose answer had not begun, or had just begun.
// A part is quarantined when calls with it were suspects of several crashes and none
// of its calls was answered in between. Calls that only share other parts or the
// caller with it are answered meanwhile, which clears their parts.
//
// A quarantine ends with a trial: when its time has passed, one process lets one call
// through. The part is released if that call is answered.
package quarantine

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Part identifies a part of a model's prompts.
type Part struct {
	Model core.ModelID
	ID    core.PartID
}

// Incarnation identifies one incarnation of an upstream.
type Incarnation struct {
	Upstream    core.UpstreamID
	StartedAtMs int64
}

// Suspect is the prompt of a call whose answer had not begun, or had just begun, when
// its upstream crashed.
type Suspect struct {
	Model core.ModelID
	// LastPart is specific to the prompt. Shared are the other parts, in order.
	LastPart core.PartID
	Shared   []core.PartID
}

// Crash is the crash of an upstream as observed by one process.
type Crash struct {
	Incarnation
	Reporter   core.NodeID
	ObservedAt time.Time
	Suspects   []Suspect
}

// Answer is the last time at which a process received an answer to a prompt with a
// part.
type Answer struct {
	Part
	AnsweredAt time.Time
}

// State tells whether a part is in quarantine. The state with the highest version is
// in force.
type State struct {
	Part
	// Version is odd for a quarantine and even for a release. It increases with each
	// quarantine, trial and release.
	Version uint32
	// Until is when a trial may be made.
	Until time.Time
}

// Quarantined reports whether the part is in quarantine.
func (s State) Quarantined() bool { return s.Version%2 == 1 }

// Supersedes reports whether the state replaces another one.
func (s State) Supersedes(other State) bool { return s.Version > other.Version }

// Evidence is what processes exchange.
type Evidence struct {
	Crashes []Crash
	Answers []Answer
	States  []State
}

// Empty reports whether there is nothing to exchange.
func (e Evidence) Empty() bool { return len(e.Crashes)+len(e.Answers)+len(e.States) == 0 }

const (
	// initialDuration is the duration of a part's first quarantine. It doubles with
	// each failed trial, up to maxDuration.
	initialDuration = 30 * time.Second
	maxDuration     = 10 * time.Minute
	// trialStagger is the delay after which the next process may make a trial if the
	// previous one has not.
	trialStagger = 5 * time.Second
	// stateRetention is the time for which a state is retained after Until, so that
	// the duration of a further quarantine continues to double.
	stateRetention = 10 * time.Minute
	// maxStates bounds the states of a process.
	maxStates = 256
	// repeatInterval is the interval at which a process repeats its quarantines for
	// processes that have not received them, and maxRepeated bounds them each time.
	repeatInterval = 2 * time.Second
	maxRepeated    = 16
)

// duration returns the duration of the quarantine with the given version.
func duration(version uint32) time.Duration {
	d := initialDuration
	for v := uint32(1); v+1 < version && d < maxDuration; v += 2 {
		d *= 2
	}
	return min(d, maxDuration)
}
