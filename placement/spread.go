package placement

import (
	"math"
	"strconv"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/rendezvous"
)

// The loads of plain services are older than most of their calls run. All processes have
// nearly the same loads, so that all would choose the same upstream until the next report.
// Each call therefore adds a random part to the costs, which is large enough to spread
// calls over upstreams whose costs are alike, and too small to choose a slow or full one.

const (
	// spreadShare is the scale of the random part of the cost, as a share of the typical
	// time of a call.
	spreadShare = 0.5
	// meanLoadHalfLife is the time in which the weight of a load in the mean load of an
	// upstream decays to half.
	meanLoadHalfLife = 500 * time.Millisecond
)

// expectedLoad estimates the calls at an upstream of a plain service. A reported load says
// little once the calls that it counts have ended: it decays to the mean in the typical
// time of a call.
func (pl *Placer) expectedLoad(now time.Time, service core.ServiceID, u *upstream) float64 {
	typical := time.Duration(pl.speed(service).typical.Ms(baseCallCost) * float64(time.Millisecond))
	others := u.meanOtherCalls + decayed(u.otherCalls-u.meanOtherCalls, u.otherCallsAt, now, typical)
	return float64(len(u.attempts)) + decayed(others, u.otherCallsAt, now, loadHalfLife)
}

// spreadMs returns the random part of the cost of an upstream for the next call, with a
// Gumbel distribution: the probability of an upstream then falls exponentially with its
// cost. It depends only on the process, the call and the upstream.
func (pl *Placer) spreadMs(service core.ServiceID, u *upstream) float64 {
	if len(pl.fronts) < 2 {
		return 0
	}
	draw := string(pl.opts.Node) + "/" + strconv.FormatUint(uint64(pl.lastAttemptID), 10)
	uniform := (float64(rendezvous.Score(draw, string(u.row.ID))>>11) + 0.5) / (1 << 53)
	return spreadShare * pl.speed(service).typical.Ms(baseCallCost) * math.Log(-math.Log(uniform))
}
