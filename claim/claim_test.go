package claim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"waxwingtide.example/waxwingtide/claim"
	"waxwingtide.example/waxwingtide/core"
)

// TestMain fixes the seed, so that each run checks the same sequences.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	me      = claim.Owner{Upstream: "u1", Incarnation: 2}
	earlier = claim.Owner{Upstream: "u1", Incarnation: 1}
	request = claim.RequestDigest{1}
)

// Guards against a second run of a call whose row proves or leaves open an
// earlier one.
func TestJudge(t *testing.T) {
	cases := map[string]struct {
		row  claim.Record
		want claim.Decision
	}{
		"no row":                       {claim.Record{}, claim.MayClaim},
		"released":                     {claim.Record{State: claim.Released, Owner: earlier}, claim.MayClaim},
		"own claim, not in memory":     {claim.Record{State: claim.Claimed, Owner: me, Request: request}, claim.MayClaim},
		"claim of earlier incarnation": {claim.Record{State: claim.Claimed, Owner: earlier, Request: request}, claim.Unknown},
		"lost":                         {claim.Record{State: claim.Lost, Owner: me, Request: request}, claim.Unknown},
		"finished":                     {claim.Record{State: claim.Finished, Owner: earlier, Request: request}, claim.Replay},
		"other request":                {claim.Record{State: claim.Finished, Owner: earlier}, claim.Mismatch},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, claim.Decide(c.row, me, request))
		})
	}
}

// Guards against a hand-over that is repeated or that follows an abandonment.
func TestCallPhases(t *testing.T) {
	c := claim.NewCall(me, "a", request)
	release, err := c.Abandon()
	require.NoError(t, err)
	require.False(t, release)
	run, err := c.ClaimStored()
	require.NoError(t, err)
	require.False(t, run)
	require.Equal(t, claim.Released, c.Record().State)

	c = claim.NewCall(me, "b", request)
	require.Error(t, c.Finish(claim.Response{}))
	run, err = c.ClaimStored()
	require.NoError(t, err)
	require.True(t, run)
	_, err = c.ClaimStored()
	require.Error(t, err)
	require.NoError(t, c.MarkLost())
	require.Error(t, c.Finish(claim.Response{}))
	require.Equal(t, claim.Unknown, c.DecideDuplicate(request))
}

// agent is the model of one upstream's process.
type agent struct {
	owner claim.Owner
	call  *claim.Call
	// late is a claim whose answer was lost and that may take effect later.
	late *lateWrite
}

type lateWrite struct {
	record  claim.Record
	version uint64
}

// table is the model of the call's row.
type table struct {
	record  claim.Record
	version uint64
}

func (t *table) put(r claim.Record, version uint64) bool {
	if t.version != version {
		return false
	}
	t.record = r
	t.version++
	return true
}

// model runs one call through agents that crash, lose answers and compete. It
// follows spec/claim.pml, transition by transition, with the Go decisions in
// place of the specification's, and adds agents of two upstreams, releases and
// writes that take effect late.
type model struct {
	row      table
	agents   []*agent
	attempts int
	runs     int
	// first is the answer of the run that was reported as complete.
	first claim.Response
	// notRun holds the attempts that were told "not run".
	notRun map[core.AttemptID]bool
}

// reply notes what an attempt that may not run is told.
func (m *model) reply(t *rapid.T, attempt core.AttemptID, v claim.Decision, known claim.Response) {
	switch v {
	case claim.Replay:
		require.Equal(t, 1, m.runs, "an answer of no run")
		require.Equal(t, m.first, known, "not the first answer")
	case claim.Wait:
		m.notRun[attempt] = true
	}
}

func (m *model) agent(t *rapid.T) *agent {
	return rapid.SampledFrom(m.agents).Draw(t, "agent")
}

func (m *model) begin(t *rapid.T) {
	a := m.agent(t)
	m.attempts++
	attempt := core.AttemptID(fmt.Sprint(m.attempts))
	if a.call != nil {
		m.reply(t, attempt, a.call.DecideDuplicate(request), a.call.Record().Response)
		return
	}
	a.call = claim.NewCall(a.owner, attempt, request)
}

func (m *model) writeClaim(t *rapid.T) {
	a := m.agent(t)
	if a.call == nil || a.call.Phase() != claim.Claiming {
		t.Skip("no claim to write")
	}
	if rapid.Bool().Draw(t, "lost") {
		a.late = &lateWrite{a.call.Record(), a.call.Version()}
		m.notRun[a.call.Attempt()] = true
		a.call = nil
		return
	}
	if !m.row.put(a.call.Record(), a.call.Version()) {
		verdict, err := a.call.ClaimConflict(m.row.record, m.row.version)
		require.NoError(t, err)
		if verdict != claim.MayClaim {
			m.reply(t, a.call.Attempt(), verdict, m.row.record.Response)
			a.call = nil
		}
		return
	}
	run, err := a.call.ClaimStored()
	require.NoError(t, err)
	if run && rapid.Bool().Draw(t, "handed over") {
		require.False(t, m.notRun[a.call.Attempt()], "the attempt was told that it is not run")
		m.runs++
		m.finish(t, a)
	} else if run {
		_, err = a.call.Abandon()
		require.NoError(t, err)
	}
}

func (m *model) finish(t *rapid.T, a *agent) {
	if rapid.Bool().Draw(t, "answered") {
		m.first = claim.Response{Status: 200, Object: string(a.call.Attempt())}
		require.NoError(t, a.call.Finish(m.first))
		return
	}
	require.NoError(t, a.call.MarkLost())
}

// abandon is a deadline that passes before the claim is in the table.
func (m *model) abandon(t *rapid.T) {
	a := m.agent(t)
	if a.call == nil || a.call.Phase() != claim.Claiming {
		t.Skip("no claim to abandon")
	}
	_, err := a.call.Abandon()
	require.NoError(t, err)
	m.notRun[a.call.Attempt()] = true
}

func (m *model) writeResult(t *rapid.T) {
	a := m.agent(t)
	if a.call == nil || a.call.Phase() != claim.Storing {
		t.Skip("no result to write")
	}
	if m.row.put(a.call.Record(), a.call.Version()) {
		require.NoError(t, a.call.ResultStored())
		if a.call.Record().State == claim.Released {
			m.notRun[a.call.Attempt()] = true
		}
		a.call = nil
		return
	}
	again, err := a.call.ResultConflict(m.row.record, m.row.version)
	require.NoError(t, err)
	if !again {
		a.call = nil
	}
}

func (m *model) late(t *rapid.T) {
	a := m.agent(t)
	if a.late == nil {
		t.Skip("no late write")
	}
	m.row.put(a.late.record, a.late.version)
	a.late = nil
}

func (m *model) crash(t *rapid.T) {
	a := m.agent(t)
	a.owner.Incarnation++
	a.call = nil
}

func (m *model) check(t *rapid.T) {
	require.LessOrEqual(t, m.runs, 1, "the call ran more than once")
	if m.row.record.State == claim.Finished {
		require.Equal(t, 1, m.runs, "the row has an answer of no run")
		require.Equal(t, m.first, m.row.record.Response)
	}
}

// Guards against code that departs from spec/claim.pml: a second run, a run of
// an attempt that was told "not run", and a replay of another answer, under any
// order of crashes, competing agents, lost answers and late writes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{notRun: make(map[core.AttemptID]bool)}
		for _, u := range []core.UpstreamID{"u1", "u2"} {
			m.agents = append(m.agents, &agent{owner: claim.Owner{Upstream: u, Incarnation: 1}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "claim": m.writeClaim, "result": m.writeResult,
			"late": m.late, "crash": m.crash, "abandon": m.abandon, "": m.check,
		})
	})
}
