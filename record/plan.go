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
// calls, in the sequence of the attempts. They are ranked by rendezvous hashing. For an
// at-most-once call, the hashed string contains the idempotency key, so that calls with
// the same key are sent to the same agent. For any other call, the hashed string is the
// ID of the call, which distributes the load.
func candidates(v *facts.View, c *Call) []*bundle.Upstream {
	hashKey := string(c.Workspace) + "\x00" + string(c.Service) + "\x00" + c.IdempotencyKey
	if !c.AtMostOnce() {
		hashKey = string(c.Attempt)
	}
	var allowed []*bundle.Upstream
	for _, u := range v.Index.Instances[c.Service] {
		if v.UpstreamAllowed(u) {
			allowed = append(allowed, u)
		}
	}
	allowed = rendezvous.Ranked(allowed, hashKey, func(u *bundle.Upstream) string { return string(u.ID) })
	return allowed[:min(len(allowed), maxAttempts)]
}

// isFinal reports whether a reply excludes a further attempt at another upstream. An
// at-most-once call is not sent to another upstream after REJECT_TABLE_UNAVAILABLE. The attempt may then have left a claim in the table, which
// the next agent would treat as an earlier attempt that may have run.
func isFinal(c *Call, r Reply) bool {
	return r.KeyReused || r.Reason == wire.RejectReason_REJECT_DEADLINE ||
		c.AtMostOnce() && r.Reason == wire.RejectReason_REJECT_TABLE_UNAVAILABLE
}
