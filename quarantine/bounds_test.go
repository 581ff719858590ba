package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// Guards against evidence that grows with the number of crashes, and against parts of
// removed crashes that are watched for ever.
func TestEvidenceIsBounded(t *testing.T) {
	tracker := New("front-0", time.Unix(0, 0))
	now := benchStart
	for i := range 10 * maxCrashes {
		now = now.Add(10 * time.Millisecond)
		tracker.Merge(now, Evidence{Crashes: []Crash{{
			Incarnation: Incarnation{Upstream: core.UpstreamID(fmt.Sprint("i-", i))}, Reporter: "front-1", ObservedAt: now,
			Suspects: []Suspect{{Model: "m", LastPart: "last", Shared: []core.PartID{"common", core.PartID(fmt.Sprint("history-", i))}}},
		}}})
	}
	require.Len(t, tracker.crashes.records, maxCrashes)
	require.LessOrEqual(t, len(tracker.crashes.watched), maxCrashes+1)
	tracker.Sweep(now.Add(2 * crashRetention))
	require.Empty(t, tracker.crashes.records)
	require.Empty(t, tracker.crashes.watched)
}
