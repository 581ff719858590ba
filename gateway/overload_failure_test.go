package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/placement"
)

// overloadPair returns a flooding load through front 0, and one of another workspace through
// the other fronts.
func overloadPair() (flood, small *load) {
	flood = &load{workspace: "flood", tokens: 1000, fronts: []int{0}, share: 2, to: time.Minute}
	return flood, &load{workspace: "small", tokens: 1000, fronts: []int{1, 2, 3}, share: 0.4, to: time.Minute}
}

// inTimeAfter plays a load for a time before and a time after a change, and returns the share
// of the calls in time after it.
func (m *overloadModel) inTimeAfter(change func(), l *load, loads ...*load) float64 {
	m.play(2*time.Second, append(loads, l)...)
	change()
	m.play(time.Second, append(loads, l)...)
	*m.counts[l] = overloadCount{}
	m.play(5*time.Second, append(loads, l)...)
	return m.counts[l].share()
}

// Guards against the calls of a front that has frozen, died or been cut off, which would hold
// back those of the other fronts for longer than a
// second in the model, where summaries pass no collector.
func TestCallsOfLostFrontHoldNothingBack(t *testing.T) {
	for name, lose := range map[string]func(m *overloadModel){
		"frozen or dead": func(m *overloadModel) { m.frozen[0] = true },
		"cut off":        func(m *overloadModel) { m.silent[0], m.noCalls[0] = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(m *overloadModel) {
				flood, _ := overloadPair()
				patient := &load{workspace: "patient", priority: 2, tokens: 1000, fronts: []int{1, 2, 3}, share: 0.8, to: time.Minute}
				require.GreaterOrEqual(t, m.inTimeAfter(func() { lose(m) }, patient, flood), 0.9)
			})
		})
	}
}

// Guards against a front that is cut off from the others and places no calls, or waits for
// what it cannot know. It decides alone, as all fronts did before.
func TestFrontThatIsCutOffPlacesItsCalls(t *testing.T) {
	run(t, func(m *overloadModel) {
		small := &load{workspace: "small", tokens: 1000, fronts: allFronts(), share: 0.7, to: time.Minute}
		require.GreaterOrEqual(t, m.inTimeAfter(func() { m.silent[1] = true }, small), 0.9)
	})
}

// Guards against a front that starts, or one that ran an earlier version, and gets no memory
// from those that use all of it.
func TestFrontThatStartsGetsItsShare(t *testing.T) {
	run(t, func(m *overloadModel) {
		flood, small := overloadPair()
		for i := 1; i < overloadFronts; i++ {
			m.silent[i] = true
		}
		require.GreaterOrEqual(t, m.inTimeAfter(func() { clear(m.silent) }, small, flood), 0.9)
	})
}

// Guards against engines that idle while the calls of a front that stops are no longer there.
func TestMemoryOfStoppedFrontIsUsed(t *testing.T) {
	run(t, func(m *overloadModel) {
		flood, _ := overloadPair()
		rest := &load{workspace: "rest", tokens: 1000, fronts: []int{1, 2}, share: 2, to: time.Minute}
		m.inTimeAfter(func() { m.noCalls[0] = true }, rest, flood)
		m.busy = 0
		m.play(2*time.Second, rest, flood)
		ticks := float64(2 * time.Second / overloadTick)
		require.GreaterOrEqual(t, m.busy/ticks/(overloadEngines*overloadMemory), 0.8)
	})
}

// Guards against patient calls that starve while urgent ones would use all memory.
func TestPatientCallsDoNotStarve(t *testing.T) {
	run(t, func(m *overloadModel) {
		urgent := &load{workspace: "a", tokens: 1000, fronts: []int{0, 1, 2}, share: 2, to: time.Minute}
		patient := &load{workspace: "b", priority: 2, tokens: 1000, fronts: []int{3}, share: 0.1, to: time.Minute}
		m.play(10*time.Second, urgent, patient)
		require.GreaterOrEqual(t, m.counts[patient].share(), 0.8)
		require.Greater(t, m.counts[urgent].inTime, 5*m.counts[patient].inTime)
	})
}

// Guards against calls that wait at a front for work that all fronts cannot place in time, and
// against callers that are told to return before there is memory.
func TestRefusalFollowsTheBacklogOfAllFronts(t *testing.T) {
	run(t, func(m *overloadModel) {
		long := 10 * time.Second
		urgent := &load{workspace: "a", tokens: 1000, fronts: []int{1, 2}, share: 2, to: time.Minute, wait: long}
		m.play(4*time.Second, urgent)
		reply := queuePrompt(t, m.routers[0], 2, 500*time.Millisecond)
		m.routers[0].handlePending()
		refused := placementOf(t, reply)
		require.Equal(t, placement.MemoryFull, refused.refusal)
		require.Greater(t, refused.retryAfter, 500*time.Millisecond)
	})
}
