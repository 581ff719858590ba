package main

import (
	"fmt"
	"time"
)

// Bounds of the promises with a time: they hold for fronts that no fault has
// touched for contact.
const (
	contact = 3 * time.Second
	// drainBound is how long after a drain calls may still begin at a server,
	// applyBound how long a new key may be unknown, and revokeBound how long a
	// removed one may be taken.
	drainBound  = 2 * time.Second
	applyBound  = 2 * time.Second
	revokeBound = 5 * time.Second
)

// span is a time; its end is zero while it lasts.
type span struct{ from, to time.Time }

// timeline is what the operator and the faults did, and when.
type timeline struct {
	// touched holds the spans in which a fault touched a front or the link to a
	// server, drained those in which a server was drained.
	touched map[string][]span
	drained map[string][]span
	// disrupted holds the spans in which a front was killed or suspended.
	disrupted map[string][]span
	// keys holds when the key of each version of the configuration was allowed.
	keys map[int]span
}

func newTimeline() *timeline {
	return &timeline{
		touched: make(map[string][]span), drained: make(map[string][]span), disrupted: make(map[string][]span), keys: make(map[int]span),
	}
}

// begin and end note a span of one of the maps.
func begin(spans map[string][]span, name string, at time.Time) {
	spans[name] = append(spans[name], span{from: at})
}

func end(spans map[string][]span, name string, at time.Time) {
	for i := range spans[name] {
		if spans[name][i].to.IsZero() {
			spans[name][i].to = at
			return
		}
	}
}

// configured notes a version of the configuration; it removes the key of the
// version before.
func (t *timeline) configured(version int, at time.Time) {
	if old, ok := t.keys[version-1]; ok {
		old.to = at
		t.keys[version-1] = old
	}
	t.keys[version] = span{from: at}
}

// inTouch reports whether no fault has touched a front or the link to a server
// for long enough.
func (t *timeline) inTouch(name string, at time.Time) bool {
	for _, s := range t.touched[name] {
		if s.from.Before(at) && (s.to.IsZero() || at.Sub(s.to) < contact) {
			return false
		}
	}
	return true
}

// isDisrupted reports whether a front was killed or suspended during a call or shortly
// before it. Planned stops and faults of the store do not count.
func (t *timeline) isDisrupted(front string, from, to time.Time) bool {
	for _, s := range t.disrupted[front] {
		if s.from.Before(to) && (s.to.IsZero() || from.Sub(s.to) < contact) {
			return true
		}
	}
	return false
}

// drainMissed says which drain a run that began at a server has missed.
func (t *timeline) drainMissed(front, server string, at time.Time) string {
	for _, s := range t.drained[server] {
		late := at.Sub(s.from)
		if late > drainBound && (s.to.IsZero() || at.Before(s.to)) && t.inTouch(front, at) && t.inTouch(server, at) {
			return fmt.Sprintf("ran at %s %s after its drain, sent by %s", server, late.Round(time.Millisecond), front)
		}
	}
	return ""
}

// keyMissed says which change of keys a call with the key of a version has
// missed, from when it was sent until it was answered.
func (t *timeline) keyMissed(front string, version int, accepted bool, sent, answered time.Time) string {
	key := t.keys[version]
	if !t.inTouch(front, sent) || !t.inTouch(front, answered) {
		return ""
	}
	switch {
	case accepted && !key.to.IsZero() && sent.Sub(key.to) > revokeBound:
		return fmt.Sprintf("%s took a key %s after its removal", front, sent.Sub(key.to).Round(time.Millisecond))
	case !accepted && sent.Sub(key.from) > applyBound && (key.to.IsZero() || answered.Before(key.to)):
		return fmt.Sprintf("%s refused a key %s after it was allowed", front, sent.Sub(key.from).Round(time.Millisecond))
	}
	return ""
}
