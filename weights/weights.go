// Package weights updates model servers to the weight versions that the operator
// requests. Only the process that holds the weights lease sends load orders. It
// loads a few servers concurrently and checks the state of each server before and
// after an order, because orders may be lost or executed late.
package weights

import (
	"context"
	"sort"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Mode defines what happens to runs in progress when the weights change.
type Mode uint8

// Modes of a load order.
const (
	// FinishRuns loads the weights after the runs have finished.
	FinishRuns Mode = iota
	// TruncateRuns ends the streams of the runs.
	TruncateRuns
	// KeepRuns continues the runs with the new weights.
	KeepRuns
)

// Order is an administrative request to a model server to load weights.
type Order struct {
	Upstream core.UpstreamID
	Address  string
	Model    core.ModelID
	Version  catalog.WeightNumber
	Mode     Mode
	Holder   core.NodeID
	Fence    core.Fence
	// ExpectedOrders is the precondition of the order: the number of orders that the
	// server has accepted before it.
	ExpectedOrders uint64
}

// OrderResult is the result of an order.
type OrderResult uint8

// Results of an order.
const (
	// NoResponse means that no response was received. The server may still execute
	// the order, also later.
	NoResponse OrderResult = iota
	Accepted
	AlreadyLoaded
	// Conflicting means that another order is in progress or was accepted before.
	Conflicting
	Refused
)

// String returns the name of the result as used in logs.
func (r OrderResult) String() string {
	return [...]string{"unanswered", "accepted", "already_loaded", "conflicting", "refused"}[r]
}

// EngineState is the state that a model server reports.
type EngineState struct {
	Weights map[core.ModelID]catalog.WeightNumber
	// Busy is set while the server executes an order.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the server's start.
	AcceptedOrders uint64
	// StartedAt is the time of the server's start in Unix milliseconds.
	StartedAt int64
}

// Engines is the control interface of model servers.
type Engines interface {
	State(ctx context.Context, address string) (EngineState, error)
	Load(ctx context.Context, o Order) (OrderResult, error)
}

// Job is a model server that needs newer weights.
type Job struct {
	Upstream catalog.UpstreamRow
	Model    core.ModelID
	// CurrentVersion is the newest version that the server has reported,
	// TargetVersion the version that it has to load.
	CurrentVersion catalog.WeightNumber
	TargetVersion  catalog.WeightNumber
}

// plan tracks the jobs of the lease holder. It performs no I/O.
type plan struct {
	// running holds the jobs in progress by upstream.
	running map[core.UpstreamID]Job
	// loaded holds the weights that each server has confirmed to this process.
	loaded map[core.UpstreamID]map[core.ModelID]catalog.WeightNumber
	// retryAt holds the earliest time of the next job for servers whose last job
	// failed.
	retryAt map[core.UpstreamID]time.Time
}

func newPlan() *plan {
	return &plan{
		running: make(map[core.UpstreamID]Job), loaded: make(map[core.UpstreamID]map[core.ModelID]catalog.WeightNumber),
		retryAt: make(map[core.UpstreamID]time.Time),
	}
}

// outdated returns the servers that need newer weights, including those with a
// job in progress, sorted by their current version, oldest first.
func (p *plan) outdated(upstreams []catalog.UpstreamRow, requested map[core.ModelID]catalog.WeightNumber) []Job {
	var jobs []Job
	for _, u := range upstreams {
		for model, current := range u.Weights {
			target := requested[model]
			current = max(current, p.loaded[u.ID][model])
			if current < target && !u.Draining {
				jobs = append(jobs, Job{Upstream: u, Model: model, CurrentVersion: current, TargetVersion: target})
			}
		}
	}
	// The oldest weights become overdue first.
	sort.Slice(jobs, func(i, j int) bool {
		if jobs[i].CurrentVersion != jobs[j].CurrentVersion {
			return jobs[i].CurrentVersion < jobs[j].CurrentVersion
		}
		return jobs[i].Upstream.ID < jobs[j].Upstream.ID
	})
	return jobs
}

// start returns the jobs to start, so that at most maxJobs are in progress, and
// records them as running.
func (p *plan) start(now time.Time, jobs []Job, maxJobs int) []Job {
	var started []Job
	for _, job := range jobs {
		if len(p.running)+len(started) >= maxJobs {
			break
		}
		if _, ok := p.running[job.Upstream.ID]; ok || now.Before(p.retryAt[job.Upstream.ID]) {
			continue
		}
		started = append(started, job)
	}
	for _, job := range started {
		p.running[job.Upstream.ID] = job
	}
	return started
}

// finish records the end of a job. A server whose job failed gets no other job
// during the pause.
func (p *plan) finish(now time.Time, job Job, succeeded bool, pause time.Duration) {
	delete(p.running, job.Upstream.ID)
	if !succeeded {
		p.retryAt[job.Upstream.ID] = now.Add(pause)
		return
	}
	if p.loaded[job.Upstream.ID] == nil {
		p.loaded[job.Upstream.ID] = make(map[core.ModelID]catalog.WeightNumber)
	}
	p.loaded[job.Upstream.ID][job.Model] = job.TargetVersion
}

// maxConcurrentLoads returns how many of n servers may load at the same time.
func maxConcurrentLoads(n int, share float64) int { return max(int(share*float64(n)), 1) }
