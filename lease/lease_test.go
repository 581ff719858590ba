package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/lease"
)

var cfg = lease.DefaultConfig()

// table contains the row, which is written only if its version matches.
type table struct {
	row     lease.Row
	version uint64
}

func (t *table) write(row lease.Row, expectedVersion uint64) bool {
	if expectedVersion != t.version {
		return false
	}
	t.row = row
	t.version++
	return true
}

// fault determines what happens to the requests of a process in one step.
type fault uint8

const (
	noFault       fault = iota
	unreachable         // no request reaches the table
	responsesLost       // requests take effect, responses are lost
	paused              // the process does not run
)

// step executes the due actions of a process.
func step(s *lease.State, t *table, now time.Time, f fault) {
	if f == paused {
		return
	}
	for range 4 {
		switch s.Step(now) {
		case lease.Wait:
			return
		case lease.ReadRow:
			if f != noFault {
				s.RecordFailure(now)
				continue
			}
			s.RecordRead(now, t.row, t.version)
			s.ScheduleNextRead(now)
		case lease.WriteRow:
			row, expectedVersion := s.Proposal()
			if f == unreachable || !t.write(row, expectedVersion) || f == responsesLost {
				s.RecordFailure(now)
				continue
			}
			s.RecordWrite(now, now, row)
		}
	}
}

// Guards against two holders at the same time, a fence that decreases, and an
// expired lease that no process acquires.
func TestAtMostOneHolder(t *testing.T) {
	const tick = 100 * time.Millisecond
	cases := map[string]struct {
		// fault is the fault of process a from 20 s to 50 s.
		fault     fault
		wantA     bool       // process a holds the lease at 50 s
		wantFence core.Fence // fence in the row at 50 s
	}{
		"no fault":                 {noFault, true, 1},
		"table unreachable from a": {unreachable, false, 2},
		"responses to a lost":      {responsesLost, false, 2},
		"a paused":                 {paused, false, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tbl := &table{}
			now := time.Unix(1_000, 0)
			a := lease.New(cfg, "a", 1, now)
			b := lease.New(cfg, "b", 1, now.Add(time.Second))
			var highest core.Fence
			for i := range 500 {
				f := noFault
				if elapsed := time.Duration(i) * tick; elapsed >= 20*time.Second && elapsed < 50*time.Second {
					f = c.fault
				}
				step(a, tbl, now, f)
				step(b, tbl, now, noFault)
				fenceA, _, holdsA := a.HeldFence(now)
				fenceB, _, holdsB := b.HeldFence(now)
				require.False(t, holdsA && holdsB, "two holders at step %d", i)
				for _, fence := range []core.Fence{fenceA, fenceB} {
					require.True(t, fence == 0 || fence >= highest, "fence decreased")
					highest = max(highest, fence)
				}
				now = now.Add(tick)
			}
			_, _, holdsA := a.HeldFence(now)
			_, _, holdsB := b.HeldFence(now)
			require.Equal(t, c.wantA, holdsA)
			require.Equal(t, !c.wantA, holdsB)
			require.Equal(t, c.wantFence, tbl.row.Fence)
		})
	}
}

// Guards against a holder that continues after a pause between the decision to
// renew and the response to the write. The pause lasts until the holder must stop
// acting as such.
func TestLeaseDurationStartsWhenWriteIsSent(t *testing.T) {
	sentAt := time.Unix(1_000, 0)
	s := lease.New(cfg, "a", 1, sentAt)
	s.RecordRead(sentAt, lease.Row{}, 0)
	require.Equal(t, lease.WriteRow, s.Step(sentAt))
	row, _ := s.Proposal()
	resumedAt := sentAt.Add(cfg.Duration - cfg.Margin)
	s.RecordWrite(sentAt, resumedAt, row)
	_, _, held := s.HeldFence(resumedAt)
	require.False(t, held)
	require.Equal(t, lease.StopHolding, s.Step(resumedAt))
	next, _ := s.Proposal()
	require.Equal(t, row.Fence+1, next.Fence, "an acquisition after a stop has a higher fence")
}

// Guards against an order of a paused holder that is executed after an order of
// the next holder.
func TestFenceChecker(t *testing.T) {
	var checker lease.FenceChecker
	for _, c := range []struct {
		fence core.Fence
		want  bool
	}{{0, false}, {3, true}, {3, true}, {2, false}, {5, true}, {4, false}} {
		require.Equal(t, c.want, checker.Accept(c.fence), "fence %d", c.fence)
	}
	require.Equal(t, core.Fence(5), checker.Highest())
}
