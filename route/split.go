package route

import (
	"github.com/cespare/xxhash/v2"

	"waxwingtide.example/waxwingtide/core"
)

// Split divides the traffic of a model between two weight versions.
type Split struct {
	Stable core.WeightVersion
	Canary core.WeightVersion
	// Share is the part of attempts that go to the canary version, 0 to 1.
	Share float64
}

// Version returns the weight version for an attempt. The hash of the attempt
// decides, so entries need no common counter to keep to the share.
func (s Split) Version(attempt core.AttemptID) core.WeightVersion {
	const steps = 1 << 53 // whole numbers that a float64 holds exactly
	if s.Canary == "" || float64(xxhash.Sum64String(string(attempt))>>11) >= s.Share*steps {
		return s.Stable
	}
	return s.Canary
}
