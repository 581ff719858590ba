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
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		o.ObserveInt64(waiting, m.waiting.Load())
		o.ObserveInt64(atOnce, m.refusedAtOnce.Load())
		o.ObserveInt64(afterWait, m.refusedAfterWait.Load())
		return nil
	}, waiting, atOnce, afterWait)
	return err
}
