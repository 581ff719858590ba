package autoscale

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/singleton"
)

const (
	decisionInterval = time.Second
	// orderCapacity is the number of orders that may wait for the platform. Further ones are
	// refused and decided again at the next interval.
	orderCapacity = 64
)

// Client orders numbers of upstreams from the platform. An error has the kind errs.Exhausted
// if the platform refuses orders for a time, errs.Unavailable if the order was not sent,
// errs.Stale if the authority has ended, errs.Invalid if the platform refuses this order,
// and errs.Unknown if it may have taken effect. The client must check the authority when it
// writes the request, since the process may be suspended at any moment.
type Client interface {
	SetCount(ctx context.Context, authority singleton.Authority, service core.ServiceID, domain core.FailureDomain, count int) error
}

// ScalerOptions configure a Scaler.
type ScalerOptions struct {
	Options Options
	Leases  singleton.Leases
	Client  Client
	// View returns the newest view of the fleet.
	View func() *fleet.View
	Log  logrus.FieldLogger
	// Meter creates the instruments; nil means no metrics.
	Meter metric.Meter
	// SinceBoot is clock.SinceBoot unless it is set.
	SinceBoot func() time.Duration
}

// Scaler runs the duties that decide and order the numbers of upstreams.
type Scaler struct {
	opts    ScalerOptions
	loads   *ring.Ring[LoadReport]
	orders  *ring.Ring[order]
	results *ring.Ring[orderResult]
	metrics *metrics
	status  atomic.Pointer[[]Status]
}

// NewScaler returns a Scaler whose duties have not started.
func NewScaler(opts ScalerOptions) (*Scaler, error) {
	opts.Options = opts.Options.withDefaults()
	if opts.SinceBoot == nil {
		opts.SinceBoot = clock.SinceBoot
	}
	s := &Scaler{
		opts: opts, loads: ring.New[LoadReport](1), orders: ring.New[order](orderCapacity), results: ring.New[orderResult](orderCapacity),
	}
	var err error
	s.metrics, err = newMetrics(opts.Meter, s.Status)
	return s, err
}

// Start starts the duties in a group.
func (s *Scaler) Start(g *duty.Group) {
	g.Go("autoscale", s.run)
	g.Go("autoscale orders", s.runOrders)
}

// RecordLoads passes the loads of all upstreams. The newest report replaces an unread one.
func (s *Scaler) RecordLoads(report LoadReport) { s.loads.Push(report) }

// run is the loop of the duty that owns the planners and targets.
func (s *Scaler) run(ctx context.Context) error {
	d := &decisionDuty{
		Scaler: s, planners: make(map[core.ServiceID]*Planner), targets: make(map[singleton.Subject]*target), cold: make(coldPeriods),
		problems: make(map[core.ServiceID]string),
	}
	// Steps of the wall clock do not change the time that the duty uses. The history would
	// otherwise ignore demand until the clock is again where it was.
	start := time.Now()
	now := func() time.Time { return start.Add(time.Since(start)) }
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.results.Ready():
			for r, ok := s.results.TryReceive(); ok; r, ok = s.results.TryReceive() {
				d.record(now(), r)
			}
		case <-ticker.C:
			d.tick(now())
		}
	}
}

// decisionDuty is the state of the duty that decides.
type decisionDuty struct {
	*Scaler
	planners map[core.ServiceID]*Planner
	targets  map[singleton.Subject]*target
	cold     coldPeriods
	report   LoadReport
	// problems are the logged reasons why limits of services cannot be used.
	problems map[core.ServiceID]string
	// draining contains the upstreams that were draining at the last interval.
	draining map[core.UpstreamID]bool
}

// tick observes all services and decides for the subjects that this process holds.
func (d *decisionDuty) tick(now time.Time) {
	if report, ok := d.loads.TryReceive(); ok {
		d.report = report
	}
	view := d.opts.View()
	if view.Config == nil {
		return
	}
	d.updatePlanners(view.Config)
	for id, o := range observe(now, view, &d.report, d.cold) {
		planner := d.planners[id]
		planner.Observe(now, o)
		for _, domain := range planner.Domains() {
			d.decide(now, id, domain)
		}
	}
	if len(d.planners) > 0 {
		d.logRemovals(view.Upstreams)
	}
	d.publish()
}

// updatePlanners applies the limits of a configuration.
func (d *decisionDuty) updatePlanners(config *catalog.Config) {
	for id, service := range config.Services {
		if service.ScaleProblem != d.problems[id] {
			d.problems[id] = service.ScaleProblem
			if service.ScaleProblem != "" {
				d.opts.Log.WithFields(logrus.Fields{"event": "scale_ignored", "service": id, "problem": service.ScaleProblem}).Warn("limits of the number of upstreams cannot be used")
			}
		}
		if service.Scale == nil {
			continue
		}
		if p := d.planners[id]; p != nil {
			p.SetScale(*service.Scale, service.ColdStart)
		} else {
			d.planners[id] = NewPlanner(d.opts.Options, *service.Scale, service.ColdStart)
		}
	}
	d.removeUnlisted(config)
}

// removeUnlisted removes the state of services that no longer have limits.
func (d *decisionDuty) removeUnlisted(config *catalog.Config) {
	for id := range d.problems {
		if config.Services[id] == nil {
			delete(d.problems, id)
		}
	}
	for id := range d.planners {
		if service := config.Services[id]; service == nil || service.Scale == nil {
			delete(d.planners, id)
		}
	}
	for subject, t := range d.targets {
		if d.planners[t.service] == nil {
			delete(d.targets, subject)
		}
	}
}

// decide updates one target and orders its count if this process is the holder.
func (d *decisionDuty) decide(now time.Time, service core.ServiceID, domain core.FailureDomain) {
	subject := singleton.ScalingSubject(service, domain)
	t := d.targets[subject]
	if t == nil {
		t = &target{service: service, domain: domain}
		d.targets[subject] = t
	}
	planner := d.planners[service]
	state := planner.domains[domain]
	d.updateAuthority(now, subject, t)
	t.inForce.Observing = now.Sub(t.heldSince) < planner.ObserveTime()
	t.observeListed(now, state.Listed, planner.usable(now, state), 2*planner.Lead()+settleTime)
	if t.fence == 0 || t.inForce.Count == 0 {
		return
	}
	decision := planner.Decide(now, domain, t.inForce)
	d.logReason(t, state, decision)
	if t.due(now, decision.Count) {
		d.send(t, state.Listed, decision)
	}
}

// updateAuthority applies the current authority of this process.
func (d *decisionDuty) updateAuthority(now time.Time, subject singleton.Subject, t *target) {
	authority, ok := d.opts.Leases.Authority(subject)
	if !ok || !authority.Valid(d.opts.SinceBoot()) {
		authority.Fence = 0
	}
	t.hold(now, authority.Fence)
}

// send passes an order to the duty that sends it.
func (d *decisionDuty) send(t *target, listed int, decision Decision) {
	o := order{
		subject: singleton.ScalingSubject(t.service, t.domain), service: t.service, domain: t.domain, fence: t.fence, count: decision.Count, previous: t.inForce.Count, reason: decision.Reason,
	}
	if !d.orders.Offer(o) {
		return // decided again at the next interval
	}
	t.inFlight = true
	if !t.uncertain {
		t.listedAtOrder = listed
	}
}

// record applies the result of an order.
func (d *decisionDuty) record(now time.Time, r orderResult) {
	d.logResult(r)
	d.metrics.recordOrder(r)
	if t := d.targets[r.order.subject]; t != nil {
		t.record(now, r)
	}
}
