// Package telemetry sets up logs and metrics.
package telemetry

import (
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"waxwingtide.example/waxwingtide/errs"
)

// NewLogger returns a logger that writes one key=value line for each event.
func NewLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return log
}

// Metrics is the source of instruments and their HTTP exposition.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
}

// NewMetrics returns metrics with a registry of their own, so that several
// daemons can run in one process.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this as a defect", "metrics exporter cannot be set up")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{provider: provider, registry: registry}, nil
}

// Meter returns the source of a package's instruments.
func (m *Metrics) Meter(name string) metric.Meter { return m.provider.Meter(name) }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
