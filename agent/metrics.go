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

// metrics holds the agent's instruments.
type metrics struct {
	offers     metric.Int64Counter
	rejections metric.Int64Counter
	preempts   metric.Int64Counter
	runs       metric.Int64Counter
	tokens     metric.Int64Counter
	imported   metric.Int64Counter
}

func newMetrics(source *telemetry.Metrics) (*metrics, error) {
	var meter metric.Meter = noop.Meter{}
	if source != nil {
		meter = source.Meter("agent")
	}
	var m metrics
	for _, c := range []struct {
		into       *metric.Int64Counter
		name, help string
	}{
		{&m.offers, "waxwing_agent_offers", "Calls that asked for admission, by verdict."},
		{&m.rejections, "waxwing_agent_rejections", "Calls refused before hand-over, by reason."},
		{&m.preempts, "waxwing_agent_preemptions", "Deferrable runs cancelled for an urgent call."},
		{&m.runs, "waxwing_agent_runs", "Runs handed to the engine, by class and result."},
		{&m.tokens, "waxwing_agent_prompt_tokens", "Prompt tokens, by whether they were recomputed."},
		{&m.imported, "waxwing_agent_imported_bytes", "Kept cache imported over the link."},
	} {
		counter, err := meter.Int64Counter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "report this as a defect", "metric %s cannot be set up", c.name)
		}
		*c.into = counter
	}
	return &m, nil
}

func (m *metrics) count(c metric.Int64Counter, n int64, attributes ...attribute.KeyValue) {
	c.Add(context.Background(), n, metric.WithAttributes(attributes...))
}

func (m *metrics) offered(d admit.Decision) {
	names := [...]string{"reject", "start", "wait", "duplicate"}
	m.count(m.offers, 1, attribute.String("verdict", names[d.Verdict]))
}

func (m *metrics) rejected(reason wire.RejectReason) {
	m.count(m.rejections, 1, attribute.String("reason", reason.String()))
}

func (m *metrics) preempted() { m.count(m.preempts, 1) }

func (m *metrics) finished(class core.Class, usage engine.Usage, imported int) {
	m.count(m.runs, 1, attribute.String("class", class.String()), attribute.String("result", "finished"))
	m.count(m.tokens, int64(usage.CachedTokens), attribute.Bool("recomputed", false))
	m.count(m.tokens, int64(usage.PromptTokens-usage.CachedTokens), attribute.Bool("recomputed", true))
	m.count(m.imported, int64(imported))
}

func (m *metrics) failed(class core.Class) {
	m.count(m.runs, 1, attribute.String("class", class.String()), attribute.String("result", "failed"))
}
