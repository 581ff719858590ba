package servicecall

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"waxwingtide.example/waxwingtide/errs"
)

// handlerMetrics counts what callers are told.
type handlerMetrics struct {
	calls   metric.Int64Counter
	seconds metric.Float64Histogram
}

// claimMetrics shows what the claims duty holds in memory.
type claimMetrics struct {
	live     metric.Int64Gauge
	unstored metric.Int64Gauge
	refused  metric.Int64Counter
}

// orNoop replaces a missing meter by one that records nothing.
func orNoop(m metric.Meter) metric.Meter {
	if m == nil {
		return noop.NewMeterProvider().Meter("record")
	}
	return m
}

func newHandlerMetrics(meter metric.Meter) (*handlerMetrics, error) {
	meter = orNoop(meter)
	calls, err := meter.Int64Counter("record_calls", metric.WithDescription("Calls to plain services by outcome."))
	if err != nil {
		return nil, instrumentError(err)
	}
	seconds, err := meter.Float64Histogram("record_call_duration", metric.WithUnit("s"), metric.WithDescription("Time from a call's arrival to its reply."))
	if err != nil {
		return nil, instrumentError(err)
	}
	return &handlerMetrics{calls, seconds}, nil
}

func (m *handlerMetrics) record(ctx context.Context, c *Call, r Reply) {
	labels := metric.WithAttributes(
		attribute.String("service", string(c.Service)),
		attribute.String("outcome", r.Outcome.String()),
		attribute.Bool("at_most_once", c.AtMostOnce()),
	)
	m.calls.Add(ctx, 1, labels)
	m.seconds.Record(ctx, time.Since(c.ReceivedAt).Seconds(), labels)
}

func newClaimMetrics(meter metric.Meter) (*claimMetrics, error) {
	meter = orNoop(meter)
	live, err := meter.Int64Gauge("record_live_calls", metric.WithDescription("At-most-once calls in memory."))
	if err != nil {
		return nil, instrumentError(err)
	}
	unstored, err := meter.Int64Gauge("record_unstored_results", metric.WithDescription("Results that wait for the next transaction."))
	if err != nil {
		return nil, instrumentError(err)
	}
	refused, err := meter.Int64Counter("record_refused_claims", metric.WithDescription("Calls refused because the table was unavailable."))
	if err != nil {
		return nil, instrumentError(err)
	}
	return &claimMetrics{live, unstored, refused}, nil
}

func instrumentError(err error) error {
	return errs.Wrap(err, errs.Internal, "report this as a defect", "metrics of package servicecall")
}
