package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
)

// Guards against a quarantine that refuses calls without end and of which neither the log
// nor the metrics show the part, since when, and how many calls.
func TestQuarantineInForceIsLoggedAndMeasured(t *testing.T) {
	r := newTestRouter(func() float64 { return 0 })
	var log bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&log)
	r.log = logger
	reader := metric.NewManualReader()
	require.NoError(t, observeQuarantines(metric.NewMeterProvider(metric.WithReader(reader)).Meter("gateway"), &r.activeQuarantines))

	now := time.Now().Truncate(time.Second)
	part := quarantine.Part{Model: "m", ID: "bad"}
	r.quarantine.Merge(now, quarantine.Evidence{States: []quarantine.State{{Part: part, Version: 1, Until: now.Add(time.Minute)}}})
	prompt := core.Prompt{Model: "m", Parts: []core.Part{{ID: "bad"}, {ID: "own"}}}
	for range 3 {
		require.True(t, r.quarantine.Check(now, prompt, false).Refused)
	}
	for i := range 60 {
		r.reportQuarantines(now.Add(time.Duration(i) * sweepInterval))
	}
	require.Equal(t, 2, strings.Count(log.String(), "still in quarantine"), "one line in 30 s")
	require.Contains(t, log.String(), "part=bad")
	require.Contains(t, log.String(), "refused=3")
	require.Contains(t, log.String(), now.UTC().Format(time.RFC3339))
	var data metricdata.ResourceMetrics
	require.NoError(t, reader.Collect(t.Context(), &data))
	require.Contains(t, fmt.Sprint(data.ScopeMetrics), "gateway_quarantine_refused")
	require.Contains(t, fmt.Sprint(data.ScopeMetrics), fmt.Sprint(now.Unix()))

	r.quarantine.RecordEnd(now, quarantine.AttemptEnd{Prompt: prompt, Completed: true})
	r.reportQuarantines(now.Add(time.Hour))
	require.Contains(t, log.String(), "has ended")
	require.Empty(t, *r.activeQuarantines.Load())
}
