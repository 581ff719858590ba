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
	self          = claim.Owner{Upstream: "u1", Incarnation: 2}
	earlierOwner  = claim.Owner{Upstream: "u1", Incarnation: 1}
	requestDigest = claim.RequestDigest{1}
)

// Guards against a second run of a call whose row shows that it ran or may have
// run.
func TestDecide(t *testing.T) {
	cases := map[string]struct {
		row  claim.Row
		want claim.Decision
	}{
		"no row":   {claim.Row{}, claim.MayClaim},
		"released": {claim.Row{State: claim.Released, Owner: earlierOwner}, claim.MayClaim},
		"claim of this incarnation, not in memory": {claim.Row{State: claim.Claimed, Owner: self, RequestDigest: requestDigest}, claim.MayClaim},
		"claim of earlier incarnation":             {claim.Row{State: claim.Claimed, Owner: earlierOwner, RequestDigest: requestDigest}, claim.MayHaveRun},
		"lost":                                     {claim.Row{State: claim.Lost, Owner: self, RequestDigest: requestDigest}, claim.MayHaveRun},
		"finished":                                 {claim.Row{State: claim.Finished, Owner: earlierOwner, RequestDigest: requestDigest}, claim.Replay},
		"other request":                            {claim.Row{State: claim.Finished, Owner: earlierOwner}, claim.Mismatch},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, claim.Decide(c.row, self, requestDigest))
		})
	}
}

// Guards against an attempt that is sent to the upstream twice, or that is sent
// after it was abandoned.
func TestCallPhases(t *testing.T) {
	c := claim.NewCall(self, "a", requestDigest)
	mustRelease, err := c.Abandon()
	require.NoError(t, err)
	require.False(t, mustRelease)
	mayRun, err := c.RecordClaimStored()
	require.NoError(t, err)
	require.False(t, mayRun)
	require.Equal(t, claim.Released, c.Row().State)

	c = claim.NewCall(self, "b", requestDigest)
	require.Error(t, c.Finish(claim.Response{}))
	mayRun, err = c.RecordClaimStored()
	require.NoError(t, err)
	require.True(t, mayRun)
	_, err = c.RecordClaimStored()
	require.Error(t, err)
	require.NoError(t, c.MarkLost())
	require.Error(t, c.Finish(claim.Response{}))
	require.Equal(t, claim.MayHaveRun, c.DecideDuplicate(requestDigest))
}

// agent models the agent process of one upstream.
type agent struct {
	owner claim.Owner
	call  *claim.Call
	// delayedClaim is a claim write whose acknowledgement was lost and that may take
	// effect later.
	delayedClaim *delayedWrite
}

type delayedWrite struct {
	content claim.Row
	version uint64
}

// storedRow models the call's row in the table.
type storedRow struct {
	content claim.Row
	version uint64
}

func (r *storedRow) put(content claim.Row, version uint64) bool {
	if r.version != version {
		return false
	}
	r.content = content
	r.version++
	return true
}

// model runs one call through competing agents that crash and lose
// acknowledgements. It has the transitions of spec/claim.pml and calls the Go code
// under test for each decision. In addition, it models agents of two upstreams,
// releases, and writes that take effect late.
type model struct {
	row      storedRow
	agents   []*agent
	attempts int
	runs     int
	// response is the response of the run that was reported as complete.
	response claim.Response
	// notRun contains the attempts that were reported as not run.
	notRun map[core.AttemptID]bool
}

// checkReply checks the reply to an attempt that is not allowed to run, and records
// an attempt that was reported as not run.
func (m *model) checkReply(t *rapid.T, attempt core.AttemptID, d claim.Decision, stored claim.Response) {
	switch d {
	case claim.Replay:
		require.Equal(t, 1, m.runs, "response without a run")
		require.Equal(t, m.response, stored, "not the response of the run")
	case claim.ReleasePending:
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
		m.checkReply(t, attempt, a.call.DecideDuplicate(requestDigest), a.call.Row().Response)
		return
	}
	a.call = claim.NewCall(a.owner, attempt, requestDigest)
}

func (m *model) writeClaim(t *rapid.T) {
	a := m.agent(t)
	if a.call == nil || a.call.Phase() != claim.Claiming {
		t.Skip("no claim to write")
	}
	if rapid.Bool().Draw(t, "lost") {
		a.delayedClaim = &delayedWrite{a.call.Row(), a.call.Version()}
		m.notRun[a.call.Attempt()] = true
		a.call = nil
		return
	}
	if !m.row.put(a.call.Row(), a.call.Version()) {
		decision, err := a.call.HandleClaimConflict(m.row.content, m.row.version)
		require.NoError(t, err)
		if decision != claim.MayClaim {
			m.checkReply(t, a.call.Attempt(), decision, m.row.content.Response)
			a.call = nil
		}
		return
	}
	mayRun, err := a.call.RecordClaimStored()
	require.NoError(t, err)
	if mayRun && rapid.Bool().Draw(t, "sent to upstream") {
		require.False(t, m.notRun[a.call.Attempt()], "an attempt reported as not run was run")
		m.runs++
		m.finish(t, a)
	} else if mayRun {
		_, err = a.call.Abandon()
		require.NoError(t, err)
	}
}

func (m *model) finish(t *rapid.T, a *agent) {
	if rapid.Bool().Draw(t, "response received") {
		m.response = claim.Response{Status: 200, BodyObject: string(a.call.Attempt())}
		require.NoError(t, a.call.Finish(m.response))
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
	if m.row.put(a.call.Row(), a.call.Version()) {
		require.NoError(t, a.call.RecordResultStored())
		if a.call.Row().State == claim.Released {
			m.notRun[a.call.Attempt()] = true
		}
		a.call = nil
		return
	}
	rewrite, err := a.call.HandleResultConflict(m.row.content, m.row.version)
	require.NoError(t, err)
	if !rewrite {
		a.call = nil
	}
}

func (m *model) applyDelayedWrite(t *rapid.T) {
	a := m.agent(t)
	if a.delayedClaim == nil {
		t.Skip("no delayed write")
	}
	m.row.put(a.delayedClaim.content, a.delayedClaim.version)
	a.delayedClaim = nil
}

func (m *model) crash(t *rapid.T) {
	a := m.agent(t)
	a.owner.Incarnation++
	a.call = nil
}

func (m *model) check(t *rapid.T) {
	require.LessOrEqual(t, m.runs, 1, "the call ran more than once")
	if m.row.content.State == claim.Finished {
		require.Equal(t, 1, m.runs, "the row contains a response without a run")
		require.Equal(t, m.response, m.row.content.Response)
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
