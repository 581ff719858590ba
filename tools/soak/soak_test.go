package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seeds are the runs of CI: one that draws many kinds of fault, and each that has
// ever failed, with its cause.
var seeds = []uint64{1}

// Guards against promises that hold in one process with stand-ins only: calls
// that run twice or after a refusal, crossed and cut answers, streams with gaps,
// and fronts that do not recover.
func TestFrontsKeepTheirPromisesUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "waxwing-front")
	out, err := exec.Command("go", "build", "-o", program, "waxwingtide.example/waxwingtide/cmd/waxwing-front").CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range seeds {
		result, err := run(t.Context(), options{
			Front: program, Seed: seed, For: 8 * time.Second, Fronts: 3, Servers: 4, Callers: 8, Logs: t.TempDir(),
		})
		require.NoError(t, err)
		require.Empty(t, result.Broken, result.String())
		require.NotEmpty(t, result.Faults)
		require.Positive(t, result.Served)
	}
}

// Guards against a soak that finds nothing because its checks see nothing.
func TestLedgerSeesBrokenPromises(t *testing.T) {
	l := newLedger()
	l.calm = time.Now().Add(-time.Second)
	for _, e := range []entry{
		{id: "twice", once: true, tried: true}, {id: "twice", ran: "i-1"}, {id: "twice", ran: "i-2"},
		{id: "refused", promised: true}, {id: "refused", ran: "i-1"},
		{id: "crossed", broken: "got the answer of other"},
		{id: "fine", once: true, tried: true}, {id: "fine", ran: "i-1"},
	} {
		e.at = time.Now()
		l.take(e)
	}
	require.Len(t, l.verdict(), 4, "the calls after the faults were not served, too")
}

// Guards against a soak that takes a late drain or a late change of keys for a
// kept promise, and against one that blames fronts which a fault has touched.
func TestTimelineSeesLateChanges(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }
	l := newTimeline()
	begin(l.drained, "i-1", at(10))
	end(l.drained, "i-1", at(20))
	require.Empty(t, l.drainMissed("f", "i-1", at(11.9)))
	require.NotEmpty(t, l.drainMissed("f", "i-1", at(12.1)))
	require.Empty(t, l.drainMissed("f", "i-2", at(12.1)))
	require.Empty(t, l.drainMissed("f", "i-1", at(20.1)), "the server takes calls again")

	l.configured(1, at(0))
	l.configured(2, at(10))
	const taken, refused = true, false
	require.NotEmpty(t, l.keyMissed("f", 1, taken, at(15.1), at(15.2)))
	require.Empty(t, l.keyMissed("f", 1, taken, at(14.9), at(15.2)))
	require.Empty(t, l.keyMissed("f", 1, refused, at(10.1), at(10.2)))
	require.NotEmpty(t, l.keyMissed("f", 1, refused, at(9), at(9.1)))
	require.Empty(t, l.keyMissed("f", 1, refused, at(9.9), at(10.1)), "the key was removed meanwhile")
	require.Empty(t, l.keyMissed("f", 2, refused, at(11.9), at(12)))
	require.NotEmpty(t, l.keyMissed("f", 2, refused, at(12.1), at(12.2)))

	begin(l.touched, "f", at(11))
	require.Empty(t, l.drainMissed("f", "i-1", at(12.1)))
	require.NotEmpty(t, l.drainMissed("g", "i-1", at(12.1)))
	end(l.touched, "f", at(12))
	require.Empty(t, l.keyMissed("f", 2, refused, at(14.9), at(15)))
	require.NotEmpty(t, l.keyMissed("f", 2, refused, at(15.1), at(15.2)))
}

// Guards against a soak that takes a lost call for one that crossed the close of its
// connection, or blames a front that was killed.
func TestLedgerSeesLostCalls(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }
	l := newLedger()
	l.calm = at(1000)
	begin(l.times.touched, "f", at(9)) // a planned stop excuses nothing
	begin(l.times.disrupted, "g", at(10))
	end(l.times.disrupted, "g", at(11))
	for _, e := range []entry{
		{id: "stop", front: "f", lost: true, sent: at(10), at: at(10.3)},
		{id: "killed", front: "g", lost: true, sent: at(9), at: at(10.1)},
		{id: "restarted", front: "g", lost: true, sent: at(13.9), at: at(14.2)},
		{id: "later", front: "g", lost: true, sent: at(14.1), at: at(14.4)},
	} {
		l.take(e)
	}
	require.Equal(t, []string{
		"later: g closed the connection without an answer 300ms after the first byte",
		"stop: f closed the connection without an answer 300ms after the first byte",
	}, l.verdict())
}
