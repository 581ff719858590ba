package dev

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/daemon"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/security"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/standin"
)

func (c *cluster) addPlatform() error {
	folder, err := os.MkdirTemp("", "waxwingtide-dev-")
	if err != nil {
		return err
	}
	c.folder = folder
	secret := filepath.Join(folder, "secret")
	if err := os.WriteFile(secret, []byte("dev"), 0o600); err != nil {
		return err
	}
	addresses := make([]string, 3)
	for i, handler := range []http.Handler{c.table, c.objects, c.members} {
		if addresses[i], err = c.serve(handler); err != nil {
			return err
		}
	}
	c.platform = settings.Platform{
		TableURL: "http://" + addresses[0], TableName: "waxwingtide",
		ObjectsURL: "http://" + addresses[1], Bucket: "waxwingtide",
		MembersURL: "http://" + addresses[2] + "/members",
		AccessKey:  credentialName, SecretKeyFile: secret,
	}
	return nil
}

func (c *cluster) addStores() error {
	for i := range c.d.Stores {
		store := standin.NewKeptCache(standin.KeptCacheOptions{MemoryBytes: storeBytes})
		c.stores = append(c.stores, store)
		address, err := c.serve(store)
		if err != nil {
			return err
		}
		c.bundle.Stores = append(c.bundle.Stores, bundle.Store{
			ID: fmt.Sprintf("store-%d", i+1), Address: address, FailureDomain: c.domain(i),
		})
	}
	return nil
}

func (c *cluster) common(node core.NodeID, domain core.FailureDomain, addresses []string) settings.Common {
	return settings.Common{
		Node: node, FailureDomain: domain, FailureDomains: c.d.FailureDomains,
		Inner: settings.Listener{Address: addresses[0]}, Admin: settings.Listener{Address: addresses[1]},
		Platform: c.platform, StopTimeout: stopTimeout,
	}
}

// newUnit lays out a process with n addresses.
func (c *cluster) newUnit(node, role string, domain core.FailureDomain, n int) (*unit, error) {
	addresses, err := reserve(len(c.domains)+1, n)
	if err != nil {
		return nil, err
	}
	c.domains[addresses[0]] = domain
	return &unit{
		node: core.NodeID(node), role: role, domain: domain, addresses: addresses, log: c.log,
		dial: c.deps, seed: c.seed + uint64(len(c.domains)),
	}, nil
}

// deps gives a process the latency to other failure domains.
func (c *cluster) deps(from core.FailureDomain) daemon.Deps {
	return daemon.Deps{Dial: delayedDial(func(address string) time.Duration {
		if c.domains[address] == from {
			return 0
		}
		return 2 * c.d.Latency.BetweenDomains
	})}
}

func (c *cluster) addEngines() error {
	m := c.d.Engine
	for i := range c.d.Engines {
		e := &engineUnit{
			id: core.UpstreamID(fmt.Sprintf("engine-%02d", i+1)), domain: c.domain(i),
			link: standin.NewLink(float64(m.LinkBytesPerSecond)),
		}
		e.engine = standin.NewEngine(standin.EngineOptions{
			Models:  []string{engine.ModelName(c.d.Model, versionStable, "")},
			Weights: c.weights, PrefillRate: m.PrefillBytesPerSecond,
			TokenTime: m.TokenTime, TokenTimePerRun: m.TokenTimePerRun, MaxBatch: m.MaxBatch,
			CacheBlocks: m.CacheBlocks, KVBytes: m.KVBytesPerBlock,
			ColdFor: coldPeriod, ColdLimit: coldWindow, ColdSlowdown: coldSlowdown,
			// Every other engine ignores fencing tokens.
			CheckFence: i%2 == 0,
			EventDelay: m.EventDelay, EventGap: m.EventGap, MetricsLag: m.MetricsLag,
		})
		address, err := c.serve(&observer{next: e.engine, upstream: e.id, domain: e.domain, seen: c.seen, dropped: &c.dropped})
		if err != nil {
			return err
		}
		upstream := settings.Upstream{ID: e.id, Kind: bundle.KindEngine, URL: "http://" + address}
		if e.agent, err = c.addAgent(upstream, e.domain, e.link); err != nil {
			return err
		}
		c.engines = append(c.engines, e)
		c.bundle.Upstreams = append(c.bundle.Upstreams, bundle.Upstream{
			ID: e.id, Kind: bundle.KindEngine, Agent: e.agent.addresses[0], FailureDomain: e.domain, Model: c.d.Model,
			ChecksFence: i%2 == 0, MaxWindow: m.MaxBatch, ColdWindow: coldWindow, WarmUpSeconds: coldPeriod.Seconds(),
		})
	}
	return nil
}

func (c *cluster) addAgent(upstream settings.Upstream, domain core.FailureDomain, link http.RoundTripper) (*unit, error) {
	u, err := c.newUnit("agent-"+string(upstream.ID), "agent", domain, 2)
	if err != nil {
		return nil, err
	}
	s := &settings.Agent{
		Common: c.common(u.node, domain, u.addresses), Upstream: upstream,
		KeptCache: settings.KeptCache{Disabled: c.baseline, LinkBytesPerSecond: c.d.Engine.LinkBytesPerSecond},
	}
	u.run = func(ctx context.Context, deps daemon.Deps) error {
		deps.StoreTransport = link
		return daemon.RunAgent(ctx, s, deps)
	}
	c.agents = append(c.agents, u)
	return u, nil
}

func (c *cluster) addRecords() error {
	for i := range c.d.RecordServers {
		records := standin.NewRecords()
		c.records = append(c.records, records)
		address, err := c.serve(records)
		if err != nil {
			return err
		}
		upstream := settings.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("records-%d", i+1)), Kind: bundle.KindService, URL: "http://" + address,
		}
		agent, err := c.addAgent(upstream, c.domain(i), nil)
		if err != nil {
			return err
		}
		c.bundle.Upstreams = append(c.bundle.Upstreams, bundle.Upstream{
			ID: upstream.ID, Kind: bundle.KindService, Agent: agent.addresses[0], FailureDomain: agent.domain,
			Service: c.d.Service, MaxWindow: recordWindow,
		})
	}
	return nil
}

func (c *cluster) addEntries() error {
	policy := settings.PolicyCost
	if c.baseline {
		policy = settings.PolicyLeastLoaded
	}
	for i := range c.d.Entries {
		u, err := c.newUnit(fmt.Sprintf("entry-%d", i+1), "entry", c.domain(i), 3)
		if err != nil {
			return err
		}
		s := &settings.Entry{
			Common:  c.common(u.node, u.domain, u.addresses),
			Callers: settings.Listener{Address: u.addresses[2]},
			Routing: settings.Routing{Policy: policy, MaxWatched: settings.DefaultMaxWatched},
			Limits:  settings.Limits{BodyBytes: settings.DefaultBodyBytes, Waiting: settings.DefaultWaiting, Timeout: settings.DefaultTimeout},
			Administration: settings.Administration{Users: []settings.User{
				{Name: "dev", Role: "signer", TokenSHA256: security.HashSecret(signerToken)},
			}},
		}
		u.run = func(ctx context.Context, deps daemon.Deps) error { return daemon.RunEntry(ctx, s, deps) }
		c.entries = append(c.entries, u)
	}
	c.admin = &admin.Client{BaseURL: "http://" + c.entries[0].addresses[1], Token: signerToken}
	return nil
}
