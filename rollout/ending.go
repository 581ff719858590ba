package rollout

// Result is the result of an attempt as observed by the entry. The list shows how
// the entry derives it, from certain to inferred causes:
//
//  1. The caller's connection ended first: CallerCancelled. The entry detects it
//     from the request's own context, which ends with Canceled and not with
//     DeadlineExceeded.
//  2. The agent sent a reject frame: NotDispatched. Preemption, a full window,
//     a drain and an engine that refuses connections are reported this way.
//  3. The agent sent a failure frame with the cause of a preemption: Preempted.
//  4. The stream ended without a failure frame while the request's own context
//     was valid: AgentLost. Only the loss of the agent, its VM or the network
//     between the entry and the agent causes this. When only the engine fails, its
//     agent still sends a failure frame.
//  5. The agent sent a failure frame with another cause: EngineFailed, Corrupt,
//     TimedOut or CallerCancelled by that cause, and EngineLost otherwise.
//  6. The frames are inconsistent (wrong position, count or end): Corrupt.
//  7. The stream ended without a failure frame after the deadline of the request's
//     own context had passed: TimedOut.
type Result uint8

// Results of an attempt.
const (
	// Complete means that the full response was received.
	Complete Result = iota
	// NotDispatched means that the attempt was not dispatched to the engine.
	NotDispatched
	// CallerCancelled means that the caller cancelled the call or disconnected.
	CallerCancelled
	// Preempted means that the agent stopped the run to free the engine.
	Preempted
	// Drained means that the upstream was draining when the run ended. The value is
	// not assigned at present: the entry drops the failed samples of a draining
	// upstream instead.
	Drained
	// AgentLost means that the agent, its VM or the network to it was lost.
	AgentLost
	// EngineLost means that the engine's process ended or became unreachable
	// while its agent was running. All runs of the engine end together, so they
	// are not separate observations. A version that crashes engines is not promoted,
	// because the restarted engines do not have it loaded.
	EngineLost
	// EngineFailed means that the engine returned an error.
	EngineFailed
	// Corrupt means that the response was not a valid stream.
	Corrupt
	// TimedOut means that the deadline passed during the run. Deadlines that are too
	// short cause failures of both versions, which the judge compares.
	TimedOut
)

var resultNames = [...]string{
	Complete: "complete", NotDispatched: "not_handed_over", CallerCancelled: "caller_left", Preempted: "preempted",
	Drained: "drained", AgentLost: "vm_lost", EngineLost: "engine_lost", EngineFailed: "engine_failed",
	Corrupt: "garbled", TimedOut: "timed_out",
}

// String returns the name of the result as used in logs.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unset"
}

// Classify reports whether a result is a sample of the weight version's quality,
// and if so, whether it counts as a failure of the version. A result that does
// not count is no sample: counting it as good would hide real failures behind
// drains and lost VMs.
func Classify(r Result) (counts, failed bool) {
	switch r {
	case Complete:
		return true, false
	case EngineFailed, Corrupt, TimedOut:
		return true, true
	default:
		return false, false
	}
}
