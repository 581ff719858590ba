package placement

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet/quota"
	"waxwingtide.example/waxwingtide/placement/links"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/retry"
)

// weightChangeMargin is the minimum age of a part at the request for newer weights
// if it is to be fetched under the older weights. A server whose weights changed
// while it wrote a part has computed the end of the part with the newer weights.
const weightChangeMargin = 700 * time.Millisecond

// Placer selects the upstreams of calls. It contains one process's record of the
// load, health and caches of all upstreams and is owned by one duty.
type Placer struct {
	opts          Options
	upstreams     map[core.UpstreamID]*upstream
	byService     map[core.ServiceID][]*upstream
	services      map[core.ServiceID]*catalog.Service
	evacuated     map[core.FailureDomain]bool
	weightHistory map[core.ModelID]catalog.WeightHistory
	retryBudgets  map[core.ServiceID]*retry.Budget
	// appliedRetrySlack is the slack that the budgets have.
	appliedRetrySlack float64
	// fronts are the listed processes.
	fronts  []core.NodeID
	members *quota.Members
	// frontAddresses are the addresses at which the fronts accept the inner protocol,
	// which connects the processes of the system.
	frontAddresses map[core.NodeID]string
	cacheIndex     *cacheindex.Index
	links          map[string]*sourceLink
	delays         linkDelays
	// partServers contains, for each part of the call that is being placed, the
	// servers that have reported it.
	partServers    map[cacheindex.Key][]*upstream
	oldestVersions map[core.ModelID]oldestVersion
	// candidates, affinityBuf, lastSalt and lastWeights are scratch space for the
	// placement of one call.
	candidates  [3]candidate
	affinityBuf []float64
	lastSalt    string
	lastWeights catalog.WeightNumber
	cacheStores []catalog.CacheStore
	isolation   isolation
	// serverByAddress contains all model servers by address.
	serverByAddress map[string]core.UpstreamID
	lastAttemptID   AttemptID
	// meanPromptTokens is the mean size of the prompts sent to each service.
	meanPromptTokens map[core.ServiceID]float64
	// residencies are the mean memories of the running calls of each service.
	residencies map[core.ServiceID]*residency
	speeds      map[core.ServiceID]*serviceSpeed
	// ownLoadShare is the share of this process in the calls that run at the engines of the
	// service for which a call is being placed.
	ownLoadShare float64
	// othersRunning is the mean memory of the running calls of other processes, by service.
	othersRunning map[core.ServiceID]othersMemory
	// reservedForLarge are the engines at which memory is left for large calls.
	reservedForLarge map[*upstream]bool
	// rateChanges are the changes of announced rates since TakeRateChanges.
	rateChanges []RateChange
	// departures and pauses are what upstreams have announced about new calls,
	// restrictionChanges the new ones since TakeRestrictionChanges.
	departures         map[quarantine.Incarnation]*departure
	pauses             map[pauseSubject]*pause
	restrictionChanges []RestrictionChange
	// eventSources is the result of the last call of EventSources without the pauses.
	eventSources []cacheevents.Source
	// sourcesOutdated is set when a pause has started since the last call of
	// RefreshEventSources. sourcesValidUntil is the first end of a pause that the call has
	// considered, or zero.
	sourcesOutdated   bool
	sourcesValidUntil time.Time
	// registrationExpired is set while other processes may have stopped counting this
	// process as a member. The process then uses no share of any limit.
	registrationExpired bool
	// startedAt is the time of the first SetInputs.
	startedAt time.Time
}

// Inputs is the external state that a Placer depends on.
type Inputs struct {
	Config        *catalog.Config
	Upstreams     []catalog.UpstreamRow
	Evacuated     map[core.FailureDomain]bool
	WeightHistory map[core.ModelID]catalog.WeightHistory
	Fronts        []core.NodeID
	// Joins is set unless this process is known to have been listed before it started; see
	// package quota.
	Joins bool
	// FrontAddresses are the addresses at which the fronts accept the inner protocol.
	FrontAddresses map[core.NodeID]string
}

// New returns a Placer without upstreams. index contains the parts in kept-cache
// stores.
func New(opts Options, index *cacheindex.Index) *Placer {
	return &Placer{
		opts: opts, members: quota.NewMembers(opts.Node), cacheIndex: index, upstreams: make(map[core.UpstreamID]*upstream),
		retryBudgets: make(map[core.ServiceID]*retry.Budget), links: make(map[string]*sourceLink), delays: linkDelays{state: links.New()}, partServers: make(map[cacheindex.Key][]*upstream), oldestVersions: make(map[core.ModelID]oldestVersion),
		meanPromptTokens: make(map[core.ServiceID]float64), departures: make(map[quarantine.Incarnation]*departure), pauses: make(map[pauseSubject]*pause),
		residencies: make(map[core.ServiceID]*residency), isolation: newIsolation(), othersRunning: make(map[core.ServiceID]othersMemory), speeds: make(map[core.ServiceID]*serviceSpeed),
	}
}

// SetInputs applies a newer list of upstreams and a newer configuration.
func (pl *Placer) SetInputs(now time.Time, in Inputs) {
	if pl.startedAt.IsZero() {
		pl.startedAt = now
	}
	next := make(map[core.UpstreamID]*upstream, len(in.Upstreams))
	pl.byService = make(map[core.ServiceID][]*upstream)
	for _, row := range in.Upstreams {
		u := pl.upstreams[row.ID]
		switch {
		case u == nil:
			u = newUpstream(now, pl.startedAt, row)
		case u.row.Upstream != row.Upstream:
			u.update(now, row)
		default:
			u.row = row
		}
		next[row.ID] = u
		pl.byService[row.Service] = append(pl.byService[row.Service], u)
	}
	pl.upstreams = next
	pl.reservedForLarge = make(map[*upstream]bool)
	for service := range pl.byService {
		pl.reserveForLarge(service)
	}
	pl.updateRestrictions(now)
	pl.evacuated, pl.weightHistory = in.Evacuated, in.WeightHistory
	pl.members.Set(now, in.Fronts, in.Joins)
	pl.fronts, pl.frontAddresses = in.Fronts, in.FrontAddresses
	if in.Config != nil {
		pl.services = in.Config.Services
		pl.cacheStores = in.Config.CacheStores
		pl.isolation.set(in.Config)
		pl.cacheIndex.SetStores(in.Config.CacheStores)
	}
}

// SetRegistrationExpired sets whether other processes may have stopped counting this
// process as a member.
func (pl *Placer) SetRegistrationExpired(expired bool) { pl.registrationExpired = expired }

// SetOptions replaces the options.
func (pl *Placer) SetOptions(opts Options) {
	pl.opts = opts
	pl.updateRetryBudgets()
}

func (pl *Placer) updateRetryBudgets() {
	for _, budget := range pl.retryBudgets {
		budget.SetOptions(pl.retryBudgetOptions())
	}
}

// Choose selects an upstream for a call, or returns why the call cannot be placed.
func (pl *Placer) Choose(now time.Time, req Request) (Choice, Refusal) {
	service := pl.services[req.Service]
	if service == nil {
		return Choice{}, NoUpstream
	}
	best, refusal := pl.pick(now, service, req)
	if best == nil {
		return Choice{}, refusal
	}
	budget := pl.retryBudget(now, req.Service)
	if !req.Retry {
		budget.RecordCall(now)
	} else if pl.registrationExpired || !budget.Take(now) {
		return Choice{}, NoRetryBudget
	}
	return pl.recordAttempt(now, service, req, best), NotRefused
}

// candidate is an upstream with its plan and estimated cost.
type candidate struct {
	upstream *upstream
	cost     float64
	plan     plan
}

func (pl *Placer) pick(now time.Time, service *catalog.Service, req Request) (*candidate, Refusal) {
	// The fallback is used if there is no other candidate. It is an upstream that the
	// call should avoid or leave to larger calls, or one that is not recorded as cold
	// but has already received this process's share of the calls that a cold upstream
	// can sustain. The limit excludes only upstreams that are recorded as cold.
	var best, fallback *candidate
	refusal, memoryFull := NoUpstream, false
	clear(pl.partServers)
	pl.lastSalt = ""
	if service.Engine != nil {
		pl.setOwnLoadShare(now, req.Service, req.MemoryShare)
	}
	affinities := pl.affinityCosts(req)
	for i, u := range pl.byService[req.Service] {
		if !pl.usable(now, u, req) {
			continue
		}
		limited, cold := pl.atColdLimit(now, service, u)
		if limited && cold {
			refusal = Limited
			continue
		}
		allowed, reserved := pl.checkRate(now, u, req)
		if !allowed {
			refusal = Limited
			continue
		}
		if !pl.hasMemory(now, service, u, req) {
			memoryFull = true
			continue
		}
		c := pl.freeCandidate(best, fallback)
		c.upstream, c.plan = u, pl.makePlan(now, service, u, req, c.plan)
		c.cost = pl.estimateCost(now, service, u, req, c.plan)
		if affinities != nil && service.Engine != nil {
			c.cost += affinities[i]
		}
		target := &best
		if reserved {
			c.cost += reservedRateCost
		}
		if limited || reserved || pl.shouldAvoid(now, u, req) {
			target = &fallback
		}
		if *target == nil || c.cost < (*target).cost {
			*target = c
		}
	}
	if best == nil && memoryFull {
		return nil, MemoryFull
	}
	if best == nil {
		best = fallback
	}
	return best, refusal
}

// freeCandidate returns a candidate other than the two that are in use.
func (pl *Placer) freeCandidate(best, fallback *candidate) *candidate {
	for i := range pl.candidates {
		if c := &pl.candidates[i]; c != best && c != fallback {
			return c
		}
	}
	return nil // not reached: there are three candidates
}

// recordAttempt records the attempt at the selected upstream and returns the choice.
func (pl *Placer) recordAttempt(now time.Time, service *catalog.Service, req Request, c *candidate) Choice {
	u, p := c.upstream, c.plan
	pl.lastAttemptID++
	choice := Choice{
		AttemptID: pl.lastAttemptID, Upstream: u.row, Weights: p.weights, Salt: p.salt, FetchFrom: slices.Clone(p.fetchFrom),
		FetchedTokens: p.fetchedTokens, ReadTokens: p.readTokens,
	}
	expected := pl.expectedFirstByte(now, service, u, p)
	choice.ExpectedFirstByte = expected
	a := &attempt{sentAt: now, expectedFirstByte: expected, readTokens: p.readTokens, memoryTokens: callMemory(req.Prompt)}
	a.waiting = u.waiting(now)
	a.usualMs = pl.usualMs(now, service, u, p)
	a.nonTransferMs = float64(expected.Microseconds())/1000 - p.fetchMs - p.queuedBeforeMs
	a.transfers, a.queuedBeforeMs, a.engineLatenessMs = slices.Clone(p.transfers), p.queuedBeforeMs, u.engineLatenessMs(now)
	u.fetchBusyUntil = queueTransfer(now, u.fetchBusyUntil, p.fetchMs)
	for _, f := range p.transfers {
		l := pl.link(f.sourceAddress)
		l.busyUntil = queueTransfer(now, l.busyUntil, f.nominalMs*l.slowness(now))
	}
	u.attempts[choice.AttemptID] = a
	u.unreadTokens += a.readTokens
	u.memoryTokens += a.memoryTokens
	u.gate.RecordSend(now)
	if u.rate.pacer != nil {
		u.rate.pacer.RecordSend(now)
	}
	pl.observePromptSize(req)
	if u.currentFailureShare(now) > suspectShare {
		u.lastTrialAt = now
	}
	if p.salt != "" {
		choice.SaveTo = make([]string, len(req.Prompt.Parts))
		current := p.weights >= pl.weightHistory[req.Prompt.Model].Newest().Version
		for i, part := range req.Prompt.ShareableParts() {
			key := cacheindex.Key{Salt: p.salt, ID: part.ID}
			if current {
				choice.SaveTo[i], _ = pl.cacheIndex.AssignStore(now, key, part.Tokens) // no store: the part is not saved
			}
			u.addCachedPart(key, partState{tokens: part.Tokens}, service.Engine.CacheTokens)
		}
	}
	return choice
}

// Sample returns a report as a sample of its upstream's software version, or false when
// the report does not indicate anything about the software. It must be called before
// RecordReport, which removes finished attempts.
func (pl *Placer) Sample(now time.Time, r Report) (canary.Sample, bool) {
	u := pl.upstreams[r.Upstream]
	if u == nil {
		return canary.Sample{}, false
	}
	s := canary.Sample{Service: u.row.Service, Version: u.row.Software, Route: r.Route, LatencyOnly: true}
	a := u.attempts[r.AttemptID]
	if a != nil {
		s.PrefillTokens = a.readTokens
	}
	switch {
	case !r.Final && r.Pace > 0:
		s.Latency, s.Pace = r.Pace, true
	case !r.Final:
		s.Latency = r.FirstByte
	case r.Result == Completed || r.Result == Failed:
		s.LatencyOnly, s.Failed = false, r.Result == Failed
	case r.Result == Abandoned && a != nil && !a.hasReport:
		// The first byte would have come later. Both versions lose such attempts after
		// the same times, so that their shares remain comparable.
		s.Latency = now.Sub(a.sentAt)
	}
	return s, !s.LatencyOnly || s.Latency > 0
}

// RecordReport updates the upstream's state with the report of an attempt.
func (pl *Placer) RecordReport(now time.Time, r Report) {
	if !r.Final {
		pl.recordAnnouncements(now, r)
	}
	u := pl.upstreams[r.Upstream]
	if u == nil {
		return
	}
	// The final report repeats what the head of the response said, perhaps long before.
	if !r.Final {
		u.recordLoad(now, r.Load)
	}
	if r.HasRateLimit && !r.Final {
		pl.updateRate(now, now, u, r.RateLimit)
	}
	if !r.Final {
		u.lastResponseAt = now
	}
	if r.Weights > 0 && r.Model != "" {
		u.updateWeights(r.Model, r.Weights)
	}
	if r.ColdRemaining > 0 {
		u.gate.MarkColdUntil(now.Add(r.ColdRemaining))
	}
	a := u.attempts[r.AttemptID]
	if a == nil {
		return
	}
	if !a.hasReport {
		a.hasReport = true
		u.unreadTokens -= a.readTokens
		pl.observeTransfers(now, u, a)
		if !r.Final {
			pl.observeSpeed(now, u, a, r.FirstByte)
			excess := now.Sub(a.sentAt) - a.expectedFirstByte
			u.lateness.record(now, excess)
			if len(a.transfers) == 0 {
				u.latenessWithoutTransfers.record(now, excess)
			}
		}
	}
	if r.Final {
		delete(u.attempts, r.AttemptID)
		u.memoryTokens -= a.memoryTokens
		if r.Result == Completed && a.memoryTokens > 0 {
			pl.observeResidency(u.row.Service, a.memoryTokens, now.Sub(a.sentAt))
		}
		pl.recordResult(now, u, a.sentAt, r)
	}
}

func (pl *Placer) recordResult(now time.Time, u *upstream, sentAt time.Time, r Report) {
	switch r.Result {
	case Completed:
		u.failedConnects = 0
		u.updateFailureShare(now, false)
	case Failed, Incomplete:
		u.updateFailureShare(now, true)
	case Rejected, Misdirected:
		u.rejectionCostUntil = now.Add(rejectionCostDuration)
	case Unreachable:
		u.recordFailedConnect(now, sentAt)
	case Abandoned:
	}
}

// CacheStores returns the configured kept-cache stores.
func (pl *Placer) CacheStores() []catalog.CacheStore { return pl.cacheStores }
