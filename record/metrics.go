package record

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"waxwingtide.example/waxwingtide/errs"
)

// handlerMetrics are the metrics of the calls that the handler has completed.
type handlerMetrics struct {
	calls    metric.Int64Counter
	duration metric.Float64Histogram
}

// claimMetrics are the metrics of the claims duty.
type claimMetrics struct {
	liveCalls       metric.Int64Gauge
	unstoredResults metric.Int64Gauge
	refusedClaims   metric.Int64Counter
}

// meterOrNoop replaces a nil meter by a meter that records nothing.
func meterOrNoop(m metric.Meter) metric.Meter {
	if m == nil {
		return noop.NewMeterProvider().Meter("record")
	}
	return m
}

func newHandlerMetrics(meter metric.Meter) (*handlerMetrics, error) {
	meter = meterOrNoop(meter)
	calls, err := meter.Int64Counter("record_calls", metric.WithDescription("Calls to plain services by outcome."))
	if err != nil {
		return nil, instrumentError(err)
	}
	duration, err := meter.Float64Histogram("record_call_duration", metric.WithUnit("s"), metric.WithDescription("Time from a call's arrival to its reply."))
	if err != nil {
		return nil, instrumentError(err)
	}
	return &handlerMetrics{calls, duration}, nil
}

func (m *handlerMetrics) recordCall(ctx context.Context, c *Call, r Reply) {
	labels := metric.WithAttributes(
		attribute.String("service", string(c.Service)),
		attribute.String("outcome", r.Outcome.String()),
		attribute.Bool("at_most_once", c.AtMostOnce()),
	)
	m.calls.Add(ctx, 1, labels)
	m.duration.Record(ctx, time.Since(c.ReceivedAt).Seconds(), labels)
}

func newClaimMetrics(meter metric.Meter) (*claimMetrics, error) {
	meter = meterOrNoop(meter)
	liveCalls, err := meter.Int64Gauge("record_live_calls", metric.WithDescription("At-most-once calls in memory."))
	if err != nil {
		return nil, instrumentError(err)
	}
	unstoredResults, err := meter.Int64Gauge("record_unstored_results", metric.WithDescription("Results that wait for the next transaction."))
	if err != nil {
		return nil, instrumentError(err)
	}
	refusedClaims, err := meter.Int64Counter("record_refused_claims", metric.WithDescription("Calls refused because the table was unavailable."))
	if err != nil {
		return nil, instrumentError(err)
	}
	return &claimMetrics{liveCalls, unstoredResults, refusedClaims}, nil
}

func instrumentError(err error) error {
	return errs.Wrap(err, errs.Internal, "report this as a defect", "metric instruments of service calls cannot be created")
}
