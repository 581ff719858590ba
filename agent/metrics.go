package agent

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"waxwingtide.example/waxwingtide/admit"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/telemetry"
	"waxwingtide.example/waxwingtide/wire"
)

// metrics contains the instruments of the agent.
type metrics struct {
	offers        metric.Int64Counter
	rejections    metric.Int64Counter
	preemptions   metric.Int64Counter
	runs          metric.Int64Counter
	promptTokens  metric.Int64Counter
	importedBytes metric.Int64Counter
}

func newMetrics(provider *telemetry.Metrics) (*metrics, error) {
	var meter metric.Meter = noop.Meter{}
	if provider != nil {
		meter = provider.Meter("agent")
	}
	var m metrics
	for _, c := range []struct {
		target     *metric.Int64Counter
		name, help string
	}{
		{&m.offers, "waxwing_agent_offers", "Calls that asked for admission, by verdict."},
		{&m.rejections, "waxwing_agent_rejections", "Calls refused before hand-over, by reason."},
		{&m.preemptions, "waxwing_agent_preemptions", "Deferrable runs cancelled for an urgent call."},
		{&m.runs, "waxwing_agent_runs", "Runs handed to the engine, by class and result."},
		{&m.promptTokens, "waxwing_agent_prompt_tokens", "Prompt tokens, by whether they were recomputed."},
		{&m.importedBytes, "waxwing_agent_imported_bytes", "Kept cache imported over the link."},
	} {
		counter, err := meter.Int64Counter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "report this as a defect", "metric %s cannot be registered", c.name)
		}
		*c.target = counter
	}
	return &m, nil
}

func (m *metrics) add(c metric.Int64Counter, n int64, attributes ...attribute.KeyValue) {
	c.Add(context.Background(), n, metric.WithAttributes(attributes...))
}

func (m *metrics) countOffer(d admit.Decision) {
	names := [...]string{"reject", "start", "wait", "duplicate"}
	m.add(m.offers, 1, attribute.String("verdict", names[d.Verdict]))
}

func (m *metrics) countRejection(reason wire.RejectReason) {
	m.add(m.rejections, 1, attribute.String("reason", reason.String()))
}

func (m *metrics) countPreemption() { m.add(m.preemptions, 1) }

func (m *metrics) countFinishedRun(class core.Class, usage engine.Usage, imported int) {
	m.add(m.runs, 1, attribute.String("class", class.String()), attribute.String("result", "finished"))
	m.add(m.promptTokens, int64(usage.CachedTokens), attribute.Bool("recomputed", false))
	m.add(m.promptTokens, int64(usage.PromptTokens-usage.CachedTokens), attribute.Bool("recomputed", true))
	m.add(m.importedBytes, int64(imported))
}

func (m *metrics) countFailedRun(class core.Class) {
	m.add(m.runs, 1, attribute.String("class", class.String()), attribute.String("result", "failed"))
}
