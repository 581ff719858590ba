package quarantine

import "math"

// binomialTail returns the probability of at least k successes in n trials, each of which
// succeeds with probability p.
func binomialTail(n, k int, p float64) float64 {
	tail := 0.0
	for i := k; i <= n; i++ {
		tail += binomial(n, i) * math.Pow(p, float64(i)) * math.Pow(1-p, float64(n-i))
	}
	return tail
}

// binomial returns the number of ways to select k of n.
func binomial(n, k int) float64 {
	ways := 1.0
	for i := 1; i <= k; i++ {
		ways *= float64(n-k+i) / float64(i)
	}
	return ways
}

// anyOf returns the probability that at least one of n independent calls has a part with
// the given share of the calls.
func anyOf(n, share float64) float64 { return 1 - math.Pow(1-share, n) }
