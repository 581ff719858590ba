package autoscale

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
)

// Status is the state of a subject that this process holds.
type Status struct {
	Service core.ServiceID
	Domain  core.FailureDomain
	Fence   core.Fence
	// HeldSince is when this process became the holder.
	HeldSince time.Time
	// InForce is the count that was last ordered or learned, Desired the one that was
	// decided last, and Listed the number of upstreams that are not draining.
	InForce int
	Desired int
	Listed  int
	// Uncertain is set if the result of the last order is unknown.
	Uncertain bool
	// Reason is that of the last decision, LastChange that of the last change of the count.
	Reason     Reason
	LastChange Reason
}

// Status returns the state of the subjects that this process holds, as of the last
// decision, sorted by service and failure domain.
func (s *Scaler) Status() []Status {
	if status := s.status.Load(); status != nil {
		return *status
	}
	return nil
}

// publish replaces the published state.
func (d *decisionDuty) publish() {
	var out []Status
	for _, t := range d.targets {
		if t.fence == 0 {
			continue
		}
		out = append(out, Status{
			Service: t.service, Domain: t.domain, Fence: t.fence, HeldSince: t.heldSince, InForce: t.inForce.Count, Desired: t.last.Count,
			Listed: d.planners[t.service].domains[t.domain].Listed, Uncertain: t.uncertain, Reason: t.last.Reason, LastChange: t.changed,
		})
	}
	slices.SortFunc(out, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain))
	})
	d.status.Store(&out)
}

// metrics are the instruments of the duties. A nil value records nothing.
type metrics struct {
	orders metric.Int64Counter
}

func newMetrics(meter metric.Meter, status func() []Status) (*metrics, error) {
	if meter == nil {
		return nil, nil
	}
	desired, errDesired := meter.Int64ObservableGauge("autoscale_desired_upstreams", metric.WithDescription("Number of upstreams in force, on its holder"))
	listed, errListed := meter.Int64ObservableGauge("autoscale_listed_upstreams", metric.WithDescription("Number of listed upstreams that are not draining, on the holder"))
	orders, errOrders := meter.Int64Counter("autoscale_orders", metric.WithDescription("Orders of a number of upstreams by reason and result"))
	_, errCallback := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, s := range status() {
			attributes := metric.WithAttributes(
				attribute.String("service", string(s.Service)), attribute.String("failure_domain", string(s.Domain)), attribute.String("last_change", s.LastChange.String()))
			o.ObserveInt64(desired, int64(s.InForce), attributes)
			o.ObserveInt64(listed, int64(s.Listed), attributes)
		}
		return nil
	}, desired, listed)
	err := cmp.Or(errDesired, errListed, errOrders, errCallback)
	return &metrics{orders: orders}, errs.Wrap(err, errs.Internal, "report this as a defect", "metric instruments cannot be created")
}

func (m *metrics) recordOrder(r orderResult) {
	if m == nil {
		return
	}
	m.orders.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", string(r.order.service)), attribute.String("reason", r.order.reason.String()), attribute.String("result", resultName(r.err))))
}
