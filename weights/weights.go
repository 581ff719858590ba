// Package weights brings model servers to the weight versions that the
// operator names. One process at a time does so, under a lease; it orders a few
// servers at once and checks each one's state before and after an order, since
// orders may be lost or carried out late.
package weights

import (
	"context"
	"sort"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Mode says what happens to runs under way when weights change.
type Mode uint8

// Modes of an order.
const (
	// FinishRuns lets runs finish first.
	FinishRuns Mode = iota
	// TruncateRuns ends their streams.
	TruncateRuns
	// KeepRuns lets them go on under the new weights.
	KeepRuns
)

// Order asks a model server to load weights.
type Order struct {
	Upstream core.UpstreamID
	Address  string
	Model    core.ModelID
	Version  catalog.WeightNumber
	Mode     Mode
	Holder   core.NodeID
	Fence    core.Fence
	// Orders is the number of orders that the server must have accepted before.
	ExpectedOrders uint64
}

// OrderResult is a model server's answer to an order.
type OrderResult uint8

// Replies.
const (
	// NoResponse orders may be carried out, also later.
	NoResponse OrderResult = iota
	Accepted
	AlreadyLoaded
	// Conflicting means that another order is under way or came before.
	Conflicting
	Refused
)

// String returns the name of the reply as used in logs.
func (r OrderResult) String() string {
	return [...]string{"unanswered", "accepted", "already_loaded", "conflicting", "refused"}[r]
}

// EngineState is what a model server says of itself.
type EngineState struct {
	Weights map[core.ModelID]catalog.WeightNumber
	// Busy is set while an order is carried out.
	Busy bool
	// Orders counts the orders accepted since the start.
	AcceptedOrders uint64
	StartedAt      int64
}

// Engines is the control interface of model servers.
type Engines interface {
	State(ctx context.Context, address string) (EngineState, error)
	Load(ctx context.Context, o Order) (OrderResult, error)
}

// Job is a model server that needs newer weights.
type Job struct {
	Upstream catalog.ListedUpstream
	Model    core.ModelID
	// Has is the version that the server is known to have, Version the one it
	// has to get.
	CurrentVersion catalog.WeightNumber
	TargetVersion  catalog.WeightNumber
}

// plan is the holder's knowledge of its jobs. It performs no I/O.
type plan struct {
	// running are the jobs under way by upstream.
	running map[core.UpstreamID]Job
	// loaded are the weights that a server has confirmed to this process.
	loaded map[core.UpstreamID]map[core.ModelID]catalog.WeightNumber
	// pauseUntil keeps servers that did not answer from being asked at once.
	pauseUntil map[core.UpstreamID]time.Time
}

func newPlan() *plan {
	return &plan{
		running: make(map[core.UpstreamID]Job), loaded: make(map[core.UpstreamID]map[core.ModelID]catalog.WeightNumber),
		pauseUntil: make(map[core.UpstreamID]time.Time),
	}
}

// due returns the servers that need newer weights, those already being loaded
// included.
func (p *plan) due(upstreams []catalog.ListedUpstream, named map[core.ModelID]catalog.WeightNumber) []Job {
	var jobs []Job
	for _, u := range upstreams {
		for model, has := range u.Weights {
			want := named[model]
			has = max(has, p.loaded[u.ID][model])
			if has < want && !u.Draining {
				jobs = append(jobs, Job{Upstream: u, Model: model, CurrentVersion: has, TargetVersion: want})
			}
		}
	}
	// The oldest weights are the first to be overdue.
	sort.Slice(jobs, func(i, j int) bool {
		if jobs[i].CurrentVersion != jobs[j].CurrentVersion {
			return jobs[i].CurrentVersion < jobs[j].CurrentVersion
		}
		return jobs[i].Upstream.ID < jobs[j].Upstream.ID
	})
	return jobs
}

// next returns the jobs to start so that at most atOnce run.
func (p *plan) next(now time.Time, jobs []Job, atOnce int) []Job {
	var start []Job
	for _, job := range jobs {
		if len(p.running)+len(start) >= atOnce {
			break
		}
		if _, ok := p.running[job.Upstream.ID]; ok || now.Before(p.pauseUntil[job.Upstream.ID]) {
			continue
		}
		start = append(start, job)
	}
	for _, job := range start {
		p.running[job.Upstream.ID] = job
	}
	return start
}

// ended notes the end of a job.
func (p *plan) ended(now time.Time, job Job, done bool, pause time.Duration) {
	delete(p.running, job.Upstream.ID)
	if !done {
		p.pauseUntil[job.Upstream.ID] = now.Add(pause)
		return
	}
	if p.loaded[job.Upstream.ID] == nil {
		p.loaded[job.Upstream.ID] = make(map[core.ModelID]catalog.WeightNumber)
	}
	p.loaded[job.Upstream.ID][job.Model] = job.TargetVersion
}

// atOnce returns how many of n servers may load at the same time.
func atOnce(n int, share float64) int { return max(int(share*float64(n)), 1) }
