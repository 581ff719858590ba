// Package clientmetrics registers the metrics of listeners: what their clients make the
// process hold, and what was refused.
package clientmetrics

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/callerhttp"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/transport"
)

const remedy = "report this as a defect"

// clientInstruments are the instruments of a listener.
type clientInstruments struct {
	listener attribute.KeyValue
	conns    metric.Int64ObservableGauge
	refused  metric.Int64ObservableCounter
}

func newClientInstruments(meter metric.Meter, listener string) (*clientInstruments, error) {
	conns, err := meter.Int64ObservableGauge("client_connections", metric.WithDescription("Open connections of clients"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, "metric instruments cannot be created")
	}
	refused, err := meter.Int64ObservableCounter("clients_refused", metric.WithDescription("Connections, heads and messages that were refused or closed since the client took too much"))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, remedy, "metric instruments cannot be created")
	}
	return &clientInstruments{attribute.String("listener", listener), conns, refused}, nil
}

// register registers a function that returns the open connections and what was refused, by
// reason.
func (c *clientInstruments) register(meter metric.Meter, read func() (open int64, refused map[string]int64)) error {
	observe := func(_ context.Context, observer metric.Observer) error {
		open, refused := read()
		observer.ObserveInt64(c.conns, open, metric.WithAttributes(c.listener))
		for reason, n := range refused {
			observer.ObserveInt64(c.refused, n, metric.WithAttributes(c.listener, attribute.String("reason", reason)))
		}
		return nil
	}
	_, err := meter.RegisterCallback(observe, c.conns, c.refused)
	return errs.Wrap(err, errs.Internal, remedy, "metric instruments cannot be registered")
}

// RegisterServer adds the instruments of an HTTP server to a meter.
func RegisterServer(meter metric.Meter, server *callerhttp.Server) error {
	instruments, err := newClientInstruments(meter, server.Name())
	if err != nil {
		return err
	}
	return instruments.register(meter, func() (int64, map[string]int64) {
		counts := server.Counts()
		return counts.Open, map[string]int64{
			"connections": counts.RefusedConns, "memory": counts.RefusedHeads, "stalled": counts.Stalled, "evicted": counts.Evicted,
		}
	})
}

// RegisterGuard adds the instruments of the inner protocol to a meter.
func RegisterGuard(meter metric.Meter, guard *transport.Guard) error {
	instruments, err := newClientInstruments(meter, "inner")
	if err != nil {
		return err
	}
	return instruments.register(meter, func() (int64, map[string]int64) {
		return guard.OpenConns(), map[string]int64{"connections": guard.RefusedConns(), "memory": guard.RefusedMessages()}
	})
}

// RegisterBudgets adds the instruments of memory budgets to a meter.
func RegisterBudgets(meter metric.Meter, budgets ...*membudget.Budget) error {
	refusals, err := meter.Int64ObservableCounter("memory_refusals", metric.WithDescription("Messages and entries that were refused since the memory for them was exhausted"))
	if err != nil {
		return errs.Wrap(err, errs.Internal, remedy, "metric instruments cannot be created")
	}
	used, err := meter.Int64ObservableGauge("memory_used_bytes", metric.WithUnit("By"), metric.WithDescription("Memory of unfinished messages and recorded entries"))
	if err != nil {
		return errs.Wrap(err, errs.Internal, remedy, "metric instruments cannot be created")
	}
	observe := func(_ context.Context, observer metric.Observer) error {
		for _, budget := range budgets {
			kind := metric.WithAttributes(attribute.String("messages", budget.Name()))
			observer.ObserveInt64(refusals, budget.Refusals(), kind)
			observer.ObserveInt64(used, budget.UsedBytes(), kind)
		}
		return nil
	}
	_, err = meter.RegisterCallback(observe, refusals, used)
	return errs.Wrap(err, errs.Internal, remedy, "metric instruments cannot be registered")
}
