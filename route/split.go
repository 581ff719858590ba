package route

import (
	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
)

// Split divides the traffic of a model between two weight versions.
type Split struct {
	Stable core.WeightVersion
	Canary core.WeightVersion
	// Share is the fraction of attempts that are sent to the canary version, from
	// 0 to 1.
	Share float64
}

// Version returns the weight version for an attempt. It depends on the hash of
// the attempt id, so entries need no shared counter to maintain the share.
func (s Split) Version(attempt core.AttemptID) core.WeightVersion {
	const hashRange = 1 << 53 // all integers up to 2^53 are exact in a float64
	if s.Canary == "" || float64(xxhash.Sum64String(string(attempt))>>11) >= s.Share*hashRange {
		return s.Stable
	}
	return s.Canary
}
