package rollout

import (
	"cmp"
	"slices"

	"waxwingtide.example/waxwingtide/core"
)

// Canary is the selection of upstreams for the canary stage.
type Canary struct {
	Upstreams []core.UpstreamID
	// Share is the share of the model's traffic that they receive, from 0 to 1.
	Share float64
	// FullLoad is set when the share fills the windows of the upstreams. It is not
	// set when filling even the smallest upstream needs more than the canary share.
	FullLoad bool
}

// SelectCanary selects at most limit open engines for at most the given share of
// the model's traffic. meanRuns is the mean number of concurrent runs of the
// model. One open engine always remains on the old version, so SelectCanary
// returns no upstreams if fewer than two engines are open. Otherwise it returns
// at least one upstream, and no second one that the share cannot fill: faults
// that appear only under load remain hidden on engines that are partly idle.
func SelectCanary(engines []Engine, limit int, share, meanRuns float64) Canary {
	candidates := canaryCandidates(engines)
	limit = min(limit, len(candidates)-1)
	if limit < 1 {
		return Canary{}
	}
	maxRuns := share * meanRuns
	var c Canary
	window := 0.0
	for _, e := range candidates[:limit] {
		nextWindow := window + float64(e.Window)
		if nextWindow > maxRuns && len(c.Upstreams) > 0 {
			break
		}
		c.Upstreams = append(c.Upstreams, e.ID)
		window = nextWindow
	}
	c.FullLoad = window <= maxRuns
	c.Share = share
	if c.FullLoad {
		c.Share = window / meanRuns
	}
	return c
}

// canaryCandidates returns the open engines sorted by window, smallest first.
// Engines with equal windows alternate between failure domains, so that the
// drain of one failure domain does not end the canary stage.
func canaryCandidates(engines []Engine) []Engine {
	open := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return !e.Open })
	slices.SortFunc(open, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.ID, b.ID))
	})
	rank := make(map[core.UpstreamID]int, len(open))
	domainCount := make(map[core.FailureDomain]int)
	for _, e := range open {
		rank[e.ID] = domainCount[e.FailureDomain]
		domainCount[e.FailureDomain]++
	}
	slices.SortStableFunc(open, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(rank[a.ID], rank[b.ID]))
	})
	return open
}
