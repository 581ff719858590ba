package sharing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

var t0 = time.Unix(1000, 0)

func loadObservations(id core.UpstreamID, calls int, at time.Time) []Observation {
	return []Observation{{Upstream: id, Load: calls, HasLoad: true, ObservedAt: at}}
}

// Guards against a partitioned process whose reports make all others avoid healthy
// upstreams, and against older observations that replace newer ones.
func TestBoardStoresNewestLoadAndRequiresTwoReporters(t *testing.T) {
	failures := []Observation{{Upstream: "u", Unreachable: true, ObservedAt: t0}}
	b := newBoard()
	b.add("a", loadObservations("u", 5, t0))
	b.add("b", loadObservations("u", 9, t0.Add(-time.Second)))
	require.Equal(t, loadObservations("u", 5, t0), b.newObservations(t0, "c", 0, false))

	b.add("a", failures)
	b.add("a", failures)
	require.Equal(t, loadObservations("u", 5, t0), b.newObservations(t0, "c", 0, false), "one reporter is not sufficient")
	b.add("b", failures)
	require.Len(t, b.newObservations(t0, "c", 0, false), 2)
	require.Empty(t, b.newObservations(t0.Add(3*time.Second), "c", 0, false))
	require.Empty(t, b.loads)
	require.Empty(t, b.failures)
}

// Guards against observations that are sent repeatedly, so that the traffic grows
// with the number of upstreams times the number of processes, and against a process
// that receives its own observations.
func TestBoardReturnsOnlyNewObservations(t *testing.T) {
	b := newBoard()
	b.add("a", loadObservations("u", 5, t0))
	b.add("b", loadObservations("v", 6, t0))
	require.Equal(t, loadObservations("v", 6, t0), b.newObservations(t0, "a", 0, false))
	lastNumber := b.newestNumber
	require.Empty(t, b.newObservations(t0, "c", lastNumber, false))
	b.add("b", loadObservations("u", 7, t0.Add(time.Millisecond)))
	require.Equal(t, loadObservations("u", 7, t0.Add(time.Millisecond)), b.newObservations(t0, "c", lastNumber, false))
}

// Guards against two reporters of one failure domain that the global collector counts
// as one because their names are not sent to it. Also guards against an upstream that
// is reported as unreachable to all processes except the last reporter.
func TestCollectorsReceiveEachReporter(t *testing.T) {
	failures := []Observation{{Upstream: "u", Unreachable: true, ObservedAt: t0}}
	domainBoard, globalBoard := newBoard(), newBoard()
	domainBoard.add("a", failures)
	globalBoard.add("domain", domainBoard.newObservations(t0, globalCollectorAlias, 0, true))
	require.Empty(t, globalBoard.newObservations(t0, "x", 0, false), "one reporter is not sufficient")
	lastNumber := domainBoard.newestNumber
	domainBoard.add("b", failures)
	require.Len(t, domainBoard.newObservations(t0, "b", lastNumber, false), 1)
	globalBoard.add("domain", domainBoard.newObservations(t0, globalCollectorAlias, lastNumber, true))
	require.Equal(t, failures, globalBoard.newObservations(t0, "x", 0, false))
	require.Empty(t, globalBoard.newObservations(t0, "domain", 0, true), "a collector must not receive its own reports")
	globalBoard.add("x", failures)
	require.Equal(t, core.NodeID("x"), globalBoard.newObservations(t0, "domain", 0, true)[0].Reporter)
}

// Guards against announced rates that are lost before other processes receive them, or
// that are sent again with each response of the upstream.
func TestBoardForwardsChangedRates(t *testing.T) {
	rate := func(perSecond float64, at time.Time) []Observation {
		return []Observation{{Upstream: "u", HasRateLimit: true, RateLimit: core.RateLimit{Limited: perSecond > 0, PerSecond: perSecond}, ObservedAt: at}}
	}
	b := newBoard()
	b.add("a", rate(3, t0))
	require.Equal(t, rate(3, t0), b.newObservations(t0, "b", 0, false))
	known := b.newestNumber
	b.add("a", rate(3, t0.Add(100*time.Millisecond)))
	require.Empty(t, b.newObservations(t0, "b", known, false))
	b.add("c", rate(0, t0.Add(-time.Second)))
	require.Empty(t, b.newObservations(t0, "b", known, false), "an older response replaces a newer one")
	b.add("c", rate(0, t0.Add(time.Second)))
	require.Equal(t, rate(0, t0.Add(time.Second)), b.newObservations(t0.Add(time.Second), "b", known, false))
	require.Empty(t, b.newObservations(t0.Add(time.Minute), "b", 0, false))
}

// Guards against departures that other processes do not receive, that are sent again
// with each response of the upstream, or that are applied to another incarnation.
func TestBoardForwardsDepartures(t *testing.T) {
	departure := []Observation{{Upstream: "u", Leaving: true, StartedAtMs: 7, ObservedAt: t0}}
	want := []Observation{{Upstream: "u", Leaving: true, StartedAtMs: 7, Reporter: "a", ObservedAt: t0}}
	b := newBoard()
	add := func(sender core.NodeID, observations []Observation) {
		now := t0.Add(time.Second)
		received := decodeObservations(now, encodeObservations(now, observations))
		b.add(sender, received)
		b.addDepartures(now, sender, received)
	}
	add("a", departure)
	require.Equal(t, want, b.newObservations(t0, "b", 0, false))
	require.Equal(t, want, b.newObservations(t0, "domain", 0, true))
	require.Equal(t, want, b.newObservations(t0, "a", 0, false), "a process that has restarted")
	known := b.newestNumber
	require.Empty(t, b.newObservations(t0, "a", 1, false))
	add("a", departure)
	add("b", departure)
	require.Empty(t, b.newObservations(t0, "c", known, false))
	add("b", []Observation{{Upstream: "u", Leaving: true, StartedAtMs: 8, ObservedAt: t0}})
	require.Len(t, b.newObservations(t0, "c", known, false), 1)
	require.Empty(t, b.newObservations(t0.Add(time.Hour), "c", 0, false))
}
