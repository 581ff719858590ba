package quarantine_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// statisticsRuns is the number of runs for each cell of the table in
// docs/measurements.md, which was made with 100.
var statisticsRuns = flag.Int("statistics-runs", 5, "runs for each cell of the statistics")

const (
	// callsPerStep is the number of calls in a step of trafficStep, over all fronts.
	callsPerStep = 2
	trafficStep  = 100 * time.Millisecond
	// answerSteps is the number of steps until a call is answered.
	answerSteps = 3
	// suspectsPerCrash is the number of calls without an answer at a crash.
	suspectsPerCrash = 4
	// crashPause is the mean time between ordinary crashes.
	crashPause = 120 * time.Millisecond
	// warmSteps is the number of steps of traffic before the first crash, if parts are in
	// use before it.
	warmSteps = 100
	// contact is the time after the fifth crash in which all fronts must know a guilty part.
	contact = 3 * time.Second
	// maxSearch is the time after which a part counts as not found.
	maxSearch = 2 * time.Minute
)

// traffic is a cluster with calls whose prompts have one of a number of parts, all
// equally often.
type traffic struct {
	*cluster
	random *rand.Rand
	parts  int
	// guilty is set when upstreams crash on the part partName(0).
	guilty  bool
	calls   int
	waiting [][]core.Prompt
}

func newTraffic(seed uint64, parts int, fronts ...core.NodeID) *traffic {
	return &traffic{cluster: newCluster(fronts...), random: rand.New(rand.NewPCG(seed, uint64(parts))), parts: parts}
}

func partName(n int) string { return fmt.Sprint("part-", n) }

func (s *traffic) newCall() core.Prompt {
	s.calls++
	return prompt(fmt.Sprint("own-", s.calls), partName(s.random.IntN(s.parts)))
}

func (s *traffic) anyFront() core.NodeID { return s.names[s.random.IntN(len(s.names))] }

// step starts calls, answers those that have waited for answerSteps and exchanges the
// evidence. A call with a guilty part crashes its upstream instead.
func (s *traffic) step() {
	var started []core.Prompt
	for range callsPerStep {
		front, call := s.anyFront(), s.newCall()
		if !s.refused(front, call) {
			started = append(started, call)
		}
	}
	s.waiting = append(s.waiting, started)
	if len(s.waiting) > answerSteps {
		for _, call := range s.waiting[0] {
			if s.guilty && call.Parts[0].ID == core.PartID(partName(0)) {
				s.crashWith(call)
				continue
			}
			s.answer(s.anyFront(), call)
		}
		s.waiting = s.waiting[1:]
	}
	s.exchange(trafficStep)
}

// crashWith crashes an upstream with the given suspects and random other ones.
func (s *traffic) crashWith(suspects ...core.Prompt) {
	for len(suspects) < suspectsPerCrash {
		suspects = append(suspects, s.newCall())
	}
	s.crash(s.anyFront(), suspects...)
}

func (s *traffic) quarantined() map[core.PartID]bool {
	out := make(map[core.PartID]bool)
	for _, name := range s.names {
		for _, state := range s.trackers[name].States() {
			if state.Quarantined() {
				out[state.ID] = true
			}
		}
	}
	return out
}

// ordinaryCrashes reports whether sound parts are quarantined after crashes that have
// nothing to do with prompts.
func ordinaryCrashes(seed uint64, parts, crashes int, inUse bool, fronts ...core.NodeID) bool {
	s := newTraffic(seed, parts, fronts...)
	if inUse {
		for range warmSteps {
			s.step()
		}
	}
	next := s.now
	for end := s.now.Add(2 * time.Second); s.now.Before(end) || s.crashes < crashes; {
		for ; s.crashes < crashes && !s.now.Before(next); end = s.now.Add(2 * time.Second) {
			s.crashWith()
			next = next.Add(time.Duration(s.random.ExpFloat64() * float64(crashPause)))
		}
		s.step()
		if len(s.quarantined()) > 0 {
			return true
		}
	}
	return false
}

// search is the search for a guilty part.
type search struct {
	// found is false if the part is not in quarantine within maxSearch.
	found   bool
	crashes int
	// took is the time from the first crash until the part is in quarantine, afterFifth
	// that from the fifth one, or 0 if there were fewer.
	took, afterFifth time.Duration
}

// findGuilty lets calls with a guilty part crash upstreams until it is in quarantine.
func findGuilty(seed uint64, parts int, inUse bool) search {
	s := newTraffic(seed, parts, threeFronts...)
	if inUse {
		for range warmSteps {
			s.step()
		}
		s.waiting = nil
	}
	s.guilty = true
	var first, fifth time.Time
	for begin := s.now; s.now.Sub(begin) < maxSearch; {
		s.step()
		if first.IsZero() && s.crashes > 0 {
			first = s.now
		}
		if fifth.IsZero() && s.crashes >= 5 {
			fifth = s.now
		}
		if s.quarantined()[core.PartID(partName(0))] {
			out := search{found: true, crashes: s.crashes, took: s.now.Sub(first)}
			if !fifth.IsZero() {
				out.afterFifth = s.now.Sub(fifth)
			}
			return out
		}
		if s.now.Sub(begin)%time.Second == 0 {
			s.sweep()
		}
	}
	return search{crashes: s.crashes}
}

func (s *traffic) sweep() {
	for _, name := range s.names {
		s.trackers[name].Sweep(s.now)
	}
}

// searches sums up the searches for a part.
type searches struct {
	found, crashes, mostCrashes      int
	took, longest, longestAfterFifth time.Duration
}

func (a *searches) add(b search) {
	if !b.found {
		return
	}
	a.found++
	a.crashes += b.crashes
	a.mostCrashes = max(a.mostCrashes, b.crashes)
	a.took += b.took
	a.longest = max(a.longest, b.took)
	a.longestAfterFifth = max(a.longestAfterFifth, b.afterFifth)
}

// String returns the cells of a row of the table in docs/measurements.md.
func (a *searches) String() string {
	n := float64(max(a.found, 1))
	return fmt.Sprintf("%d | %.1f (%d) | %.1f s (%.1f s) | %.1f s", a.found, float64(a.crashes)/n, a.mostCrashes, a.took.Seconds()/n, a.longest.Seconds(), a.longestAfterFifth.Seconds())
}

// statisticsShares are the shares of the parts in the calls, as 1 of so many.
var statisticsShares = []int{1, 2, 10, 100, 1000}

var (
	oneFront    = []core.NodeID{"a"}
	threeFronts = []core.NodeID{"a", "b", "c"}
)

// wronglyQuarantined returns the runs in which crashes that have nothing to do with
// prompts quarantine a sound part, for 3 to 12 crashes.
func wronglyQuarantined(parts int, inUse bool, fronts ...core.NodeID) []int {
	var out []int
	for crashes := 3; crashes <= 12; crashes++ {
		wrong := 0
		for seed := range *statisticsRuns {
			if ordinaryCrashes(uint64(seed), parts, crashes, inUse, fronts...) {
				wrong++
			}
		}
		out = append(out, wrong)
	}
	return out
}

// Guards against ordinary crashes of upstreams that quarantine a sound part. Only parts
// that were not answered before, and that few calls have, may be quarantined so.
func TestOrdinaryCrashesDoNotQuarantineParts(t *testing.T) {
	none := make([]int, 10)
	for _, parts := range statisticsShares {
		for _, fronts := range [][]core.NodeID{threeFronts, oneFront} {
			inUse, unknown := wronglyQuarantined(parts, true, fronts...), wronglyQuarantined(parts, false, fronts...)
			t.Logf("share 1 of %d, %d fronts: in use %v, not answered before %v of %d runs", parts, len(fronts), inUse, unknown, *statisticsRuns)
			if parts <= 10 {
				require.Equal(t, none, inUse, "share 1 of %d", parts)
			}
			if parts <= 2 {
				require.Equal(t, none, unknown, "share 1 of %d", parts)
			}
		}
	}
}

// Guards against a guilty part that is found later than contact after its fifth crash.
// A part that was sound before, and is in use, may take longer.
func TestGuiltyPartIsFoundForEachShare(t *testing.T) {
	for _, inUse := range []bool{false, true} {
		for _, parts := range statisticsShares {
			var all searches
			for seed := range *statisticsRuns {
				all.add(findGuilty(uint64(seed), parts, inUse))
			}
			t.Logf("in use before: %t, 1 of %d | %v", inUse, parts, &all)
			if inUse {
				continue
			}
			require.LessOrEqual(t, all.longestAfterFifth, contact, "share 1 of %d", parts)
			if parts <= 100 {
				require.Equal(t, *statisticsRuns, all.found, "share 1 of %d", parts)
			}
		}
	}
}
