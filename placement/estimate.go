package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

// Costs of the estimate, in milliseconds.
const (
	// runCost is what each call at an engine adds to the wait of the next one.
	runCost = 4.0
	// fullCost is added when an engine's memory would be exceeded: it preempts
	// running calls then.
	fullCost = 250.0
	// affinityCost is added for each place in the order of rendezvous hashing,
	// so that processes that know nothing of each other send a prompt to the
	// same upstream.
	affinityCost = 10.0
	affinityMost = 120.0
	// faultCost is added in proportion to an upstream's share of failures.
	faultCost = 800.0
	// refusalCost is added while an upstream refuses calls.
	refusalCost = 500.0
	// oldWeightsCost is added for upstreams with older weights, from
	// oldWeightsAfter on.
	oldWeightsCost  = 120.0
	oldWeightsAfter = 500 * time.Millisecond
	// transferOverhead is how much longer a transfer takes than alone, since
	// links are shared.
	transferOverhead = 1.5
	// meanTokens is the memory assumed for a call of another process.
	meanTokens = 2000
	// rereadCost is added for each token of a shared part that is read although
	// it could be had from elsewhere: it takes the engine's time from other calls.
	// Small parts count smallRereadCost a token up to smallRereadMost, since most
	// of the time of their transfer is a fixed delay.
	rereadCost      = 0.06
	smallRereadCost = 0.2
	smallRereadMost = 150.0
	// crossCost and crossByteCost, for each byte, are added for upstreams in
	// other failure domains: traffic between these is scarce.
	crossCost     = 4.0
	crossByteCost = 0.001
	// plainCost is the time that a plain service takes for a call when it is not
	// known yet.
	plainCost = 30.0
)

// plan is what an upstream would fetch and read for a call. Its slices are those
// of a candidate and are used again for the next call.
type plan struct {
	salt    string
	weights catalog.WeightNumber
	fetch   []string
	// fetchMs is the time of the transfers.
	fetchMs   float64
	transfers []transfer
	// ahead is the time of transfers to the upstream that come first.
	ahead   float64
	fetched int
	read    int
	// again is the number of tokens that are read although a store or a server
	// holds them.
	again int
}

// plan works out a plan with the slices of an earlier one.
func (t *Table) plan(now time.Time, service *catalog.Service, u *upstream, need Request, used plan) plan {
	p := plan{fetch: used.fetch[:0], transfers: used.transfers[:0]}
	if service.Engine == nil || need.Prompt.Model == "" {
		return p
	}
	p.weights, p.read = u.weights[need.Prompt.Model], need.Prompt.Tokens
	if p.weights == 0 {
		return p
	}
	p.salt = t.salt(need, p.weights)
	for range need.Prompt.Parts {
		p.fetch = append(p.fetch, "")
	}
	var seenBefore time.Time
	if newer, old := t.named[need.Prompt.Model].FirstAbove(p.weights); old {
		seenBefore = newer.RequestedAt.Add(-changeMargin)
	}
	for i, part := range need.Prompt.Shared() {
		key := cacheindex.Key{Salt: p.salt, ID: part.ID}
		source, f, ms, found := t.source(now, service.Engine, u, key, part.Tokens, seenBefore)
		quick := found && ms+u.fetching < float64(part.Tokens)/t.opts.PrefillTokensPerMs+rereading(part.Tokens)
		if quick {
			p.fetch[i] = source.Address
		}
		switch {
		case u.resident.Contains(key):
		case quick:
			p.fetchMs += ms
			p.transfers = append(p.transfers, f)
			p.fetched += part.Tokens
		default:
			if found {
				p.again = part.Tokens
			}
			return p.behind(u) // later parts are of no use without this one
		}
		p.read = max(p.read-part.Tokens, 0)
	}
	return p.behind(u)
}

// salt returns the salt of a call under a weight version. Most upstreams have the
// same one, so the last is kept for the rest of the call.
func (t *Table) salt(need Request, weights catalog.WeightNumber) string {
	if t.lastSalt == "" || t.lastWeights != weights {
		t.lastSalt, t.lastWeights = Salt(need.Prompt.Model, weights, need.Workspace), weights
	}
	return t.lastSalt
}

// rereading is what it costs to read tokens again that could be had from
// elsewhere, in milliseconds.
func rereading(tokens int) float64 {
	n := float64(tokens)
	return max(rereadCost*n, min(smallRereadCost*n, smallRereadMost))
}

// behind adds the wait for transfers to the upstream that come first.
func (p plan) behind(u *upstream) plan {
	if len(p.transfers) > 0 {
		p.ahead = u.fetching
	}
	return p
}

func transferMs(engine *catalog.Engine, source cacheindex.Source, domain core.FailureDomain, tokens int) float64 {
	mbps := min(source.LinkMbps, engine.LinkMbps)
	if mbps <= 0 {
		return 0
	}
	ms := float64(tokens) * float64(engine.TokenBytes) * 8 / (mbps * 1000) * transferOverhead
	if source.Domain != domain {
		ms *= 2
	}
	return ms + float64(source.Delay.Microseconds())/1000
}

// cost estimates the time to the first byte in milliseconds, with additions for
// what speaks against an upstream.
func (t *Table) cost(now time.Time, service *catalog.Service, u *upstream, need Request, p plan) float64 {
	load := u.load(now)
	ms := u.lateness(now) + max(u.silence(now), 0) + faultCost*u.faultShare(now)
	if now.Before(u.refuseUntil) {
		ms += refusalCost
	}
	if u.listed.Domain != t.opts.Domain {
		ms += crossCost + crossByteCost*float64(need.Bytes)
	}
	if service.Engine == nil {
		slots := max(float64(u.listed.Slots), 1)
		return ms + plainCost*(1+load/slots)
	}
	ms += float64(u.backlog+p.read)/t.opts.PrefillTokensPerMs + p.fetchMs + p.ahead + runCost*load
	ms += rereading(p.again)
	memory := float64(u.tokens+need.Prompt.Tokens+need.Prompt.MaxOutput) + u.othersLoad(now)*meanTokens
	if memory > float64(service.Engine.CacheTokens) {
		ms += fullCost
	}
	if newer, old := t.named[need.Prompt.Model].FirstAbove(p.weights); old && now.Sub(newer.RequestedAt) > oldWeightsAfter {
		ms += oldWeightsCost
	}
	return ms
}

// affinities returns the cost of each upstream's place in the order of
// rendezvous hashing over the call's last shared part. It is nil for calls
// without one.
func (t *Table) affinities(need Request) []float64 {
	shared := need.Prompt.Shared()
	if len(shared) == 0 {
		return nil
	}
	upstreams := t.byService[need.Service]
	t.costs = t.costs[:0]
	for range upstreams {
		t.costs = append(t.costs, affinityMost)
	}
	rendezvous.Top(upstreams, string(shared[len(shared)-1].ID), int(affinityMost/affinityCost),
		func(u *upstream) string { return string(u.listed.ID) },
		func(place, i int) { t.costs[i] = float64(place) * affinityCost })
	return t.costs
}

func (t *Table) expected(now time.Time, service *catalog.Service, u *upstream, p plan) time.Duration {
	ms := plainCost * (1 + u.load(now)/max(float64(u.listed.Slots), 1))
	if service.Engine != nil {
		ms = plainCost + float64(u.backlog+p.read)/t.opts.PrefillTokensPerMs + p.fetchMs + p.ahead + runCost*u.load(now)
	}
	return time.Duration(ms * float64(time.Millisecond))
}
