// Package canary switches the calls of a service to another software version
// when the operator requests a rollout. At first a small share of the calls goes
// to a few upstreams with the new version and is judged against the old one.
// Near the end of the rollout's time all calls switch to the new version. A
// version that is found to be worse receives no more calls. The Controller
// performs no I/O and reads no clock. The StatusWriter writes the statuses that
// it returns to the platform's metadata store.
//
// The rollout of a model's weight version is decided by package rollout, whose
// judge this package uses.
package canary

import (
	"cmp"
	"math"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/fleet/quota"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/rollout"
)

const (
	// cutoverFraction is the fraction of the rollout's time after which all calls
	// go to the new version. The cutover is late to keep the number of calls on a
	// bad version small, and early enough to find a fault that appears only under
	// the full load.
	cutoverFraction = 0.85
	// completionFraction is the fraction of the rollout's time after which the
	// rollout is reported as completed. The old upstreams may stop without notice
	// from then on.
	completionFraction = 0.96
	// defaultTime is the duration of a rollout that does not state one.
	defaultTime = 30 * time.Second
	// firstCalls is the number of calls that the new version receives at firstShare of
	// the participating processes' calls, over all of them. With fewer samples, a
	// version that is slow for half of its calls is not found before the cutover.
	firstCalls = 30
	firstShare = 0.6
	// maxLocalShare is the largest share of a process's calls that the new version
	// receives after its first calls. The rest is what the judge compares with.
	maxLocalShare = 0.3
	// minCanaryFraction is the fraction of the rollout's time for which the new version
	// must have had upstreams before the cutover.
	minCanaryFraction = 0.2
	// staggerDelay is the delay between the times at which two processes with
	// consecutive ranks report a completed rollout.
	staggerDelay = time.Second
)

// Filter restricts the upstreams that a call may go to. The zero Filter allows
// all upstreams.
type Filter struct {
	// RequiredVersion is the software version that the upstream must run.
	// ExcludedVersion is the one that it must not run. Either may be empty.
	RequiredVersion string
	ExcludedVersion string
	// Upstreams lists the allowed upstreams. Nil allows any.
	Upstreams []core.UpstreamID
}

// Sample is what an attempt shows about a version: its outcome, or one of its latencies
// before the outcome is known.
type Sample struct {
	Service core.ServiceID
	Version string
	Route   string
	Failed  bool
	// LatencyOnly is set when the sample is not the outcome of the attempt.
	LatencyOnly bool
	// Latency is the time to the first byte, or the time between events if Pace is
	// set; 0 when the sample has none. PrefillTokens is the number of prompt tokens
	// that the upstream computed.
	Latency       time.Duration
	Pace          bool
	PrefillTokens int
}

// FailedRollout is a rollout whose new version was found to be worse.
type FailedRollout struct {
	catalog.Rollout
	Finding rollout.Finding
}

// StatusUpdate is a rollout status that has to be reported to the operator, with
// the status that it replaces, which is zero if there is none.
type StatusUpdate struct {
	catalog.RolloutStatus
	Replaced catalog.RolloutStatus
}

// Inputs are the requested rollouts and the cluster state that a Controller uses.
type Inputs struct {
	Rollouts  map[core.ServiceID]fleet.ActiveRollout
	Upstreams []catalog.UpstreamRow
	Fronts    []core.NodeID
	// Joins is set unless this process is known to have been listed before it started; see
	// package quota.
	Joins bool
}

// Controller holds the state of all rollouts in one process. It is owned by one
// duty.
type Controller struct {
	self core.NodeID
	// share is the share of a service's calls, over all processes, that the new
	// version receives before the cutover.
	share    float64
	fronts   []core.NodeID
	members  *quota.Members
	rollouts map[core.ServiceID]*trackedRollout
}

// New returns a Controller without rollouts. share is the share of a service's
// calls that a new version receives before the cutover.
func New(self core.NodeID, share float64) *Controller {
	return &Controller{self: self, share: share, members: quota.NewMembers(self), rollouts: make(map[core.ServiceID]*trackedRollout)}
}

// RecordSuspension records that this process was suspended until now.
func (c *Controller) RecordSuspension(now time.Time) { c.members.Suspended(now) }

// SetInputs applies newer inputs. The state of continued rollouts is retained.
func (c *Controller) SetInputs(now time.Time, in Inputs) {
	c.fronts = in.Fronts
	c.members.Set(now, in.Fronts, in.Joins)
	next := make(map[core.ServiceID]*trackedRollout, len(in.Rollouts))
	for service, requested := range in.Rollouts {
		r := c.rollouts[service]
		if r == nil || !r.isRequestedBy(requested) {
			// The start of a rollout that is older than this process is unknown. It
			// is assumed to be now, so that the cutover is late rather than early.
			startedAt := requested.RequestedAt
			if startedAt.IsZero() {
				startedAt = now
			}
			r = &trackedRollout{startedAt: startedAt, judge: rollout.NewJudge(oldVersion, newVersion, rollout.DefaultLimits())}
		}
		r.ActiveRollout = requested
		r.bad = r.bad || r.hasStatus(catalog.RolloutRolledBack)
		r.completed = r.completed || r.hasStatus(catalog.RolloutCompleted)
		r.setCanaries(in.Upstreams, c.share)
		if r.hasUpstreams && r.firstListedAt.IsZero() {
			r.firstListedAt = now
		}
		next[service] = r
	}
	c.rollouts = next
}

// Versions under which samples are passed to the judge. The old upstreams may
// run several software versions, which are judged as one.
const (
	oldVersion core.WeightVersion = "old"
	newVersion core.WeightVersion = "new"
)

// FilterFor returns the filter for a call to a service. random is a random number
// from 0 to 1.
func (c *Controller) FilterFor(now time.Time, service core.ServiceID, random float64) Filter {
	r := c.rollouts[service]
	switch {
	case r == nil:
		return Filter{}
	case r.completed:
		return Filter{RequiredVersion: r.Version} // the old upstreams stop, whatever was found
	case r.bad:
		return Filter{ExcludedVersion: r.Version}
	case r.isCutOver(now):
		return Filter{RequiredVersion: r.Version}
	case r.hasUpstreams && random < c.localShare(now, r):
		return Filter{RequiredVersion: r.Version, Upstreams: r.canaries}
	}
	return Filter{ExcludedVersion: r.Version}
}

// Fallback returns the filter to use when no upstream that the given filter
// allows can take the call, and false if there is none. A call falls back only
// to the old version: a lack of capacity there never sends it to the new one.
func (c *Controller) Fallback(service core.ServiceID, filter Filter) (Filter, bool) {
	r := c.rollouts[service]
	if r == nil || filter.RequiredVersion == "" {
		return Filter{}, false
	}
	return Filter{ExcludedVersion: r.Version}, true
}

// localShare returns the share of this process's calls that the new version
// receives before the cutover. Only as many processes as the total share requires, at
// maxLocalShare each, send calls to the new version, so that each of them judges many
// calls.
func (c *Controller) localShare(now time.Time, r *trackedRollout) float64 {
	if !c.members.HasPortion(now) {
		return 0
	}
	n := c.members.Count(now)
	participants := min(max(int(math.Ceil(c.share*float64(n)/maxLocalShare)), 1), n)
	if c.members.Rank(now, string(r.Service)) >= participants {
		return 0
	}
	share := c.share * float64(n) / float64(participants)
	if r.placed*participants < firstCalls {
		return max(share, firstShare)
	}
	return share
}

// RecordPlaced records that this process has sent a call to an upstream.
func (c *Controller) RecordPlaced(upstream catalog.UpstreamRow) {
	if r := c.rollouts[upstream.Service]; r != nil && upstream.Software == r.Version {
		r.placed++
	}
}

// Observe records a sample of an attempt. It returns the failed rollout and true if
// the sample completes the evidence that the new version is worse.
func (c *Controller) Observe(now time.Time, s Sample) (FailedRollout, bool) {
	r := c.rollouts[s.Service]
	if r == nil || r.bad || r.completed {
		return FailedRollout{}, false
	}
	version := oldVersion
	if s.Version == r.Version {
		version = newVersion
	}
	finding := r.judge.Add(rollout.Sample{
		Version: version, Group: rollout.CallGroup{RouteName: s.Route, Pace: s.Pace}, FinishedAt: now, Failed: s.Failed, LatencyOnly: s.LatencyOnly,
		Latency: s.Latency, PrefillTokens: s.PrefillTokens,
	})
	if finding == nil {
		return FailedRollout{}, false
	}
	r.bad = true
	return FailedRollout{Rollout: r.Rollout, Finding: *finding}, true
}

// PendingUpdates returns the statuses that have not been reported to the operator
// yet or whose report the store has lost, sorted by service. A version that was rolled
// back remains so: no process reports the rollout as completed afterwards.
func (c *Controller) PendingUpdates(now time.Time) []StatusUpdate {
	var updates []StatusUpdate
	for service, r := range c.rollouts {
		rank := rendezvous.Position(c.fronts, c.self, string(service))
		state := catalog.RolloutRunning
		switch {
		case r.hasStatus(catalog.RolloutCompleted) || r.hasStatus(catalog.RolloutRolledBack):
			continue
		case r.completed:
			state = catalog.RolloutCompleted
		case r.bad:
			state = catalog.RolloutRolledBack
		case r.isCutOver(now) && r.elapsed(now.Add(-time.Duration(rank)*staggerDelay), completionFraction):
			state = catalog.RolloutCompleted
		case r.hasStatus(catalog.RolloutRunning) || rank > 0:
			continue
		}
		updates = append(updates, StatusUpdate{RolloutStatus: catalog.RolloutStatus{Service: service, Version: r.Version, State: state}, Replaced: r.Status})
	}
	slices.SortFunc(updates, func(a, b StatusUpdate) int { return cmp.Compare(a.Service, b.Service) })
	return updates
}
