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

// RunAgent runs the agent daemon until the context ends. The end of the context
// requests a planned stop, in which the agent finishes its active runs within the stop
// timeout.
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
	var cacheTransfer *transfer.Handle
	if s.Upstream.Kind == bundle.KindEngine {
		client := engine.New(engine.Options{BaseURL: s.Upstream.URL, HTTP: &http.Client{Transport: p.deps.Transport}})
		options.Engine = client
		if !s.KeptCache.Disabled {
			cacheTransfer = p.newCacheTransfer(s, client)
			options.Transfer = cacheTransfer
		}
	} else {
		if executor, err = p.newExecutor(s); err != nil {
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
	return p.waitAndStop(ctx, func(ctx context.Context) {
		if cacheTransfer != nil {
			p.log.WithFields(logrus.Fields{"event": "kept_cache", "node": s.Node, "stats": cacheTransfer.Stats()}).Info("kept-cache statistics at the stop")
		}
		// Calls are rejected only after the listener is closed, so that entries which then
		// close their connections open no new ones.
		p.innerServer.CloseListener(ctx)
		err := a.Drain(ctx)
		if executor != nil && err == nil {
			err = executor.Drain(ctx)
		}
		if err != nil {
			p.log.WithFields(logrus.Fields{"event": "drain", "node": s.Node}).WithError(err).Warn("drain did not finish; active runs are interrupted")
		}
		p.drainInner(ctx)
	})
}

// cacheEventInterval is the interval between two reads of the engine's cache events.
const cacheEventInterval = 200 * time.Millisecond

// newCacheTransfer creates the transfer of the kept cache, and the duty that sets its
// kept-cache stores.
func (p *process) newCacheTransfer(s *settings.Agent, client *engine.Client) *transfer.Handle {
	t := transfer.New(transfer.Options{
		Engine:            client,
		LinkRate:          float64(s.KeptCache.LinkBytesPerSecond),
		EventPollInterval: cacheEventInterval,
		Log:               p.log,
	})
	updater := &storeUpdater{transfer: t, views: p.control.Subscribe(), http: &http.Client{Transport: p.deps.StoreTransport}}
	p.duties = append(p.duties, namedDuty{"stores", updater.run})
	p.dutyStarters = append(p.dutyStarters, t.Start)
	return t
}

// storeUpdater is the duty that sets the kept-cache stores of the transfer to those in
// the bundle in force. It omits stores in a drained failure domain.
type storeUpdater struct {
	transfer *transfer.Handle
	views    *ring.Ring[*facts.View]
	http     *http.Client
}

func (u *storeUpdater) run(ctx context.Context) error {
	for {
		view, err := u.views.Receive(ctx)
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
				ID: s.ID, Client: cachestore.New(cachestore.Options{BaseURL: "http://" + s.Address, HTTPClient: u.http}),
			})
		}
		u.transfer.SetStores(stores)
	}
}

// newExecutor creates the executor of calls to a plain service.
func (p *process) newExecutor(s *settings.Agent) (*record.Executor, error) {
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
