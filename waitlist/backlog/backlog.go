// Package backlog describes the calls of the fronts that use or wait for the memory of engines,
// and divides that memory among the fronts. Fronts exchange summaries of their calls.
// Summaries can be added up, so that a message does not grow with the number of fronts. The
// package performs no I/O and reads no clock.
package backlog

import (
	"cmp"
	"slices"

	"waxwingtide.example/waxwingtide/core"
)

const (
	// MaxWorkspaces is the number of workspaces that a summary lists in each class with waiting
	// calls, those with the most work. The others are added up.
	MaxWorkspaces = 4
	// MaxClasses is the number of classes in a summary.
	MaxClasses = 64
)

// Work is the work of a workspace, measured in tokens of memory.
type Work struct {
	Workspace core.WorkspaceID
	// Weight is the weight of the workspace. A weight below 1 is treated as 1.
	Weight int
	// Waiting is the work of waiting calls, Running that of calls at engines.
	Waiting, Running int
}

func (w Work) tokens() int { return w.Waiting + w.Running }

// Class describes the calls of a service that are equally urgent.
type Class struct {
	Service core.ServiceID
	// Priority is the urgency of the calls; 0 is the most urgent.
	Priority   int
	Workspaces []Work
	// OtherWorkspaces is the number of further workspaces, OtherWaiting and OtherRunning their
	// work. A workspace with calls at several fronts may be counted several times.
	OtherWorkspaces            int
	OtherWaiting, OtherRunning int
	// ArrivingPerSecond is the work of new calls in tokens a second, whether or not they wait.
	ArrivingPerSecond float64
	// LargestWaiting is the memory of the largest call that has waited lately.
	LargestWaiting int
}

// Rate is the rate at which waiting work of a service is placed.
type Rate struct {
	Service   core.ServiceID
	PerSecond float64
	// Tokens is the waiting work of the fronts at which the rate is known.
	Tokens int
}

// Summary describes the calls of one or more fronts.
type Summary struct {
	// Classes are ordered by service and priority.
	Classes []Class
	Rates   []Rate
	// Fronts is the number of fronts.
	Fronts int
}

// Rate returns the rate of a service.
func (s Summary) Rate(service core.ServiceID) Rate {
	for _, r := range s.Rates {
		if r.Service == service {
			return r
		}
	}
	return Rate{Service: service}
}

// Running returns the memory that the calls of a service use.
func (s Summary) Running(service core.ServiceID) int {
	sum := 0
	for _, c := range s.Classes {
		if c.Service != service {
			continue
		}
		sum += c.OtherRunning
		for _, w := range c.Workspaces {
			sum += w.Running
		}
	}
	return sum
}

// MostUrgent returns the priority of the most urgent calls of a service that arrive, and their
// work in tokens a second.
func (s Summary) MostUrgent(service core.ServiceID) (priority int, perSecond float64, ok bool) {
	for _, c := range s.Classes {
		if c.Service == service && c.ArrivingPerSecond > 0 && (!ok || c.Priority < priority) {
			priority, perSecond, ok = c.Priority, c.ArrivingPerSecond, true
		}
	}
	return priority, perSecond, ok
}

// Add returns the sum of two summaries, within the bounds of a summary.
func Add(a, b Summary) Summary {
	sum := Summary{Rates: slices.Clone(a.Rates), Fronts: a.Fronts + b.Fronts}
	for _, c := range slices.Concat(a.Classes, b.Classes) {
		sum.AddClass(c)
	}
	for _, r := range b.Rates {
		sum.addRate(r)
	}
	return sum.Bounded()
}

func (s *Summary) addRate(r Rate) {
	for i := range s.Rates {
		if s.Rates[i].Service == r.Service {
			s.Rates[i].PerSecond += r.PerSecond
			s.Rates[i].Tokens += r.Tokens
			return
		}
	}
	s.Rates = append(s.Rates, r)
}

// AddClass adds a class to a summary that has no bounds yet.
func (s *Summary) AddClass(c Class) {
	at, found := slices.BinarySearchFunc(s.Classes, c, compareClasses)
	if !found {
		c.Workspaces = slices.Clone(c.Workspaces)
		s.Classes = slices.Insert(s.Classes, at, c)
		return
	}
	to := &s.Classes[at]
	to.OtherWorkspaces += c.OtherWorkspaces
	to.OtherWaiting += c.OtherWaiting
	to.OtherRunning += c.OtherRunning
	to.ArrivingPerSecond += c.ArrivingPerSecond
	to.LargestWaiting = max(to.LargestWaiting, c.LargestWaiting)
	for _, w := range c.Workspaces {
		to.addWork(w)
	}
}

func (c *Class) addWork(w Work) {
	for i := range c.Workspaces {
		if c.Workspaces[i].Workspace == w.Workspace {
			c.Workspaces[i].Waiting += w.Waiting
			c.Workspaces[i].Running += w.Running
			c.Workspaces[i].Weight = max(c.Workspaces[i].Weight, w.Weight)
			return
		}
	}
	c.Workspaces = append(c.Workspaces, w)
}

// Bounded returns the summary with the first MaxClasses classes and rates, and with the
// MaxWorkspaces largest workspaces of each class.
func (s Summary) Bounded() Summary {
	slices.SortFunc(s.Classes, compareClasses)
	s.Classes = s.Classes[:min(len(s.Classes), MaxClasses)]
	s.Rates = s.Rates[:min(len(s.Rates), MaxClasses)]
	for i := range s.Classes {
		s.Classes[i].bound()
	}
	return s
}

func (c *Class) bound() {
	slices.SortFunc(c.Workspaces, func(a, b Work) int {
		return cmp.Or(cmp.Compare(b.tokens(), a.tokens()), cmp.Compare(a.Workspace, b.Workspace))
	})
	listed := min(len(c.Workspaces), MaxWorkspaces)
	if !c.hasWaiting() {
		listed = 0
	}
	for _, w := range c.Workspaces[listed:] {
		c.OtherWorkspaces++
		c.OtherWaiting += w.Waiting
		c.OtherRunning += w.Running
	}
	c.Workspaces = c.Workspaces[:listed]
}

func (c *Class) hasWaiting() bool {
	return c.OtherWaiting > 0 || slices.ContainsFunc(c.Workspaces, func(w Work) bool { return w.Waiting > 0 })
}

func compareClasses(a, b Class) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
}
