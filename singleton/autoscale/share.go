package autoscale

import (
	"math"
	"slices"
	"sort"
)

// upstreamsFor returns the number of upstreams that serve a demand at a utilization.
func upstreamsFor(calls, callsPerUpstream, utilization float64) int {
	if calls <= 0 || callsPerUpstream <= 0 {
		return 0
	}
	// The subtraction keeps a rounding error from adding an upstream.
	return int(math.Ceil(calls/(callsPerUpstream*utilization) - 1e-9))
}

// evenShare returns the smallest number of upstreams of each failure domain with which all
// failure domains together have the needed number after the largest ones are lost. A
// failure domain has no more than its capacity. If the needed number cannot be reached, the
// result is the largest capacity.
func evenShare(needed int, capacities []int, lost int) int {
	if len(capacities) == 0 {
		return 0
	}
	sorted := slices.Clone(capacities)
	slices.Sort(sorted)
	remaining := sorted[:max(len(sorted)-lost, 0)]
	largest := sorted[len(sorted)-1]
	return sort.Search(largest, func(share int) bool {
		var sum int
		for _, capacity := range remaining {
			sum += min(share, capacity)
		}
		return sum >= needed
	})
}
