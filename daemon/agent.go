package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/agent"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/cachestore"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/transfer"
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
		ReadFence:   p.control.ReadLeaseFence,
		Log:         p.log,
		Metrics:     p.metrics,
	}
	var executor *record.Executor
	var kept *transfer.Transfer
	if s.Upstream.Kind == bundle.KindEngine {
		client := engine.New(engine.Options{BaseURL: s.Upstream.URL, HTTP: &http.Client{Transport: p.deps.Transport}})
		options.Engine = client
		if !s.KeptCache.Disabled {
			kept = p.transfer(s, client)
			options.Transfer = kept
		}
	} else {
		if executor, err = p.executor(s); err != nil {
			return err
		}
		options.CallService = executor.Call
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
		if kept != nil {
			p.log.WithFields(logrus.Fields{"event": "kept_cache", "node": s.Node, "stats": kept.Stats()}).Info("kept cache at the stop")
		}
		err := a.Drain(ctx)
		if executor != nil && err == nil {
			err = executor.Drain(ctx)
		}
		if err != nil {
			p.log.WithFields(logrus.Fields{"event": "drain", "node": s.Node}).WithError(err).Warn("runs were cut")
		}
	})
}

// eventInterval is how often the engine's cache events are read.
const eventInterval = 200 * time.Millisecond

// transfer sets up the kept cache. A duty follows the stores of the bundle.
func (p *process) transfer(s *settings.Agent, client *engine.Client) *transfer.Transfer {
	t := transfer.New(transfer.Options{
		Engine:            client,
		LinkRate:          float64(s.KeptCache.LinkBytesPerSecond),
		EventPollInterval: eventInterval,
		Log:               p.log,
	})
	stores := &storeFollower{transfer: t, views: p.control.Subscribe(), http: &http.Client{Transport: p.deps.StoreTransport}}
	p.later = append(p.later, namedDuty{"stores", stores.run})
	p.starters = append(p.starters, t.Start)
	return t
}

// storeFollower is the duty that tells the transfer duties which kept-cache
// stores the bundle in force names. Stores of a drained failure domain are
// left out.
type storeFollower struct {
	transfer *transfer.Transfer
	views    *ring.Ring[*facts.View]
	http     *http.Client
}

func (f *storeFollower) run(ctx context.Context) error {
	for {
		view, err := f.views.Receive(ctx)
		if err != nil {
			return err
		}
		if !view.HasBundle() {
			continue
		}
		var stores []transfer.Store
		for _, s := range view.Index.Bundle.Stores {
			if !view.Allowed(facts.Subject{Kind: facts.SubjectDomain, Name: string(s.FailureDomain)}) {
				continue
			}
			stores = append(stores, transfer.Store{
				ID: s.ID, Client: cachestore.New(cachestore.Options{BaseURL: "http://" + s.Address, HTTPClient: f.http}),
			})
		}
		f.transfer.SetStores(stores)
	}
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
