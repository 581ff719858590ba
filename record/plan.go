package record

import (
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/wire"
)

// maxAttempts is the maximum number of upstreams to which one call is sent.
const maxAttempts = 3

// candidates returns up to maxAttempts upstreams of the service that accept new
// calls, in the sequence of the attempts. They are ranked by rendezvous hashing. For a
// call that may run at most once, the hashed subject contains the idempotency key, so
// that attempts with the same key are sent to the same agent. For any other call, the
// subject is the attempt ID, which distributes the load.
func candidates(v *facts.View, c *Call) []*bundle.Upstream {
	subject := string(c.Workspace) + "\x00" + string(c.Service) + "\x00" + c.IdempotencyKey
	if !c.AtMostOnce() {
		subject = string(c.Attempt)
	}
	var allowed []*bundle.Upstream
	for _, u := range v.Index.Instances[c.Service] {
		if v.UpstreamAllowed(u) {
			allowed = append(allowed, u)
		}
	}
	allowed = rendezvous.Ranked(allowed, subject, func(u *bundle.Upstream) string { return string(u.ID) })
	return allowed[:min(len(allowed), maxAttempts)]
}

// isFinal reports whether a reply excludes a further attempt at another upstream. A
// call that may run at most once is not sent to another upstream after
// REJECT_TABLE_UNAVAILABLE. The attempt may then have left a claim in the table, which
// the next agent would treat as an earlier attempt that may have run.
func isFinal(c *Call, r Reply) bool {
	return r.KeyReused || r.Reason == wire.RejectReason_REJECT_DEADLINE ||
		c.AtMostOnce() && r.Reason == wire.RejectReason_REJECT_TABLE_UNAVAILABLE
}
