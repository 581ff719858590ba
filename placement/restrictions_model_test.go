package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/sharing"
)

// announcement is what a model server has announced.
type announcement struct {
	startedAtMs int64
	// pausedUntil is zero for a departure.
	pausedUntil time.Time
	// appliedAt is the last time at which it applied to the listed row.
	appliedAt time.Time
}

// appliesTo reports whether the announcement applies to a row. A pause belongs to the
// server whatever its incarnation, a departure to one incarnation.
func (a *announcement) appliesTo(row catalog.Upstream) bool {
	return !a.pausedUntil.IsZero() || row.StartedAtMs <= a.startedAtMs
}

// stored reports whether the announcement must still be stored.
func (a *announcement) stored(now time.Time) bool {
	return now.Sub(a.appliedAt) <= restrictionRetention
}

func (a *announcement) ended(now time.Time) bool {
	return !a.pausedUntil.IsZero() && !now.Before(a.pausedUntil)
}

// modelServer is a server whose row may be missing or that of the previous incarnation.
type modelServer struct {
	row           catalog.Upstream
	listed        bool
	newestStart   int64
	announcements []*announcement
}

// excluded reports whether no call may be placed at the server.
func (s *modelServer) excluded(now time.Time) bool {
	return slices.ContainsFunc(s.announcements, func(a *announcement) bool {
		return a.appliesTo(s.row) && a.stored(now) && !a.ended(now)
	})
}

// certainlyFree reports whether calls may be placed at the server, also if each
// announcement belongs to the newest incarnation at the time.
func (s *modelServer) certainlyFree(now time.Time) bool {
	return s.listed && !slices.ContainsFunc(s.announcements, func(a *announcement) bool {
		return (!a.pausedUntil.IsZero() || s.row.StartedAtMs <= a.startedAtMs+1) && !a.ended(now.Add(-pauseMargin))
	})
}

// restrictionModel compares a Placer with the announcements that it has received.
type restrictionModel struct {
	now     time.Time
	placer  *Placer
	inputs  Inputs
	servers []*modelServer
	// sources are the sources of cache events, as the router has set them.
	sources []cacheevents.Source
}

func newRestrictionModel() *restrictionModel {
	m := &restrictionModel{now: t0, inputs: newInputs(1)}
	m.inputs.Config.Services[engines].ColdCallsPerSecond = 0
	for _, row := range newUpstreams(engines, 3) {
		m.servers = append(m.servers, &modelServer{row: *row.Upstream, listed: true})
	}
	m.placer = newPlacer(m.inputs)
	m.setRows()
	return m
}

// setRows applies the rows of the listed servers.
func (m *restrictionModel) setRows() {
	m.inputs.Upstreams = nil
	for _, s := range m.servers {
		if !s.listed {
			continue
		}
		row := s.row
		m.inputs.Upstreams = append(m.inputs.Upstreams, catalog.UpstreamRow{Upstream: &row, RowVersion: uint64(m.now.UnixNano())}) //nolint:gosec // after 1970
		m.recordApplied(s)
	}
	m.placer.SetInputs(m.now, m.inputs)
	m.sources = m.placer.EventSources(m.now)
}

func (m *restrictionModel) recordApplied(s *modelServer) {
	for _, a := range s.announcements {
		if a.appliesTo(s.row) && a.stored(m.now) {
			a.appliedAt = m.now
		}
	}
}

func (m *restrictionModel) drawServer(t *rapid.T) *modelServer {
	return rapid.SampledFrom(m.servers).Draw(t, "server")
}

// advance lets time pass, in most cases less than a pause.
func (m *restrictionModel) advance(t *rapid.T) {
	for _, s := range m.servers {
		if s.listed {
			m.recordApplied(s)
		}
	}
	seconds := rapid.OneOf(rapid.Float64Range(0, 3), rapid.Float64Range(0, 100)).Draw(t, "seconds")
	m.now = m.now.Add(time.Duration(seconds * float64(time.Second)))
}

// changeRow restarts a server, or lists its newest or previous incarnation, or none.
func (m *restrictionModel) changeRow(t *rapid.T) {
	s := m.drawServer(t)
	if rapid.Bool().Draw(t, "restart") {
		s.newestStart++
	}
	s.listed = rapid.IntRange(0, 3).Draw(t, "listed") > 0
	s.row.StartedAtMs = max(s.newestStart-int64(rapid.IntRange(0, 1).Draw(t, "previous")), 0)
	m.setRows()
}

// drawReport draws the report of a response, and records what it announces.
func (m *restrictionModel) drawReport(t *rapid.T, s *modelServer) Report {
	report := Report{Upstream: s.row.ID, Address: s.row.Address, StartedAtMs: s.row.StartedAtMs}
	switch rapid.IntRange(0, 5).Draw(t, "announcement") {
	case 0:
		report.Leaving = true
		s.announcements = append(s.announcements, &announcement{startedAtMs: s.row.StartedAtMs, appliedAt: m.now})
	case 1, 2:
		seconds := rapid.Float64Range(0.01, 60).Draw(t, "pause")
		report.PauseFor = time.Duration(seconds * float64(time.Second))
		s.announcements = append(s.announcements, &announcement{startedAtMs: s.row.StartedAtMs, appliedAt: m.now, pausedUntil: m.now.Add(report.PauseFor)})
	}
	return report
}

// respond reports a response to a call that was placed before.
func (m *restrictionModel) respond(t *rapid.T) {
	if s := m.drawServer(t); s.listed {
		m.placer.RecordReport(m.now, m.drawReport(t, s))
	}
}

// observe receives the departure that another process has observed.
func (m *restrictionModel) observe(t *rapid.T) {
	s := m.drawServer(t)
	if !s.listed || !rapid.Bool().Draw(t, "departure") {
		return
	}
	s.announcements = append(s.announcements, &announcement{startedAtMs: s.row.StartedAtMs, appliedAt: m.now})
	m.placer.ApplyObservation(m.now, sharing.Observation{Upstream: s.row.ID, StartedAtMs: s.row.StartedAtMs, Leaving: true, ObservedAt: m.now, Reporter: "front-1"})
}

// call places a call and checks its upstream.
func (m *restrictionModel) call(t *rapid.T) {
	request := Request{Service: engines, Prompt: newPrompt("a")}
	anyFree := false
	for _, s := range m.servers {
		if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
			request.TriedUpstreams = append(request.TriedUpstreams, s.row.ID)
		} else {
			anyFree = anyFree || s.certainlyFree(m.now)
		}
	}
	choice, refusal := m.placer.Choose(m.now, request)
	if refusal != NotRefused {
		require.False(t, anyFree, "refused (%s) although a server may be used", refusal)
		return
	}
	s := m.serverOf(choice.Upstream.ID)
	require.False(t, s.excluded(m.now), "server %s", choice.Upstream.ID)
	report := m.drawReport(t, s)
	report.AttemptID = choice.AttemptID
	m.placer.RecordReport(m.now, report)
	report.Final = true
	m.placer.RecordReport(m.now, report)
}

func (m *restrictionModel) serverOf(id core.UpstreamID) *modelServer {
	return m.servers[slices.IndexFunc(m.servers, func(s *modelServer) bool { return s.row.ID == id })]
}

// readEvents checks from which servers cache events are read.
func (m *restrictionModel) readEvents(t *rapid.T) {
	if m.placer.EventSourcesOutdated(m.now) {
		m.sources = m.placer.RefreshEventSources(m.now)
	}
	sources := m.sources
	require.ElementsMatch(t, m.placer.EventSources(m.now), sources)
	for _, s := range m.servers {
		read := slices.ContainsFunc(sources, func(source cacheevents.Source) bool { return source.Address == s.row.Address && !source.Paused })
		for _, source := range sources {
			require.True(t, source.Address != s.row.Address || source.StartedAtMs == s.row.StartedAtMs, "%s: another incarnation", s.row.ID)
		}
		if s.certainlyFree(m.now) {
			require.True(t, read, "events of %s are not read", s.row.ID)
		}
		if m.isPaused(s) {
			require.False(t, read, "events of %s are read", s.row.ID)
		}
	}
}

func (m *restrictionModel) isPaused(s *modelServer) bool {
	return slices.ContainsFunc(s.announcements, func(a *announcement) bool {
		return !a.pausedUntil.IsZero() && !a.ended(m.now) && a.appliesTo(s.row) && a.stored(m.now)
	})
}

// checkBounds checks that restrictions of incarnations that are gone are removed.
func (m *restrictionModel) checkBounds(t *rapid.T) {
	m.now = m.now.Add(restrictionRetention + time.Second)
	for _, s := range m.servers {
		s.newestStart += 2
		s.row.StartedAtMs, s.listed = s.newestStart, true
	}
	m.setRows()
	m.now = m.now.Add(restrictionRetention + time.Second)
	m.setRows()
	require.Empty(t, m.placer.departures)
	require.Empty(t, m.placer.pauses)
}

// Guards against calls, and requests for cache events, that reach a server which has
// announced that it leaves or wants none, in any order of responses, departures that other
// processes have observed, restarts, missing and outdated rows; against servers that stay
// unused without such an announcement; and against announcements that are stored without
// end.
func TestAnnouncementsAreObeyedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestrictionModel()
		t.Repeat(map[string]func(*rapid.T){
			"advance": m.advance, "row": m.changeRow, "response": m.respond, "observation": m.observe, "call": m.call, "events": m.readEvents,
		})
		m.checkBounds(t)
	})
}
