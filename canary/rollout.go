package canary

import (
	"cmp"
	"math"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/rollout"
)

// trackedRollout is a requested rollout with its state in this process.
type trackedRollout struct {
	fleet.ActiveRollout
	startedAt time.Time
	judge     *rollout.Judge
	bad       bool
	// completed is set when the rollout was reported as completed, also when the store
	// has lost the report.
	completed bool
	// canaries are the upstreams that serve the new version before the cutover.
	canaries []core.UpstreamID
	// hasUpstreams is set while at least one upstream runs the new version and is
	// not draining. firstListedAt is when it was set first.
	hasUpstreams  bool
	firstListedAt time.Time
	// placed is the number of calls that this process has sent to the new version.
	placed int
	// heldUntil is the end of the hold because of the doubt of other processes.
	heldUntil time.Time
}

// isRequestedBy reports whether a request is the one of this rollout. The version of its
// row differs when the row was written again after a restore of the store.
func (r *trackedRollout) isRequestedBy(requested fleet.ActiveRollout) bool {
	return r.Version == requested.Version && r.RequestedAt.Equal(requested.RequestedAt)
}

// hasStatus reports whether the operator's status row contains the state for this
// rollout.
func (r *trackedRollout) hasStatus(state catalog.RolloutState) bool {
	return r.Status.Version == r.Version && r.Status.State == state
}

// setCanaries selects the upstreams that serve the canary share of the calls. It
// selects the same share of the new version's upstreams, rounded up, so that each
// of them receives its full load: some faults appear only then.
func (r *trackedRollout) setCanaries(upstreams []catalog.UpstreamRow, share float64) {
	var candidates []core.UpstreamID
	for _, u := range upstreams {
		if u.Service == r.Service && u.Software == r.Version && !u.Draining {
			candidates = append(candidates, u.ID)
		}
	}
	r.hasUpstreams = len(candidates) > 0
	candidates = rendezvous.Ranked(candidates, string(r.Service), func(id core.UpstreamID) string { return string(id) })
	r.canaries = candidates[:min(len(candidates), max(int(math.Ceil(share*float64(len(candidates)))), 1))]
}

func (r *trackedRollout) duration() time.Duration { return cmp.Or(max(r.MaxDuration, 0), defaultTime) }

// elapsed reports whether a fraction of the rollout's time has passed.
func (r *trackedRollout) elapsed(now time.Time, fraction float64) bool {
	return now.Sub(r.startedAt) >= time.Duration(fraction*float64(r.duration()))
}

// isCutOver reports whether all calls go to the new version. Calls return to the old
// version when doubt arises after the cutover.
func (r *trackedRollout) isCutOver(now time.Time) bool {
	minCanaryTime := time.Duration(minCanaryFraction * float64(r.duration()))
	if !r.hasUpstreams || !r.elapsed(now, cutoverFraction) || now.Sub(r.firstListedAt) < minCanaryTime {
		return false
	}
	return !now.Before(r.heldUntil) && !r.doubted()
}

// doubted reports whether this process has evidence against the new version.
func (r *trackedRollout) doubted() bool { return r.judge.Doubt() >= maxDoubt }
