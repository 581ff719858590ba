package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

// Constants of the estimate. Costs are in milliseconds.
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
	// rejectionCost is added for rejectionCostDuration after an upstream rejected a
	// call.
	rejectionCost = 500.0
	// oldWeightsCost is added for upstreams with older weights once
	// oldWeightsGracePeriod has passed since the request for newer ones.
	oldWeightsCost        = 120.0
	oldWeightsGracePeriod = 500 * time.Millisecond
	// transferOverheadFactor is the assumed ratio of the time of a transfer to the
	// time at the full rate of the link, since links are shared.
	transferOverheadFactor = 1.5
	// assumedCallTokens is the assumed memory of a call until the first one has finished.
	assumedCallTokens = 2000
	// recomputeCostPerToken is added for each token of a shared part that is recomputed
	// although it could be fetched, because the engine cannot run other calls in that
	// time. The cost of small parts is higher, smallRecomputeCostPerToken per token up
	// to maxSmallRecomputeCost, so that they are fetched as well: most of the time of
	// their transfer is a fixed delay. The larger of the two costs applies.
	recomputeCostPerToken      = 0.06
	smallRecomputeCostPerToken = 0.2
	maxSmallRecomputeCost      = 150.0
	// crossDomainCost, and crossDomainCostPerByte for each byte of the call, are
	// added for upstreams in other failure domains, because the bandwidth between
	// failure domains is limited.
	crossDomainCost        = 4.0
	crossDomainCostPerByte = 0.001
	// baseCallCost is the assumed time to the first byte of a call without load,
	// prefill and transfers.
	baseCallCost = 30.0
)

// plan describes which parts an upstream would fetch for a call and how many
// tokens it would read (prefill). The slices belong to a candidate and are reused
// for the next call. fetchFrom also contains a source, if one is known, for parts that
// are recorded as cached at the upstream, in case they have been evicted.
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
	// recomputedTokens is the size of the first part that is read although it could be
	// fetched from a store or a server, or 0. The parts after it are not counted.
	recomputedTokens int
}

// makePlan computes the plan for an upstream. It reuses the slices of an earlier
// plan.
func (pl *Placer) makePlan(now time.Time, service *catalog.Service, u *upstream, req Request, reuse plan) plan {
	p := plan{fetchFrom: reuse.fetchFrom[:0], transfers: reuse.transfers[:0]}
	if service.Engine == nil || req.Prompt.Model == "" {
		return p
	}
	p.weights, p.readTokens = u.weights[req.Prompt.Model], req.Prompt.Tokens
	if p.weights == 0 {
		return p
	}
	p.salt = pl.salt(req, p.weights)
	for range req.Prompt.Parts {
		p.fetchFrom = append(p.fetchFrom, "")
	}
	var seenBefore time.Time
	if newer, outdated := pl.weightHistory[req.Prompt.Model].FirstAbove(p.weights); outdated {
		seenBefore = newer.RequestedAt.Add(-weightChangeMargin)
	}
	readingRate := pl.readingRate(service.ID) / u.slowdown.Current(now)
	for i, part := range req.Prompt.ShareableParts() {
		key := cacheindex.Key{Salt: p.salt, ID: part.ID}
		source, f, ms, found := pl.bestSource(now, service.Engine, u, key, part.Tokens, seenBefore)
		worthFetching := found && ms+remainingMs(now, u.fetchBusyUntil) < float64(part.Tokens)/readingRate+recomputeCost(part.Tokens)
		cached := u.cachedParts.Contains(key)
		if worthFetching || found && cached {
			p.fetchFrom[i] = source.Address
		}
		switch {
		case cached:
		case worthFetching:
			p.fetchMs += ms
			p.transfers = append(p.transfers, f)
			p.fetchedTokens += part.Tokens
		default:
			if found {
				p.recomputedTokens = part.Tokens
			}
			return p.withQueuedBefore(now, u) // later parts cannot be used without this one
		}
		p.readTokens = max(p.readTokens-part.Tokens, 0)
	}
	return p.withQueuedBefore(now, u)
}

// salt returns the salt of a call under a weight version. Most upstreams have the
// same version, so the last salt is cached for the rest of the call's placement.
func (pl *Placer) salt(req Request, weights catalog.WeightNumber) string {
	if pl.lastSalt == "" || pl.lastWeights != weights {
		pl.lastSalt, pl.lastWeights = Salt(req.Prompt.Model, weights, req.Workspace), weights
	}
	return pl.lastSalt
}

// recomputeCost returns the cost in milliseconds of reading a part of n tokens
// although it could be fetched.
func recomputeCost(tokens int) float64 {
	n := float64(tokens)
	return max(recomputeCostPerToken*n, min(smallRecomputeCostPerToken*n, maxSmallRecomputeCost))
}

// withQueuedBefore sets queuedBeforeMs if the plan has transfers.
func (p plan) withQueuedBefore(now time.Time, u *upstream) plan {
	if len(p.transfers) > 0 {
		p.queuedBeforeMs = remainingMs(now, u.fetchBusyUntil)
	}
	return p
}

// transferMs returns the nominal time of a transfer in milliseconds, including
// transferOverheadFactor and the fixed delay of the source.
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
func (pl *Placer) estimateCost(now time.Time, service *catalog.Service, u *upstream, req Request, p plan) float64 {
	workMs := pl.workMs(now, service, u, p)
	ms := workMs + u.unexplainedLatenessMs(now, service.Engine == nil, workMs) + failureCost*u.currentFailureShare(now)
	if now.Before(u.rejectionCostUntil) {
		ms += rejectionCost
	}
	if u.row.Domain != pl.opts.Domain {
		ms += crossDomainCost + crossDomainCostPerByte*float64(req.Bytes)
	}
	if service.Engine == nil {
		return ms + pl.spreadMs(service.ID, u)
	}
	ms += p.fetchMs + p.queuedBeforeMs
	ms += recomputeCost(p.recomputedTokens)
	if pl.usedMemory(now, u)+float64(callMemory(req.Prompt)) > float64(service.Engine.CacheTokens) {
		ms += memoryFullCost
	}
	if newer, outdated := pl.weightHistory[req.Prompt.Model].FirstAbove(p.weights); outdated && now.Sub(newer.RequestedAt) > oldWeightsGracePeriod {
		ms += oldWeightsCost
	}
	return ms
}

// affinityCosts returns the cost of each upstream's rank in rendezvous hashing
// over the call's last shared part. It returns nil for calls without a shared
// part.
func (pl *Placer) affinityCosts(req Request) []float64 {
	shared := req.Prompt.ShareableParts()
	if len(shared) == 0 {
		return nil
	}
	upstreams := pl.byService[req.Service]
	pl.affinityBuf = pl.affinityBuf[:0]
	for range upstreams {
		pl.affinityBuf = append(pl.affinityBuf, maxAffinityCost)
	}
	rendezvous.VisitTop(upstreams, string(shared[len(shared)-1].ID), int(maxAffinityCost/affinityCostPerRank),
		func(u *upstream) string { return string(u.row.ID) },
		func(rank, i int) { pl.affinityBuf[i] = float64(rank) * affinityCostPerRank })
	return pl.affinityBuf
}

func (pl *Placer) expectedFirstByte(now time.Time, service *catalog.Service, u *upstream, p plan) time.Duration {
	ms := pl.workMs(now, service, u, p) + p.fetchMs + p.queuedBeforeMs
	return time.Duration(ms * float64(time.Millisecond))
}
