package usage

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/errs"
)

// SentReport is a usage report that the platform has accepted.
type SentReport struct {
	Window Window
	Calls  uint64
	At     time.Time
	// Late is set if the report was due before.
	Late bool
}

// LastSent returns the last report of this process, or false if there is none.
func (r *Reporter) LastSent() (SentReport, bool) {
	sent := r.metrics.last.Load()
	if sent == nil {
		return SentReport{}, false
	}
	return *sent, true
}

// reporterMetrics are the instruments of a Reporter.
type reporterMetrics struct {
	reports metric.Int64Counter
	last    atomic.Pointer[SentReport]
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
		if sent := m.last.Load(); sent != nil {
			observer.ObserveInt64(last, int64(sent.Window))
		}
		return nil
	}, last)
	return m, errs.Wrap(err, errs.Internal, remedy, problem)
}

func (m *reporterMetrics) sent(ctx context.Context, report SentReport) {
	m.last.Store(&report)
	result := "in_time"
	if report.Late {
		result = "late"
	}
	m.reports.Add(ctx, 1, metric.WithAttributes(attribute.String("result", result)))
}

func (m *reporterMetrics) missed(windows int) {
	m.reports.Add(context.Background(), int64(windows), metric.WithAttributes(attribute.String("result", "missing")))
}
