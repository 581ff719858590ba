package route

import (
	"math"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// Bounds of the work of one choice.
const (
	maxPicks    = 12
	ringSteps   = 64
	randomDraws = 2
	drawTries   = 16
	sweepSteps  = 64
	maxHolders  = 16
	maxShared   = 8
)

// queueWeight is how much a second of queueing counts for a deferrable call
// against a second of recomputation or transfer.
const queueWeight = 0.1

// strayCost is added, as a share of the work, for an upstream that neither is
// the prompt's first neighbour on the ring nor holds a part of it. A prompt that
// runs at its home is found again by entries that have no hint.
const strayCost = 0.5

// pick is a candidate.
type pick struct {
	slot   int32
	source Source
	// home is set for the first neighbour on the ring.
	home bool
}

// prefix is what the hints say about an upstream's hold of the prompt.
type prefix struct {
	slot  int32
	depth int
	age   time.Duration
}

// picks is the scratch space of one choice; the table keeps it so that a choice
// does not allocate.
type picks struct {
	list  [maxPicks]pick
	n     int
	known [maxHolders]prefix
	nKnow int
	// depths are those at which the directory has a hint, longest first.
	depths [maxShared]int
	nDepth int
	kept   int
}

func (p *picks) reset() { p.n, p.nKnow, p.nDepth, p.kept = 0, 0, 0, 0 }

func (p *picks) contains(slot int32) bool {
	for i := range p.n {
		if p.list[i].slot == slot {
			return true
		}
	}
	return false
}

// add reports whether the candidate is new.
func (p *picks) add(slot int32, source Source) bool {
	if p.n == maxPicks || p.contains(slot) {
		return false
	}
	p.list[p.n] = pick{slot: slot, source: source}
	p.n++
	return true
}

func (p *picks) setHome(slot int32) {
	for i := range p.n {
		if p.list[i].slot == slot {
			p.list[i].home = true
		}
	}
}

// knownPrefix returns what the hints say of the upstream's hold of the prompt.
func (p *picks) knownPrefix(slot int32) prefix {
	for i := range p.nKnow {
		if p.known[i].slot == slot {
			return p.known[i]
		}
	}
	return prefix{slot: slot}
}

// estimate is the expected cost of a call at one upstream.
type estimate struct {
	wait       float64 // seconds
	firstToken float64 // seconds
	cost       float64
	hinted     prefix
	transfer   bool
}

// Choose picks the upstream for a prompt and spends one of its credits.
func (t *Table) Choose(now time.Time, r *Request) (Choice, Refusal) {
	g, ok := t.groups[groupKey{r.Scope.Model, r.Scope.Version}]
	if !ok {
		return Choice{}, RefusalNoMember
	}
	at := now.UnixNano()
	t.picks.reset()
	t.collect(g, r, at)
	if t.picks.n == 0 {
		t.sweep(g, r, at)
	}
	if t.picks.n == 0 {
		return Choice{}, RefusalNoCredit
	}
	best, e := t.best(r, at)
	t.spend(best.slot, r.Class)
	m := &t.members[best.slot]
	return Choice{
		Upstream:           m.ID,
		Incarnation:        m.state.Incarnation,
		Source:             best.source,
		HintedBlocks:       e.hinted.depth,
		HintAge:            e.hinted.age,
		KeptBlocks:         t.picks.kept,
		Import:             e.transfer,
		ExpectedWait:       toDuration(e.wait),
		ExpectedFirstToken: toDuration(e.firstToken),
	}, RefusalNone
}

// collect gathers the candidates of the policy.
func (t *Table) collect(g *group, r *Request, at int64) {
	switch t.opts.Policy {
	case LeastLoaded:
		t.leastLoaded(g, r, at)
	case AffinityOnly:
		t.neighbours(g, r, at, 1)
	case DirectoryOnly:
		t.holders(g, r, at)
		t.draw(g, r, at, randomDraws, drawTries)
	default:
		t.holders(g, r, at)
		t.neighbours(g, r, at, t.opts.RingNeighbours)
		t.draw(g, r, at, randomDraws, drawTries)
	}
}

// allowed reports whether a call may be sent to the upstream.
func (t *Table) allowed(slot int32, r *Request, at int64) bool {
	m := &t.members[slot]
	if !m.usable(at, r.Class) || slices.Contains(r.TriedUpstreams, m.ID) {
		return false
	}
	return r.Allow == nil || r.Allow(m.ID)
}

// neighbours walks the hash ring from the prompt's place and takes upstreams
// whose load is within the bound.
func (t *Table) neighbours(g *group, r *Request, at int64, count int) {
	points := g.ring.points
	i := g.ring.find(t.place(r))
	first := true
	for range min(ringSteps, len(points)) {
		if i >= len(points) {
			i = 0
		}
		slot := points[i].slot
		i++
		if !t.withinBound(g, slot) || !t.allowed(slot, r, at) {
			continue
		}
		if t.picks.add(slot, SourceRing) {
			count--
		}
		if first {
			t.picks.setHome(slot)
			first = false
		}
		if count == 0 {
			return
		}
	}
}

// withinBound applies consistent hashing with bounded loads: an upstream takes
// a call only while its load for its window is at most the factor times the
// mean, the call included.
func (t *Table) withinBound(g *group, slot int32) bool {
	m := &t.members[slot]
	bound := t.opts.LoadFactor * float64(g.load+1) * float64(m.state.Window) / float64(max(g.window, 1))
	return float64(m.load()) < math.Ceil(bound)
}

// holders looks the prompt up in the directory, longest prefix first. Only the
// holders of the longest prefix become candidates; what is known about shorter
// ones is kept for candidates from other sources.
func (t *Table) holders(g *group, r *Request, at int64) {
	found := false
	p := newProbe(len(r.Blocks))
	for depth := p.next(); depth > 0; depth = p.next() {
		e := t.hints.find(hintKey(r.Blocks[depth-1]))
		if e == nil {
			continue
		}
		if t.picks.nDepth < maxShared {
			t.picks.depths[t.picks.nDepth] = depth
			t.picks.nDepth++
		}
		if e.kept {
			t.picks.kept = max(t.picks.kept, depth)
		}
		took := t.noteHolders(g, r, at, e, depth, !found)
		if took && !found {
			found = true
			p.skipBelow(depth)
		}
	}
}

// noteHolders records the holders of one hint and reports whether one of them
// became a candidate.
func (t *Table) noteHolders(g *group, r *Request, at int64, e *hint, depth int, candidates bool) bool {
	took := false
	for i := range int(e.n) {
		h := e.holders[i]
		m := &t.members[h.slot]
		if m.generation != h.generation || m.group != g {
			continue
		}
		p := &t.picks
		if p.nKnow < maxHolders && p.knownPrefix(h.slot).depth == 0 {
			p.known[p.nKnow] = prefix{h.slot, depth, ageOf(h.at, at)}
			p.nKnow++
		}
		if candidates && t.allowed(h.slot, r, at) {
			p.add(h.slot, SourceHints)
			took = true
		}
	}
	return took
}

// draw takes random upstreams that have credits. Those whose credits have
// expired leave the live list.
func (t *Table) draw(g *group, r *Request, at int64, count, tries int) {
	for range tries {
		if count == 0 || len(g.live) == 0 {
			return
		}
		slot := g.live[t.random.IntN(len(g.live))]
		if t.members[slot].expires <= at {
			t.members[slot].state.Credits = 0
			t.refreshLive(slot)
			continue
		}
		if t.allowed(slot, r, at) && t.picks.add(slot, SourceRandom) {
			count--
		}
	}
}

// sweep takes the first allowed upstream from a random place of the live list
// on. It runs when nothing else gave a candidate. Its steps are bounded, because
// it runs for every refused call when an entry is overloaded.
func (t *Table) sweep(g *group, r *Request, at int64) {
	n := len(g.live)
	if n == 0 {
		return
	}
	first := t.random.IntN(n)
	for i := range min(n, sweepSteps) {
		if slot := g.live[(first+i)%n]; t.allowed(slot, r, at) {
			t.picks.add(slot, SourceRandom)
			return
		}
	}
}

// leastLoaded takes the upstream with the least load for its window.
func (t *Table) leastLoaded(g *group, r *Request, at int64) {
	best := int32(notLive)
	bestLoad := math.Inf(1)
	for _, slot := range g.live {
		m := &t.members[slot]
		load := float64(m.load()) / float64(max(m.state.Window, 1))
		if load < bestLoad && t.allowed(slot, r, at) {
			best, bestLoad = slot, load
		}
	}
	if best != notLive {
		t.picks.add(best, SourceRandom)
	}
}

// best compares the candidates by cost; the load decides between equals.
func (t *Table) best(r *Request, at int64) (pick, estimate) {
	best := t.picks.list[0]
	bestCost := t.estimate(best, r, at)
	for _, p := range t.picks.list[1:t.picks.n] {
		e := t.estimate(p, r, at)
		if e.cost < bestCost.cost || e.cost == bestCost.cost && t.relativeLoad(p.slot) < t.relativeLoad(best.slot) {
			best, bestCost = p, e
		}
	}
	return best, bestCost
}

func (t *Table) relativeLoad(slot int32) float64 {
	m := &t.members[slot]
	return float64(m.load()) / float64(max(m.state.Window, 1))
}

// estimate weighs recomputation against transfer from the kept-cache store. An
// urgent call counts the time to first token. A deferrable call counts the use
// of the accelerator and of the link, and waits cheaply.
func (t *Table) estimate(p pick, r *Request, at int64) estimate {
	slot := p.slot
	m := &t.members[slot]
	e := estimate{wait: t.wait(m), hinted: t.prefixOf(slot, r, at)}
	rate := orDefault(m.state.PrefillRate, t.opts.PrefillRate) / (1 + min(1, t.relativeLoad(slot)))
	cached := float64(e.hinted.depth) * m.survival(e.hinted.age)
	work := max(0, float64(r.PromptBytes)-cached*core.BlockBytes) / rate
	if kept := float64(t.picks.kept); kept > cached {
		link := orDefault(m.state.LinkRate, t.opts.LinkRate)
		transfer := t.opts.TransferSetupTime.Seconds() + (kept-cached)*float64(t.opts.BlockTransferBytes)/link
		rest := max(0, float64(r.PromptBytes)-kept*core.BlockBytes) / rate
		if transfer+rest < work {
			work = transfer + rest
			e.transfer = true
		}
	}
	e.firstToken = e.wait + work
	e.cost = e.firstToken
	if r.Class == core.Deferrable {
		e.cost = work + queueWeight*e.wait
	}
	if e.hinted.depth == 0 && !p.home {
		e.cost += strayCost * work
	}
	return e
}

// prefixOf returns what is known of the upstream's hold of the prompt, from the
// hints or else from the keys that it stored lately.
func (t *Table) prefixOf(slot int32, r *Request, at int64) prefix {
	known := t.picks.knownPrefix(slot)
	for _, depth := range t.picks.depths[:t.picks.nDepth] {
		if depth <= known.depth {
			break
		}
		if stored, ok := t.recent[slot].find(hintKey(r.Blocks[depth-1])); ok {
			return prefix{slot, depth, ageOf(stored, at)}
		}
	}
	return known
}

// survival is the expected part of the cached blocks that is still held.
func (m *member) survival(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(2*m.retention))
}

// wait is the expected time to admission in seconds. Calls that this entry sent
// since the state was published count as queued. While the window has room, a
// call waits only if others that this entry does not see take it first, which
// grows steeply with the load.
func (t *Table) wait(m *member) float64 {
	each := t.opts.ServiceTime.Seconds() / float64(max(m.state.Window, 1))
	if m.state.QueueDelay > 0 {
		each = m.state.QueueDelay.Seconds() / float64(m.state.Queued+1)
	}
	expected := m.state.Running + m.state.Queued + m.sent*t.peers
	if over := expected - m.state.Window + 1; over > 0 {
		return float64(over) * each
	}
	load := float64(expected) / float64(max(m.state.Window, 1))
	return load * load * each
}

// ageOf returns the time since a moment that was noted in whole seconds.
func ageOf(noted uint32, at int64) time.Duration {
	return max(0, time.Duration(at)-time.Duration(noted)*time.Second)
}

func orDefault(v, otherwise float64) float64 {
	if v > 0 {
		return v
	}
	return otherwise
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
