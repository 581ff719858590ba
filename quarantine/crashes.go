package quarantine

import (
	"cmp"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

const (
	// crashRetention is the time for which a crash counts as evidence.
	crashRetention = time.Minute
	// maxCrashes bounds the recorded crashes. The oldest is removed.
	maxCrashes = 64
	// eventWindow is the time within which crashes count as simultaneous.
	eventWindow = 100 * time.Millisecond
	// maxSuspects bounds the suspects that one process reports of a crash.
	maxSuspects = 64
	// maxSharedParts bounds the parts of a suspect. Of longer prompts, the last parts
	// are used.
	maxSharedParts = 32
)

// crashRecord is a crash as observed by all processes.
type crashRecord struct {
	reports map[core.NodeID]Crash
	// observedAt is the first observation, receivedAt the time at which this process
	// received it.
	observedAt time.Time
	receivedAt time.Time
	// answersBefore is the number of local answers before receivedAt.
	answersBefore uint64
	// explained is set when one of the suspects has a part in quarantine.
	explained bool
}

// crashLog records the crashes that count as evidence.
type crashLog struct {
	records map[Incarnation]*crashRecord
	// watched contains the last crash for each part of a suspect.
	watched map[Part]time.Time
}

func newCrashLog() crashLog {
	return crashLog{records: make(map[Incarnation]*crashRecord), watched: make(map[Part]time.Time)}
}

// add records an observation and reports whether it is new.
func (l *crashLog) add(now time.Time, c Crash, answers uint64) bool {
	record := l.records[c.Incarnation]
	if record == nil {
		l.makeSpace()
		record = &crashRecord{reports: make(map[core.NodeID]Crash), observedAt: c.ObservedAt, receivedAt: now, answersBefore: answers}
		l.records[c.Incarnation] = record
	}
	if len(c.Suspects) <= len(record.reports[c.Reporter].Suspects) {
		return false
	}
	record.reports[c.Reporter] = c
	if c.ObservedAt.Before(record.observedAt) {
		record.observedAt = c.ObservedAt
	}
	l.watch(c)
	return true
}

// watch adds the parts of the suspects of a crash.
func (l *crashLog) watch(c Crash) {
	for _, s := range c.Suspects {
		for _, id := range s.Shared {
			part := Part{s.Model, id}
			if c.ObservedAt.After(l.watched[part]) {
				l.watched[part] = c.ObservedAt
			}
		}
	}
}

// makeSpace removes the oldest crash if there are maxCrashes.
func (l *crashLog) makeSpace() {
	if len(l.records) < maxCrashes {
		return
	}
	var oldest Incarnation
	for key, record := range l.records {
		if oldest == (Incarnation{}) || record.receivedAt.Before(l.records[oldest].receivedAt) {
			oldest = key
		}
	}
	delete(l.records, oldest)
	l.rebuildWatched()
}

// prune removes the crashes that no longer count.
func (l *crashLog) prune(now time.Time) {
	before := len(l.records)
	for key, record := range l.records {
		if now.Sub(record.receivedAt) > crashRetention {
			delete(l.records, key)
		}
	}
	if len(l.records) < before {
		l.rebuildWatched()
	}
}

// rebuildWatched removes the parts of removed crashes from watched.
func (l *crashLog) rebuildWatched() {
	clear(l.watched)
	for _, record := range l.records {
		for _, report := range record.reports {
			l.watch(report)
		}
	}
}

// markExplained marks the crashes of which a suspect has a part in quarantine. Their
// other suspects are not evidence.
func (l *crashLog) markExplained(quarantined func(Part) bool) {
	for _, record := range l.records {
		for _, report := range record.reports {
			for _, s := range report.Suspects {
				for _, id := range s.Shared {
					record.explained = record.explained || quarantined(Part{s.Model, id})
				}
			}
		}
	}
}

// unexplainedEvents returns the number of crashes between two times of which no suspect
// has a part in quarantine, as countEvents counts them.
func (l *crashLog) unexplainedEvents(first, last time.Time) int {
	var times []time.Time
	for _, record := range l.records {
		if !record.explained && !record.observedAt.Before(first) && !record.observedAt.After(last) {
			times = append(times, record.observedAt)
		}
	}
	return countEvents(times)
}

// countEvents returns the number of crashes. Those within eventWindow count once, since a
// failure of many upstreams at once has one cause.
func countEvents(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	events := 0
	var eventAt time.Time
	for _, at := range times {
		if events == 0 || at.Sub(eventAt) >= eventWindow {
			events++
			eventAt = at
		}
	}
	return events
}

// suspects returns the number of suspects of a crash.
func (r *crashRecord) suspects() int {
	n := 0
	for _, report := range r.reports {
		n += len(report.Suspects)
	}
	return n
}

// tally counts the evidence against one part since its last answer.
type tally struct {
	part Part
	// depth is the largest position of the part in a prompt.
	depth   int
	prompts map[core.PartID]struct{}
	// crashes are sorted by the time at which this process knew them.
	crashes []*crashRecord
}

// tallies returns the tally of each part of a suspect. Crashes before the last answer
// of a part do not count.
func (l *crashLog) tallies(lastAnswer func(Part) time.Time) map[Part]*tally {
	out := make(map[Part]*tally)
	for _, record := range l.records {
		if record.explained {
			continue
		}
		for _, report := range record.reports {
			for _, s := range report.Suspects {
				for depth, id := range s.Shared {
					part := Part{s.Model, id}
					if !record.observedAt.After(lastAnswer(part)) {
						continue
					}
					out[part] = out[part].add(part, depth, s.LastPart, record)
				}
			}
		}
	}
	for _, t := range out {
		slices.SortFunc(t.crashes, func(a, b *crashRecord) int { return a.receivedAt.Compare(b.receivedAt) })
	}
	return out
}

// add adds a suspect. The receiver may be nil.
func (t *tally) add(part Part, depth int, lastPart core.PartID, record *crashRecord) *tally {
	if t == nil {
		t = &tally{part: part, prompts: make(map[core.PartID]struct{})}
	}
	t.depth = max(t.depth, depth)
	t.prompts[lastPart] = struct{}{}
	if !slices.Contains(t.crashes, record) {
		t.crashes = append(t.crashes, record)
	}
	return t
}

// support returns the number of crashes and of prompts, whichever is lower. Repeated
// attempts of one prompt cannot tell its parts apart.
func (t *tally) support() int { return min(len(t.crashes), len(t.prompts)) }

// events returns the number of crashes, as countEvents counts them.
func (t *tally) events() int {
	times := make([]time.Time, len(t.crashes))
	for i, record := range t.crashes {
		times[i] = record.observedAt
	}
	return countEvents(times)
}

// meanSuspects returns the mean number of suspects of a crash.
func (t *tally) meanSuspects() float64 {
	sum := 0
	for _, record := range t.crashes {
		sum += record.suspects()
	}
	return float64(sum) / float64(len(t.crashes))
}

// period returns the times of the first and the last crash.
func (t *tally) period() (first, last time.Time) {
	first, last = t.crashes[0].observedAt, t.crashes[0].observedAt
	for _, record := range t.crashes {
		if record.observedAt.Before(first) {
			first = record.observedAt
		}
		if record.observedAt.After(last) {
			last = record.observedAt
		}
	}
	return first, last
}

// compareStrength orders tallies by their evidence. Of parts that always occur
// together, the one at the end of the prompt is the most specific.
func compareStrength(a, b *tally) int {
	return cmp.Or(cmp.Compare(a.support(), b.support()), cmp.Compare(a.depth, b.depth), cmp.Compare(b.part.ID, a.part.ID))
}
