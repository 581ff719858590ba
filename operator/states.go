package operator

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// reportRingSize is the capacity for queued reports. It is enough for the reports
	// of all agents of a dozen models between two snapshots. An agent repeats its
	// report within a second.
	reportRingSize = 4096
	// publishInterval is the minimum interval between two copies of the snapshot.
	publishInterval = 200 * time.Millisecond
	// maxReportAge is the maximum age of a report that State returns. Agents report
	// once a second.
	maxReportAge = 3 * time.Second
)

// StateTracker stores the last states that agents reported on Watch streams, for the
// driver. It implements entry.StateListener and EngineStates. Run is the duty that
// owns the reports.
type StateTracker struct {
	reports  *ring.Ring[stateReport]
	snapshot atomic.Pointer[map[core.UpstreamID]EngineState]
}

// stateReport is a message of a Watch stream or, if ended is set, the end of the
// stream.
type stateReport struct {
	id    core.UpstreamID
	state EngineState
	ended bool
}

// NewStateTracker returns a tracker without reports.
func NewStateTracker() *StateTracker {
	s := &StateTracker{reports: ring.New[stateReport](reportRingSize)}
	s.snapshot.Store(&map[core.UpstreamID]EngineState{})
	return s
}

// Report implements entry.StateListener. It records a message of a Watch stream and
// never blocks. When the ring is full, the oldest report is dropped, and the next
// report of that agent replaces it.
func (s *StateTracker) Report(m *wire.UpstreamState) {
	s.reports.Push(stateReport{id: core.UpstreamID(m.GetUpstream()), state: EngineState{
		LoadedModels: m.GetLoaded(), RunCount: int(m.GetRunning()), ReceivedAt: time.Now(),
	}})
}

// Remove implements entry.StateListener. It removes the state of an upstream when its
// Watch stream has ended, and never blocks.
func (s *StateTracker) Remove(id core.UpstreamID) { s.reports.Push(stateReport{id: id, ended: true}) }

// State implements EngineStates. It ignores reports older than maxReportAge.
func (s *StateTracker) State(id core.UpstreamID) (EngineState, bool) {
	state, ok := (*s.snapshot.Load())[id]
	return state, ok && time.Since(state.ReceivedAt) < maxReportAge
}

// Run is the duty that applies the reports and publishes snapshots of them.
func (s *StateTracker) Run(ctx context.Context) error {
	states := make(map[core.UpstreamID]EngineState)
	for {
		r, err := s.reports.Receive(ctx)
		if err != nil {
			return err
		}
		applyReport(states, r)
		if !duty.Pause(ctx, publishInterval) {
			return ctx.Err()
		}
		for {
			r, ok := s.reports.TryReceive()
			if !ok {
				break
			}
			applyReport(states, r)
		}
		snapshot := maps.Clone(states)
		s.snapshot.Store(&snapshot)
	}
}

func applyReport(states map[core.UpstreamID]EngineState, r stateReport) {
	if r.ended {
		delete(states, r.id)
		return
	}
	states[r.id] = r.state
}

// initialCheckDelay is the time from the start of the driver duty to its first check.
// It is not zero, because with the race detector a timer that is due when it is
// created crashes the Go 1.26 runtime in synctest bubbles.
const initialCheckDelay = time.Millisecond
