package gateway

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/placement"
)

// metrics are the gateway's instruments.
type metrics struct {
	errorResponses metric.Int64Counter
	attempts       metric.Int64Counter
	responseTime   metric.Float64Histogram
	firstByteTime  metric.Float64Histogram
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	m := &metrics{}
	var err error
	recordErr := func(e error) {
		if err == nil {
			err = e
		}
	}
	var e error
	m.errorResponses, e = meter.Int64Counter("gateway_refusals", metric.WithDescription("Answers of the system's own"))
	recordErr(e)
	m.attempts, e = meter.Int64Counter("gateway_attempts", metric.WithDescription("Attempts at upstreams by result"))
	recordErr(e)
	m.responseTime, e = meter.Float64Histogram("gateway_answer_seconds", metric.WithUnit("s"), metric.WithDescription("Time to the end of a call"))
	recordErr(e)
	m.firstByteTime, e = meter.Float64Histogram("gateway_first_byte_seconds", metric.WithUnit("s"), metric.WithDescription("Time to the first byte of an upstream's answer"))
	recordErr(e)
	return m, errs.Wrap(err, errs.Internal, "report this as a defect", "metric instruments cannot be created")
}

func (m *metrics) errorSent(status int, reason string) {
	m.errorResponses.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("status", status), attribute.String("reason", reason)))
}

func (m *metrics) attemptFinished(service string, result placement.UpstreamResult) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("result", result.String())))
}

func (m *metrics) callCompleted(route string, elapsed time.Duration) {
	m.responseTime.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

func (m *metrics) firstByteReceived(service string, elapsed time.Duration) {
	m.firstByteTime.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("service", service)))
}
