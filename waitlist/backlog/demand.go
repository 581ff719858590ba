package backlog

import (
	"cmp"
	"slices"

	"waxwingtide.example/waxwingtide/core"
)

// minLessUrgentShare is the share of free memory that less urgent work gets while more urgent
// work takes all the rest, so that no class starves.
const minLessUrgentShare = 0.1

// Call is a call that asks for memory.
type Call struct {
	Priority  int
	Workspace core.WorkspaceID
	Weight    int
	Tokens    int
}

// Demand is the waiting work of a service over all fronts.
type Demand struct {
	// classes are ordered by priority.
	classes []demandClass
}

type demandClass struct {
	priority   int
	workspaces []demandWork
	// ownOther and other are the work of workspaces that are not listed, at this front and
	// over all fronts, otherWorkspaces their number.
	ownOther, other float64
	otherWorkspaces int
}

// demandWork is the waiting work of a workspace, at this front and over all fronts.
type demandWork struct {
	workspace  core.WorkspaceID
	weight     float64
	own, total float64
}

// NewDemand returns the demand for a service from the waiting work of this front and that of
// all others.
func NewDemand(service core.ServiceID, own, others Summary) Demand {
	var d Demand
	d.add(service, own, true)
	d.add(service, others, false)
	return d
}

func (d *Demand) add(service core.ServiceID, s Summary, own bool) {
	for _, c := range s.Classes {
		if c.Service != service || c.Tokens() == 0 {
			continue
		}
		k := d.class(c.Priority)
		k.other += float64(c.OtherTokens)
		k.otherWorkspaces += c.OtherWorkspaces
		if own {
			k.ownOther += float64(c.OtherTokens)
		}
		for _, w := range c.Workspaces {
			k.add(w.Workspace, w.Weight, float64(w.Tokens), own)
		}
	}
}

// class returns the class of a priority, and creates it if there is none.
func (d *Demand) class(priority int) *demandClass {
	at, found := slices.BinarySearchFunc(d.classes, priority, func(k demandClass, p int) int { return cmp.Compare(k.priority, p) })
	if !found {
		d.classes = slices.Insert(d.classes, at, demandClass{priority: priority})
	}
	return &d.classes[at]
}

func (k *demandClass) add(workspace core.WorkspaceID, weight int, tokens float64, own bool) {
	at := slices.IndexFunc(k.workspaces, func(w demandWork) bool { return w.workspace == workspace })
	if at < 0 {
		at = len(k.workspaces)
		k.workspaces = append(k.workspaces, demandWork{workspace: workspace, weight: float64(max(weight, 1))})
	}
	k.workspaces[at].total += tokens
	if own {
		k.workspaces[at].own += tokens
	}
}

func (k *demandClass) tokens() float64 {
	sum := k.other
	for _, w := range k.workspaces {
		sum += w.total
	}
	return sum
}

// With returns the demand with a call that does not wait yet.
func (d Demand) With(c Call) Demand {
	d.classes = slices.Clone(d.classes)
	k := d.class(c.Priority)
	k.workspaces = slices.Clone(k.workspaces)
	k.add(c.Workspace, c.Weight, float64(c.Tokens), true)
	return d
}

// Share returns the share of the free memory that this front may use for calls of a priority.
// More urgent classes come first, except for the minimum share of less urgent ones. Within a
// class each workspace gets its weighted share, and the fronts with its calls divide that in
// proportion to them. A front is not limited while there is memory for all work that is as
// urgent or more urgent.
func (d Demand) Share(priority int, free float64) float64 {
	left, less := free, d.totalTokens()
	for i := range d.classes {
		k := &d.classes[i]
		demand := k.tokens()
		less -= demand
		if k.priority >= priority && demand <= left {
			return 1
		}
		granted := min(demand, left-min(less, minLessUrgentShare*left))
		if k.priority >= priority {
			return k.ownShareOf(granted) * granted / max(free, 1)
		}
		left -= granted
	}
	return 1
}

func (d Demand) totalTokens() float64 {
	sum := 0.0
	for i := range d.classes {
		sum += d.classes[i].tokens()
	}
	return sum
}

// ownShareOf returns the share of this front in an amount of work that the workspaces get by
// max-min fairness.
func (k *demandClass) ownShareOf(granted float64) float64 {
	level := k.level(granted)
	own, all := min(k.ownOther, k.otherLimit(level)*k.ownOther/max(k.other, 1)), min(k.other, k.otherLimit(level))
	for _, w := range k.workspaces {
		gets := min(w.total, level*w.weight)
		all += gets
		own += gets * w.own / max(w.total, 1)
	}
	return own / max(all, 1)
}

func (k *demandClass) otherLimit(level float64) float64 { return level * float64(k.otherWorkspaces) }

// level returns the work for each unit of weight at which the workspaces get an amount of work
// together. Workspaces that are not listed count as equally large ones with a weight of 1.
func (k *demandClass) level(granted float64) float64 {
	type share struct{ perWeight, weight, tokens float64 }
	shares := make([]share, 0, len(k.workspaces)+1)
	weights := 0.0
	add := func(weight, tokens float64) {
		shares = append(shares, share{tokens / weight, weight, tokens})
		weights += weight
	}
	for _, w := range k.workspaces {
		add(w.weight, w.total)
	}
	if k.other > 0 {
		add(float64(max(k.otherWorkspaces, 1)), k.other)
	}
	slices.SortFunc(shares, func(a, b share) int { return cmp.Compare(a.perWeight, b.perWeight) })
	for _, s := range shares {
		if s.perWeight*weights >= granted {
			break
		}
		granted -= s.tokens
		weights -= s.weight
	}
	if weights <= 0 {
		return shares[len(shares)-1].perWeight
	}
	return granted / weights
}

// Before returns the work that is served before a new call over all fronts: that of more
// urgent calls, and of each workspace of the same urgency at most as much for its weight as
// the call's own workspace has with this call.
func (d Demand) Before(c Call) float64 {
	before := 0.0
	for i := range d.classes {
		k := &d.classes[i]
		switch {
		case k.priority < c.Priority:
			before += k.tokens()
		case k.priority == c.Priority:
			before += k.before(c)
		}
	}
	return before
}

func (k *demandClass) before(c Call) float64 {
	own := float64(c.Tokens)
	sum := 0.0
	for _, w := range k.workspaces {
		if w.workspace == c.Workspace {
			own += w.total
			sum += w.total
		}
	}
	perWeight := own / float64(max(c.Weight, 1))
	for _, w := range k.workspaces {
		if w.workspace != c.Workspace {
			sum += min(w.total, perWeight*w.weight)
		}
	}
	return sum + min(k.other, k.otherLimit(perWeight))
}

// HasMoreUrgent reports whether calls wait that are more urgent than a priority.
func (d Demand) HasMoreUrgent(priority int) bool {
	return len(d.classes) > 0 && d.classes[0].priority < priority
}

// Tokens returns the work of all classes.
func (d Demand) Tokens() float64 { return d.totalTokens() }
