package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"waxwingtide.example/waxwingtide/core"
)

// benchStart is later than the warm-up of a tracker that is created at the Unix epoch.
var benchStart = time.Unix(1_800_000_000, 0)

// fullTracker returns a tracker with the largest amount of evidence: maxCrashes with
// maxSuspects each, whose prompts have a common part and one of many others.
func fullTracker() *Tracker {
	t := New("front-0", time.Unix(0, 0))
	for i := range maxCrashes {
		c := Crash{Incarnation: Incarnation{Upstream: core.UpstreamID(fmt.Sprint("i-", i))}, Reporter: "front-1", ObservedAt: benchStart.Add(time.Duration(i) * 200 * time.Millisecond)}
		for j := range maxSuspects {
			c.Suspects = append(c.Suspects, Suspect{
				Model: "m", LastPart: core.PartID(fmt.Sprint("own-", i, "-", j)),
				Shared: []core.PartID{core.PartID(fmt.Sprint("common-", j%4)), core.PartID(fmt.Sprint("history-", i, "-", j))},
			})
		}
		t.Merge(c.ObservedAt, Evidence{Crashes: []Crash{c}})
		for j := range 4 {
			t.recordAnswer(c.ObservedAt.Add(time.Millisecond), c.ObservedAt.Add(time.Millisecond), Part{"m", core.PartID(fmt.Sprint("common-", j))})
		}
	}
	return t
}

func BenchmarkEvaluate(b *testing.B) {
	t := fullTracker()
	now := benchStart.Add(maxCrashes * 200 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		t.changed, t.evaluatedAt = true, time.Time{}
		t.Evaluate(now)
	}
}

func BenchmarkCheck(b *testing.B) {
	t := New("front-0", time.Unix(0, 0))
	for i := range maxStates {
		t.storeState(benchStart, State{Part: Part{Model: "m", ID: core.PartID(fmt.Sprint("bad-", i))}, Version: 1, Until: benchStart.Add(time.Hour)})
	}
	prompt := core.Prompt{Model: "m", Parts: []core.Part{{ID: "common"}, {ID: "history"}, {ID: "own"}}}
	for b.Loop() {
		t.Check(benchStart, prompt, false)
	}
}

// BenchmarkMemory reports the memory of a tracker with the largest amount of evidence
// and of recorded answers.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		t := fullTracker()
		for i := range maxAnswers {
			t.recordAnswer(benchStart, benchStart, Part{"m", core.PartID(fmt.Sprintf("%012x", i))})
		}
		b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB")
		runtime.KeepAlive(t)
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
