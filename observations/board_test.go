package observations

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

var t0 = time.Unix(1000, 0)

func load(id core.UpstreamID, n int, at time.Time) []Observation {
	return []Observation{{Upstream: id, Load: n, HasLoad: true, ObservedAt: at}}
}

// Guards against a process that is cut off itself and makes all others avoid
// good upstreams, and against old observations that hide newer ones.
func TestBoardKeepsTheNewestAndNeedsTwoReporters(t *testing.T) {
	failure := []Observation{{Upstream: "u", Unreachable: true, ObservedAt: t0}}
	b := newBoard()
	b.take("a", load("u", 5, t0))
	b.take("b", load("u", 9, t0.Add(-time.Second)))
	require.Equal(t, load("u", 5, t0), b.since(t0, "c", 0, false))

	b.take("a", failure)
	b.take("a", failure)
	require.Equal(t, load("u", 5, t0), b.since(t0, "c", 0, false), "one process alone")
	b.take("b", failure)
	require.Len(t, b.since(t0, "c", 0, false), 2)
	require.Empty(t, b.since(t0.Add(3*time.Second), "c", 0, false))
	require.Empty(t, b.loads)
	require.Empty(t, b.failures)
}

// Guards against observations that are sent again and again, whose bytes grow
// with the number of upstreams times that of processes, and against a process
// that gets its own back.
func TestBoardTellsOnlyWhatIsNew(t *testing.T) {
	b := newBoard()
	b.take("a", load("u", 5, t0))
	b.take("b", load("v", 6, t0))
	require.Equal(t, load("v", 6, t0), b.since(t0, "a", 0, false))
	had := b.number
	require.Empty(t, b.since(t0, "c", had, false))
	b.take("b", load("u", 7, t0.Add(time.Millisecond)))
	require.Equal(t, load("u", 7, t0.Add(time.Millisecond)), b.since(t0, "c", had, false))
}

// Guards against two reporters of one failure domain that count as one for
// others, against reporters that are lost on the way between domains, and
// against a decision that the process whose report made it does not hear of.
func TestCollectorsGetEachReporter(t *testing.T) {
	failure := []Observation{{Upstream: "u", Unreachable: true, ObservedAt: t0}}
	b, far := newBoard(), newBoard()
	b.take("a", failure)
	far.take("domain", b.since(t0, above, 0, true))
	require.Empty(t, far.since(t0, "x", 0, false), "one process alone")
	had := b.number
	b.take("b", failure)
	require.Len(t, b.since(t0, "b", had, false), 1)
	far.take("domain", b.since(t0, above, had, true))
	require.Equal(t, failure, far.since(t0, "x", 0, false))
	require.Empty(t, far.since(t0, "domain", 0, true), "a collector gets its own reports back")
	far.take("x", failure)
	require.Equal(t, core.NodeID("x"), far.since(t0, "domain", 0, true)[0].Reporter)
}
