package catalog

import "time"

// Scale contains the limits of the number of upstreams of a service. They apply to each
// failure domain.
type Scale struct {
	Min int
	Max int
	// Boot is the time from an order of a new upstream until it serves calls.
	Boot time.Duration
}
