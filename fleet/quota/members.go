// Package quota determines the processes among which the bounds of the whole system are
// divided, for example the calls that a cold upstream can sustain.
//
// The processes receive changes of the list of members at different times. The sum of their
// portions stays within a bound nevertheless if each process that uses a portion is in the
// list of every other one. A process that joins is therefore counted by the others at once
// and uses a portion only after ArrivalDelay. One that leaves uses none at once and is
// counted for DepartureDelay. This requires portions that never grow when a member is added
// to the list, as those by rank in package admit.
package quota

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

const (
	// ArrivalDelay is the time after a process has joined in which it uses no portion. The
	// others receive its row within about a second, and the calls that they have sent before
	// count for 1.1 s more.
	ArrivalDelay = 2500 * time.Millisecond
	// DepartureDelay is the time for which a process that is no longer listed still counts.
	// The calls that it has sent count within an upstream's limit for about a second.
	DepartureDelay = 1200 * time.Millisecond
	// suspensionDelay is the time after a suspension in which a process uses no portion: its
	// list is as old as the suspension until it is read again.
	suspensionDelay = 1500 * time.Millisecond
)

// Members are the processes among which bounds are divided, as one process knows them.
type Members struct {
	self core.NodeID
	// nodes are the listed processes and those that have departed recently.
	nodes      []core.NodeID
	listed     []core.NodeID
	departures map[core.NodeID]time.Time
	// includesSelf is set while this process is listed.
	includesSelf bool
	// wasMissing is set when this process was listed and then was not.
	wasMissing bool
	// countedFrom is the time from which all processes count this one.
	countedFrom time.Time
	// listOldUntil is the time until which the list may be that from before a suspension.
	listOldUntil time.Time
	generation   uint64
}

// NewMembers returns the members as known to the process self, without a list.
func NewMembers(self core.NodeID) *Members {
	return &Members{self: self, departures: make(map[core.NodeID]time.Time)}
}

// Set applies a newer list of processes. joins is set unless this process is known to have
// been listed before it started, so that the others have counted it all the time.
func (m *Members) Set(now time.Time, listed []core.NodeID, joins bool) {
	m.setSelf(now, slices.Contains(listed, m.self), joins)
	if m.generation > 0 && slices.Equal(m.listed, listed) {
		return
	}
	for _, node := range m.listed {
		if !slices.Contains(listed, node) {
			m.departures[node] = now
		}
	}
	for _, node := range listed {
		delete(m.departures, node)
	}
	m.listed = listed
	m.rebuild()
}

// setSelf records whether this process is listed.
func (m *Members) setSelf(now time.Time, listed, joins bool) {
	m.wasMissing = m.wasMissing || m.includesSelf && !listed
	switch {
	case !joins && !m.wasMissing:
		m.countedFrom = time.Time{}
	case listed && !m.includesSelf:
		m.countedFrom = now.Add(ArrivalDelay)
	}
	m.includesSelf = listed
}

// Generation returns a number that changes when the counted processes change. It is 0 while
// there is no list.
func (m *Members) Generation(now time.Time) uint64 {
	m.expire(now)
	return m.generation
}

// Count returns the number of processes among which bounds are divided, at least 1.
func (m *Members) Count(now time.Time) int {
	m.expire(now)
	return max(len(m.nodes), 1)
}

// Suspended records that this process was suspended until now. Others may have joined
// meanwhile and use portions that its list still gives to it.
func (m *Members) Suspended(now time.Time) { m.listOldUntil = now.Add(suspensionDelay) }

// HasPortion reports whether this process may use a portion of a bound.
func (m *Members) HasPortion(now time.Time) bool {
	return m.includesSelf && !now.Before(m.countedFrom) && !now.Before(m.listOldUntil)
}

// Rank returns the rank of this process among the counted ones for a subject. Ranks start
// at 0.
func (m *Members) Rank(now time.Time, subject string) int {
	m.expire(now)
	return rendezvous.Position(m.nodes, m.self, subject)
}

// expire removes the processes that departed long enough ago.
func (m *Members) expire(now time.Time) {
	before := len(m.departures)
	for node, at := range m.departures {
		if now.Sub(at) >= DepartureDelay {
			delete(m.departures, node)
		}
	}
	if len(m.departures) < before {
		m.rebuild()
	}
}

func (m *Members) rebuild() {
	m.nodes = slices.Clone(m.listed)
	for node := range m.departures {
		m.nodes = append(m.nodes, node)
	}
	m.generation++
}
