package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/telemetry"
)

// metrics contains the instruments of the entry. There is no label for the workspace,
// because the metrics would show the activity of one workspace to the others, and 3,400
// workspaces would make the output large.
type metrics struct {
	prompts          metric.Int64Counter
	attempts         metric.Int64Counter
	faults           metric.Int64Counter
	timeToFirstToken metric.Float64Histogram
	timePerToken     metric.Float64Histogram
}

// Bounds of the histograms in seconds. The targets of the design are 0.82 s to the first
// token and 0.034 s between tokens.
var (
	firstTokenBounds = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.82, 1.6, 3.2, 6.4, 12.8}
	perTokenBounds   = []float64{0.002, 0.005, 0.01, 0.02, 0.034, 0.07, 0.14, 0.3, 1}
)

func newMetrics(provider *telemetry.Metrics) (*metrics, error) {
	var meter metric.Meter = noop.Meter{}
	if provider != nil {
		meter = provider.Meter("entry")
	}
	var m metrics
	var setupErrs [5]error
	m.prompts, setupErrs[0] = meter.Int64Counter("waxwing_entry_prompts", metric.WithDescription("Prompts by class and outcome."))
	m.attempts, setupErrs[1] = meter.Int64Counter("waxwing_entry_attempts", metric.WithDescription("Attempts by result."))
	m.faults, setupErrs[2] = meter.Int64Counter("waxwing_entry_frame_faults", metric.WithDescription("Frames that were ignored or broke an attempt, by fault."))
	m.timeToFirstToken, setupErrs[3] = meter.Float64Histogram("waxwing_entry_first_token", metric.WithUnit("s"),
		metric.WithDescription("Time from arrival to the first token."), metric.WithExplicitBucketBoundaries(firstTokenBounds...))
	m.timePerToken, setupErrs[4] = meter.Float64Histogram("waxwing_entry_inter_token", metric.WithUnit("s"),
		metric.WithDescription("Mean time between the tokens of a prompt."), metric.WithExplicitBucketBoundaries(perTokenBounds...))
	for _, err := range setupErrs {
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "report this as a defect", "entry metrics cannot be registered")
		}
	}
	return &m, nil
}

func (m *metrics) countPrompt(class core.Class, outcome core.Outcome) {
	m.prompts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("class", class.String()), attribute.String("outcome", outcome.String())))
}

func (m *metrics) countAttempt(result string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

func (m *metrics) countFault(name string) {
	m.faults.Add(context.Background(), 1, metric.WithAttributes(attribute.String("fault", name)))
}

func (m *metrics) recordTimes(class core.Class, timeToFirstToken, timePerToken time.Duration) {
	attributes := metric.WithAttributes(attribute.String("class", class.String()))
	m.timeToFirstToken.Record(context.Background(), timeToFirstToken.Seconds(), attributes)
	if timePerToken > 0 {
		m.timePerToken.Record(context.Background(), timePerToken.Seconds(), attributes)
	}
}
