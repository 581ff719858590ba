package usage

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/errs"
)

// reporterMetrics are the instruments of a Reporter.
type reporterMetrics struct {
	reports    metric.Int64Counter
	lastWindow atomic.Int64
}

func newReporterMetrics(meter metric.Meter) (*reporterMetrics, error) {
	const remedy, problem = "report this as a defect", "metric instruments cannot be created"
	m := &reporterMetrics{}
	var err error
	if m.reports, err = meter.Int64Counter("duties_usage_windows", metric.WithDescription("Windows by result: in_time, late or missing")); err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, problem)
	}
	last, err := meter.Int64ObservableGauge("duties_usage_last_window", metric.WithDescription("Last window that this process has reported"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, problem)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		if w := m.lastWindow.Load(); w != 0 {
			observer.ObserveInt64(last, w)
		}
		return nil
	}, last)
	return m, errs.Wrap(err, errs.Internal, remedy, problem)
}

func (m *reporterMetrics) sent(ctx context.Context, w Window, late bool) {
	m.lastWindow.Store(int64(w))
	result := "in_time"
	if late {
		result = "late"
	}
	m.reports.Add(ctx, 1, metric.WithAttributes(attribute.String("result", result)))
}

func (m *reporterMetrics) missed(windows int) {
	m.reports.Add(context.Background(), int64(windows), metric.WithAttributes(attribute.String("result", "missing")))
}
