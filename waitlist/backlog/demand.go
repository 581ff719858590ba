package backlog

import (
	"cmp"
	"math"
	"slices"

	"waxwingtide.example/waxwingtide/core"
)

// minLessUrgentShare is the share of the memory that less urgent work gets while more urgent
// work would use all of it, so that no class starves.
const minLessUrgentShare = 0.1

// Call is a call that asks for memory.
type Call struct {
	Priority  int
	Workspace core.WorkspaceID
	Weight    int
	Tokens    int
}

// Demand is the work of a service over all fronts.
type Demand struct {
	// classes are ordered by priority.
	classes []demandClass
}

type demandClass struct {
	priority   int
	workspaces []demandWork
	// index contains the positions in workspaces. It is nil in a copy.
	index map[core.WorkspaceID]int
	// other is the work of workspaces that are not listed, otherCount their number.
	other      demandWork
	otherCount int
	// largest is the largest call that has waited lately.
	largest int
}

// demandWork is the work of a workspace: that of this front, that of all fronts, and the
// waiting part of the latter.
type demandWork struct {
	workspace           core.WorkspaceID
	weight              float64
	own, total, waiting float64
}

func (w *demandWork) add(waiting, running int, own bool) {
	w.waiting += float64(waiting)
	w.total += float64(waiting + running)
	if own {
		w.own += float64(waiting + running)
	}
}

// NewDemand returns the demand for a service from the work of all other fronts and that of
// this front, which may be in several summaries.
func NewDemand(service core.ServiceID, others Summary, own ...Summary) Demand {
	var d Demand
	for _, s := range own {
		d.add(service, s, true)
	}
	d.add(service, others, false)
	return d
}

func (d *Demand) add(service core.ServiceID, s Summary, own bool) {
	for _, c := range s.Classes {
		if c.Service != service {
			continue
		}
		k := d.class(c.Priority)
		k.other.add(c.OtherWaiting, c.OtherRunning, own)
		k.otherCount += c.OtherWorkspaces
		k.largest = max(k.largest, c.LargestWaiting)
		for _, w := range c.Workspaces {
			k.workspace(w.Workspace, w.Weight).add(w.Waiting, w.Running, own)
		}
	}
}

// class returns the class of a priority, and creates it if there is none.
func (d *Demand) class(priority int) *demandClass {
	at, found := slices.BinarySearchFunc(d.classes, priority, func(k demandClass, p int) int { return cmp.Compare(k.priority, p) })
	if !found {
		d.classes = slices.Insert(d.classes, at, demandClass{priority: priority, index: make(map[core.WorkspaceID]int)})
	}
	return &d.classes[at]
}

// workspace returns the work of a workspace, and creates it if there is none.
func (k *demandClass) workspace(id core.WorkspaceID, weight int) *demandWork {
	at, found := k.index[id]
	if k.index == nil {
		at = slices.IndexFunc(k.workspaces, func(w demandWork) bool { return w.workspace == id })
		found = at >= 0
	}
	if !found {
		at = len(k.workspaces)
		k.workspaces = append(k.workspaces, demandWork{workspace: id, weight: float64(max(weight, 1))})
		if k.index != nil {
			k.index[id] = at
		}
	}
	return &k.workspaces[at]
}

// tokens returns the work of the class.
func (k *demandClass) tokens() float64 {
	sum := k.other.total
	for _, w := range k.workspaces {
		sum += w.total
	}
	return sum
}

func (k *demandClass) waiting() float64 {
	sum := k.other.waiting
	for _, w := range k.workspaces {
		sum += w.waiting
	}
	return sum
}

// Waiting returns the work of all waiting calls.
func (d Demand) Waiting() float64 {
	sum := 0.0
	for i := range d.classes {
		sum += d.classes[i].waiting()
	}
	return sum
}

// LargestWaiting returns the memory of the largest call that has waited lately and is not less
// urgent than a priority.
func (d Demand) LargestWaiting(priority int) int {
	largest := 0
	for _, k := range d.classes {
		if k.priority <= priority {
			largest = max(largest, k.largest)
		}
	}
	return largest
}

// With returns the demand with a call of this front that does not wait yet.
func (d Demand) With(c Call) Demand {
	d.classes = slices.Clone(d.classes)
	k := d.class(c.Priority)
	k.workspaces, k.index = slices.Clone(k.workspaces), nil
	k.workspace(c.Workspace, c.Weight).add(c.Tokens, 0, true)
	return d
}

// OwnLimit returns the memory that the calls of this front with a priority may use, of the
// memory of all engines. More urgent classes come first, except for the minimum share of less
// urgent ones. Within a class each workspace gets its weighted share, and the fronts with its
// calls divide that in proportion to them. The limit is infinite while there is memory for
// all work that is as urgent or more urgent. headroom is the memory that is left to calls more
// urgent than the class, beyond those that there are.
func (d Demand) OwnLimit(priority int, memory, headroom float64) float64 {
	left, lessUrgent := memory, 0.0
	for i := range d.classes {
		lessUrgent += d.classes[i].tokens()
	}
	for i := range d.classes {
		k := &d.classes[i]
		tokens := k.tokens()
		lessUrgent -= tokens
		if k.priority < priority {
			left -= min(tokens, left-min(lessUrgent, minLessUrgentShare*left))
			continue
		}
		left = max(left-headroom, min(left, minLessUrgentShare*memory))
		if tokens <= left {
			return math.Inf(1)
		}
		return k.ownShareOf(min(tokens, left-min(lessUrgent, minLessUrgentShare*left)))
	}
	return math.Inf(1)
}

// ownShareOf returns the part of this front in an amount of memory that the workspaces divide
// by max-min fairness.
func (k *demandClass) ownShareOf(memory float64) float64 {
	level := k.level(memory)
	own := min(k.other.total, level*float64(k.otherCount)) * k.other.own / max(k.other.total, 1)
	for _, w := range k.workspaces {
		own += min(w.total, level*w.weight) * w.own / max(w.total, 1)
	}
	return own
}

// level returns the memory for each unit of weight at which the workspaces use an amount of
// memory together. Workspaces that are not listed count as equally large ones with a weight
// of 1.
func (k *demandClass) level(memory float64) float64 {
	works := slices.Clone(k.workspaces)
	if k.otherCount > 0 {
		works = append(works, demandWork{weight: float64(k.otherCount), total: k.other.total})
	}
	slices.SortFunc(works, func(a, b demandWork) int { return cmp.Compare(a.total/a.weight, b.total/b.weight) })
	weights := 0.0
	for _, w := range works {
		weights += w.weight
	}
	for _, w := range works {
		if w.total/w.weight*weights >= memory {
			return memory / weights
		}
		memory -= w.total
		weights -= w.weight
	}
	return math.Inf(1)
}

// Before returns the waiting work that is served before a new call over all fronts: that of
// more urgent calls, and of each workspace of the same urgency at most as much for its weight
// as the call's own workspace has with this call.
func (d Demand) Before(c Call) float64 {
	before := 0.0
	for i := range d.classes {
		k := &d.classes[i]
		switch {
		case k.priority < c.Priority:
			before += k.waiting()
		case k.priority == c.Priority:
			before += k.before(c)
		}
	}
	return before
}

func (k *demandClass) before(c Call) float64 {
	own := 0.0
	for _, w := range k.workspaces {
		if w.workspace == c.Workspace {
			own = w.waiting
		}
	}
	sum, perWeight := own, (own+float64(c.Tokens))/float64(max(c.Weight, 1))
	for _, w := range k.workspaces {
		if w.workspace != c.Workspace {
			sum += min(w.waiting, perWeight*w.weight)
		}
	}
	return sum + min(k.other.waiting, perWeight*float64(k.otherCount))
}
