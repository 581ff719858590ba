package backlog

import "waxwingtide.example/waxwingtide/core"

// RunningCall is a call that uses the memory of an engine.
type RunningCall struct {
	Call
	Service core.ServiceID
}

// Running contains the calls of this front that use the memory of engines, by an identifier K
// of the attempt.
type Running[K comparable] struct {
	calls map[K]RunningCall
	work  map[classID]map[core.WorkspaceID]Work
}

type classID struct {
	service  core.ServiceID
	priority int
}

// NewRunning returns an empty set.
func NewRunning[K comparable]() *Running[K] {
	return &Running[K]{calls: make(map[K]RunningCall), work: make(map[classID]map[core.WorkspaceID]Work)}
}

// Start adds a call.
func (r *Running[K]) Start(id K, c RunningCall) {
	r.calls[id] = c
	r.change(c, c.Tokens)
}

// End removes a call.
func (r *Running[K]) End(id K) {
	if c, ok := r.calls[id]; ok {
		delete(r.calls, id)
		r.change(c, -c.Tokens)
	}
}

func (r *Running[K]) change(c RunningCall, tokens int) {
	id := classID{c.Service, c.Priority}
	workspaces := r.work[id]
	if workspaces == nil {
		workspaces = make(map[core.WorkspaceID]Work)
		r.work[id] = workspaces
	}
	w := workspaces[c.Workspace]
	w.Workspace, w.Weight = c.Workspace, max(c.Weight, 1)
	if w.Running += tokens; w.Running > 0 {
		workspaces[c.Workspace] = w
		return
	}
	if delete(workspaces, c.Workspace); len(workspaces) == 0 {
		delete(r.work, id)
	}
}

// Tokens returns the memory that the calls of a service with a priority use.
func (r *Running[K]) Tokens(service core.ServiceID, priority int) int {
	sum := 0
	for _, w := range r.work[classID{service, priority}] {
		sum += w.Running
	}
	return sum
}

// AddTo adds the calls to a summary that has no bounds yet.
func (r *Running[K]) AddTo(s *Summary) {
	for id, workspaces := range r.work {
		class := Class{Service: id.service, Priority: id.priority, Workspaces: make([]Work, 0, len(workspaces))}
		for _, w := range workspaces {
			class.Workspaces = append(class.Workspaces, w)
		}
		s.AddClass(class)
	}
}
