// Package placement decides which upstream serves a call, which cached parts the
// upstream fetches and which parts it saves. It records the load, health and
// caches of each upstream as observed by one process. It performs no I/O and reads
// no clock.
package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Options set the assumed speed of the upstreams and the limits that apply to all
// processes together.
type Options struct {
	Node core.NodeID
	// Domain is the failure domain of this process.
	Domain core.FailureDomain
	// PrefillTokensPerMs is the rate at which an engine reads (prefills) a prompt.
	PrefillTokensPerMs float64
	// ColdFactor and ColdSlack determine the number of calls per second that a cold
	// upstream may receive: its configured rate times ColdFactor, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// WeightChangeTimeout is the time after the request for new weights from which no
	// call may start on older weights. Calls are not placed on older weights after a
	// fraction of it (weightChangeShare). Zero means no limit.
	WeightChangeTimeout time.Duration
	// RetryShare and RetrySlack bound the retries to a service within RetryWindow to
	// that share of the service's calls plus the slack.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Request describes a call that is to be placed.
type Request struct {
	Service    core.ServiceID
	Prompt     core.Prompt
	Workspace  *catalog.Workspace
	Repeatable bool
	// Bytes is the size of the call and of its expected response.
	Bytes int
	// TriedUpstreams are the upstreams of the previous attempts, in order.
	TriedUpstreams []core.UpstreamID
	// Retry is set when the call was sent before.
	Retry bool
	// RolloutFilter selects the upstreams that a rollout allows.
	RolloutFilter canary.Filter
	// WaitedShare is the share of the time for which the call may wait for memory that has
	// passed, from 0 to 1.
	WaitedShare float64
	// MemoryShare is the share of the memory of all engines that the calls of this process may
	// use, or 0 if it is not known.
	MemoryShare float64
	// LargestWaiting is the memory of the largest call that waits for an engine, or 0. Smaller
	// calls leave memory for it at some of the engines.
	LargestWaiting int
}

// AttemptID identifies one attempt.
type AttemptID uint64

// Choice is the placement of a call: its upstream, weight version and cache
// transfers.
type Choice struct {
	AttemptID AttemptID
	Upstream  catalog.UpstreamRow
	Weights   catalog.WeightNumber
	Salt      string
	// FetchFrom and SaveTo contain an address or an empty string for each part. Parts
	// are fetched from a store or server and saved to a store.
	FetchFrom []string
	SaveTo    []string
	// ExpectedFirstByte is the estimated time to the first byte.
	ExpectedFirstByte time.Duration
	// FetchedTokens and ReadTokens are the numbers of tokens that the estimate
	// assumes to be fetched and read.
	FetchedTokens int
	ReadTokens    int
}

// Refusal is the reason why a call cannot be placed now.
type Refusal uint8

// Refusals.
const (
	// NotRefused means that the call was placed.
	NotRefused Refusal = iota
	// NoUpstream means that no upstream of the service may be used.
	NoUpstream
	// Limited means that no upstream may be used and that at least one of them is at
	// its limit.
	Limited
	// NoRetryBudget means that the retry budget is exhausted.
	NoRetryBudget
	// Quarantined means that upstreams crash on a part of the prompt; see package
	// quarantine.
	Quarantined
	// Paused means that all upstreams that may be used have asked for no calls for a time;
	// see Placer.PauseRemaining.
	Paused
	// MemoryFull means that no engine that may be used has memory for the call.
	MemoryFull
)

// String returns the name of the refusal as used in metrics and logs.
func (r Refusal) String() string {
	return [...]string{"placed", "no_upstream", "limited", "retry_budget", "quarantined", "paused", "memory_full"}[r]
}

// UpstreamResult is the result of an attempt as an indication of its upstream's
// health.
type UpstreamResult uint8

// Results of attempts.
const (
	// Completed means that the complete response was received.
	Completed UpstreamResult = iota
	// Failed means that the upstream responded with a server error.
	Failed
	// Rejected means that the upstream proved that it has not run the call.
	Rejected
	// Misdirected means that another upstream responds at the address, or that the
	// upstream has other weights.
	Misdirected
	// Unreachable means that no connection was established.
	Unreachable
	// Incomplete means that no response or only a truncated response was received.
	Incomplete
	// Abandoned means that the caller canceled the call or its deadline passed.
	Abandoned
)

// String returns the name of the result as used in metrics and logs.
func (r UpstreamResult) String() string {
	return [...]string{"completed", "failed", "rejected", "misdirected", "unreachable", "broken", "abandoned"}[r]
}

// Report is what this process observed during an attempt. An attempt has one or
// more reports.
type Report struct {
	AttemptID AttemptID
	Upstream  core.UpstreamID
	// Address is the address to which the attempt was sent.
	Address string
	// StartedAtMs identifies the incarnation of the upstream.
	StartedAtMs int64
	// Final is set in the last report of an attempt. Only that report has a Result.
	Final  bool
	Result UpstreamResult
	// Load is the load that the upstream states.
	Load core.UpstreamLoad
	// RateLimit is the announced rate when HasRateLimit is set. A response without one
	// ends an earlier limit.
	RateLimit    core.RateLimit
	HasRateLimit bool
	// Leaving is set when the upstream announces that it leaves.
	Leaving bool
	// PauseFor is the time for which the upstream wants no calls from this process, or 0.
	PauseFor time.Duration
	// Route is the name of the call's route. FirstByte is the time to the first byte of
	// a success, or 0 when there was none. Pace is the mean time between the first
	// events of a stream. Each of them is set in one report that is not final.
	Route     string
	FirstByte time.Duration
	Pace      time.Duration
	Model     core.ModelID
	Weights   catalog.WeightNumber
	// ColdRemaining is the time for which the upstream remains cold, or 0 when it did
	// not report one.
	ColdRemaining time.Duration
}
