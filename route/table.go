package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
)

// noIndex is the value of an index or slot that is not set.
const noIndex = -1

// Bounds of the estimated time for which an upstream retains cached blocks.
const (
	minRetention = time.Second
	maxRetention = 24 * time.Hour
)

// retentionGain is the weight of one observation in the moving average of the
// retention.
const retentionGain = 0.1

// maxEntryCount limits the factor by which an entry multiplies its own calls to
// estimate the calls of all entries. With more entries, the calls of one entry to
// one upstream are too few for such an estimate.
const maxEntryCount = 4

// groupKey identifies a group of upstreams that can serve the same prompts.
type groupKey struct {
	model   core.ModelID
	version core.WeightVersion
}

// group is the set of upstreams that serve one version of a model.
type group struct {
	slots    []int32
	hashRing hashRing
	// available lists the slots of the upstreams that accepted calls and had
	// credits when they were last checked.
	available []int32
	// load and window are sums over the upstreams that have published a state.
	load   int
	window int
}

// upstream is the routing state of one upstream.
type upstream struct {
	UpstreamConfig
	group *group
	// generation is incremented when the upstream loses its cache and when the slot
	// is freed.
	generation     uint32
	availableIndex int32
	hasState       bool
	state          State
	creditExpiry   int64 // Unix nanoseconds
	// sentSinceState estimates the number of unfinished calls that this entry sent
	// after the state was received. Any finished call decrements it, even if it was
	// sent earlier.
	sentSinceState int
	// retention is the expected time for which cached blocks are retained.
	retention time.Duration
}

// Table is the routing state of one entry for all upstreams. It is not safe for
// concurrent use.
type Table struct {
	opts          Options
	random        *rand.Rand
	slots         map[core.UpstreamID]int32
	freeSlots     []int32
	upstreams     []upstream
	recentKeys    []recentKeys // by slot
	groups        map[groupKey]*group
	hintDirectory hintDirectory
	scratch       scratch
	// entryCount is the number set by SetEntryCount, limited to maxEntryCount.
	entryCount int
}

// New returns an empty table.
func New(opts Options, random *rand.Rand) *Table {
	return &Table{
		opts:          opts,
		random:        random,
		slots:         make(map[core.UpstreamID]int32),
		groups:        make(map[groupKey]*group),
		hintDirectory: newHintDirectory(opts.HintCapacity),
		entryCount:    1,
	}
}

// SetEntryCount sets the number of entries that send to the same upstreams, this
// one included. It is limited to maxEntryCount. Between two published states of an
// upstream, all entries see the same unused part of its window, so each entry
// multiplies the number of its own calls by the number of entries.
func (t *Table) SetEntryCount(count int) { t.entryCount = min(max(count, 1), maxEntryCount) }

// SetUpstreams replaces the set of upstreams. It is called when the facts.View of
// the entry changes. The state of upstreams that remain is retained, and a hash
// ring is updated only if its set of upstreams has changed.
func (t *Table) SetUpstreams(upstreams []UpstreamConfig) {
	present := make(map[core.UpstreamID]bool, len(upstreams))
	for _, u := range upstreams {
		present[u.ID] = true
	}
	var removedSlots []int32
	for id, slot := range t.slots {
		if !present[id] {
			removedSlots = append(removedSlots, slot)
		}
	}
	slices.Sort(removedSlots) // makes the reuse of slots deterministic
	for _, slot := range removedSlots {
		t.remove(slot)
	}
	slotsByGroup := make(map[groupKey][]int32)
	for _, u := range upstreams {
		slot := t.obtainSlot(u.ID)
		t.upstreams[slot].UpstreamConfig = u
		key := groupKey{u.Model, u.Version}
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
	if n := len(t.freeSlots); n > 0 {
		slot = t.freeSlots[n-1]
		t.freeSlots = t.freeSlots[:n-1]
	} else {
		slot = int32(len(t.upstreams))
		t.upstreams = append(t.upstreams, upstream{})
		t.recentKeys = append(t.recentKeys, recentKeys{})
	}
	generation := t.upstreams[slot].generation
	t.upstreams[slot] = upstream{generation: generation, availableIndex: noIndex, retention: t.opts.InitialRetention}
	t.slots[id] = slot
	return slot
}

func (t *Table) remove(slot int32) {
	u := &t.upstreams[slot]
	delete(t.slots, u.ID)
	*u = upstream{generation: u.generation + 1, availableIndex: noIndex}
	t.recentKeys[slot] = recentKeys{}
	t.freeSlots = append(t.freeSlots, slot)
}

func (t *Table) setGroup(key groupKey, slots []int32) {
	slices.Sort(slots)
	slots = slices.Compact(slots)
	g, ok := t.groups[key]
	if !ok {
		g = &group{}
		t.groups[key] = g
	}
	t.updateHashRing(g, slots)
	g.available, g.load, g.window = g.available[:0], 0, 0
	for _, slot := range slots {
		u := &t.upstreams[slot]
		u.group, u.availableIndex = g, noIndex
		if u.hasState {
			g.load += u.load()
			g.window += u.state.Window
		}
		t.refreshAvailable(slot)
	}
}

// updateHashRing updates the hash ring of a group to the given slots. A slot that
// was freed and reused for another upstream is both removed and added.
func (t *Table) updateHashRing(g *group, slots []int32) {
	remaining := make([]bool, len(t.upstreams))
	var addedSlots []int32
	for _, slot := range slots {
		if t.upstreams[slot].group == g {
			remaining[slot] = true
		} else {
			addedSlots = append(addedSlots, slot)
		}
	}
	if len(addedSlots) == 0 && len(slots) == len(g.slots) {
		return
	}
	g.slots = slots
	g.hashRing.update(
		func(slot int32) bool { return !remaining[slot] },
		addedSlots,
		func(slot int32) core.UpstreamID { return t.upstreams[slot].ID },
	)
}

// RecordState records the published state of an upstream. It returns false if the
// upstream is not in the table or the state is of an earlier incarnation.
func (t *Table) RecordState(now time.Time, s State) bool {
	slot, ok := t.slots[s.Upstream]
	if !ok {
		return false
	}
	u := &t.upstreams[slot]
	if u.hasState && s.Incarnation < u.state.Incarnation {
		return false
	}
	if u.hasState {
		u.group.load -= u.load()
		u.group.window -= u.state.Window
		if s.Incarnation != u.state.Incarnation || s.CacheEpoch != u.state.CacheEpoch {
			u.generation++
			t.recentKeys[slot] = recentKeys{}
		}
	}
	storedKeys := s.StoredKeys
	s.StoredKeys = nil
	u.state, u.hasState, u.sentSinceState = s, true, 0
	u.creditExpiry = s.CreditExpiry.UnixNano()
	u.group.load += u.load()
	u.group.window += s.Window
	t.refreshAvailable(slot)
	for _, key := range storedKeys {
		t.recordHolder(key, slot, now)
	}
	return true
}

// RecordRun updates the hints and the retention estimate after a finished run.
func (t *Table) RecordRun(now time.Time, r RunResult) {
	slot, ok := t.slots[r.Upstream]
	if !ok || t.upstreams[slot].state.Incarnation != r.Incarnation {
		return
	}
	u := &t.upstreams[slot]
	if r.HintedBlocks > 0 && r.HintAge > 0 {
		u.observeRetention(r.HintAge, r.ReusedBlocks*2 >= r.HintedBlocks)
	}
	VisitRecordedDepths(min(r.HeldBlocks, len(r.Blocks)), r.ReusedBlocks, func(depth int) {
		t.recordHolder(hintKey(r.Blocks[depth-1]), slot, now)
	})
}

// RecordKeptBlocks records that the kept-cache store holds the first n blocks.
func (t *Table) RecordKeptBlocks(now time.Time, blocks []core.BlockKey, n int) {
	VisitRecordedDepths(min(n, len(blocks)), 0, func(depth int) {
		t.hintDirectory.obtain(hintKey(blocks[depth-1]), unixSeconds(now)).inKeptCache = true
	})
}

// ReturnCredit restores the credit of a choice for which no call was sent.
func (t *Table) ReturnCredit(c Choice) {
	slot, ok := t.slots[c.Upstream]
	if !ok {
		return
	}
	u := &t.upstreams[slot]
	if u.state.Incarnation != c.Incarnation || u.sentSinceState == 0 {
		return
	}
	u.sentSinceState--
	u.group.load--
	u.state.Credits++
	t.refreshAvailable(slot)
}

// Credits returns the number of calls of the class that may be sent to the
// upstream now.
func (t *Table) Credits(now time.Time, id core.UpstreamID, class core.Class) int {
	slot, ok := t.slots[id]
	if !ok || !t.upstreams[slot].hasCredit(now.UnixNano(), class) {
		return 0
	}
	return t.upstreams[slot].credits(class)
}

// recordHolder records that the upstream in a slot holds the prefix that ends
// with the block of the key.
func (t *Table) recordHolder(key uint64, slot int32, now time.Time) {
	storedAt := unixSeconds(now)
	t.hintDirectory.obtain(key, storedAt).add(holder{slot: slot, generation: t.upstreams[slot].generation, storedAt: storedAt})
	t.recentKeys[slot].add(key, storedAt)
}

// refreshAvailable adds the upstream in a slot to the available list of its group,
// or removes it from the list.
func (t *Table) refreshAvailable(slot int32) {
	u := &t.upstreams[slot]
	available := u.hasState && u.acceptsCalls() && u.state.Credits > 0
	if available == (u.availableIndex != noIndex) {
		return
	}
	g := u.group
	if available {
		u.availableIndex = int32(len(g.available))
		g.available = append(g.available, slot)
		return
	}
	last := g.available[len(g.available)-1]
	g.available[u.availableIndex] = last
	t.upstreams[last].availableIndex = u.availableIndex
	g.available = g.available[:len(g.available)-1]
	u.availableIndex = noIndex
}

// spendCredit deducts one credit for a call of the class.
func (t *Table) spendCredit(slot int32, class core.Class) {
	u := &t.upstreams[slot]
	u.state.Credits--
	if class == core.Urgent && u.state.UrgentCredits > 0 {
		u.state.UrgentCredits--
	}
	u.sentSinceState++
	u.group.load++
	if u.state.Credits == 0 {
		t.refreshAvailable(slot)
	}
}

// load is the number of running and queued calls in the published state plus
// sentSinceState.
func (u *upstream) load() int { return u.state.Running + u.state.Queued + u.sentSinceState }

// acceptsCalls reports whether the upstream accepts new calls for its version.
func (u *upstream) acceptsCalls() bool {
	if u.Closed || u.state.Draining {
		return false
	}
	return u.state.Version == "" || u.state.Version == u.Version || slices.Contains(u.state.Loaded, u.Version)
}

func (u *upstream) credits(class core.Class) int {
	if class == core.Urgent {
		return u.state.Credits
	}
	return u.state.Credits - u.state.UrgentCredits
}

// hasCredit reports whether the upstream has an unexpired credit for the class.
func (u *upstream) hasCredit(now int64, class core.Class) bool {
	return u.availableIndex != noIndex && u.creditExpiry > now && u.credits(class) > 0
}

// observeRetention updates the retention estimate with the age at which blocks
// were still cached or already evicted.
func (u *upstream) observeRetention(age time.Duration, cached bool) {
	target := u.retention
	if cached {
		target = max(target, 2*age)
	} else {
		target = min(target, age/2)
	}
	u.retention += time.Duration(retentionGain * float64(target-u.retention))
	u.retention = min(max(u.retention, minRetention), maxRetention)
}

func unixSeconds(now time.Time) uint32 { return uint32(now.Unix()) }

// hashRingPosition returns the position of a prompt on the hash ring. Prompts that
// share their first blocks have the same position. For a prompt without full
// blocks, it is determined by the workspace, the model and the adapter.
func (t *Table) hashRingPosition(r *Request) uint64 {
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
	if !ok || !t.upstreams[slot].hasState {
		return
	}
	u := &t.upstreams[slot]
	u.state.Credits = 0
	t.refreshAvailable(slot)
}

// FinishCall records that a call to the chosen upstream has finished, so that it
// stops counting as load without waiting for the next published state.
func (t *Table) FinishCall(c Choice) {
	slot, ok := t.slots[c.Upstream]
	if !ok || t.upstreams[slot].state.Incarnation != c.Incarnation {
		return
	}
	u := &t.upstreams[slot]
	switch {
	case u.sentSinceState > 0:
		u.sentSinceState--
	case u.state.Running > 0:
		u.state.Running--
	default:
		return
	}
	u.group.load--
}
