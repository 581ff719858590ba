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
	// cacheEventTimeout is the maximum time after a server's last response for which
	// its recorded cache content is used. A fetch from a dead server costs some
	// hundred milliseconds.
	cacheEventTimeout = 900 * time.Millisecond
	// reservedReaders is the number of a source's event readers that is reserved for
	// processes that have just started.
	reservedReaders = 2
)

// CacheChange is a change of a server's cache according to its events.
type CacheChange struct {
	ReceivedAt  time.Time
	Unavailable bool
	// Restarted is set when the server has restarted.
	Restarted bool
	Added     []cacheindex.CachedPart
	Removed   []cacheindex.Key
}

// Sources returns the stores and servers whose cache events this process reads.
// When there are more processes than a source has readers, the processes with the
// lowest rendezvous ranks read its events. The other processes receive the events
// of stores from them as relays and do not use the events of servers.
func (t *Table) Sources() []cacheevents.Source {
	var out []cacheevents.Source
	t.serverByAddress = make(map[string]core.UpstreamID)
	for _, s := range t.cacheStores {
		source := cacheevents.Source{Address: s.Address, IsStore: true}
		if !t.subscribes(s.Address, s.EventReaders) {
			source.Relays = t.relays(s.Address, s.EventReaders-reservedReaders)
		}
		out = append(out, source)
	}
	for id, service := range t.services {
		if service.Engine == nil {
			continue
		}
		for _, u := range t.byService[id] {
			t.serverByAddress[u.listing.Address] = u.listing.ID
			if !u.listing.Draining && t.subscribes(u.listing.Address, service.Engine.EventReaders) {
				out = append(out, cacheevents.Source{Address: u.listing.Address})
			}
		}
	}
	return out
}

// relays returns the addresses of the processes that read a source's events. The
// order differs between processes, which distributes the requests to the relays.
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

func (t *Table) subscribes(address string, readers int) bool {
	if readers <= 0 || len(t.fronts) <= readers-reservedReaders {
		return true
	}
	return rendezvous.Position(t.fronts, t.opts.Node, address) < readers-reservedReaders
}

// ApplyCacheChange applies a change of a server's cache. It reports false when
// the address does not belong to a server.
func (t *Table) ApplyCacheChange(address string, c CacheChange) bool {
	id, ok := t.serverByAddress[address]
	if !ok {
		return false
	}
	u := t.upstreams[id]
	if u == nil {
		return true
	}
	if c.Unavailable {
		u.lastEventAt = time.Time{}
		return true
	}
	if c.Restarted {
		u.clearCache()
	}
	u.lastEventAt = c.ReceivedAt
	for _, key := range c.Removed {
		u.removeCachedPart(key)
	}
	for _, p := range c.Added {
		u.addCachedPart(p.Key, cachedPart{tokens: p.Tokens, reportedByUpstream: true}, t.cacheCapacity(u))
	}
	return true
}

// ApplyObservation applies another process's observation of an upstream unless
// this process has newer data.
func (t *Table) ApplyObservation(now time.Time, o observations.Observation) {
	u := t.upstreams[o.Upstream]
	if u == nil {
		return
	}
	if o.HasLoad && o.ObservedAt.After(u.otherCallsAt) {
		u.setReportedLoad(o.ObservedAt, o.Load)
	}
	if avoidUntil := o.ObservedAt.Add(unreachableDelay); o.Unreachable && avoidUntil.After(u.avoidUntil) && avoidUntil.After(now) && o.ObservedAt.After(u.lastResponseAt) {
		u.avoidUntil = avoidUntil
	}
}

// MarkCachesStale excludes the recorded cache content of each server until its
// next event.
func (t *Table) MarkCachesStale() {
	for _, u := range t.upstreams {
		u.lastEventAt = time.Time{}
	}
}

func (t *Table) cacheCapacity(u *upstream) int {
	service := t.services[u.listing.Service]
	if service == nil || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}

// serverSource returns another server from whose memory a part can be fetched,
// with preference for the same failure domain. Only parts that the server itself
// has reported are fetched.
func (t *Table) serverSource(now time.Time, u *upstream, key cacheindex.Key, tokens int) (cacheindex.Source, bool) {
	var best *upstream
	for _, other := range t.serversWithPart(now, u.listing.Service, key, tokens) {
		if other == u {
			continue
		}
		if best == nil || other.listing.Domain == u.listing.Domain && best.listing.Domain != u.listing.Domain {
			best = other
		}
	}
	if best == nil {
		return cacheindex.Source{}, false
	}
	engine := t.services[u.listing.Service].Engine
	return cacheindex.Source{Address: best.listing.Address, Domain: best.listing.Domain, LinkMbps: engine.LinkMbps}, true
}

// serversWithPart returns the servers of a service that have reported a part. The
// result is computed once for each placed call.
func (t *Table) serversWithPart(now time.Time, service core.ServiceID, key cacheindex.Key, tokens int) []*upstream {
	if servers, ok := t.partServers[key]; ok {
		return servers
	}
	var servers []*upstream
	for _, u := range t.byService[service] {
		if !u.eventsTrusted(now) || now.Before(u.avoidUntil) {
			continue
		}
		if c, ok := u.cachedParts.Peek(key); ok && c.reportedByUpstream && c.tokens >= tokens {
			servers = append(servers, u)
		}
	}
	t.partServers[key] = servers
	return servers
}

// bestSource selects the store or server from which a part is fetched fastest.
// Under older weights only stores are used, because the time at which a part was
// first seen is recorded only for them.
func (t *Table) bestSource(now time.Time, engine *catalog.Engine, u *upstream, key cacheindex.Key, tokens int, seenBefore time.Time) (s cacheindex.Source, f transfer, ms float64, found bool) {
	consider := func(c cacheindex.Source, ok bool) {
		if !ok {
			return
		}
		nominalMs := transferMs(engine, c, u.listing.Domain, tokens)
		queuedMs := t.queuedTransferMs(c.Address, nominalMs)
		estimateMs := queuedMs * t.link(c.Address).slowness(now)
		if !found || estimateMs < ms {
			s, f, ms, found = c, transfer{store: c.Address, nominalMs: nominalMs, queuedMs: queuedMs}, estimateMs, true
		}
	}
	consider(t.cacheIndex.Find(now, key, tokens, u.listing.Domain, seenBefore))
	if seenBefore.IsZero() {
		consider(t.serverSource(now, u, key, tokens))
	}
	return s, f, ms, found
}
