package lease_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/lease"
)

// leaseWorld simulates the rows of a lease in a store that is restored from copies, and
// the processes that contend for it. The clocks of the processes have different origins.
type leaseWorld struct {
	now        time.Duration
	content    leaseContent
	generation core.Generation
	copies     []leaseContent
	nodes      []core.NodeID
	origins    []time.Duration
	states     []*lease.StoreLease
	// unanswered contains writes that got no response and may still take effect.
	unanswered []leaseWrite
}

// leaseContent is the content of the store: the lease's rows by key, and the counter from
// which versions are assigned.
type leaseContent struct {
	rows    map[string]leaseRow
	version uint64
}

type leaseRow struct {
	lease.StoreLeaseRow
	version uint64
}

// leaseWrite is a write with the condition that the row has a version.
type leaseWrite struct {
	key             string
	row             lease.StoreLeaseRow
	expectedVersion uint64
	sentAt          time.Duration
}

func newLeaseWorld() *leaseWorld {
	w := &leaseWorld{
		now: time.Minute, copies: []leaseContent{{}},
		nodes: []core.NodeID{"a", "b", "c"}, origins: []time.Duration{0, time.Hour, 5 * time.Second},
	}
	for i := range w.nodes {
		w.states = append(w.states, w.newProcess(i, 1))
	}
	return w
}

func (w *leaseWorld) newProcess(i int, incarnation core.Incarnation) *lease.StoreLease {
	s := lease.NewStoreLease(storeLeaseConfig, w.nodes[i], incarnation)
	s.ObserveGeneration(w.now+w.origins[i], w.generation)
	return s
}

func (w *leaseWorld) restore(from leaseContent) {
	w.content = leaseContent{rows: maps.Clone(from.rows), version: from.version}
	w.generation++
}

// perform performs a write if its condition holds.
func (w *leaseWorld) perform(write leaseWrite) bool {
	if w.content.rows[write.key].version != write.expectedVersion {
		return false
	}
	next := leaseContent{rows: maps.Clone(w.content.rows), version: w.content.version + 1}
	if next.rows == nil {
		next.rows = make(map[string]leaseRow)
	}
	next.rows[write.key] = leaseRow{write.row, next.version}
	w.content = next
	w.copies = append(w.copies, next)
	return true
}

// request reads the row and returns the write of the process, if it may write.
func (w *leaseWorld) request(i int, reading time.Duration) (leaseWrite, bool) {
	s := w.states[i]
	requestedAt := w.now + w.origins[i]
	w.now += reading
	s.ObserveGeneration(w.now+w.origins[i], w.generation)
	key := lease.StoreLeaseKey("weights", w.generation)
	row := w.content.rows[key]
	s.RecordRead(requestedAt, row.StoreLeaseRow, row.version, w.now)
	next, expectedVersion, mayWrite := s.Proposal()
	return leaseWrite{key, next, expectedVersion, w.now}, mayWrite
}

// renew reads the row and writes it, with the given delays.
func (w *leaseWorld) renew(i int, reading, writing time.Duration, responseLost bool) {
	write, mayWrite := w.request(i, reading)
	w.now += writing
	if mayWrite && w.perform(write) && !responseLost {
		w.states[i].RecordWrite(write.row)
	}
}

// renewLate reads the row and sends a write that gets no response and takes effect later.
func (w *leaseWorld) renewLate(i int, reading time.Duration) {
	if write, mayWrite := w.request(i, reading); mayWrite {
		w.unanswered = append(w.unanswered, write)
	}
}

// performLate performs the unanswered write with the given index unless it was sent more
// than maxLateness ago.
func (w *leaseWorld) performLate(index int) {
	write := w.unanswered[index]
	w.unanswered = slices.Delete(w.unanswered, index, index+1)
	if w.now-write.sentAt <= maxLateness {
		w.perform(write)
	}
}

// maxLateness is the longest time after which a write without a response takes effect.
const maxLateness = 6 * time.Second

// holderCheck checks the orders of the holders: two holders are the gap apart, and fences
// rise from one to the next.
type holderCheck struct {
	holder    int
	orderedAt time.Duration
	fence     core.Fence
}

// order records an order of process i if it holds the lease.
func (c *holderCheck) order(t require.TestingT, w *leaseWorld, i int) {
	fence, held := w.states[i].HeldFence(w.now + w.origins[i])
	if !held {
		return
	}
	if c.holder != i {
		require.False(t, c.holder >= 0 && w.now-c.orderedAt < storeLeaseConfig.Gap, "two holders")
		require.Greater(t, fence, c.fence, "fence of an older lease")
	}
	require.GreaterOrEqual(t, fence, c.fence, "fence has decreased")
	c.holder, c.orderedAt, c.fence = i, w.now, fence
}

// Guards against two holders at the same time, and against reused fences, after the
// store was restored from a copy that lacks the last leases. Processes restart, pause and
// lose responses meanwhile.
func TestStoreLeaseKeepsHoldersApartAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld()
		delay := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
		})
		check := holderCheck{holder: -1}
		for step := range 80 {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "process")
			w.now += delay.Draw(t, "pause")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				w.restore(rapid.SampledFrom(w.copies).Draw(t, "copy"))
			case 1:
				w.states[i] = w.newProcess(i, core.Incarnation(step+2))
			}
			if s := w.states[i]; s.ReadDue(w.now + w.origins[i]) {
				w.renew(i, delay.Draw(t, "reading"), delay.Draw(t, "writing"), rapid.Bool().Draw(t, "response lost"))
			}
			check.order(t, w, i)
		}
	})
}

// Guards against two holders at the same time, and against reused fences, after writes
// without a response take effect late, also after a restore in which the versions that
// they replace were assigned again.
func TestLateWritesAcrossRestoresKeepHoldersApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld()
		w.now += time.Minute // a lease may be acquired at once
		pauses := []time.Duration{0, 100 * time.Millisecond, storeLeaseConfig.RenewInterval, storeLeaseConfig.Duration + storeLeaseConfig.Gap}
		check := holderCheck{holder: -1}
		for range 60 {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "process")
			w.now += rapid.SampledFrom(pauses).Draw(t, "pause")
			switch rapid.SampledFrom([]string{"restore", "late write", "unanswered", "renewal", "renewal"}).Draw(t, "event") {
			case "restore":
				w.restore(rapid.SampledFrom(w.copies).Draw(t, "copy"))
			case "late write":
				if len(w.unanswered) > 0 {
					w.performLate(rapid.IntRange(0, len(w.unanswered)-1).Draw(t, "write"))
				}
			case "unanswered":
				w.renewLate(i, 0)
			case "renewal":
				if w.states[i].ReadDue(w.now + w.origins[i]) {
					w.renew(i, 0, rapid.SampledFrom(pauses[:3]).Draw(t, "writing"), false)
				}
			}
			check.order(t, w, i)
		}
	})
}

// Guards against a lease that the holder loses for the time of a takeover because its
// row was lost.
func TestHolderRenewsLeaseWhoseRowWasLost(t *testing.T) {
	w := newLeaseWorld()
	w.now += time.Minute
	w.renew(0, 0, 0, false)
	before, held := w.states[0].HeldFence(w.now)
	require.True(t, held)
	w.restore(leaseContent{})
	w.now += storeLeaseConfig.RenewInterval
	w.renew(0, 0, 0, false)
	after, held := w.states[0].HeldFence(w.now)
	require.True(t, held)
	require.Greater(t, after, before)
}

// Guards against two holders after a restore: the previous holder has requested the row
// before it had to stop, and the response, which is late, has the row of the next holder.
func TestHolderOfLostLeaseDoesNotReplaceNewHolder(t *testing.T) {
	w := newLeaseWorld()
	w.now += time.Minute
	w.renew(0, 0, 0, false)
	w.restore(leaseContent{})
	w.renew(1, 0, 0, false)
	requestedAt := w.now
	w.now += storeLeaseConfig.Duration + storeLeaseConfig.Gap
	w.renew(1, 0, 0, false)
	_, held := w.states[1].HeldFence(w.now + w.origins[1])
	require.True(t, held)

	w.states[0].ObserveGeneration(w.now, w.generation)
	row := w.content.rows[lease.StoreLeaseKey("weights", w.generation)]
	w.states[0].RecordRead(requestedAt, row.StoreLeaseRow, row.version, w.now)
	_, _, mayWrite := w.states[0].Proposal()
	require.False(t, mayWrite)
}

// Guards against a lease that no process acquires after its holder ended in a restore.
func TestLostLeaseIsAcquiredAfterGap(t *testing.T) {
	w := newLeaseWorld()
	w.now += time.Minute
	w.renew(0, 0, 0, false)
	w.restore(leaseContent{})
	w.renew(1, 0, 0, false)
	_, held := w.states[1].HeldFence(w.now + w.origins[1])
	require.False(t, held, "a lease of the lost content may still be held")
	w.now += storeLeaseConfig.Duration + storeLeaseConfig.Gap
	w.renew(1, 0, 0, false)
	_, held = w.states[1].HeldFence(w.now + w.origins[1])
	require.True(t, held)
}

// Guards against two holders of a lease with the same fence after a write that got no
// response takes effect late: the store was restored, and the version that the write
// replaces was assigned again.
func TestLateWriteOfLostGenerationKeepsHoldersApart(t *testing.T) {
	cfg := lease.StoreLeaseConfig{Duration: 1500 * time.Millisecond, Margin: 500 * time.Millisecond, Gap: 3 * time.Second, RenewInterval: 500 * time.Millisecond}
	holder, contender := lease.NewStoreLease(cfg, "b", 1), lease.NewStoreLease(cfg, "c", 1)
	holder.ObserveGeneration(1, 2)
	contender.ObserveGeneration(1, 2)
	now := 10 * time.Second
	holder.RecordRead(now, lease.StoreLeaseRow{}, 0, now)
	row, _, ok := holder.Proposal()
	require.True(t, ok)
	holder.RecordWrite(row)
	fence, held := holder.HeldFence(now)
	require.True(t, held)

	// The row that node a wrote in generation 1 replaces that of the holder.
	late := lease.StoreLeaseRow{Holder: "a", Incarnation: 1, Fence: 1<<24 + 7, Expiry: 2 * time.Second}
	now += 100 * time.Millisecond
	contender.RecordRead(now, late, 51, now)
	if next, _, ok := contender.Proposal(); ok {
		contender.RecordWrite(next)
	}
	if other, held := contender.HeldFence(now); held {
		_, stillHeld := holder.HeldFence(now)
		require.False(t, stillHeld, "two holders")
		require.Greater(t, other, fence)
	}
}
