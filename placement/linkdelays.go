package placement

import (
	"time"

	"waxwingtide.example/waxwingtide/placement/links"
)

// linkDelayInterval is the interval at which the delays of links are estimated anew. The
// estimate considers all attempts that wait for their first byte.
const linkDelayInterval = 100 * time.Millisecond

// linkDelays are the delays of the links of all stores and servers.
type linkDelays struct {
	state *links.Links
	// overdue are the overdue transfers, and estimates the delays in milliseconds, as of
	// estimatedAt.
	overdue     []links.Delays
	estimates   map[links.ID]float64
	estimatedAt time.Time
}

// linkDelayMs estimates how much longer than expected a new transfer takes because of the
// link of its source.
func (pl *Placer) linkDelayMs(now time.Time, address string) float64 {
	pl.refreshLinkDelays(now)
	return pl.delays.estimates[links.IDOf(address)]
}

// refreshLinkDelays estimates the delays of links anew after linkDelayInterval.
func (pl *Placer) refreshLinkDelays(now time.Time) {
	if now.Sub(pl.delays.estimatedAt) < linkDelayInterval {
		return
	}
	pl.delays.overdue, pl.delays.estimatedAt = pl.overdueTransfers(now), now
	pl.delays.estimates = pl.delays.state.DelayMs(now, pl.delays.overdue)
}

// overdueTransfers returns the delays until now of the transfers of attempts without a first
// byte. A transfer over a slow link is known before it ends.
func (pl *Placer) overdueTransfers(now time.Time) []links.Delays {
	var out []links.Delays
	for _, u := range pl.upstreams {
		for _, a := range u.attempts {
			if a.hasReport || len(a.transfers) == 0 {
				continue
			}
			for _, d := range transferDelays(now, u, a) {
				if d.DelayMs > 0 {
					out = append(out, d)
				}
			}
		}
	}
	return out
}

// transferDelays returns by how much the transfers of an attempt have exceeded their expected
// times until now.
func transferDelays(now time.Time, u *upstream, a *attempt) []links.Delays {
	totalMs := a.queuedBeforeMs
	for _, f := range a.transfers {
		totalMs += f.expectedMs
	}
	unexplained := unexplainedMs(now, u, a)
	out := make([]links.Delays, len(a.transfers))
	for i, f := range a.transfers {
		out[i] = links.One(links.IDOf(f.sourceAddress), unexplained*f.expectedMs/totalMs-f.queuedMs)
	}
	return out
}

// LinkDelays returns this process's observations of links for the other processes.
func (pl *Placer) LinkDelays(now time.Time) []links.Delays {
	pl.refreshLinkDelays(now)
	return pl.delays.state.Own(now, pl.delays.overdue)
}

// ApplyLinkDelays replaces the observations of links by the other processes.
func (pl *Placer) ApplyLinkDelays(now time.Time, others []links.Delays) {
	pl.delays.state.SetOthers(now, others)
}

// SlowLinks returns the addresses of the kept-cache stores whose links are slow, with the
// delay of a transfer in milliseconds.
func (pl *Placer) SlowLinks(now time.Time) map[string]float64 {
	out := make(map[string]float64)
	for _, s := range pl.cacheStores {
		if ms := pl.linkDelayMs(now, s.Address); ms > 0 {
			out[s.Address] = ms
		}
	}
	return out
}
