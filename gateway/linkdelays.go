package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// linkDelayInterval is the minimum interval between two reports of the delays of links to
	// the exchange, which takes the newest one every 200 ms.
	linkDelayInterval = 100 * time.Millisecond
	// loggedDelayMs is the delay from which on a link is logged as slow. Smaller delays come
	// and go by chance.
	loggedDelayMs = 100
	// maxLinkSeries is the maximum number of links whose delay is a metric.
	maxLinkSeries = 100
)

// linkMonitor is what the metrics and logs of links show.
type linkMonitor struct {
	sentAt time.Time
	// slow contains the stores whose links were logged as slow.
	slow map[string]bool
	// delays is read by the metrics. It is replaced as a whole.
	delays atomic.Pointer[map[string]float64]
}

// exchangeLinkDelays takes what the other processes have observed of links and reports what
// this one has observed.
func (r *router) exchangeLinkDelays(now time.Time) {
	if others, ok := r.observations.RemoteLinkDelays().TryReceive(); ok {
		r.placer.ApplyLinkDelays(now, others)
	}
	if now.Sub(r.links.sentAt) < linkDelayInterval {
		return
	}
	r.links.sentAt = now
	if own := r.placer.LinkDelays(now); len(own) > 0 {
		r.observations.RecordLinkDelays(own)
	}
	r.reportLinks(now)
}

// reportLinks updates the metrics of links and logs the stores whose links have become slow
// or are no longer slow.
func (r *router) reportLinks(now time.Time) {
	delays := r.placer.SlowLinks(now)
	r.links.delays.Store(&delays)
	slow := make(map[string]bool)
	for store, delayMs := range delays {
		if r.links.slow[store] || delayMs >= loggedDelayMs {
			slow[store] = true
		}
		if slow[store] && !r.links.slow[store] {
			r.log.WithFields(logrus.Fields{"event": "link_slow", "store": store, "delay_ms": round(delayMs)}).Info("transfers over the link of a kept-cache store are late")
		}
	}
	for store := range r.links.slow {
		if !slow[store] {
			r.log.WithFields(logrus.Fields{"event": "link_regained", "store": store}).Info("transfers over the link of a kept-cache store are no longer late")
		}
	}
	r.links.slow = slow
}

// register creates the metrics of links.
func (m *linkMonitor) register(meter metric.Meter) error {
	delay, err := meter.Float64ObservableGauge("gateway_link_delay", metric.WithUnit("ms"), metric.WithDescription("Estimated delay of transfers over the link of a kept-cache store, as observed by all processes; links that are not slow are left out"))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		delays := m.delays.Load()
		if delays == nil {
			return nil
		}
		series := 0
		for store, delayMs := range *delays {
			if series++; series <= maxLinkSeries {
				o.ObserveFloat64(delay, delayMs, metric.WithAttributes(attribute.String("store", store)))
			}
		}
		return nil
	}, delay)
	return err
}
