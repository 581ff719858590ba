package gateway

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"
)

// waitingMetrics are the numbers of calls that wait for the memory of an engine and of those
// that were refused. The router counts them; the metrics read them.
type waitingMetrics struct {
	waiting atomic.Int64
	// refusedAtOnce are the calls that were refused on arrival, refusedAfterWait those that
	// have waited in vain.
	refusedAtOnce, refusedAfterWait atomic.Int64
	// heldBack are the calls that were not placed on arrival, since this front's calls use its
	// part of the memory. othersFronts is the number of other fronts whose calls are known.
	heldBack, othersFronts atomic.Int64
}

func (m *waitingMetrics) register(meter metric.Meter) error {
	waiting, err := meter.Int64ObservableGauge("gateway_waiting_calls", metric.WithDescription("Calls that wait for the memory of an engine"))
	if err != nil {
		return err
	}
	atOnce, err := meter.Int64ObservableCounter("gateway_memory_refusals_at_once", metric.WithDescription("Calls refused on arrival, since the work before them would take longer than they may wait"))
	if err != nil {
		return err
	}
	afterWait, err := meter.Int64ObservableCounter("gateway_memory_refusals_after_wait", metric.WithDescription("Calls refused after they have waited for the memory of an engine"))
	if err != nil {
		return err
	}
	heldBack, err := meter.Int64ObservableCounter("gateway_memory_held_back", metric.WithDescription("Calls that were not placed on arrival, since the calls of this front use its part of the engines' memory"))
	if err != nil {
		return err
	}
	known, err := meter.Int64ObservableGauge("gateway_backlog_fronts", metric.WithDescription("Other fronts whose running and waiting calls are known"))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(waiting, m.waiting.Load())
		o.ObserveInt64(atOnce, m.refusedAtOnce.Load())
		o.ObserveInt64(afterWait, m.refusedAfterWait.Load())
		o.ObserveInt64(heldBack, m.heldBack.Load())
		o.ObserveInt64(known, m.othersFronts.Load())
		return nil
	}, waiting, atOnce, afterWait, heldBack, known)
	return err
}
