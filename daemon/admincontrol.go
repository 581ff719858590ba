package daemon

import (
	"context"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/control"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/membership"
)

// adminControl implements admin.Control with the control duties of the process.
type adminControl struct {
	*control.Control
	upstreamLoads func() []admin.UpstreamLoad
}

// Permit implements admin.Control.
func (a *adminControl) Permit(ctx context.Context, operationID string, change func(facts.Head) (facts.Head, error), auditEntry admin.AuditEntry) (facts.Head, error) {
	detail := auditEntry.Subject
	if auditEntry.Detail != "" {
		detail += ": " + auditEntry.Detail
	}
	audit := control.AuditEntry{Actor: auditEntry.Actor, Action: auditEntry.Action, Detail: detail}
	return a.Control.Permit(ctx, operationID, withPreviousEpoch(change), audit)
}

// withPreviousEpoch wraps a change of the administration API for the control duties,
// which pass a head with the next epoch. The wrapper calls the change with the epoch
// that was read, as admin.Control requires, and then sets the next epoch again.
func withPreviousEpoch(change func(facts.Head) (facts.Head, error)) func(facts.Head) (facts.Head, error) {
	return func(next facts.Head) (facts.Head, error) {
		epoch := next.Epoch
		next.Epoch = epoch - 1
		out, err := change(next)
		out.Epoch = epoch
		return out, err
	}
}

// Members implements admin.Control.
func (a *adminControl) Members() []admin.Member {
	all := a.Control.Members().All
	out := make([]admin.Member, len(all))
	for i, m := range all {
		out[i] = admin.Member{
			Node: m.Node, Role: m.Role, FailureDomain: m.Domain, State: m.State.String(), Incarnation: m.Incarnation, Address: m.Address,
		}
	}
	return out
}

// Loads implements admin.Control.
func (a *adminControl) Loads() []admin.UpstreamLoad { return a.upstreamLoads() }

// Audit implements admin.Control.
func (a *adminControl) Audit(ctx context.Context, after string, limit int) ([]admin.AuditEntry, string, error) {
	rows, err := a.AuditTrail(ctx, after, limit)
	if err != nil {
		return nil, "", err
	}
	entries, next := auditPage(rows, limit)
	return entries, next, nil
}

// auditPage converts the rows of one page of the audit trail. It returns the position
// of the next page, or an empty string if the page is the last one because it has fewer
// rows than the limit.
func auditPage(rows []control.AuditEntry, limit int) (entries []admin.AuditEntry, next string) {
	entries = make([]admin.AuditEntry, len(rows))
	for i, r := range rows {
		entries[i] = admin.AuditEntry{
			At: r.Time(), Actor: r.Actor, Action: r.Action, Detail: r.Detail, Epoch: r.Epoch, OperationID: r.OperationID,
		}
	}
	if len(rows) < limit {
		return entries, ""
	}
	return entries, rows[len(rows)-1].Cursor
}

// countLiveEntries returns the number of entries with the state Live.
func countLiveEntries(members *membership.Members) int {
	n := 0
	for _, m := range members.All {
		if m.Role == roleEntry && m.State == membership.Live {
			n++
		}
	}
	return n
}
