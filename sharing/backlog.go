package sharing

import (
	"math"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
	"waxwingtide.example/waxwingtide/wire"
)

// takeBacklog returns the newest summary of the local work, or nil if none has been recorded
// since the last exchange. An old one is not sent again, since it would be taken for a new one.
func (e *Exchanger) takeBacklog() *backlog.Summary {
	s, ok := e.localBacklog.TryReceive()
	if !ok {
		return nil
	}
	return &s
}

// encodeBacklog returns nil for a backlog that is not known.
func encodeBacklog(s *backlog.Summary) *wire.Backlog {
	if s == nil {
		return nil
	}
	out := &wire.Backlog{Fronts: uint32(min(max(s.Fronts, 0), math.MaxInt32))} //nolint:gosec // within the bounds
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, encodeClass(c))
	}
	for _, r := range s.Rates {
		out.Rates = append(out.Rates, &wire.BacklogRate{Service: string(r.Service), PerSecond: encodeRate(r.PerSecond), Tokens: encodeCount(r.Tokens)})
	}
	return out
}

func encodeClass(c backlog.Class) *wire.BacklogClass {
	out := &wire.BacklogClass{
		Service: string(c.Service), Priority: uint32(min(max(c.Priority, 0), math.MaxInt32)), //nolint:gosec // within the bounds
		OtherWorkspaces: uint32(min(max(c.OtherWorkspaces, 0), math.MaxInt32)), OtherWaiting: encodeCount(c.OtherWaiting), OtherRunning: encodeCount(c.OtherRunning), //nolint:gosec // within the bounds
		ArrivingPerSecond: encodeRate(c.ArrivingPerSecond), LargestWaiting: encodeCount(c.LargestWaiting),
	}
	for _, w := range c.Workspaces {
		out.Workspaces = append(out.Workspaces, &wire.WorkspaceBacklog{
			Workspace: string(w.Workspace), Weight: uint32(min(max(w.Weight, 1), math.MaxInt32)), //nolint:gosec // within the bounds
			Waiting: encodeCount(w.Waiting), Running: encodeCount(w.Running),
		})
	}
	return out
}

// maxCount is the largest number of tokens that is encoded. Sums over all fronts stay within
// an int.
const maxCount = 1 << 40

func encodeCount(n int) uint64 { return uint64(min(max(n, 0), maxCount)) }

func encodeRate(perSecond float64) uint64 {
	if !(perSecond > 0) {
		return 0
	}
	return uint64(min(perSecond, maxCount))
}

func decodeCount(n uint64) int { return int(min(n, maxCount)) } //nolint:gosec // within the bounds

func decodeBacklog(message *wire.Backlog) *backlog.Summary {
	if message == nil {
		return nil
	}
	s := &backlog.Summary{Fronts: int(min(message.Fronts, math.MaxInt32))}
	for _, c := range message.Classes {
		class := backlog.Class{
			Service: core.ServiceID(c.Service), Priority: int(c.Priority), OtherWorkspaces: int(c.OtherWorkspaces), OtherWaiting: decodeCount(c.OtherWaiting), OtherRunning: decodeCount(c.OtherRunning),
			ArrivingPerSecond: float64(decodeCount(c.ArrivingPerSecond)), LargestWaiting: decodeCount(c.LargestWaiting),
		}
		for _, w := range c.Workspaces {
			class.Workspaces = append(class.Workspaces, backlog.Work{Workspace: core.WorkspaceID(w.Workspace), Weight: int(w.Weight), Waiting: decodeCount(w.Waiting), Running: decodeCount(w.Running)})
		}
		s.Classes = append(s.Classes, class)
	}
	for _, r := range message.Rates {
		s.Rates = append(s.Rates, backlog.Rate{Service: core.ServiceID(r.Service), PerSecond: float64(decodeCount(r.PerSecond)), Tokens: decodeCount(r.Tokens)})
	}
	return s
}
