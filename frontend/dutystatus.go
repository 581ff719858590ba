package frontend

import (
	"time"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/singleton"
	"waxwingtide.example/waxwingtide/singleton/autoscale"
	"waxwingtide.example/waxwingtide/singleton/dutystatus"
)

// status returns the duties that this process holds.
func (d *duties) status(node core.NodeID) dutystatus.Front {
	front := dutystatus.Front{Node: string(node), Duties: []dutystatus.Duty{}}
	if d == nil {
		return front
	}
	upstreams := d.upstreamStatus()
	now, bootTime := time.Now(), clock.SinceBoot()
	for _, a := range d.keeper.Held() {
		held := dutystatus.Duty{
			Subject: string(a.Subject), Fence: uint64(a.Fence), HeldSince: now.Add(a.Since - bootTime), Upstreams: upstreams[a.Subject],
		}
		if a.Subject == singleton.UsageSubject && d.reporter != nil {
			held.Usage = usageStatus(d)
		}
		front.Duties = append(front.Duties, held)
	}
	return front
}

// usageStatus returns the last report of this process, or nil.
func usageStatus(d *duties) *dutystatus.Usage {
	sent, ok := d.reporter.LastSent()
	if !ok {
		return nil
	}
	return &dutystatus.Usage{Window: int64(sent.Window), Calls: sent.Calls, SentAt: sent.At, Late: sent.Late}
}

// upstreamStatus returns the numbers of upstreams by subject.
func (d *duties) upstreamStatus() map[singleton.Subject]*dutystatus.Upstreams {
	out := make(map[singleton.Subject]*dutystatus.Upstreams)
	if d.scaler == nil {
		return out
	}
	for _, s := range d.scaler.Status() {
		out[singleton.ScalingSubject(s.Service, s.Domain)] = upstreamsOf(s)
	}
	return out
}

func upstreamsOf(s autoscale.Status) *dutystatus.Upstreams {
	return &dutystatus.Upstreams{
		Ordered: s.InForce, Desired: s.Desired, Listed: s.Listed, Reason: s.Reason.String(), LastChange: s.LastChange.String(), Uncertain: s.Uncertain,
	}
}
