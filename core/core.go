// Package core contains the identifiers and values that are common to the other
// packages. It performs no I/O and imports no other package of this module.
package core

// WorkspaceID identifies a workspace, the unit of isolation between customers.
type WorkspaceID string

// CallerID identifies a caller within a workspace.
type CallerID string

// UpstreamID identifies a model server or an instance of a plain service.
type UpstreamID string

// NodeID identifies one process of the system. It belongs to a place in the deployment,
// so it remains the same when the process is restarted there. Incarnation distinguishes
// the restarts.
type NodeID string

// FailureDomain identifies a set of VMs that can fail or be shut down together.
type FailureDomain string

// ModelID identifies a base model.
type ModelID string

// AdapterID identifies an adapter for a base model; empty means no adapter.
type AdapterID string

// WeightVersion identifies a version of a model's weights.
type WeightVersion string

// ServiceID identifies a service of the bundle (package bundle) or the catalog (package
// catalog), with or without a model, or a kept-cache store of the catalog. A kept-cache
// store is a server that stores KV cache exported from engines. It has a ServiceID,
// because the platform's configuration lists it among the services.
type ServiceID string

// Epoch is the version number of a bundle, a configuration or a row of the platform's
// metadata store, all of which operators publish. Epoch 0 means that no version was read
// so far.
type Epoch uint64

// Generation is the generation of the content of the platform's metadata store. It
// increases each time that content is restored from a copy. Row versions of the lost
// content are then assigned again, so that versions of different generations are not
// comparable.
type Generation uint64

// Fence is a fencing token. A larger fence supersedes a smaller one.
type Fence uint64

// Incarnation distinguishes successive starts of one process. It is the start time in
// Unix nanoseconds, so that a later start has a larger incarnation.
type Incarnation uint64

// AttemptID identifies one attempt of a call. It is unique across processes.
type AttemptID string

// Class is the urgency class of a call.
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

// Outcome is the last recorded state of a call or an attempt. Only
// OutcomeNeverDispatched and OutcomeRejected prove that it did not run.
type Outcome uint8

// Outcomes of a call.
const (
	// OutcomeNeverDispatched means that the call was not sent to any upstream.
	OutcomeNeverDispatched Outcome = iota
	// OutcomeRejected means that the call was sent, or a connection for it was attempted,
	// and is proved not to have run: an agent or an upstream refused it, or the upstream
	// could not be reached.
	OutcomeRejected
	// OutcomeStarted means that a run of the call is in progress.
	OutcomeStarted
	// OutcomeFinished means that the complete response was received.
	OutcomeFinished
	// OutcomeUnknown means that the call was submitted and its result is not known.
	OutcomeUnknown
)

// ProvesNotRun reports whether the outcome proves that the call did not run.
func (o Outcome) ProvesNotRun() bool { return o == OutcomeNeverDispatched || o == OutcomeRejected }

// String returns the name of the outcome as used on the wire and in logs.
func (o Outcome) String() string {
	switch o {
	case OutcomeNeverDispatched:
		return "never_dispatched"
	case OutcomeRejected:
		return "rejected"
	case OutcomeStarted:
		return "started"
	case OutcomeFinished:
		return "finished"
	default:
		return "unknown"
	}
}

// CacheScope contains the values that must match, in addition to the prompt prefix,
// before a cache block may be used.
type CacheScope struct {
	Workspace WorkspaceID
	Model     ModelID
	Adapter   AdapterID
	Version   WeightVersion
}

// BlockBytes is the length of one cache block in bytes of prompt text.
const BlockBytes = 512

// BlockKey identifies a cache block within its scope. It is the truncated value of a
// SHA-256 chain over the scope's salt and the prompt up to the end of the block.
type BlockKey [16]byte
