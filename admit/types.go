// Package admit decides which calls an upstream runs. Controller is for the agent
// beside an upstream: it contains the admission window, the queues of waiting calls
// and the credits granted to entries, which are the agent's watchers. Gate is for
// processes that send to an upstream without an agent. The package takes the current
// time as an argument, never blocks and performs no I/O.
package admit

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Options are the limits of one upstream.
type Options struct {
	// Incarnation is the agent's incarnation. Credits contain it.
	Incarnation core.Incarnation
	// InitialWindow is the number of concurrent runs of a cold upstream.
	InitialWindow int
	// MaxWindow is the maximum number of concurrent runs.
	MaxWindow int
	// GrowthResponses is the number of successful responses with a full window, and
	// no slow or failed one in between, after which the window grows by one. A
	// window larger than this number needs as many responses as its size.
	GrowthResponses int
	// UrgentShare is the share of the window that is reserved for urgent calls.
	UrgentShare float64
	// QueueCapacity is the maximum number of waiting calls of both classes.
	QueueCapacity int
	// QueueCreditFactor is the queue length up to which credits are granted, as a
	// multiple of the window, so that a cold upstream gets no long queue.
	QueueCreditFactor float64
	// UnreservedQueueShare is the queue length up to which credits are granted for
	// calls of both classes, as a share of the window. Credits for a longer queue are
	// reserved for urgent calls.
	UnreservedQueueShare float64
	// CreditLifetime is the time from the grant of a credit to its expiry.
	CreditLifetime time.Duration
	// InitialServiceTime is the expected duration of a run before the first
	// measurement.
	InitialServiceTime time.Duration
	// MinDelayToPreempt is the minimum expected delay of urgent calls for preemption.
	// Running deferrable calls are preempted only if the delay is not shorter.
	MinDelayToPreempt time.Duration
	// PreemptionsPerSuccess is the number of running calls that may be preempted for
	// each run that succeeds. Without this limit, preempted calls that are retried
	// could keep a small window busy without ever finishing.
	PreemptionsPerSuccess float64
	// ColdFactor is the multiple of the expected time to first token above which a
	// response counts as slow.
	ColdFactor float64
	// ColdSlack is added to ColdFactor times the expected time, so that scheduling
	// noise does not make short responses count as slow.
	ColdSlack time.Duration
	// ColdResponses is the number of consecutive slow responses after which the
	// upstream is treated as cold.
	ColdResponses int
}

// Defaults returns the default options for an upstream.
func Defaults(maxWindow int, incarnation core.Incarnation) Options {
	return Options{
		Incarnation:           incarnation,
		InitialWindow:         1,
		GrowthResponses:       4,
		MaxWindow:             max(maxWindow, 1),
		UrgentShare:           0.25,
		QueueCapacity:         64,
		QueueCreditFactor:     1,
		UnreservedQueueShare:  0.25,
		CreditLifetime:        2 * time.Second,
		InitialServiceTime:    500 * time.Millisecond,
		MinDelayToPreempt:     200 * time.Millisecond,
		PreemptionsPerSuccess: 0.1,
		ColdFactor:            4,
		ColdSlack:             100 * time.Millisecond,
		ColdResponses:         2,
	}
}

// Call is one attempt of a core.Call that requests admission. This package treats each
// attempt as a separate call.
type Call struct {
	ID        core.AttemptID
	Workspace core.WorkspaceID
	// Weight is the workspace's weight in the fair queue.
	Weight int
	Class  core.Class
	// Deadline is when the caller stops waiting for the response; zero means never.
	Deadline time.Time
	// Watcher is the entry whose credit the call uses. An entry gets credits while it
	// watches the agent's state.
	Watcher core.NodeID
	// Incarnation is the incarnation in the credit, or 0 for a call without a credit.
	Incarnation core.Incarnation
}

// Verdict is the admission decision on a call.
type Verdict uint8

// Verdicts on a call.
const (
	// VerdictRejected means that the call has not run and will not run here.
	VerdictRejected Verdict = iota
	// VerdictStarted means that the agent must submit the call to the upstream now.
	VerdictStarted
	// VerdictQueued means that the call is queued. A later operation returns it in its
	// Effects, unless Finish removes it first.
	VerdictQueued
	// VerdictDuplicate means that a call with this ID is already running or waiting, so
	// the call may have run.
	VerdictDuplicate
)

// Reason is why a call was rejected.
type Reason uint8

// Reasons for a rejection.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull means that the queue is full.
	ReasonQueueFull
	// ReasonDeadline means that the deadline passed or would pass in the queue.
	ReasonDeadline
	// ReasonStaleIncarnation means that the credit was granted before the agent
	// restarted.
	ReasonStaleIncarnation
	// ReasonDraining means that the upstream accepts no new calls.
	ReasonDraining
	// ReasonDisplaced means that an urgent call replaced this deferrable call in the
	// full queue.
	ReasonDisplaced
)

// String returns the name of the reason as used in metrics and logs. The name of
// ReasonDisplaced is "preempted", although the call was waiting and not running.
func (r Reason) String() string {
	return [...]string{"none", "queue_full", "deadline", "stale_incarnation", "draining", "preempted"}[r]
}

// Rejection describes a waiting call that was removed from the queue without a run.
type Rejection struct {
	ID     core.AttemptID
	Reason Reason
	// RetryAfter is the time after which the call may be sent to the upstream again, 0
	// if there is no estimate.
	RetryAfter time.Duration
}

// Effects lists the calls that change state as a side effect of an operation on
// another call or on the upstream.
type Effects struct {
	// Started lists waiting calls that the agent must submit to the upstream now.
	Started []core.AttemptID
	// Rejected lists waiting calls that were removed from the queue without a run.
	Rejected []Rejection
	// ToCancel lists running deferrable calls that the agent must cancel. Their slots
	// in the window become free only when Finish is called for them.
	ToCancel []core.AttemptID
}

// Decision is the result of offering a call.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is, for a rejected call, the time after which it may be sent to the
	// upstream again, 0 if there is no estimate.
	RetryAfter time.Duration
	Effects
}

// Result is how a run ended.
type Result uint8

// Results of a run.
const (
	// ResultSucceeded is a complete response.
	ResultSucceeded Result = iota
	// ResultFailed is an error of the upstream.
	ResultFailed
	// ResultCancelled is a run that was cancelled by its caller or by preemption. It
	// contains no information about the upstream.
	ResultCancelled
)

// Sample is the measurement of a finished run.
type Sample struct {
	Result Result
	// TimeToFirstToken is the time from submission to the first token, 0 if unknown.
	TimeToFirstToken time.Duration
	// ComputedBytes is the length of the prompt text that was not read from the cache.
	ComputedBytes int
}

// ResetReason is why the window was reset to its initial size.
type ResetReason uint8

// Reasons for a reset.
const (
	ResetNone          ResetReason = iota
	ResetEngineRestart             // the engine restarted
	ResetCacheLost                 // the engine lost its cache
	ResetResponseTime              // responses are as slow as those of a cold engine
	ResetResume                    // the upstream was resumed after a drain
)

// String returns the name of the reason as used in logs. The names differ from those
// of the constants: "incarnation" means that the engine restarted, "cache_epoch" that
// the engine lost its cache, "reply_time" that responses are as slow as those of a cold
// engine, and "return" that the upstream was resumed after a drain.
func (r ResetReason) String() string {
	return [...]string{"none", "incarnation", "cache_epoch", "reply_time", "return"}[r]
}

// CreditGrant contains the credits of a watcher. Each credit is a permission to send one
// call.
type CreditGrant struct {
	// Count is the number of credits. They replace the credits granted before.
	Count int
	// UrgentOnly is the number of these credits that only urgent calls may use.
	UrgentOnly  int
	ExpiresAt   time.Time
	Incarnation core.Incarnation
}

// State is a snapshot for publication.
type State struct {
	Incarnation core.Incarnation
	// Window is the size of the admission window, Running and Queued are numbers of
	// calls.
	Window  int
	Running int
	Queued  int
	// UrgentDelay and DeferrableDelay are the expected times to admission of one more
	// call of the class.
	UrgentDelay     time.Duration
	DeferrableDelay time.Duration
	// Cold is set while the window is too small for a warm upstream.
	Cold     bool
	Draining bool
	// OutstandingCredits is the number of unused credits of all watchers.
	OutstandingCredits int
	LastReset          ResetReason
	// Resets is the number of resets to the initial window.
	Resets int
}
