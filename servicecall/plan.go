package servicecall

import (
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/wire"
)

// maxAttempts bounds the upstreams that one call is sent to.
const maxAttempts = 3

// candidates returns the service's upstreams that may take new work, in the
// order in which the call tries them. The order is that of rendezvous hashing
// over the bundle's list: by the idempotency key, so that attempts with one key
// meet at one agent, or else by the attempt, which spreads the load.
func candidates(v *facts.View, c *Call) []*bundle.Upstream {
	subject := string(c.Workspace) + "\x00" + string(c.Service) + "\x00" + c.IdempotencyKey
	if !c.AtMostOnce() {
		subject = string(c.Attempt)
	}
	var open []*bundle.Upstream
	for _, u := range v.Index.Instances[c.Service] {
		if v.UpstreamAllowed(u) {
			open = append(open, u)
		}
	}
	open = rendezvous.Ranked(open, subject, func(u *bundle.Upstream) string { return string(u.ID) })
	return open[:min(len(open), maxAttempts)]
}

// final reports whether a reply rules out another upstream. A call that may run
// at most once goes on only when the attempt left no claim behind; the next
// agent would find one as an earlier attempt.
func final(c *Call, r Reply) bool {
	return r.KeyReused || r.Reason == wire.RejectReason_REJECT_DEADLINE ||
		c.AtMostOnce() && r.Reason == wire.RejectReason_REJECT_TABLE_UNAVAILABLE
}
