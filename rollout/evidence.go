package rollout

import "math"

// evidence is a sequential test of the hypothesis that a binary event has a
// probability of at most p0. Its value is an e-process: under the hypothesis,
// the probability that it ever reaches 1/a is at most a, for any number of
// samples and any choice of the times at which it is checked (Ville's
// inequality).
//
// It is a test by betting against the hypothesis, with an initial capital of 1. A
// stake is an amount of this capital that is placed on one alternative. Each
// sample multiplies the stakes: by more than 1 if the event occurred, otherwise by
// less. The factors are such that the expected gain is at most 0 under the
// hypothesis. The value of the test is the sum of the stakes.
//
// A fault may start at any sample. The test therefore distributes its initial
// capital over all start times: the fraction for sample t is staked from t on.
// This is the Shiryaev-Roberts form of the test with a prior over the start
// time. Its cost per sample is constant.
type evidence struct {
	samples float64
	stake   [len(betFractions)]float64
}

// betFractions are the alternatives tested against p0, with one stake each. The
// alternative for fraction f has the probability p0 + f*(1-p0).
var betFractions = [...]float64{0.03, 0.1, 0.35, 0.7, 0.95}

// unstakedCapital returns the capital that is not staked yet after t samples. It
// decreases slowly, so that enough capital remains to detect a fault after many
// good samples.
func unstakedCapital(t float64) float64 { return 1 / (1 + math.Log1p(t)) }

// add adds the outcome of one sample. p0 may change between samples but must not
// depend on the outcome that is added.
func (e *evidence) add(event bool, p0 float64) {
	added := (unstakedCapital(e.samples) - unstakedCapital(e.samples+1)) / float64(len(betFractions))
	e.samples++
	for i, f := range betFractions {
		factor := 1 - f
		if event {
			factor = (p0 + f*(1-p0)) / p0
		}
		// The bound keeps the product finite. No threshold is as large.
		e.stake[i] = min((e.stake[i]+added)*factor, math.MaxFloat32)
	}
}

func (e *evidence) value() float64 {
	sum := 0.0
	for _, s := range e.stake {
		sum += s
	}
	return sum
}
