package gateway

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/waitlist"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
)

const (
	// summaryInterval is the interval at which a front updates the summary of its calls for
	// the others. It is less than the interval of the exchange, which takes the newest one.
	summaryInterval = 150 * time.Millisecond
	// demandAge is the time for which the demand for a service is not computed again.
	demandAge = 10 * time.Millisecond
	// roundingShare is the share of a call's memory that must be left of the limit of the
	// front. Limits that are smaller than a call are rounded to whole calls.
	roundingShare = 0.5
	// limitSlack is the ratio of the memory that the calls of a front may use to its limit. The
	// limits follow the work of other fronts with a delay, and their sum would otherwise leave
	// memory unused. Whether an engine has memory is checked besides.
	limitSlack = 1.1
	// lastResortShare is the share of its waiting time after which a call is placed beyond
	// the limit if no call of its class runs. A front whose limit is less than half a call
	// would otherwise never place one.
	lastResortShare = 0.5
)

type waitingCall = waitlist.Call[*placeRequest]

// memoryShares divides the memory of engines among the calls of all fronts.
type memoryShares struct {
	headrooms map[core.ServiceID]*serviceHeadroom
	// demands are the demands by service as of demandsAt.
	demands   map[core.ServiceID]backlog.Demand
	demandsAt time.Time
	// known is set while the work of other fronts is known.
	known bool
}

// serviceHeadroom is the headroom for the most urgent calls of a service.
type serviceHeadroom struct {
	backlog.Headroom
	priority int
}

func newMemoryShares() *memoryShares {
	return &memoryShares{headrooms: make(map[core.ServiceID]*serviceHeadroom), demands: make(map[core.ServiceID]backlog.Demand)}
}

// usesEngine reports whether a call uses the memory of an engine.
func usesEngine(pending *placeRequest) bool { return pending.req.Prompt.Tokens > 0 }

// demand returns the demand for a service, at most demandAge old.
func (w *waitingCalls) demand(now time.Time, service core.ServiceID) backlog.Demand {
	if now.Sub(w.shares.demandsAt) > demandAge {
		clear(w.shares.demands)
		w.shares.demandsAt = now
	}
	d, ok := w.shares.demands[service]
	if !ok {
		d = w.list.Demand(now, service)
		w.shares.demands[service] = d
	}
	return d
}

// allowMemory reports whether the calls of this front may use more memory of engines, and sets
// the front's share in the request. Without knowledge of other fronts each call may.
func (r *router) allowMemory(now time.Time, c *waitingCall, waits bool) bool {
	pending := c.Value
	pending.req.MemoryShare, pending.req.LargestWaiting = 0, 0
	if !usesEngine(pending) || !r.waiting.list.OthersKnown(now) {
		return true
	}
	memory, runTime := r.placer.UsableMemory(now, pending.req)
	if memory <= 0 {
		return true
	}
	demand := r.waiting.demand(now, c.Service)
	if !waits {
		demand = demand.With(c.Request())
	}
	pending.req.LargestWaiting = demand.LargestWaiting(c.Priority)
	headroom := r.waiting.shares.headroom(c, runTime, memory)
	limit := demand.OwnLimit(c.Priority, memory, headroom)
	if math.IsInf(limit, 1) {
		return true
	}
	running := r.waiting.list.Running(c.Service, c.Priority)
	pending.req.MemoryShare = limit / memory
	if float64(running)+roundingShare*float64(c.Tokens) <= limitSlack*limit || running == 0 && pending.req.WaitedShare >= lastResortShare {
		return true
	}
	if !waits {
		r.waiting.metrics.heldBack.Add(1)
	}
	return false
}

// headroom returns the memory that is left to calls that are more urgent than a call.
func (s *memoryShares) headroom(c *waitingCall, runTime time.Duration, memory float64) float64 {
	h := s.headrooms[c.Service]
	if h == nil || c.Priority <= h.priority {
		return 0
	}
	return h.Tokens(runTime, memory)
}

// recordStart records a call that was sent to an engine.
func (r *router) recordStart(c waitingCall, result placementResult) {
	if result.refusal == placement.NotRefused && usesEngine(c.Value) {
		r.waiting.list.Started(uint64(result.choice.AttemptID), backlog.RunningCall{Call: c.Request(), Service: c.Service})
	}
}

// applyOthers replaces what is known of the calls of other fronts.
func (r *router) applyOthers(now time.Time, others backlog.Summary) {
	r.waiting.list.SetOthers(now, others)
	for _, service := range r.waiting.list.Services() {
		r.placer.SetOthersRunning(now, service, others.Running(service), others.Fronts)
	}
}

// publishSummary sends the other fronts the summary of this front's calls.
func (r *router) publishSummary(now time.Time) {
	r.observations.RecordBacklog(r.waiting.list.Summary(now))
	known := r.waiting.list.OthersKnown(now)
	r.waiting.metrics.othersFronts.Store(int64(r.waiting.list.Others(now).Fronts))
	if known != r.waiting.shares.known {
		r.waiting.shares.known = known
		r.log.WithFields(logrus.Fields{"event": "backlog_of_fronts", "known": known}).Info("knowledge of the calls of other fronts has changed")
	}
	for _, service := range r.waiting.list.Services() {
		r.waiting.shares.observe(now, r.waiting.list, service)
	}
}

// observe updates the headroom of a service.
func (s *memoryShares) observe(now time.Time, list *waitlist.List[*placeRequest], service core.ServiceID) {
	priority, perSecond, ok := list.MostUrgent(now, service)
	h := s.headrooms[service]
	if h == nil && !ok {
		return
	}
	if h == nil {
		h = &serviceHeadroom{priority: priority}
		s.headrooms[service] = h
	}
	if ok && priority < h.priority {
		*h = serviceHeadroom{priority: priority}
	}
	if !ok || priority > h.priority {
		perSecond = 0
	}
	h.Observe(now, perSecond)
}
