package main

import (
	"context"
	"fmt"
	"sort"
	"time"

	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/standin"
)

// entry is something that a server or a caller has seen of one call.
type entry struct {
	id string
	// ran is the server that ran the call.
	ran string
	// zone is that of the server.
	zone string
	// promised is set when a caller was told that the call has not run.
	promised bool
	once     bool
	// broken says which promise a caller saw broken.
	broken string
	served bool
	tried  bool
	at     time.Time
	// front is where the call was sent.
	front string
	// keyed is set when a call with the key of a version was accepted or refused;
	// sent is when it was sent.
	keyed    bool
	version  int
	accepted bool
	sent     time.Time
	// lost is set when a front has closed the connection of a call, sent at sent,
	// without a response.
	lost bool
	// change notes something in the timeline, as of at.
	change func(t *timeline, at time.Time)
	// arrived is set when a call with the bad part id has reached a server, crashed when the
	// server that it has crashed is back.
	arrived, crashed bool
	// lateWrites is the number of writes that reached the store after a restore, and
	// performedWrites that of those which took effect.
	lateWrites, performedWrites int
	// duty is a call to the platform's interface for duties.
	duty *standin.DutyCall
}

// ledger is the duty that owns what was seen of all calls.
type ledger struct {
	entries *ring.Ring[entry]
	calls   map[string]*callRecord
	times   *timeline
	keyed   []entry
	lost    []entry
	broken  []string
	duties  []standin.DutyCall
	parts   map[string]partRecord
	// lateWrites and performedWrites are sums of those of the entries.
	lateWrites, performedWrites int
	served                      int
	tried                       int
	// calm is when all is expected to work again after the last fault; lateTried and
	// lateServed count the calls from then on. It is set before run.
	calm                  time.Time
	lateTried, lateServed int
	// ended is the end of the run, of which usage reports are checked. It is set after run.
	ended time.Time
}

type callRecord struct {
	ran      []string
	zones    []string
	ranAt    []time.Time
	front    string
	promised bool
	once     bool
}

func newLedger() *ledger {
	return &ledger{entries: ring.New[entry](4096), calls: make(map[string]*callRecord), times: newTimeline(), parts: make(map[string]partRecord)}
}

func (l *ledger) note(e entry) {
	e.at = time.Now()
	_ = l.entries.Send(context.Background(), e) // fails only when the ledger is closed, at the end of the run
}

// run takes entries until the ring is closed.
func (l *ledger) run() {
	for {
		e, err := l.entries.Receive(context.Background())
		if err != nil {
			return
		}
		l.take(e)
	}
}

func (l *ledger) take(e entry) {
	if e.change != nil {
		e.change(l.times, e.at)
		return
	}
	if e.keyed {
		l.keyed = append(l.keyed, e)
		return
	}
	if e.arrived || e.crashed {
		l.takePart(e)
		return
	}
	if e.lateWrites > 0 {
		l.lateWrites += e.lateWrites
		l.performedWrites += e.performedWrites
		return
	}
	if e.duty != nil {
		l.duties = append(l.duties, *e.duty)
		return
	}
	if e.lost {
		l.lost = append(l.lost, e)
		return
	}
	c := l.calls[e.id]
	if c == nil {
		c = &callRecord{}
		l.calls[e.id] = c
	}
	if e.ran != "" {
		c.ran = append(c.ran, e.ran)
		c.zones = append(c.zones, e.zone)
		c.ranAt = append(c.ranAt, e.at)
	}
	if e.front != "" {
		c.front = e.front
	}
	c.promised = c.promised || e.promised
	c.once = c.once || e.once
	if e.broken != "" {
		l.broken = append(l.broken, e.id+": "+e.broken)
	}
	if e.tried {
		l.tried++
	}
	if e.served {
		l.served++
	}
	if e.at.After(l.calm) {
		if e.tried {
			l.lateTried++
		}
		if e.served {
			l.lateServed++
		}
	}
}

// takePart takes an entry of a bad part.
func (l *ledger) takePart(e entry) {
	r := l.parts[e.id]
	if e.arrived {
		r.arrivals = append(r.arrivals, arrival{front: e.front, at: e.at})
	}
	if e.crashed {
		r.crashes = append(r.crashes, e.at)
	}
	l.parts[e.id] = r
}

// verdict checks what can be known at the end only.
func (l *ledger) verdict() []string {
	var started []time.Time
	for id, c := range l.calls {
		if c.once && len(c.ran) > 1 {
			l.broken = append(l.broken, fmt.Sprintf("%s: a call that may run once ran at %v", id, c.ran))
		}
		if c.promised && len(c.ran) > 0 {
			l.broken = append(l.broken, fmt.Sprintf("%s: ran at %v though the caller was told that it has not", id, c.ran))
		}
		for i, server := range c.ran {
			if missed := l.times.drainMissed(c.front, server, c.ranAt[i]); missed != "" {
				l.broken = append(l.broken, id+": "+missed)
			}
			if missed := l.times.evacuationMissed(c.front, server, c.zones[i], c.ranAt[i]); missed != "" {
				l.broken = append(l.broken, id+": "+missed)
			}
			started = append(started, c.ranAt[i])
		}
	}
	l.broken = append(l.broken, dutyBreaks(l.duties, l.times)...)
	if !l.ended.IsZero() {
		l.broken = append(l.broken, usageBreaks(l.duties, started, l.calm, l.ended)...)
	}
	for name, r := range l.parts {
		if missed := r.missedQuarantine(name, l.times); missed != "" {
			l.broken = append(l.broken, missed)
		}
	}
	for _, e := range l.keyed {
		if missed := l.times.keyMissed(e.front, e.version, e.accepted, e.sent, e.at); missed != "" {
			l.broken = append(l.broken, e.id+": "+missed)
		}
	}
	for _, e := range l.lost {
		if !l.times.isDisrupted(e.front, e.sent, e.at) {
			l.broken = append(l.broken, fmt.Sprintf("%s: %s closed the connection without an answer %s after the first byte", e.id, e.front, e.at.Sub(e.sent).Round(time.Millisecond)))
		}
	}
	if l.lateTried > 0 && l.lateServed*10 < l.lateTried*9 {
		l.broken = append(l.broken, fmt.Sprintf("after the faults %d of %d calls were served", l.lateServed, l.lateTried))
	}
	sort.Strings(l.broken)
	return l.broken
}
