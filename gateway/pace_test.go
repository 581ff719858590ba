package gateway

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"waxwingtide.example/waxwingtide/placement"
)

// Guards against paces that the metrics do not show.
func TestPacesAreMetrics(t *testing.T) {
	reader := metric.NewManualReader()
	var paces atomic.Pointer[paceSnapshot]
	require.NoError(t, observePaces(metric.NewMeterProvider(metric.WithReader(reader)).Meter("gateway"), &paces))
	paces.Store(&paceSnapshot{
		upstreams: []placement.Pace{{Upstream: "u-1", Service: "s", Slowdown: 2.5, Announced: true}},
		services:  []placement.ServiceSpeed{{Service: "s", ReadTokensPerMs: 157, WaitingCallMs: 61}},
	})
	var data metricdata.ResourceMetrics
	require.NoError(t, reader.Collect(t.Context(), &data))
	text := fmt.Sprint(data.ScopeMetrics)
	for _, want := range []string{"gateway_upstream_slowdown", "u-1", "gateway_reading_rate", "157", "gateway_waiting_call_delay", "61"} {
		require.Contains(t, text, want)
	}
}
