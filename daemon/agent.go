package daemon

import (
	"context"
	"net/http"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/agent"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/settings"
)

const roleAgent = "agent"

// RunAgent runs the agent daemon until the context ends, which is a planned
// stop: runs under way finish first.
func RunAgent(ctx context.Context, s *settings.Agent, deps Deps) error {
	p, err := newProcess(roleAgent, s.Common, deps, nil)
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
	var executor *record.Executor
	if s.Upstream.Kind == bundle.KindEngine {
		options.Engine = engine.New(engine.Options{BaseURL: s.Upstream.URL, HTTP: &http.Client{Transport: p.deps.Transport}})
	} else {
		if executor, err = p.executor(s); err != nil {
			return err
		}
		options.Call = executor.Call
	}
	a, err := agent.New(options)
	if err != nil {
		return err
	}
	if err := a.Register(p.mux); err != nil {
		return err
	}
	if err := p.start(p.adminHandler(p.control.Ready, nil)); err != nil {
		return err
	}
	if executor != nil {
		executor.Start(p.group)
	}
	a.Start(p.group)
	p.log.WithFields(logrus.Fields{"event": "start", "node": s.Node, "upstream": s.Upstream.ID}).Info("agent started")
	return p.wait(ctx, func(ctx context.Context) {
		err := a.Drain(ctx)
		if executor != nil && err == nil {
			err = executor.Drain(ctx)
		}
		if err != nil {
			p.log.WithFields(logrus.Fields{"event": "drain", "node": s.Node}).WithError(err).Warn("runs were cut")
		}
	})
}

// executor sets up the runs of a plain service.
func (p *process) executor(s *settings.Agent) (*record.Executor, error) {
	service, err := record.NewServiceClient(s.Upstream.URL)
	if err != nil {
		return nil, err
	}
	return record.NewExecutor(record.ExecutorOptions{
		Upstream:    s.Upstream.ID,
		Incarnation: p.deps.Incarnation,
		Service:     service,
		Table:       p.table,
		Objects:     p.objects,
		Log:         p.log,
		Epoch:       p.control.Epoch,
		Meter:       p.metrics.Meter("record"),
	})
}
