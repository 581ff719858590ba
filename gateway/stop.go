package gateway

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
)

const (
	// streamShare is the share of a planned stop's grace time after which no
	// stream begins: it might not end within the grace time.
	streamShare = 0.3
	// endReserve is kept of the grace time by other calls: one that begins ends
	// before it, at its deadline at the latest.
	endReserve = 600 * time.Millisecond
	// stopRetry is what a caller is told whose call came too late; other fronts
	// can serve it at once.
	stopRetry = 20 * time.Millisecond
	// restartTime is what a front needs from its end until it serves again.
	restartTime = time.Second
)

// stop is a planned stop under way.
type stop struct {
	begun time.Time
	grace time.Duration
}

// mayBegin reports whether a call that comes now and is given up after a time
// can end within the grace time.
func (s *stop) mayBegin(kind core.CallKind, now time.Time, left time.Duration) bool {
	return s == nil || now.Before(s.begun.Add(s.open(kind, left)))
}

// open is how long calls of a kind begin at a front that stops. Those that come
// early enough for a stream may always begin.
func (s *stop) open(kind core.CallKind, left time.Duration) time.Duration {
	early := time.Duration(streamShare * float64(s.grace))
	if kind == core.Stream {
		return early
	}
	return max(early, s.grace-endReserve-left)
}

// retryAfter is when a caller whose call came too late finds a front that
// serves it: at once while others are registered or began their stop so lately
// that they still take such calls, otherwise when the first of those that stop
// is back.
func (s *stop) retryAfter(now time.Time, kind core.CallKind, callLeft time.Duration, self core.NodeID, v *fleet.View) time.Duration {
	for _, m := range v.Members {
		if m.Node != self {
			return stopRetry
		}
	}
	first := s.begun.Add(s.grace + restartTime)
	for _, left := range v.Departures {
		if now.Before(left.Add(s.open(kind, callLeft))) {
			return stopRetry
		}
		if back := left.Add(s.grace + restartTime); back.After(now) && back.Before(first) {
			first = back
		}
	}
	return max(first.Sub(now), stopRetry)
}
