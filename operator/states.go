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
	// statesCapacity holds the reports of all agents of a dozen models between
	// two publications; an agent reports again within a second.
	statesCapacity = 4096
	// publishInterval bounds how often the snapshot is copied.
	publishInterval = 200 * time.Millisecond
	// stateAge is how long a report counts. Agents report once a second.
	stateAge = 3 * time.Second
)

// StateTracker stores what agents reported on Watch streams, for the driver. The
// entry's watch duties call Report for each message and Lost when the stream
// ends; Run is the duty that owns the reports.
type StateTracker struct {
	in       *ring.Ring[report]
	snapshot atomic.Pointer[map[core.UpstreamID]EngineState]
}

type report struct {
	id    core.UpstreamID
	state EngineState
	lost  bool
}

// NewStateTracker returns a tracker without reports.
func NewStateTracker() *StateTracker {
	s := &StateTracker{in: ring.New[report](statesCapacity)}
	s.snapshot.Store(&map[core.UpstreamID]EngineState{})
	return s
}

// Report records a message of a Watch stream. It never blocks; a full ring
// drops its oldest report, which the agent's next one replaces.
func (s *StateTracker) Report(m *wire.UpstreamState) {
	s.in.Push(report{id: core.UpstreamID(m.GetUpstream()), state: EngineState{
		LoadedModels: m.GetLoaded(), RunCount: int(m.GetRunning()), ReceivedAt: time.Now(),
	}})
}

// Lost records that a Watch stream ended. It never blocks.
func (s *StateTracker) Lost(id core.UpstreamID) { s.in.Push(report{id: id, lost: true}) }

// State implements EngineStates.
func (s *StateTracker) State(id core.UpstreamID) (EngineState, bool) {
	state, ok := (*s.snapshot.Load())[id]
	return state, ok && time.Since(state.ReceivedAt) < stateAge
}

// Run is the duty that owns the reports and publishes them.
func (s *StateTracker) Run(ctx context.Context) error {
	states := make(map[core.UpstreamID]EngineState)
	for {
		r, err := s.in.Receive(ctx)
		if err != nil {
			return err
		}
		apply(states, r)
		if !duty.Pause(ctx, publishInterval) {
			return ctx.Err()
		}
		for {
			r, ok := s.in.TryReceive()
			if !ok {
				break
			}
			apply(states, r)
		}
		published := maps.Clone(states)
		s.snapshot.Store(&published)
	}
}

func apply(states map[core.UpstreamID]EngineState, r report) {
	if r.lost {
		delete(states, r.id)
		return
	}
	states[r.id] = r.state
}

// minWait keeps timers from being due when they are made: with the race
// detector, such a timer crashes the Go 1.26 runtime in synctest bubbles.
const minWait = time.Millisecond
