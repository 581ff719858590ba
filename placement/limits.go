package placement

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/retry"
)

const (
	// weightChangeShare is the fraction of WeightChangeTimeout after which no call is
	// sent to an upstream with older weights.
	weightChangeShare = 0.8
	// obsoleteDelay is the delay until the parts of a weight version are freed once no
	// upstream has that version or an older one. It leaves time for transfers of
	// these parts, which wait for at most two seconds before they start.
	obsoleteDelay = 3500 * time.Millisecond
)

// usable reports whether the call may be sent to an upstream.
func (pl *Placer) usable(now time.Time, u *upstream, req Request) bool {
	if u.leaving() || pl.evacuated[u.row.Domain] || now.Before(u.excludedUntil) || u.restriction.paused(now) {
		return false
	}
	if !matchesFilter(req.RolloutFilter, u) {
		return false
	}
	for _, id := range req.TriedUpstreams {
		if id == u.row.ID {
			return false
		}
	}
	return !pl.weightsOverdue(now, u, req.Prompt.Model)
}

// matchesFilter reports whether a rollout allows an upstream.
func matchesFilter(filter canary.Filter, u *upstream) bool {
	if filter.RequiredVersion != "" && u.row.Software != filter.RequiredVersion || filter.ExcludedVersion != "" && u.row.Software == filter.ExcludedVersion {
		return false
	}
	return filter.Upstreams == nil || slices.Contains(filter.Upstreams, u.row.ID)
}

// shouldAvoid reports whether a call should use another upstream because this one
// has failed too often. It is false for a repeatable call once per trialInterval,
// as a trial.
func (pl *Placer) shouldAvoid(now time.Time, u *upstream, req Request) bool {
	if u.currentFailureShare(now) <= suspectShare {
		return false
	}
	return !req.Repeatable || now.Sub(u.lastTrialAt) < trialInterval
}

// weightsOverdue reports whether calls must no longer start on the weight version
// of an upstream. When the time of the request for newer weights is not recorded,
// calls must not start on older weights once an upstream of the service has loaded
// the newer ones.
func (pl *Placer) weightsOverdue(now time.Time, u *upstream, model core.ModelID) bool {
	newer, outdated := pl.weightHistory[model].FirstAbove(u.weights[model])
	if !outdated || pl.opts.WeightChangeTimeout == 0 {
		return false
	}
	if newer.RequestedAt.IsZero() {
		return pl.anyLoaded(u.row.Service, model, newer.Version)
	}
	return float64(now.Sub(newer.RequestedAt)) > weightChangeShare*float64(pl.opts.WeightChangeTimeout)
}

// anyLoaded reports whether an upstream of a service that does not leave has loaded a
// weight version or a newer one.
func (pl *Placer) anyLoaded(service core.ServiceID, model core.ModelID, version catalog.WeightNumber) bool {
	for _, u := range pl.byService[service] {
		if !u.leaving() && u.weights[model] >= version {
			return true
		}
	}
	return false
}

// atColdLimit reports whether this process has used its share of the calls that a
// cold upstream can sustain, and whether the upstream is cold.
func (pl *Placer) atColdLimit(now time.Time, service *catalog.Service, u *upstream) (limited, cold bool) {
	if service.ColdCallsPerSecond <= 0 {
		return false, false
	}
	total := service.ColdCallsPerSecond*pl.opts.ColdFactor + pl.opts.ColdSlack
	return u.gate.Full(now, pl.localLimit(now, total, u))
}

// localLimit returns the number of calls that this process may send out of a total
// for all processes. When there are fewer calls than processes, some processes may
// send one call and others none. A process that some of the others may not count, since it
// stops or has joined just now, has no share.
func (pl *Placer) localLimit(now time.Time, total float64, u *upstream) int {
	rank, n, ok := pl.limitRank(now, u)
	if !ok {
		return 0
	}
	return admit.SplitEvenly(int(total), n, rank)
}

// limitRank returns this process's rank among the n processes over which an upstream's
// limits are divided, or false if it has no share.
func (pl *Placer) limitRank(now time.Time, u *upstream) (rank, n int, ok bool) {
	if pl.registrationExpired || !pl.members.HasPortion(now) {
		return 0, 0, false
	}
	if generation := pl.members.Generation(now); u.rankGeneration != generation {
		u.rank, u.rankGeneration = pl.members.Rank(now, string(u.row.ID)), generation
	}
	return u.rank, pl.members.Count(now), true
}

// retryBudget returns the budget for retries to a service. It is initially almost
// empty, because this process may have used its share of the window before a
// restart.
func (pl *Placer) retryBudget(now time.Time, service core.ServiceID) *retry.Budget {
	if slack := pl.retrySlack(now); slack != pl.appliedRetrySlack {
		pl.appliedRetrySlack = slack
		pl.updateRetryBudgets()
	}
	budget := pl.retryBudgets[service]
	if budget == nil {
		budget = retry.NewBudget(pl.retryBudgetOptions())
		budget.CapRetries(initialRetryShare * pl.opts.RetrySlack / float64(pl.members.Count(now)))
		pl.retryBudgets[service] = budget
	}
	return budget
}

// retrySlack returns this process's portion of the slack. While it has none, only the
// retries that its own calls add remain, and the first one.
func (pl *Placer) retrySlack(now time.Time) float64 {
	if !pl.members.HasPortion(now) {
		return 0
	}
	return pl.opts.RetrySlack / float64(pl.members.Count(now))
}

func (pl *Placer) retryBudgetOptions() retry.BudgetOptions {
	// Half of the slack is the burst and half is refilled over the window, so that
	// no window contains more retries than the slack.
	slack := pl.appliedRetrySlack
	return retry.BudgetOptions{
		Share: pl.opts.RetryShare * usableRetryShare, Burst: max(slack*usableRetryShare/2, 1),
		PerSecond: slack * usableRetryShare / 2 / pl.opts.RetryWindow.Seconds(),
	}
}

// usableRetryShare is the fraction of the retry budget that is used. The remainder
// covers calls that were received before a window, when the call rate was higher, and
// are retried within the window.
const usableRetryShare = 0.75

// initialRetryShare is the fraction of its slack that a process has for retries
// when it starts. It is within the fraction that usableRetryShare leaves unused.
const initialRetryShare = 0.1

// oldestVersion is the oldest weight version of a model that any upstream has.
// observedAt is the time from which no upstream had an older version.
type oldestVersion struct {
	version    catalog.WeightNumber
	observedAt time.Time
}

// UpdateOldestWeights records the oldest weight version of each model that is in
// use. It is called at regular intervals.
func (pl *Placer) UpdateOldestWeights(now time.Time) {
	lowest := make(map[core.ModelID]catalog.WeightNumber)
	for _, u := range pl.upstreams {
		for model, version := range u.weights {
			if old, ok := lowest[model]; !ok || version < old {
				lowest[model] = version
			}
		}
	}
	for model, version := range lowest {
		if pl.oldestVersions[model].version != version {
			pl.oldestVersions[model] = oldestVersion{version: version, observedAt: now}
		}
	}
}

// Obsolete reports whether parts under a salt can be freed. Either no upstream has had the
// salt's weight version or an older one for obsoleteDelay, so that transfers of these parts
// have finished, or the scope of the salt is not in use.
func (pl *Placer) Obsolete(now time.Time, salt string) bool {
	fields, ok := ParseSalt(salt)
	if !ok {
		return false
	}
	oldest, ok := pl.oldestVersions[fields.Model]
	if ok && fields.Weights < oldest.version && now.Sub(oldest.observedAt) >= obsoleteDelay {
		return true
	}
	return pl.isolation.unused(now, fields.Scope)
}
