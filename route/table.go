package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
)

// notAvailable is the availableIndex of an upstream that is not in the available
// list of its group.
const notAvailable = -1

// Bounds of the estimated time for which an upstream retains cached blocks.
const (
	minRetention = time.Second
	maxRetention = 24 * time.Hour
)

// retentionGain is the weight of one observation in the moving average of the
// retention.
const retentionGain = 0.1

// maxEntryCount is the maximum factor for the calls of other entries. With more
// entries, each one sends to an upstream too rarely to be representative of the
// others.
const maxEntryCount = 4

// groupKey identifies a group of upstreams that can serve the same prompts.
type groupKey struct {
	model   core.ModelID
	version core.WeightVersion
}

// group is the set of upstreams that serve one version of a model.
type group struct {
	slots []int32
	ring  hashRing
	// available lists the slots that had credits when they were last checked.
	available []int32
	// load and window are sums over the upstreams that have published a state.
	load   int
	window int
}

// member is the routing state of one upstream.
type member struct {
	Member
	occupied bool
	group    *group
	// generation is incremented when the upstream loses its cache and when the slot
	// is freed.
	generation     uint32
	availableIndex int32
	hasState       bool
	state          State
	creditExpiry   int64 // Unix nanoseconds
	// sentSinceState is the number of calls sent since the state was published.
	sentSinceState int
	// retention is the expected time for which cached blocks are retained.
	retention time.Duration
}

// Table is the routing state of one entry for all upstreams. It is not safe for
// concurrent use.
type Table struct {
	opts       Options
	random     *rand.Rand
	slots      map[core.UpstreamID]int32
	free       []int32
	members    []member
	recentKeys []recentKeys // by slot
	groups     map[groupKey]*group
	hints      hints
	scratch    scratch
	// entries is the number of entries that are assumed to send at the rate of
	// this one, itself included.
	entries int
}

// New returns an empty table.
func New(opts Options, random *rand.Rand) *Table {
	return &Table{
		opts:    opts,
		random:  random,
		slots:   make(map[core.UpstreamID]int32),
		groups:  make(map[groupKey]*group),
		hints:   newHints(opts.HintEntries),
		entries: 1,
	}
}

// SetEntryCount sets the number of entries that send to the same upstreams, this
// one included. Between two published states of an upstream, all entries see the
// same free slots, so each entry multiplies the number of its own calls by the
// number of entries.
func (t *Table) SetEntryCount(entries int) { t.entries = min(max(entries, 1), maxEntryCount) }

// SetMembers replaces the set of upstreams. It is called when the current view
// changes. The state of upstreams that remain is retained, and a hash ring is
// updated only if its set of upstreams has changed.
func (t *Table) SetMembers(members []Member) {
	present := make(map[core.UpstreamID]bool, len(members))
	for _, m := range members {
		present[m.ID] = true
	}
	var departed []int32
	for id, slot := range t.slots {
		if !present[id] {
			departed = append(departed, slot)
		}
	}
	slices.Sort(departed) // makes the reuse of slots deterministic
	for _, slot := range departed {
		t.remove(slot)
	}
	slotsByGroup := make(map[groupKey][]int32)
	for _, m := range members {
		slot := t.obtainSlot(m.ID)
		t.members[slot].Member = m
		key := groupKey{m.Model, m.Version}
		slotsByGroup[key] = append(slotsByGroup[key], slot)
	}
	for key := range t.groups {
		if _, ok := slotsByGroup[key]; !ok {
			delete(t.groups, key)
		}
	}
	for key, slots := range slotsByGroup {
		t.setGroup(key, slots)
	}
}

func (t *Table) obtainSlot(id core.UpstreamID) int32 {
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
		t.recentKeys = append(t.recentKeys, recentKeys{})
	}
	generation := t.members[slot].generation
	t.members[slot] = member{occupied: true, generation: generation, availableIndex: notAvailable, retention: t.opts.InitialRetention}
	t.slots[id] = slot
	return slot
}

func (t *Table) remove(slot int32) {
	m := &t.members[slot]
	delete(t.slots, m.ID)
	*m = member{generation: m.generation + 1, availableIndex: notAvailable}
	t.recentKeys[slot] = recentKeys{}
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
	t.updateRing(g, slots)
	g.available, g.load, g.window = g.available[:0], 0, 0
	for _, slot := range slots {
		m := &t.members[slot]
		m.group, m.availableIndex = g, notAvailable
		if m.hasState {
			g.load += m.load()
			g.window += m.state.Window
		}
		t.refreshAvailable(slot)
	}
}

// updateRing updates the ring of a group to the given slots. A slot that was
// freed and reused for another upstream is both removed and added.
func (t *Table) updateRing(g *group, slots []int32) {
	retained := make([]bool, len(t.members))
	var added []int32
	for _, slot := range slots {
		if t.members[slot].group == g {
			retained[slot] = true
		} else {
			added = append(added, slot)
		}
	}
	if len(added) == 0 && len(slots) == len(g.slots) {
		return
	}
	g.slots = slots
	g.ring.update(
		func(slot int32) bool { return !retained[slot] },
		added,
		func(slot int32) core.UpstreamID { return t.members[slot].ID },
	)
}

// Update records the published state of an upstream. It returns false if the
// upstream is not a member or the state is of an earlier incarnation.
func (t *Table) Update(now time.Time, s State) bool {
	slot, ok := t.slots[s.Upstream]
	if !ok {
		return false
	}
	m := &t.members[slot]
	if m.hasState && s.Incarnation < m.state.Incarnation {
		return false
	}
	if m.hasState {
		m.group.load -= m.load()
		m.group.window -= m.state.Window
		if s.Incarnation != m.state.Incarnation || s.CacheEpoch != m.state.CacheEpoch {
			m.generation++
			t.recentKeys[slot] = recentKeys{}
		}
	}
	cached := s.StoredKeys
	s.StoredKeys = nil
	m.state, m.hasState, m.sentSinceState = s, true, 0
	m.creditExpiry = s.CreditExpiry.UnixNano()
	m.group.load += m.load()
	m.group.window += s.Window
	t.refreshAvailable(slot)
	for _, key := range cached {
		t.recordHolder(key, slot, now)
	}
	return true
}

// RecordRun updates the hints and the retention estimate after a finished run.
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
		t.recordHolder(hintKey(r.Blocks[depth-1]), slot, now)
	})
}

// RecordKeptBlocks records that the kept-cache store holds the first n blocks.
func (t *Table) RecordKeptBlocks(now time.Time, blocks []core.BlockKey, n int) {
	HintDepths(min(n, len(blocks)), 0, func(depth int) {
		t.hints.obtain(hintKey(blocks[depth-1]), unixSeconds(now)).inKeptCache = true
	})
}

// ReturnCredit restores the credit of a choice for which no call was sent.
func (t *Table) ReturnCredit(c Choice) {
	slot, ok := t.slots[c.Upstream]
	if !ok {
		return
	}
	m := &t.members[slot]
	if m.state.Incarnation != c.Incarnation || m.sentSinceState == 0 {
		return
	}
	m.sentSinceState--
	m.group.load--
	m.state.Credits++
	t.refreshAvailable(slot)
}

// Credits returns the number of calls of the class that may be sent to the
// upstream now.
func (t *Table) Credits(now time.Time, id core.UpstreamID, class core.Class) int {
	slot, ok := t.slots[id]
	if !ok || !t.members[slot].usable(now.UnixNano(), class) {
		return 0
	}
	return t.members[slot].credits(class)
}

// recordHolder records that the upstream in a slot holds the prefix that ends
// with the block of the key.
func (t *Table) recordHolder(key uint64, slot int32, now time.Time) {
	storedAt := unixSeconds(now)
	t.hints.obtain(key, storedAt).add(holder{slot: slot, generation: t.members[slot].generation, storedAt: storedAt})
	t.recentKeys[slot].add(key, storedAt)
}

// refreshAvailable adds the member to the available list of its group, or removes
// it, according to its credits.
func (t *Table) refreshAvailable(slot int32) {
	m := &t.members[slot]
	available := m.hasState && m.acceptsCalls() && m.state.Credits > 0
	if available == (m.availableIndex != notAvailable) {
		return
	}
	g := m.group
	if available {
		m.availableIndex = int32(len(g.available))
		g.available = append(g.available, slot)
		return
	}
	last := g.available[len(g.available)-1]
	g.available[m.availableIndex] = last
	t.members[last].availableIndex = m.availableIndex
	g.available = g.available[:len(g.available)-1]
	m.availableIndex = notAvailable
}

// spend deducts one credit for a call of the class.
func (t *Table) spend(slot int32, class core.Class) {
	m := &t.members[slot]
	m.state.Credits--
	if class == core.Urgent && m.state.UrgentCredits > 0 {
		m.state.UrgentCredits--
	}
	m.sentSinceState++
	m.group.load++
	if m.state.Credits == 0 {
		t.refreshAvailable(slot)
	}
}

// load is the number of calls at the upstream, including those in transit.
func (m *member) load() int { return m.state.Running + m.state.Queued + m.sentSinceState }

// acceptsCalls reports whether the upstream accepts new calls for its version.
func (m *member) acceptsCalls() bool {
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

// usable reports whether the upstream has an unexpired credit for the class.
func (m *member) usable(now int64, class core.Class) bool {
	return m.availableIndex != notAvailable && m.creditExpiry > now && m.credits(class) > 0
}

// observeRetention updates the retention estimate with the age at which blocks
// were still cached or already evicted.
func (m *member) observeRetention(age time.Duration, cached bool) {
	target := m.retention
	if cached {
		target = max(target, 2*age)
	} else {
		target = min(target, age/2)
	}
	m.retention += time.Duration(retentionGain * float64(target-m.retention))
	m.retention = min(max(m.retention, minRetention), maxRetention)
}

func unixSeconds(now time.Time) uint32 { return uint32(now.Unix()) }

// ringPosition returns the position of a prompt on the hash ring. Prompts that
// share their first blocks have the same position.
func (t *Table) ringPosition(r *Request) uint64 {
	if n := min(len(r.Blocks), t.opts.AffinityBlocks); n > 0 {
		return mix(hintKey(r.Blocks[n-1]))
	}
	h := xxhash.Sum64String(string(r.Scope.Workspace))
	h = mix(h ^ xxhash.Sum64String(string(r.Scope.Model)))
	return mix(h ^ xxhash.Sum64String(string(r.Scope.Adapter)))
}

// MarkUnavailable clears the credits of an upstream whose agent does not respond,
// so that it receives no calls until it publishes a state again.
func (t *Table) MarkUnavailable(id core.UpstreamID) {
	slot, ok := t.slots[id]
	if !ok || !t.members[slot].hasState {
		return
	}
	m := &t.members[slot]
	m.state.Credits = 0
	t.refreshAvailable(slot)
}

// FinishCall records that a call that was sent to the choice has finished, so
// that it no longer counts as load before the next published state.
func (t *Table) FinishCall(c Choice) {
	slot, ok := t.slots[c.Upstream]
	if !ok || t.members[slot].state.Incarnation != c.Incarnation {
		return
	}
	m := &t.members[slot]
	switch {
	case m.sentSinceState > 0:
		m.sentSinceState--
	case m.state.Running > 0:
		m.state.Running--
	default:
		return
	}
	m.group.load--
}
