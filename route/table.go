package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
)

// notLive is the place in the live list of an upstream that is not in it.
const notLive = -1

// Bounds of the observed time for which an upstream keeps cached blocks.
const (
	minRetention = time.Second
	maxRetention = 24 * time.Hour
)

// retentionGain is the weight of one observation in the retention estimate.
const retentionGain = 0.1

// maxPeers bounds the factor for calls of other entries. With many entries each
// one sends to an upstream too seldom to stand for the others.
const maxPeers = 4

// groupKey names the upstreams that can serve the same prompts.
type groupKey struct {
	model   core.ModelID
	version core.WeightVersion
}

// group is the set of upstreams that serve one version of a model.
type group struct {
	slots []int32
	ring  hashRing
	// live lists the slots that had credits when last seen.
	live []int32
	// load and window are sums over the group's upstreams.
	load   int
	window int
}

// member is what is known about one upstream.
type member struct {
	Member
	used  bool
	group *group
	// generation changes when the upstream loses its cache.
	generation uint32
	livePlace  int32
	known      bool
	state      State
	expires    int64 // Unix nanoseconds
	// sent counts the calls sent since the state was published.
	sent int
	// retention is how long cached blocks are expected to stay.
	retention time.Duration
}

// Table is what one entry knows about all upstreams. It is not safe for
// concurrent use.
type Table struct {
	opts    Options
	random  *rand.Rand
	slots   map[core.UpstreamID]int32
	free    []int32
	members []member
	recent  []recent // by slot
	groups  map[groupKey]*group
	hints   hints
	picks   picks
	// peers is how many entries are taken to send as this one does.
	peers int
}

// New returns an empty table.
func New(opts Options, random *rand.Rand) *Table {
	return &Table{
		opts:   opts,
		random: random,
		slots:  make(map[core.UpstreamID]int32),
		groups: make(map[groupKey]*group),
		hints:  newHints(opts.HintEntries),
		peers:  1,
	}
}

// SetEntryCount tells how many entries send to the same upstreams, this one
// included. Between two states of an upstream they all see the same room in it,
// so each of them counts its own calls once for every peer.
func (t *Table) SetEntryCount(entries int) { t.peers = min(max(entries, 1), maxPeers) }

// SetMembers replaces the set of upstreams. It is called when the view in force
// changes. What is known about upstreams that stay is kept, and a hash ring is
// changed only when its set of upstreams changed.
func (t *Table) SetMembers(members []Member) {
	stay := make(map[core.UpstreamID]bool, len(members))
	for _, m := range members {
		stay[m.ID] = true
	}
	var gone []int32
	for id, slot := range t.slots {
		if !stay[id] {
			gone = append(gone, slot)
		}
	}
	slices.Sort(gone) // slots are given out again in the same order on every run
	for _, slot := range gone {
		t.remove(slot)
	}
	grouped := make(map[groupKey][]int32)
	for _, m := range members {
		slot := t.slotOf(m.ID)
		t.members[slot].Member = m
		key := groupKey{m.Model, m.Version}
		grouped[key] = append(grouped[key], slot)
	}
	for key := range t.groups {
		if _, ok := grouped[key]; !ok {
			delete(t.groups, key)
		}
	}
	for key, slots := range grouped {
		t.setGroup(key, slots)
	}
}

func (t *Table) slotOf(id core.UpstreamID) int32 {
	if slot, ok := t.slots[id]; ok {
		return slot
	}
	var slot int32
	if n := len(t.free); n > 0 {
		slot = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		slot = int32(len(t.members))
		t.members = append(t.members, member{})
		t.recent = append(t.recent, recent{})
	}
	generation := t.members[slot].generation
	t.members[slot] = member{used: true, generation: generation, livePlace: notLive, retention: t.opts.InitialRetention}
	t.slots[id] = slot
	return slot
}

func (t *Table) remove(slot int32) {
	m := &t.members[slot]
	delete(t.slots, m.ID)
	*m = member{generation: m.generation + 1, livePlace: notLive}
	t.recent[slot] = recent{}
	t.free = append(t.free, slot)
}

func (t *Table) setGroup(key groupKey, slots []int32) {
	slices.Sort(slots)
	slots = slices.Compact(slots)
	g, ok := t.groups[key]
	if !ok {
		g = &group{}
		t.groups[key] = g
	}
	t.changeRing(g, slots)
	g.live, g.load, g.window = g.live[:0], 0, 0
	for _, slot := range slots {
		m := &t.members[slot]
		m.group, m.livePlace = g, notLive
		if m.known {
			g.load += m.load()
			g.window += m.state.Window
		}
		t.refreshLive(slot)
	}
}

// changeRing brings the ring of a group in step with its slots. A slot that was
// freed and given to another upstream counts as dropped and added.
func (t *Table) changeRing(g *group, slots []int32) {
	stays := make([]bool, len(t.members))
	var added []int32
	for _, slot := range slots {
		if t.members[slot].group == g {
			stays[slot] = true
		} else {
			added = append(added, slot)
		}
	}
	if len(added) == 0 && len(slots) == len(g.slots) {
		return
	}
	g.slots = slots
	g.ring.change(
		func(slot int32) bool { return !stays[slot] },
		added,
		func(slot int32) core.UpstreamID { return t.members[slot].ID },
	)
}

// Update records the published state of an upstream. It reports false for an
// upstream that is not a member and for a state of an earlier incarnation.
func (t *Table) Update(now time.Time, s State) bool {
	slot, ok := t.slots[s.Upstream]
	if !ok {
		return false
	}
	m := &t.members[slot]
	if m.known && s.Incarnation < m.state.Incarnation {
		return false
	}
	if m.known {
		m.group.load -= m.load()
		m.group.window -= m.state.Window
		if s.Incarnation != m.state.Incarnation || s.CacheEpoch != m.state.CacheEpoch {
			m.generation++
			t.recent[slot] = recent{}
		}
	}
	cached := s.StoredKeys
	s.StoredKeys = nil
	m.state, m.known, m.sent = s, true, 0
	m.expires = s.CreditExpiry.UnixNano()
	m.group.load += m.load()
	m.group.window += s.Window
	t.refreshLive(slot)
	for _, key := range cached {
		t.record(key, slot, now)
	}
	return true
}

// RecordRun records what a finished run tells about the cache of its upstream.
func (t *Table) RecordRun(now time.Time, r RunResult) {
	slot, ok := t.slots[r.Upstream]
	if !ok || t.members[slot].state.Incarnation != r.Incarnation {
		return
	}
	m := &t.members[slot]
	if r.HintedBlocks > 0 && r.HintAge > 0 {
		m.observeRetention(r.HintAge, r.ReusedBlocks*2 >= r.HintedBlocks)
	}
	HintDepths(min(r.HeldBlocks, len(r.Blocks)), r.ReusedBlocks, func(depth int) {
		t.record(hintKey(r.Blocks[depth-1]), slot, now)
	})
}

// RecordKeptBlocks records that the kept-cache store holds the first n blocks.
func (t *Table) RecordKeptBlocks(now time.Time, blocks []core.BlockKey, n int) {
	HintDepths(min(n, len(blocks)), 0, func(depth int) {
		t.hints.obtain(hintKey(blocks[depth-1]), seconds(now)).kept = true
	})
}

// ReturnCredit gives back the credit of a choice that was not sent.
func (t *Table) ReturnCredit(c Choice) {
	slot, ok := t.slots[c.Upstream]
	if !ok {
		return
	}
	m := &t.members[slot]
	if m.state.Incarnation != c.Incarnation || m.sent == 0 {
		return
	}
	m.sent--
	m.group.load--
	m.state.Credits++
	t.refreshLive(slot)
}

// Credits returns how many calls of the class may be sent to the upstream now.
func (t *Table) Credits(now time.Time, id core.UpstreamID, class core.Class) int {
	slot, ok := t.slots[id]
	if !ok || !t.members[slot].usable(now.UnixNano(), class) {
		return 0
	}
	return t.members[slot].credits(class)
}

// record notes that the upstream in a slot holds the prefix that a key ends.
func (t *Table) record(key uint64, slot int32, now time.Time) {
	at := seconds(now)
	t.hints.obtain(key, at).add(holder{slot: slot, generation: t.members[slot].generation, at: at})
	t.recent[slot].add(key, at)
}

// refreshLive keeps the live list in step with the member's credits.
func (t *Table) refreshLive(slot int32) {
	m := &t.members[slot]
	live := m.known && m.open() && m.state.Credits > 0
	if live == (m.livePlace != notLive) {
		return
	}
	g := m.group
	if live {
		m.livePlace = int32(len(g.live))
		g.live = append(g.live, slot)
		return
	}
	last := g.live[len(g.live)-1]
	g.live[m.livePlace] = last
	t.members[last].livePlace = m.livePlace
	g.live = g.live[:len(g.live)-1]
	m.livePlace = notLive
}

// spend takes one credit for a call of the class.
func (t *Table) spend(slot int32, class core.Class) {
	m := &t.members[slot]
	m.state.Credits--
	if class == core.Urgent && m.state.UrgentCredits > 0 {
		m.state.UrgentCredits--
	}
	m.sent++
	m.group.load++
	if m.state.Credits == 0 {
		t.refreshLive(slot)
	}
}

// load is the number of calls at the upstream, those on the way included.
func (m *member) load() int { return m.state.Running + m.state.Queued + m.sent }

// open reports whether the upstream may take new work of its version.
func (m *member) open() bool {
	if m.Closed || m.state.Draining {
		return false
	}
	return m.state.Version == "" || m.state.Version == m.Version || slices.Contains(m.state.Loaded, m.Version)
}

func (m *member) credits(class core.Class) int {
	if class == core.Urgent {
		return m.state.Credits
	}
	return m.state.Credits - m.state.UrgentCredits
}

// usable reports whether the upstream has a live credit for the class.
func (m *member) usable(now int64, class core.Class) bool {
	return m.livePlace != notLive && m.expires > now && m.credits(class) > 0
}

// observeRetention moves the estimate of how long the upstream keeps blocks
// towards an age at which they were found or missing.
func (m *member) observeRetention(age time.Duration, found bool) {
	target := m.retention
	if found {
		target = max(target, 2*age)
	} else {
		target = min(target, age/2)
	}
	m.retention += time.Duration(retentionGain * float64(target-m.retention))
	m.retention = min(max(m.retention, minRetention), maxRetention)
}

func seconds(now time.Time) uint32 { return uint32(now.Unix()) }

// place is where a prompt stands on the hash ring. Prompts that share their
// first blocks stand at the same place.
func (t *Table) place(r *Request) uint64 {
	if n := min(len(r.Blocks), t.opts.AffinityBlocks); n > 0 {
		return mix(hintKey(r.Blocks[n-1]))
	}
	h := xxhash.Sum64String(string(r.Scope.Workspace))
	h = mix(h ^ xxhash.Sum64String(string(r.Scope.Model)))
	return mix(h ^ xxhash.Sum64String(string(r.Scope.Adapter)))
}

// MarkUnavailable drops what is known of an upstream whose agent does not answer, so
// that it gets no calls until it publishes a state again.
func (t *Table) MarkUnavailable(id core.UpstreamID) {
	slot, ok := t.slots[id]
	if !ok || !t.members[slot].known {
		return
	}
	m := &t.members[slot]
	m.state.Credits = 0
	t.refreshLive(slot)
}

// FinishCall records that a call which was sent to the choice is over, so that it no
// longer counts as load before the next published state.
func (t *Table) FinishCall(c Choice) {
	slot, ok := t.slots[c.Upstream]
	if !ok || t.members[slot].state.Incarnation != c.Incarnation {
		return
	}
	m := &t.members[slot]
	switch {
	case m.sent > 0:
		m.sent--
	case m.state.Running > 0:
		m.state.Running--
	default:
		return
	}
	m.group.load--
}
