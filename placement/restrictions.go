package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/sharing"
)

// restrictionRetention is the time for which the restriction of an incarnation that is
// not listed is stored. An incarnation may be listed again after its row has expired or
// the metadata store was restored from a copy.
const restrictionRetention = 2 * time.Minute

// pauseMargin is added to the time for which an upstream wants no calls. That time is
// counted from the head of the response, while the upstream may count it from the end.
const pauseMargin = 50 * time.Millisecond

// restriction is what an incarnation of an upstream has announced about new calls.
// It also applies while a row of an earlier incarnation is listed. Restrictions are stored
// apart from the state of the upstream, which is removed as soon as the upstream is not
// listed.
type restriction struct {
	// leavingSince is the time of the announcement that the incarnation leaves, or zero.
	// The announcement has no end: no later response without it and no row revokes it.
	leavingSince time.Time
	// pausedUntil is the end of the longest time for which the incarnation has asked this
	// process for no calls.
	pausedUntil time.Time
	// unlistedSince is the time from which the incarnation has not been listed, or zero.
	unlistedSince time.Time
}

func (r *restriction) leaving() bool { return !r.leavingSince.IsZero() }

func (r *restriction) paused(now time.Time) bool { return now.Before(r.pausedUntil) }

// add adds another restriction of the same upstream.
func (r *restriction) add(other *restriction) {
	if other.leaving() {
		r.leavingSince = other.leavingSince
	}
	if other.pausedUntil.After(r.pausedUntil) {
		r.pausedUntil = other.pausedUntil
	}
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
	for incarnation, r := range pl.restrictions {
		if r.leaving() && r.unlistedSince.IsZero() && r.leavingSince.After(after) {
			out = append(out, sharing.Observation{
				Upstream: incarnation.Upstream, StartedAtMs: incarnation.StartedAtMs, Leaving: true, ObservedAt: r.leavingSince,
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
		pl.recordPause(now, incarnation, r.PauseFor)
	}
}

// recordDeparture records that an incarnation leaves.
func (pl *Placer) recordDeparture(now, observedAt time.Time, incarnation quarantine.Incarnation, reporter core.NodeID) {
	incarnation = pl.attributedIncarnation(incarnation)
	r := pl.restrictionOf(incarnation)
	if r.leaving() {
		return
	}
	r.leavingSince = observedAt
	pl.applyRestriction(incarnation, r)
	pl.restrictionChanges = append(pl.restrictionChanges, RestrictionChange{Incarnation: incarnation, Leaving: true, Age: now.Sub(observedAt), Reporter: reporter})
}

// recordPause records that an incarnation wants no calls from this process for a time.
// A later response does not shorten a pause, since responses overtake one another.
func (pl *Placer) recordPause(now time.Time, incarnation quarantine.Incarnation, pauseFor time.Duration) {
	incarnation = pl.attributedIncarnation(incarnation)
	r := pl.restrictionOf(incarnation)
	if !r.paused(now) {
		pl.sourcesOutdated = true
		pl.restrictionChanges = append(pl.restrictionChanges, RestrictionChange{Incarnation: incarnation, PauseFor: pauseFor})
	}
	if until := now.Add(pauseFor + pauseMargin); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
	pl.applyRestriction(incarnation, r)
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

// restrictionOf returns the restriction of an incarnation, which may not be listed. It
// creates one without an effect if there is none.
func (pl *Placer) restrictionOf(incarnation quarantine.Incarnation) *restriction {
	r := pl.restrictions[incarnation]
	if r == nil {
		r = new(restriction)
		pl.restrictions[incarnation] = r
	}
	return r
}

// attributedIncarnation returns the incarnation to which an announcement is attributed. If the
// listed row is outdated, because a later incarnation of the upstream has a restriction,
// that is the newest of these: the call reached it, since the incarnations of an upstream
// have the same id. Otherwise it is the given one, whose announcement may arrive late.
func (pl *Placer) attributedIncarnation(incarnation quarantine.Incarnation) quarantine.Incarnation {
	u := pl.upstreams[incarnation.Upstream]
	if u == nil {
		return incarnation
	}
	for other := range pl.restrictions {
		if other.Upstream == incarnation.Upstream && other.StartedAtMs > max(incarnation.StartedAtMs, u.row.StartedAtMs) {
			incarnation = other
		}
	}
	return incarnation
}

// isListed reports whether the row of an upstream is that of an incarnation or of an
// earlier one.
func isListed(u *upstream, incarnation quarantine.Incarnation) bool {
	return u != nil && u.row.StartedAtMs <= incarnation.StartedAtMs
}

// updateRestrictions applies the restrictions to the listed upstreams. It removes those
// that have ended and those of incarnations that have not been listed for
// restrictionRetention.
func (pl *Placer) updateRestrictions(now time.Time) {
	for incarnation, r := range pl.restrictions {
		u := pl.upstreams[incarnation.Upstream]
		switch {
		case !r.leaving() && !r.paused(now):
			delete(pl.restrictions, incarnation)
		case isListed(u, incarnation):
			r.unlistedSince = time.Time{}
		case r.unlistedSince.IsZero():
			r.unlistedSince = now
		case now.Sub(r.unlistedSince) > restrictionRetention:
			delete(pl.restrictions, incarnation)
		}
	}
	for _, u := range pl.upstreams {
		u.restriction = restriction{}
	}
	for incarnation, r := range pl.restrictions {
		pl.applyRestriction(incarnation, r)
	}
}

// applyRestriction applies the restriction of an incarnation to its upstream if that is
// listed.
func (pl *Placer) applyRestriction(incarnation quarantine.Incarnation, r *restriction) {
	if u := pl.upstreams[incarnation.Upstream]; isListed(u, incarnation) {
		u.restriction.add(r)
	}
}
