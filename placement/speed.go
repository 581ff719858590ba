package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement/pace"
)

// plainOverdueFactor is the multiple of the expected time by which a call of a plain service
// must be overdue to count as late.
const plainOverdueFactor = 2.0

// serviceSpeed is the speed of the upstreams of a service at their usual pace.
type serviceSpeed struct {
	reading pace.ReadingRate
	typical pace.TypicalTime
	waiting pace.WaitingDelay
}

func (pl *Placer) speed(service core.ServiceID) *serviceSpeed {
	s := pl.speeds[service]
	if s == nil {
		s = new(serviceSpeed)
		pl.speeds[service] = s
	}
	return s
}

// readingRate returns the rate in tokens per millisecond at which the engines of a service
// read prompts.
func (pl *Placer) readingRate(service core.ServiceID) float64 {
	return pl.speed(service).reading.PerMs(pl.opts.PrefillTokensPerMs)
}

// usualMs estimates the time to the first byte at an upstream that works at its usual pace,
// in milliseconds and without transfers.
func (pl *Placer) usualMs(now time.Time, service *catalog.Service, u *upstream, p plan) float64 {
	load := u.load(now)
	if service.Engine == nil {
		load = pl.expectedLoad(now, service.ID, u)
		return pl.speed(service.ID).typical.Ms(baseCallCost) * (1 + load/max(float64(u.row.Slots), 1))
	}
	return baseCallCost + float64(u.unreadTokens+p.readTokens)/pl.readingRate(service.ID) + runningCallCost*load
}

// queueMs estimates the time for which a call waits at an engine behind calls that the
// engine has no memory for, in milliseconds.
func (pl *Placer) queueMs(now time.Time, service *catalog.Service, u *upstream) float64 {
	if service.Engine == nil {
		return 0
	}
	return pl.speed(service.ID).waiting.PerCallMs() * u.waiting(now)
}

// workMs estimates the time to the first byte at an upstream at its current pace, in
// milliseconds and without transfers and lateness.
func (pl *Placer) workMs(now time.Time, service *catalog.Service, u *upstream, p plan) float64 {
	return pl.usualMs(now, service, u, p)*u.slowdown.Current(now) + pl.queueMs(now, service, u)
}

// unexplainedLatenessMs returns the lateness of an upstream that its pace does not explain.
// The observed slowdown contains the responses that were late, so that workMs would count
// their delay again. The expected times of responses contain announced slowdowns.
//
// The times of the calls of a plain service differ by a multiple among each other. Their
// lateness would hide the loads, and their slowdown contains it: only a call that is overdue
// by several times its expected time counts.
func (u *upstream) unexplainedLatenessMs(now time.Time, plain bool, workMs float64) float64 {
	if plain {
		return max(u.longestOverdueMs(now)-plainOverdueFactor*workMs, 0)
	}
	late := u.lateness.current(now) + max(u.longestOverdueMs(now), 0)
	if slowdown := u.slowdown.Current(now); slowdown > 1 && !u.slowdown.Announced(now) {
		late -= workMs * (1 - 1/slowdown)
	}
	return max(late, 0)
}

// observeSpeed records the time to the first byte of a success that had no transfers.
func (pl *Placer) observeSpeed(now time.Time, u *upstream, a *attempt, firstByte time.Duration) {
	if firstByte <= 0 || len(a.transfers) > 0 {
		return
	}
	service := pl.services[u.row.Service]
	if service == nil {
		return
	}
	ms := float64(firstByte.Microseconds()) / 1000
	if a.waiting < 1 {
		u.slowdownSample, u.slowdownSampleAt = ms/a.usualMs, now
		u.slowdown.Observe(now, u.slowdownSample)
	}
	announced := 1.0
	if u.slowdown.Announced(now) {
		announced = u.slowdown.Current(now)
	}
	speed := pl.speed(service.ID)
	if a.waiting >= 1 {
		speed.waiting.Observe(a.waiting, ms-a.usualMs*announced)
		return
	}
	if service.Engine == nil {
		speed.typical.Observe(baseCallCost, ms/announced)
		return
	}
	readMs := ms/announced - baseCallCost
	speed.reading.Observe(pl.opts.PrefillTokensPerMs, a.readTokens, time.Duration(readMs*float64(time.Millisecond)))
}

// SlowdownSample returns the slowdown that a response at a point in time has shown, or 0.
func (pl *Placer) SlowdownSample(at time.Time, id core.UpstreamID) float64 {
	u := pl.upstreams[id]
	if u == nil || !u.slowdownSampleAt.Equal(at) {
		return 0
	}
	return u.slowdownSample
}

// Pace is the pace of an upstream for metrics and logs.
type Pace struct {
	Upstream  core.UpstreamID
	Service   core.ServiceID
	Slowdown  float64
	Announced bool
	Age       time.Duration
}

// Paces returns the paces of all upstreams that have announced one or responded.
func (pl *Placer) Paces(now time.Time) []Pace {
	out := make([]Pace, 0, len(pl.upstreams))
	for id, u := range pl.upstreams {
		if age, ok := u.slowdown.Age(now); ok {
			out = append(out, Pace{Upstream: id, Service: u.row.Service, Slowdown: u.slowdown.Current(now), Announced: u.slowdown.Announced(now), Age: age})
		}
	}
	return out
}

// ServiceSpeed is the estimated speed of the upstreams of a service at their usual pace, for
// metrics and logs. A service has either the first two figures or the last.
type ServiceSpeed struct {
	Service         core.ServiceID
	ReadTokensPerMs float64
	WaitingCallMs   float64
	TypicalMs       float64
}

// DiffersFrom reports whether a figure differs from that of an earlier speed by a ratio or
// more.
func (s ServiceSpeed) DiffersFrom(earlier ServiceSpeed, ratio float64) bool {
	differs := func(a, b float64) bool { return a != b && (a >= b*ratio || b >= a*ratio) }
	return differs(s.ReadTokensPerMs, earlier.ReadTokensPerMs) || differs(s.WaitingCallMs, earlier.WaitingCallMs) || differs(s.TypicalMs, earlier.TypicalMs)
}

// ServiceSpeeds returns the speed of each service to which calls have been placed.
func (pl *Placer) ServiceSpeeds() []ServiceSpeed {
	var out []ServiceSpeed
	for id, speed := range pl.speeds {
		service := pl.services[id]
		switch {
		case service == nil:
		case service.Engine != nil:
			out = append(out, ServiceSpeed{Service: id, ReadTokensPerMs: pl.readingRate(id), WaitingCallMs: speed.waiting.PerCallMs()})
		default:
			out = append(out, ServiceSpeed{Service: id, TypicalMs: speed.typical.Ms(baseCallCost)})
		}
	}
	return out
}
