package main

import (
	"context"
	"fmt"
	"time"

	"waxwingtide.example/waxwingtide/duty"
)

// zones are the failure domains of fronts and servers, which take turns.
var zones = [...]string{"z1", "z2"}

const (
	// evacuationBound is how long after an evacuation calls may still reach its zone.
	evacuationBound = 3 * time.Second
	// cutBeforeEvacuation is the time after which the operator evacuates a zone that is cut
	// off.
	cutBeforeEvacuation = 400 * time.Millisecond
)

// cutZone cuts the servers of a zone off and evacuates it. Requests that were written
// before the cut and not given up with a reset arrive when the cut ends. The evacuation
// lasts beyond the cut.
func (w *world) cutZone(ctx context.Context, zone int, lasts time.Duration) {
	if !w.evacuated[zone].CompareAndSwap(false, true) {
		return
	}
	w.setZone(zone, holding)
	duty.Pause(ctx, cutBeforeEvacuation)
	w.store.PutEvacuation(zones[zone], true)
	w.noteSpan(begin, evacuationOf(zones[zone]))
	duty.Pause(ctx, lasts)
	w.setZone(zone, open)
	duty.Pause(ctx, evacuationBound)
	w.noteSpan(end, evacuationOf(zones[zone]))
	w.evacuated[zone].Store(false)
	w.store.PutEvacuation(zones[zone], false)
}

// setZone sets the links to the servers of a zone, also for the timeline.
func (w *world) setZone(zone int, state linkState) {
	note := begin
	if state == open {
		note = end
	}
	for _, s := range w.servers {
		if s.zone == zones[zone] {
			s.link.set(state)
			w.noteSpan(note, s.id)
		}
	}
}

func evacuationOf(zone string) string { return "evacuation of " + zone }

// noteSpan begins or ends a span in which something is touched.
func (w *world) noteSpan(change func(map[string][]span, string, time.Time), name string) {
	w.ledger.note(entry{change: func(t *timeline, at time.Time) { change(t.touched, name, at) }})
}

// evacuationMissed says which evacuation a run that began at a server has missed.
func (t *timeline) evacuationMissed(front, server, zone string, at time.Time) string {
	for _, s := range t.touched[evacuationOf(zone)] {
		late := at.Sub(s.from)
		if late > evacuationBound && (s.to.IsZero() || at.Before(s.to)) && t.inTouch(front, at) {
			return fmt.Sprintf("ran at %s %s after the evacuation of its zone, sent by %s", server, late.Round(time.Millisecond), front)
		}
	}
	return ""
}
