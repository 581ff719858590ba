package sharing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that is cut off itself and makes all others avoid
// good upstreams, and against old observations that hide newer ones.
func TestBoardKeepsTheNewestAndNeedsTwoReporters(t *testing.T) {
	t0 := time.Unix(1000, 0)
	load := func(n int, at time.Time) []Observation {
		return []Observation{{Upstream: "u", Load: n, HasLoad: true, At: at}}
	}
	failure := []Observation{{Upstream: "u", Unreachable: true, At: t0}}
	b := newBoard()
	b.take("a", load(5, t0))
	b.take("b", load(9, t0.Add(-time.Second)))
	require.Equal(t, load(5, t0), b.newest(t0))

	b.take("a", failure)
	b.take("a", failure)
	require.Equal(t, load(5, t0), b.newest(t0), "one process alone")
	b.take("b", failure)
	require.Len(t, b.newest(t0), 2)
	require.Empty(t, b.newest(t0.Add(3*time.Second)))
	require.Empty(t, b.loads)
	require.Empty(t, b.failures)
}
