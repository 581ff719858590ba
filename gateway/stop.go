package gateway

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
)

const (
	// streamStartShare is the share of a planned stop's grace time after which streams
	// are refused, since they might not finish within the grace time.
	streamStartShare = 0.3
	// stopReserve is the end of the grace time in which no call should be running any
	// more. Once streams are refused, other calls are accepted only if their deadline
	// is before it.
	stopReserve = 600 * time.Millisecond
	// stopRetryAfter is the Retry-After value of a call that is refused because of the
	// stop while other fronts can serve it at once.
	stopRetryAfter = 20 * time.Millisecond
	// restartTime is the time that a front needs from its exit until it serves calls
	// again.
	restartTime = time.Second
)

// plannedStop is a planned stop in progress.
type plannedStop struct {
	startedAt time.Time
	grace     time.Duration
}

// accepts reports whether a call that is received now and has the given time until its
// deadline is accepted. In the first part of the grace time all calls are accepted,
// whatever their deadline. After it, streams are refused, and other calls are accepted
// only if their deadline is before the stop reserve. Without a planned stop s is nil,
// and all calls are accepted.
func (s *plannedStop) accepts(kind core.CallKind, now time.Time, remaining time.Duration) bool {
	return s == nil || now.Before(s.startedAt.Add(s.acceptPeriod(kind, remaining)))
}

// limitDeadline limits the deadline of an accepted call to the start of the stop
// reserve, so that the caller receives an error response before its connection is closed.
func (s *plannedStop) limitDeadline(deadline time.Time) time.Time {
	if s == nil {
		return deadline
	}
	if end := s.reserveStart(); end.Before(deadline) {
		return end
	}
	return deadline
}

// reserveStart returns the start of the stop reserve.
func (s *plannedStop) reserveStart() time.Time { return s.startedAt.Add(s.grace - stopReserve) }

// callContext returns the context of a call. It ends at the deadline of the call, when the
// stop reserve of a planned stop begins, or when the caller disconnects. Its cause is
// context.Canceled only if the caller has disconnected.
func (s *callState) callContext() (context.Context, context.CancelFunc) {
	ctx, cancelCause := context.WithCancelCause(s.request.Context())
	ctx, cancel := context.WithDeadline(ctx, s.deadline.Add(-responseMargin))
	detach := context.AfterFunc(s.gateway.callsEnd, func() { cancelCause(context.DeadlineExceeded) })
	return ctx, func() {
		detach()
		cancel()
		cancelCause(nil)
	}
}

// acceptPeriod returns the period after the start of the stop in which calls of a kind
// are accepted. It is never shorter than that of streams.
func (s *plannedStop) acceptPeriod(kind core.CallKind, remaining time.Duration) time.Duration {
	streamPeriod := time.Duration(streamStartShare * float64(s.grace))
	if kind == core.KindStream {
		return streamPeriod
	}
	return max(streamPeriod, s.grace-stopReserve-remaining)
}

// retryAfter returns the time after which a caller whose call is refused finds a
// front that serves it. It is stopRetryAfter while another member is registered or has
// deregistered so recently that it still accepts such calls. Otherwise it is the time
// until the first of the stopping fronts has restarted.
func (s *plannedStop) retryAfter(now time.Time, kind core.CallKind, remaining time.Duration, self core.NodeID, v *fleet.View) time.Duration {
	for _, m := range v.Members {
		if m.Node != self {
			return stopRetryAfter
		}
	}
	earliest := s.startedAt.Add(s.grace + restartTime)
	for _, departedAt := range v.Departures {
		if now.Before(departedAt.Add(s.acceptPeriod(kind, remaining))) {
			return stopRetryAfter
		}
		if restartedAt := departedAt.Add(s.grace + restartTime); restartedAt.After(now) && restartedAt.Before(earliest) {
			earliest = restartedAt
		}
	}
	return max(earliest.Sub(now), stopRetryAfter)
}
