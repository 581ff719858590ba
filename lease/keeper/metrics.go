package keeper

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/errs"
)

type metrics struct{ changes, unsound metric.Int64Counter }

// newMetrics returns the instruments of a keeper. The gauges are read from its authorities.
func newMetrics(meter metric.Meter, k *Keeper) (*metrics, error) {
	const remedy, problem = "report this as a defect", "metric instruments cannot be created"
	changes, err := meter.Int64Counter("duties_holder_changes", metric.WithDescription("Times this process became or ceased to be a holder"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, problem)
	}
	unsound, err := meter.Int64Counter("duties_unsound_rows", metric.WithDescription("Rows of leases that cannot be decoded or have numbers that no lease has"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, problem)
	}
	fence, err := meter.Int64ObservableGauge("duties_fence", metric.WithDescription("Fence of each subject that this process holds"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, problem)
	}
	since, err := meter.Float64ObservableGauge("duties_held_seconds", metric.WithUnit("s"), metric.WithDescription("Time for which this process has held each subject"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, problem)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		now := clock.SinceBoot()
		for _, a := range k.Held() {
			attributes := metric.WithAttributes(attribute.String("subject", string(a.Subject)), attribute.String("holder", string(a.Holder)))
			observer.ObserveInt64(fence, int64(a.Fence), attributes)
			observer.ObserveFloat64(since, (now - a.Since).Seconds(), attributes)
		}
		return nil
	}, fence, since)
	return &metrics{changes: changes, unsound: unsound}, errs.Wrap(err, errs.Internal, remedy, problem)
}

func (m *metrics) changed() { m.changes.Add(context.Background(), 1) }

func (m *metrics) unsoundRows(n int64) { m.unsound.Add(context.Background(), n) }
