package rollout

import (
	"cmp"
	"slices"

	"waxwingtide.example/waxwingtide/core"
)

// Canary is the choice of upstreams for the canary stage.
type Canary struct {
	Upstreams []core.UpstreamID
	// Share is the share of the model's traffic for them, from 0 to 1.
	Share float64
	// FullLoad says whether the share fills the upstreams' windows. It is false
	// when even the smallest upstream takes more than the canary share.
	FullLoad bool
}

// ChooseCanary picks at most limit open engines for at most the given share of
// the model's traffic. It picks as many as the share can fill, at least one,
// because faults that appear only under load stay hidden on engines that are
// partly idle. busy is the mean number of concurrent runs of the model. One
// open engine always stays on the old version.
func ChooseCanary(engines []Engine, limit int, share, busy float64) Canary {
	order := canaryOrder(engines)
	limit = min(limit, len(order)-1)
	if limit < 1 {
		return Canary{}
	}
	budget := share * busy
	var c Canary
	window := 0.0
	for _, e := range order[:limit] {
		next := window + float64(e.Window)
		if next > budget && len(c.Upstreams) > 0 {
			break
		}
		c.Upstreams = append(c.Upstreams, e.ID)
		window = next
	}
	c.FullLoad = window <= budget
	c.Share = share
	if c.FullLoad {
		c.Share = window / busy
	}
	return c
}

// canaryOrder returns the open engines, smallest window first, and among equal
// windows one failure domain after the other, so that the drain of one failure
// domain does not end the canary.
func canaryOrder(engines []Engine) []Engine {
	open := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return !e.Open })
	slices.SortFunc(open, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.ID, b.ID))
	})
	rank := make(map[core.UpstreamID]int, len(open))
	seen := make(map[core.FailureDomain]int)
	for _, e := range open {
		rank[e.ID] = seen[e.FailureDomain]
		seen[e.FailureDomain]++
	}
	slices.SortStableFunc(open, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(rank[a.ID], rank[b.ID]))
	})
	return open
}
