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

var epoch = time.Date(2026, 6, 1, 0, 0, 0, 0, time.UTC)

func testModel(deadline time.Duration) *bundle.Model {
	return &bundle.Model{ID: "gate", Versions: []core.WeightVersion{"v1", "v2"}, Stable: "v1", Rollout: &bundle.Rollout{
		To: "v2", CanaryShare: 0.25, CanaryUpstreams: 2, Deadline: epoch.Add(deadline),
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

// Guards against a plan that is accepted although it ends after the deadline,
// and against one that is refused although there is time.
func TestCheckDeadline(t *testing.T) {
	engines := testEngines(12)
	// 1 s for two canary loads, 5 s for judging (and ten other loads), 4 s for
	// the ramp, 2 s margin.
	plan, err := CheckDeadline(epoch, testModel(12*time.Second), engines, DefaultTiming())
	require.NoError(t, err)
	require.Equal(t, epoch, plan.LoadBy)
	require.Equal(t, epoch.Add(6*time.Second), plan.PromoteBy)
	_, err = CheckDeadline(epoch, testModel(11*time.Second), engines, DefaultTiming())
	require.True(t, errs.Is(err, errs.Invalid))
	require.ErrorContains(t, err, "needs 12s")
	require.ErrorContains(t, err, "set the deadline to 2026-06-01T00:00:13Z or later")
	_, err = CheckDeadline(epoch, testModel(time.Hour), engines[:2], DefaultTiming())
	require.ErrorContains(t, err, "2 are open")
}

// Guards against a share spread thinly over many upstreams, and against one
// above the bundle's canary share.
func TestChooseCanary(t *testing.T) {
	closed := testEngines(12)
	closed[0].Open = false
	cases := []struct {
		name    string
		engines []Engine
		limit   int
		busy    float64
		want    []core.UpstreamID
		share   float64
		full    bool
	}{
		{"fills both, in two failure domains", testEngines(12), 2, 80, []core.UpstreamID{"e00", "e04"}, 0.2, true},
		{"fills one of three", testEngines(12), 3, 40, []core.UpstreamID{"e00"}, 0.2, true},
		{"too little traffic for one", testEngines(12), 2, 10, []core.UpstreamID{"e00"}, 0.25, false},
		{"skips a closed upstream", closed, 1, 80, []core.UpstreamID{"e01"}, 0.1, true},
		{"keeps one on the old version", testEngines(2), 2, 100, []core.UpstreamID{"e00"}, 0.08, true},
		{"none to spare", testEngines(1), 1, 100, nil, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := ChooseCanary(tc.engines, tc.limit, 0.25, tc.busy)
			require.Equal(t, tc.want, c.Upstreams)
			require.InDelta(t, tc.share, c.Share, 1e-9)
			require.Equal(t, tc.full, c.FullLoad)
		})
	}
}

// drive simulates a driver that decides four times a second; a load takes
// 0.7 s. It returns the phases passed through and the last decision.
type drive struct {
	t         *testing.T
	o         Observation
	loadEnds  map[core.UpstreamID]time.Time
	rate      float64 // samples a second on a share of 1
	samples   float64
	phases    []Phase
	maxLoads  int
	withdrawn string
	doneAt    time.Time
}

func newDrive(t *testing.T, deadline time.Duration) *drive {
	return &drive{
		t: t, rate: 200, loadEnds: make(map[core.UpstreamID]time.Time),
		o: Observation{Now: epoch, StageStart: epoch, Model: testModel(deadline), Engines: testEngines(12), MeanRuns: 60},
	}
}

func (d *drive) step() {
	d.o.Now = d.o.Now.Add(250 * time.Millisecond)
	loading := 0
	for i := range d.o.Engines {
		e := &d.o.Engines[i]
		if e.Loading && !d.o.Now.Before(d.loadEnds[e.ID]) {
			e.Loading, e.Loaded = false, true
		}
		if e.Loading {
			loading++
		}
	}
	d.samples += d.rate * d.o.Stage.Share / 4
	d.o.Samples = uint64(d.samples)
	decision := Decide(d.o, DefaultTiming())
	for _, id := range decision.Load {
		for i := range d.o.Engines {
			if d.o.Engines[i].ID == id {
				d.o.Engines[i].Loading = true
				d.loadEnds[id] = d.o.Now.Add(700 * time.Millisecond)
				loading++
			}
		}
	}
	d.maxLoads = max(d.maxLoads, loading)
	if decision.Withdraw {
		d.o.Withdrawn = true
		d.withdrawn = decision.Reason
	}
	if decision.NextStage != nil {
		d.advance(*decision.NextStage)
	}
}

func (d *drive) advance(next facts.ModelStage) {
	d.o.Stage, d.o.StageStart = next, d.o.Now
	phase := phaseOfStage(next)
	if len(d.phases) == 0 || d.phases[len(d.phases)-1] != phase {
		d.phases = append(d.phases, phase)
	}
	if phase == PhaseCanary {
		require.LessOrEqual(d.t, next.Share, d.o.Model.Rollout.CanaryShare)
	}
	if phase == PhaseDone && d.doneAt.IsZero() {
		d.doneAt = d.o.Now
	}
}

func (d *drive) run(length time.Duration) {
	for end := d.o.Now.Add(length); d.o.Now.Before(end); {
		d.step()
	}
}

// Guards against good versions that miss their deadline and against more than
// two loads at a time.
func TestGoodVersionIsDoneByDeadline(t *testing.T) {
	for _, deadline := range []time.Duration{13 * time.Second, time.Minute} {
		d := newDrive(t, deadline)
		d.run(deadline)
		require.Equal(t, []Phase{PhaseLoading, PhaseCanary, PhasePromoted, PhaseDone}, d.phases)
		require.Empty(t, d.withdrawn)
		require.Equal(t, 2, d.maxLoads)
		require.True(t, d.doneAt.Before(epoch.Add(deadline)))
	}
}

// Guards against a rollout that restarts from the beginning, or stalls, when
// another process takes the lease over.
func TestNewDriverContinues(t *testing.T) {
	d := newDrive(t, 30*time.Second)
	for range 30 {
		d.run(time.Second)
		d.o.StageStart = d.o.Now // a new driver has seen the stage only just now
	}
	require.Equal(t, []Phase{PhaseLoading, PhaseCanary, PhasePromoted, PhaseDone}, d.phases)
	require.Empty(t, d.withdrawn)
}

// Guards against versions that are neither taken over nor withdrawn.
func TestWithdrawals(t *testing.T) {
	finding := &Finding{Signal: SignalErrors, Samples: 30}
	cases := []struct {
		name   string
		change func(*drive)
		reason string
	}{
		{"found bad in the canary stage", func(d *drive) { d.run(4 * time.Second); d.o.Finding = finding }, "errors worse"},
		{"found bad after promotion", func(d *drive) { d.run(20 * time.Second); d.o.Finding = finding }, "errors worse"},
		{"no traffic to judge", func(d *drive) { d.rate = 0 }, "too few to judge"},
		{"weights never load", func(d *drive) {
			for i := range d.o.Engines {
				d.o.Engines[i].Loading = true
				d.loadEnds[d.o.Engines[i].ID] = epoch.Add(time.Hour)
			}
		}, "did not load the weights"},
		{"driver starts after the deadline", func(d *drive) { d.o.Now = epoch.Add(time.Hour) }, "deadline"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newDrive(t, 30*time.Second)
			tc.change(d)
			d.run(40 * time.Second)
			require.Contains(t, d.withdrawn, tc.reason)
			require.Equal(t, facts.StageNone, d.o.Stage.Stage)
		})
	}
}

// Guards against a canary that stays on a drained upstream before it started.
func TestDrainDuringLoadingChoosesAgain(t *testing.T) {
	d := newDrive(t, 30*time.Second)
	d.run(250 * time.Millisecond)
	d.o.Engines[0].Open = false
	d.run(25 * time.Second)
	require.NotContains(t, d.phases, PhaseWithdrawn)
	require.Equal(t, PhaseDone, d.phases[len(d.phases)-1])
}

// Guards against a canary stage without traffic after its upstreams have left.
func TestDrainDuringCanaryChoosesAgain(t *testing.T) {
	d := newDrive(t, 60*time.Second)
	for len(d.phases) < 2 {
		d.step()
	}
	for i := range d.o.Engines {
		id := d.o.Engines[i].ID
		d.o.Engines[i].Open = id != d.o.Stage.Upstreams[0] && id != d.o.Stage.Upstreams[len(d.o.Stage.Upstreams)-1]
	}
	d.run(50 * time.Second)
	require.Equal(t, []Phase{PhaseLoading, PhaseCanary, PhaseLoading, PhaseCanary, PhasePromoted, PhaseDone}, d.phases)
}

// Guards against a partly promoted version that serves on every engine, and
// against a withdrawn one that still serves.
func TestPhaseAndVersionInView(t *testing.T) {
	m := testModel(time.Hour)
	b := &bundle.Bundle{Models: []bundle.Model{*m}, Upstreams: []bundle.Upstream{
		{ID: "e1", Kind: bundle.KindEngine, Model: "gate"}, {ID: "e2", Kind: bundle.KindEngine, Model: "gate"},
	}}
	v := &facts.View{Index: bundle.NewIndex(b)}
	stage := func(s facts.ModelStage) { v.Head.Rollouts = map[core.ModelID]facts.ModelStage{"gate": s} }
	stage(facts.ModelStage{Stage: facts.StagePromoted, Share: 0.5, Upstreams: []core.UpstreamID{"e1"}})
	require.Equal(t, PhasePromoted, PhaseOf(v, m))
	require.EqualValues(t, "v2", v.ServedVersion(v.Index.Upstreams["e1"]))
	require.EqualValues(t, "v1", v.ServedVersion(v.Index.Upstreams["e2"]))
	stage(completeStage())
	require.Equal(t, PhaseDone, PhaseOf(v, m))
	require.EqualValues(t, "v2", v.ServedVersion(v.Index.Upstreams["e2"]))
	v.Restrictions = map[facts.Subject]facts.Restriction{facts.VersionSubject("gate", "v2"): {Stamp: 1}}
	require.Equal(t, PhaseWithdrawn, PhaseOf(v, m))
	require.EqualValues(t, "v1", v.ServedVersion(v.Index.Upstreams["e2"]))
	require.Len(t, Engines(v, "gate"), 2)
}
