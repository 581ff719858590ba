// Package frontend assembles the front daemon, which serves callers on the users'
// platform, from the other packages. It makes no decisions.
package frontend

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/callerhttp"
	"waxwingtide.example/waxwingtide/callerhttp/clientmetrics"
	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/gateway"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/platform"
	quarantinestore "waxwingtide.example/waxwingtide/quarantine/store"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/sharing"
	"waxwingtide.example/waxwingtide/singleton/dutystatus"
	"waxwingtide.example/waxwingtide/telemetry"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/upstreamhttp"
	"waxwingtide.example/waxwingtide/weights"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// readHeaderTimeout and maxHeaderBytes are upper limits that apply even if the
	// configuration permits more.
	readHeaderTimeout = time.Minute
	maxHeaderBytes    = 64 << 10
	// connectTimeout is the timeout for opening a connection to an upstream. A
	// round trip in the network takes a few milliseconds.
	connectTimeout = 300 * time.Millisecond
	// stopReserve is the time at the end of the grace period that is reserved for
	// stopping the duties.
	stopReserve = 400 * time.Millisecond
	// onlyFrontReserve is the time at the end of the grace period in which the only
	// registered front accepts no connections. Before that time it continues to
	// accept connections while streams are in progress, since there is no other
	// front.
	onlyFrontReserve = 700 * time.Millisecond
	// onlyFrontInterval is the interval between two checks for streams in progress
	// and other registered fronts.
	onlyFrontInterval = 100 * time.Millisecond
	deregisterTimeout = 300 * time.Millisecond
	// quarantineReadTimeout is the maximum time for which a start waits for the parts in
	// quarantine. Without them, calls crash servers again.
	quarantineReadTimeout = 500 * time.Millisecond
	// collectorSubject is the subject by which rendezvous hashing ranks the
	// collectors of observations.
	collectorSubject = "observations"
)

// process is the running daemon.
type process struct {
	settings     *settings.Front
	log          *logrus.Logger
	logWriter    *telemetry.AsyncWriter
	group        *duty.Group
	fleet        *fleet.Fleet
	gateway      *gateway.Gateway
	relay        *cacheevents.Relay
	exchanger    *sharing.Exchanger
	duties       *duties
	dialer       *transport.Dialer
	metrics      *telemetry.Metrics
	incarnation  core.Incarnation
	callerServer *callerhttp.Server
	stopping     chan struct{}
	// settingsFile is the path of the settings file.
	settingsFile string
}

// Run runs the front with the settings of a file. The end of the context causes a
// planned stop.
func Run(ctx context.Context, file string) error {
	s, err := settings.LoadFront(file)
	if err != nil {
		return err
	}
	p, err := newProcess(s)
	if err != nil {
		return err
	}
	p.settingsFile = file
	if err := p.start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		p.stop()
	case <-p.group.Context().Done():
	}
	p.group.Stop()
	err = p.group.Wait()
	p.log.WithFields(logrus.Fields{"event": "stopped"}).Info("stopped")
	p.logWriter.Flush()
	return err
}

func newProcess(s *settings.Front) (*process, error) {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "use debug, info, warning or error", "log.level is not a log level")
	}
	logWriter := telemetry.NewAsyncWriter(os.Stdout)
	log := telemetry.NewLogger(logWriter, level)
	m, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(s.Memory.GCPercent)
	if s.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(membudget.GoLimit(s.Memory.LimitMB))
	}
	p := &process{
		settings: s, log: log, logWriter: logWriter, metrics: m, incarnation: core.Incarnation(time.Now().UnixNano()),
		group: duty.NewGroup(context.Background(), log), stopping: make(chan struct{}),
	}
	return p, nil
}

// start runs the duties and opens the listeners.
func (p *process) start() error {
	s := p.settings
	p.group.Go("log", p.logWriter.Run)
	memory := newMemoryBudgets(s.Memory.LimitMB)
	if err := memory.register(p.metrics.Meter("memory")); err != nil {
		return err
	}
	p.relay = cacheevents.NewRelayWithin(uint64(p.incarnation), memory.keptCache)
	store := platform.NewMetadataStore(s.Store)
	engines := platform.NewControlClient(memory.controlReplies)
	p.dialer = transport.NewDialer(platform.NewDialer(connectTimeout).DialContext, nil)
	p.fleet = fleet.New(fleet.Options{
		Self:  fleet.Member{Node: s.Node, Address: s.Inner, Domain: s.FailureDomain, Incarnation: p.incarnation},
		Store: store, Tables: platform.Tables(), Decoder: platform.RowCodec{}, Seeds: s.Seeds,
		Dial: func(ctx context.Context, address string) drpc.Conn { return p.dialer.Dial(ctx, address) },
		Log:  p.log, RandomSeed: uint64(p.incarnation),
	})
	p.exchanger = sharing.New(sharing.Options{
		Self: s.Node, Candidates: p.collectorCandidates, Exchange: p.exchangeObservations, Sender: p.fleet.Sender, ObserveEpoch: p.fleet.ObserveEpoch, Log: p.log,
	})
	quarantines := quarantinestore.New(store, p.log)
	var err error
	if p.duties, err = p.newDuties(store); err != nil {
		return err
	}
	g, err := gateway.New(gateway.Options{
		Fleet: p.fleet, CacheFeed: cacheevents.New(engines, p.ownsFrees, p.relay, relayClient{p.dialer}, p.log), Codec: platform.CallCodec{},
		Observations: p.exchanger, QuarantineStore: quarantines,
		Client: upstreamhttp.NewClient(platform.NewUpstreamDialer(connectTimeout)), RequestMemory: memory.requests, ResponseMemory: memory.responses, CacheMemory: memory.keptCache,
		CanaryShare: s.Rollout.CanaryShare, StatusWriter: canary.NewStatusWriter(store, platform.RowCodec{}, p.log),
		CallBegan: p.duties.callBegan(), RecordLoads: p.duties.recordLoads(), Placement: placementOptions(s), Log: p.log, Meter: p.metrics.Meter("gateway"), Random: rand.Float64,
	})
	if err != nil {
		return err
	}
	p.gateway = g
	loader := weights.NewLoader(weights.Options{
		Self: s.Node, Incarnation: p.incarnation, Store: store, Fleet: p.fleet, Engines: engines,
		// Bounds.Lease is the minimum time between two holders of a lease. The lease
		// itself lasts half of it.
		HandoverInterval: s.Bounds.Lease, LoadShare: s.Weights.LoadShare, Mode: weightsMode(s.Weights.Mode), Log: p.log,
		OnLoaded: func(id core.UpstreamID, model core.ModelID, version catalog.WeightNumber) {
			g.ReportWeights(id, model, version)
		},
	})
	p.group.Go("relay", p.relay.Run)
	p.exchanger.Start(p.group)
	p.fleet.Start(p.group)
	g.Start(p.group)
	p.duties.start(p.group)
	p.group.Go("weights", loader.Run)
	p.group.Go("settings", p.watchSettings)
	p.group.Go("quarantine store", quarantines.Run)
	quarantines.AwaitFirstRead(p.group.Context(), quarantineReadTimeout)
	if err := p.listen(newDoorLimits(s.Doors, s.Memory.LimitMB, memory)); err != nil {
		return err
	}
	p.log.WithFields(logrus.Fields{"event": "start", "node": s.Node, "failure_domain": s.FailureDomain, "incarnation": p.incarnation}).Info("front started")
	return nil
}

func placementOptions(s *settings.Front) placement.Options {
	return placement.Options{
		Node: s.Node, Domain: s.FailureDomain, PrefillTokensPerMs: s.Engine.PrefillTokensPerMs, ColdFactor: s.Bounds.ColdOver, ColdSlack: s.Bounds.ColdSlack,
		WeightChangeTimeout: s.Bounds.Weights, RetryShare: s.Bounds.RetryShare, RetrySlack: s.Bounds.RetrySlack, RetryWindow: s.Bounds.RetryWindow,
	}
}

func weightsMode(name string) weights.Mode {
	return map[string]weights.Mode{"finish": weights.FinishRuns, "cut": weights.TruncateRuns, "keep": weights.KeepRuns}[name]
}

// collectorCandidates returns the addresses of the fronts, ranked as collectors of
// observations.
func (p *process) collectorCandidates() sharing.CollectorCandidates {
	members := rendezvous.Ranked(p.fleet.View().Members, collectorSubject, func(m fleet.Member) string { return string(m.Node) })
	candidates := sharing.CollectorCandidates{LocalAddress: p.settings.Inner}
	for _, m := range members {
		candidates.AllAddresses = append(candidates.AllAddresses, m.Address)
		if m.Domain == p.settings.FailureDomain {
			candidates.DomainAddresses = append(candidates.DomainAddresses, m.Address)
		}
	}
	return candidates
}

// exchangeObservations exchanges observations with another front.
func (p *process) exchangeObservations(ctx context.Context, address string, request *wire.ShareRequest) (*wire.ShareReply, error) {
	return wire.NewDRPCCatalogClient(p.dialer.Dial(ctx, address)).Share(ctx, request)
}

// ownsFrees reports whether this process is the one member that frees parts in the
// store at an address.
func (p *process) ownsFrees(address string) bool {
	members := p.fleet.View().Members
	nodes := make([]core.NodeID, len(members))
	for i, m := range members {
		nodes[i] = m.Node
	}
	return rendezvous.Owner(nodes, address) == p.settings.Node
}

// isOnlyFront reports whether no other front is registered.
func (p *process) isOnlyFront() bool {
	return !slices.ContainsFunc(p.fleet.View().Members, func(m fleet.Member) bool { return m.Node != p.settings.Node })
}

// listen opens the listeners and starts a duty for each of them. The inner protocol
// is the dRPC protocol between the processes of the system.
func (p *process) listen(limits doorLimits) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterCatalog(mux, catalogServer{p.fleet, p.relay, p.exchanger, p.duties}); err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "registering the inner protocol failed")
	}
	inner, err := listenTCP(p.settings.Inner)
	if err != nil {
		return err
	}
	innerGuard := transport.NewGuard(limits.inner)
	p.group.Go("inner protocol", func(ctx context.Context) error { return innerGuard.Serve(ctx, inner, nil, mux) })
	p.group.Go("inner protocol refusals", innerGuard.LogRefusals(p.log))
	control := dutystatus.Handler(func() dutystatus.Front { return p.duties.status(p.settings.Node) }, p.metrics.Handler())
	metrics, err := p.serve("metrics", p.settings.Metrics, control, defaultTimeouts, limits.control)
	if err != nil {
		return err
	}
	if p.callerServer, err = p.serve("callers", p.settings.Callers, p.gateway, p.callerTimeouts, limits.callers); err != nil {
		return err
	}
	// The load balancer sends connections as soon as a readiness check succeeds.
	readiness, err := p.serve("readiness", p.settings.Readiness, p.readinessHandler(), defaultTimeouts, limits.control)
	if err != nil {
		return err
	}
	return p.registerClientMetrics(innerGuard, metrics, p.callerServer, readiness)
}

// registerClientMetrics registers the metrics of the listeners.
func (p *process) registerClientMetrics(inner *transport.Guard, servers ...*callerhttp.Server) error {
	meter := p.metrics.Meter("clients")
	for _, server := range servers {
		if err := clientmetrics.RegisterServer(meter, server); err != nil {
			return err
		}
	}
	return clientmetrics.RegisterGuard(meter, inner)
}

// catalogServer implements the service Catalog of the inner protocol.
type catalogServer struct {
	*fleet.Fleet
	*cacheevents.Relay
	*sharing.Exchanger
	*duties
}

// relayClient queries relays over the inner protocol.
type relayClient struct{ dialer *transport.Dialer }

// CacheSince implements cacheevents.RelayClient.
func (a relayClient) CacheSince(ctx context.Context, relay string, request *wire.CacheRequest) (*wire.CacheReply, error) {
	return wire.NewDRPCCatalogClient(a.dialer.Dial(ctx, relay)).CacheSince(ctx, request)
}

func listenTCP(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "choose a free address of this VM", "cannot listen on %s", address)
	}
	return l.(*net.TCPListener), nil // the network is tcp
}

// serve starts the duties of a server.
func (p *process) serve(name, address string, handler http.Handler, timeouts func() callerhttp.Timeouts, limits callerhttp.Limits) (*callerhttp.Server, error) {
	l, err := listenTCP(address)
	if err != nil {
		return nil, err
	}
	server := callerhttp.New(callerhttp.Options{
		Name: name, Listener: l, Handler: handler, Timeouts: timeouts, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		Limits: limits, Log: p.log,
	})
	server.Start(p.group)
	return server, nil
}

// defaultTimeouts returns zero timeouts, which select the defaults.
func defaultTimeouts() callerhttp.Timeouts { return callerhttp.Timeouts{} }

// callerTimeouts returns the timeouts of the configuration in force.
func (p *process) callerTimeouts() callerhttp.Timeouts {
	if c := p.fleet.View().Config; c != nil {
		return callerhttp.Timeouts{Header: c.Limits.HeaderTimeout, Idle: c.Limits.IdleTimeout}
	}
	return callerhttp.Timeouts{}
}

// readinessHandler responds to the readiness checks of the platform's load balancer.
func (p *process) readinessHandler() http.Handler {
	router := httprouter.New()
	router.HandleOPTIONS = false // the router would answer with status 200
	router.HandlerFunc(http.MethodGet, platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-p.stopping:
			http.Error(w, "stopping", http.StatusServiceUnavailable)
			return
		default:
		}
		if !p.gateway.Ready() {
			http.Error(w, "no configuration or no upstream is known", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}

// stop performs a planned stop. The front first fails its readiness checks and
// deregisters. Each connection is then closed with its next response. After a delay
// the front closes its listener and waits for the calls in progress.
func (p *process) stop() {
	stopStarted := time.Now()
	p.log.WithFields(logrus.Fields{"event": "stop", "grace_ms": p.settings.Bounds.Grace.Milliseconds()}).Info("stopping")
	close(p.stopping)
	p.gateway.BeginStop(stopStarted, p.settings.Bounds.Grace)
	p.group.Go("release leases", p.duties.release)
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	p.fleet.Deregister(ctx)
	cancel()
	// The load balancer continues to open connections for the time Rotation. Idle
	// connections remain open for at least half the grace period, so that a caller's
	// next call still gets a response, which closes the connection.
	duty.Pause(p.group.Context(), time.Until(stopStarted.Add(max(p.settings.Stop.Rotation, p.settings.Bounds.Grace/2))))
	for p.isOnlyFront() && p.gateway.Streaming() && time.Since(stopStarted) < p.settings.Bounds.Grace-onlyFrontReserve {
		if !duty.Pause(p.group.Context(), onlyFrontInterval) {
			break
		}
	}
	ctx, cancel = context.WithDeadline(context.Background(), stopStarted.Add(p.settings.Bounds.Grace-stopReserve))
	defer cancel()
	if err := p.callerServer.Drain(ctx); err != nil {
		p.log.WithField("event", "calls_cut").WithError(err).Warn("planned stop did not complete all calls before its deadline")
	}
}
