// Package telemetry creates the logger and the metrics of a daemon.
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

// NewLogger returns a logger that writes each event as one line of key=value
// pairs.
func NewLogger(out io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	return log
}

// Metrics creates instruments and serves their values over HTTP.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
}

// NewMetrics returns metrics with a separate registry, so that several daemons
// can run in one process.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this as a defect", "metrics exporter cannot be created")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{provider: provider, registry: registry}, nil
}

// Meter returns the meter that creates the instruments of one package.
func (m *Metrics) Meter(name string) metric.Meter { return m.provider.Meter(name) }

// Handler returns an HTTP handler that serves the metrics in the Prometheus text
// format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
