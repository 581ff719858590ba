// Package frontend wires the library into the front daemon, which serves
// callers on the users' platform. It makes no decisions.
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

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/gateway"
	"waxwingtide.example/waxwingtide/observations"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/platform"
	"waxwingtide.example/waxwingtide/rendezvous"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/telemetry"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/upstreamhttp"
	"waxwingtide.example/waxwingtide/weights"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// readHeaderTimeout and maxHeaderBytes protect the process whatever the
	// configuration allows.
	readHeaderTimeout = time.Minute
	maxHeaderBytes    = 64 << 10
	// connectTimeout bounds a connection to an upstream; the network's round
	// trip takes a few milliseconds.
	connectTimeout = 300 * time.Millisecond
	// memoryShare is the part of the VM's memory that the garbage collector
	// keeps the process under.
	memoryShare = 0.8
	// stopReserve is kept of the grace time for the end of the process.
	stopReserve = 400 * time.Millisecond
	// aloneReserve is kept of the grace time by a front that goes on taking calls
	// while its streams end, since no other front is there.
	aloneReserve  = 700 * time.Millisecond
	aloneInterval = 100 * time.Millisecond
	leaveWait     = 300 * time.Millisecond
	// collectorSubject names the duty of collecting observations in the order of
	// rendezvous hashing.
	collectorSubject = "observations"
)

// process is the running daemon.
type process struct {
	settings    *settings.Front
	log         *logrus.Logger
	lines       *telemetry.AsyncWriter
	group       *duty.Group
	fleet       *fleet.Fleet
	gateway     *gateway.Gateway
	relay       *cacheevents.Relay
	sharing     *observations.Exchanger
	dialer      *transport.Dialer
	metrics     *telemetry.Metrics
	incarnation core.Incarnation
	callers     *http.Server
	stopping    chan struct{}
	// file is where the settings came from.
	file string
}

// Run runs the front with the settings of a file until the context ends, which
// is a planned stop.
func Run(ctx context.Context, file string) error {
	s, err := settings.LoadFront(file)
	if err != nil {
		return err
	}
	p, err := newProcess(s)
	if err != nil {
		return err
	}
	p.file = file
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
	p.lines.Flush()
	return err
}

func newProcess(s *settings.Front) (*process, error) {
	level, err := logrus.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "use debug, info, warning or error", "log.level is not known")
	}
	lines := telemetry.NewAsyncWriter(os.Stdout)
	log := telemetry.NewLogger(lines, level)
	m, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(s.Memory.GCPercent)
	if s.Memory.LimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * s.Memory.LimitMB * (1 << 20)))
	}
	p := &process{
		settings: s, log: log, lines: lines, metrics: m, incarnation: core.Incarnation(time.Now().UnixNano()),
		group: duty.NewGroup(context.Background(), log), stopping: make(chan struct{}),
	}
	return p, nil
}

// start runs the duties and opens the listeners.
func (p *process) start() error {
	s := p.settings
	p.group.Go("log", p.lines.Run)
	p.relay = cacheevents.NewRelay(uint64(p.incarnation))
	store := platform.NewMetadataStore(s.Store)
	engines := platform.NewEngineClient()
	p.dialer = transport.NewDialer(platform.NewDialer(connectTimeout).DialContext, nil)
	p.fleet = fleet.New(fleet.Options{
		Self:  fleet.Member{Node: s.Node, Address: s.Inner, Domain: s.FailureDomain, Incarnation: p.incarnation},
		Store: store, Tables: platform.Tables(), Decoder: platform.RowCodec{}, Seeds: s.Seeds,
		Dial: func(ctx context.Context, address string) drpc.Conn { return p.dialer.Dial(ctx, address) },
		Log:  p.log, RandomSeed: uint64(p.incarnation),
	})
	p.sharing = observations.New(observations.Options{
		Self: s.Node, Candidates: p.peers, Exchange: p.share, Identity: p.fleet.Sender, ObserveSender: p.fleet.ObserveEpoch, Log: p.log,
	})
	g, err := gateway.New(gateway.Options{
		Fleet: p.fleet, CacheFeed: cacheevents.New(engines, p.frees, p.relay, relayAsker{p.dialer}, p.log), Codec: platform.CallCodec{},
		Observations: p.sharing,
		Client:       upstreamhttp.NewClient(platform.NewDialer(connectTimeout)),
		CanaryShare:  s.Rollout.CanaryShare, StatusWriter: canary.NewStatusWriter(store, platform.RowCodec{}, p.log),
		Placement: placementOptions(s), Log: p.log, Meter: p.metrics.Meter("gateway"), Random: rand.Float64,
	})
	if err != nil {
		return err
	}
	p.gateway = g
	loader := weights.NewLoader(weights.Options{
		Self: s.Node, Incarnation: p.incarnation, Store: store, Fleet: p.fleet, Engines: engines,
		HandoverInterval: s.Bounds.Lease, LoadShare: s.Weights.LoadShare, Mode: weightsMode(s.Weights.Mode), Log: p.log,
		OnLoaded: func(id core.UpstreamID, model core.ModelID, version catalog.WeightNumber) {
			g.ReportWeights(id, model, version)
		},
	})
	p.group.Go("relay", p.relay.Run)
	p.sharing.Start(p.group)
	p.fleet.Start(p.group)
	g.Start(p.group)
	p.group.Go("weights", loader.Run)
	p.group.Go("settings", p.followSettings)
	if err := p.listen(); err != nil {
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

// peers returns the fronts in the order in which they collect observations.
func (p *process) peers() observations.CollectorCandidates {
	members := rendezvous.Ranked(p.fleet.View().Members, collectorSubject, func(m fleet.Member) string { return string(m.Node) })
	out := observations.CollectorCandidates{LocalAddress: p.settings.Inner}
	for _, m := range members {
		out.AllAddresses = append(out.AllAddresses, m.Address)
		if m.Domain == p.settings.FailureDomain {
			out.DomainAddresses = append(out.DomainAddresses, m.Address)
		}
	}
	return out
}

// share exchanges observations with another front.
func (p *process) share(ctx context.Context, address string, request *wire.ShareRequest) (*wire.ShareReply, error) {
	return wire.NewDRPCCatalogClient(p.dialer.Dial(ctx, address)).Share(ctx, request)
}

// frees reports whether this process frees what broke off in a store: one
// member does so for each store.
func (p *process) frees(address string) bool {
	members := p.fleet.View().Members
	nodes := make([]core.NodeID, len(members))
	for i, m := range members {
		nodes[i] = m.Node
	}
	return rendezvous.Owner(nodes, address) == p.settings.Node
}

// alone reports whether no other front is registered, so that callers have no
// other place to go to.
func (p *process) alone() bool {
	return !slices.ContainsFunc(p.fleet.View().Members, func(m fleet.Member) bool { return m.Node != p.settings.Node })
}

// listen opens the listeners and serves them as duties.
func (p *process) listen() error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterCatalog(mux, catalogServer{p.fleet, p.relay, p.sharing}); err != nil {
		return errs.Wrap(err, errs.Internal, "report this as a defect", "inner protocol cannot be registered")
	}
	inner, err := listener(p.settings.Inner)
	if err != nil {
		return err
	}
	p.group.Go("inner protocol", func(ctx context.Context) error { return transport.Serve(ctx, inner, nil, mux) })
	if _, err := p.serve("metrics", p.settings.Metrics, p.metrics.Handler(), defaultLimits); err != nil {
		return err
	}
	if _, err := p.serve("readiness", p.settings.Readiness, p.readiness(), defaultLimits); err != nil {
		return err
	}
	p.callers, err = p.serve("callers", p.settings.Callers, p.gateway, p.callersLimits)
	return err
}

// catalogServer is the inner protocol's service of a front.
type catalogServer struct {
	*fleet.Fleet
	*cacheevents.Relay
	*observations.Exchanger
}

// relayAsker asks relays over the inner protocol.
type relayAsker struct{ dialer *transport.Dialer }

// CacheSince implements cacheevents.RelayClient.
func (a relayAsker) CacheSince(ctx context.Context, relay string, request *wire.CacheRequest) (*wire.CacheReply, error) {
	return wire.NewDRPCCatalogClient(a.dialer.Dial(ctx, relay)).CacheSince(ctx, request)
}

func listener(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "choose a free address of this VM", "cannot listen on %s", address)
	}
	return l.(*net.TCPListener), nil // the network is tcp
}

// serve runs a server whose connections wait for callers within limits.
func (p *process) serve(name, address string, handler http.Handler, limits func() connLimits) (*http.Server, error) {
	l, err := listener(address)
	if err != nil {
		return nil, err
	}
	waiting := newWaitingConns(limits, p.log)
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: waiting.note,
	}
	p.group.Go(name+" waiting connections", waiting.run)
	p.group.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(callerListener{l, waiting}); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return server, nil
}

func defaultLimits() connLimits { return connLimits{} }

// callersLimits are those of the configuration in force.
func (p *process) callersLimits() connLimits {
	if c := p.fleet.View().Config; c != nil {
		return connLimits{head: c.Limits.HeaderTimeout, idle: c.Limits.IdleTimeout}
	}
	return connLimits{}
}

// readiness answers the platform's balancer.
func (p *process) readiness() http.Handler {
	router := httprouter.New()
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

// stop ends the front as planned: it is taken out of rotation first, then
// connections end with their next answer, and calls under way finish.
func (p *process) stop() {
	started := time.Now()
	p.log.WithFields(logrus.Fields{"event": "stop", "grace_ms": p.settings.Bounds.Grace.Milliseconds()}).Info("stopping")
	close(p.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), leaveWait)
	p.fleet.Deregister(ctx)
	cancel()
	p.gateway.BeginStop(started, p.settings.Bounds.Grace)
	// The balancer goes on sending connections for a while, and callers with idle
	// connections get time to use and thereby close them.
	duty.Pause(p.group.Context(), time.Until(started.Add(max(p.settings.Stop.Rotation, p.settings.Bounds.Grace/2))))
	for p.alone() && p.gateway.Streaming() && time.Since(started) < p.settings.Bounds.Grace-aloneReserve {
		if !duty.Pause(p.group.Context(), aloneInterval) {
			break
		}
	}
	ctx, cancel = context.WithDeadline(context.Background(), started.Add(p.settings.Bounds.Grace-stopReserve))
	defer cancel()
	if err := p.callers.Shutdown(ctx); err != nil {
		p.log.WithField("event", "calls_cut").WithError(err).Warn("calls under way were cut at the end of the grace time")
	}
}
