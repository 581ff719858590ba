package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/sharing"
)

// restrictionRetention is the time for which a restriction is stored while the upstream
// to which it applies is not listed. An upstream may be listed again after its row has
// expired or the metadata store was restored from a copy.
const restrictionRetention = 2 * time.Minute

// pauseMargin is added to the time for which an upstream wants no calls. That time is
// counted from the head of the response, while the upstream may count it from the end.
const pauseMargin = 50 * time.Millisecond

// restriction is what an upstream has announced about new calls, as it applies to its row.
// Departures and pauses are stored apart from the state of the upstream, which is removed
// as soon as the upstream is not listed.
type restriction struct {
	leaving bool
	// pausedUntil is the end of the longest time for which the upstream has asked this
	// process for no calls.
	pausedUntil time.Time
}

func (r restriction) paused(now time.Time) bool { return now.Before(r.pausedUntil) }

// departure is the announcement of an incarnation that it leaves. It has no end: no later
// response without it and no row revokes it. It also applies while a row of an earlier
// incarnation is listed.
type departure struct {
	since time.Time
	// unlistedSince is the time from which the incarnation has not been listed, or zero.
	unlistedSince time.Time
}

// pauseSubject is what a pause belongs to. An upstream that starts again there may do so
// before its row says so, and its pause then seems to be that of the previous incarnation,
// so that a pause does not end with an incarnation.
type pauseSubject struct {
	upstream core.UpstreamID
	address  string
}

// pause is a time for which an upstream wants no calls from this process.
type pause struct {
	until time.Time
	// startedAtMs is the start of the newest incarnation that has named the pause, as listed.
	startedAtMs int64
	// unlistedSince is the time from which the upstream has not been listed with the
	// address, or zero.
	unlistedSince time.Time
}

// RestrictionChange is a new restriction of an incarnation of an upstream.
type RestrictionChange struct {
	quarantine.Incarnation
	// Leaving is set when the incarnation leaves. Otherwise it wants no calls for PauseFor.
	Leaving  bool
	PauseFor time.Duration
	// Age is the age of the announcement. It is 0 for a response to this process.
	Age time.Duration
	// Reporter is the process that received the announcement. It is empty for this
	// process.
	Reporter core.NodeID
}

// TakeRestrictionChanges returns the new restrictions since the last call.
func (pl *Placer) TakeRestrictionChanges() []RestrictionChange {
	changes := pl.restrictionChanges
	pl.restrictionChanges = nil
	return changes
}

// Departures returns, as observations for the other processes, the listed incarnations
// that have announced after a point in time that they leave.
func (pl *Placer) Departures(after time.Time) []sharing.Observation {
	var out []sharing.Observation
	for incarnation, d := range pl.departures {
		if d.unlistedSince.IsZero() && d.since.After(after) {
			out = append(out, sharing.Observation{
				Upstream: incarnation.Upstream, StartedAtMs: incarnation.StartedAtMs, Leaving: true, ObservedAt: d.since,
			})
		}
	}
	return out
}

// recordAnnouncements records what a response announces about new calls. It is not called
// for final reports, which repeat the head of the response, perhaps long after it.
func (pl *Placer) recordAnnouncements(now time.Time, r Report) {
	incarnation := quarantine.Incarnation{Upstream: r.Upstream, StartedAtMs: r.StartedAtMs}
	if r.Leaving {
		pl.recordDeparture(now, now, incarnation, "")
	}
	if r.PauseFor > 0 {
		pl.recordPause(now, incarnation, r.Address, r.PauseFor)
	}
}

// recordDeparture records that an incarnation leaves.
func (pl *Placer) recordDeparture(now, observedAt time.Time, incarnation quarantine.Incarnation, reporter core.NodeID) {
	incarnation = pl.attributedIncarnation(incarnation)
	if pl.departures[incarnation] != nil {
		return
	}
	pl.departures[incarnation] = &departure{since: observedAt}
	pl.applyDeparture(incarnation)
	pl.restrictionChanges = append(pl.restrictionChanges, RestrictionChange{Incarnation: incarnation, Leaving: true, Age: now.Sub(observedAt), Reporter: reporter})
}

// recordPause records that the upstream at an address wants no calls from this process for
// a time. A later response does not shorten a pause, since responses overtake one another.
func (pl *Placer) recordPause(now time.Time, incarnation quarantine.Incarnation, address string, pauseFor time.Duration) {
	subject := pauseSubject{incarnation.Upstream, address}
	p := pl.pauses[subject]
	if p == nil {
		p = new(pause)
		pl.pauses[subject] = p
	}
	if !now.Before(p.until) {
		pl.sourcesOutdated = true
		pl.restrictionChanges = append(pl.restrictionChanges, RestrictionChange{Incarnation: incarnation, PauseFor: pauseFor})
	}
	if until := now.Add(pauseFor + pauseMargin); until.After(p.until) {
		p.until = until
	}
	p.startedAtMs = max(p.startedAtMs, incarnation.StartedAtMs)
	pl.applyPause(subject, p)
}

// PauseRemaining returns the time until the first pause ends, if all upstreams that could
// otherwise serve the next attempt of the caller have asked for a pause. A rollout's
// filter and the upstreams that were used before are ignored, since they do not restrict
// that attempt.
func (pl *Placer) PauseRemaining(now time.Time, req Request) (remaining time.Duration, paused bool) {
	for _, u := range pl.byService[req.Service] {
		if u.leaving() || pl.evacuated[u.row.Domain] || pl.weightsOverdue(now, u, req.Prompt.Model) {
			continue
		}
		if !u.restriction.paused(now) {
			return 0, false
		}
		if wait := u.restriction.pausedUntil.Sub(now); !paused || wait < remaining {
			remaining, paused = wait, true
		}
	}
	return remaining, paused
}

// attributedIncarnation returns the incarnation to which a departure is attributed. If the
// listed row is outdated, because a later incarnation of the upstream has announced
// something, that is the newest of these: the call reached it, since the incarnations of an
// upstream have the same id. Otherwise it is the given one, whose announcement may arrive
// late.
func (pl *Placer) attributedIncarnation(incarnation quarantine.Incarnation) quarantine.Incarnation {
	u := pl.upstreams[incarnation.Upstream]
	if u == nil {
		return incarnation
	}
	newest := int64(0)
	for other := range pl.departures {
		if other.Upstream == incarnation.Upstream {
			newest = max(newest, other.StartedAtMs)
		}
	}
	for subject, p := range pl.pauses {
		if subject.upstream == incarnation.Upstream {
			newest = max(newest, p.startedAtMs)
		}
	}
	if newest > u.row.StartedAtMs {
		incarnation.StartedAtMs = max(incarnation.StartedAtMs, newest)
	}
	return incarnation
}

// isListed reports whether the row of an upstream is that of an incarnation or of an
// earlier one.
func isListed(u *upstream, incarnation quarantine.Incarnation) bool {
	return u != nil && u.row.StartedAtMs <= incarnation.StartedAtMs
}

// updateRestrictions applies the restrictions to the listed upstreams. It removes pauses
// that have ended, and what has not applied to a listed upstream for restrictionRetention.
func (pl *Placer) updateRestrictions(now time.Time) {
	for _, u := range pl.upstreams {
		u.restriction = restriction{}
	}
	for incarnation, d := range pl.departures {
		listed := isListed(pl.upstreams[incarnation.Upstream], incarnation)
		if retentionEnded(now, listed, &d.unlistedSince) {
			delete(pl.departures, incarnation)
			continue
		}
		pl.applyDeparture(incarnation)
	}
	for subject, p := range pl.pauses {
		listed := isListedAt(pl.upstreams[subject.upstream], subject.address)
		if retentionEnded(now, listed, &p.unlistedSince) || !now.Before(p.until) {
			delete(pl.pauses, subject)
			continue
		}
		pl.applyPause(subject, p)
	}
}

// retentionEnded updates the time from which a subject has not been listed, and reports
// whether that is longer than restrictionRetention ago.
func retentionEnded(now time.Time, listed bool, unlistedSince *time.Time) bool {
	switch {
	case listed:
		*unlistedSince = time.Time{}
	case unlistedSince.IsZero():
		*unlistedSince = now
	}
	return !listed && now.Sub(*unlistedSince) > restrictionRetention
}

// applyDeparture excludes the upstream of an incarnation that leaves if that is listed.
func (pl *Placer) applyDeparture(incarnation quarantine.Incarnation) {
	if u := pl.upstreams[incarnation.Upstream]; isListed(u, incarnation) {
		u.restriction.leaving = true
	}
}

// isListedAt reports whether the row of an upstream has an address.
func isListedAt(u *upstream, address string) bool { return u != nil && u.row.Address == address }

// applyPause applies a pause to its upstream if that is listed with the address.
func (pl *Placer) applyPause(subject pauseSubject, p *pause) {
	if u := pl.upstreams[subject.upstream]; isListedAt(u, subject.address) && p.until.After(u.restriction.pausedUntil) {
		u.restriction.pausedUntil = p.until
	}
}
