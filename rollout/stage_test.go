package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
)

var testStart = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func testModel(deadline time.Duration) *bundle.Model {
	return &bundle.Model{ID: "gate", Versions: []core.WeightVersion{"v1", "v2"}, Stable: "v1", Rollout: &bundle.Rollout{
		To: "v2", CanaryShare: 0.25, CanaryUpstreams: 2, Deadline: testStart.Add(deadline),
	}}
}

func testEngines(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{
			ID: core.UpstreamID(fmt.Sprintf("e%02d", i)), Window: 8, Open: true,
			FailureDomain: core.FailureDomain(fmt.Sprintf("d%d", i/4)),
		}
	}
	return out
}

// Guards against accepting a rollout that ends after its deadline, and against
// rejecting one that meets it.
func TestCheckDeadline(t *testing.T) {
	engines := testEngines(12)
	// The plan needs 1 s for two canary loads, 5 s for judging (and ten other
	// loads), 4 s for the ramp and 2 s margin.
	plan, err := CheckDeadline(testStart, testModel(12*time.Second), engines, DefaultTiming())
	require.NoError(t, err)
	require.Equal(t, testStart, plan.LoadBy)
	require.Equal(t, testStart.Add(6*time.Second), plan.PromoteBy)
	_, err = CheckDeadline(testStart, testModel(11*time.Second), engines, DefaultTiming())
	require.True(t, errs.Is(err, errs.Invalid))
	require.ErrorContains(t, err, "needs 12s")
	require.ErrorContains(t, err, "set the deadline to 2026-06-01T00:00:13Z or later")
	_, err = CheckDeadline(testStart, testModel(time.Hour), engines[:2], DefaultTiming())
	require.ErrorContains(t, err, "2 are open")
}

// Guards against a canary share that is distributed over more upstreams than it
// can fill, and against a share above the bundle's canary share.
func TestSelectCanary(t *testing.T) {
	closed := testEngines(12)
	closed[0].Open = false
	cases := []struct {
		name     string
		engines  []Engine
		limit    int
		meanRuns float64
		want     []core.UpstreamID
		share    float64
		full     bool
	}{
		{"fills both, in two failure domains", testEngines(12), 2, 80, []core.UpstreamID{"e00", "e04"}, 0.2, true},
		{"fills one of three", testEngines(12), 3, 40, []core.UpstreamID{"e00"}, 0.2, true},
		{"too little traffic for one", testEngines(12), 2, 10, []core.UpstreamID{"e00"}, 0.25, false},
		{"skips a closed upstream", closed, 1, 80, []core.UpstreamID{"e01"}, 0.1, true},
		{"leaves one on the old version", testEngines(2), 2, 100, []core.UpstreamID{"e00"}, 0.08, true},
		{"none to spare", testEngines(1), 1, 100, nil, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := SelectCanary(tc.engines, tc.limit, 0.25, tc.meanRuns)
			require.Equal(t, tc.want, c.Upstreams)
			require.InDelta(t, tc.share, c.Share, 1e-9)
			require.Equal(t, tc.full, c.FullLoad)
		})
	}
}

// driverSimulation simulates a driver that decides four times a second. A load
// takes 0.7 s. It records the sequence of phases, the maximum number of
// concurrent loads, the reason of a withdrawal and the time of completion.
type driverSimulation struct {
	t                  *testing.T
	observation        Observation
	loadDoneAt         map[core.UpstreamID]time.Time
	sampleRate         float64 // samples per second at a share of 1
	samples            float64
	phases             []Phase
	maxConcurrentLoads int
	withdrawalReason   string
	doneAt             time.Time
}

func newDriverSimulation(t *testing.T, deadline time.Duration) *driverSimulation {
	return &driverSimulation{
		t: t, sampleRate: 200, loadDoneAt: make(map[core.UpstreamID]time.Time),
		observation: Observation{Now: testStart, StageStart: testStart, Model: testModel(deadline), Engines: testEngines(12), MeanRuns: 60},
	}
}

func (d *driverSimulation) step() {
	d.observation.Now = d.observation.Now.Add(250 * time.Millisecond)
	loading := 0
	for i := range d.observation.Engines {
		e := &d.observation.Engines[i]
		if e.Loading && !d.observation.Now.Before(d.loadDoneAt[e.ID]) {
			e.Loading, e.Loaded = false, true
		}
		if e.Loading {
			loading++
		}
	}
	d.samples += d.sampleRate * d.observation.Stage.Share / 4
	d.observation.Samples = uint64(d.samples)
	decision := Decide(d.observation, DefaultTiming())
	for _, id := range decision.Load {
		for i := range d.observation.Engines {
			if d.observation.Engines[i].ID == id {
				d.observation.Engines[i].Loading = true
				d.loadDoneAt[id] = d.observation.Now.Add(700 * time.Millisecond)
				loading++
			}
		}
	}
	d.maxConcurrentLoads = max(d.maxConcurrentLoads, loading)
	if decision.Withdraw {
		d.observation.Withdrawn = true
		d.withdrawalReason = decision.Reason
	}
	if decision.NextStage != nil {
		d.advance(*decision.NextStage)
	}
}

func (d *driverSimulation) advance(next facts.RolloutState) {
	d.observation.Stage, d.observation.StageStart = next, d.observation.Now
	phase := phaseOfStage(next)
	if len(d.phases) == 0 || d.phases[len(d.phases)-1] != phase {
		d.phases = append(d.phases, phase)
	}
	if phase == PhaseCanary {
		require.LessOrEqual(d.t, next.Share, d.observation.Model.Rollout.CanaryShare)
	}
	if phase == PhaseDone && d.doneAt.IsZero() {
		d.doneAt = d.observation.Now
	}
}

func (d *driverSimulation) run(length time.Duration) {
	for end := d.observation.Now.Add(length); d.observation.Now.Before(end); {
		d.step()
	}
}

// Guards against good versions that miss their deadline, and against more than
// two concurrent loads.
func TestGoodVersionIsDoneByDeadline(t *testing.T) {
	for _, deadline := range []time.Duration{13 * time.Second, time.Minute} {
		d := newDriverSimulation(t, deadline)
		d.run(deadline)
		require.Equal(t, []Phase{PhaseLoading, PhaseCanary, PhasePromoted, PhaseDone}, d.phases)
		require.Empty(t, d.withdrawalReason)
		require.Equal(t, 2, d.maxConcurrentLoads)
		require.True(t, d.doneAt.Before(testStart.Add(deadline)))
	}
}

// Guards against a rollout that restarts from the beginning or stalls when
// another process acquires the lease. The new driver starts to observe the stage
// at that time.
func TestNewDriverContinues(t *testing.T) {
	d := newDriverSimulation(t, 30*time.Second)
	for range 30 {
		d.run(time.Second)
		d.observation.StageStart = d.observation.Now // a new driver observes the stage only from now on
	}
	require.Equal(t, []Phase{PhaseLoading, PhaseCanary, PhasePromoted, PhaseDone}, d.phases)
	require.Empty(t, d.withdrawalReason)
}

// Guards against versions that are neither completed nor withdrawn.
func TestWithdrawals(t *testing.T) {
	finding := &Finding{Signal: SignalErrors, Samples: 30}
	cases := []struct {
		name   string
		change func(*driverSimulation)
		reason string
	}{
		{"found bad in the canary stage", func(d *driverSimulation) { d.run(4 * time.Second); d.observation.Finding = finding }, "errors worse"},
		{"found bad after promotion", func(d *driverSimulation) { d.run(20 * time.Second); d.observation.Finding = finding }, "errors worse"},
		{"no traffic to judge", func(d *driverSimulation) { d.sampleRate = 0 }, "too few to judge"},
		{"weights never load", func(d *driverSimulation) {
			for i := range d.observation.Engines {
				d.observation.Engines[i].Loading = true
				d.loadDoneAt[d.observation.Engines[i].ID] = testStart.Add(time.Hour)
			}
		}, "did not load the weights"},
		{"driver starts after the deadline", func(d *driverSimulation) { d.observation.Now = testStart.Add(time.Hour) }, "deadline"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newDriverSimulation(t, 30*time.Second)
			tc.change(d)
			d.run(40 * time.Second)
			require.Contains(t, d.withdrawalReason, tc.reason)
			require.Equal(t, facts.StageNone, d.observation.Stage.Stage)
		})
	}
}

// Guards against a canary stage on an upstream that was drained while the canary
// upstreams were loading.
func TestDrainDuringLoadingReselectsCanary(t *testing.T) {
	d := newDriverSimulation(t, 30*time.Second)
	d.run(250 * time.Millisecond)
	d.observation.Engines[0].Open = false
	d.run(25 * time.Second)
	require.NotContains(t, d.phases, PhaseWithdrawn)
	require.Equal(t, PhaseDone, d.phases[len(d.phases)-1])
}

// Guards against a canary stage that continues without traffic after all its
// upstreams were drained.
func TestDrainDuringCanaryReselectsCanary(t *testing.T) {
	d := newDriverSimulation(t, 60*time.Second)
	for len(d.phases) < 2 {
		d.step()
	}
	for i := range d.observation.Engines {
		id := d.observation.Engines[i].ID
		d.observation.Engines[i].Open = id != d.observation.Stage.Upstreams[0] && id != d.observation.Stage.Upstreams[len(d.observation.Stage.Upstreams)-1]
	}
	d.run(50 * time.Second)
	require.Equal(t, []Phase{PhaseLoading, PhaseCanary, PhaseLoading, PhaseCanary, PhasePromoted, PhaseDone}, d.phases)
}

// Guards against a partly promoted version that serves on all engines, and
// against a withdrawn version that still serves.
func TestPhaseAndVersionInView(t *testing.T) {
	m := testModel(time.Hour)
	b := &bundle.Bundle{Models: []bundle.Model{*m}, Upstreams: []bundle.Upstream{
		{ID: "e1", Kind: bundle.KindEngine, Model: "gate"}, {ID: "e2", Kind: bundle.KindEngine, Model: "gate"},
	}}
	v := &facts.View{Index: bundle.NewIndex(b)}
	setStage := func(s facts.RolloutState) { v.Head.Rollouts = map[core.ModelID]facts.RolloutState{"gate": s} }
	setStage(facts.RolloutState{Stage: facts.StagePromoted, Share: 0.5, Upstreams: []core.UpstreamID{"e1"}})
	require.Equal(t, PhasePromoted, PhaseOf(v, m))
	require.EqualValues(t, "v2", v.ServedVersion(v.Index.Upstreams["e1"]))
	require.EqualValues(t, "v1", v.ServedVersion(v.Index.Upstreams["e2"]))
	setStage(finalStage())
	require.Equal(t, PhaseDone, PhaseOf(v, m))
	require.EqualValues(t, "v2", v.ServedVersion(v.Index.Upstreams["e2"]))
	v.Restrictions = map[facts.Subject]facts.Restriction{facts.VersionSubject("gate", "v2"): {Stamp: 1}}
	require.Equal(t, PhaseWithdrawn, PhaseOf(v, m))
	require.EqualValues(t, "v1", v.ServedVersion(v.Index.Upstreams["e2"]))
	require.Len(t, Engines(v, "gate"), 2)
}
