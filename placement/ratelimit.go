package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/core"
)

const (
	// portionTimeout is the time without a response to any process after which the portions
	// of an announced rate pass to the next processes, since those that have them may have
	// failed. They pass on again after each further portionTimeout, in which the lowest rate
	// that admit.SplitRate returns allows a call.
	portionTimeout = 12 * time.Second
	// rateLimitRepeat is the time for which the end of a limit is repeated to other
	// processes, which may have no portion and so receive no response of their own.
	rateLimitRepeat = 3 * time.Second
	// reservedRateCost is the cost in milliseconds of a call that uses a part of an
	// announced rate which is reserved for larger ones.
	reservedRateCost = 5000.0
	// promptSizeGain is the weight of one prompt in the mean size of prompts.
	promptSizeGain = 0.01
)

// announcedRate is the rate that an upstream announces, and the pacer of this process's
// portion of it.
type announcedRate struct {
	core.RateLimit
	observedAt time.Time
	changedAt  time.Time
	// pacer is nil while the upstream announces no rate.
	pacer *admit.Pacer
}

// RateChange is a change of the rate that an upstream announces.
type RateChange struct {
	Upstream core.UpstreamID
	core.RateLimit
	// Age is the age of the observation. It is 0 for a response to this process.
	Age time.Duration
}

// updateRate applies an observation of an announced rate unless there is a newer one.
func (pl *Placer) updateRate(now, observedAt time.Time, u *upstream, limit core.RateLimit) {
	if observedAt.Before(u.rate.observedAt) {
		return
	}
	u.rate.observedAt = observedAt
	if u.rate.RateLimit != limit {
		u.rate.set(now, limit)
		pl.rateChanges = append(pl.rateChanges, RateChange{Upstream: u.row.ID, RateLimit: limit, Age: now.Sub(observedAt)})
	}
}

// TakeRateChanges returns the changes of announced rates since the last call.
func (pl *Placer) TakeRateChanges() []RateChange {
	changes := pl.rateChanges
	pl.rateChanges = nil
	return changes
}

func (a *announcedRate) set(now time.Time, limit core.RateLimit) {
	a.RateLimit, a.changedAt = limit, now
	switch {
	case !limit.Limited:
		a.pacer = nil
	case a.pacer == nil:
		a.pacer = admit.NewPacer(now)
	}
}

// checkRate reports whether this process may send a call to an upstream, as far as its
// announced rate allows, and whether the call should rather use an upstream that
// announces none. Such a rate is a number of calls whatever their size, so that the most
// work is done when the larger calls are sent there. Smaller ones use what those leave.
func (pl *Placer) checkRate(now time.Time, u *upstream, req Request) (allowed, avoid bool) {
	if !u.rate.Limited {
		return true, false
	}
	rate := pl.localRate(now, u)
	if rate == 0 {
		// What this process has left of an earlier portion now belongs to others.
		u.rate.pacer = admit.NewPacer(now)
	}
	u.rate.pacer.SetRate(now, rate)
	allowed, spare := u.rate.pacer.Allows(now)
	return allowed, !spare && float64(req.Prompt.Tokens) < pl.meanPromptTokens[req.Service]
}

// localRate returns this process's portion of the rate that an upstream announces. All
// processes compute the same portions, except for the delay with which they receive the
// last response, so that the announced rate also holds while the upstream does not
// respond.
func (pl *Placer) localRate(now time.Time, u *upstream) float64 {
	rank, n, ok := pl.limitRank(now, u)
	if !ok {
		return 0
	}
	passedOn := max(int(now.Sub(u.rate.observedAt)/portionTimeout), 0)
	return admit.SplitRate(u.rate.PerSecond, n, (rank+passedOn)%max(n, 1))
}

// RateLimit returns the rate that an upstream announces, as far as this process knows.
// repeat is set when the other processes should receive it.
func (pl *Placer) RateLimit(now time.Time, id core.UpstreamID) (limit core.RateLimit, repeat bool) {
	u := pl.upstreams[id]
	if u == nil {
		return core.RateLimit{}, false
	}
	return u.rate.RateLimit, u.rate.Limited || !u.rate.changedAt.IsZero() && now.Sub(u.rate.changedAt) < rateLimitRepeat
}

// observePromptSize updates the mean size of the prompts of a service.
func (pl *Placer) observePromptSize(req Request) {
	tokens := float64(req.Prompt.Tokens)
	mean, ok := pl.meanPromptTokens[req.Service]
	if !ok {
		mean = tokens
	}
	pl.meanPromptTokens[req.Service] = mean + promptSizeGain*(tokens-mean)
}
