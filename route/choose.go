package route

import (
	"math"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Limits on the work of one choice.
const (
	maxCandidates     = 12
	maxHashRingSteps  = 64
	randomCandidates  = 2
	maxRandomDraws    = 16
	maxFallbackSteps  = 64
	maxHintedPrefixes = 16
	maxRecordedDepths = 8
)

// deferrableWaitWeight is the cost of a second of queueing for a deferrable call,
// relative to a second of recomputation or transfer.
const deferrableWaitWeight = 0.1

// noAffinityPenalty is added to the cost, as a fraction of the work, for an
// upstream that is neither the first eligible neighbour on the hash ring nor a
// holder of a prefix of the prompt. Entries without a hint for a prompt prefer this
// neighbour, so they find the cached prefix if earlier runs were sent there.
const noAffinityPenalty = 0.5

// candidate is an upstream that is compared by cost.
type candidate struct {
	slot   int32
	source Source
	// firstEligibleNeighbour is set for the first neighbour on the hash ring that
	// may receive the call and whose load is within the bound.
	firstEligibleNeighbour bool
}

// cachedPrefix is the prefix of the prompt that an upstream holds according to
// the hint directory or its recent keys. The depth is its length in blocks, and
// the age is the time since it was recorded.
type cachedPrefix struct {
	slot  int32
	depth int
	age   time.Duration
}

// scratch is the working memory of one choice. It is part of the table, so that a
// choice does not allocate.
type scratch struct {
	candidates     [maxCandidates]candidate
	candidateCount int
	hintedPrefixes [maxHintedPrefixes]cachedPrefix
	prefixCount    int
	// recordedDepths are the depths of the prompt for which the directory has a
	// record, longest first.
	recordedDepths [maxRecordedDepths]int
	depthCount     int
	// keptBlocks is the number of leading blocks in the kept-cache store according
	// to the directory.
	keptBlocks int
}

func (s *scratch) reset() { s.candidateCount, s.prefixCount, s.depthCount, s.keptBlocks = 0, 0, 0, 0 }

func (s *scratch) contains(slot int32) bool {
	for i := range s.candidateCount {
		if s.candidates[i].slot == slot {
			return true
		}
	}
	return false
}

// add adds a candidate unless it is a duplicate or the list is full. It reports
// whether the candidate was added.
func (s *scratch) add(slot int32, source Source) bool {
	if s.candidateCount == maxCandidates || s.contains(slot) {
		return false
	}
	s.candidates[s.candidateCount] = candidate{slot: slot, source: source}
	s.candidateCount++
	return true
}

func (s *scratch) setFirstEligibleNeighbour(slot int32) {
	for i := range s.candidateCount {
		if s.candidates[i].slot == slot {
			s.candidates[i].firstEligibleNeighbour = true
		}
	}
}

// hintedPrefix returns the prefix that recordPrefixes has recorded for an upstream,
// or an empty one.
func (s *scratch) hintedPrefix(slot int32) cachedPrefix {
	for i := range s.prefixCount {
		if s.hintedPrefixes[i].slot == slot {
			return s.hintedPrefixes[i]
		}
	}
	return cachedPrefix{slot: slot}
}

// costEstimate is the expected cost of a call at one upstream.
type costEstimate struct {
	wait            float64 // seconds
	firstToken      float64 // seconds
	cost            float64 // seconds, weighted
	prefix          cachedPrefix
	importKeptCache bool
}

// Choose chooses the upstream for a prompt and spends one of its credits.
func (t *Table) Choose(now time.Time, r *Request) (Choice, Refusal) {
	g, ok := t.groups[groupKey{r.Scope.Model, r.Scope.Version}]
	if !ok {
		return Choice{}, RefusalNoUpstream
	}
	nowNanos := now.UnixNano()
	t.scratch.reset()
	t.collectCandidates(g, r, nowNanos)
	if t.scratch.candidateCount == 0 {
		t.addFallback(g, r, nowNanos)
	}
	if t.scratch.candidateCount == 0 {
		return Choice{}, RefusalNoCredit
	}
	best, e := t.cheapest(r, nowNanos)
	t.spendCredit(best.slot, r.Class)
	u := &t.upstreams[best.slot]
	return Choice{
		Upstream:           u.ID,
		Incarnation:        u.state.Incarnation,
		Source:             best.source,
		HintedBlocks:       e.prefix.depth,
		HintAge:            e.prefix.age,
		KeptBlocks:         t.scratch.keptBlocks,
		ImportKeptCache:    e.importKeptCache,
		ExpectedWait:       toDuration(e.wait),
		ExpectedFirstToken: toDuration(e.firstToken),
	}, RefusalNone
}

// collectCandidates adds the candidates of the policy.
func (t *Table) collectCandidates(g *group, r *Request, now int64) {
	switch t.opts.Policy {
	case LeastLoaded:
		t.addLeastLoaded(g, r, now)
	case AffinityOnly:
		t.addHashRingNeighbours(g, r, now, 1)
	case DirectoryOnly:
		t.addHolders(g, r, now)
		t.addRandom(g, r, now, randomCandidates, maxRandomDraws)
	default:
		t.addHolders(g, r, now)
		t.addHashRingNeighbours(g, r, now, t.opts.HashRingNeighbours)
		t.addRandom(g, r, now, randomCandidates, maxRandomDraws)
	}
}

// mayReceive reports whether the call may be sent to the upstream.
func (t *Table) mayReceive(slot int32, r *Request, now int64) bool {
	u := &t.upstreams[slot]
	if !u.hasCredit(now, r.Class) || slices.Contains(r.TriedUpstreams, u.ID) {
		return false
	}
	return r.Allow == nil || r.Allow(u.ID)
}

// addHashRingNeighbours walks the hash ring from the position of the prompt. It
// adds upstreams that may receive the call and whose load is within the bound.
func (t *Table) addHashRingNeighbours(g *group, r *Request, now int64, count int) {
	points := g.hashRing.points
	i := g.hashRing.find(t.hashRingPosition(r))
	isFirst := true
	for range min(maxHashRingSteps, len(points)) {
		if i >= len(points) {
			i = 0
		}
		slot := points[i].slot
		i++
		if !t.withinLoadBound(g, slot) || !t.mayReceive(slot, r, now) {
			continue
		}
		if t.scratch.add(slot, SourceHashRing) {
			count--
		}
		if isFirst {
			t.scratch.setFirstEligibleNeighbour(slot)
			isFirst = false
		}
		if count == 0 {
			return
		}
	}
}

// withinLoadBound implements consistent hashing with bounded loads. An upstream
// becomes a candidate from the hash ring only while its load relative to its
// window, including this call, is at most LoadFactor times the mean of the group.
func (t *Table) withinLoadBound(g *group, slot int32) bool {
	u := &t.upstreams[slot]
	bound := t.opts.LoadFactor * float64(g.load+1) * float64(u.state.Window) / float64(max(g.window, 1))
	return float64(u.load()) < math.Ceil(bound)
}

// addHolders looks the prompt up in the directory, longest prefix first. The
// candidates are the holders of the longest prefix for which at least one holder
// may receive the call. Holders of other prefixes are recorded for candidates from
// other sources.
func (t *Table) addHolders(g *group, r *Request, now int64) {
	candidatesFound := false
	depths := newDepthIter(len(r.Blocks))
	for depth := depths.next(); depth > 0; depth = depths.next() {
		record := t.hintDirectory.find(hintKey(r.Blocks[depth-1]))
		if record == nil {
			continue
		}
		if t.scratch.depthCount < maxRecordedDepths {
			t.scratch.recordedDepths[t.scratch.depthCount] = depth
			t.scratch.depthCount++
		}
		if record.inKeptCache {
			t.scratch.keptBlocks = max(t.scratch.keptBlocks, depth)
		}
		added := t.recordPrefixes(g, r, now, record, depth, !candidatesFound)
		if added && !candidatesFound {
			candidatesFound = true
			depths.skipToPowerOfTwoBelow(depth) // shorter prefixes are only recorded, so few lookups suffice
		}
	}
}

// recordPrefixes records the prefix that each upstream in a hint record holds.
// With addCandidates, it adds the upstreams that may receive the call as candidates and
// reports whether there are any.
func (t *Table) recordPrefixes(g *group, r *Request, now int64, record *hintRecord, depth int, addCandidates bool) bool {
	added := false
	for i := range int(record.holderCount) {
		h := record.holders[i]
		u := &t.upstreams[h.slot]
		if u.generation != h.generation || u.group != g {
			continue
		}
		s := &t.scratch
		if s.prefixCount < maxHintedPrefixes && s.hintedPrefix(h.slot).depth == 0 {
			s.hintedPrefixes[s.prefixCount] = cachedPrefix{h.slot, depth, elapsedSince(h.storedAt, now)}
			s.prefixCount++
		}
		if addCandidates && t.mayReceive(h.slot, r, now) {
			s.add(h.slot, SourceHints)
			added = true
		}
	}
	return added
}

// addRandom adds random upstreams that have credits. Upstreams whose credits have
// expired are removed from the available list.
func (t *Table) addRandom(g *group, r *Request, now int64, count, maxDraws int) {
	for range maxDraws {
		if count == 0 || len(g.available) == 0 {
			return
		}
		slot := g.available[t.random.IntN(len(g.available))]
		if t.upstreams[slot].creditExpiry <= now {
			t.upstreams[slot].state.Credits = 0
			t.refreshAvailable(slot)
			continue
		}
		if t.mayReceive(slot, r, now) && t.scratch.add(slot, SourceAvailable) {
			count--
		}
	}
}

// addFallback adds the first upstream of the available list that may receive the
// call, starting at a random index. It runs when there is no other candidate. The
// number of steps is limited because it runs for every refused call of an
// overloaded entry.
func (t *Table) addFallback(g *group, r *Request, now int64) {
	n := len(g.available)
	if n == 0 {
		return
	}
	startIndex := t.random.IntN(n)
	for i := range min(n, maxFallbackSteps) {
		if slot := g.available[(startIndex+i)%n]; t.mayReceive(slot, r, now) {
			t.scratch.add(slot, SourceAvailable)
			return
		}
	}
}

// addLeastLoaded adds the upstream with the lowest load relative to its window.
func (t *Table) addLeastLoaded(g *group, r *Request, now int64) {
	best := int32(noIndex)
	bestLoad := math.Inf(1)
	for _, slot := range g.available {
		u := &t.upstreams[slot]
		load := float64(u.load()) / float64(max(u.state.Window, 1))
		if load < bestLoad && t.mayReceive(slot, r, now) {
			best, bestLoad = slot, load
		}
	}
	if best != noIndex {
		t.scratch.add(best, SourceAvailable)
	}
}

// cheapest returns the candidate with the lowest cost. Ties are broken by the
// relative load.
func (t *Table) cheapest(r *Request, now int64) (candidate, costEstimate) {
	best := t.scratch.candidates[0]
	bestEstimate := t.estimateCost(best, r, now)
	for _, c := range t.scratch.candidates[1:t.scratch.candidateCount] {
		e := t.estimateCost(c, r, now)
		if e.cost < bestEstimate.cost || e.cost == bestEstimate.cost && t.relativeLoad(c.slot) < t.relativeLoad(best.slot) {
			best, bestEstimate = c, e
		}
	}
	return best, bestEstimate
}

func (t *Table) relativeLoad(slot int32) float64 {
	u := &t.upstreams[slot]
	return float64(u.load()) / float64(max(u.state.Window, 1))
}

// estimateCost estimates the cost of a call in seconds. The work is the time for
// recomputation, or for a transfer from the kept-cache store and recomputation of
// the rest, whichever is lower. The cost of an urgent call is the time to the
// first token, which is the wait plus the work. For a deferrable call, the wait
// has the weight deferrableWaitWeight. For an upstream that holds no prefix and is
// not the first eligible neighbour, the fraction noAffinityPenalty of the work is
// added.
func (t *Table) estimateCost(c candidate, r *Request, now int64) costEstimate {
	slot := c.slot
	u := &t.upstreams[slot]
	e := costEstimate{wait: t.expectedWait(u), prefix: t.longestHeldPrefix(slot, r, now)}
	rate := orDefault(u.state.PrefillRate, t.opts.PrefillRate) / (1 + min(1, t.relativeLoad(slot)))
	cached := float64(e.prefix.depth) * u.retainedShare(e.prefix.age)
	work := max(0, float64(r.PromptBytes)-cached*core.BlockBytes) / rate
	if kept := float64(t.scratch.keptBlocks); kept > cached {
		link := orDefault(u.state.LinkRate, t.opts.LinkRate)
		transfer := t.opts.TransferSetupTime.Seconds() + (kept-cached)*float64(t.opts.KeptCacheBytesPerBlock)/link
		recompute := max(0, float64(r.PromptBytes)-kept*core.BlockBytes) / rate
		if transfer+recompute < work {
			work = transfer + recompute
			e.importKeptCache = true
		}
	}
	e.firstToken = e.wait + work
	e.cost = e.firstToken
	if r.Class == core.Deferrable {
		e.cost = work + deferrableWaitWeight*e.wait
	}
	if e.prefix.depth == 0 && !c.firstEligibleNeighbour {
		e.cost += noAffinityPenalty * work
	}
	return e
}

// longestHeldPrefix returns the longest prefix of the prompt that the upstream holds
// according to the hint directory and its recent keys.
func (t *Table) longestHeldPrefix(slot int32, r *Request, now int64) cachedPrefix {
	hinted := t.scratch.hintedPrefix(slot)
	for _, depth := range t.scratch.recordedDepths[:t.scratch.depthCount] {
		if depth <= hinted.depth {
			break
		}
		if storedAt, ok := t.recentKeys[slot].find(hintKey(r.Blocks[depth-1])); ok {
			return cachedPrefix{slot, depth, elapsedSince(storedAt, now)}
		}
	}
	return hinted
}

// retainedShare is the expected share of the cached blocks that the upstream
// still holds.
func (u *upstream) retainedShare(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(2*u.retention))
}

// expectedWait returns the expected time to admission in seconds. Calls that this
// entry sent since the state was received, multiplied by the number of entries,
// count as queued. While the window is not full, a call waits only if calls of
// other entries fill it first. The probability of that grows steeply with the
// load.
func (t *Table) expectedWait(u *upstream) float64 {
	perCall := t.opts.ServiceTime.Seconds() / float64(max(u.state.Window, 1))
	if u.state.QueueDelay > 0 {
		perCall = u.state.QueueDelay.Seconds() / float64(u.state.Queued+1)
	}
	calls := u.state.Running + u.state.Queued + u.sentSinceState*t.entryCount
	if excess := calls - u.state.Window + 1; excess > 0 {
		return float64(excess) * perCall
	}
	load := float64(calls) / float64(max(u.state.Window, 1))
	return load * load * perCall
}

// elapsedSince returns the time since a moment given in whole Unix seconds.
func elapsedSince(storedAt uint32, now int64) time.Duration {
	return max(0, time.Duration(now)-time.Duration(storedAt)*time.Second)
}

func orDefault(measured, fallback float64) float64 {
	if measured > 0 {
		return measured
	}
	return fallback
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
