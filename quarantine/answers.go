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
	// count is the number of local answers, recent that of the last ones.
	count  uint64
	recent windowCount
}

type answerTimes struct {
	answeredAt time.Time
	// sharedAt is the newest answer that the other processes have.
	sharedAt time.Time
	// recent counts the local answers.
	recent windowCount
}

// windowCount counts events of the last one to two answerMemory.
type windowCount struct {
	window            int64
	current, previous uint64
}

func (c *windowCount) add(at time.Time) {
	c.advance(at)
	c.current++
}

func (c *windowCount) total(now time.Time) uint64 {
	c.advance(now)
	return c.current + c.previous
}

// advance begins a new window if the last one has ended. Time that goes back is ignored.
func (c *windowCount) advance(now time.Time) {
	window := now.UnixNano() / int64(answerMemory)
	switch {
	case window <= c.window:
		return
	case window == c.window+1:
		c.previous = c.current
	default:
		c.previous = 0
	}
	c.window, c.current = window, 0
}

func newAnswerLog() answerLog {
	lru, _ := simplelru.NewLRU[Part, answerTimes](maxAnswers, nil) // fails only for sizes below 1
	return answerLog{last: lru}
}

// recordCall counts a local answer.
func (l *answerLog) recordCall(at time.Time) {
	l.count++
	l.recent.add(at)
}

// record records an answer. shared is set for an answer that another process has
// reported.
func (l *answerLog) record(part Part, at time.Time, shared bool) {
	times, _ := l.last.Peek(part)
	if at.After(times.answeredAt) {
		times.answeredAt = at
	}
	if !shared {
		times.recent.add(at)
	} else if at.After(times.sharedAt) {
		times.sharedAt = at
	}
	l.last.Add(part, times)
}

// lastAnswer returns the time of the last answer, or zero if there was none.
func (l *answerLog) lastAnswer(part Part) time.Time {
	times, _ := l.last.Peek(part)
	return times.answeredAt
}

// share returns the share of a part in the local answers of the last minutes. It is not
// zero for a part without any, which may only be rare.
func (l *answerLog) share(now time.Time, part Part) float64 {
	times, _ := l.last.Peek(part)
	return float64(times.recent.total(now)+1) / float64(l.recent.total(now)+1)
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
