package gateway

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/placement"
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

// Guards against a crash that is not noticed because the upstream refused no connection:
// the new incarnation in the view proves it, whether it is listed before or after the
// attempt breaks, or its caller gives up.
func TestNewIncarnationInViewIsACrash(t *testing.T) {
	for name, result := range map[string]placement.UpstreamResult{"broken": placement.Incomplete, "given up": placement.Abandoned} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(func() float64 { return 0 }, "u")
			now := time.Now()
			report := attemptReport{
				Report: placement.Report{Upstream: "u", StartedAtMs: 1, Final: true, Result: result},
				Prompt: core.Prompt{Model: "m", Parts: []core.Part{{ID: "bad"}, {ID: "own"}}},
			}
			r.connections["u"].startedAtMs = 2
			r.recordEnd(now, report)
			require.Len(t, r.quarantine.TakeOutgoing().Crashes, 1)
		})
	}
	r := newTestRouter(func() float64 { return 0 }, "u")
	now := time.Now()
	report := attemptReport{
		Report: placement.Report{Upstream: "u", StartedAtMs: 1, Final: true, Result: placement.Incomplete},
		Prompt: core.Prompt{Model: "m", Parts: []core.Part{{ID: "bad"}, {ID: "own"}}},
	}
	r.connections["u"].startedAtMs = 1
	r.recordEnd(now, report)
	incarnation := quarantine.Incarnation{Upstream: "u", StartedAtMs: 1}
	require.True(t, r.crashChecker.results.Offer(crashCheckResult{incarnation: incarnation}))
	r.updateQuarantine(now)
	require.Empty(t, r.quarantine.TakeOutgoing().Crashes, "the upstream was only silent")
	r.connections["u"].startedAtMs = 2
	r.confirmRestart(now.Add(3*time.Second), "u")
	require.Len(t, r.quarantine.TakeOutgoing().Crashes, 1)
}

// Guards against an answer that seems to have lasted while its upstream was silent, and
// that therefore clears the part on which the upstream crashed.
func TestSilenceIsNoPartOfAnAnswer(t *testing.T) {
	begunAt := time.Now()
	body := &timedBody{ReadCloser: io.NopCloser(strings.NewReader("data"))}
	_, err := io.ReadAll(body)
	require.NoError(t, err)
	read := time.Now()
	time.Sleep(10 * time.Millisecond)
	require.LessOrEqual(t, body.age(begunAt), read.Sub(begunAt))
	require.Positive(t, (&timedBody{}).age(begunAt), "an answer without a body has begun")
}
