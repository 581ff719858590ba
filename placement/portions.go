package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/rendezvous"
)

// The newest load of an engine is older than the calls that all processes have sent since.
// Each process therefore prefers the engines for which it ranks first among the processes:
// an engine has few processes that choose it, and they know most of what it still has to
// read. A process whose own engines are busy uses those for which it ranks next. Calls whose
// shared parts are often still in the memory of an engine prefer the same engine in all
// processes instead.

const (
	// preferenceCostPerRank is added for each rank of an engine, up to maxPreferenceCost.
	// Costs are in milliseconds.
	preferenceCostPerRank = 10.0
	maxPreferenceCost     = 120.0
	// reuseGain is the weight of one call in the share of calls whose last shared part is
	// in the memory of an engine.
	reuseGain = 0.02
	// fullReuseShare is that share from which the part alone determines the preference.
	fullReuseShare = 0.3
)

// partReuse is the share of the calls of a service whose last shared part is in the memory
// of an engine. The zero value is that of a service without calls, whose parts are taken to
// be reused.
type partReuse struct {
	missing float64
}

func (r *partReuse) observe(found bool) {
	r.missing *= 1 - reuseGain
	if !found {
		r.missing += reuseGain
	}
}

// weight returns the weight of the preference by parts, from 0 to 1.
func (r *partReuse) weight() float64 { return min((1-r.missing)/fullReuseShare, 1) }

// preferenceCosts returns the costs of the engines of a call by their ranks for this
// process and for the call's last shared part. It returns nil for other services.
func (pl *Placer) preferenceCosts(now time.Time, service *catalog.Service, req Request) []float64 {
	if service.Engine == nil {
		return nil
	}
	upstreams := pl.byService[req.Service]
	pl.preferenceBuf = append(pl.preferenceBuf[:0], make([]float64, len(upstreams))...)
	partWeight := 0.0
	if shared := req.Prompt.ShareableParts(); len(shared) > 0 {
		partWeight = pl.speed(service.ID).reuse.weight()
		pl.addPartCosts(upstreams, string(shared[len(shared)-1].ID), partWeight)
	}
	for i, u := range upstreams {
		if rank, n, ok := pl.limitRank(now, u); ok && n > 1 {
			pl.preferenceBuf[i] += (1 - partWeight) * min(float64(rank)*preferenceCostPerRank, maxPreferenceCost)
		}
	}
	return pl.preferenceBuf
}

// addPartCosts adds the cost of each upstream's rank in rendezvous hashing over a part, so
// that all processes send its calls to the same upstream without exchanging messages.
func (pl *Placer) addPartCosts(upstreams []*upstream, part string, weight float64) {
	for i := range pl.preferenceBuf {
		pl.preferenceBuf[i] = weight * maxPreferenceCost
	}
	rendezvous.VisitTop(upstreams, part, int(maxPreferenceCost/preferenceCostPerRank),
		func(u *upstream) string { return string(u.row.ID) },
		func(rank, i int) { pl.preferenceBuf[i] = weight * float64(rank) * preferenceCostPerRank })
}

// observeReuse records whether the last shared part of a placed call is in the memory of an
// engine.
func (pl *Placer) observeReuse(service *catalog.Service, req Request, salt string) {
	shared := req.Prompt.ShareableParts()
	if salt == "" || len(shared) == 0 {
		return
	}
	key, found := cacheindex.Key{Salt: salt, ID: shared[len(shared)-1].ID}, false
	for _, u := range pl.byService[service.ID] {
		if u.cachedParts.Contains(key) {
			found = true
			break
		}
	}
	pl.speed(service.ID).reuse.observe(found)
}
