package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/keptindex"
	"waxwingtide.example/waxwingtide/retry"
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
	rereadCost = 0.06
	// crossCost and crossByteCost, for each byte, are added for upstreams in
	// other failure domains: traffic between these is scarce.
	crossCost     = 4.0
	crossByteCost = 0.001
	// obsoleteAfter is how long no upstream must have had weights whose parts are
	// freed. A transfer does not start that would wait for over two seconds.
	obsoleteAfter = 3500 * time.Millisecond
	// plainCost is the time that a plain service takes for a call when it is not
	// known yet.
	plainCost = 30.0
	// weightsShare is the share of the time for new weights after which no call
	// is sent to an upstream with older ones.
	weightsShare = 0.8
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
	named     map[core.ModelID]catalog.Namings
	budgets   map[core.ServiceID]*retry.Budget
	// fronts are the processes that share limits with this one.
	fronts []core.NodeID
	// members are their inner addresses.
	members map[core.NodeID]string
	kept    *keptindex.Index
	links   map[string]*storeLink
	// holders are the servers that hold a part of the call that is being placed.
	holders map[keptindex.Key][]*upstream
	floors  map[core.ModelID]floor
	stores  []catalog.KeptStore
	// addresses are those of the servers whose cache events are followed.
	addresses map[string]core.UpstreamID
	tickets   Ticket
}

// World is what the table takes from outside.
type World struct {
	Config    *catalog.Config
	Upstreams []catalog.Listed
	Evacuated map[core.FailureDomain]bool
	Named     map[core.ModelID]catalog.Namings
	Fronts    []core.NodeID
	// Members are the inner addresses of the fronts.
	Members map[core.NodeID]string
}

// New returns an empty table over an index of kept parts.
func New(opts Options, kept *keptindex.Index) *Table {
	return &Table{
		opts: opts, kept: kept, upstreams: make(map[core.UpstreamID]*upstream),
		budgets: make(map[core.ServiceID]*retry.Budget), links: make(map[string]*storeLink), holders: make(map[keptindex.Key][]*upstream), floors: make(map[core.ModelID]floor),
	}
}

// SetWorld takes a newer list of upstreams and configuration.
func (t *Table) SetWorld(now time.Time, w World) {
	next := make(map[core.UpstreamID]*upstream, len(w.Upstreams))
	t.byService = make(map[core.ServiceID][]*upstream)
	for _, listed := range w.Upstreams {
		u := t.upstreams[listed.ID]
		switch {
		case u == nil:
			u = newUpstream(now, listed)
		case u.listed.Revision != listed.Revision:
			u.relist(now, listed)
		}
		next[listed.ID] = u
		t.byService[listed.Service] = append(t.byService[listed.Service], u)
	}
	t.upstreams = next
	t.evacuated, t.named = w.Evacuated, w.Named
	if len(w.Fronts) != len(t.fronts) {
		t.budgets = make(map[core.ServiceID]*retry.Budget)
	}
	t.fronts, t.members = w.Fronts, w.Members
	if w.Config != nil {
		t.services = w.Config.Services
		t.stores = w.Config.Stores
		t.kept.SetStores(w.Config.Stores)
	}
}

// Configure replaces the options.
func (t *Table) Configure(opts Options) {
	t.opts = opts
	t.budgets = make(map[core.ServiceID]*retry.Budget)
}

// Choose places a call, or says why it cannot be placed.
func (t *Table) Choose(now time.Time, need Need) (Choice, Refusal) {
	service := t.services[need.Service]
	if service == nil {
		return Choice{}, NoUpstream
	}
	best, refusal := t.pick(now, service, need)
	if best == nil {
		return Choice{}, refusal
	}
	budget := t.budget(need.Service)
	if !need.Repeat {
		budget.Call(now)
	} else if !budget.Take(now) {
		return Choice{}, NoBudget
	}
	return t.place(now, service, need, best), Placed
}

// candidate is an upstream with its estimate.
type candidate struct {
	upstream *upstream
	cost     float64
	plan     plan
}

func (t *Table) pick(now time.Time, service *catalog.Service, need Need) (*candidate, Refusal) {
	// The second choice is an upstream that is suspect, or at a limit that binds
	// cold upstreams only.
	var best, second *candidate
	refusal := NoUpstream
	clear(t.holders)
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
		c := &candidate{upstream: u, plan: t.plan(now, service, u, need)}
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

// usable reports whether an upstream may get the call at all.
func (t *Table) usable(now time.Time, u *upstream, need Need) bool {
	if u.listed.Draining || t.evacuated[u.listed.Domain] || now.Before(u.avoidUntil) {
		return false
	}
	for _, id := range need.Tried {
		if id == u.listed.ID {
			return false
		}
	}
	return !t.weightsOverdue(now, u, need.Prompt.Model)
}

// suspect reports whether an upstream has failed so often that a call avoids it.
// Calls that may be repeated try it from time to time.
func (t *Table) suspect(now time.Time, u *upstream, need Need) bool {
	if u.faultShare(now) <= suspectShare {
		return false
	}
	return !need.Repeatable || now.Sub(u.trialAt) < trialInterval
}

// weightsOverdue reports whether calls may no longer begin on the weights of an
// upstream.
func (t *Table) weightsOverdue(now time.Time, u *upstream, model core.ModelID) bool {
	newer, old := t.named[model].Above(u.weights[model])
	if !old || t.opts.WeightsWithin == 0 {
		return false
	}
	if newer.Since.IsZero() {
		return t.anyLoaded(u.listed.Service, model, newer.Version)
	}
	return float64(now.Sub(newer.Since)) > weightsShare*float64(t.opts.WeightsWithin)
}

// anyLoaded reports whether an upstream of a service has a weight version.
func (t *Table) anyLoaded(service core.ServiceID, model core.ModelID, version catalog.WeightNumber) bool {
	for _, u := range t.byService[service] {
		if !u.listed.Draining && u.weights[model] >= version {
			return true
		}
	}
	return false
}

// limited reports whether this process has used its share of what a cold
// upstream bears, and whether the upstream is known to be cold.
func (t *Table) limited(now time.Time, service *catalog.Service, u *upstream) (limited, cold bool) {
	if service.ColdPerSecond <= 0 {
		return false, false
	}
	cold = now.Before(u.coldUntil)
	total := service.ColdPerSecond*t.opts.ColdOver + t.opts.ColdSlack
	return u.sentWithin(now) >= t.share(total, string(u.listed.ID)), cold
}

// share divides a whole number of calls among the processes. Where there are
// fewer calls than processes, some processes get one and others none.
func (t *Table) share(total float64, subject string) int {
	n := max(len(t.fronts), 1)
	each := int(total) / n
	rest := int(total) % n
	if t.succession(subject) < rest {
		each++
	}
	return each
}

// Score is the rank of a node for a subject in rendezvous hashing; the highest
// comes first.
func Score(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a + "\x00" + b))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// plan is what an upstream would fetch and read for a call.
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
}

func (t *Table) plan(now time.Time, service *catalog.Service, u *upstream, need Need) plan {
	if service.Engine == nil || need.Prompt.Model == "" {
		return plan{}
	}
	p := plan{weights: u.weights[need.Prompt.Model], read: need.Prompt.Tokens}
	if p.weights == 0 {
		return p
	}
	p.salt = Salt(need.Prompt.Model, p.weights, need.Workspace)
	p.fetch = make([]string, len(need.Prompt.Parts))
	var seenBefore time.Time
	if newer, old := t.named[need.Prompt.Model].Above(p.weights); old {
		seenBefore = newer.Since.Add(-changeMargin)
	}
	for i, part := range need.Prompt.Shared() {
		key := keptindex.Key{Salt: p.salt, ID: part.ID}
		source, f, ms, found := t.source(now, service.Engine, u, key, part.Tokens, seenBefore)
		if found {
			found = ms+u.fetching < float64(part.Tokens)*(1/t.opts.PrefillTokensPerMs+rereadCost)
		}
		if found {
			p.fetch[i] = source.Address
		}
		switch {
		case u.resident.Contains(key):
		case found:
			p.fetchMs += ms
			p.transfers = append(p.transfers, f)
			p.fetched += part.Tokens
		default:
			return p.behind(u) // later parts are of no use without this one
		}
		p.read = max(p.read-part.Tokens, 0)
	}
	return p.behind(u)
}

// behind adds the wait for transfers to the upstream that come first.
func (p plan) behind(u *upstream) plan {
	if len(p.transfers) > 0 {
		p.ahead = u.fetching
	}
	return p
}

func transferMs(engine *catalog.Engine, source keptindex.Source, domain core.FailureDomain, tokens int) float64 {
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
func (t *Table) cost(now time.Time, service *catalog.Service, u *upstream, need Need, p plan) float64 {
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
	memory := float64(u.tokens+need.Prompt.Tokens+need.Prompt.MaxOutput) + u.othersLoad(now)*meanTokens
	if memory > float64(service.Engine.CacheTokens) {
		ms += fullCost
	}
	if newer, old := t.named[need.Prompt.Model].Above(p.weights); old && now.Sub(newer.Since) > oldWeightsAfter {
		ms += oldWeightsCost
	}
	return ms
}

// affinities returns the cost of each upstream's place in the order of
// rendezvous hashing over the call's last shared part. It is nil for calls
// without one.
func (t *Table) affinities(need Need) []float64 {
	shared := need.Prompt.Shared()
	if len(shared) == 0 {
		return nil
	}
	subject := string(shared[len(shared)-1].ID)
	upstreams := t.byService[need.Service]
	scores := make([]uint64, len(upstreams))
	order := make([]int, len(upstreams))
	for i, u := range upstreams {
		scores[i], order[i] = Score(string(u.listed.ID), subject), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	costs := make([]float64, len(upstreams))
	for place, i := range order {
		costs[i] = min(float64(place)*affinityCost, affinityMost)
	}
	return costs
}

func (t *Table) budget(service core.ServiceID) *retry.Budget {
	b := t.budgets[service]
	if b == nil {
		n := float64(max(len(t.fronts), 1))
		// The slack is split between what is saved up and what comes back within
		// the window, so that no window holds more than the whole.
		slack := t.opts.RetrySlack / n
		b = retry.NewBudget(retry.BudgetOptions{
			Share: t.opts.RetryShare * retryMargin, Burst: max(slack*retryMargin/2, 1),
			PerSecond: slack * retryMargin / 2 / t.opts.RetryWindow.Seconds(),
		})
		t.budgets[service] = b
	}
	return b
}

// retryMargin is the share of the budget for repeated sends that is used. The
// rest covers sends whose calls came from a time with more traffic.
const retryMargin = 0.75

// place books the attempt.
func (t *Table) place(now time.Time, service *catalog.Service, need Need, c *candidate) Choice {
	u, p := c.upstream, c.plan
	t.tickets++
	choice := Choice{
		Ticket: t.tickets, Upstream: u.listed, Weights: p.weights, Salt: p.salt, Fetch: p.fetch,
		Fetched: p.fetched, Read: p.read,
	}
	expected := t.expected(now, service, u, p)
	choice.Expected = expected
	a := &attempt{sentAt: now, expected: expected, read: p.read, tokens: need.Prompt.Tokens + need.Prompt.MaxOutput}
	a.other = float64(expected.Microseconds())/1000 - p.fetchMs - p.ahead
	a.transfers, a.fetching, a.ahead = p.transfers, p.fetchMs, p.ahead
	u.fetching += a.fetching
	for _, f := range p.transfers {
		t.link(f.store).busy += f.nominal
	}
	u.attempts[choice.Ticket] = a
	u.backlog += a.read
	u.tokens += a.tokens
	u.sends = append(u.sends, now)
	if u.faultShare(now) > suspectShare {
		u.trialAt = now
	}
	if p.salt != "" {
		choice.Save = make([]string, len(need.Prompt.Parts))
		current := p.weights >= t.named[need.Prompt.Model].Newest().Version
		for i, part := range need.Prompt.Shared() {
			key := keptindex.Key{Salt: p.salt, ID: part.ID}
			if current {
				choice.Save[i], _ = t.kept.Place(now, key, part.Tokens) // no place: not saved
			}
			u.hasRead(key, cached{tokens: part.Tokens}, service.Engine.CacheTokens)
		}
	}
	return choice
}

func (t *Table) expected(now time.Time, service *catalog.Service, u *upstream, p plan) time.Duration {
	ms := plainCost * (1 + u.load(now)/max(float64(u.listed.Slots), 1))
	if service.Engine != nil {
		ms = plainCost + float64(u.backlog+p.read)/t.opts.PrefillTokensPerMs + p.fetchMs + p.ahead + runCost*u.load(now)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Learn takes what an attempt has shown.
func (t *Table) Learn(now time.Time, r Report) {
	u := t.upstreams[r.Upstream]
	if u == nil {
		return
	}
	if r.HasLoad {
		u.reported(now, r.Load)
	}
	if !r.Ended {
		u.reachedAt = now
	}
	if r.Weights > 0 && r.Model != "" {
		u.learnWeights(r.Model, r.Weights)
	}
	if until := now.Add(r.Cold); r.Cold > 0 && until.After(u.coldUntil) {
		u.coldUntil = until
	}
	a := u.attempts[r.Ticket]
	if a == nil {
		return
	}
	if !a.begun {
		a.begun = true
		u.backlog -= a.read
		u.fetching = max(u.fetching-a.fetching, 0)
		t.observeTransfers(now, a)
		if !r.Ended {
			u.noteLateness(now, now.Sub(a.sentAt)-a.expected)
		}
	}
	if r.Ended {
		delete(u.attempts, r.Ticket)
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
	case Rejected:
		u.refuseUntil = now.Add(refusingFor)
	case Misdirected:
		u.refuseUntil = now.Add(refusingFor)
	case Unreachable:
		wait := min(unreachableFor<<min(u.unreachable, 4), unreachableMost)
		u.unreachable++
		u.avoidUntil = now.Add(wait)
	case Abandoned:
	}
}

// floor is the oldest weight version that an upstream has, with the time since
// which none has an older one.
type floor struct {
	version catalog.WeightNumber
	since   time.Time
}

// Sweep notes the oldest weights in use. It is called at intervals.
func (t *Table) Sweep(now time.Time) {
	lowest := make(map[core.ModelID]catalog.WeightNumber)
	for _, u := range t.upstreams {
		for model, version := range u.weights {
			if old, ok := lowest[model]; !ok || version < old {
				lowest[model] = version
			}
		}
	}
	for model, version := range lowest {
		if t.floors[model].version != version {
			t.floors[model] = floor{version: version, since: now}
		}
	}
}

// Obsolete reports whether parts under a salt are of no more use: no upstream
// has had such old weights for so long that no transfer of them is under way.
func (t *Table) Obsolete(now time.Time, salt string) bool {
	model, version, ok := SaltWeights(salt)
	if !ok {
		return false
	}
	f, known := t.floors[model]
	return known && version < f.version && now.Sub(f.since) >= obsoleteAfter
}

// Stores returns the configured kept-cache stores.
func (t *Table) Stores() []catalog.KeptStore { return t.stores }

// Owner returns the node that comes first for a subject in the order of
// rendezvous hashing, or nothing without nodes.
func Owner(nodes []core.NodeID, subject string) core.NodeID {
	var best core.NodeID
	var bestScore uint64
	for _, node := range nodes {
		if s := Score(string(node), subject); best == "" || s > bestScore {
			best, bestScore = node, s
		}
	}
	return best
}
