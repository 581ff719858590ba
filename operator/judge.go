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

// samplesCapacity holds the samples of about a minute at the target rate of an
// entry. Dropping the oldest loses evidence of both versions alike.
const samplesCapacity = 4096

// tokenSlowOffset is how much slower than the factor a token may be. It is
// smaller than the offset of first tokens because tokens take tens of
// milliseconds at most.
const tokenSlowOffset = 2 * time.Millisecond

// testsPerModel counts the judges of one model, which share its false alarm
// rate: errors with the first token, and the time per token.
const testsPerModel = 2

// JudgeOptions configure a judge.
type JudgeOptions struct {
	Control Control
	// Views receives each new view, from control.Control.Subscribe.
	Views *ring.Ring[*facts.View]
	// EntryCount returns the number of entries that run a judge, according to the
	// membership.
	EntryCount func() int
	// SampleReporter receives the number of samples for the driver.
	SampleReporter SampleReporter
	// Limits has a default. Its false alarm rate is that of all entries
	// together for one rollout.
	Limits rollout.Limits
	Log    logrus.FieldLogger
}

// SampleReporter receives the number of samples of a new version on this entry.
// SampleCounts implements it.
type SampleReporter interface {
	// ReportSamples never blocks.
	ReportSamples(key RolloutKey, samples uint64)
}

// Judge is the duty that judges the models under rollout. It withdraws a bad
// version through a restriction, whichever entry finds the fault, with or
// without the table, before promotion and after it.
type Judge struct {
	opts    JudgeOptions
	samples *ring.Ring[entry.Sample]
}

var _ entry.Judge = (*Judge)(nil)

// NewJudge checks the options. Errors have the kind Invalid.
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
	return &Judge{opts: o, samples: ring.New[entry.Sample](samplesCapacity)}, nil
}

// Observe records one prompt. It never blocks; a full ring drops the oldest.
func (j *Judge) Observe(s entry.Sample) { j.samples.Push(s) }

// DroppedSamples returns the number of samples that were dropped because the ring
// was full.
func (j *Judge) DroppedSamples() uint64 { return j.samples.Dropped() }

// Run is the duty that owns the tests.
func (j *Judge) Run(ctx context.Context) error {
	b := &bench{JudgeOptions: j.opts, trials: make(map[core.ModelID]*trial)}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-j.opts.Views.Ready():
			j.opts.Views.TryReceive()
		case <-j.samples.Ready():
		}
		b.follow(ctx, j.opts.Control.View())
		for {
			s, ok := j.samples.TryReceive()
			if !ok {
				break
			}
			b.add(ctx, s)
		}
	}
}

// bench is the state of the judge duty.
type bench struct {
	JudgeOptions
	view   *facts.View
	trials map[core.ModelID]*trial
}

// trial judges one rollout.
type trial struct {
	key RolloutKey
	// errors judges failures and the time to the first token, tokens the time
	// per token.
	errors, tokens *rollout.Judge
	finding        *rollout.Finding
	reason         string
}

// follow starts and ends trials with the rollouts in the view. A trial goes on
// through all stages, the time after promotion included, until operators sign
// off a bundle without the rollout.
func (b *bench) follow(ctx context.Context, v *facts.View) {
	if v == b.view || !v.HasBundle() {
		return
	}
	b.view = v
	for id := range b.trials {
		if _, ok := keyOf(v, v.Index.Models[id]); !ok {
			delete(b.trials, id)
		}
	}
	for i := range v.Index.Bundle.Models {
		m := &v.Index.Bundle.Models[i]
		key, ok := keyOf(v, m)
		if !ok {
			continue
		}
		t := b.trials[m.ID]
		if t == nil || t.key != key {
			b.trials[m.ID] = b.newTrial(m, key)
			continue
		}
		// A permission that was not heard of when the fault was found may have
		// lifted the restriction.
		if t.finding != nil && v.VersionAllowed(m.ID, m.Rollout.To) {
			b.withdraw(ctx, t)
		}
	}
}

func (b *bench) newTrial(m *bundle.Model, key RolloutKey) *trial {
	limits := b.Limits
	limits.FalseAlarmRate /= float64(testsPerModel * judges(b.EntryCount()))
	tokens := limits
	tokens.SlowOffset = tokenSlowOffset
	return &trial{
		key:    key,
		errors: rollout.NewJudge(m.Stable, m.Rollout.To, limits),
		tokens: rollout.NewJudge(m.Stable, m.Rollout.To, tokens),
	}
}

// judges rounds the number of entries up to a power of two, so that entries
// that start during a rollout do not raise the false alarm rate at once.
func judges(entries int) int { return 1 << bits.Len(uint(max(entries, 1)-1)) }

func (b *bench) add(ctx context.Context, s entry.Sample) {
	t := b.trials[s.Model]
	if t == nil || t.finding != nil || (s.Version != t.key.From && s.Version != t.key.To) {
		return
	}
	out := rollout.Sample{
		Version: s.Version, Group: rollout.CallGroup{Workspace: s.Workspace, Class: s.Class},
		FinishedAt: s.FinishedAt, Failed: s.Failed, Latency: s.TimeToFirstToken, PrefillTokens: s.RecomputedTokens,
	}
	found, cause := t.errors.Add(out), "first token"
	if found == nil && !s.Failed && s.TimePerToken > 0 {
		out.Latency, out.PrefillTokens = s.TimePerToken, 0
		found, cause = t.tokens.Add(out), "time per token"
	}
	if found != nil {
		t.finding = found
		t.reason = found.String()
		if found.Signal == rollout.SignalLatency {
			t.reason = cause + ": " + t.reason
		}
		b.withdraw(ctx, t)
		return
	}
	if s.Version == t.key.To && b.wantsCount(t.key.Model) {
		b.SampleReporter.ReportSamples(t.key, t.errors.Samples())
	}
}

// wantsCount reports whether the driver still needs the number of samples.
func (b *bench) wantsCount(m core.ModelID) bool {
	return b.view.Head.Rollouts[m].Stage < facts.StagePromoted
}

func (b *bench) withdraw(ctx context.Context, t *trial) {
	err := b.Control.Restrict(ctx, facts.Restriction{
		Subject: facts.VersionSubject(t.key.Model, t.key.To), Reason: t.reason,
	})
	log := b.Log.WithFields(logrus.Fields{
		"event": "version_judged_bad", "model": t.key.Model, "version": t.key.To, "route": t.finding.Group.String(), "reason": t.reason,
	})
	if err != nil {
		log.WithError(err).Error("bad version could not be withdrawn")
		return
	}
	log.Warn("bad version withdrawn")
}
