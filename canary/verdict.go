package canary

import (
	"cmp"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

const (
	// maxDoubt is the evidence against the new version (see rollout.Judge.Doubt) from
	// which the cutover is held.
	maxDoubt = 20.0
	// doubtDeadlineFraction is the fraction of the rollout's time after which a version
	// in doubt is withdrawn. It leaves time for the verdict to reach the process that
	// reports the rollout as completed.
	doubtDeadlineFraction = 0.9
	// holdDuration is the time for which a process holds the cutover because of the
	// doubt of another one, which repeats it more often.
	holdDuration = 3 * time.Second
)

// Verdict is what one process tells the others about a version that it judges. It
// restricts the version, so that it applies also while the platform's store is
// unavailable.
type Verdict struct {
	Service core.ServiceID
	Version string
	// RequestRowVersion identifies the request of the rollout.
	RequestRowVersion uint64
	// Withdrawn is set when the version is worse. Otherwise there is evidence against
	// it that is not conclusive, and the cutover must wait.
	Withdrawn bool
}

// Verdicts returns the local verdicts on versions, sorted by service. Other processes
// must receive them repeatedly while they apply.
func (c *Controller) Verdicts() []Verdict {
	var out []Verdict
	for service, r := range c.rollouts {
		if r.bad || r.doubted() {
			out = append(out, Verdict{Service: service, Version: r.Version, RequestRowVersion: r.RequestRowVersion, Withdrawn: r.bad})
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// ApplyVerdict applies the verdict of another process. It reports whether the version
// is withdrawn by it.
func (c *Controller) ApplyVerdict(now time.Time, v Verdict) bool {
	r := c.rollouts[v.Service]
	if r == nil || r.Version != v.Version || r.RequestRowVersion != v.RequestRowVersion || r.bad {
		return false
	}
	r.bad = v.Withdrawn
	if !r.bad {
		r.heldUntil = now.Add(holdDuration)
	}
	return r.bad
}

// WithdrawDoubted withdraws the versions against which this process has evidence shortly
// before their rollout would be completed, and returns their rollouts.
func (c *Controller) WithdrawDoubted(now time.Time) []catalog.Rollout {
	var withdrawn []catalog.Rollout
	for _, r := range c.rollouts {
		if !r.bad && !r.completed && r.elapsed(now, doubtDeadlineFraction) && r.doubted() {
			r.bad = true
			withdrawn = append(withdrawn, r.Rollout)
		}
	}
	return withdrawn
}
