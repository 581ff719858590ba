package daemon

import (
	"context"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/entry"
	"waxwingtide.example/waxwingtide/settings"
)

// RunEntry runs the entry daemon until the context ends, which is a planned
// stop: calls under way finish first.
func RunEntry(ctx context.Context, s *settings.Entry, deps Deps) error {
	p, err := newProcess("entry", s.Common, deps, nil)
	if err != nil {
		return err
	}
	e, err := entry.New(entry.Options{
		Node:          s.Node,
		Incarnation:   p.deps.Incarnation,
		FailureDomain: s.FailureDomain,
		Control:       p.control,
		Dial:          p.dialer.Dial,
		Limits:        s.Limits,
		Routing:       s.Routing,
		Log:           p.log,
		Metrics:       p.metrics,
		Seed:          p.deps.Seed,
	})
	if err != nil {
		return err
	}
	// The duties outlive ctx: they end after the calls under way.
	if err := p.start(context.WithoutCancel(ctx), p.adminHandler(e.Ready, nil)); err != nil {
		return err
	}
	e.Start(p.group)
	callers, err := p.serveHTTP("callers", p.deps.Callers, s.Callers, e.Handler())
	if err != nil {
		return err
	}
	p.log.WithFields(logrus.Fields{"event": "start", "node": s.Node, "failure_domain": s.FailureDomain}).Info("entry started")
	return p.wait(ctx, func(ctx context.Context) {
		e.Drain()
		_ = callers.Shutdown(ctx)
	})
}
