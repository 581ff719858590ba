package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/security"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/standin"
)

const (
	loopback = "127.0.0.1:0"
	// processLoopback is where a process listens, each at an address of its own.
	// Outgoing connections start from 127.0.0.1, so that they never take a port
	// that a process listens on again after a restart.
	processLoopback = "127.0.1.%d:0"
	signerToken     = "dev-signer"
	credentialName  = "dev"

	versionStable = core.WeightVersion("v1")
	versionNext   = core.WeightVersion("v2")
	// canaryShare is the share of the calls of a new version before its promotion, and
	// canaryCount the number of upstreams that serve them.
	canaryShare = 0.1
	canaryCount = 2

	// listInterval is the interval at which the member list is published, which is the
	// delay with which it lists a process.
	listInterval = time.Second
	readyTimeout = 30 * time.Second
	stopTimeout  = 20 * time.Second
	// maxObservations is the capacity for prompts that engines took. Further ones are
	// dropped and counted.
	maxObservations = 1 << 18

	// coldPeriod is the time after its start in which an engine is slower by
	// coldSlowdown, and coldWindow the number of runs that it then tolerates.
	coldPeriod   = 3 * time.Second
	coldSlowdown = 4
	coldWindow   = 2
	// recordWindow is the number of calls that a records server runs at once.
	recordWindow = 32
	// storeBytes is the capacity of a kept-cache store.
	storeBytes = 256 << 20
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
	// dropped counts the observations for which seen had no room.
	dropped atomic.Int64
	admin   *admin.Client
}

// newCluster starts the stand-ins and lays out the processes.
func newCluster(d *Deployment, baseline bool, seed uint64, log *logrus.Logger) (*cluster, error) {
	c := &cluster{
		d: d, baseline: baseline, seed: seed, log: log,
		domains: make(map[string]core.FailureDomain),
		seen:    ring.New[observation](maxObservations),
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
