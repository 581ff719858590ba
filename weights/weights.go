// Package weights updates model servers to the weight versions that the operator
// requests. Only the process that holds the weights lease sends load orders. It
// loads a few servers concurrently and checks the state of each server before and
// after an order, because orders may be lost or executed late. A server in this
// package is a model server: an upstream that serves models.
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
	// Refused means that the server refused the order, or that the order was not
	// sent because this process does not hold the lease.
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

// EngineClient is the client for the administrative requests to model servers.
type EngineClient interface {
	State(ctx context.Context, address string) (EngineState, error)
	Load(ctx context.Context, o Order) (OrderResult, error)
}

// Job is the update of one model on one model server.
type Job struct {
	Upstream catalog.UpstreamRow
	Model    core.ModelID
	// CurrentVersion is the newest version that the server has reported,
	// TargetVersion the version that it has to load.
	CurrentVersion catalog.WeightNumber
	TargetVersion  catalog.WeightNumber
}

// jobTracker tracks the jobs of the lease holder. It performs no I/O.
type jobTracker struct {
	// running holds the jobs in progress by upstream.
	running map[core.UpstreamID]Job
	// loaded holds the weights that each server has confirmed to this process.
	loaded map[core.UpstreamID]map[core.ModelID]catalog.WeightNumber
	// retryAt holds the earliest time of the next job for servers whose last job
	// failed.
	retryAt map[core.UpstreamID]time.Time
}

func newJobTracker() *jobTracker {
	return &jobTracker{
		running: make(map[core.UpstreamID]Job), loaded: make(map[core.UpstreamID]map[core.ModelID]catalog.WeightNumber),
		retryAt: make(map[core.UpstreamID]time.Time),
	}
}

// pendingJobs returns the jobs for all outdated weights, including the jobs in
// progress, sorted by the server's current version, oldest first.
func (t *jobTracker) pendingJobs(upstreams []catalog.UpstreamRow, requested map[core.ModelID]catalog.WeightNumber) []Job {
	var jobs []Job
	for _, u := range upstreams {
		for model, current := range u.Weights {
			target := requested[model]
			current = max(current, t.loaded[u.ID][model])
			if current < target && !u.Draining {
				jobs = append(jobs, Job{Upstream: u, Model: model, CurrentVersion: current, TargetVersion: target})
			}
		}
	}
	// The oldest weights reach the time limit for the use of old weights first.
	sort.Slice(jobs, func(i, j int) bool {
		if jobs[i].CurrentVersion != jobs[j].CurrentVersion {
			return jobs[i].CurrentVersion < jobs[j].CurrentVersion
		}
		return jobs[i].Upstream.ID < jobs[j].Upstream.ID
	})
	return jobs
}

// nextJobs selects the jobs to start now, so that at most maxJobs are in progress,
// and records them as running.
func (t *jobTracker) nextJobs(now time.Time, jobs []Job, maxJobs int) []Job {
	var selected []Job
	for _, job := range jobs {
		if len(t.running)+len(selected) >= maxJobs {
			break
		}
		if _, ok := t.running[job.Upstream.ID]; ok || now.Before(t.retryAt[job.Upstream.ID]) {
			continue
		}
		selected = append(selected, job)
	}
	for _, job := range selected {
		t.running[job.Upstream.ID] = job
	}
	return selected
}

// finish records the end of a job. A server whose job failed gets its next job
// after retryDelay at the earliest.
func (t *jobTracker) finish(now time.Time, job Job, succeeded bool, retryDelay time.Duration) {
	delete(t.running, job.Upstream.ID)
	if !succeeded {
		t.retryAt[job.Upstream.ID] = now.Add(retryDelay)
		return
	}
	if t.loaded[job.Upstream.ID] == nil {
		t.loaded[job.Upstream.ID] = make(map[core.ModelID]catalog.WeightNumber)
	}
	t.loaded[job.Upstream.ID][job.Model] = job.TargetVersion
}

// maxConcurrentLoads returns how many of n servers may load at the same time.
func maxConcurrentLoads(n int, share float64) int { return max(int(share*float64(n)), 1) }
