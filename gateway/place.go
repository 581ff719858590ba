package gateway

import (
	"context"
	"errors"
	"time"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// maxPlacementsPerTurn is the number of calls that are placed before the router takes
	// changes of the view again.
	maxPlacementsPerTurn = 64
	// maxPausedRetryAfter is the maximum Retry-After value of a call whose upstreams have
	// asked for a pause. Other processes may still use them, and others may be started.
	maxPausedRetryAfter = 10 * time.Second
	// maxReturnSpread is the maximum time over which the callers return that were refused
	// during a pause, and returnSpreadShare that time as a share of the rest of the pause.
	// They would otherwise all return at its end.
	maxReturnSpread   = time.Second
	returnSpreadShare = 0.25
)

// placeRequest is a handler's request to place a call. The call may wait for the memory
// of an engine until waitUntil.
type placeRequest struct {
	req       placement.Request
	priority  int
	waitUntil time.Time
	// deadline is when the caller stops waiting.
	deadline time.Time
	// trial is set when the call is a trial of a part in quarantine.
	trial bool
	reply *ring.Ring[placementResult]
}

// placementResult is the router's response to a placeRequest.
type placementResult struct {
	choice  placement.Choice
	refusal placement.Refusal
	// retryAfter is the time after which a call in quarantine, or one whose upstreams have
	// asked for a pause, may be placed, or after which the caller of a call for which no
	// engine has memory should return.
	retryAfter time.Duration
	idleConns  upstreamhttp.IdlePool
}

// place requests the placement of a call. A full ring is returned as a refusal, since
// the process is overloaded.
func (r *router) place(ctx context.Context, request placeRequest) (placementResult, error) {
	p, err := ring.TryRequest(ctx, r.placeRequests, func(reply *ring.Ring[placementResult]) placeRequest {
		request.reply = reply
		return request
	})
	if errors.Is(err, ring.ErrFull) {
		return placementResult{refusal: placement.Limited}, nil
	}
	return p, errs.Wrap(err, errs.Unavailable, "retry", "call ended before it was placed")
}

// placeCalls places queued calls, up to maxPlacementsPerTurn. Calls may arrive as fast as
// they are placed, and a report may exclude an upstream, so that reports are processed
// before each call.
func (r *router) placeCalls() {
	for range maxPlacementsPerTurn {
		pending, ok := r.placeRequests.TryReceive()
		if !ok {
			return
		}
		r.takeReports()
		r.placeCall(time.Now(), pending)
	}
}

// placeCall places a call and sends the result to its handler. A call for which no engine
// has memory waits, also one that would take the memory for which more urgent calls wait.
func (r *router) placeCall(now time.Time, pending placeRequest) {
	c := newWaitingCall(now, &pending)
	if usesEngine(&pending) {
		r.waiting.list.Arrived(now, c.Service, c.Priority, c.Tokens)
	}
	if r.waiting.list.Precedes(pending.req.Service, pending.priority) {
		if r.waiting.add(now, c) {
			return
		}
	}
	result := placementResult{refusal: placement.MemoryFull}
	if r.allowMemory(now, &c, false) {
		result = r.choose(now, &pending)
	}
	if result.refusal == placement.MemoryFull {
		if r.waiting.add(now, c) {
			return
		}
		r.waiting.metrics.refusedAtOnce.Add(1)
		result = r.memoryRefusal(now, c)
	}
	r.recordStart(c, result)
	r.reply(now, pending, result)
}

// reply sends the result of a placement to the handler of the call.
func (r *router) reply(now time.Time, pending placeRequest, result placementResult) {
	choice, refusal := result.choice, result.refusal
	if refusal == placement.NotRefused {
		result.idleConns = r.connections[choice.Upstream.ID].idle
	}
	if !pending.reply.Offer(result) && refusal == placement.NotRefused {
		// The call ended before the handler received its placement.
		r.placer.RecordReport(now, placement.Report{
			AttemptID: choice.AttemptID, Upstream: choice.Upstream.ID, Final: true, Result: placement.Abandoned,
		})
		r.waiting.list.Ended(uint64(choice.AttemptID))
	}
}

// choose places a call unless a part of its prompt is in quarantine.
func (r *router) choose(now time.Time, pending *placeRequest) placementResult {
	if wait, refused := r.checkQuarantine(now, pending); refused {
		return placementResult{refusal: placement.Quarantined, retryAfter: wait}
	}
	request := pending.req
	choice, refusal := r.chooseVersion(now, request)
	switch refusal {
	case placement.NotRefused:
		r.rollouts.RecordPlaced(choice.Upstream)
	case placement.NoUpstream:
		if wait, paused := r.placer.PauseRemaining(now, request); paused {
			return placementResult{refusal: placement.Paused, retryAfter: r.returnTime(wait)}
		}
	}
	return placementResult{choice: choice, refusal: refusal}
}

// returnTime returns the Retry-After value of a call that is refused during a pause.
func (r *router) returnTime(remaining time.Duration) time.Duration {
	remaining = min(remaining, maxPausedRetryAfter)
	spread := min(time.Duration(returnSpreadShare*float64(remaining)), maxReturnSpread)
	return remaining + time.Duration(r.random()*float64(spread))
}

// chooseVersion places a call at the upstreams that a rollout allows. If no upstream of
// the new version can take the call, it tries the old version.
func (r *router) chooseVersion(now time.Time, request placement.Request) (placement.Choice, placement.Refusal) {
	request.RolloutFilter = r.rollouts.FilterFor(now, request.Service, r.random())
	choice, refusal := r.placer.Choose(now, request)
	if refusal == placement.NoUpstream || refusal == placement.Limited || refusal == placement.MemoryFull {
		if alternative, ok := r.rollouts.Fallback(request.Service, request.RolloutFilter); ok {
			request.RolloutFilter = alternative
			return r.placer.Choose(now, request)
		}
	}
	return choice, refusal
}
