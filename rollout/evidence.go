package rollout

import "math"

// evidence is a sequential test of the hypothesis that a yes-or-no event has a
// probability of at most p0. Its value is an e-process: under the hypothesis
// the probability that it ever reaches 1/a is at most a, whatever the number of
// samples and whenever one looks (Ville's inequality).
//
// A fault may begin at any sample. The test therefore spreads its starting
// capital over all start times: the part for sample t is staked from t on.
// This is the Shiryaev-Roberts form of the test with a prior over the start,
// and it costs the same work at each sample.
type evidence struct {
	t     float64
	stake [len(betFractions)]float64
}

// betFractions are the alternatives tested against p0. The alternative for
// fraction f has the probability p0 + f*(1-p0).
var betFractions = [...]float64{0.03, 0.1, 0.35, 0.7, 0.95}

// capitalLeft returns the capital not yet staked after t samples. It falls
// slowly, so that a fault after many good samples still meets enough capital.
func capitalLeft(t float64) float64 { return 1 / (1 + math.Log1p(t)) }

// add takes one observation. p0 may change between observations but must not
// depend on the one that is added.
func (e *evidence) add(event bool, p0 float64) {
	fresh := (capitalLeft(e.t) - capitalLeft(e.t+1)) / float64(len(betFractions))
	e.t++
	for i, f := range betFractions {
		factor := 1 - f
		if event {
			factor = (p0 + f*(1-p0)) / p0
		}
		// The bound keeps the product finite; no threshold is as large.
		e.stake[i] = min((e.stake[i]+fresh)*factor, math.MaxFloat32)
	}
}

func (e *evidence) value() float64 {
	sum := 0.0
	for _, s := range e.stake {
		sum += s
	}
	return sum
}
