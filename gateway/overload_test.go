package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func run(t *testing.T, f func(m *overloadModel)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		m := newOverloadModel()
		f(m)
	})
}

// Guards against a workspace that floods one front and takes the memory for which the calls of
// others wait at the other fronts.
func TestFloodThroughOneFront(t *testing.T) {
	run(t, func(m *overloadModel) {
		flood := &load{workspace: "flood", tokens: 1000, fronts: []int{0}, share: 3, to: time.Minute}
		small := &load{workspace: "small", tokens: 1000, fronts: []int{1, 2}, share: 0.3, from: 3 * time.Second, to: time.Minute}
		other := &load{workspace: "other", tokens: 1000, fronts: []int{2, 3, 4}, share: 0.3, from: 6 * time.Second, to: time.Minute}
		m.play(10*time.Second, flood, small, other)
		require.GreaterOrEqual(t, m.counts[small].share(), 0.9)
		require.GreaterOrEqual(t, m.counts[other].share(), 0.9)
	})
}

// Guards against patient calls that take the last memory before a burst of urgent ones.
func TestPatientBurstThenUrgentBurst(t *testing.T) {
	run(t, func(m *overloadModel) {
		usual := &load{workspace: "a", tokens: 2000, fronts: allFronts(), share: 0.5, to: 3 * time.Second}
		patient := &load{workspace: "b", priority: 2, tokens: 500, fronts: allFronts(), share: 1.6, from: 3 * time.Second, to: 12 * time.Second}
		urgent := &load{workspace: "a", tokens: 2000, fronts: allFronts(), share: 0.7, from: 7 * time.Second, to: 9 * time.Second}
		m.play(12*time.Second, usual, patient, urgent)
		require.GreaterOrEqual(t, m.counts[urgent].share(), 0.9)
	})
}

// Guards against large calls that find no memory since small ones take what becomes free.
func TestLargeCallsAmongSmallOnes(t *testing.T) {
	run(t, func(m *overloadModel) {
		large := &load{workspace: "large", tokens: 4000, fronts: []int{0, 1}, share: 0.2, to: time.Minute}
		small := &load{workspace: "small", tokens: 300, fronts: allFronts(), share: 1.5, to: time.Minute}
		m.play(10*time.Second, large, small)
		require.GreaterOrEqual(t, m.counts[large].share(), m.counts[small].share())
	})
}

// Guards against callers that are told to return before there is memory for them, so that they
// return again and again. Those that are told the right time return once.
func TestCallersReturnOnce(t *testing.T) {
	run(t, func(m *overloadModel) {
		l := &load{workspace: "a", priority: 2, tokens: 1000, fronts: allFronts(), share: 1.5, to: time.Minute, returns: true}
		m.play(10*time.Second, l)
		require.LessOrEqual(t, float64(m.counts[l].returned), 1.25*float64(m.counts[l].calls))
	})
}

// Guards against patient calls that run for long and take all memory between bursts of urgent
// ones, although these are usual. Before the first burst no headroom can be known.
func TestUrgentBurstsFindHeadroom(t *testing.T) {
	run(t, func(m *overloadModel) {
		patient := &load{workspace: "b", priority: 2, tokens: 500, fronts: allFronts(), share: 0.4, to: time.Minute, run: 800 * time.Millisecond}
		burst := func() *load {
			return &load{workspace: "a", tokens: 2000, fronts: allFronts(), share: 0.4, from: 3 * time.Second, to: 4 * time.Second}
		}
		first, later := burst(), burst()
		m.play(4*time.Second, patient, first)
		for range 4 {
			m.play(4*time.Second, patient, later)
		}
		require.Greater(t, m.counts[later].share(), 0.5, "most calls of a usual burst are in time")
		require.Greater(t, m.counts[later].share(), m.counts[first].share())
	})
}
