package transport

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// refusalLogInterval is the minimum interval between two log lines on refused clients.
const refusalLogInterval = time.Second

// LogRefusals is a duty that logs that clients were refused, at most once for each interval.
func (g *Guard) LogRefusals(log logrus.FieldLogger) func(context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(refusalLogInterval)
		defer ticker.Stop()
		logged := int64(0)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				logged = g.logRefusals(log, logged)
			}
		}
	}
}

// logRefusals logs the refusals if there are others than those that were logged. It returns
// the number of refusals.
func (g *Guard) logRefusals(log logrus.FieldLogger, logged int64) int64 {
	conns, messages := g.refusedConns.Load(), g.refusedMessages.Load()
	if conns+messages == logged {
		return logged
	}
	log.WithFields(logrus.Fields{
		"event": "clients_refused", "listener": "inner", "connections": g.open.Load(), "connection_limit": g.limits.Connections,
		"refused_connections": conns, "refused_messages": messages,
	}).Warn("clients were refused since connections or memory for requests are short")
	return conns + messages
}
