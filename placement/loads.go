package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/singleton/autoscale"
)

// LoadReport returns the loads of all upstreams, from which their number is decided.
// exchangedAt is the time of the last exchange of loads with the other fronts, and waiting
// the number of calls that wait at this front. The calls that wait at all fronts are
// estimated from it, since callers are spread over the fronts.
func (pl *Placer) LoadReport(now, exchangedAt time.Time, waiting map[core.ServiceID]int) autoscale.LoadReport {
	report := autoscale.LoadReport{
		At: now, ExchangedAt: exchangedAt, Upstreams: make([]autoscale.UpstreamLoad, 0, len(pl.upstreams)),
		Waiting: make(map[core.ServiceID]float64, len(waiting)), CallsPerUpstream: make(map[core.ServiceID]float64),
	}
	for id, u := range pl.upstreams {
		load := autoscale.UpstreamLoad{Upstream: id, Calls: u.load(now)}
		if u.leaving() {
			load.ExclusiveTokens = pl.exclusiveTokens(now, u)
		}
		report.Upstreams = append(report.Upstreams, load)
	}
	for service, calls := range waiting {
		report.Waiting[service] = float64(calls * max(len(pl.fronts), 1))
	}
	for id, service := range pl.services {
		if calls := pl.callsInMemory(id); service.Engine != nil && calls > 0 {
			report.CallsPerUpstream[id] = min(calls, float64(service.Engine.Slots))
		}
	}
	return report
}

// callsInMemory returns the number of running calls for which an engine of a service has
// memory, or 0 if it is not known.
func (pl *Placer) callsInMemory(service core.ServiceID) float64 {
	r, s := pl.residencies[service], pl.services[service]
	if r == nil || s.Engine == nil || r.meanTokens() <= 0 {
		return 0
	}
	return max(newCallMemoryShare*float64(s.Engine.CacheTokens)/r.meanTokens(), 1)
}

// exclusiveTokens returns the size of the parts that an upstream has cached and that neither
// a kept-cache store nor another upstream of its service that stays has.
func (pl *Placer) exclusiveTokens(now time.Time, u *upstream) int {
	var sum int
	for _, key := range u.cachedParts.Keys() {
		state, _ := u.cachedParts.Peek(key)
		if _, stored := pl.cacheIndex.Find(now, key, state.tokens, u.row.Domain, time.Time{}); stored {
			continue
		}
		if !pl.cachedElsewhere(key, state.tokens, u) {
			sum += state.tokens
		}
	}
	return sum
}

func (pl *Placer) cachedElsewhere(key cacheindex.Key, tokens int, u *upstream) bool {
	for _, other := range pl.byService[u.row.Service] {
		if other == u || other.leaving() {
			continue
		}
		if state, ok := other.cachedParts.Peek(key); ok && state.tokens >= tokens {
			return true
		}
	}
	return false
}
