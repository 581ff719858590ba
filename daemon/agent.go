package daemon

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/agent"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/settings"
)

// RunAgent runs the agent daemon until the context ends, which is a planned
// stop: runs under way finish first.
func RunAgent(ctx context.Context, s *settings.Agent, deps Deps) error {
	p, err := newProcess("agent", s.Common, deps, nil)
	if err != nil {
		return err
	}
	options := agent.Options{
		Node:        s.Node,
		Incarnation: p.deps.Incarnation,
		Upstream:    s.Upstream.ID,
		Control:     p.control,
		Log:         p.log,
		Metrics:     p.metrics,
	}
	if s.Upstream.Kind == bundle.KindEngine {
		options.Engine = engine.New(engine.Options{BaseURL: s.Upstream.URL, HTTP: &http.Client{Transport: p.deps.Transport}})
	}
	a, err := agent.New(options)
	if err != nil {
		return err
	}
	if err := a.Register(p.mux); err != nil {
		return err
	}
	if err := p.start(context.WithoutCancel(ctx), p.adminHandler(p.control.Ready, nil)); err != nil {
		return err
	}
	a.Start(p.group)
	p.log.WithFields(logrus.Fields{"event": "start", "node": s.Node, "upstream": s.Upstream.ID}).Info("agent started")
	return p.wait(ctx, func(ctx context.Context) {
		if err := a.Drain(ctx); err != nil {
			p.log.WithFields(logrus.Fields{"event": "drain", "node": s.Node}).WithError(err).Warn("runs were cut")
		}
	})
}
