package core

// UpstreamLoad is the load that an upstream states in a response. Each figure may be
// missing.
type UpstreamLoad struct {
	// Running and Waiting are the numbers of calls that run and wait at the upstream. They
	// are valid if HasRunning and HasWaiting are set.
	Running    int
	HasRunning bool
	Waiting    int
	HasWaiting bool
	// Slots is the number of calls that the upstream runs at the same time, or 0.
	Slots int
	// Slowdown is the ratio of the time that work takes at the upstream now to the time
	// that it usually takes, or 0.
	Slowdown float64
}

// NewUpstreamLoad returns the load of an upstream that states only its calls.
func NewUpstreamLoad(running, waiting int) UpstreamLoad {
	return UpstreamLoad{Running: running, HasRunning: true, Waiting: waiting, HasWaiting: true}
}

// Calls returns the number of calls at the upstream, or false if it is not stated.
func (l UpstreamLoad) Calls() (int, bool) {
	return l.Running + l.Waiting, l.HasRunning && l.HasWaiting
}
