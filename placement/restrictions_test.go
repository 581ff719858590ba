package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/sharing"
)

const restricted = core.UpstreamID("records-0")

// restrictedAddress is the address at which newUpstreams lists the restricted upstream.
const restrictedAddress = "10.0.7.0:80"

// relist lists an upstream as a newer row with the given start, or removes its row.
func relist(pl *Placer, now time.Time, in Inputs, id core.UpstreamID, startedAtMs int64, listed bool) {
	rows := in.Upstreams
	in.Upstreams = nil
	for _, row := range rows {
		if row.ID == id {
			if !listed {
				continue
			}
			updated := *row.Upstream
			updated.StartedAtMs = startedAtMs
			row.Upstream, row.RowVersion = &updated, uint64(now.Sub(t0).Milliseconds())+2 //nolint:gosec // after t0
		}
		in.Upstreams = append(in.Upstreams, row)
	}
	pl.SetInputs(now, in)
}

// callsPlaced returns how many of 60 calls are placed at the restricted upstream.
func callsPlaced(pl *Placer, now time.Time) int {
	return countChoices(pl, now, 60, time.Millisecond, newPlainRequest())[restricted]
}

// Guards against calls to an upstream that has announced in a response that it leaves,
// although its row still says that it is ready, a later response lacks the announcement,
// or its row was missing for a moment, as after a restore of the metadata store.
func TestNoCallIsPlacedAtLeavingUpstream(t *testing.T) {
	announcements := map[string]func(pl *Placer){
		"response to this process": func(pl *Placer) { pl.RecordReport(t0, Report{Upstream: restricted, Leaving: true}) },
		"response to another process": func(pl *Placer) {
			pl.ApplyObservation(t0, sharing.Observation{Upstream: restricted, Leaving: true, ObservedAt: t0})
		},
	}
	for name, announce := range announcements {
		t.Run(name, func(t *testing.T) {
			in := newInputs(1)
			pl := newPlacer(in)
			require.Positive(t, callsPlaced(pl, t0))
			announce(pl)
			require.Zero(t, callsPlaced(pl, t0))
			relist(pl, t0.Add(time.Second), in, restricted, 0, true)
			pl.RecordReport(t0.Add(time.Second), Report{Upstream: restricted})
			require.Zero(t, callsPlaced(pl, t0.Add(time.Second)))
			relist(pl, t0.Add(time.Minute), in, restricted, 0, false)
			relist(pl, t0.Add(2*time.Minute), in, restricted, 0, true)
			require.Zero(t, callsPlaced(pl, t0.Add(time.Hour)))
			relist(pl, t0.Add(2*time.Hour), in, restricted, 7, true)
			require.Positive(t, callsPlaced(pl, t0.Add(2*time.Hour)))
		})
	}
}

// Guards against a restriction of a new incarnation by a late response of the previous
// one, and against the use of the previous one if an older row lists it again.
func TestDepartureAppliesToOneIncarnation(t *testing.T) {
	in := newInputs(1)
	pl := newPlacer(in)
	relist(pl, t0, in, restricted, 7, true)
	pl.RecordReport(t0, Report{Upstream: restricted, StartedAtMs: 0, Leaving: true})
	require.Positive(t, callsPlaced(pl, t0))
	relist(pl, t0.Add(time.Second), in, restricted, 0, true)
	require.Zero(t, callsPlaced(pl, t0.Add(time.Second)))
}

// Guards against a departure that is lost because the row of the upstream was removed
// before its last response, and against state of upstreams that are gone for good.
func TestRestrictionOfUnlistedUpstreamIsStoredForLimitedTime(t *testing.T) {
	in := newInputs(1)
	pl := newPlacer(in)
	relist(pl, t0, in, restricted, 0, false)
	pl.RecordReport(t0, Report{Upstream: restricted, Leaving: true})
	relist(pl, t0.Add(time.Second), in, restricted, 0, true)
	require.Zero(t, callsPlaced(pl, t0.Add(time.Second)))
	relist(pl, t0.Add(time.Hour), in, restricted, 0, false)
	require.Len(t, pl.departures, 1)
	relist(pl, t0.Add(time.Hour+restrictionRetention+time.Second), in, restricted, 0, false)
	require.Empty(t, pl.departures)
}

// Guards against calls that stay without an upstream because newer weights are loaded
// only at upstreams that leave.
func TestLeavingUpstreamDoesNotMakeOlderWeightsOverdue(t *testing.T) {
	in := newInputs(1)
	in.Upstreams = in.Upstreams[:2]
	in.WeightHistory = map[core.ModelID]catalog.WeightHistory{model: {{Version: 2}}}
	pl := newPlacer(in)
	pl.RecordReport(t0, Report{Upstream: "engines-0", Model: model, Weights: 2, Leaving: true})
	choice, refusal := pl.Choose(t0, Request{Service: engines, Prompt: newPrompt("a")})
	require.Equal(t, NotRefused, refusal)
	require.Equal(t, core.UpstreamID("engines-1"), choice.Upstream.ID)
}

// Guards against departures that other processes do not receive because an exchange
// failed, and against a change that is logged with each response.
func TestDeparturesAreRepeated(t *testing.T) {
	in := newInputs(1)
	pl := newPlacer(in)
	pl.RecordReport(t0, Report{Upstream: restricted, Leaving: true})
	pl.RecordReport(t0.Add(time.Second), Report{Upstream: restricted, Leaving: true})
	want := []sharing.Observation{{Upstream: restricted, Leaving: true, ObservedAt: t0}}
	require.Equal(t, want, pl.Departures(t0.Add(-time.Second)))
	require.Equal(t, want, pl.Departures(time.Time{}))
	require.Empty(t, pl.Departures(t0.Add(time.Second)))
	require.Len(t, pl.TakeRestrictionChanges(), 1)

	other := New(options("front-1"), cacheindex.New())
	other.SetInputs(t0, in)
	other.ApplyObservation(t0.Add(time.Second), sharing.Observation{Upstream: restricted, Leaving: true, Reporter: "front-0", ObservedAt: t0})
	changes := other.TakeRestrictionChanges()
	require.Len(t, changes, 1)
	require.Equal(t, core.NodeID("front-0"), changes[0].Reporter)
	require.Equal(t, time.Second, changes[0].Age)
	relist(pl, t0.Add(time.Minute), in, restricted, 0, false)
	require.Empty(t, pl.Departures(time.Time{}), "an upstream that is not listed")
}

// Guards against calls to an upstream within the time for which it wants none, also after
// a later response with a shorter time or none, a newer row of the same incarnation, or a
// missing row, and against an upstream that gets no calls after that time.
func TestNoCallIsPlacedDuringPause(t *testing.T) {
	const pause = 4 * time.Hour
	in := newInputs(1)
	pl := newPlacer(in)
	pl.RecordReport(t0, Report{Upstream: restricted, Address: restrictedAddress, PauseFor: pause})
	require.Zero(t, callsPlaced(pl, t0))
	pl.RecordReport(t0.Add(time.Second), Report{Upstream: restricted, Address: restrictedAddress, PauseFor: time.Second})
	pl.RecordReport(t0.Add(time.Second), Report{Upstream: restricted})
	relist(pl, t0.Add(time.Second), in, restricted, 0, true)
	require.Zero(t, callsPlaced(pl, t0.Add(time.Minute)))
	relist(pl, t0.Add(time.Minute), in, restricted, 0, false)
	relist(pl, t0.Add(2*time.Minute), in, restricted, 0, true)
	require.Zero(t, callsPlaced(pl, t0.Add(pause-100*time.Millisecond)))
	require.Positive(t, callsPlaced(pl, t0.Add(pause+pauseMargin)))
	require.Len(t, pl.TakeRestrictionChanges(), 1)

	now := t0.Add(pause + time.Minute)
	pl.RecordReport(now, Report{Upstream: restricted, Address: restrictedAddress, PauseFor: pause})
	require.Zero(t, callsPlaced(pl, now))
	relist(pl, now.Add(time.Second), in, restricted, 7, true)
	require.Zero(t, callsPlaced(pl, now.Add(time.Second)), "a pause does not end with a restart")
	relist(pl, now.Add(2*pause), in, restricted, 7, true)
	require.Positive(t, callsPlaced(pl, now.Add(2*pause)))
	require.Empty(t, pl.pauses)
}

// Guards against the end of a long stream or call that starts a pause again.
func TestFinalReportDoesNotStartPause(t *testing.T) {
	pl := newPlacer(newInputs(1))
	pl.RecordReport(t0, Report{Upstream: restricted, Address: restrictedAddress, Final: true, Result: Failed, PauseFor: time.Hour})
	require.Positive(t, callsPlaced(pl, t0))
}

// Guards against calls that wait for an upstream although all have asked for a pause, and
// against calls that are refused until the end of a pause although another upstream may
// be used before.
func TestPauseRemainingUntilFirstUpstreamMayBeUsed(t *testing.T) {
	in := newInputs(1)
	pl := newPlacer(in)
	req := newPlainRequest()
	remaining := func() time.Duration {
		wait, paused := pl.PauseRemaining(t0, req)
		require.Equal(t, paused, wait > 0)
		return wait
	}
	pl.RecordReport(t0, Report{Upstream: "records-0", Address: "10.0.7.0:80", PauseFor: 3 * time.Second})
	pl.RecordReport(t0, Report{Upstream: "records-1", Address: "10.0.7.1:80", PauseFor: 2 * time.Second})
	require.Zero(t, remaining())
	req.TriedUpstreams = []core.UpstreamID{"records-2"}
	require.Zero(t, remaining(), "the next call may use the upstream")
	pl.RecordReport(t0, Report{Upstream: "records-2", Leaving: true})
	require.Equal(t, 2*time.Second+pauseMargin, remaining())
	_, refusal := pl.Choose(t0, req)
	require.Equal(t, NoUpstream, refusal)
	pl.RecordReport(t0, Report{Upstream: "records-0", Leaving: true})
	pl.RecordReport(t0, Report{Upstream: "records-1", Leaving: true})
	require.Zero(t, remaining(), "no pause ends")
}

// Guards against calls to an upstream that leaves or wants no calls, because its row is
// that of a previous incarnation, as after a restore of the metadata store, or lacks the
// start. The calls reach the newer incarnation, which has the same id.
func TestRestrictionAppliesToOlderRow(t *testing.T) {
	const started = 7
	announcements := map[string]Report{
		"departure": {Upstream: restricted, StartedAtMs: started, Leaving: true},
		"pause":     {Upstream: restricted, StartedAtMs: started, Address: restrictedAddress, PauseFor: time.Hour},
	}
	for name, announcement := range announcements {
		t.Run(name, func(t *testing.T) {
			in := newInputs(1)
			pl := newPlacer(in)
			relist(pl, t0, in, restricted, started, true)
			pl.RecordReport(t0, announcement)
			for i, older := range []int64{started - 1, 0} {
				now := t0.Add(time.Duration(i+1) * time.Second)
				relist(pl, now, in, restricted, older, true)
				require.Zero(t, callsPlaced(pl, now), "start %d", older)
			}
			ended := t0.Add(time.Minute)
			if announcement.PauseFor > 0 {
				ended = t0.Add(announcement.PauseFor + pauseMargin)
			}
			relist(pl, ended, in, restricted, started+1, true)
			require.Positive(t, callsPlaced(pl, ended))
		})
	}
}

// Guards against an announcement that is stored for a previous incarnation, and so ends
// when the row of the present one is listed again.
func TestAnnouncementUnderOlderRowAppliesToNewestIncarnation(t *testing.T) {
	const started = 7
	in := newInputs(1)
	pl := newPlacer(in)
	relist(pl, t0, in, restricted, started, true)
	pl.RecordReport(t0, Report{Upstream: restricted, StartedAtMs: started, Address: restrictedAddress, PauseFor: time.Minute})
	relist(pl, t0.Add(time.Second), in, restricted, started-1, true)
	pl.RecordReport(t0.Add(time.Second), Report{Upstream: restricted, StartedAtMs: started - 1, Leaving: true})
	relist(pl, t0.Add(2*time.Second), in, restricted, started, true)
	require.Zero(t, callsPlaced(pl, t0.Add(time.Hour)))
	require.Len(t, pl.Departures(time.Time{}), 1)
}

// Guards against a pause of the listed incarnation that no longer applies because a later
// one, whose row was listed in between, has announced something else.
func TestAnnouncementsOfIncarnationsAreCombined(t *testing.T) {
	const started = 7
	in := newInputs(1)
	pl := newPlacer(in)
	pl.RecordReport(t0, Report{Upstream: restricted, Address: restrictedAddress, PauseFor: time.Hour})
	relist(pl, t0, in, restricted, started, true)
	pl.RecordReport(t0, Report{Upstream: restricted, StartedAtMs: started, Address: restrictedAddress, PauseFor: time.Second})
	relist(pl, t0.Add(500*time.Millisecond), in, restricted, 0, true)
	require.Zero(t, callsPlaced(pl, t0.Add(time.Minute)))
}

// Guards against a new incarnation that gets no calls because a departure of the
// previous one is received late, after the new one has asked for a short pause.
func TestLateAnnouncementOfPreviousIncarnationDoesNotApply(t *testing.T) {
	const started = 7
	announcements := map[string]func(pl *Placer, now time.Time){
		"departure": func(pl *Placer, now time.Time) {
			pl.RecordReport(now, Report{Upstream: restricted, StartedAtMs: started, Leaving: true})
		},
		"departure that another process has observed": func(pl *Placer, now time.Time) {
			pl.ApplyObservation(now, sharing.Observation{Upstream: restricted, StartedAtMs: started, Leaving: true, ObservedAt: t0})
		},
	}
	for name, announce := range announcements {
		t.Run(name, func(t *testing.T) {
			in := newInputs(1)
			pl := newPlacer(in)
			relist(pl, t0, in, restricted, started+1, true)
			pl.RecordReport(t0, Report{Upstream: restricted, StartedAtMs: started + 1, Address: restrictedAddress, PauseFor: time.Second})
			announce(pl, t0.Add(500*time.Millisecond))
			require.Positive(t, callsPlaced(pl, t0.Add(time.Minute)))
			for _, departure := range pl.Departures(time.Time{}) {
				require.EqualValues(t, started, departure.StartedAtMs, "other processes would exclude the new incarnation, too")
			}
		})
	}
}

// Guards against calls in a pause that an upstream named after it had started again, but
// before its row said so: the pause then seems to be that of the previous incarnation. It
// does not apply to another upstream at the address, or to the upstream at another address.
func TestPauseOutlivesIncarnation(t *testing.T) {
	const asked = time.Minute
	in := newInputs(1)
	pl := newPlacer(in)
	pl.RecordReport(t0, Report{Upstream: restricted, Address: restrictedAddress, PauseFor: asked})
	pl.RecordReport(t0, Report{Upstream: "records-1", Address: restrictedAddress, PauseFor: asked})
	for i, started := range []int64{7, 8, 0} {
		now := t0.Add(time.Duration(i+1) * time.Second)
		relist(pl, now, in, restricted, started, true)
		require.Zero(t, callsPlaced(pl, now), "start %d", started)
	}
	require.Positive(t, countChoices(pl, t0, 60, time.Millisecond, newPlainRequest())["records-1"], "listed at another address")
	for i, row := range in.Upstreams {
		if row.ID == restricted {
			changed := *row.Upstream
			changed.Address = "192.0.2.99:80"
			in.Upstreams[i].Upstream = &changed
		}
	}
	pl.SetInputs(t0.Add(5*time.Second), in)
	require.Positive(t, callsPlaced(pl, t0.Add(5*time.Second)), "another address")
	relist(pl, t0.Add(2*asked), in, restricted, 7, true)
	require.Empty(t, pl.pauses)
}
