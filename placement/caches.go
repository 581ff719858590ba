package placement

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/sharing"
)

const (
	// cacheEventTimeout is the maximum time after a server's last response to a
	// request for events during which other servers may fetch parts from its memory.
	// A fetch from a server that does not respond takes several hundred milliseconds.
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

// EventSources returns the stores and servers whose cache events this process
// reads, and records the addresses of all servers for ApplyCacheChange. When there
// are more processes than a source allows readers, the processes at the first
// positions of the rendezvous ranking read its events. The other processes receive
// the events of stores from these processes and do not use the events of servers.
// A server that has asked for a pause is a paused source until the end of the pause.
func (pl *Placer) EventSources(now time.Time) []cacheevents.Source {
	var out []cacheevents.Source
	pl.serverByAddress = make(map[string]core.UpstreamID)
	for _, s := range pl.cacheStores {
		source := cacheevents.Source{Address: s.Address, IsStore: true}
		if !pl.readsEvents(s.Address, s.EventReaders) {
			source.Relays = pl.relays(s.Address, s.EventReaders-reservedReaders)
		}
		out = append(out, source)
	}
	for id, service := range pl.services {
		if service.Engine == nil {
			continue
		}
		for _, u := range pl.byService[id] {
			pl.serverByAddress[u.row.Address] = u.row.ID
			if u.row.Draining || !pl.readsEvents(u.row.Address, service.Engine.EventReaders) {
				continue
			}
			out = append(out, cacheevents.Source{Address: u.row.Address, StartedAtMs: u.row.StartedAtMs})
		}
	}
	pl.eventSources = out
	return pl.RefreshEventSources(now)
}

// RefreshEventSources returns the result of the last call of EventSources with the present
// pauses. Pauses start and end often, and the ranking of the processes takes much longer.
func (pl *Placer) RefreshEventSources(now time.Time) []cacheevents.Source {
	pl.sourcesOutdated, pl.sourcesValidUntil = false, time.Time{}
	out := slices.Clone(pl.eventSources)
	for i := range out {
		u := pl.upstreams[pl.serverByAddress[out[i].Address]]
		if u != nil && u.restriction.paused(now) {
			out[i].Paused = true
			pl.limitSourcesValidity(u.restriction.pausedUntil)
		}
	}
	return out
}

// EventSourcesOutdated reports whether a pause has started or ended since the last call of
// EventSources or RefreshEventSources.
func (pl *Placer) EventSourcesOutdated(now time.Time) bool {
	return pl.sourcesOutdated || !pl.sourcesValidUntil.IsZero() && !now.Before(pl.sourcesValidUntil)
}

// limitSourcesValidity records the end of a pause for EventSourcesOutdated.
func (pl *Placer) limitSourcesValidity(end time.Time) {
	if pl.sourcesValidUntil.IsZero() || end.Before(pl.sourcesValidUntil) {
		pl.sourcesValidUntil = end
	}
}

// relays returns the addresses of the processes that read a source's events and
// pass them to other processes. The order differs between the requesting
// processes, which distributes their requests.
func (pl *Placer) relays(address string, n int) []string {
	name := func(node core.NodeID) string { return string(node) }
	nodes := rendezvous.Ranked(pl.fronts, address, name)
	nodes = rendezvous.Ranked(nodes[:min(max(n, 1), len(nodes))], address+string(pl.opts.Node), name)
	out := make([]string, len(nodes))
	for i, node := range nodes {
		out[i] = pl.frontAddresses[node]
	}
	return out
}

// readsEvents reports whether this process reads the events of the source at an
// address itself. Zero maxReaders means no limit.
func (pl *Placer) readsEvents(address string, maxReaders int) bool {
	if maxReaders <= 0 || len(pl.fronts) <= maxReaders-reservedReaders {
		return true
	}
	return rendezvous.Position(pl.fronts, pl.opts.Node, address) < maxReaders-reservedReaders
}

// ApplyCacheChange applies a change of a server's cache. It reports false when
// the address did not belong to a server at the last call of EventSources.
func (pl *Placer) ApplyCacheChange(address string, c CacheChange) bool {
	id, ok := pl.serverByAddress[address]
	if !ok {
		return false
	}
	u := pl.upstreams[id]
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
		u.addCachedPart(p.Key, partState{tokens: p.Tokens, reportedByUpstream: true}, pl.cacheCapacity(u))
	}
	return true
}

// ApplyObservation applies another process's observation of an upstream unless
// this process has newer data.
func (pl *Placer) ApplyObservation(now time.Time, o sharing.Observation) {
	if o.Leaving {
		pl.recordDeparture(now, o.ObservedAt, quarantine.Incarnation{Upstream: o.Upstream, StartedAtMs: o.StartedAtMs}, o.Reporter)
	}
	u := pl.upstreams[o.Upstream]
	if u == nil {
		return
	}
	if o.HasLoad && o.ObservedAt.After(u.otherCallsAt) {
		u.setReportedLoad(o.ObservedAt, o.Load)
		u.reportedWaiting = float64(o.Waiting)
	}
	u.slowdown.Announce(o.ObservedAt, o.Slowdown)
	u.slowdown.Observe(o.ObservedAt, o.SlowdownSample)
	if o.HasRateLimit {
		pl.updateRate(now, o.ObservedAt, u, o.RateLimit)
	}
	if avoidUntil := o.ObservedAt.Add(unreachableDelay); o.Unreachable && avoidUntil.After(u.excludedUntil) && avoidUntil.After(now) && o.ObservedAt.After(u.lastResponseAt) {
		u.excludedUntil = avoidUntil
	}
}

// RecordSuspension records that this process was suspended until now. It stops fetches from
// the memory of each server until its next response to a request for events, and the use of
// portions of limits until the list of processes is newer. The times after which former
// scopes are freed begin again.
func (pl *Placer) RecordSuspension(now time.Time) {
	pl.members.Suspended(now)
	pl.isolation.former = nil
	for _, u := range pl.upstreams {
		u.lastEventAt = time.Time{}
	}
}

func (pl *Placer) cacheCapacity(u *upstream) int {
	service := pl.services[u.row.Service]
	if service == nil || service.Engine == nil {
		return 0
	}
	return service.Engine.CacheTokens
}

// serverSource returns another server from whose memory a part can be fetched,
// with preference for the same failure domain. Only parts that the server itself
// has reported are fetched.
func (pl *Placer) serverSource(now time.Time, u *upstream, key cacheindex.Key, tokens int) (cacheindex.Source, bool) {
	var best *upstream
	for _, other := range pl.serversWithPart(now, u.row.Service, key, tokens) {
		if other == u {
			continue
		}
		if best == nil || other.row.Domain == u.row.Domain && best.row.Domain != u.row.Domain {
			best = other
		}
	}
	if best == nil {
		return cacheindex.Source{}, false
	}
	engine := pl.services[u.row.Service].Engine
	return cacheindex.Source{Address: best.row.Address, Domain: best.row.Domain, LinkMbps: engine.LinkMbps}, true
}

// serversWithPart returns the servers of a service that have reported a part. The
// result is computed once for each placed call.
func (pl *Placer) serversWithPart(now time.Time, service core.ServiceID, key cacheindex.Key, tokens int) []*upstream {
	if servers, ok := pl.partServers[key]; ok {
		return servers
	}
	var servers []*upstream
	for _, u := range pl.byService[service] {
		if !u.eventsTrusted(now) || now.Before(u.excludedUntil) {
			continue
		}
		if c, ok := u.cachedParts.Peek(key); ok && c.reportedByUpstream && c.tokens >= tokens {
			servers = append(servers, u)
		}
	}
	pl.partServers[key] = servers
	return servers
}

// bestSource selects the store or server from which a part is fetched fastest.
// Under older weights only stores are used, because the time at which a part was
// first reported is recorded only for them.
func (pl *Placer) bestSource(now time.Time, engine *catalog.Engine, u *upstream, key cacheindex.Key, tokens int, seenBefore time.Time) (s cacheindex.Source, f transfer, ms float64, found bool) {
	consider := func(c cacheindex.Source, ok bool) {
		if !ok {
			return
		}
		nominalMs := transferMs(engine, c, u.row.Domain, tokens)
		queuedMs := pl.queuedTransferMs(now, c.Address, nominalMs)
		estimateMs := max(queuedMs*pl.link(c.Address).slowness(now), queuedMs+pl.linkDelayMs(now, c.Address))
		if !found || estimateMs < ms {
			s, f, ms, found = c, transfer{sourceAddress: c.Address, nominalMs: nominalMs, queuedMs: queuedMs, expectedMs: estimateMs}, estimateMs, true
		}
	}
	consider(pl.cacheIndex.Find(now, key, tokens, u.row.Domain, seenBefore))
	if seenBefore.IsZero() {
		consider(pl.serverSource(now, u, key, tokens))
	}
	return s, f, ms, found
}
