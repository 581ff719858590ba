package sharing

import (
	"time"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
)

const (
	// evidenceTTL is the time for which the board stores evidence on parts of prompts.
	evidenceTTL = time.Minute
	// maxEvidence is the number of crashes, of answers and of states that the board
	// stores. The oldest are removed.
	maxEvidence = 512
	// verdictInterval is the minimum interval at which a doubt is forwarded again.
	verdictInterval = 500 * time.Millisecond
)

// crashKey identifies the observation of a crash by one process.
type crashKey struct {
	quarantine.Incarnation
	reporter core.NodeID
}

// numberedEvidence is a value on the board with its number and its sender.
type numberedEvidence[V any] struct {
	value   V
	sender  core.NodeID
	number  uint64
	addedAt time.Time
}

// evidenceStore stores values of one kind.
type evidenceStore[K comparable, V any] map[K]numberedEvidence[V]

// put stores a value and removes the expired ones and the oldest one above the bound.
func (s evidenceStore[K, V]) put(key K, e numberedEvidence[V]) {
	s[key] = e
	for k, other := range s {
		if e.addedAt.Sub(other.addedAt) > evidenceTTL {
			delete(s, k)
		}
	}
	if len(s) <= maxEvidence {
		return
	}
	oldest := key
	for k, other := range s {
		if other.number < s[oldest].number {
			oldest = k
		}
	}
	delete(s, oldest)
}

// newFor returns the values that arrived after a number and that the requester did not
// send. A requester that has received nothing yet also gets its own values, since it
// may have sent them before a restart.
func (s evidenceStore[K, V]) newFor(now time.Time, requester core.NodeID, afterNumber uint64) []V {
	var out []V
	for _, e := range s {
		if e.number > afterNumber && (e.sender != requester || afterNumber == 0) && now.Sub(e.addedAt) <= evidenceTTL {
			out = append(out, e.value)
		}
	}
	return out
}

// evidenceBoard is the part of the board with the evidence on parts of prompts.
type evidenceBoard struct {
	crashes evidenceStore[crashKey, quarantine.Crash]
	answers evidenceStore[quarantine.Part, quarantine.Answer]
	states  evidenceStore[quarantine.Part, quarantine.State]
}

func newEvidenceBoard() evidenceBoard {
	return evidenceBoard{
		crashes: make(evidenceStore[crashKey, quarantine.Crash]), answers: make(evidenceStore[quarantine.Part, quarantine.Answer]),
		states: make(evidenceStore[quarantine.Part, quarantine.State]),
	}
}

// addEvidence stores the evidence that a process has sent, unless the board contains
// newer one.
func (b *board) addEvidence(now time.Time, sender core.NodeID, e quarantine.Evidence) {
	for _, c := range e.Crashes {
		key := crashKey{c.Incarnation, c.Reporter}
		if len(c.Suspects) > len(b.evidence.crashes[key].value.Suspects) {
			b.evidence.crashes.put(key, numberEvidence(b, now, sender, c))
		}
	}
	for _, a := range e.Answers {
		if a.AnsweredAt.After(b.evidence.answers[a.Part].value.AnsweredAt) {
			b.evidence.answers.put(a.Part, numberEvidence(b, now, sender, a))
		}
	}
	for _, s := range e.States {
		if s.Supersedes(b.evidence.states[s.Part].value) {
			b.evidence.states.put(s.Part, numberEvidence(b, now, sender, s))
		}
	}
}

// verdictKey identifies the rollout that a verdict restricts. The version of the request's
// row alone may have been that of another rollout before a restore of the store.
type verdictKey struct {
	service core.ServiceID
	version string
	request uint64
}

// addVerdicts stores the verdicts that a process has sent. A repeated doubt is new again
// after verdictInterval, since receivers hold the cutover only for a limited time.
func (b *board) addVerdicts(now time.Time, sender core.NodeID, verdicts []canary.Verdict) {
	for _, v := range verdicts {
		key := verdictKey{v.Service, v.Version, v.RequestRowVersion}
		stored, ok := b.verdicts[key]
		repeated := now.Sub(stored.addedAt) >= verdictInterval
		if !ok || v.Withdrawn && !stored.value.Withdrawn || !stored.value.Withdrawn && repeated {
			b.verdicts.put(key, numberEvidence(b, now, sender, v))
		}
	}
}

// numberEvidence returns a value with the next number.
func numberEvidence[V any](b *board, now time.Time, sender core.NodeID, value V) numberedEvidence[V] {
	b.newestNumber++
	return numberedEvidence[V]{value: value, sender: sender, number: b.newestNumber, addedAt: now}
}

// newEvidence returns the evidence that arrived after the given number and that the
// requester did not send.
func (b *board) newEvidence(now time.Time, requester core.NodeID, afterNumber uint64) quarantine.Evidence {
	return quarantine.Evidence{
		Crashes: b.evidence.crashes.newFor(now, requester, afterNumber),
		Answers: b.evidence.answers.newFor(now, requester, afterNumber),
		States:  b.evidence.states.newFor(now, requester, afterNumber),
	}
}
