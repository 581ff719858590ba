package dev

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
)

// step is one action at a part of the run's length.
type step struct {
	at   float64
	name string
	run  func(context.Context, *run) error
}

// faults are the faults by name. Their steps use the stand-ins' switches, the
// supervision of the processes and the administration API.
var faults = map[string][]step{
	"domain-drain": {
		{0.25, "drain failure domain", drainDomain},
		{0.75, "return failure domain", returnDomain},
	},
	"store-outage": {
		{0.3, "table and object store go down", func(_ context.Context, r *run) error { return r.setPlatform(standin.Down) }},
		{0.6, "table and object store are back", func(_ context.Context, r *run) error { return r.setPlatform(standin.NoFault) }},
	},
	"lost-answers": {
		{0.2, "table loses answers", loseAnswers}, {0.35, "table loses answers", loseAnswers},
		{0.5, "table loses answers", loseAnswers}, {0.65, "table loses answers", loseAnswers},
	},
	"bad-version":      {{0.15, "roll out a version that fails", rollOut(&standin.VersionFault{Fail: true})}},
	"late-bad-version": {{0.1, "roll out a version that fails later", rollOutLate}},
	"cold-upstream": {
		{0.3, "engines turn cold", func(_ context.Context, r *run) error { return r.eachEngine(0, 3, (*standin.Engine).TurnCold) }},
		{0.5, "engine crashes", func(_ context.Context, r *run) error {
			return r.eachEngine(3, 4, func(e *standin.Engine) { e.Crash(500 * time.Millisecond) })
		}},
	},
	"slow-link": {
		{0.3, "links slow down", func(_ context.Context, r *run) error { return r.setLinks(0.1) }},
		{0.7, "links recover", func(_ context.Context, r *run) error { return r.setLinks(1) }},
	},
	"agent-restart": {
		{0.3, "agents crash", func(_ context.Context, r *run) error {
			r.cluster.engines[1].agent.crash()
			r.cluster.agents[len(r.cluster.agents)-1].crash()
			return nil
		}},
		{0.5, "agent stops as planned", func(_ context.Context, r *run) error {
			r.cluster.engines[2].agent.plannedStop()
			return nil
		}},
	},
	"entry-restart": {
		{0.3, "entry stops as planned", func(_ context.Context, r *run) error {
			r.cluster.entries[1].plannedStop()
			return nil
		}},
		{0.6, "entry crashes", func(_ context.Context, r *run) error {
			r.cluster.entries[2].crash()
			return nil
		}},
	},
	"cache-store-loss": {
		{0.3, "kept-cache store loses everything", func(_ context.Context, r *run) error {
			r.cluster.stores[0].LoseEverything()
			return nil
		}},
		{0.5, "kept-cache store goes down", func(_ context.Context, r *run) error {
			r.cluster.stores[1].SetFaults(standin.KeptCacheFaults{Down: true})
			return nil
		}},
		{0.7, "kept-cache store is back, damaged", func(_ context.Context, r *run) error {
			r.cluster.stores[1].SetFaults(standin.KeptCacheFaults{CorruptPieces: true})
			return nil
		}},
	},
	"crossed-answers": {
		{0.3, "engines cross answers", func(_ context.Context, r *run) error {
			return r.eachEngine(0, 2, func(e *standin.Engine) { e.CrossAnswers(true) })
		}},
		{0.6, "engines stop crossing answers", func(_ context.Context, r *run) error {
			return r.eachEngine(0, 2, func(e *standin.Engine) { e.CrossAnswers(false) })
		}},
	},
}

// checkFaults refuses names that are not built.
func checkFaults(names []string) error {
	for _, name := range names {
		if _, ok := faults[name]; !ok {
			known := make([]string, 0, len(faults))
			for k := range faults {
				known = append(known, k)
			}
			slices.Sort(known)
			return errs.New(errs.Invalid, "use one of: "+strings.Join(known, ", "), "fault %q is not built", name)
		}
	}
	return nil
}

// schedule returns the steps of the named faults in order of time.
func schedule(names []string) []step {
	var steps []step
	for _, name := range names {
		steps = append(steps, faults[name]...)
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		default:
			return 0
		}
	})
	return steps
}

// inject carries out the steps at their times.
func (r *run) inject(ctx context.Context, names []string) {
	for _, s := range schedule(names) {
		at := time.Duration(s.at * float64(r.options.length()))
		if !duty.Pause(ctx, time.Until(r.began.Add(at))) {
			return
		}
		entry := r.cluster.log.WithFields(logrus.Fields{"event": "fault", "step": s.name, "at": at})
		if err := s.run(ctx, r); err != nil {
			entry.WithError(err).Error("fault step failed")
			r.faultErrors.Add(1)
			continue
		}
		entry.Warn("fault step")
	}
}

func (r *run) setPlatform(f standin.Fault) error {
	r.cluster.table.Set(f)
	r.cluster.objects.Set(f)
	return nil
}

func loseAnswers(_ context.Context, r *run) error {
	r.cluster.table.SetNext(20, standin.LoseAnswer)
	return nil
}

func (r *run) eachEngine(from, to int, act func(*standin.Engine)) error {
	for _, e := range r.cluster.engines[from:to] {
		act(e.engine)
	}
	return nil
}

func (r *run) setLinks(factor float64) error {
	for _, e := range r.cluster.engines {
		e.link.SetRate(factor * float64(r.cluster.d.Engine.LinkBytesPerSecond))
	}
	return nil
}

// drainDomain drains the last failure domain through the administration API.
func drainDomain(ctx context.Context, r *run) error {
	domain := r.cluster.d.FailureDomains[len(r.cluster.d.FailureDomains)-1]
	return r.administer(ctx, func(ctx context.Context) error {
		_, err := r.cluster.admin.DrainDomain(ctx, domain, admin.Reason{Reason: "maintenance"})
		if err == nil {
			r.drained.Store(&drainPeriod{domain: domain, from: time.Now()})
		}
		return err
	})
}

func returnDomain(ctx context.Context, r *run) error {
	domain := r.cluster.d.FailureDomains[len(r.cluster.d.FailureDomains)-1]
	before := r.drained.Load()
	return r.administer(ctx, func(ctx context.Context) error {
		status, err := r.cluster.admin.Status(ctx)
		if err != nil {
			return err
		}
		asked := time.Now()
		_, err = r.cluster.admin.ReturnDomain(ctx, domain, status.Epoch)
		if err == nil && before != nil {
			r.drained.Store(&drainPeriod{domain: domain, from: before.from, to: asked})
		}
		return err
	})
}

// administer repeats an operator's request until it succeeds or the run ends.
func (r *run) administer(ctx context.Context, request func(context.Context) error) error {
	for {
		err := request(ctx)
		if err == nil || errs.Is(err, errs.Invalid) {
			return err
		}
		if !duty.Pause(ctx, retryPause) {
			return err
		}
	}
}

// rollOut signs off a rollout of the next version, with the fault set on every
// engine.
func rollOut(fault *standin.VersionFault) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		bad := engine.ModelName(r.cluster.d.Model, versionNext, "")
		for _, e := range r.cluster.engines {
			e.engine.SetVersionFault(bad, fault)
		}
		return r.signOffRollout(ctx)
	}
}

// rollOutLate makes the version fail a third of the run after its start.
func rollOutLate(ctx context.Context, r *run) error {
	return rollOut(&standin.VersionFault{Fail: true, After: r.options.length() / 3})(ctx, r)
}

func (r *run) signOffRollout(ctx context.Context) error {
	model := &r.cluster.bundle.Models[0]
	model.Rollout = &bundle.Rollout{
		To: versionNext, CanaryShare: canaryShare, CanaryUpstreams: canaryCount, Deadline: time.Now().Add(rolloutTime).UTC(),
	}
	r.cluster.bundle.Version = "2"
	began := time.Now()
	r.rolloutFrom.Store(&began)
	return r.administer(ctx, r.cluster.signOff)
}
