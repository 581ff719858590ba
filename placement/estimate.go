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
	// runningCallCost is the delay that each call at an engine adds to the next call.
	runningCallCost = 4.0
	// memoryFullCost is added when the call would exceed an engine's memory. The
	// engine preempts running calls in that case.
	memoryFullCost = 250.0
	// affinityCostPerRank is added for each rank in rendezvous hashing, up to
	// maxAffinityCost, so that processes send a prompt to the same upstream without
	// exchanging messages.
	affinityCostPerRank = 10.0
	maxAffinityCost     = 120.0
	// failureCost is multiplied by an upstream's share of failed calls.
	failureCost = 800.0
	// rejectionCost is added while an upstream rejects calls.
	rejectionCost = 500.0
	// oldWeightsCost is added for upstreams with older weights once
	// oldWeightsGracePeriod has passed since the request for newer ones.
	oldWeightsCost        = 120.0
	oldWeightsGracePeriod = 500 * time.Millisecond
	// transferOverheadFactor is the assumed ratio of the time of a transfer on a
	// shared link to its time on an idle link.
	transferOverheadFactor = 1.5
	// assumedCallTokens is the assumed memory of a call of another process.
	assumedCallTokens = 2000
	// rereadCostPerToken is added for each token of a shared part that is recomputed
	// although it could be fetched, because the engine's time is lost to other calls.
	// Small parts cost smallRereadCostPerToken up to maxSmallRereadCost, because most
	// of the time of their transfer is a fixed delay.
	rereadCostPerToken      = 0.06
	smallRereadCostPerToken = 0.2
	maxSmallRereadCost      = 150.0
	// crossDomainCost, and crossDomainCostPerByte for each byte of the call, are
	// added for upstreams in other failure domains, because the bandwidth between
	// failure domains is limited.
	crossDomainCost        = 4.0
	crossDomainCostPerByte = 0.001
	// plainCallCost is the assumed base time of a call to a plain service, for which no
	// estimate by tokens exists.
	plainCallCost = 30.0
)

// plan describes which parts an upstream would fetch for a call and how many
// tokens it would read (prefill). Its slices belong to a candidate and are reused
// for the next call.
type plan struct {
	salt      string
	weights   catalog.WeightNumber
	fetchFrom []string
	// fetchMs is the total time of the transfers.
	fetchMs   float64
	transfers []transfer
	// queuedBeforeMs is the time of the pending transfers to the upstream that are
	// queued before this call's transfers.
	queuedBeforeMs float64
	fetchedTokens  int
	readTokens     int
	// rereadTokens is the number of tokens that are read although they could be
	// fetched from a store or a server.
	rereadTokens int
}

// makePlan computes the plan for an upstream. It reuses the slices of an earlier
// plan.
func (t *Table) makePlan(now time.Time, service *catalog.Service, u *upstream, req Request, reuse plan) plan {
	p := plan{fetchFrom: reuse.fetchFrom[:0], transfers: reuse.transfers[:0]}
	if service.Engine == nil || req.Prompt.Model == "" {
		return p
	}
	p.weights, p.readTokens = u.weights[req.Prompt.Model], req.Prompt.Tokens
	if p.weights == 0 {
		return p
	}
	p.salt = t.salt(req, p.weights)
	for range req.Prompt.Parts {
		p.fetchFrom = append(p.fetchFrom, "")
	}
	var seenBefore time.Time
	if newer, outdated := t.weightHistory[req.Prompt.Model].FirstAbove(p.weights); outdated {
		seenBefore = newer.RequestedAt.Add(-weightChangeMargin)
	}
	for i, part := range req.Prompt.SharedParts() {
		key := cacheindex.Key{Salt: p.salt, ID: part.ID}
		source, f, ms, found := t.bestSource(now, service.Engine, u, key, part.Tokens, seenBefore)
		worthFetching := found && ms+u.pendingFetchMs < float64(part.Tokens)/t.opts.PrefillTokensPerMs+rereadPenalty(part.Tokens)
		if worthFetching {
			p.fetchFrom[i] = source.Address
		}
		switch {
		case u.cachedParts.Contains(key):
		case worthFetching:
			p.fetchMs += ms
			p.transfers = append(p.transfers, f)
			p.fetchedTokens += part.Tokens
		default:
			if found {
				p.rereadTokens = part.Tokens
			}
			return p.withQueue(u) // later parts cannot be used without this one
		}
		p.readTokens = max(p.readTokens-part.Tokens, 0)
	}
	return p.withQueue(u)
}

// salt returns the salt of a call under a weight version. Most upstreams have the
// same version, so the last salt is cached for the rest of the call's placement.
func (t *Table) salt(req Request, weights catalog.WeightNumber) string {
	if t.lastSalt == "" || t.lastWeights != weights {
		t.lastSalt, t.lastWeights = Salt(req.Prompt.Model, weights, req.Workspace), weights
	}
	return t.lastSalt
}

// rereadPenalty is the cost in milliseconds of reading tokens that could be
// fetched.
func rereadPenalty(tokens int) float64 {
	n := float64(tokens)
	return max(rereadCostPerToken*n, min(smallRereadCostPerToken*n, maxSmallRereadCost))
}

// withQueue adds the delay by the pending transfers to the upstream.
func (p plan) withQueue(u *upstream) plan {
	if len(p.transfers) > 0 {
		p.queuedBeforeMs = u.pendingFetchMs
	}
	return p
}

func transferMs(engine *catalog.Engine, source cacheindex.Source, domain core.FailureDomain, tokens int) float64 {
	mbps := min(source.LinkMbps, engine.LinkMbps)
	if mbps <= 0 {
		return 0
	}
	ms := float64(tokens) * float64(engine.TokenBytes) * 8 / (mbps * 1000) * transferOverheadFactor
	if source.Domain != domain {
		ms *= 2
	}
	return ms + float64(source.Delay.Microseconds())/1000
}

// estimateCost estimates the time to the first byte in milliseconds and adds
// penalties, for example for failures, memory pressure or older weights.
func (t *Table) estimateCost(now time.Time, service *catalog.Service, u *upstream, req Request, p plan) float64 {
	load := u.load(now)
	ms := u.lateness(now) + max(u.overdueMs(now), 0) + failureCost*u.failureShare(now)
	if now.Before(u.rejectingUntil) {
		ms += rejectionCost
	}
	if u.listing.Domain != t.opts.Domain {
		ms += crossDomainCost + crossDomainCostPerByte*float64(req.Bytes)
	}
	if service.Engine == nil {
		slots := max(float64(u.listing.Slots), 1)
		return ms + plainCallCost*(1+load/slots)
	}
	ms += float64(u.backlog+p.readTokens)/t.opts.PrefillTokensPerMs + p.fetchMs + p.queuedBeforeMs + runningCallCost*load
	ms += rereadPenalty(p.rereadTokens)
	memory := float64(u.memoryTokens+req.Prompt.Tokens+req.Prompt.MaxOutputTokens) + u.othersLoad(now)*assumedCallTokens
	if memory > float64(service.Engine.CacheTokens) {
		ms += memoryFullCost
	}
	if newer, outdated := t.weightHistory[req.Prompt.Model].FirstAbove(p.weights); outdated && now.Sub(newer.RequestedAt) > oldWeightsGracePeriod {
		ms += oldWeightsCost
	}
	return ms
}

// affinityCosts returns the cost of each upstream's rank in rendezvous hashing
// over the call's last shared part. It returns nil for calls without a shared
// part.
func (t *Table) affinityCosts(req Request) []float64 {
	shared := req.Prompt.SharedParts()
	if len(shared) == 0 {
		return nil
	}
	upstreams := t.byService[req.Service]
	t.affinityBuf = t.affinityBuf[:0]
	for range upstreams {
		t.affinityBuf = append(t.affinityBuf, maxAffinityCost)
	}
	rendezvous.VisitTop(upstreams, string(shared[len(shared)-1].ID), int(maxAffinityCost/affinityCostPerRank),
		func(u *upstream) string { return string(u.listing.ID) },
		func(rank, i int) { t.affinityBuf[i] = float64(rank) * affinityCostPerRank })
	return t.affinityBuf
}

func (t *Table) expectedFirstByte(now time.Time, service *catalog.Service, u *upstream, p plan) time.Duration {
	ms := plainCallCost * (1 + u.load(now)/max(float64(u.listing.Slots), 1))
	if service.Engine != nil {
		ms = plainCallCost + float64(u.backlog+p.readTokens)/t.opts.PrefillTokensPerMs + p.fetchMs + p.queuedBeforeMs + runningCallCost*u.load(now)
	}
	return time.Duration(ms * float64(time.Millisecond))
}
