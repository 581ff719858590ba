// Package daemon assembles the two daemons, entry and agent, from the other packages.
// It reads only files that are named in the settings. The decisions on calls and
// rollouts are made in other packages.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/callerhttp"
	"waxwingtide.example/waxwingtide/callerhttp/clientmetrics"
	"waxwingtide.example/waxwingtide/control"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/security"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/telemetry"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 64 << 10
	maxSecretFileBytes = 4 << 10
	// adminDrainTimeout is the maximum time for the drain of the administration API in a
	// planned stop, within the stop timeout.
	adminDrainTimeout = 2 * time.Second
	// innerDrainTimeout is the maximum time that a planned stop of an agent waits for the end
	// of open connections of the inner protocol, within the stop timeout. Gossip peers keep
	// their connections for longer.
	innerDrainTimeout = 2 * time.Second
)

// Deps are dependencies that replace the defaults of a daemon. The zero value selects
// the defaults.
type Deps struct {
	Log *logrus.Logger
	// Dial replaces the function that opens TCP connections of the inner protocol.
	Dial transport.DialFunc
	// Transport replaces the HTTP transport to the upstream, StoreTransport the one to
	// kept-cache stores. The default is httplimit.NewTransport.
	Transport      http.RoundTripper
	StoreTransport http.RoundTripper
	// InnerListener, AdminListener and CallerListener replace the listeners on the
	// addresses in the settings.
	InnerListener, AdminListener, CallerListener net.Listener
	// Incarnation identifies this start of the process. Zero selects the present time
	// in nanoseconds.
	Incarnation core.Incarnation
	// Seed makes random choices reproducible. 0 selects the incarnation.
	Seed uint64
	// AbortContext stops the process at once when it ends, without a drain, as a
	// crash does. Nil means that the process is never aborted.
	AbortContext context.Context
}

func (d Deps) withDefaultTransports() Deps {
	if d.Transport == nil {
		d.Transport = httplimit.NewTransport()
	}
	if d.StoreTransport == nil {
		d.StoreTransport = httplimit.NewTransport()
	}
	return d
}

// namedDuty is a duty and its name in the group.
type namedDuty struct {
	name string
	run  duty.Func
}

// process contains the state that both daemons use.
type process struct {
	common  settings.Common
	deps    Deps
	log     *logrus.Logger
	metrics *telemetry.Metrics
	group   *duty.Group
	dialer  *transport.Dialer
	control *control.Control
	mux     *drpcmux.Mux
	// adminServer serves the administration API, health checks and metrics.
	adminServer *callerhttp.Server
	// innerServer serves the inner protocol.
	innerServer *transport.Server
	// hasCallers is set for entries.
	hasCallers bool
	// callerLimits are the limits of the callers' listener. They are set by start.
	callerLimits callerhttp.Limits

	table   stores.Table
	objects stores.ObjectStore
	// innerIdentity is the TLS identity of the inner protocol, or nil without TLS.
	innerIdentity *security.TLSIdentity
	// duties are started with the process.
	duties []namedDuty
	// dutyStarters start sets of duties with the process.
	dutyStarters []func(*duty.Group)
}

// newProcess creates the state that both daemons use. onLease runs the operators'
// duties while this process holds their lease. It is nil in agents.
func newProcess(role string, common settings.Common, deps Deps, onLease func(context.Context, core.Fence) error) (*process, error) {
	p := &process{common: common, deps: deps.withDefaultTransports(), log: deps.Log, mux: drpcmux.New(), hasCallers: role == roleEntry}
	if p.log == nil {
		level, err := logrus.ParseLevel(common.Log.Level)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "use debug, info, warning or error", "log.level is not a log level")
		}
		p.log = telemetry.NewLogger(os.Stderr, level)
	}
	if p.deps.Incarnation == 0 {
		p.deps.Incarnation = core.Incarnation(time.Now().UnixNano())
	}
	if p.deps.Seed == 0 {
		p.deps.Seed = uint64(p.deps.Incarnation)
	}
	steps := []func() error{
		p.setMetrics,
		p.setIdentityAndDialer,
		func() error { return p.setControl(role, onLease) },
		func() error { return wire.DRPCRegisterPeer(p.mux, p.control.PeerServer()) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *process) setMetrics() (err error) {
	p.metrics, err = telemetry.NewMetrics()
	return err
}

func (p *process) setIdentityAndDialer() error {
	var config *tls.Config
	if files := p.common.Inner.TLS; files != nil {
		identity, err := security.LoadTLSIdentity(newTLSFiles(files), p.log)
		if err != nil {
			return err
		}
		p.innerIdentity, config = identity, identity.ClientConfig()
	}
	p.dialer = transport.NewDialer(p.deps.Dial, config)
	return nil
}

func newTLSFiles(t *settings.TLS) security.TLSFiles {
	return security.TLSFiles{Certificate: t.Certificate, Key: t.Key, PeerCA: t.PeerCA}
}

// dial returns a connection for the control duties.
func (p *process) dial(ctx context.Context, address string) (drpc.Conn, error) {
	return p.dialer.Dial(ctx, address), nil
}

func (p *process) setControl(role string, onLease func(context.Context, core.Fence) error) error {
	lister, err := p.setPlatformClients()
	if err != nil {
		return err
	}
	options := control.Options{
		Node:           p.common.Node,
		Role:           role,
		FailureDomain:  p.common.FailureDomain,
		FailureDomains: p.common.FailureDomains,
		Incarnation:    p.deps.Incarnation,
		Address:        p.innerAddress(),
		Table:          p.table,
		Objects:        p.objects,
		Lister:         lister,
		Dial:           p.dial,
		ParseBundle:    parseBundle,
		Log:            p.log,
		Metrics:        p.metrics,
		Seed:           p.deps.Seed,
		OnLease:        onLease,
	}
	p.control, err = control.New(options)
	return err
}

func parseBundle(body []byte) (*bundle.Index, error) {
	b, err := bundle.Decode(body, bundle.Digest(body))
	if err != nil {
		return nil, err
	}
	return bundle.NewIndex(b), nil
}

func (p *process) innerAddress() string {
	if p.deps.InnerListener != nil {
		return p.deps.InnerListener.Addr().String()
	}
	return p.common.Inner.Address
}

// setPlatformClients sets the clients of the table and the object store, and returns
// the client that lists the platform's VMs.
func (p *process) setPlatformClients() (stores.VMLister, error) {
	s := p.common.Platform
	secret, err := readSecret(s.SecretKeyFile)
	if err != nil {
		return nil, err
	}
	endpoint := func(url string) stores.Endpoint {
		return stores.Endpoint{URL: url, AccessKey: s.AccessKey, SecretKey: secret}
	}
	retry := stores.RetryOptions{Seed: p.deps.Seed}
	p.table, err = stores.NewTable(stores.TableOptions{Endpoint: endpoint(s.TableURL), Name: s.TableName, Retry: retry})
	if err != nil {
		return nil, err
	}
	p.objects, err = stores.NewObjectStore(stores.ObjectStoreOptions{Endpoint: endpoint(s.ObjectsURL), Bucket: s.Bucket, Retry: retry})
	if err != nil {
		return nil, err
	}
	return stores.NewVMLister(stores.VMListerOptions{URL: s.MembersURL, Retry: retry})
}

// readSecret reads the secret key of the platform's stores from a file.
func readSecret(file string) (string, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return "", errs.Wrap(err, errs.Invalid, "set it to the path of a readable file", "platform.secret_key_file %s cannot be read", file)
	}
	if len(body) == 0 || len(body) > maxSecretFileBytes {
		return "", errs.New(errs.Invalid, "write only the secret key to it", "platform.secret_key_file %s has %d bytes", file, len(body))
	}
	return strings.TrimSpace(string(body)), nil
}

// start starts the duties that both daemons use, and the servers of the inner protocol
// and the administration API.
func (p *process) start(admin http.Handler) error {
	abortCtx := p.deps.AbortContext
	if abortCtx == nil {
		abortCtx = context.Background()
	}
	p.group = duty.NewGroup(abortCtx, p.log)
	p.control.Start(p.group)
	for _, d := range p.duties {
		p.group.Go(d.name, d.run)
	}
	for _, start := range p.dutyStarters {
		start(p.group)
	}
	inner, err := listen("inner protocol", p.deps.InnerListener, p.common.Inner.Address)
	if err != nil {
		return err
	}
	var config *tls.Config
	if p.innerIdentity != nil {
		config = p.innerIdentity.ServerConfig()
		p.group.Go("inner certificates", p.innerIdentity.FileWatchDuty())
	}
	limits := newDoorLimits(p.hasCallers, p.common.Doors)
	p.callerLimits = limits.callers
	p.innerServer = transport.NewServer(inner, config, p.mux).WithLimits(limits.inner)
	p.group.Go("inner protocol", p.innerServer.Run)
	p.group.Go("inner protocol refusals", p.innerServer.Guard().LogRefusals(p.log))
	if err := p.registerInnerMetrics(limits); err != nil {
		return err
	}
	p.adminServer, err = p.serveHTTP("administration", p.deps.AdminListener, p.common.Admin, admin, limits.admin)
	return err
}

// registerInnerMetrics registers the metrics of the inner protocol and of the memory for all
// listeners.
func (p *process) registerInnerMetrics(limits doorLimits) error {
	meter := p.metrics.Meter("clients")
	if err := clientmetrics.RegisterGuard(meter, p.innerServer.Guard()); err != nil {
		return err
	}
	budgets := []*membudget.Budget{limits.inner.Memory, limits.admin.Memory}
	if p.hasCallers {
		budgets = append(budgets, limits.callers.Memory)
	}
	return clientmetrics.RegisterBudgets(meter, budgets...)
}

// listen returns the replacement, or a new listener on the address if the replacement
// is nil.
func listen(name string, replacement net.Listener, address string) (*net.TCPListener, error) {
	listener := replacement
	if listener == nil {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "set a free address of this VM", "cannot listen on %s", address)
		}
		listener = l
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errs.New(errs.Invalid, "use a TCP listener", "%s cannot be served on a %T", name, listener)
	}
	return tcp, nil
}

// serveHTTP starts the duties of a server for callers or for the administration API.
func (p *process) serveHTTP(name string, replacement net.Listener, s settings.Listener, handler http.Handler, limits callerhttp.Limits) (*callerhttp.Server, error) {
	listener, err := listen(name, replacement, s.Address)
	if err != nil {
		return nil, err
	}
	config, err := p.serverTLS(name, s.TLS)
	if err != nil {
		return nil, err
	}
	server := callerhttp.New(callerhttp.Options{
		Name: name, Listener: listener, TLS: config, Handler: handler,
		Timeouts: func() callerhttp.Timeouts {
			return callerhttp.Timeouts{Header: readHeaderTimeout, Idle: idleTimeout}
		},
		ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Limits: limits, Log: p.log,
	})
	if err := clientmetrics.RegisterServer(p.metrics.Meter("clients"), server); err != nil {
		return nil, err
	}
	server.Start(p.group)
	return server, nil
}

// serverTLS returns the TLS configuration of a listener, or nil without TLS. It starts a
// duty that loads changed certificates.
func (p *process) serverTLS(name string, files *settings.TLS) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	identity, err := security.LoadTLSIdentity(newTLSFiles(files), p.log)
	if err != nil {
		return nil, err
	}
	p.group.Go(name+" certificates", identity.FileWatchDuty())
	return identity.ServerConfig(), nil
}

// adminHandler serves health checks and metrics, and the administration API unless api
// is nil.
func (p *process) adminHandler(ready func() bool, api http.Handler) http.Handler {
	router := httprouter.New()
	router.HandleOPTIONS = false // the router would answer with status 200
	router.HandlerFunc(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	router.HandlerFunc(http.MethodGet, "/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready: no bundle is in force, or the process is stopping", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	router.Handler(http.MethodGet, "/metrics", p.metrics.Handler())
	if api != nil {
		router.NotFound = api
	}
	return router
}

// drainAdmin completes the requests to the administration API that are in progress or
// have begun. Streams of events have no end; they are interrupted.
func (p *process) drainAdmin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, adminDrainTimeout)
	defer cancel()
	if err := p.adminServer.Drain(ctx); err != nil {
		p.log.WithFields(logrus.Fields{"event": "drain", "node": p.common.Node}).WithError(err).Warn("drain of the administration API did not finish; requests are interrupted")
	}
}

// drainInner waits until no connections of the inner protocol are open. Calls that arrive on
// them meanwhile are rejected.
func (p *process) drainInner(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, innerDrainTimeout)
	defer cancel()
	if err := p.innerServer.Drain(ctx); err != nil {
		p.log.WithFields(logrus.Fields{"event": "drain", "node": p.common.Node}).WithError(err).Info("open connections of the inner protocol are closed")
	}
}

// waitAndStop blocks until the context ends or a duty fails. If the context has ended,
// it calls drain with the stop timeout. It then stops all duties and returns the first
// error of a duty.
func (p *process) waitAndStop(ctx context.Context, drain func(context.Context)) error {
	select {
	case <-ctx.Done():
		p.log.WithFields(logrus.Fields{"event": "stop", "node": p.common.Node}).Info("stopping")
		p.control.SetLeaving()
		drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.common.StopTimeout)
		defer cancel()
		drain(drainCtx)
		p.drainAdmin(drainCtx)
	case <-p.group.Context().Done():
	}
	p.group.Stop()
	err := p.group.Wait()
	_ = p.dialer.Close()
	p.log.WithFields(logrus.Fields{"event": "stopped", "node": p.common.Node}).Info("stopped")
	return err
}
