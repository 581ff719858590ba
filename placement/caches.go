package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/observations"
	"waxwingtide.example/waxwingtide/rendezvous"
)

const (
	// cacheTrust is how long a server's cache events are trusted after its last
	// answer; a server that died costs a fetch some hundred milliseconds.
	cacheTrust = 900 * time.Millisecond
	// spareReaders is kept of the callers that may wait for events, for processes
	// that have just started.
	spareReaders = 2
)

// CacheChange is what a server's events say of its cache.
type CacheChange struct {
	ReceivedAt  time.Time
	Unavailable bool
	// Reset is set when the server has started anew.
	Restarted bool
	Added     []cacheindex.CachedPart
	Removed   []cacheindex.Key
}

// Sources returns the stores and servers whose cache events this process
// follows. Where more processes than a source serves would follow it, the first
// ones in the order of rendezvous hashing do; the others learn of stores from
// them, and do without the events of servers.
func (t *Table) Sources() []cacheevents.Source {
	var out []cacheevents.Source
	t.addresses = make(map[string]core.UpstreamID)
	for _, s := range t.stores {
		source := cacheevents.Source{Address: s.Address, Listed: true}
		if !t.follows(s.Address, s.EventReaders) {
			source.Relays = t.relays(s.Address, s.EventReaders-spareReaders)
		}
		out = append(out, source)
	}
	for id, service := range t.services {
		if service.Engine == nil {
			continue
		}
		for _, u := range t.byService[id] {
			t.addresses[u.listed.Address] = u.listed.ID
			if !u.listed.Draining && t.follows(u.listed.Address, service.Engine.EventReaders) {
				out = append(out, cacheevents.Source{Address: u.listed.Address})
			}
		}
	}
	return out
}

// relays returns the addresses of the processes that follow a source, in an
// order that spreads those that ask them.
func (t *Table) relays(address string, n int) []string {
	name := func(node core.NodeID) string { return string(node) }
	nodes := rendezvous.Rank(t.fronts, address, name)
	nodes = rendezvous.Rank(nodes[:min(max(n, 1), len(nodes))], address+string(t.opts.Node), name)
	out := make([]string, len(nodes))
	for i, node := range nodes {
		out[i] = t.members[node]
	}
	return out
}

func (t *Table) follows(address string, readers int) bool {
	if readers <= 0 || len(t.fronts) <= readers-spareReaders {
		return true
	}
	return rendezvous.Position(t.fronts, t.opts.Node, address) < readers-spareReaders
}

// TakeCache takes a change of a server's cache. It reports false when the
// address is not that of a server.
func (t *Table) ApplyCacheChange(address string, c CacheChange) bool {
	id, ok := t.addresses[address]
	if !ok {
		return false
	}
	u := t.upstreams[id]
	if u == nil {
		return true
	}
	if c.Unavailable {
		u.heardAt = time.Time{}
		return true
	}
	if c.Restarted {
		u.forgetCache()
	}
	u.heardAt = c.ReceivedAt
	for _, key := range c.Removed {
		u.drop(key)
	}
	for _, h := range c.Added {
		u.hasRead(h.Key, cached{tokens: h.Tokens, told: true}, t.capacity(u))
	}
	return true
}

// TakeShared takes what another process has seen of an upstream. Own knowledge
// that is newer stays.
func (t *Table) ApplyObservation(now time.Time, o observations.Observation) {
	u := t.upstreams[o.Upstream]
	if u == nil {
		return
	}
	if o.HasLoad && o.At.After(u.othersAt) {
		u.reported(o.At, o.Load)
	}
	if until := o.At.Add(unreachableFor); o.Unreachable && until.After(u.avoidUntil) && until.After(now) && o.At.After(u.reachedAt) {
		u.avoidUntil = until
	}
}

// ForgetCaches stops trusting what servers told of their caches, until each
// tells again.
func (t *Table) MarkCachesStale() {
	for _, u := range t.upstreams {
		u.heardAt = time.Time{}
	}
}

func (t *Table) capacity(u *upstream) int {
	service := t.services[u.listed.Service]
	if service == nil || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}

// holder returns another server from whose memory a part can be fetched. Only
// parts that the server itself has reported are fetched.
func (t *Table) holder(now time.Time, u *upstream, key cacheindex.Key, tokens int) (cacheindex.Source, bool) {
	var best *upstream
	for _, other := range t.holdersOf(now, u.listed.Service, key, tokens) {
		if other == u {
			continue
		}
		if best == nil || other.listed.Domain == u.listed.Domain && best.listed.Domain != u.listed.Domain {
			best = other
		}
	}
	if best == nil {
		return cacheindex.Source{}, false
	}
	engine := t.services[u.listed.Service].Engine
	return cacheindex.Source{Address: best.listed.Address, Domain: best.listed.Domain, LinkMbps: engine.LinkMbps}, true
}

// holdersOf returns the servers of a service that have reported a part. It is
// worked out once for each call that is placed.
func (t *Table) holdersOf(now time.Time, service core.ServiceID, key cacheindex.Key, tokens int) []*upstream {
	if known, ok := t.holders[key]; ok {
		return known
	}
	var out []*upstream
	for _, u := range t.byService[service] {
		if !u.eventsTrusted(now) || now.Before(u.avoidUntil) {
			continue
		}
		if c, ok := u.resident.Peek(key); ok && c.told && c.tokens >= tokens {
			out = append(out, u)
		}
	}
	t.holders[key] = out
	return out
}

// source chooses between the stores and other servers' memory for a part. Under
// older weights only stores are used, where the time of a part is known.
func (t *Table) source(now time.Time, engine *catalog.Engine, u *upstream, key cacheindex.Key, tokens int, seenBefore time.Time) (s cacheindex.Source, f transfer, ms float64, found bool) {
	consider := func(c cacheindex.Source, ok bool) {
		if !ok {
			return
		}
		nominal := transferMs(engine, c, u.listed.Domain, tokens)
		queued := t.queued(c.Address, nominal)
		took := queued * t.link(c.Address).slowness(now)
		if !found || took < ms {
			s, f, ms, found = c, transfer{store: c.Address, nominal: nominal, queued: queued}, took, true
		}
	}
	consider(t.kept.Find(now, key, tokens, u.listed.Domain, seenBefore))
	if seenBefore.IsZero() {
		consider(t.holder(now, u, key, tokens))
	}
	return s, f, ms, found
}
