// Package operator contains the duties of an entry that execute the rollouts of weight
// versions. The judge runs on every entry. It compares weight versions by the samples
// of finished prompts and withdraws a bad version by a restriction. The driver runs on
// the entry that holds the operators' lease. One entry at a time holds this lease. The
// driver sends orders for weight loads to agents and advances rollouts from stage to
// stage by permissions. A restriction takes effect without the platform's table. A
// permission is a conditional change of the head row in that table. Package rollout
// makes the decisions.
package operator

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/control"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/wire"
)

// Control contains the methods of the control plane that the duties use.
// control.Control implements it.
type Control interface {
	// View returns the snapshot of the facts that are in force in this process.
	View() *facts.View
	// HeldFence returns the fence of the operators' lease, and true if this process
	// holds the lease now.
	HeldFence() (core.Fence, bool)
	// Permit changes the head in one conditional transaction on the table.
	Permit(ctx context.Context, operationID string, change func(facts.Head) (facts.Head, error), audit control.AuditEntry) (facts.Head, error)
	// Restrict puts a restriction in force. It does not use the table.
	Restrict(ctx context.Context, r facts.Restriction) error
}

// OrderSender sends orders to agents. An order is an administrative request with a
// fencing token.
type OrderSender interface {
	// SendOrder sends one order to the agent at an address of the form IP:port. An
	// error means that the agent may or may not have executed the order.
	SendOrder(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error)
}

// EngineStates returns the last reported states of engines. StateTracker implements
// it.
type EngineStates interface {
	// State returns false if there is no recent report of the engine.
	State(id core.UpstreamID) (EngineState, bool)
}

// EngineState is the last report of an engine's agent.
type EngineState struct {
	// LoadedModels lists the weight versions that are loaded, as model names of the
	// form that engine.ModelName returns.
	LoadedModels []string
	// RunCount is the number of concurrent runs.
	RunCount int
	// ReceivedAt is the time at which the report was received.
	ReceivedAt time.Time
}

// SampleCounter counts the samples of a new version on all entries. SampleCounts
// implements it.
type SampleCounter interface {
	// TotalSamples returns the sum of the sample counts of all entries for a rollout.
	TotalSamples(ctx context.Context, key RolloutKey) (uint64, error)
}

// RolloutKey identifies one rollout of a model. It remains the same when only other
// settings of the bundle change. It differs when operators restart a rollout.
type RolloutKey struct {
	Model    core.ModelID
	From, To core.WeightVersion
	// DeadlineMS is the rollout's deadline in Unix milliseconds.
	DeadlineMS int64
	// ClearedEpoch is the epoch at which the restriction of the new version was last
	// lifted, 0 for none.
	ClearedEpoch core.Epoch
}

// rolloutKey returns the key of a model's rollout, or false if the model has no
// rollout.
func rolloutKey(v *facts.View, m *bundle.Model) (RolloutKey, bool) {
	if m == nil || m.Rollout == nil {
		return RolloutKey{}, false
	}
	return RolloutKey{
		Model: m.ID, From: m.Stable, To: m.Rollout.To, DeadlineMS: m.Rollout.Deadline.UnixMilli(),
		ClearedEpoch: v.Head.ClearedAt[facts.VersionSubject(m.ID, m.Rollout.To)],
	}, true
}
