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
		want claim.Verdict
	}{
		"no row":                       {claim.Record{}, claim.Take},
		"released":                     {claim.Record{State: claim.Released, Owner: earlier}, claim.Take},
		"own claim, not in memory":     {claim.Record{State: claim.Claimed, Owner: me, Request: request}, claim.Take},
		"claim of earlier incarnation": {claim.Record{State: claim.Claimed, Owner: earlier, Request: request}, claim.Unknown},
		"lost":                         {claim.Record{State: claim.Lost, Owner: me, Request: request}, claim.Unknown},
		"finished":                     {claim.Record{State: claim.Finished, Owner: earlier, Request: request}, claim.Replay},
		"other request":                {claim.Record{State: claim.Finished, Owner: earlier}, claim.Mismatch},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, claim.Judge(c.row, me, request))
		})
	}
}

// Guards against a hand-over that is repeated or that follows an abandonment.
func TestCallPhases(t *testing.T) {
	c := claim.Begin(me, "a", request)
	release, err := c.Abandon()
	require.NoError(t, err)
	require.False(t, release)
	run, err := c.ClaimStored()
	require.NoError(t, err)
	require.False(t, run)
	require.Equal(t, claim.Released, c.Record().State)

	c = claim.Begin(me, "b", request)
	require.Error(t, c.Finish(claim.Answer{}))
	run, err = c.ClaimStored()
	require.NoError(t, err)
	require.True(t, run)
	_, err = c.ClaimStored()
	require.Error(t, err)
	require.NoError(t, c.Lose())
	require.Error(t, c.Finish(claim.Answer{}))
	require.Equal(t, claim.Unknown, c.Join(request))
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

// model runs one call through agents that crash, lose answers and compete.
type model struct {
	row      table
	agents   []*agent
	attempts int
	runs     int
}

func (m *model) agent(t *rapid.T) *agent {
	return rapid.SampledFrom(m.agents).Draw(t, "agent")
}

func (m *model) begin(t *rapid.T) {
	a := m.agent(t)
	if a.call != nil {
		t.Skip("the agent has the call in memory")
	}
	m.attempts++
	a.call = claim.Begin(a.owner, core.AttemptID(fmt.Sprint(m.attempts)), request)
}

func (m *model) writeClaim(t *rapid.T) {
	a := m.agent(t)
	if a.call == nil || a.call.Phase() != claim.Claiming {
		t.Skip("no claim to write")
	}
	if rapid.Bool().Draw(t, "lost") {
		a.late = &lateWrite{a.call.Record(), a.call.Version()}
		a.call = nil
		return
	}
	if !m.row.put(a.call.Record(), a.call.Version()) {
		verdict, err := a.call.ClaimConflict(m.row.record, m.row.version)
		require.NoError(t, err)
		if verdict != claim.Take {
			a.call = nil
		}
		return
	}
	run, err := a.call.ClaimStored()
	require.NoError(t, err)
	if run && rapid.Bool().Draw(t, "handed over") {
		m.runs++
		a.finish(t)
	} else if run {
		_, err = a.call.Abandon()
		require.NoError(t, err)
	}
}

func (a *agent) finish(t *rapid.T) {
	if rapid.Bool().Draw(t, "answered") {
		require.NoError(t, a.call.Finish(claim.Answer{Status: 200}))
		return
	}
	require.NoError(t, a.call.Lose())
}

func (m *model) writeResult(t *rapid.T) {
	a := m.agent(t)
	if a.call == nil || a.call.Phase() != claim.Storing {
		t.Skip("no result to write")
	}
	if m.row.put(a.call.Record(), a.call.Version()) {
		require.NoError(t, a.call.ResultStored())
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
	}
}

// Guards against a second run under any order of crashes, competing agents,
// lost answers and writes that take effect late.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{}
		for _, u := range []core.UpstreamID{"u1", "u2"} {
			m.agents = append(m.agents, &agent{owner: claim.Owner{Upstream: u, Incarnation: 1}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "claim": m.writeClaim, "result": m.writeResult,
			"late": m.late, "crash": m.crash, "": m.check,
		})
	})
}
