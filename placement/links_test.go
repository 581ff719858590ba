package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/sharing"
)

// observeDelays records the delays of transfers from the store that other processes have
// observed, one each millisecond up to a point in time.
func observeDelays(placer *Placer, until time.Time, delays ...time.Duration) {
	for i, delay := range delays {
		at := until.Add(time.Duration(i+1-len(delays)) * time.Millisecond)
		placer.ApplyObservation(until, sharing.Observation{SourceAddress: storeAddress, SourceDelay: delay, ObservedAt: at})
	}
}

// Guards against transfers from a store whose links are used by all fronts together, since a
// process knows only its own transfers, against links that are charged with the delays of
// some engines, and against one that is not used again.
func TestDelayOfALinkIsShared(t *testing.T) {
	const slow = 800 * time.Millisecond
	cases := []struct {
		name    string
		delays  []time.Duration
		after   time.Duration
		fetches bool
	}{
		{"all transfers are late", []time.Duration{slow, slow, slow, slow, slow, 0, slow}, 0, false},
		{"half of them wait for engines", []time.Duration{slow, 0, slow, 0, slow, 0, 0, slow}, 0, true},
		{"too few transfers", []time.Duration{slow, slow}, 0, true},
		{"the delays are old", []time.Duration{slow, slow, slow, slow, slow}, 2 * delayTTL, true},
		{"later transfers are in time", []time.Duration{slow, slow, slow, slow, slow, 0, 0, 0, 0, 0, 0, 0}, 0, true},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			placer := storeParts(t0, len(cases))
			observeDelays(placer, t0, c.delays...)
			now := t0.Add(c.after)
			placer.cacheIndex.ApplyEvents(now, storeAddress, 1, nil, nil)
			choice := mustPlace(t, placer, now, fmt.Sprintf("shared-%d", i))
			require.Equal(t, c.fetches, choice.FetchedTokens > 0)
		})
	}
}

// Guards against a delay that responses show and that other processes do not receive.
func TestDelaysOfLinksAreTaken(t *testing.T) {
	placer := storeParts(t0, 1)
	choice := mustPlace(t, placer, t0, "shared-0")
	require.NotZero(t, choice.FetchedTokens)
	now := t0.Add(choice.ExpectedFirstByte + 500*time.Millisecond)
	placer.RecordReport(now, Report{AttemptID: choice.AttemptID, Upstream: choice.Upstream.ID, FirstByte: now.Sub(t0)})
	delays := placer.TakeLinkDelays()
	require.Len(t, delays, 1)
	require.Equal(t, storeAddress, delays[0].SourceAddress)
	require.InDelta(t, 500, delays[0].Delay.Milliseconds(), 60)
	require.Empty(t, placer.TakeLinkDelays())
}

// Guards against reading at engines where calls wait in place of fetching from a slow link:
// the reading delays all calls of the engine.
func TestFullEnginesFetchFromSlowLinks(t *testing.T) {
	const slow = 300 * time.Millisecond
	for _, waiting := range []int{0, 2} {
		placer := storeParts(t0, 1)
		observeDelays(placer, t0, slow, slow, slow, slow, slow)
		for _, u := range placer.byService[engines] {
			placer.ApplyObservation(t0, sharing.Observation{Upstream: u.row.ID, HasLoad: true, Load: 12, Waiting: waiting, ObservedAt: t0})
		}
		choice := mustPlace(t, placer, t0, "shared-0")
		require.Equal(t, waiting > 0, choice.FetchedTokens > 0, "%d calls wait", waiting)
	}
}
