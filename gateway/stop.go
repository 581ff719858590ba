package gateway

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Shares of the grace time of a planned stop.
const (
	// streamShare is the share after which no stream begins: it might not end
	// within the grace time.
	streamShare = 0.3
	// callShare is the share after which no other call begins.
	callShare = 0.8
	// stopRetry is what a caller is told whose call came too late; other fronts
	// can serve it at once.
	stopRetry = 20 * time.Millisecond
)

// stop is a planned stop under way.
type stop struct {
	begun time.Time
	grace time.Duration
}

// mayBegin reports whether a call that comes now can end within the grace time.
func (s *stop) mayBegin(kind core.CallKind, now time.Time) bool {
	if s == nil {
		return true
	}
	share := callShare
	if kind == core.Stream {
		share = streamShare
	}
	return float64(now.Sub(s.begun)) < share*float64(s.grace)
}
