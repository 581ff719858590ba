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
	// weightsShare is the share of the time for new weights after which no call
	// is sent to an upstream with older ones.
	weightsShare = 0.8
	// obsoleteAfter is how long no upstream must have had weights whose parts are
	// freed. A transfer does not start that would wait for over two seconds.
	obsoleteAfter = 3500 * time.Millisecond
)

// usable reports whether an upstream may get the call at all.
func (t *Table) usable(now time.Time, u *upstream, need Request) bool {
	if u.listed.Draining || t.evacuated[u.listed.Domain] || now.Before(u.avoidUntil) {
		return false
	}
	if !allowed(need.RolloutLimit, u) {
		return false
	}
	for _, id := range need.TriedUpstreams {
		if id == u.listed.ID {
			return false
		}
	}
	return !t.weightsOverdue(now, u, need.Prompt.Model)
}

// allowed reports whether an upstream is within a rollout's limit.
func allowed(l canary.Filter, u *upstream) bool {
	if l.RequiredSoftware != "" && u.listed.Software != l.RequiredSoftware || l.ExcludedSoftware != "" && u.listed.Software == l.ExcludedSoftware {
		return false
	}
	return l.Upstreams == nil || slices.Contains(l.Upstreams, u.listed.ID)
}

// suspect reports whether an upstream has failed so often that a call avoids it.
// Calls that may be repeated try it from time to time.
func (t *Table) suspect(now time.Time, u *upstream, need Request) bool {
	if u.faultShare(now) <= suspectShare {
		return false
	}
	return !need.Repeatable || now.Sub(u.trialAt) < trialInterval
}

// weightsOverdue reports whether calls may no longer begin on the weights of an
// upstream.
func (t *Table) weightsOverdue(now time.Time, u *upstream, model core.ModelID) bool {
	newer, old := t.named[model].FirstAbove(u.weights[model])
	if !old || t.opts.WeightChangeTimeout == 0 {
		return false
	}
	if newer.RequestedAt.IsZero() {
		return t.anyLoaded(u.listed.Service, model, newer.Version)
	}
	return float64(now.Sub(newer.RequestedAt)) > weightsShare*float64(t.opts.WeightChangeTimeout)
}

// anyLoaded reports whether an upstream of a service has a weight version.
func (t *Table) anyLoaded(service core.ServiceID, model core.ModelID, version catalog.WeightNumber) bool {
	for _, u := range t.byService[service] {
		if !u.listed.Draining && u.weights[model] >= version {
			return true
		}
	}
	return false
}

// limited reports whether this process has used its share of what a cold
// upstream bears, and whether the upstream is known to be cold.
func (t *Table) limited(now time.Time, service *catalog.Service, u *upstream) (limited, cold bool) {
	if service.ColdCallsPerSecond <= 0 {
		return false, false
	}
	total := service.ColdCallsPerSecond*t.opts.ColdFactor + t.opts.ColdSlack
	return u.gate.Full(now, t.share(total, u))
}

// share is this process's part of a whole number of calls to an upstream. Where
// there are fewer calls than processes, some processes get one and others none.
func (t *Table) share(total float64, u *upstream) int {
	if t.lapsed {
		return 0
	}
	if u.placedIn != t.generation {
		u.place, u.placedIn = rendezvous.Position(t.fronts, t.opts.Node, string(u.listed.ID)), t.generation
	}
	return admit.Share(int(total), len(t.fronts), u.place)
}

// budget returns the budget for repeated sends to a service. It starts nearly
// empty: this process may have used its part of the window before a restart.
func (t *Table) budget(service core.ServiceID) *retry.Budget {
	b := t.budgets[service]
	if b == nil {
		b = retry.NewBudget(t.budgetOptions())
		b.CapTokens(startShare * t.opts.RetrySlack / float64(max(len(t.fronts), 1)))
		t.budgets[service] = b
	}
	return b
}

func (t *Table) budgetOptions() retry.BudgetOptions {
	// The slack is split between what is saved up and what comes back within the
	// window, so that no window holds more than the whole.
	slack := t.opts.RetrySlack / float64(max(len(t.fronts), 1))
	return retry.BudgetOptions{
		Share: t.opts.RetryShare * retryMargin, Burst: max(slack*retryMargin/2, 1),
		PerSecond: slack * retryMargin / 2 / t.opts.RetryWindow.Seconds(),
	}
}

// retryMargin is the share of the budget for repeated sends that is used. The
// rest covers sends whose calls came from a time with more traffic.
const retryMargin = 0.75

// startShare is the share of its slack that a process has for repeated sends when
// it starts. It is within what retryMargin leaves.
const startShare = 0.1

// floor is the oldest weight version that an upstream has, with the time since
// which none has an older one.
type floor struct {
	version catalog.WeightNumber
	since   time.Time
}

// Sweep notes the oldest weights in use. It is called at intervals.
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
		if t.floors[model].version != version {
			t.floors[model] = floor{version: version, since: now}
		}
	}
}

// Obsolete reports whether parts under a salt are of no more use: no upstream
// has had such old weights for so long that no transfer of them is under way.
func (t *Table) Obsolete(now time.Time, salt string) bool {
	model, version, ok := ParseSalt(salt)
	if !ok {
		return false
	}
	f, known := t.floors[model]
	return known && version < f.version && now.Sub(f.since) >= obsoleteAfter
}
