package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/daemon"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/security"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/stores"
)

const (
	loopback = "127.0.0.1:0"
	// processLoopback is where a process listens, each at an address of its own.
	// Outgoing connections start from 127.0.0.1, so that they never take a port
	// that a process listens on again after a restart.
	processLoopback = "127.0.1.%d:0"
	versionStable   = core.WeightVersion("v1")
	versionNext     = core.WeightVersion("v2")
	signerToken     = "dev-signer"
	listLag         = time.Second
	readyLimit      = 30 * time.Second
	stopLimit       = 20 * time.Second
	observations    = 1 << 18
	canaryShare     = 0.1
	canaryCount     = 2
	coldFor         = 3 * time.Second
	coldLimit       = 2
	coldSlowdown    = 4
	recordWindow    = 32
	storeBytes      = 256 << 20
	credentialName  = "dev"
)

// engineUnit is a model server: the stand-in, its agent and its link.
type engineUnit struct {
	id     core.UpstreamID
	domain core.FailureDomain
	engine *standin.Engine
	link   *standin.Link
	agent  *unit
}

// cluster is a deployment with all its stand-ins in this process.
type cluster struct {
	d        *Deployment
	baseline bool
	seed     uint64
	log      *logrus.Logger
	folder   string
	group    conc.WaitGroup
	cancel   context.CancelFunc
	servers  []*http.Server

	table   *standin.Table
	objects *standin.Objects
	members *standin.Members
	weights *standin.Weights
	stores  []*standin.KeptCache
	engines []*engineUnit
	records []*standin.Records
	entries []*unit
	agents  []*unit

	platform settings.Platform
	bundle   *bundle.Bundle
	domains  map[string]core.FailureDomain
	seen     *ring.Ring[observation]
	unseen   atomic.Int64
	admin    *admin.Client
}

// newCluster starts the stand-ins and lays out the processes.
func newCluster(d *Deployment, baseline bool, seed uint64, log *logrus.Logger) (*cluster, error) {
	c := &cluster{
		d: d, baseline: baseline, seed: seed, log: log,
		domains: make(map[string]core.FailureDomain),
		seen:    ring.New[observation](observations),
		table:   standin.NewTable(), objects: standin.NewObjects(), members: standin.NewMembers(),
		weights: standin.NewWeights(standin.WeightsOptions{}),
	}
	c.bundle = &bundle.Bundle{
		Version: "1",
		Models:  []bundle.Model{{ID: d.Model, Versions: []core.WeightVersion{versionStable, versionNext}, Stable: versionStable}},
		Services: []bundle.Service{{
			ID: d.Service, NonRepeatable: []string{http.MethodPost + " " + d.RecordPath},
		}},
	}
	for _, step := range []func() error{c.addPlatform, c.addStores, c.addEngines, c.addRecords, c.addEntries} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	for _, w := range d.Workspaces {
		c.bundle.Workspaces = append(c.bundle.Workspaces, bundle.Workspace{
			ID: w.ID, Models: []core.ModelID{d.Model}, Services: []core.ServiceID{d.Service},
			Callers: []bundle.Caller{{ID: "caller", KeySHA256: security.HashSecret(keyOf(w.ID))}},
		})
	}
	return c, nil
}

func keyOf(w core.WorkspaceID) string { return "key-" + string(w) }

// domain spreads things over the failure domains in turn.
func (c *cluster) domain(i int) core.FailureDomain {
	return c.d.FailureDomains[i%len(c.d.FailureDomains)]
}

// serve runs a stand-in's HTTP server on loopback and returns its address.
func (c *cluster) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errs.Wrap(err, errs.Unavailable, "free some ports", "stand-in cannot listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	c.servers = append(c.servers, server)
	c.group.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// reserve returns n free addresses for the process with a number.
func reserve(process, n int) (addresses []string, err error) {
	for range n {
		listener, err := net.Listen("tcp", fmt.Sprintf(processLoopback, process))
		if err != nil {
			return nil, errs.Wrap(err, errs.Unavailable, "free some ports", "process cannot listen")
		}
		// Closed only at the end, so that no address is returned twice.
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

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
		Platform: c.platform, StopTimeout: stopLimit,
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
			ColdFor: coldFor, ColdLimit: coldLimit, ColdSlowdown: coldSlowdown,
			// Every other engine ignores fencing tokens.
			CheckFence: i%2 == 0,
			EventDelay: m.EventDelay, EventGap: m.EventGap, MetricsLag: m.MetricsLag,
		})
		address, err := c.serve(&observer{next: e.engine, upstream: e.id, domain: e.domain, seen: c.seen, lost: &c.unseen})
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
			ChecksFence: i%2 == 0, MaxWindow: m.MaxBatch, ColdWindow: coldLimit, WarmUpSeconds: coldFor.Seconds(),
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

// start runs all processes and puts the bundle in force.
func (c *cluster) start(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	c.group.Go(func() { c.list(ctx) })
	startAll(ctx, &c.group, c.agents)
	startAll(ctx, &c.group, c.entries)
	limited, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := c.signOff(limited); err != nil {
		return err
	}
	for _, u := range append(c.entries, c.agents...) {
		if err := c.awaitReady(limited, u); err != nil {
			return err
		}
	}
	return nil
}

// list publishes the processes as the platform's lagging list.
func (c *cluster) list(ctx context.Context) {
	for {
		var vms []stores.VM
		for _, u := range append(append([]*unit{}, c.entries...), c.agents...) {
			if vm, ok := u.vm(); ok {
				vms = append(vms, vm)
			}
		}
		if !duty.Pause(ctx, listLag) {
			return
		}
		c.members.SetList(vms)
	}
}

// signOff proposes the bundle and signs it off, again after a lost answer.
func (c *cluster) signOff(ctx context.Context) error {
	document, err := c.bundle.Encode()
	if err != nil {
		return err
	}
	for {
		proposal, err := c.admin.Propose(ctx, document)
		if err == nil {
			_, err = c.admin.SignOff(ctx, proposal.Digest, proposal.Epoch, false)
		}
		if err == nil || errs.Is(err, errs.Invalid) {
			return err
		}
		c.log.WithField("event", "sign_off").WithError(err).Debug("sign-off failed")
		if !duty.Pause(ctx, retryPause) {
			return errs.Wrap(err, errs.Unavailable, "see the log", "bundle was not signed off in time")
		}
	}
}

func (c *cluster) awaitReady(ctx context.Context, u *unit) error {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.addresses[1]+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !duty.Pause(ctx, listLag/10) {
			return errs.New(errs.Unavailable, "see the log", "%s was not ready in time", u.node)
		}
	}
}

// close stops everything, the processes first.
func (c *cluster) close() {
	if c.cancel != nil {
		c.cancel()
	}
	for _, u := range append(c.entries, c.agents...) {
		for unitState(u.state.Load()) != unitGone {
			time.Sleep(listLag / 100)
		}
	}
	for _, e := range c.engines {
		e.engine.Close()
		e.link.Close()
	}
	for _, s := range c.stores {
		s.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.group.Wait()
	_ = os.RemoveAll(c.folder)
}
