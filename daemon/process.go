// Package daemon wires the library into the two daemons. It reads no files but
// those that the settings name and makes no decisions.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/control"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/security"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/telemetry"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	secretFileBytes   = 4 << 10
)

// Deps are what a daemon takes from its surroundings. Zero values give the
// defaults of a process of its own.
type Deps struct {
	Log *logrus.Logger
	// Dial replaces the TCP dialler of the inner protocol.
	Dial transport.DialFunc
	// Transport replaces the HTTP transport towards the upstream and
	// StoreTransport that towards kept-cache stores.
	Transport      http.RoundTripper
	StoreTransport http.RoundTripper
	// InnerListener, AdminListener and CallerListener replace the listeners on the
	// addresses in the settings.
	InnerListener, AdminListener, CallerListener net.Listener
	// Incarnation is the start time of the process unless given.
	Incarnation core.Incarnation
	// Seed makes random choices repeatable; 0 takes one from the incarnation.
	Seed uint64
	// AbortContext stops the process at once when it ends, without a drain, as a
	// crash does. Nil means that the process is never aborted.
	AbortContext context.Context
}

// namedDuty is a duty to be started with the process.
type namedDuty struct {
	name string
	run  duty.Func
}

// process is what both daemons have.
type process struct {
	common  settings.Common
	deps    Deps
	log     *logrus.Logger
	metrics *telemetry.Metrics
	group   *duty.Group
	dialer  *transport.Dialer
	control *control.Control
	mux     *drpcmux.Mux
	table   stores.Table
	objects stores.ObjectStore
	secured *security.TLSIdentity
	// later are duties that start with the process.
	later []namedDuty
	// starters start groups of duties with the process.
	starters []func(*duty.Group)
}

// newProcess sets up what both daemons need. onLease runs operators' duties
// and is nil in agents.
func newProcess(role string, common settings.Common, deps Deps, onLease func(context.Context, core.Fence) error) (*process, error) {
	p := &process{common: common, deps: deps, log: deps.Log, mux: drpcmux.New()}
	if p.log == nil {
		level, err := logrus.ParseLevel(common.Log.Level)
		if err != nil {
			return nil, errs.Wrap(err, errs.Invalid, "use debug, info, warning or error", "log.level is not known")
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
		p.setSecurity,
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

func (p *process) setSecurity() error {
	var config *tls.Config
	if files := p.common.Inner.TLS; files != nil {
		material, err := security.LoadTLSIdentity(filesOf(files), p.log)
		if err != nil {
			return err
		}
		p.secured, config = material, material.ClientConfig()
	}
	p.dialer = transport.NewDialer(p.deps.Dial, config)
	return nil
}

func filesOf(t *settings.TLS) security.TLSFiles {
	return security.TLSFiles{Certificate: t.Certificate, Key: t.Key, PeerCA: t.PeerCA}
}

// dial opens a connection for the control duties.
func (p *process) dial(ctx context.Context, address string) (drpc.Conn, error) {
	return p.dialer.Dial(ctx, address), nil
}

func (p *process) setControl(role string, onLease func(context.Context, core.Fence) error) error {
	lister, err := p.platform()
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

// platform sets up the clients of the platform's services.
func (p *process) platform() (stores.VMLister, error) {
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

// readSecret reads the secret key of the platform's stores.
func readSecret(file string) (string, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return "", errs.Wrap(err, errs.Invalid, "name a readable file", "platform.secret_key_file %s cannot be read", file)
	}
	if len(body) == 0 || len(body) > secretFileBytes {
		return "", errs.New(errs.Invalid, "put the secret key alone into it", "platform.secret_key_file %s has %d bytes", file, len(body))
	}
	return strings.TrimSpace(string(body)), nil
}

// start runs the duties that both daemons have.
func (p *process) start(admin http.Handler) error {
	life := p.deps.AbortContext
	if life == nil {
		life = context.Background()
	}
	p.group = duty.NewGroup(life, p.log)
	p.control.Start(p.group)
	for _, d := range p.later {
		p.group.Go(d.name, d.run)
	}
	for _, start := range p.starters {
		start(p.group)
	}
	inner, err := listen(p.deps.InnerListener, p.common.Inner.Address)
	if err != nil {
		return err
	}
	var config *tls.Config
	if p.secured != nil {
		config = p.secured.ServerConfig()
		p.group.Go("inner certificates", p.secured.FileWatchDuty())
	}
	p.group.Go("inner protocol", func(ctx context.Context) error {
		return transport.Serve(ctx, inner, config, p.mux)
	})
	_, err = p.serveHTTP("administration", p.deps.AdminListener, p.common.Admin, admin)
	return err
}

func listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	l, err := net.Listen("tcp", address)
	return l, errs.Wrap(err, errs.Invalid, "choose a free address of this VM", "cannot listen on %s", address)
}

// serveHTTP runs an HTTP server as a duty of the group. It ends with the group
// or when it is shut down.
func (p *process) serveHTTP(name string, given net.Listener, s settings.Listener, handler http.Handler) (*http.Server, error) {
	listener, err := listen(given, s.Address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if s.TLS != nil {
		material, err := security.LoadTLSIdentity(filesOf(s.TLS), p.log)
		if err != nil {
			return nil, err
		}
		listener = tls.NewListener(listener, material.ServerConfig())
		p.group.Go(name+" certificates", material.FileWatchDuty())
	}
	p.group.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	return server, nil
}

// adminHandler serves health and metrics, and the administration API where
// there is one.
func (p *process) adminHandler(ready func() bool, api http.Handler) http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	router.HandlerFunc(http.MethodGet, "/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready: no bundle in force is known, or the process is stopping", http.StatusServiceUnavailable)
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

// wait blocks until the context ends or a duty fails, runs drain in the first
// case, and then ends all duties.
func (p *process) wait(ctx context.Context, drain func(context.Context)) error {
	select {
	case <-ctx.Done():
		p.log.WithFields(logrus.Fields{"event": "stop", "node": p.common.Node}).Info("stopping")
		p.control.SetLeaving()
		drainContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.common.StopTimeout)
		defer cancel()
		drain(drainContext)
	case <-p.group.Context().Done():
	}
	p.group.Stop()
	err := p.group.Wait()
	_ = p.dialer.Close()
	p.log.WithFields(logrus.Fields{"event": "stopped", "node": p.common.Node}).Info("stopped")
	return err
}
