package operator

import (
	"context"
	"math/bits"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/entry"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/rollout"
)

// sampleRingSize is the capacity for queued samples. It is enough for about one minute
// at the target rate of an entry. When the ring is full, the oldest samples are
// dropped. Both versions lose samples equally.
const sampleRingSize = 4096

// perTokenSlowOffset replaces rollout.Limits.SlowOffset for the time per token. It is
// smaller than the offset for first tokens, because a token takes tens of milliseconds
// at most.
const perTokenSlowOffset = 2 * time.Millisecond

// judgesPerRollout is the number of statistical tests (rollout.Judge) that an entry
// runs for one rollout. One tests errors and the time to the first token, the other
// tests the time per token. They divide the false alarm rate.
const judgesPerRollout = 2

// JudgeOptions configure a judge.
type JudgeOptions struct {
	Control Control
	// Views receives each new view, from control.Control.Subscribe. It may be nil.
	Views *ring.Ring[*facts.View]
	// EntryCount returns the number of entries that run a judge, according to the
	// membership.
	EntryCount func() int
	// SampleReporter receives the number of samples for the driver.
	SampleReporter SampleReporter
	// Limits defaults to rollout.DefaultLimits. The false alarm rate applies to one
	// rollout and all entries together.
	Limits rollout.Limits
	Log    logrus.FieldLogger
}

// SampleReporter receives the number of samples of a new version on this entry.
// SampleCounts implements it.
type SampleReporter interface {
	// ReportSamples never blocks.
	ReportSamples(key RolloutKey, samples uint64)
}

// Judge is the duty that judges the new versions of all rollouts on this entry. It
// runs the statistical tests of package rollout (rollout.Judge) and withdraws a bad
// version by a restriction, before and after the promotion. Any entry can do so alone,
// also while the table is unavailable.
type Judge struct {
	opts    JudgeOptions
	samples *ring.Ring[entry.Sample]
}

var _ entry.Judge = (*Judge)(nil)

// NewJudge returns a judge. The error has the kind errs.Invalid.
func NewJudge(o JudgeOptions) (*Judge, error) {
	if o.Control == nil || o.EntryCount == nil || o.SampleReporter == nil || o.Log == nil {
		return nil, errs.New(errs.Invalid, "set control, entry count, sample reporter and log", "judge options are incomplete")
	}
	if o.Limits.FalseAlarmRate == 0 {
		o.Limits = rollout.DefaultLimits()
	}
	if o.Views == nil {
		o.Views = ring.New[*facts.View](1)
	}
	return &Judge{opts: o, samples: ring.New[entry.Sample](sampleRingSize)}, nil
}

// Observe implements entry.Judge. It records the sample of one prompt and never
// blocks. When the ring is full, the oldest sample is dropped.
func (j *Judge) Observe(s entry.Sample) { j.samples.Push(s) }

// DroppedSamples returns the number of samples that were dropped because the ring
// was full.
func (j *Judge) DroppedSamples() uint64 { return j.samples.Dropped() }

// Run is the duty that owns the statistical tests.
func (j *Judge) Run(ctx context.Context) error {
	d := &judgeDuty{JudgeOptions: j.opts, tests: make(map[core.ModelID]*rolloutTest)}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-j.opts.Views.Ready():
			j.opts.Views.TryReceive()
		case <-j.samples.Ready():
		}
		d.updateTests(ctx, j.opts.Control.View())
		for {
			s, ok := j.samples.TryReceive()
			if !ok {
				break
			}
			d.addSample(ctx, s)
		}
	}
}

// judgeDuty is the state of the judge duty.
type judgeDuty struct {
	JudgeOptions
	view  *facts.View
	tests map[core.ModelID]*rolloutTest
}

// rolloutTest contains the statistical tests of the new version of one rollout.
type rolloutTest struct {
	key RolloutKey
	// firstTokenJudge tests errors and the time to the first token, perTokenJudge the
	// time per token.
	firstTokenJudge, perTokenJudge *rollout.Judge
	finding                        *rollout.Finding
	// reason describes the finding for the restriction.
	reason string
}

// updateTests starts and ends tests according to the rollouts in the view. A test runs
// in all stages and after the promotion, until operators sign a bundle without the
// rollout.
func (d *judgeDuty) updateTests(ctx context.Context, v *facts.View) {
	if v == d.view || !v.HasBundle() {
		return
	}
	d.view = v
	for id := range d.tests {
		if _, ok := rolloutKey(v, v.Index.Models[id]); !ok {
			delete(d.tests, id)
		}
	}
	for i := range v.Index.Bundle.Models {
		m := &v.Index.Bundle.Models[i]
		key, ok := rolloutKey(v, m)
		if !ok {
			continue
		}
		t := d.tests[m.ID]
		if t == nil || t.key != key {
			d.tests[m.ID] = d.newRolloutTest(m, key)
			continue
		}
		// The test has a finding, but the restriction is not in force: Restrict has
		// failed before. It is retried. A permission that lifts the restriction does
		// not lead here, because it changes the key (RolloutKey.ClearedEpoch) and
		// starts a new test above.
		if t.finding != nil && v.VersionAllowed(m.ID, m.Rollout.To) {
			d.withdraw(ctx, t)
		}
	}
}

func (d *judgeDuty) newRolloutTest(m *bundle.Model, key RolloutKey) *rolloutTest {
	limits := d.Limits
	limits.FalseAlarmRate /= float64(judgesPerRollout * roundUpEntries(d.EntryCount()))
	perTokenLimits := limits
	perTokenLimits.SlowOffset = perTokenSlowOffset
	return &rolloutTest{
		key:             key,
		firstTokenJudge: rollout.NewJudge(m.Stable, m.Rollout.To, limits),
		perTokenJudge:   rollout.NewJudge(m.Stable, m.Rollout.To, perTokenLimits),
	}
}

// roundUpEntries rounds the number of entries up to a power of two, so that entries
// that start during a rollout do not immediately raise the false alarm rate above its
// limit.
func roundUpEntries(entries int) int { return 1 << bits.Len(uint(max(entries, 1)-1)) }

func (d *judgeDuty) addSample(ctx context.Context, s entry.Sample) {
	t := d.tests[s.Model]
	if t == nil || t.finding != nil || (s.Version != t.key.From && s.Version != t.key.To) {
		return
	}
	sample := rollout.Sample{
		Version: s.Version, Group: rollout.CallGroup{Workspace: s.Workspace, Class: s.Class},
		FinishedAt: s.FinishedAt, Failed: s.Failed, Latency: s.EngineTimeToFirstToken, PrefillTokens: s.RecomputedTokens,
	}
	finding, latencyKind := t.firstTokenJudge.Add(sample), "first token"
	if finding == nil && !s.Failed && s.TimePerToken > 0 {
		sample.Latency, sample.PrefillTokens = s.TimePerToken, 0
		finding, latencyKind = t.perTokenJudge.Add(sample), "time per token"
	}
	if finding != nil {
		t.finding = finding
		t.reason = finding.String()
		if finding.Signal == rollout.SignalLatency {
			t.reason = latencyKind + ": " + t.reason
		}
		d.withdraw(ctx, t)
		return
	}
	if s.Version == t.key.To && d.needsCount(t.key.Model) {
		d.SampleReporter.ReportSamples(t.key, t.firstTokenJudge.Samples())
	}
}

// needsCount reports whether the driver still needs the number of samples for the
// promotion.
func (d *judgeDuty) needsCount(m core.ModelID) bool {
	return d.view.Head.Rollouts[m].Stage < facts.StagePromoted
}

func (d *judgeDuty) withdraw(ctx context.Context, t *rolloutTest) {
	err := d.Control.Restrict(ctx, facts.Restriction{
		Subject: facts.VersionSubject(t.key.Model, t.key.To), Reason: t.reason,
	})
	log := d.Log.WithFields(logrus.Fields{
		"event": "version_judged_bad", "model": t.key.Model, "version": t.key.To, "route": t.finding.Group.String(), "reason": t.reason,
	})
	if err != nil {
		log.WithError(err).Error("version was judged bad, but the restriction that withdraws it failed")
		return
	}
	log.Warn("version was judged bad and withdrawn by a restriction")
}
