package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/placement"
)

const (
	// maxPaceSeries is the maximum number of upstreams whose slowdown is a metric.
	maxPaceSeries = 100
	// minReportedSlowdown is the smallest change of pace, either way, that is a metric.
	minReportedSlowdown = 1.1
	// loggedSpeedChange is the ratio by which the speed of a service must have changed since
	// its last log line.
	loggedSpeedChange = 1.25
)

// paceSnapshot is what the metrics of paces show. It is replaced as a whole.
type paceSnapshot struct {
	upstreams []placement.Pace
	services  []placement.ServiceSpeed
}

// reportPace updates the metrics of paces and logs the services whose speed has changed.
func (r *router) reportPace(now time.Time) {
	snapshot := &paceSnapshot{services: r.placer.ServiceSpeeds()}
	for _, p := range r.placer.Paces(now) {
		if len(snapshot.upstreams) < maxPaceSeries && differs(p.Slowdown, 1, minReportedSlowdown) {
			snapshot.upstreams = append(snapshot.upstreams, p)
		}
	}
	r.paces.Store(snapshot)
	for _, s := range snapshot.services {
		if last, ok := r.loggedSpeeds[s.Service]; ok && !s.DiffersFrom(last, loggedSpeedChange) {
			continue
		}
		r.loggedSpeeds[s.Service] = s
		r.log.WithFields(logrus.Fields{
			"event": "service_speed", "service": s.Service, "read_tokens_per_ms": round(s.ReadTokensPerMs), "waiting_call_ms": round(s.WaitingCallMs), "typical_ms": round(s.TypicalMs),
		}).Info("estimated speed of a service has changed")
	}
}

// differs reports whether two positive values differ by a ratio or more.
func differs(a, b, ratio float64) bool { return a >= b*ratio || b >= a*ratio }

// round returns a value with one decimal.
func round(value float64) float64 { return math.Round(value*10) / 10 }

// observePaces creates the metrics of paces.
func observePaces(meter metric.Meter, paces *atomic.Pointer[paceSnapshot]) error {
	slowdown, err := meter.Float64ObservableGauge("gateway_upstream_slowdown", metric.WithDescription("Time that work takes at an upstream now, as a multiple of the usual time; upstreams at their usual pace are left out"))
	if err != nil {
		return err
	}
	reading, err := meter.Float64ObservableGauge("gateway_reading_rate", metric.WithDescription("Estimated rate at which the engines of a service read prompts, in tokens per millisecond"))
	if err != nil {
		return err
	}
	waiting, err := meter.Float64ObservableGauge("gateway_waiting_call_delay", metric.WithUnit("ms"), metric.WithDescription("Estimated delay of a call for each call that waits at its engine"))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		snapshot := paces.Load()
		if snapshot == nil {
			return nil
		}
		for _, p := range snapshot.upstreams {
			o.ObserveFloat64(slowdown, p.Slowdown, metric.WithAttributes(attribute.String("upstream", string(p.Upstream)), attribute.String("service", string(p.Service)), attribute.Bool("announced", p.Announced)))
		}
		for _, s := range snapshot.services {
			label := metric.WithAttributes(attribute.String("service", string(s.Service)))
			if s.ReadTokensPerMs > 0 {
				o.ObserveFloat64(reading, s.ReadTokensPerMs, label)
				o.ObserveFloat64(waiting, s.WaitingCallMs, label)
			}
		}
		return nil
	}, slowdown, reading, waiting)
	return err
}
