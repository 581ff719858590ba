package placement

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// departureDelay is the time for which a process that is no longer listed still counts.
// The calls that it has sent count within an upstream's limit for about a second.
const departureDelay = 1200 * time.Millisecond

// limitMembers are the processes over which limits are divided.
type limitMembers struct {
	// nodes are the listed processes and those that have departed recently.
	nodes      []core.NodeID
	listed     []core.NodeID
	departures map[core.NodeID]time.Time
	// includesSelf is set while this process is listed, or no process is.
	includesSelf bool
	// generation counts the changes of nodes, starting with 1.
	generation uint64
}

// set applies a newer list of processes.
func (m *limitMembers) set(now time.Time, self core.NodeID, listed []core.NodeID) {
	if m.generation > 0 && slices.Equal(m.listed, listed) {
		return
	}
	if m.departures == nil {
		m.departures = make(map[core.NodeID]time.Time)
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
	m.includesSelf = len(listed) == 0 || slices.Contains(listed, self)
	m.rebuild()
}

// expire removes the processes that departed long enough ago.
func (m *limitMembers) expire(now time.Time) {
	before := len(m.departures)
	for node, at := range m.departures {
		if now.Sub(at) >= departureDelay {
			delete(m.departures, node)
		}
	}
	if len(m.departures) < before {
		m.rebuild()
	}
}

func (m *limitMembers) rebuild() {
	m.nodes = slices.Clone(m.listed)
	for node := range m.departures {
		m.nodes = append(m.nodes, node)
	}
	m.generation++
}
