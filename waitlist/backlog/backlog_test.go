package backlog_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
)

const service core.ServiceID = "model"

var t0 = time.Unix(1000, 0)

// front returns the summary of a front with waiting calls of one priority.
func front(priority int, works ...backlog.Work) backlog.Summary {
	return backlog.Summary{Fronts: 1, Classes: []backlog.Class{{Service: service, Priority: priority, Workspaces: works}}}.Bounded()
}

func work(workspace string, waiting, running int) backlog.Work {
	return backlog.Work{Workspace: core.WorkspaceID(workspace), Weight: 1, Waiting: waiting, Running: running}
}

// limits returns the limits of the fronts for a priority.
func limits(priority int, memory float64, fronts ...backlog.Summary) []float64 {
	out := make([]float64, len(fronts))
	for i := range fronts {
		var others backlog.Summary
		for j := range fronts {
			if j != i {
				others = backlog.Add(others, fronts[j])
			}
		}
		out[i] = backlog.NewDemand(service, others, fronts[i]).OwnLimit(priority, memory, 0)
	}
	return out
}

// Guards against fronts that together use more memory than there is, or leave some unused, and
// against a workspace that gets more since it has more calls or more fronts.
func TestLimitsDivideTheMemory(t *testing.T) {
	flood, spread := front(0, work("flood", 9000, 1000)), front(0, work("spread", 1000, 0), work("small", 100, 0))
	got := limits(0, 2000, flood, spread, spread)
	require.InDeltaSlice(t, []float64{900, 550, 550}, got, 1, "small work is served, the others have equal shares")
	require.True(t, math.IsInf(limits(0, 20_000, flood, spread)[0], 1), "there is memory for all")
	require.InDeltaSlice(t, []float64{1900, 100}, limits(0, 2000, flood, front(0, work("small", 100, 0))), 1)
}

// Guards against less urgent calls at one front that take the memory that urgent calls at
// another need, against those that starve, and against memory that idles.
func TestUrgentWorkOfOtherFrontsComesFirst(t *testing.T) {
	patient := front(2, work("a", 5000, 0))
	require.InDelta(t, 200, limits(2, 2000, patient, front(0, work("b", 5000, 0)))[0], 1, "the minimum share")
	require.InDelta(t, 1500, limits(2, 2000, patient, front(0, work("b", 500, 0)))[0], 1)
	require.InDelta(t, 1800, limits(0, 2000, front(0, work("b", 5000, 0)), patient)[0], 1)
	require.InDelta(t, 1000, backlog.NewDemand(service, backlog.Summary{}, patient).OwnLimit(2, 2000, 1000), 1, "headroom is left")
}

// Guards against summaries that grow with the number of fronts, services or workspaces, and
// against work that is lost by the bounds.
func TestSummariesAreBounded(t *testing.T) {
	var sum backlog.Summary
	for i := range 100 {
		s := backlog.Summary{Fronts: 1}
		for j := range 100 {
			s.AddClass(backlog.Class{Service: service, Priority: j % 3, Workspaces: []backlog.Work{work(fmt.Sprint(i, j), 10, 5)}})
		}
		s.AddClass(backlog.Class{Service: core.ServiceID(fmt.Sprint("other", i)), Priority: 0})
		sum = backlog.Add(sum, s.Bounded())
	}
	require.Equal(t, 100, sum.Fronts)
	require.LessOrEqual(t, len(sum.Classes), backlog.MaxClasses)
	require.Equal(t, 100*100*5, sum.Running(service))
	for _, c := range sum.Classes {
		require.LessOrEqual(t, len(c.Workspaces), backlog.MaxWorkspaces)
	}
}

// Guards against the calls of a lost front that are counted for longer than a second, against
// a front that counts its own, and against memory that is kept for each sender.
func TestBoardForgetsLostSenders(t *testing.T) {
	b := backlog.NewBoard()
	b.Put(t0, "a", front(0, work("w", 100, 0)))
	b.Put(t0.Add(backlog.TTL), "b", front(0, work("w", 0, 7)))
	require.Equal(t, 7, b.Others(t0.Add(backlog.TTL), "a").Running(service))
	require.Equal(t, 1, b.Others(t0.Add(backlog.TTL), "b").Fronts)
	require.Zero(t, b.Others(t0.Add(backlog.TTL+time.Millisecond), "b").Fronts)
}

// Guards against headroom that is missing before a burst like those before it, and against
// memory that stays reserved when no urgent work comes.
func TestHeadroomFollowsUrgentDemand(t *testing.T) {
	var h backlog.Headroom
	now := t0
	observe := func(d time.Duration, perSecond float64) {
		for end := now.Add(d); now.Before(end); now = now.Add(150 * time.Millisecond) {
			h.Observe(now, perSecond)
		}
	}
	for range 3 {
		observe(3*time.Second, 100_000)
		observe(3*time.Second, 0)
	}
	require.InDelta(t, 40_000, h.Tokens(500*time.Millisecond, 1e6), 15_000, "the next burst needs 50,000 tokens")
	require.LessOrEqual(t, h.Tokens(500*time.Millisecond, 5e4), 25_000.0)
	observe(time.Second, 100_000)
	require.Less(t, h.Tokens(500*time.Millisecond, 1e6), 10_000.0, "the burst is there")
	observe(time.Minute, 0)
	require.Less(t, h.Tokens(500*time.Millisecond, 1e6), 3000.0)
}
