package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a soak that takes two holders, an older fence or a second report with other
// counts for kept promises, and against one that blames calls sent before a freeze.
func TestDutyBreaksAreSeen(t *testing.T) {
	t0 := time.Unix(1000, 0)
	call := func(machine string, fence uint64, after time.Duration, counts string) standin.DutyCall {
		return standin.DutyCall{Machine: machine, Fence: fence, Subject: "usage", Window: 7, Counts: counts, At: t0.Add(after)}
	}
	frozen := newTimeline()
	begin(frozen.disrupted, "a", t0.Add(time.Second))
	end(frozen.disrupted, "a", t0.Add(5*time.Second))
	for name, c := range map[string]struct {
		calls  []standin.DutyCall
		times  *timeline
		broken int
	}{
		"takeover":          {[]standin.DutyCall{call("a", 1, 0, "x"), call("b", 2, 7*time.Second, "x")}, newTimeline(), 0},
		"two holders":       {[]standin.DutyCall{call("a", 1, 0, "x"), call("b", 1, 7*time.Second, "x")}, newTimeline(), 1},
		"older fence":       {[]standin.DutyCall{call("a", 2, 0, "x"), call("b", 1, 7*time.Second, "x")}, newTimeline(), 1},
		"other counts":      {[]standin.DutyCall{call("a", 1, 0, "x"), call("a", 1, time.Second, "y")}, newTimeline(), 1},
		"turns":             {[]standin.DutyCall{call("a", 1, 0, "x"), call("b", 2, time.Second, "x"), call("a", 3, 2*time.Second, "x")}, newTimeline(), 1},
		"late after freeze": {[]standin.DutyCall{call("a", 1, 0, "x"), call("b", 2, 4*time.Second, "x"), call("a", 1, 5100*time.Millisecond, "x")}, frozen, 0},
		"after freeze":      {[]standin.DutyCall{call("a", 1, 0, "x"), call("b", 2, 4*time.Second, "x"), call("a", 1, 5400*time.Millisecond, "x")}, frozen, 1},
	} {
		t.Run(name, func(t *testing.T) { require.Len(t, dutyBreaks(c.calls, c.times), c.broken) })
	}
}

// Guards against a soak that does not see that reports have ended, or that counts are off.
func TestUsageBreaksAreSeen(t *testing.T) {
	calm := time.Unix(1000, 0)
	ended := calm.Add(3 * time.Second)
	started := make([]time.Time, 100)
	for i := range started {
		started[i] = calm.Add(500 * time.Millisecond)
	}
	report := func(after time.Duration, counts string) []standin.DutyCall {
		return []standin.DutyCall{{Machine: "a", Window: 1000, Counts: counts, At: calm.Add(after)}}
	}
	require.Empty(t, usageBreaks(report(2*time.Second, `{"crew":95}`), started, calm, ended))
	require.Len(t, usageBreaks(report(2*time.Second, `{"crew":75}`), started, calm, ended), 1, "calls are missing")
	require.Len(t, usageBreaks(report(500*time.Millisecond, `{"crew":100}`), started, calm, ended), 1, "reports have ended")
}

// Guards against a soak that takes a call after an evacuation for a kept promise.
func TestMissedEvacuationIsSeen(t *testing.T) {
	t0 := time.Unix(1000, 0)
	l := newTimeline()
	begin(l.touched, evacuationOf("z1"), t0)
	require.Empty(t, l.evacuationMissed("f", "i", "z1", t0.Add(evacuationBound-time.Millisecond)))
	require.NotEmpty(t, l.evacuationMissed("f", "i", "z1", t0.Add(evacuationBound+time.Millisecond)))
	require.Empty(t, l.evacuationMissed("f", "i", "z2", t0.Add(evacuationBound+time.Millisecond)))
	end(l.touched, evacuationOf("z1"), t0.Add(4*time.Second))
	require.Empty(t, l.evacuationMissed("f", "i", "z1", t0.Add(5*time.Second)))
}

// Guards against a soak that does not see a part which crashes servers for longer than it
// may, and against one that blames a front which has just started.
func TestMissedQuarantineIsSeen(t *testing.T) {
	t0 := time.Unix(1000, 0)
	times := newTimeline()
	begin(times.disrupted, "started", t0)
	end(times.disrupted, "started", t0.Add(partBound+time.Second))
	part := partRecord{crashes: []time.Time{t0, t0, t0, t0, t0}}
	for range maxLateArrivals {
		part.arrivals = append(part.arrivals,
			arrival{"f", t0.Add(partBound - time.Second)}, arrival{"f", t0.Add(partBound + time.Second)}, arrival{"started", t0.Add(partBound + time.Second)})
	}
	require.Empty(t, part.missedQuarantine("bad", times))
	part.arrivals = append(part.arrivals, arrival{"f", t0.Add(partBound + time.Second)})
	require.NotEmpty(t, part.missedQuarantine("bad", times))
}
