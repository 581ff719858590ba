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

// Orders sends administrative requests to agents.
type Orders interface {
	// Order sends one request to the agent at an address given as IP:port. An
	// error means that the effect is unknown.
	Order(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error)
}

// Engines tells what engines reported last. States implements it.
type Engines interface {
	// Engine returns false when nothing recent is known of the engine.
	Engine(id core.UpstreamID) (EngineState, bool)
}

// EngineState is what one engine's agent reported.
type EngineState struct {
	// Loaded lists the versions that the engine holds, as engine.ModelName
	// gives them for the base model.
	Loaded []string
	// Running is the number of concurrent runs.
	Running int
	// At is when the report arrived.
	At time.Time
}

// Samples tells how many finished calls on a new version all entries have
// judged. Counts implements it.
type Samples interface {
	Total(ctx context.Context, key RolloutKey) (uint64, error)
}

// RolloutKey identifies one rollout of a model. It stays the same when a bundle
// changes elsewhere, and differs when operators start a rollout again.
type RolloutKey struct {
	Model    core.ModelID
	From, To core.WeightVersion
	// DeadlineMS is the rollout's deadline in Unix milliseconds.
	DeadlineMS int64
	// Cleared is the epoch at which restrictions on the version were lifted.
	Cleared core.Epoch
}

// keyOf returns the key of a model's rollout, false when it has none.
func keyOf(v *facts.View, m *bundle.Model) (RolloutKey, bool) {
	if m == nil || m.Rollout == nil {
		return RolloutKey{}, false
	}
	return RolloutKey{
		Model: m.ID, From: m.Stable, To: m.Rollout.To, DeadlineMS: m.Rollout.Deadline.UnixMilli(),
		Cleared: v.Head.ClearedAt[facts.VersionSubject(m.ID, m.Rollout.To)],
	}, true
}
