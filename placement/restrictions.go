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

// restriction is what an incarnation of an upstream has announced about new calls.
// Restrictions are stored apart from the state of the upstream, which is removed as soon
// as the upstream is not listed.
type restriction struct {
	// leavingSince is the time of the announcement that the incarnation leaves, or zero.
	// The announcement has no end: no later response without it and no row revokes it.
	leavingSince time.Time
	// unlistedSince is the time from which the incarnation has not been listed, or zero.
	unlistedSince time.Time
}

func (r *restriction) leaving() bool { return r != nil && !r.leavingSince.IsZero() }

// RestrictionChange is a new restriction of an incarnation of an upstream.
type RestrictionChange struct {
	quarantine.Incarnation
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

// recordDeparture records that an incarnation leaves.
func (pl *Placer) recordDeparture(now, observedAt time.Time, incarnation quarantine.Incarnation, reporter core.NodeID) {
	r := pl.restrictionOf(incarnation)
	if r.leaving() {
		return
	}
	r.leavingSince = observedAt
	pl.restrictionChanges = append(pl.restrictionChanges, RestrictionChange{Incarnation: incarnation, Age: now.Sub(observedAt), Reporter: reporter})
}

// restrictionOf returns the restriction of an incarnation, which may not be listed. It
// creates one without an effect if there is none.
func (pl *Placer) restrictionOf(incarnation quarantine.Incarnation) *restriction {
	r := pl.restrictions[incarnation]
	if r == nil {
		r = new(restriction)
		pl.restrictions[incarnation] = r
		if u := pl.upstreams[incarnation.Upstream]; u != nil && u.incarnation() == incarnation {
			u.restriction = r
		}
	}
	return r
}

// updateRestrictions applies the restrictions to the listed upstreams and removes those
// of incarnations that have not been listed for restrictionRetention.
func (pl *Placer) updateRestrictions(now time.Time) {
	for _, u := range pl.upstreams {
		u.restriction = pl.restrictions[u.incarnation()]
	}
	for incarnation, r := range pl.restrictions {
		u := pl.upstreams[incarnation.Upstream]
		switch {
		case u != nil && u.incarnation() == incarnation:
			r.unlistedSince = time.Time{}
		case r.unlistedSince.IsZero():
			r.unlistedSince = now
		case now.Sub(r.unlistedSince) > restrictionRetention:
			delete(pl.restrictions, incarnation)
		}
	}
}
