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
	refusals metric.Int64Counter
	attempts metric.Int64Counter
	answers  metric.Float64Histogram
	first    metric.Float64Histogram
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	m := &metrics{}
	var err error
	add := func(e error) {
		if err == nil {
			err = e
		}
	}
	var e error
	m.refusals, e = meter.Int64Counter("gateway_refusals", metric.WithDescription("Answers of the system's own"))
	add(e)
	m.attempts, e = meter.Int64Counter("gateway_attempts", metric.WithDescription("Attempts at upstreams by result"))
	add(e)
	m.answers, e = meter.Float64Histogram("gateway_answer_seconds", metric.WithUnit("s"), metric.WithDescription("Time to the end of a call"))
	add(e)
	m.first, e = meter.Float64Histogram("gateway_first_byte_seconds", metric.WithUnit("s"), metric.WithDescription("Time to the first byte of an upstream's answer"))
	add(e)
	return m, errs.Wrap(err, errs.Internal, "report this as a defect", "instruments cannot be set up")
}

func (m *metrics) refused(status int, reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("status", status), attribute.String("reason", reason)))
}

func (m *metrics) attempted(service string, result placement.Result) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("result", result.String())))
}

func (m *metrics) answered(route string, took time.Duration) {
	m.answers.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

func (m *metrics) firstByte(service string, took time.Duration) {
	m.first.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("service", service)))
}
