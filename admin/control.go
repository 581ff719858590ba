// Package admin offers the administration API under /admin/v1/ and its client.
// Handlers parse requests, check roles and hand typed changes to the control
// plane; the duties Events and Notices report what came into force.
package admin

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
)

// Control is what the API needs from the control plane.
type Control interface {
	// View returns the current snapshot; it is nil before the first one.
	View() *facts.View
	// Restrict puts a restriction in force in this process and spreads it. It
	// does not need the table.
	Restrict(ctx context.Context, r facts.Restriction) error
	// Permit reads the head, applies the change and writes the result with the
	// audit entry in one conditional transaction. It sets the epoch of the
	// result and of the entry to one more than that of the head read. When the
	// operation id has already taken effect, it returns that result without
	// calling change. Errors of change are returned as they are; other errors
	// have the kinds Conflict, Unavailable, Exhausted and Unknown.
	Permit(ctx context.Context, operationID string, change func(facts.Head) (facts.Head, error), entry AuditEntry) (facts.Head, error)
	// Members returns the processes of the deployment.
	Members() []Member
	// Loads returns what is known about the load of the upstreams.
	Loads() []UpstreamLoad
	// Audit lists entries, oldest first, after a position ("" is the start), at
	// most limit of them, and returns the position of the next page, or "" if there is
	// none.
	Audit(ctx context.Context, after string, limit int) (entries []AuditEntry, next string, err error)
}

// Member is one process of the deployment.
type Member struct {
	Node          core.NodeID        `json:"node"`
	Role          string             `json:"role"`
	FailureDomain core.FailureDomain `json:"failure_domain"`
	// State is live, suspect, failed or leaving.
	State       string           `json:"state"`
	Incarnation core.Incarnation `json:"incarnation"`
	Address     string           `json:"address"`
}

// UpstreamLoad is the load of one upstream in runs.
type UpstreamLoad struct {
	Upstream core.UpstreamID `json:"upstream"`
	Running  int             `json:"running"`
	Queued   int             `json:"queued"`
	Window   int             `json:"window"`
	Cold     bool            `json:"cold"`
}

// AuditEntry records one change.
type AuditEntry struct {
	At time.Time `json:"at"`
	// Actor is the name of the operator's token or of the process.
	Actor string `json:"actor"`
	// Action is one of the Action constants, or a name used by the control plane.
	Action      string     `json:"action"`
	Subject     string     `json:"subject"`
	Detail      string     `json:"detail,omitempty"`
	Epoch       core.Epoch `json:"epoch"`
	OperationID string     `json:"operation_id,omitempty"`
}

// Actions that the API writes to the audit trail.
const (
	ActionSignOff        = "sign_off"
	ActionReturnDomain   = "return_domain"
	ActionReturnUpstream = "return_upstream"
)
