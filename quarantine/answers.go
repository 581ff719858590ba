package quarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxAnswers bounds the parts whose last answer is recorded.
	maxAnswers = 8192
	// answerMemory is the time for which an answer shows that a part is in use, so
	// that more evidence is needed to quarantine it.
	answerMemory = time.Minute
)

// answerLog records the last answer for each part, and which of them the other
// processes have.
type answerLog struct {
	last *simplelru.LRU[Part, answerTimes]
	// count is the number of local answers.
	count uint64
}

type answerTimes struct {
	answeredAt time.Time
	// sharedAt is the newest answer that the other processes have.
	sharedAt time.Time
}

func newAnswerLog() answerLog {
	lru, _ := simplelru.NewLRU[Part, answerTimes](maxAnswers, nil) // fails only for sizes below 1
	return answerLog{last: lru}
}

// recordCall counts a local answer.
func (l *answerLog) recordCall(time.Time) { l.count++ }

// record records an answer. shared is set for an answer that another process has
// reported.
func (l *answerLog) record(part Part, at time.Time, shared bool) {
	times, _ := l.last.Peek(part)
	if at.After(times.answeredAt) {
		times.answeredAt = at
	}
	if shared && at.After(times.sharedAt) {
		times.sharedAt = at
	}
	l.last.Add(part, times)
}

// lastAnswer returns the time of the last answer, or zero if there was none.
func (l *answerLog) lastAnswer(part Part) time.Time {
	times, _ := l.last.Peek(part)
	return times.answeredAt
}

// unshared returns the last answer of a part if it tells the other processes something:
// that the part was answered after its last crash, or that it is in use.
func (l *answerLog) unshared(now time.Time, part Part, crashedAt time.Time) (Answer, bool) {
	times, ok := l.last.Peek(part)
	if !ok || now.Sub(times.answeredAt) > answerMemory || !times.answeredAt.After(times.sharedAt) {
		return Answer{}, false
	}
	clears := times.answeredAt.After(crashedAt) && !times.sharedAt.After(crashedAt)
	inUse := now.Sub(times.sharedAt) >= answerMemory
	if !clears && !inUse {
		return Answer{}, false
	}
	times.sharedAt = times.answeredAt
	l.last.Add(part, times)
	return Answer{Part: part, AnsweredAt: times.answeredAt}, true
}
