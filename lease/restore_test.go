package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/lease"
)

// leaseWorld simulates the row of a lease in a store that is restored from copies, and
// the processes that contend for it. The clocks of the processes have different origins.
type leaseWorld struct {
	now        time.Duration
	row        lease.StoreLeaseRow
	version    uint64
	generation core.Generation
	copies     []leaseCopy
	nodes      []core.NodeID
	origins    []time.Duration
	states     []*lease.StoreLease
}

type leaseCopy struct {
	row     lease.StoreLeaseRow
	version uint64
}

func newLeaseWorld() *leaseWorld {
	w := &leaseWorld{
		now: time.Minute, copies: []leaseCopy{{}},
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

func (w *leaseWorld) restore(from leaseCopy) {
	w.row, w.version = from.row, from.version
	w.generation++
}

// renew reads the row and writes it, with the given delays.
func (w *leaseWorld) renew(i int, reading, writing time.Duration, responseLost bool) {
	s := w.states[i]
	requestedAt := w.now + w.origins[i]
	w.now += reading
	s.ObserveGeneration(w.now+w.origins[i], w.generation)
	readIn := w.generation
	s.RecordRead(requestedAt, w.row, w.version, w.now)
	next, expectedVersion, mayWrite := s.Proposal()
	w.now += writing
	if !mayWrite || expectedVersion != w.version {
		return
	}
	w.row, w.version = next, w.version+1
	w.copies = append(w.copies, leaseCopy{w.row, w.version})
	if !responseLost && readIn == w.generation {
		s.RecordWrite(next)
	}
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
		lastHolder, lastOrderAt := -1, time.Duration(0)
		lastFence := core.Fence(0)
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
			fence, held := w.states[i].HeldFence(w.now + w.origins[i])
			if !held {
				continue
			}
			if lastHolder != i {
				require.False(t, lastHolder >= 0 && w.now-lastOrderAt < storeLeaseConfig.Gap, "two holders")
				require.Greater(t, fence, lastFence, "fence of an older lease")
			}
			require.GreaterOrEqual(t, fence, lastFence, "fence has decreased")
			lastHolder, lastOrderAt, lastFence = i, w.now, fence
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
	w.restore(leaseCopy{})
	w.now += storeLeaseConfig.RenewInterval
	w.renew(0, 0, 0, false)
	after, held := w.states[0].HeldFence(w.now)
	require.True(t, held)
	require.Greater(t, after, before)
}

// Guards against a lease that no process acquires after its holder ended in a restore.
func TestLostLeaseIsAcquiredAfterGap(t *testing.T) {
	w := newLeaseWorld()
	w.now += time.Minute
	w.renew(0, 0, 0, false)
	w.restore(leaseCopy{})
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
