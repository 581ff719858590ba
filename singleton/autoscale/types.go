// Package autoscale decides how many upstreams a service has in each failure domain, and
// orders that number from the platform. The decision (Planner and Decide) is pure: it
// takes observations and the time, and returns counts. The duties (Scaler) hold the state,
// check the authority of this process and send the orders.
package autoscale

import (
	"cmp"
	"time"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
)

// Defaults of Options.
const (
	DefaultUtilization     = 0.7
	DefaultLossUtilization = 0.95
	DefaultCutShare        = 0.2
	DefaultPeriod          = 24 * time.Hour
)

// Options set the aims of the decisions.
type Options struct {
	// Utilization is the share of the capacity of all upstreams that the foreseen demand
	// uses. LossUtilization is the same after the largest tolerated loss.
	Utilization     float64
	LossUtilization float64
	// LostDomains and LostUpstreams are the numbers of failure domains and of upstreams
	// that may be lost at the same time. Either loss is tolerated, not both together.
	LostDomains   int
	LostUpstreams int
	// CutShare is the largest share of the upstreams of a failure domain that one order
	// removes. At least one upstream may be removed.
	CutShare float64
	// Period is the known period of the demand. A negative value means none.
	Period time.Duration
	// HoldTime is the time for which the highest demand is remembered, and the minimum
	// time between a raise and a cut. Zero selects a multiple of the lead time.
	HoldTime time.Duration
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.Utilization = cmp.Or(o.Utilization, DefaultUtilization)
	o.LossUtilization = cmp.Or(o.LossUtilization, DefaultLossUtilization)
	o.CutShare = cmp.Or(o.CutShare, DefaultCutShare)
	o.Period = cmp.Or(o.Period, DefaultPeriod)
	return o
}

// orderDelay is the time from a change of the demand until an order has reached the
// platform: the exchange of loads, the interval of decisions and the request.
const orderDelay = 2 * time.Second

// leadTime returns the time from a change of the demand until an upstream that is ordered
// because of it serves its full load.
func leadTime(scale catalog.Scale, coldStart time.Duration) time.Duration {
	return scale.Boot + coldStart + orderDelay
}

// Observation is the state of a service at a time.
type Observation struct {
	// Calls is the number of calls in progress at the upstreams of the service, and of
	// those that wait for one, over all fronts.
	Calls float64
	// Complete is set if the observation covers all fronts and upstreams. Otherwise Calls is
	// a lower bound.
	Complete bool
	// CallsPerUpstream is the number of calls that one upstream serves at the same time.
	CallsPerUpstream float64
	// InRollout is set while upstreams of two versions stand beside each other.
	InRollout bool
	Domains   []DomainObservation
}

// DomainObservation is the state of the upstreams of a service in a failure domain.
type DomainObservation struct {
	Domain core.FailureDomain
	// Listed is the number of upstreams that are not draining. While two versions stand
	// beside each other, it is the number of the version that has more.
	Listed int
	// Cold is the number of listed upstreams that are cold. LongCold is the number of those
	// that stay cold for longer than the lead time of a new one.
	Cold      int
	LongCold  int
	Evacuated bool
}

// Reason states why a count was decided.
type Reason uint8

// Reasons of counts that differ from the one in force, and of those that do not.
const (
	// Sufficient means that the count in force is the one that is needed.
	Sufficient Reason = iota
	// Foreseen means that the demand that is foreseen for the lead time needs more.
	Foreseen
	// TolerateLoss means that the remaining upstreams would not serve the demand after the
	// largest tolerated loss.
	TolerateLoss
	// Limit means that the count in force is outside of the limits of the service.
	Limit
	// Recede means that the demand has stayed lower for the hold time.
	Recede
	// Observing means that this process has not observed for long enough.
	Observing
	// Incomplete means that observations are missing.
	Incomplete
	// RecentChange means that the last change is too recent for a cut.
	RecentChange
	// Restricted means that a failure domain is evacuated or lost, that upstreams are cold or
	// that a rollout is in progress, so that nothing is removed.
	Restricted
	// Unavailable means that the failure domain itself is evacuated, lost or without
	// upstreams, so that its count stays.
	Unavailable
)

// String returns the name of the reason as used in metrics and logs.
func (r Reason) String() string {
	return [...]string{
		"sufficient", "foreseen", "tolerate_loss", "limit", "recede", "observing", "incomplete", "recent_change", "restricted", "unavailable",
	}[r]
}

// Decision is the number of upstreams that a failure domain is to have.
type Decision struct {
	Count  int
	Reason Reason
	// Foreseen is the number of calls for which the count was decided, and Headroom the
	// factor for bursts that it includes.
	Foreseen float64
	Headroom float64
}

// InForce is the count that was last ordered for a failure domain, as far as this process
// knows.
type InForce struct {
	Count int
	// RaisedAt and CutAt are the times of the last changes, or zero.
	RaisedAt time.Time
	CutAt    time.Time
	// Observing is set after this process has become the holder, until orders of the
	// earlier holder must have become visible in the list of upstreams.
	Observing bool
}
