// Package admit decides which calls an upstream runs. It holds the admission
// window, the queues of waiting calls and the credits given to entries, for an
// agent beside the upstream, and the gate of processes that send to an upstream
// without an agent. Every method takes the current time; nothing blocks and
// nothing is sent.
package admit

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Options are the limits of one upstream.
type Options struct {
	// Incarnation is that of the agent. Credits carry it.
	Incarnation core.Incarnation
	// InitialWindow is the number of concurrent runs that a cold upstream gets.
	InitialWindow int
	// MaxWindow is the largest number of concurrent runs.
	MaxWindow int
	// GrowthResponses is how many good replies at the window's limit, without a bad
	// one between, raise the window by one; a larger window needs as many as its
	// size.
	GrowthResponses int
	// UrgentShare is the share of the window that deferrable calls never use.
	UrgentShare float64
	// QueueCapacity bounds the waiting calls of both classes together.
	QueueCapacity int
	// QueuePerWindow bounds the waiting calls for which credits are given, as a
	// multiple of the window. A cold upstream thus collects no long queue.
	QueuePerWindow float64
	// DeferrableQueueShare is the part of the window that may wait in the queue for
	// deferrable calls to get credits.
	DeferrableQueueShare float64
	// CreditLifetime is how long a credit holds.
	CreditLifetime time.Duration
	// InitialServiceTime is the expected duration of a run before one was measured.
	InitialServiceTime time.Duration
	// PreemptDelay is the expected delay of an urgent call from which a running
	// deferrable call is preempted for it.
	PreemptDelay time.Duration
	// PreemptShare is how many running calls may be preempted for each one that
	// finishes. Without it, calls that are preempted and come back would keep a
	// small window busy without finishing.
	PreemptShare float64
	// ColdFactor is how many times the expected time to first token a reply
	// takes before it says that the upstream is cold.
	ColdFactor float64
	// ColdSlack is added to that bound, so that short replies are not judged on
	// scheduling noise.
	ColdSlack time.Duration
	// ColdResponses is how many slow replies in a row say that it is cold.
	ColdResponses int
}

// Defaults returns the options of an upstream with the given largest window.
func Defaults(maxWindow int, incarnation core.Incarnation) Options {
	return Options{
		Incarnation:          incarnation,
		InitialWindow:        1,
		GrowthResponses:      4,
		MaxWindow:            max(maxWindow, 1),
		UrgentShare:          0.25,
		QueueCapacity:        64,
		QueuePerWindow:       1,
		DeferrableQueueShare: 0.25,
		CreditLifetime:       2 * time.Second,
		InitialServiceTime:   500 * time.Millisecond,
		PreemptDelay:         200 * time.Millisecond,
		PreemptShare:         0.1,
		ColdFactor:           4,
		ColdSlack:            100 * time.Millisecond,
		ColdResponses:        2,
	}
}

// Call is one attempt that asks for admission.
type Call struct {
	ID        core.AttemptID
	Workspace core.WorkspaceID
	// Weight is the workspace's share of a contended upstream.
	Weight int
	Class  core.Class
	// Deadline is when the answer is of no more use; zero means never.
	Deadline time.Time
	// Watcher is the entry whose credit the call uses.
	Watcher core.NodeID
	// Incarnation is that of the credit, or 0 for a call without a credit.
	Incarnation core.Incarnation
}

// Verdict is the answer to an offered call.
type Verdict uint8

// Verdicts on a call.
const (
	// VerdictRejected means that the call was not and will not be run here.
	VerdictRejected Verdict = iota
	// VerdictStarted means that the call is to be handed to the upstream now.
	VerdictStarted
	// VerdictQueued means that the call is queued. A later Effects names it.
	VerdictQueued
	// VerdictDuplicate means that a call with this id runs or waits already. It is no
	// proof that the call did not run.
	VerdictDuplicate
)

// Reason is why a call was rejected.
type Reason uint8

// Reasons of rejection.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull means that all queue room is taken.
	ReasonQueueFull
	// ReasonDeadline means that the deadline passed or would pass in the queue.
	ReasonDeadline
	// ReasonStaleIncarnation means that the credit is of an earlier agent run.
	ReasonStaleIncarnation
	// ReasonDraining means that the upstream takes no new work.
	ReasonDraining
	// ReasonPreempted means that an urgent call took the place in the queue.
	ReasonPreempted
)

// String returns the name of the reason as used in metrics and logs.
func (r Reason) String() string {
	return [...]string{"none", "queue_full", "deadline", "stale_incarnation", "draining", "preempted"}[r]
}

// Rejection names a waiting call that will not be run.
type Rejection struct {
	ID         core.AttemptID
	Reason     Reason
	RetryAfter time.Duration
}

// Effects are what a step changes for calls other than the one it is about.
type Effects struct {
	// Started lists waiting calls that are to be handed to the upstream now.
	Started []core.AttemptID
	// Rejected lists waiting calls that left the queue without a run.
	Rejected []Rejection
	// ToCancel lists running deferrable calls that the agent cancels. Their room
	// is free only when Finish is called for them.
	ToCancel []core.AttemptID
}

// Decision is the answer to an offered call.
type Decision struct {
	Verdict    Verdict
	Reason     Reason
	RetryAfter time.Duration
	Effects
}

// Result is how a run ended.
type Result uint8

// Results of a run.
const (
	// ResultSucceeded is a complete answer.
	ResultSucceeded Result = iota
	// ResultFailed is an error of the upstream.
	ResultFailed
	// ResultCancelled is a run ended by its caller or by preemption; it says nothing
	// about the upstream.
	ResultCancelled
)

// Sample is what a finished run tells about the upstream.
type Sample struct {
	Result Result
	// TimeToFirstToken is the time from hand-over to the first token, 0 if unknown.
	TimeToFirstToken time.Duration
	// ComputedBytes is the prompt text that was not taken from the cache.
	ComputedBytes int
}

// ResetReason is why the window fell back to its start.
type ResetReason uint8

// Reasons of a reset.
const (
	ResetNone         ResetReason = iota
	ResetIncarnation              // the engine restarted
	ResetCacheEpoch               // the engine lost its cache
	ResetResponseTime             // replies are as slow as those of a cold engine
	ResetResume                   // the upstream returns after a drain
)

// String returns the name of the reason as used in metrics and logs.
func (r ResetReason) String() string {
	return [...]string{"none", "incarnation", "cache_epoch", "reply_time", "return"}[r]
}

// Credit is the permission for a watcher to send calls.
type Credit struct {
	// Count is the number of calls; it replaces what the watcher held before.
	Count int
	// Urgent is how many of them only urgent calls may use.
	Urgent      int
	ExpiresAt   time.Time
	Incarnation core.Incarnation
}

// State is a snapshot for publication.
type State struct {
	Incarnation core.Incarnation
	Window      int
	Running     int
	Queued      int
	// UrgentDelay and DeferrableDelay are the expected times to admission of
	// one more call.
	UrgentDelay     time.Duration
	DeferrableDelay time.Duration
	Cold            bool
	Draining        bool
	// OutstandingCredits is the sum of unused credits.
	OutstandingCredits int
	LastReset          ResetReason
	// Resets counts the falls back to the start window.
	Resets int
}
