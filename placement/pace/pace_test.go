package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an announced slowdown that is used long after it has changed, and against
// one that is lost at once.
func TestAnnouncementFadesToItsMean(t *testing.T) {
	var s Slowdown
	require.InDelta(t, 1, s.Current(t0), 1e-9, "usual pace without data")
	for ms := 0; ms < 5000; ms += 50 {
		s.Announce(at(ms), 1)
	}
	s.Announce(at(5000), 2)
	require.InDelta(t, 2, s.Current(at(5000)), 0.01)
	require.Less(t, s.Current(at(5500)), 1.2, "an announcement of half a second ago says little")
	require.Greater(t, s.Current(at(5100)), 1.4)
	s.Announce(at(4000), 8)
	require.Less(t, s.Current(at(5500)), 1.2, "an older announcement is ignored")
}

// Guards against a lasting difference between machines that is forgotten between two
// announcements.
func TestLastingAnnouncementIsKept(t *testing.T) {
	var s Slowdown
	for ms := 0; ms < 5000; ms += 200 {
		s.Announce(at(ms), 2)
	}
	require.InDelta(t, 2, s.Current(at(5500)), 0.15)
	require.True(t, s.Announced(at(5500)))
	require.InDelta(t, 1, s.Current(at(60_000)), 0.05, "forgotten once the upstream is silent")
}

// Guards against a single slow response that takes an upstream out of use, and against
// invalid ratios.
func TestSingleResponseIsBounded(t *testing.T) {
	var s Slowdown
	s.Observe(t0, 1000)
	require.Less(t, s.Current(t0), 2.0)
	s.Observe(t0, 0)
	s.Observe(t0, -3)
	s.Announce(t0, -1)
	require.Less(t, s.Current(t0), 2.0)
	require.False(t, s.Announced(t0))
}

// Guards against an observed slowdown that is used beside an announced one.
func TestAnnouncementReplacesResponses(t *testing.T) {
	var s Slowdown
	for ms := range 1000 {
		s.Observe(at(ms), 4)
	}
	require.InDelta(t, 4, s.Current(at(1000)), 0.1)
	s.Announce(at(1000), 1)
	require.InDelta(t, 1, s.Current(at(1000)), 1e-9)
}

// Guards against a rate of reading that stays at its setting, that follows the responses
// that waited for other calls, or that leaves its bounds.
func TestReadingRateFollowsTheFastResponses(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, actual := range []float64{20, 40, 157} {
		var r ReadingRate
		for range 3000 {
			tokens := 1000 + random.IntN(5000)
			ms := float64(tokens) / actual
			if random.Float64() < 0.7 {
				ms += random.ExpFloat64() * 100 // waits for other prompts
			}
			r.Observe(40, tokens, time.Duration(ms*float64(time.Millisecond)))
		}
		require.InEpsilon(t, actual, r.PerMs(40), 0.25)
	}
	var r ReadingRate
	for range 10_000 {
		r.Observe(40, 5000, time.Nanosecond)
		r.Observe(40, 10, time.Hour)
		r.Observe(40, 5000, 0)
	}
	require.InDelta(t, 320, r.PerMs(40), 1e-6)
}

// Guards against a typical time that a few very long calls move.
func TestTypicalTimeIsTheMedian(t *testing.T) {
	var median TypicalTime
	for i := range 2000 {
		ms := 60.0
		if i%10 == 0 {
			ms = 60_000
		}
		median.Observe(30, ms+float64(i%7))
	}
	require.InEpsilon(t, 63, median.Ms(30), 0.15)
}

// Guards against an upstream that keeps the pace of its last announcements after the
// process that passes them on has failed, although its responses show another one.
func TestResponsesCountAfterAnnouncementsStop(t *testing.T) {
	var s Slowdown
	for ms := 0; ms < 5000; ms += 200 {
		s.Announce(at(ms), 6)
	}
	for ms := 5000; ms < 20_000; ms += 100 {
		s.Observe(at(ms), 1)
	}
	require.False(t, s.Announced(at(20_000)))
	require.InDelta(t, 1, s.Current(at(20_000)), 0.1)
	s.Announce(at(4900), 6) // delayed in a frozen process
	require.InDelta(t, 1, s.Current(at(20_000)), 0.1)
}
