package rollout

// Result says how an attempt that was handed to an engine ended, as the entry
// saw it. The entry tells the endings apart in this order, because the earlier
// signs are proofs and the later ones are not:
//
//  1. The caller's connection ended first: CallerLeft. The entry knows it from
//     the request's own context, which ends with Canceled and not with
//     DeadlineExceeded.
//  2. The agent sent a reject frame: NotDispatched. Preemption, a full window,
//     a drain and an engine that refuses connections come this way.
//  3. The agent sent a failure frame whose cause is a preemption or the agent's
//     own stop: Preempted, or Drained when the view shows that the upstream or
//     its failure domain takes no new work.
//  4. The stream ended without a failure frame: VMLost. Only the loss of the
//     agent, its VM or the network between does that; an engine that fails
//     leaves its agent alive to say so.
//  5. The agent sent a failure frame: EngineFailed, or EngineLost when the
//     frame says that the connection to the engine broke.
//  6. The frames do not add up (wrong position, count or end): Corrupt.
//  7. The caller's deadline passed while the engine had the run: TimedOut.
type Result uint8

// Endings of an attempt.
const (
	// Complete means that the whole answer arrived.
	Complete Result = iota
	// NotDispatched means that the engine never had the attempt.
	NotDispatched
	// CallerLeft means that the caller cancelled the call.
	CallerLeft
	// Preempted means that the agent took the engine from the run.
	Preempted
	// Drained means that the upstream was leaving when the run ended.
	Drained
	// VMLost means that the agent's stream was cut.
	VMLost
	// EngineLost means that the engine's process ended or became unreachable
	// while its agent lived. All runs of the engine end together, so they are
	// not separate observations. A version that crashes engines shows itself by
	// engines that no longer hold it, which stops its promotion.
	EngineLost
	// EngineFailed means that the engine answered with an error.
	EngineFailed
	// Corrupt means that the answer was not a valid stream.
	Corrupt
	// TimedOut means that the deadline passed while the engine had the run.
	// Short deadlines affect both versions and are judged against each other.
	TimedOut
)

var endingNames = [...]string{
	Complete: "complete", NotDispatched: "not_handed_over", CallerLeft: "caller_left", Preempted: "preempted",
	Drained: "drained", VMLost: "vm_lost", EngineLost: "engine_lost", EngineFailed: "engine_failed",
	Corrupt: "garbled", TimedOut: "timed_out",
}

// String returns the name of the ending as used in logs.
func (e Result) String() string {
	if int(e) < len(endingNames) {
		return endingNames[e]
	}
	return "unset"
}

// Classify reports whether an ending says anything about the weight version,
// and if so whether it counts as a failure of the version. An ending that does
// not count is no sample: counting it as good would hide real failures behind
// drains and lost VMs.
func Classify(e Result) (counts, failed bool) {
	switch e {
	case Complete:
		return true, false
	case EngineFailed, Corrupt, TimedOut:
		return true, true
	default:
		return false, false
	}
}
