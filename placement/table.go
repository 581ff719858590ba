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

// changeMargin is how long before this process heard of new weights a part must
// have been complete to be fetched under the older weights. A server whose
// weights changed while it wrote a part has read its end with the newer ones.
const changeMargin = 700 * time.Millisecond

// Table is one process's knowledge of all upstreams. It is owned by one duty.
type Table struct {
	opts      Options
	upstreams map[core.UpstreamID]*upstream
	byService map[core.ServiceID][]*upstream
	services  map[core.ServiceID]*catalog.Service
	evacuated map[core.FailureDomain]bool
	named     map[core.ModelID]catalog.WeightHistory
	budgets   map[core.ServiceID]*retry.Budget
	// fronts are the processes that share limits with this one; generation counts
	// their changes, from 1 on.
	fronts     []core.NodeID
	generation uint64
	// members are their inner addresses.
	members map[core.NodeID]string
	kept    *cacheindex.Index
	links   map[string]*storeLink
	// holders are the servers that hold a part of the call that is being placed.
	holders map[cacheindex.Key][]*upstream
	floors  map[core.ModelID]floor
	// candidates, costs and the last salt are scratch space of one choice.
	candidates  [3]candidate
	costs       []float64
	lastSalt    string
	lastWeights catalog.WeightNumber
	stores      []catalog.CacheStore
	// addresses are those of the servers whose cache events are followed.
	addresses map[string]core.UpstreamID
	tickets   AttemptID
	// lapsed is set while others may not count this process, which then uses no
	// share of any limit.
	lapsed bool
	// startedAt is when the table got its first world.
	startedAt time.Time
}

// Inputs is what the table takes from outside.
type Inputs struct {
	Config        *catalog.Config
	Upstreams     []catalog.ListedUpstream
	Evacuated     map[core.FailureDomain]bool
	WeightHistory map[core.ModelID]catalog.WeightHistory
	Fronts        []core.NodeID
	// Members are the inner addresses of the fronts.
	Members map[core.NodeID]string
}

// New returns an empty table over an index of kept parts.
func New(opts Options, kept *cacheindex.Index) *Table {
	return &Table{
		opts: opts, kept: kept, upstreams: make(map[core.UpstreamID]*upstream),
		budgets: make(map[core.ServiceID]*retry.Budget), links: make(map[string]*storeLink), holders: make(map[cacheindex.Key][]*upstream), floors: make(map[core.ModelID]floor),
	}
}

// SetInputs takes a newer list of upstreams and configuration.
func (t *Table) SetInputs(now time.Time, w Inputs) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	next := make(map[core.UpstreamID]*upstream, len(w.Upstreams))
	t.byService = make(map[core.ServiceID][]*upstream)
	for _, listed := range w.Upstreams {
		u := t.upstreams[listed.ID]
		switch {
		case u == nil:
			u = newUpstream(now, t.startedAt, listed)
		case u.listed.Revision != listed.Revision:
			u.relist(now, listed)
		}
		next[listed.ID] = u
		t.byService[listed.Service] = append(t.byService[listed.Service], u)
	}
	t.upstreams = next
	t.evacuated, t.named = w.Evacuated, w.WeightHistory
	if t.generation == 0 || !slices.Equal(t.fronts, w.Fronts) {
		t.generation++
	}
	t.fronts, t.members = w.Fronts, w.Members
	t.retune()
	if w.Config != nil {
		t.services = w.Config.Services
		t.stores = w.Config.CacheStores
		t.kept.SetStores(w.Config.CacheStores)
	}
}

// SetLapsed notes whether others may have stopped counting this process.
func (t *Table) SetMembershipExpired(lapsed bool) { t.lapsed = lapsed }

// Configure replaces the options.
func (t *Table) SetOptions(opts Options) {
	t.opts = opts
	t.retune()
}

func (t *Table) retune() {
	for _, b := range t.budgets {
		b.SetOptions(t.budgetOptions())
	}
}

// Choose places a call, or says why it cannot be placed.
func (t *Table) Choose(now time.Time, need Request) (Choice, Refusal) {
	service := t.services[need.Service]
	if service == nil {
		return Choice{}, NoUpstream
	}
	best, refusal := t.pick(now, service, need)
	if best == nil {
		return Choice{}, refusal
	}
	budget := t.budget(need.Service)
	if !need.Retry {
		budget.RecordCall(now)
	} else if t.lapsed || !budget.Take(now) {
		return Choice{}, NoRetryBudget
	}
	return t.place(now, service, need, best), Placed
}

// candidate is an upstream with its estimate.
type candidate struct {
	upstream *upstream
	cost     float64
	plan     plan
}

func (t *Table) pick(now time.Time, service *catalog.Service, need Request) (*candidate, Refusal) {
	// The second choice is an upstream that is suspect, or at a limit that binds
	// cold upstreams only.
	var best, second *candidate
	refusal := NoUpstream
	clear(t.holders)
	t.lastSalt = ""
	affinities := t.affinities(need)
	for i, u := range t.byService[need.Service] {
		if !t.usable(now, u, need) {
			continue
		}
		limited, cold := t.limited(now, service, u)
		if limited && cold {
			refusal = Limited
			continue
		}
		c := t.unused(best, second)
		c.upstream, c.plan = u, t.plan(now, service, u, need, c.plan)
		c.cost = t.cost(now, service, u, need, c.plan)
		if affinities != nil && service.Engine != nil {
			c.cost += affinities[i]
		}
		rank := &best
		if limited || t.suspect(now, u, need) {
			rank = &second
		}
		if *rank == nil || c.cost < (*rank).cost {
			*rank = c
		}
	}
	if best == nil {
		best = second
	}
	return best, refusal
}

// unused returns a candidate other than two that are in use.
func (t *Table) unused(best, second *candidate) *candidate {
	for i := range t.candidates {
		if c := &t.candidates[i]; c != best && c != second {
			return c
		}
	}
	return nil // there are three
}

// place books the attempt.
func (t *Table) place(now time.Time, service *catalog.Service, need Request, c *candidate) Choice {
	u, p := c.upstream, c.plan
	t.tickets++
	choice := Choice{
		AttemptID: t.tickets, Upstream: u.listed, Weights: p.weights, Salt: p.salt, FetchFrom: slices.Clone(p.fetch),
		FetchedTokens: p.fetched, ReadTokens: p.read,
	}
	expected := t.expected(now, service, u, p)
	choice.ExpectedFirstByte = expected
	a := &attempt{sentAt: now, expected: expected, read: p.read, tokens: need.Prompt.Tokens + need.Prompt.MaxOutput}
	a.other = float64(expected.Microseconds())/1000 - p.fetchMs - p.ahead
	a.transfers, a.fetching, a.ahead = slices.Clone(p.transfers), p.fetchMs, p.ahead
	u.fetching += a.fetching
	for _, f := range p.transfers {
		t.link(f.store).busy += f.nominal
	}
	u.attempts[choice.AttemptID] = a
	u.backlog += a.read
	u.tokens += a.tokens
	u.gate.Sent(now)
	if u.faultShare(now) > suspectShare {
		u.trialAt = now
	}
	if p.salt != "" {
		choice.SaveTo = make([]string, len(need.Prompt.Parts))
		current := p.weights >= t.named[need.Prompt.Model].Newest().Version
		for i, part := range need.Prompt.Shared() {
			key := cacheindex.Key{Salt: p.salt, ID: part.ID}
			if current {
				choice.SaveTo[i], _ = t.kept.AssignStore(now, key, part.Tokens) // no place: not saved
			}
			u.hasRead(key, cached{tokens: part.Tokens}, service.Engine.CacheTokens)
		}
	}
	return choice
}

// Sample returns what an ended attempt shows of its upstream's software, or false
// when it shows nothing. It is called before RecordReport takes the attempt back.
func (t *Table) Sample(r Report) (canary.Sample, bool) {
	u := t.upstreams[r.Upstream]
	if u == nil || !r.Final || r.Result != Completed && r.Result != Failed {
		return canary.Sample{}, false
	}
	s := canary.Sample{
		Service: u.listed.Service, Software: u.listed.Software, Route: r.Route, Failed: r.Result == Failed, Latency: r.FirstByte,
	}
	if a := u.attempts[r.AttemptID]; a != nil {
		s.PrefillTokens = a.read
	}
	return s, true
}

// RecordReport takes what an attempt has shown.
func (t *Table) RecordReport(now time.Time, r Report) {
	u := t.upstreams[r.Upstream]
	if u == nil {
		return
	}
	if r.HasLoad {
		u.reported(now, r.Load)
	}
	if !r.Final {
		u.reachedAt = now
	}
	if r.Weights > 0 && r.Model != "" {
		u.learnWeights(r.Model, r.Weights)
	}
	if r.ColdRemaining > 0 {
		u.gate.Extend(now.Add(r.ColdRemaining))
	}
	a := u.attempts[r.AttemptID]
	if a == nil {
		return
	}
	if !a.begun {
		a.begun = true
		u.backlog -= a.read
		u.fetching = max(u.fetching-a.fetching, 0)
		t.observeTransfers(now, a)
		if !r.Final {
			u.noteLateness(now, now.Sub(a.sentAt)-a.expected)
		}
	}
	if r.Final {
		delete(u.attempts, r.AttemptID)
		u.tokens -= a.tokens
		t.noteEnd(now, u, r)
	}
}

func (t *Table) noteEnd(now time.Time, u *upstream, r Report) {
	switch r.Result {
	case Completed:
		u.unreachable = 0
		u.noteResult(now, false)
	case Failed, Broken:
		u.noteResult(now, true)
	case Rejected, Misdirected:
		u.refuseUntil = now.Add(refusingFor)
	case Unreachable:
		wait := min(unreachableFor<<min(u.unreachable, 4), unreachableMost)
		u.unreachable++
		u.avoidUntil = now.Add(wait)
	case Abandoned:
	}
}

// Stores returns the configured kept-cache stores.
func (t *Table) CacheStores() []catalog.CacheStore { return t.stores }
