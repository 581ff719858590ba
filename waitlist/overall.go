package waitlist

import (
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

// SetOthers replaces what is known of the work that waits at other fronts.
func (l *List[T]) SetOthers(now time.Time, others backlog.Summary) {
	l.others, l.othersAt = others, now
}

// OthersKnown reports whether the work that waits at other fronts is known.
func (l *List[T]) OthersKnown(now time.Time) bool {
	return !l.othersAt.IsZero() && now.Sub(l.othersAt) <= backlog.TTL
}

// Others returns the work that waits at other fronts, as far as it is known.
func (l *List[T]) Others(now time.Time) backlog.Summary {
	if !l.OthersKnown(now) {
		return backlog.Summary{}
	}
	return l.others
}

// Summary returns the summary of this front for the others.
func (l *List[T]) Summary(now time.Time) backlog.Summary {
	var sum backlog.Summary
	for id := range l.services {
		own := l.ownSummary(now, id)
		sum.Classes, sum.Rates = append(sum.Classes, own.Classes...), append(sum.Rates, own.Rates...)
	}
	return sum.Bounded()
}

// ownSummary returns the summary of a service with all its workspaces.
func (l *List[T]) ownSummary(now time.Time, id core.ServiceID) backlog.Summary {
	var sum backlog.Summary
	s := l.services[id]
	if s == nil {
		return sum
	}
	waiting := 0
	for _, k := range s.classes {
		class := backlog.Class{Service: id, Priority: k.priority, Workspaces: make([]backlog.Work, 0, len(k.work))}
		for _, w := range k.work {
			class.Workspaces = append(class.Workspaces, w)
			waiting += w.Tokens
		}
		sum.Classes = append(sum.Classes, class)
	}
	for priority, rate := range s.arriving {
		sum.Classes = addArriving(sum.Classes, backlog.Class{Service: id, Priority: priority, ArrivingPerSecond: rate.perSecond(now)})
	}
	if waiting > 0 && s.drain.known(now) {
		sum.Rates = append(sum.Rates, backlog.Rate{Service: id, PerSecond: s.drain.perSecond(now), Tokens: waiting})
	}
	return sum
}

// addArriving adds the rate of new calls to the class of its priority.
func addArriving(classes []backlog.Class, c backlog.Class) []backlog.Class {
	at := slices.IndexFunc(classes, func(k backlog.Class) bool { return k.Priority == c.Priority })
	if at < 0 {
		return append(classes, c)
	}
	classes[at].ArrivingPerSecond = c.ArrivingPerSecond
	return classes
}

// Demand returns the work that waits for a service at all fronts, as far as it is known.
func (l *List[T]) Demand(now time.Time, service core.ServiceID) backlog.Demand {
	return backlog.NewDemand(service, l.ownSummary(now, service), l.Others(now))
}

// MoreUrgentArrivingPerSecond returns the work of new calls of a service at all fronts that are
// more urgent than a priority, in tokens a second.
func (l *List[T]) MoreUrgentArrivingPerSecond(now time.Time, service core.ServiceID, priority int) float64 {
	return l.ownSummary(now, service).ArrivingPerSecond(service, priority) + l.Others(now).ArrivingPerSecond(service, priority)
}

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
	if demand.Tokens() == 0 {
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
	own, others := l.ownSummary(now, service).Rate(service), l.Others(now).Rate(service)
	tokens := float64(own.Tokens + others.Tokens)
	if tokens == 0 {
		return 0, false
	}
	return (own.PerSecond + others.PerSecond) * demand.Tokens() / tokens, true
}

// Request returns what the call asks for.
func (c Call[T]) Request() backlog.Call {
	return backlog.Call{Priority: c.Priority, Workspace: c.Workspace, Weight: c.Weight, Tokens: c.Tokens}
}
