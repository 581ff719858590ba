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

// TestMain fixes the seed so that each run checks the same sequences.
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
	self    = claim.Owner{Upstream: "u1", Incarnation: 2}
	earlier = claim.Owner{Upstream: "u1", Incarnation: 1}
	request = claim.RequestDigest{1}
)

// Guards against a second run of a call whose row proves that it ran or leaves
// open whether it ran.
func TestDecide(t *testing.T) {
	cases := map[string]struct {
		row  claim.Record
		want claim.Decision
	}{
		"no row":   {claim.Record{}, claim.MayClaim},
		"released": {claim.Record{State: claim.Released, Owner: earlier}, claim.MayClaim},
		"claim of this incarnation, not in memory": {claim.Record{State: claim.Claimed, Owner: self, Request: request}, claim.MayClaim},
		"claim of earlier incarnation":             {claim.Record{State: claim.Claimed, Owner: earlier, Request: request}, claim.Unknown},
		"lost":                                     {claim.Record{State: claim.Lost, Owner: self, Request: request}, claim.Unknown},
		"finished":                                 {claim.Record{State: claim.Finished, Owner: earlier, Request: request}, claim.Replay},
		"other request":                            {claim.Record{State: claim.Finished, Owner: earlier}, claim.Mismatch},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, claim.Decide(c.row, self, request))
		})
	}
}

// Guards against an attempt that is sent to the upstream twice, or that is sent
// after it was abandoned.
func TestCallPhases(t *testing.T) {
	c := claim.NewCall(self, "a", request)
	release, err := c.Abandon()
	require.NoError(t, err)
	require.False(t, release)
	run, err := c.ClaimStored()
	require.NoError(t, err)
	require.False(t, run)
	require.Equal(t, claim.Released, c.Record().State)

	c = claim.NewCall(self, "b", request)
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

// agent models the agent process of one upstream.
type agent struct {
	owner claim.Owner
	call  *claim.Call
	// delayed is a claim write whose acknowledgement was lost and that may take
	// effect later.
	delayed *delayedWrite
}

type delayedWrite struct {
	record  claim.Record
	version uint64
}

// table models the call's row.
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

// model runs one call through competing agents that crash and lose
// acknowledgements. It follows spec/claim.pml, transition by transition, with
// the Go decisions in place of the specification's. It adds agents of two
// upstreams, releases and writes that take effect late.
type model struct {
	row      table
	agents   []*agent
	attempts int
	runs     int
	// firstResponse is the response of the run that was reported as complete.
	firstResponse claim.Response
	// notRun contains the attempts that were reported as not run.
	notRun map[core.AttemptID]bool
}

// reply records the reply to an attempt that may not run.
func (m *model) reply(t *rapid.T, attempt core.AttemptID, d claim.Decision, stored claim.Response) {
	switch d {
	case claim.Replay:
		require.Equal(t, 1, m.runs, "response without a run")
		require.Equal(t, m.firstResponse, stored, "not the first response")
	case claim.Wait:
		m.notRun[attempt] = true
	}
}

func (m *model) agent(t *rapid.T) *agent {
	return rapid.SampledFrom(m.agents).Draw(t, "agent")
}

func (m *model) startAttempt(t *rapid.T) {
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
		a.delayed = &delayedWrite{a.call.Record(), a.call.Version()}
		m.notRun[a.call.Attempt()] = true
		a.call = nil
		return
	}
	if !m.row.put(a.call.Record(), a.call.Version()) {
		decision, err := a.call.ClaimConflict(m.row.record, m.row.version)
		require.NoError(t, err)
		if decision != claim.MayClaim {
			m.reply(t, a.call.Attempt(), decision, m.row.record.Response)
			a.call = nil
		}
		return
	}
	run, err := a.call.ClaimStored()
	require.NoError(t, err)
	if run && rapid.Bool().Draw(t, "sent to upstream") {
		require.False(t, m.notRun[a.call.Attempt()], "an attempt reported as not run was run")
		m.runs++
		m.finish(t, a)
	} else if run {
		_, err = a.call.Abandon()
		require.NoError(t, err)
	}
}

func (m *model) finish(t *rapid.T, a *agent) {
	if rapid.Bool().Draw(t, "response received") {
		m.firstResponse = claim.Response{Status: 200, Object: string(a.call.Attempt())}
		require.NoError(t, a.call.Finish(m.firstResponse))
		return
	}
	require.NoError(t, a.call.MarkLost())
}

// abandon models a deadline that expires before the claim is in the table.
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
	rewrite, err := a.call.ResultConflict(m.row.record, m.row.version)
	require.NoError(t, err)
	if !rewrite {
		a.call = nil
	}
}

func (m *model) applyDelayedWrite(t *rapid.T) {
	a := m.agent(t)
	if a.delayed == nil {
		t.Skip("no delayed write")
	}
	m.row.put(a.delayed.record, a.delayed.version)
	a.delayed = nil
}

func (m *model) crash(t *rapid.T) {
	a := m.agent(t)
	a.owner.Incarnation++
	a.call = nil
}

func (m *model) check(t *rapid.T) {
	require.LessOrEqual(t, m.runs, 1, "the call ran more than once")
	if m.row.record.State == claim.Finished {
		require.Equal(t, 1, m.runs, "the row contains a response without a run")
		require.Equal(t, m.firstResponse, m.row.record.Response)
	}
}

// Guards against code that departs from spec/claim.pml: a second run, a run of
// an attempt that was reported as not run, and a replay of a different response,
// under any sequence of crashes, competing agents, lost acknowledgements and
// delayed writes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{notRun: make(map[core.AttemptID]bool)}
		for _, u := range []core.UpstreamID{"u1", "u2"} {
			m.agents = append(m.agents, &agent{owner: claim.Owner{Upstream: u, Incarnation: 1}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.startAttempt, "claim": m.writeClaim, "result": m.writeResult,
			"late": m.applyDelayedWrite, "crash": m.crash, "abandon": m.abandon, "": m.check,
		})
	})
}
