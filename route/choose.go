package route

import (
	"math"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Limits on the work of one choice.
const (
	maxCandidates    = 12
	maxRingSteps     = 64
	randomCandidates = 2
	maxSamples       = 16
	maxFallbackSteps = 64
	maxPrefixes      = 16
	maxDepths        = 8
)

// deferrableWaitWeight is the cost of a second of queueing for a deferrable call,
// relative to a second of recomputation or transfer.
const deferrableWaitWeight = 0.1

// noAffinityPenalty is added to the cost, as a fraction of the work, for an
// upstream that is neither the prompt's first neighbour on the ring nor a holder
// of a prefix of the prompt. A prompt that runs at its first neighbour is found
// again by entries that have no hint.
const noAffinityPenalty = 0.5

// candidate is an upstream that is compared by cost.
type candidate struct {
	slot   int32
	source Source
	// firstOnRing is set for the first neighbour on the ring.
	firstOnRing bool
}

// cachedPrefix is the prefix of the prompt that an upstream holds according to
// the hints. Depth is its length in blocks.
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
	prefixes       [maxPrefixes]cachedPrefix
	prefixCount    int
	// depths are the depths at which the directory has a hint, longest first.
	depths     [maxDepths]int
	depthCount int
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

// add adds a candidate and reports whether it is new and within the limit.
func (s *scratch) add(slot int32, source Source) bool {
	if s.candidateCount == maxCandidates || s.contains(slot) {
		return false
	}
	s.candidates[s.candidateCount] = candidate{slot: slot, source: source}
	s.candidateCount++
	return true
}

func (s *scratch) setFirstOnRing(slot int32) {
	for i := range s.candidateCount {
		if s.candidates[i].slot == slot {
			s.candidates[i].firstOnRing = true
		}
	}
}

// hintedPrefix returns the recorded prefix of an upstream, or an empty one.
func (s *scratch) hintedPrefix(slot int32) cachedPrefix {
	for i := range s.prefixCount {
		if s.prefixes[i].slot == slot {
			return s.prefixes[i]
		}
	}
	return cachedPrefix{slot: slot}
}

// costEstimate is the expected cost of a call at one upstream.
type costEstimate struct {
	wait       float64 // seconds
	firstToken float64 // seconds
	cost       float64
	prefix     cachedPrefix
	importKept bool
}

// Choose chooses the upstream for a prompt and spends one of its credits.
func (t *Table) Choose(now time.Time, r *Request) (Choice, Refusal) {
	g, ok := t.groups[groupKey{r.Scope.Model, r.Scope.Version}]
	if !ok {
		return Choice{}, RefusalNoMember
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
	t.spend(best.slot, r.Class)
	m := &t.members[best.slot]
	return Choice{
		Upstream:           m.ID,
		Incarnation:        m.state.Incarnation,
		Source:             best.source,
		HintedBlocks:       e.prefix.depth,
		HintAge:            e.prefix.age,
		KeptBlocks:         t.scratch.keptBlocks,
		Import:             e.importKept,
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
		t.addRingNeighbours(g, r, now, 1)
	case DirectoryOnly:
		t.addHolders(g, r, now)
		t.addRandom(g, r, now, randomCandidates, maxSamples)
	default:
		t.addHolders(g, r, now)
		t.addRingNeighbours(g, r, now, t.opts.RingNeighbours)
		t.addRandom(g, r, now, randomCandidates, maxSamples)
	}
}

// eligible reports whether the call may be sent to the upstream.
func (t *Table) eligible(slot int32, r *Request, now int64) bool {
	m := &t.members[slot]
	if !m.usable(now, r.Class) || slices.Contains(r.TriedUpstreams, m.ID) {
		return false
	}
	return r.Allow == nil || r.Allow(m.ID)
}

// addRingNeighbours walks the hash ring from the prompt's position and adds
// eligible upstreams whose load is within the bound.
func (t *Table) addRingNeighbours(g *group, r *Request, now int64, count int) {
	points := g.ring.points
	i := g.ring.find(t.ringPosition(r))
	isFirst := true
	for range min(maxRingSteps, len(points)) {
		if i >= len(points) {
			i = 0
		}
		slot := points[i].slot
		i++
		if !t.withinLoadBound(g, slot) || !t.eligible(slot, r, now) {
			continue
		}
		if t.scratch.add(slot, SourceRing) {
			count--
		}
		if isFirst {
			t.scratch.setFirstOnRing(slot)
			isFirst = false
		}
		if count == 0 {
			return
		}
	}
}

// withinLoadBound implements consistent hashing with bounded loads. An upstream
// accepts a call only while its load relative to its window, including this
// call, is at most LoadFactor times the mean of the group.
func (t *Table) withinLoadBound(g *group, slot int32) bool {
	m := &t.members[slot]
	bound := t.opts.LoadFactor * float64(g.load+1) * float64(m.state.Window) / float64(max(g.window, 1))
	return float64(m.load()) < math.Ceil(bound)
}

// addHolders looks the prompt up in the directory, longest prefix first. Only
// the holders of the longest prefix with an eligible holder become candidates.
// Shorter prefixes are recorded for candidates from other sources.
func (t *Table) addHolders(g *group, r *Request, now int64) {
	candidatesFound := false
	depths := newDepthIter(len(r.Blocks))
	for depth := depths.next(); depth > 0; depth = depths.next() {
		e := t.hints.find(hintKey(r.Blocks[depth-1]))
		if e == nil {
			continue
		}
		if t.scratch.depthCount < maxDepths {
			t.scratch.depths[t.scratch.depthCount] = depth
			t.scratch.depthCount++
		}
		if e.inKeptCache {
			t.scratch.keptBlocks = max(t.scratch.keptBlocks, depth)
		}
		added := t.recordPrefixes(g, r, now, e, depth, !candidatesFound)
		if added && !candidatesFound {
			candidatesFound = true
			depths.skipBelow(depth)
		}
	}
}

// recordPrefixes records the prefix of each holder of a hint and reports whether
// one of the holders became a candidate.
func (t *Table) recordPrefixes(g *group, r *Request, now int64, e *hint, depth int, addCandidates bool) bool {
	added := false
	for i := range int(e.holderCount) {
		h := e.holders[i]
		m := &t.members[h.slot]
		if m.generation != h.generation || m.group != g {
			continue
		}
		s := &t.scratch
		if s.prefixCount < maxPrefixes && s.hintedPrefix(h.slot).depth == 0 {
			s.prefixes[s.prefixCount] = cachedPrefix{h.slot, depth, elapsedSince(h.storedAt, now)}
			s.prefixCount++
		}
		if addCandidates && t.eligible(h.slot, r, now) {
			s.add(h.slot, SourceHints)
			added = true
		}
	}
	return added
}

// addRandom adds random upstreams that have credits. Upstreams whose credits have
// expired are removed from the available list.
func (t *Table) addRandom(g *group, r *Request, now int64, count, samples int) {
	for range samples {
		if count == 0 || len(g.available) == 0 {
			return
		}
		slot := g.available[t.random.IntN(len(g.available))]
		if t.members[slot].creditExpiry <= now {
			t.members[slot].state.Credits = 0
			t.refreshAvailable(slot)
			continue
		}
		if t.eligible(slot, r, now) && t.scratch.add(slot, SourceRandom) {
			count--
		}
	}
}

// addFallback adds the first eligible upstream of the available list, starting at
// a random index. It runs when there is no other candidate. The number of steps
// is limited because it runs for every refused call of an overloaded entry.
func (t *Table) addFallback(g *group, r *Request, now int64) {
	n := len(g.available)
	if n == 0 {
		return
	}
	startIndex := t.random.IntN(n)
	for i := range min(n, maxFallbackSteps) {
		if slot := g.available[(startIndex+i)%n]; t.eligible(slot, r, now) {
			t.scratch.add(slot, SourceRandom)
			return
		}
	}
}

// addLeastLoaded adds the upstream with the lowest load relative to its window.
func (t *Table) addLeastLoaded(g *group, r *Request, now int64) {
	best := int32(notAvailable)
	bestLoad := math.Inf(1)
	for _, slot := range g.available {
		m := &t.members[slot]
		load := float64(m.load()) / float64(max(m.state.Window, 1))
		if load < bestLoad && t.eligible(slot, r, now) {
			best, bestLoad = slot, load
		}
	}
	if best != notAvailable {
		t.scratch.add(best, SourceRandom)
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
	m := &t.members[slot]
	return float64(m.load()) / float64(max(m.state.Window, 1))
}

// estimateCost returns the cost of recomputation or of a transfer from the
// kept-cache store, whichever is lower. The cost of an urgent call is the time
// to the first token. The cost of a deferrable call is the work of the
// accelerator and of the link, plus the wait at a reduced weight.
func (t *Table) estimateCost(c candidate, r *Request, now int64) costEstimate {
	slot := c.slot
	m := &t.members[slot]
	e := costEstimate{wait: t.expectedWait(m), prefix: t.prefixAt(slot, r, now)}
	rate := orDefault(m.state.PrefillRate, t.opts.PrefillRate) / (1 + min(1, t.relativeLoad(slot)))
	cached := float64(e.prefix.depth) * m.retainedShare(e.prefix.age)
	work := max(0, float64(r.PromptBytes)-cached*core.BlockBytes) / rate
	if kept := float64(t.scratch.keptBlocks); kept > cached {
		link := orDefault(m.state.LinkRate, t.opts.LinkRate)
		transfer := t.opts.TransferSetupTime.Seconds() + (kept-cached)*float64(t.opts.BlockTransferBytes)/link
		recompute := max(0, float64(r.PromptBytes)-kept*core.BlockBytes) / rate
		if transfer+recompute < work {
			work = transfer + recompute
			e.importKept = true
		}
	}
	e.firstToken = e.wait + work
	e.cost = e.firstToken
	if r.Class == core.Deferrable {
		e.cost = work + deferrableWaitWeight*e.wait
	}
	if e.prefix.depth == 0 && !c.firstOnRing {
		e.cost += noAffinityPenalty * work
	}
	return e
}

// prefixAt returns the longest prefix of the prompt that the upstream holds
// according to the hints and the keys that it stored recently.
func (t *Table) prefixAt(slot int32, r *Request, now int64) cachedPrefix {
	hinted := t.scratch.hintedPrefix(slot)
	for _, depth := range t.scratch.depths[:t.scratch.depthCount] {
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
func (m *member) retainedShare(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(2*m.retention))
}

// expectedWait returns the expected time to admission in seconds. Calls that this
// entry sent since the state was published count as queued. While the window has
// free slots, a call waits only if calls of other entries take them first. The
// probability of that grows steeply with the load.
func (t *Table) expectedWait(m *member) float64 {
	perCall := t.opts.ServiceTime.Seconds() / float64(max(m.state.Window, 1))
	if m.state.QueueDelay > 0 {
		perCall = m.state.QueueDelay.Seconds() / float64(m.state.Queued+1)
	}
	calls := m.state.Running + m.state.Queued + m.sentSinceState*t.entries
	if excess := calls - m.state.Window + 1; excess > 0 {
		return float64(excess) * perCall
	}
	load := float64(calls) / float64(max(m.state.Window, 1))
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
