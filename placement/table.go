package placement

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/retry"
)

// weightChangeMargin is the minimum time between the completion of a part and the
// time at which this process received the request for new weights, if the part is
// to be fetched under the older weights. A server whose weights changed while it
// wrote a part has computed the end of the part with the newer weights.
const weightChangeMargin = 700 * time.Millisecond

// Table is one process's record of the load, health and caches of all upstreams.
// It is owned by one duty.
type Table struct {
	opts          Options
	upstreams     map[core.UpstreamID]*upstream
	byService     map[core.ServiceID][]*upstream
	services      map[core.ServiceID]*catalog.Service
	evacuated     map[core.FailureDomain]bool
	weightHistory map[core.ModelID]catalog.WeightHistory
	retryBudgets  map[core.ServiceID]*retry.Budget
	// fronts are the processes over which limits are divided, including this one.
	// generation counts the changes of fronts, starting with 1.
	fronts     []core.NodeID
	generation uint64
	// members are the addresses of the fronts for the inner protocol.
	members    map[core.NodeID]string
	cacheIndex *cacheindex.Index
	links      map[string]*storeLink
	// partServers contains the servers that have a part of the call that is being
	// placed.
	partServers    map[cacheindex.Key][]*upstream
	oldestVersions map[core.ModelID]oldestVersion
	// candidates, affinityBuf, lastSalt and lastWeights are scratch space for the
	// placement of one call.
	candidates  [3]candidate
	affinityBuf []float64
	lastSalt    string
	lastWeights catalog.WeightNumber
	cacheStores []catalog.CacheStore
	// serverByAddress contains all model servers by address.
	serverByAddress map[string]core.UpstreamID
	lastAttemptID   AttemptID
	// membershipExpired is set while other processes may not count this process as a
	// member. It then uses no share of any limit.
	membershipExpired bool
	// startedAt is the time of the first SetInputs.
	startedAt time.Time
}

// Inputs is the external state that the table depends on.
type Inputs struct {
	Config        *catalog.Config
	Upstreams     []catalog.ListedUpstream
	Evacuated     map[core.FailureDomain]bool
	WeightHistory map[core.ModelID]catalog.WeightHistory
	Fronts        []core.NodeID
	// Members are the addresses of the fronts for the inner protocol.
	Members map[core.NodeID]string
}

// New returns an empty table with an index of the parts in kept-cache stores.
func New(opts Options, index *cacheindex.Index) *Table {
	return &Table{
		opts: opts, cacheIndex: index, upstreams: make(map[core.UpstreamID]*upstream),
		retryBudgets: make(map[core.ServiceID]*retry.Budget), links: make(map[string]*storeLink), partServers: make(map[cacheindex.Key][]*upstream), oldestVersions: make(map[core.ModelID]oldestVersion),
	}
}

// SetInputs applies a newer list of upstreams and a newer configuration.
func (t *Table) SetInputs(now time.Time, in Inputs) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	next := make(map[core.UpstreamID]*upstream, len(in.Upstreams))
	t.byService = make(map[core.ServiceID][]*upstream)
	for _, listing := range in.Upstreams {
		u := t.upstreams[listing.ID]
		switch {
		case u == nil:
			u = newUpstream(now, t.startedAt, listing)
		case u.listing.Revision != listing.Revision:
			u.update(now, listing)
		}
		next[listing.ID] = u
		t.byService[listing.Service] = append(t.byService[listing.Service], u)
	}
	t.upstreams = next
	t.evacuated, t.weightHistory = in.Evacuated, in.WeightHistory
	if t.generation == 0 || !slices.Equal(t.fronts, in.Fronts) {
		t.generation++
	}
	t.fronts, t.members = in.Fronts, in.Members
	t.updateRetryBudgets()
	if in.Config != nil {
		t.services = in.Config.Services
		t.cacheStores = in.Config.CacheStores
		t.cacheIndex.SetStores(in.Config.CacheStores)
	}
}

// SetMembershipExpired sets whether other processes may have stopped counting this
// process as a member.
func (t *Table) SetMembershipExpired(expired bool) { t.membershipExpired = expired }

// SetOptions replaces the options.
func (t *Table) SetOptions(opts Options) {
	t.opts = opts
	t.updateRetryBudgets()
}

func (t *Table) updateRetryBudgets() {
	for _, budget := range t.retryBudgets {
		budget.SetOptions(t.retryBudgetOptions())
	}
}

// Choose selects an upstream for a call, or returns why the call cannot be placed.
func (t *Table) Choose(now time.Time, req Request) (Choice, Refusal) {
	service := t.services[req.Service]
	if service == nil {
		return Choice{}, NoUpstream
	}
	best, refusal := t.pick(now, service, req)
	if best == nil {
		return Choice{}, refusal
	}
	budget := t.retryBudget(req.Service)
	if !req.Retry {
		budget.RecordCall(now)
	} else if t.membershipExpired || !budget.Take(now) {
		return Choice{}, NoRetryBudget
	}
	return t.bookAttempt(now, service, req, best), Placed
}

// candidate is an upstream with its plan and estimated cost.
type candidate struct {
	upstream *upstream
	cost     float64
	plan     plan
}

func (t *Table) pick(now time.Time, service *catalog.Service, req Request) (*candidate, Refusal) {
	// The fallback is an upstream that is suspect, or at a limit that applies
	// only to cold upstreams while it may not be cold.
	var best, fallback *candidate
	refusal := NoUpstream
	clear(t.partServers)
	t.lastSalt = ""
	affinities := t.affinityCosts(req)
	for i, u := range t.byService[req.Service] {
		if !t.usable(now, u, req) {
			continue
		}
		limited, cold := t.atColdLimit(now, service, u)
		if limited && cold {
			refusal = Limited
			continue
		}
		c := t.freeCandidate(best, fallback)
		c.upstream, c.plan = u, t.makePlan(now, service, u, req, c.plan)
		c.cost = t.estimateCost(now, service, u, req, c.plan)
		if affinities != nil && service.Engine != nil {
			c.cost += affinities[i]
		}
		target := &best
		if limited || t.suspect(now, u, req) {
			target = &fallback
		}
		if *target == nil || c.cost < (*target).cost {
			*target = c
		}
	}
	if best == nil {
		best = fallback
	}
	return best, refusal
}

// freeCandidate returns a candidate other than the two that are in use.
func (t *Table) freeCandidate(best, fallback *candidate) *candidate {
	for i := range t.candidates {
		if c := &t.candidates[i]; c != best && c != fallback {
			return c
		}
	}
	return nil // not reached: there are three candidates
}

// bookAttempt records the attempt at the selected upstream and returns the choice.
func (t *Table) bookAttempt(now time.Time, service *catalog.Service, req Request, c *candidate) Choice {
	u, p := c.upstream, c.plan
	t.lastAttemptID++
	choice := Choice{
		AttemptID: t.lastAttemptID, Upstream: u.listing, Weights: p.weights, Salt: p.salt, FetchFrom: slices.Clone(p.fetchFrom),
		FetchedTokens: p.fetchedTokens, ReadTokens: p.readTokens,
	}
	expected := t.expectedFirstByte(now, service, u, p)
	choice.ExpectedFirstByte = expected
	a := &attempt{sentAt: now, expectedFirstByte: expected, readTokens: p.readTokens, memoryTokens: req.Prompt.Tokens + req.Prompt.MaxOutputTokens}
	a.otherMs = float64(expected.Microseconds())/1000 - p.fetchMs - p.queuedBeforeMs
	a.transfers, a.fetchMs, a.queuedBeforeMs = slices.Clone(p.transfers), p.fetchMs, p.queuedBeforeMs
	u.pendingFetchMs += a.fetchMs
	for _, f := range p.transfers {
		t.link(f.store).pendingMs += f.nominalMs
	}
	u.attempts[choice.AttemptID] = a
	u.backlog += a.readTokens
	u.memoryTokens += a.memoryTokens
	u.gate.RecordSend(now)
	if u.failureShare(now) > suspectShare {
		u.lastTrialAt = now
	}
	if p.salt != "" {
		choice.SaveTo = make([]string, len(req.Prompt.Parts))
		current := p.weights >= t.weightHistory[req.Prompt.Model].Newest().Version
		for i, part := range req.Prompt.SharedParts() {
			key := cacheindex.Key{Salt: p.salt, ID: part.ID}
			if current {
				choice.SaveTo[i], _ = t.cacheIndex.AssignStore(now, key, part.Tokens) // no store: the part is not saved
			}
			u.addCachedPart(key, cachedPart{tokens: part.Tokens}, service.Engine.CacheTokens)
		}
	}
	return choice
}

// Sample returns the sample that a finished attempt provides on its upstream's
// software, or false when it provides none. It must be called before RecordReport,
// which removes the attempt.
func (t *Table) Sample(r Report) (canary.Sample, bool) {
	u := t.upstreams[r.Upstream]
	if u == nil || !r.Final || r.Result != Completed && r.Result != Failed {
		return canary.Sample{}, false
	}
	s := canary.Sample{
		Service: u.listing.Service, Software: u.listing.Software, Route: r.Route, Failed: r.Result == Failed, Latency: r.FirstByte,
	}
	if a := u.attempts[r.AttemptID]; a != nil {
		s.PrefillTokens = a.readTokens
	}
	return s, true
}

// RecordReport updates the upstream's state with the report of an attempt.
func (t *Table) RecordReport(now time.Time, r Report) {
	u := t.upstreams[r.Upstream]
	if u == nil {
		return
	}
	if r.HasLoad {
		u.setReportedLoad(now, r.Load)
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
		u.backlog -= a.readTokens
		u.pendingFetchMs = max(u.pendingFetchMs-a.fetchMs, 0)
		t.observeTransfers(now, a)
		if !r.Final {
			u.recordLateness(now, now.Sub(a.sentAt)-a.expectedFirstByte)
		}
	}
	if r.Final {
		delete(u.attempts, r.AttemptID)
		u.memoryTokens -= a.memoryTokens
		t.recordResult(now, u, r)
	}
}

func (t *Table) recordResult(now time.Time, u *upstream, r Report) {
	switch r.Result {
	case Completed:
		u.failedConnects = 0
		u.recordResult(now, false)
	case Failed, Broken:
		u.recordResult(now, true)
	case Rejected, Misdirected:
		u.rejectingUntil = now.Add(rejectionDelay)
	case Unreachable:
		delay := min(unreachableDelay<<min(u.failedConnects, 4), maxUnreachableDelay)
		u.failedConnects++
		u.avoidUntil = now.Add(delay)
	case Abandoned:
	}
}

// CacheStores returns the configured kept-cache stores.
func (t *Table) CacheStores() []catalog.CacheStore { return t.cacheStores }
