package waitlist

import (
	"maps"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
)

// Arrived records a new call, whether or not it has to wait.
func (l *List[T]) Arrived(now time.Time, service core.ServiceID, priority, tokens int) {
	s := l.service(service)
	r := s.arriving[priority]
	if r == nil {
		r = new(workRate)
		s.arriving[priority] = r
	}
	r.record(now, tokens)
}

// Started records an attempt that was sent to an engine, Ended its end.
func (l *List[T]) Started(attempt uint64, c backlog.RunningCall) { l.running.Start(attempt, c) }

// Ended records the end of an attempt. Attempts that were not recorded are ignored.
func (l *List[T]) Ended(attempt uint64) { l.running.End(attempt) }

// Running returns the memory that the calls of this front with a priority use.
func (l *List[T]) Running(service core.ServiceID, priority int) int {
	return l.running.Tokens(service, priority)
}

// SetOthers replaces what is known of the work of other fronts.
func (l *List[T]) SetOthers(now time.Time, others backlog.Summary) {
	l.others, l.othersAt = others, now
}

// ForgetOthers removes what is known of the work of other fronts.
func (l *List[T]) ForgetOthers() { l.others, l.othersAt = backlog.Summary{}, time.Time{} }

// OthersKnown reports whether the work of other fronts is known.
func (l *List[T]) OthersKnown(now time.Time) bool {
	return !l.othersAt.IsZero() && now.Sub(l.othersAt) <= backlog.TTL
}

// Others returns the work of other fronts, as far as it is known.
func (l *List[T]) Others(now time.Time) backlog.Summary {
	if !l.OthersKnown(now) {
		return backlog.Summary{}
	}
	return l.others
}

// Summary returns the summary of this front for the others.
func (l *List[T]) Summary(now time.Time) backlog.Summary { return l.own(now).Bounded() }

// own returns the summary of this front with all its workspaces.
func (l *List[T]) own(now time.Time) backlog.Summary {
	sum := backlog.Summary{Fronts: 1}
	l.running.AddTo(&sum)
	for id, s := range l.services {
		s.addTo(&sum, now, id)
	}
	return sum
}

// addTo adds the waiting and the arriving calls of a service to a summary.
func (s *service[T]) addTo(sum *backlog.Summary, now time.Time, id core.ServiceID) {
	waiting := 0
	for _, k := range s.classes {
		class := backlog.Class{Service: id, Priority: k.priority, Workspaces: make([]backlog.Work, 0, len(k.work))}
		for _, w := range k.work {
			class.Workspaces = append(class.Workspaces, w)
			waiting += w.Waiting
		}
		sum.AddClass(class)
	}
	for priority, rate := range s.arriving {
		if perSecond := rate.perSecond(now); perSecond >= 1 {
			sum.AddClass(backlog.Class{Service: id, Priority: priority, ArrivingPerSecond: perSecond, LargestWaiting: s.largestWaiting(now, priority)})
		}
	}
	if waiting > 0 && s.drain.known(now) {
		sum.Rates = append(sum.Rates, backlog.Rate{Service: id, PerSecond: s.drain.perSecond(now), Tokens: waiting})
	}
}

// largestTTL is the time for which the largest waiting call is remembered. It covers the time
// until engines have memory for calls of this size, and the next such calls.
const largestTTL = time.Second

// recentCall is the memory of a call that has waited at a time.
type recentCall struct {
	tokens int
	at     time.Time
}

// recordLargest records a waiting call.
func (s *service[T]) recordLargest(now time.Time, priority, tokens int) {
	if tokens >= s.largestWaiting(now, priority) {
		s.largest[priority] = recentCall{tokens: tokens, at: now}
	}
}

// largestWaiting returns the memory of the largest call that has waited lately.
func (s *service[T]) largestWaiting(now time.Time, priority int) int {
	if c := s.largest[priority]; now.Sub(c.at) <= largestTTL {
		return c.tokens
	}
	return 0
}

// Demand returns the work of a service at all fronts, as far as it is known.
func (l *List[T]) Demand(now time.Time, service core.ServiceID) backlog.Demand {
	var waiting, running backlog.Summary
	l.running.AddTo(&running)
	if s := l.services[service]; s != nil {
		s.addTo(&waiting, now, service)
	}
	return backlog.NewDemand(service, l.Others(now), running, waiting)
}

// MostUrgent returns the priority of the most urgent calls of a service that arrive at all
// fronts, and their work in tokens a second.
func (l *List[T]) MostUrgent(now time.Time, service core.ServiceID) (priority int, perSecond float64, ok bool) {
	return backlog.Add(l.own(now), l.Others(now)).MostUrgent(service)
}

// Services returns the services for which calls have arrived.
func (l *List[T]) Services() []core.ServiceID { return slices.Collect(maps.Keys(l.services)) }

// Precedes reports whether a more urgent call waits for the same service. A new call then
// waits as well, so that it does not take the memory that becomes free.
func (l *List[T]) Precedes(id core.ServiceID, priority int) bool {
	s := l.services[id]
	return s != nil && len(s.classes) > 0 && s.classes[0].priority < priority
}

// ExpectedWait returns the time until a new call would be placed, from the work that is
// served before it and the rate at which waiting work has been placed lately, both over all
// fronts as far as they are known. It returns false if that rate is not known yet.
func (l *List[T]) ExpectedWait(now time.Time, c Call[T]) (time.Duration, bool) {
	demand := l.Demand(now, c.Service)
	if demand.Waiting() == 0 {
		return 0, true
	}
	perSecond, known := l.drainRate(now, c.Service, demand)
	if !known {
		return 0, false
	}
	return timeFor(demand.Before(c.Request()), perSecond), true
}

// drainRate returns the rate at which waiting work is placed at all fronts. Fronts whose rate
// is not known are taken to place their work as fast as the others.
func (l *List[T]) drainRate(now time.Time, service core.ServiceID, demand backlog.Demand) (float64, bool) {
	own, others := l.own(now).Rate(service), l.Others(now).Rate(service)
	tokens := float64(own.Tokens + others.Tokens)
	if tokens == 0 {
		return 0, false
	}
	return (own.PerSecond + others.PerSecond) * demand.Waiting() / tokens, true
}

// Request returns what the call asks for.
func (c Call[T]) Request() backlog.Call {
	return backlog.Call{Priority: c.Priority, Workspace: c.Workspace, Weight: c.Weight, Tokens: c.Tokens}
}
