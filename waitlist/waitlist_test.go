package waitlist_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/waitlist"
	"waxwingtide.example/waxwingtide/waitlist/backlog"
)

var t0 = time.Unix(1000, 0)

const testService core.ServiceID = "model"

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func call(name string, priority, untilMs int) waitlist.Call[string] {
	return waitlist.Call[string]{
		Value: name, Service: testService, Priority: priority, Tokens: 1, Since: t0, Until: t0.Add(ms(untilMs)), Deadline: t0.Add(ms(untilMs)),
	}
}

func order(l *waitlist.List[string]) []string {
	var names []string
	l.Try(t0, l.Len(), func(c waitlist.Call[string]) bool {
		names = append(names, c.Value)
		return false
	})
	return names
}

// Guards against deferrable calls that are placed before urgent ones, and against later
// calls that are placed before earlier ones of the same urgency.
func TestUrgentCallsComeFirst(t *testing.T) {
	l := waitlist.New[string](8)
	for _, c := range []waitlist.Call[string]{
		call("deferrable", 2, 100), call("urgent late", 0, 300), call("urgent", 0, 200), call("urgent later", 0, 300),
	} {
		require.True(t, l.Add(t0, c))
	}
	want := []string{"urgent", "urgent late", "urgent later", "deferrable"}
	require.Equal(t, want, order(l))
	require.Equal(t, want, order(l), "a turn that places nothing changes the order")
}

// Guards against a list that grows without a bound, and against calls that wait although
// their time has passed.
func TestListIsBounded(t *testing.T) {
	l := waitlist.New[string](2)
	require.False(t, l.Add(t0, call("no time", 0, 0)))
	require.True(t, l.Add(t0, call("a", 0, 100)))
	require.True(t, l.Add(t0, call("b", 0, 200)))
	require.False(t, l.Add(t0, call("c", 0, 300)))
	expired := l.TakeExpired(t0.Add(150 * time.Millisecond))
	require.Len(t, expired, 1)
	require.Equal(t, "a", expired[0].Value)
	require.Equal(t, []string{"b"}, order(l))
}

// Guards against a turn that tries all waiting calls, and against placed calls that stay.
func TestTryIsBoundedAndRemovesPlacedCalls(t *testing.T) {
	l := waitlist.New[string](8)
	for i, name := range []string{"a", "b", "c"} {
		require.True(t, l.Add(t0, call(name, i, 100)))
	}
	tried := 0
	l.Try(t0, 2, func(c waitlist.Call[string]) bool {
		tried++
		return c.Value == "b"
	})
	require.Equal(t, 2, tried)
	require.Equal(t, []string{"a", "c"}, order(l))
}

// Guards against less urgent calls that are never tried while many urgent ones wait that find
// no memory.
func TestEachClassIsTried(t *testing.T) {
	l := waitlist.New[string](16)
	for range 10 {
		require.True(t, l.Add(t0, call("urgent", 0, 100)))
	}
	require.True(t, l.Add(t0, call("deferrable", 2, 100)))
	l.SetOthers(t0, backlog.Summary{Fronts: 1})
	var tried []string
	l.Try(t0, 8, func(c waitlist.Call[string]) bool {
		tried = append(tried, c.Value)
		return false
	})
	require.Len(t, tried, 8)
	require.Equal(t, "deferrable", tried[7])
}

// Guards against an expected wait that ignores the calls of other fronts, or counts on them
// after they are no longer known.
func TestExpectedWaitCountsOtherFronts(t *testing.T) {
	l := waitlist.New[string](16)
	others := backlog.Summary{Fronts: 3, Classes: []backlog.Class{{Service: testService, Workspaces: []backlog.Work{{Workspace: "w", Waiting: 5000}}}}, Rates: []backlog.Rate{{Service: testService, PerSecond: 1000, Tokens: 2500}}}
	l.SetOthers(t0, others)
	wait, known := l.ExpectedWait(t0, call("new", 1, 100))
	require.True(t, known)
	require.InDelta(t, 2.5, wait.Seconds(), 0.01, "fronts with half of the work place 1,000 tokens a second")
	wait, known = l.ExpectedWait(t0.Add(time.Second), call("new", 1, 100))
	require.True(t, known)
	require.Zero(t, wait)
}

// Guards against shares outside the range from 0 to 1.
func TestWaitedShare(t *testing.T) {
	c := call("a", 0, 100)
	require.Zero(t, c.WaitedShare(t0.Add(-time.Second)))
	require.InDelta(t, 0.5, c.WaitedShare(t0.Add(ms(50))), 1e-9)
	require.Equal(t, 1.0, c.WaitedShare(t0.Add(time.Second)))
	require.Equal(t, 1.0, call("no time", 0, 0).WaitedShare(t0))
}

// Guards against callers that return after a refusal and wait behind new ones.
func TestReturningCallersComeFirst(t *testing.T) {
	l := waitlist.New[string](8)
	fresh, returning := call("new", 0, 100), call("returning", 0, 100)
	fresh.Deadline, returning.Deadline = t0.Add(4*time.Second), t0.Add(3*time.Second)
	require.True(t, l.Add(t0, fresh))
	require.True(t, l.Add(t0, returning))
	require.Equal(t, []string{"returning", "new"}, order(l))
}

// Guards against a workspace that floods the list and delays the calls of a small one, and
// against workspaces with large calls that get more work than those with small ones.
func TestFloodingWorkspaceGetsItsShareOnly(t *testing.T) {
	l := waitlist.New[string](512)
	add := func(workspace string, tokens int) {
		c := call(workspace, 0, 100)
		c.Workspace, c.Tokens = core.WorkspaceID(workspace), tokens
		require.True(t, l.Add(t0, c))
	}
	for range 100 {
		add("flooding", 1000)
	}
	for range 10 {
		add("small", 1000)
	}
	for range 50 {
		add("small calls", 100)
	}
	work := make(map[string]int)
	for range 20 {
		l.Try(t0, 1, func(c waitlist.Call[string]) bool {
			work[c.Value] += c.Tokens
			return true
		})
	}
	require.InDelta(t, work["flooding"], work["small"], 1000)
	require.InDelta(t, work["small"], work["small calls"], 1000)
}

// Guards against calls that wait although the work before them cannot be placed in time, and
// against calls that are refused although it can be: the small workspace is served before
// most calls of the flooding one.
func TestExpectedWaitFollowsTheBacklog(t *testing.T) {
	l := waitlist.New[string](512)
	for i := range 100 {
		c := call(strconv.Itoa(i), 0, 60_000)
		c.Workspace, c.Tokens = "flooding", 1000
		require.True(t, l.Add(t0, c))
	}
	now := t0
	_, known := l.ExpectedWait(now, call("new", 0, 100))
	require.False(t, known, "no work has been placed yet")
	for range 50 { // 10,000 tokens a second for five seconds
		now = now.Add(ms(100))
		l.Try(now, 1, func(waitlist.Call[string]) bool { return true })
	}
	flooding, small := call("new", 0, 100), call("new", 0, 100)
	flooding.Workspace, flooding.Tokens = "flooding", 1000
	small.Workspace, small.Tokens = "small", 1000
	wait, known := l.ExpectedWait(now, flooding)
	require.True(t, known)
	require.InDelta(t, 5.0, wait.Seconds(), 1.0, "50 calls of 1,000 tokens are left")
	wait, known = l.ExpectedWait(now, small)
	require.True(t, known)
	require.Less(t, wait, ms(300))
}

// Guards against deferrable calls that take the memory for which urgent ones wait.
func TestUrgentCallsPrecedeNewDeferrableOnes(t *testing.T) {
	l := waitlist.New[string](8)
	require.False(t, l.Precedes(testService, 2))
	require.True(t, l.Add(t0, call("urgent", 0, 100)))
	require.True(t, l.Precedes(testService, 2))
	require.False(t, l.Precedes(testService, 0), "calls of the same urgency are tried at once")
	require.False(t, l.Precedes("other", 2))
	l.TakeExpired(t0.Add(ms(100)))
	require.False(t, l.Precedes(testService, 2), "calls that have stopped waiting hold nothing back")
}
