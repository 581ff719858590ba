package rollout

// Result is the result of an attempt that was sent to an engine, as observed by
// the entry. The entry distinguishes the results in this order, because the
// earlier signs are proofs and the later ones are not:
//
//  1. The caller's connection ended first: CallerLeft. The entry detects it from
//     the request's own context, which ends with Canceled and not with
//     DeadlineExceeded.
//  2. The agent sent a reject frame: NotDispatched. Preemption, a full window,
//     a drain and an engine that refuses connections are reported this way.
//  3. The agent sent a failure frame whose cause is a preemption or the agent's
//     own stop: Preempted, or Drained when the view shows that the upstream or
//     its failure domain takes no new work.
//  4. The stream ended without a failure frame: VMLost. Only the loss of the
//     agent, its VM or the network between them causes this. When only the engine
//     fails, its agent is still running and sends a failure frame.
//  5. The agent sent a failure frame: EngineFailed, or EngineLost when the
//     frame states that the connection to the engine was lost.
//  6. The frames are inconsistent (wrong position, count or end): Corrupt.
//  7. The caller's deadline passed during the run: TimedOut.
type Result uint8

// Results of an attempt.
const (
	// Complete means that the full response was received.
	Complete Result = iota
	// NotDispatched means that the attempt never reached the engine.
	NotDispatched
	// CallerLeft means that the caller cancelled the call.
	CallerLeft
	// Preempted means that the agent stopped the run to free the engine.
	Preempted
	// Drained means that the upstream was draining when the run ended.
	Drained
	// VMLost means that the stream from the agent was interrupted.
	VMLost
	// EngineLost means that the engine's process ended or became unreachable
	// while its agent was running. All runs of the engine end together, so they
	// are not separate observations. A version that crashes engines is detected by
	// the engines that no longer have it loaded, which stops its promotion.
	EngineLost
	// EngineFailed means that the engine returned an error.
	EngineFailed
	// Corrupt means that the response was not a valid stream.
	Corrupt
	// TimedOut means that the deadline passed during the run.
	// Short deadlines affect both versions and are judged against each other.
	TimedOut
)

var resultNames = [...]string{
	Complete: "complete", NotDispatched: "not_handed_over", CallerLeft: "caller_left", Preempted: "preempted",
	Drained: "drained", VMLost: "vm_lost", EngineLost: "engine_lost", EngineFailed: "engine_failed",
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
