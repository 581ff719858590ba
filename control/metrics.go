package control

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/telemetry"
)

type instruments struct {
	exchanges     metric.Int64Counter
	tableRequests metric.Int64Counter
}

func newInstruments(m *telemetry.Metrics, c *Control) (*instruments, error) {
	var meter metric.Meter = noop.Meter{}
	if m != nil {
		meter = m.Meter("control")
	}
	var firstErr error
	keepFirstErr := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	var instr instruments
	var err error
	instr.exchanges, err = meter.Int64Counter("control_exchanges", metric.WithDescription("Digest exchanges started by this process."))
	keepFirstErr(err)
	instr.tableRequests, err = meter.Int64Counter("control_table_requests", metric.WithDescription("Requests to the platform's table."))
	keepFirstErr(err)
	_, err = meter.Int64ObservableGauge("control_epoch",
		metric.WithDescription("Epoch in force."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(c.Epoch()))
			return nil
		}))
	keepFirstErr(err)
	_, err = meter.Int64ObservableCounter("control_dropped",
		metric.WithDescription("Elements dropped by full rings."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			// The values of the label ring are part of the metric and are independent of
			// the field names.
			o.Observe(int64(c.memberObservations.Dropped()), metric.WithAttributes(attribute.String("ring", "evidence")))
			o.Observe(int64(c.epochObservations.Dropped()), metric.WithAttributes(attribute.String("ring", "heard")))
			return nil
		}))
	keepFirstErr(err)
	return &instr, errs.Wrap(firstErr, errs.Internal, "report this as a defect", "metrics of the control plane cannot be created")
}

func resultAttribute(err error) metric.AddOption {
	name := "ok"
	if err != nil {
		name = errs.KindOf(err).String()
	}
	return metric.WithAttributes(attribute.String("result", name))
}
