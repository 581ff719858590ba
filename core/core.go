// Package core holds the identifiers and values that every other package uses.
// It performs no I/O and depends on no other package of this module.
package core

import "time"

// WorkspaceID names a workspace, the unit of isolation between customers.
type WorkspaceID string

// CallerID names a caller inside a workspace.
type CallerID string

// UpstreamID names a model server or a plain service instance.
type UpstreamID string

// NodeID names one process of the system. It is stable across restarts of the
// same VM slot; Incarnation tells the restarts apart.
type NodeID string

// FailureDomain names a set of VMs that may be taken out together.
type FailureDomain string

// ModelID names a base model.
type ModelID string

// AdapterID names an adapter on a base model; empty means none.
type AdapterID string

// WeightVersion names one version of a model's weights.
type WeightVersion string

// ServiceID names a plain service.
type ServiceID string

// Epoch orders what operators permit: bundles, configurations and the rows of
// the platform's store. Epoch 0 means that none is known.
type Epoch uint64

// Fence is a fencing number. A larger fence supersedes a smaller one.
type Fence uint64

// Incarnation tells successive runs of one process apart. A later run has a
// larger incarnation; it is the start time in Unix nanoseconds.
type Incarnation uint64

// AttemptID names one attempt of a call. It is unique across processes.
type AttemptID string

// Class is the urgency of a call.
type Class uint8

// Urgency classes.
const (
	Urgent Class = iota
	Deferrable
)

// String returns the name of the class as used in metrics and logs.
func (c Class) String() string {
	if c == Urgent {
		return "urgent"
	}
	return "deferrable"
}

// Outcome is what is known about a call. NeverDispatched and Rejected are the
// only outcomes in which the call is proved not to have run.
type Outcome uint8

// Outcomes of a call.
const (
	// NeverDispatched means that the call was not handed to any upstream.
	NeverDispatched Outcome = iota
	// Rejected means that an agent refused the call before hand-over.
	Rejected
	// Started means that a run of the call is under way.
	Started
	// Finished means that the whole answer is known.
	Finished
	// Unknown means that the call was handed over and its result is not known.
	Unknown
)

// NotRun reports whether the outcome proves that the call did not run.
func (o Outcome) NotRun() bool { return o == NeverDispatched || o == Rejected }

// String returns the name of the outcome as used on the wire and in logs.
func (o Outcome) String() string {
	switch o {
	case NeverDispatched:
		return "never_dispatched"
	case Rejected:
		return "rejected"
	case Started:
		return "started"
	case Finished:
		return "finished"
	default:
		return "unknown"
	}
}

// Scope is everything that a cache block must match before it may be used,
// besides the token prefix.
type Scope struct {
	Workspace WorkspaceID
	Model     ModelID
	Adapter   AdapterID
	Version   WeightVersion
}

// BlockBytes is the length of one cache block in bytes of prompt text.
const BlockBytes = 512

// BlockKey identifies a cache block within its scope. It is the start of a
// SHA-256 chain over the scope's salt and the prompt up to the block's end.
type BlockKey [16]byte

// Lease bounds a permission in time.
type Lease struct {
	Holder NodeID
	Fence  Fence
	Term   time.Duration
}
