package placement

import (
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/retry"
)

const (
	// weightChangeShare is the fraction of WeightChangeTimeout after which no call is
	// sent to an upstream with older weights.
	weightChangeShare = 0.8
	// obsoleteDelay is the minimum time for which no upstream may have had a weight
	// version before its parts are freed, so that transfers in progress finish first.
	// A transfer that would wait for over two seconds is not started.
	obsoleteDelay = 3500 * time.Millisecond
)

// usable reports whether the call may be sent to an upstream.
func (t *Table) usable(now time.Time, u *upstream, req Request) bool {
	if u.listing.Draining || t.evacuated[u.listing.Domain] || now.Before(u.avoidUntil) {
		return false
	}
	if !allowedByRollout(req.RolloutLimit, u) {
		return false
	}
	for _, id := range req.TriedUpstreams {
		if id == u.listing.ID {
			return false
		}
	}
	return !t.weightsOverdue(now, u, req.Prompt.Model)
}

// allowedByRollout reports whether an upstream is allowed by a rollout's limit.
func allowedByRollout(limit canary.Filter, u *upstream) bool {
	if limit.RequiredSoftware != "" && u.listing.Software != limit.RequiredSoftware || limit.ExcludedSoftware != "" && u.listing.Software == limit.ExcludedSoftware {
		return false
	}
	return limit.Upstreams == nil || slices.Contains(limit.Upstreams, u.listing.ID)
}

// suspect reports whether an upstream has failed so often that the call should
// avoid it. It allows a repeatable call as a trial once per trialInterval.
func (t *Table) suspect(now time.Time, u *upstream, req Request) bool {
	if u.failureShare(now) <= suspectShare {
		return false
	}
	return !req.Repeatable || now.Sub(u.lastTrialAt) < trialInterval
}

// weightsOverdue reports whether calls may no longer start on the weight version
// of an upstream. When the time of the request for newer weights is not recorded,
// they may not start once an upstream has loaded the newer version.
func (t *Table) weightsOverdue(now time.Time, u *upstream, model core.ModelID) bool {
	newer, outdated := t.weightHistory[model].FirstAbove(u.weights[model])
	if !outdated || t.opts.WeightChangeTimeout == 0 {
		return false
	}
	if newer.RequestedAt.IsZero() {
		return t.anyLoaded(u.listing.Service, model, newer.Version)
	}
	return float64(now.Sub(newer.RequestedAt)) > weightChangeShare*float64(t.opts.WeightChangeTimeout)
}

// anyLoaded reports whether a non-draining upstream of a service has loaded a
// weight version or a newer one.
func (t *Table) anyLoaded(service core.ServiceID, model core.ModelID, version catalog.WeightNumber) bool {
	for _, u := range t.byService[service] {
		if !u.listing.Draining && u.weights[model] >= version {
			return true
		}
	}
	return false
}

// atColdLimit reports whether this process has used its share of the calls that a
// cold upstream can sustain, and whether the upstream is cold.
func (t *Table) atColdLimit(now time.Time, service *catalog.Service, u *upstream) (limited, cold bool) {
	if service.ColdCallsPerSecond <= 0 {
		return false, false
	}
	total := service.ColdCallsPerSecond*t.opts.ColdFactor + t.opts.ColdSlack
	return u.gate.Full(now, t.localLimit(total, u))
}

// localLimit returns the number of calls that this process may send out of a total
// for all processes. When there are fewer calls than processes, some processes may
// send one call and others none.
func (t *Table) localLimit(total float64, u *upstream) int {
	if t.membershipExpired {
		return 0
	}
	if u.rankGeneration != t.generation {
		u.rank, u.rankGeneration = rendezvous.Position(t.fronts, t.opts.Node, string(u.listing.ID)), t.generation
	}
	return admit.SplitEvenly(int(total), len(t.fronts), u.rank)
}

// retryBudget returns the budget for retries to a service. It is initially almost
// empty, because this process may have used its share of the window before a
// restart.
func (t *Table) retryBudget(service core.ServiceID) *retry.Budget {
	budget := t.retryBudgets[service]
	if budget == nil {
		budget = retry.NewBudget(t.retryBudgetOptions())
		budget.CapTokens(initialRetryShare * t.opts.RetrySlack / float64(max(len(t.fronts), 1)))
		t.retryBudgets[service] = budget
	}
	return budget
}

func (t *Table) retryBudgetOptions() retry.BudgetOptions {
	// Half of the slack is the burst and half is refilled over the window, so that
	// no window contains more retries than the slack.
	slack := t.opts.RetrySlack / float64(max(len(t.fronts), 1))
	return retry.BudgetOptions{
		Share: t.opts.RetryShare * usableRetryShare, Burst: max(slack*usableRetryShare/2, 1),
		PerSecond: slack * usableRetryShare / 2 / t.opts.RetryWindow.Seconds(),
	}
}

// usableRetryShare is the fraction of the retry budget that is used. The remainder
// covers retries of calls that were received during a time with more traffic.
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
func (t *Table) UpdateOldestWeights(now time.Time) {
	lowest := make(map[core.ModelID]catalog.WeightNumber)
	for _, u := range t.upstreams {
		for model, version := range u.weights {
			if old, ok := lowest[model]; !ok || version < old {
				lowest[model] = version
			}
		}
	}
	for model, version := range lowest {
		if t.oldestVersions[model].version != version {
			t.oldestVersions[model] = oldestVersion{version: version, observedAt: now}
		}
	}
}

// Obsolete reports whether parts under a salt can be freed: no upstream has had
// weights that old for obsoleteDelay, so that no transfer of them is in progress.
func (t *Table) Obsolete(now time.Time, salt string) bool {
	model, version, ok := ParseSalt(salt)
	if !ok {
		return false
	}
	oldest, ok := t.oldestVersions[model]
	return ok && version < oldest.version && now.Sub(oldest.observedAt) >= obsoleteDelay
}
