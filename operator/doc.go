// Package operator holds the operators' duties that run on an entry. The judge
// runs on every entry, compares weight versions by the samples of finished
// prompts and withdraws a bad version by a restriction. The driver runs on the
// entry that holds the operators' lease: it orders weight loads and moves
// rollouts from stage to stage by permissions. The decisions are in package
// rollout.
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

// Control is what the duties need from the control plane; control.Control has
// these methods.
type Control interface {
	// View returns what is in force in this process.
	View() *facts.View
	// HeldFence returns the fence if this process holds the operators' lease now.
	HeldFence() (core.Fence, bool)
	// Permit changes the head in one conditional transaction.
	Permit(ctx context.Context, operationID string, change func(facts.Head) (facts.Head, error), audit control.AuditEntry) (facts.Head, error)
	// Restrict puts a restriction in force without the table.
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

// EngineState is what one engine's agent reported.
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

// RolloutKey identifies one rollout of a model. It stays the same when a bundle
// changes elsewhere, and differs when operators start a rollout again.
type RolloutKey struct {
	Model    core.ModelID
	From, To core.WeightVersion
	// DeadlineMS is the rollout's deadline in Unix milliseconds.
	DeadlineMS int64
	// ClearedEpoch is the epoch at which the restriction of the new version was last
	// lifted, 0 for none.
	ClearedEpoch core.Epoch
}

// keyOf returns the key of a model's rollout, false when it has none.
func keyOf(v *facts.View, m *bundle.Model) (RolloutKey, bool) {
	if m == nil || m.Rollout == nil {
		return RolloutKey{}, false
	}
	return RolloutKey{
		Model: m.ID, From: m.Stable, To: m.Rollout.To, DeadlineMS: m.Rollout.Deadline.UnixMilli(),
		ClearedEpoch: v.Head.ClearedAt[facts.VersionSubject(m.ID, m.Rollout.To)],
	}, true
}
