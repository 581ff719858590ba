package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/lease"
)

var storeLeaseConfig = lease.StoreLeaseConfig{
	Duration: 1500 * time.Millisecond, Margin: 500 * time.Millisecond, Gap: 3 * time.Second, RenewInterval: 500 * time.Millisecond,
}

// Guards against orders of two holders that are less than the gap apart, also after one
// has released the lease. Reads and writes are delayed, processes pause and responses are lost. The clocks of the
// store and of the processes run at the same rate from different origins.
func TestStoreLeaseKeepsHoldersApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		now := time.Duration(0)
		var row lease.StoreLeaseRow
		version := uint64(0)
		states := make([]*lease.StoreLease, processes)
		origins := []time.Duration{0, time.Hour, 5 * time.Second}
		nodes := []core.NodeID{"a", "b", "c"}
		for i := range states {
			states[i] = lease.NewStoreLease(storeLeaseConfig, nodes[i], 1)
		}
		lastHolder, lastOrderAt := -1, time.Duration(0)
		fences := map[core.Fence]core.NodeID{}
		delay := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
		})
		for range 60 {
			i := rapid.IntRange(0, processes-1).Draw(t, "process")
			s := states[i]
			now += delay.Draw(t, "pause")
			if s.ReadDue(now + origins[i]) {
				requestedAt := now + origins[i]
				now += delay.Draw(t, "reading")
				s.RecordRead(requestedAt, row, version, now)
				next, expectedVersion, mayWrite := s.Proposal()
				now += delay.Draw(t, "writing")
				if mayWrite && expectedVersion == version {
					row, version = next, version+1
					if !rapid.Bool().Draw(t, "response lost") {
						s.RecordWrite(next)
					}
				}
			}
			now += delay.Draw(t, "before the order")
			fence, held := s.HeldFence(now + origins[i])
			if !held {
				continue
			}
			if lastHolder >= 0 && lastHolder != i && now-lastOrderAt < storeLeaseConfig.Gap {
				t.Fatalf("%s sends an order %s after %s", nodes[i], now-lastOrderAt, nodes[lastHolder])
			}
			if holder, ok := fences[fence]; ok && holder != nodes[i] {
				t.Fatalf("fence %d has two holders", fence)
			}
			fences[fence] = nodes[i]
			lastHolder, lastOrderAt = i, now
			if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
				s.Release()
				_, held := s.HeldFence(now + origins[i])
				require.False(t, held)
				s.RecordRead(now+origins[i], row, version, now)
				now += delay.Draw(t, "releasing")
				if released, expectedVersion, ok := s.ReleaseProposal(); ok && expectedVersion == version {
					row, version = released, version+1
				}
			}
		}
	})
}

// Guards against an expired lease that no process may acquire, and against a delayed
// takeover of a lease whose gap has elapsed.
func TestStoreLeaseIsAcquiredImmediatelyAfterGap(t *testing.T) {
	s := lease.NewStoreLease(storeLeaseConfig, "b", 1)
	old := lease.StoreLeaseRow{Holder: "a", Incarnation: 1, Fence: 4, Expiry: 10 * time.Second}
	s.RecordRead(0, old, 7, 12*time.Second)
	_, _, mayWrite := s.Proposal()
	require.False(t, mayWrite, "the gap has not elapsed")
	s.RecordRead(0, old, 7, 13*time.Second)
	next, version, mayWrite := s.Proposal()
	require.True(t, mayWrite)
	require.Equal(t, uint64(7), version)
	require.Equal(t, core.Fence(5), next.Fence)
}
