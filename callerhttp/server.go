// Package callerhttp is the HTTP server for callers. It limits the time for which
// connections wait for their clients, and drains connections in a planned stop without
// losing a request that has arrived.
package callerhttp

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/ring"
)

// Options are the dependencies and settings of a server.
type Options struct {
	// Name appears in the names of the duties.
	Name     string
	Listener *net.TCPListener
	// TLS is nil without encryption.
	TLS     *tls.Config
	Handler http.Handler
	// Timeouts returns the timeouts in force.
	Timeouts func() Timeouts
	// ReadHeaderTimeout and MaxHeaderBytes limit the time for the headers of a request
	// and their size. They apply even if Timeouts permits more.
	ReadHeaderTimeout time.Duration
	MaxHeaderBytes    int
	// Limits bound what the clients make the process hold.
	Limits Limits
	Log    logrus.FieldLogger
}

// Server serves the connections of a listener until it is drained or its duties end.
type Server struct {
	name     string
	http     *http.Server
	accepts  net.Listener
	listener *listener
	duty     *connDuty
	log      logrus.FieldLogger
	// drainOnce guards the start of the drain.
	drainOnce sync.Once
}

// New returns a server that serves nothing before Start.
func New(o Options) *Server {
	d := newConnDuty(o.Name, o.Timeouts, o.Log)
	d.guard.limits = o.Limits
	d.encrypted = o.TLS != nil
	s := &Server{name: o.Name, duty: d, log: o.Log}
	s.listener = &listener{TCPListener: o.Listener, duty: d}
	s.accepts = s.listener
	if o.TLS != nil {
		s.accepts = tls.NewListener(s.listener, o.TLS)
	}
	s.http = &http.Server{
		Handler: guardRequests(&d.guard.limits, s.closeWhenDraining(o.Handler)), ReadHeaderTimeout: o.ReadHeaderTimeout, MaxHeaderBytes: o.MaxHeaderBytes, ConnState: d.recordState,
		ConnContext: addConn,
		// http.Server would answer OPTIONS * with status 200.
		DisableGeneralOptionsHandler: true,
	}
	return s
}

// Start starts the duties of the server.
func (s *Server) Start(group *duty.Group) {
	group.Go(s.name+" waiting connections", s.duty.run)
	group.Go(s.name, s.serve)
}

// serve accepts connections until the context ends or the listener is drained.
func (s *Server) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.abandonConns)
	defer stop()
	err := s.http.Serve(s.accepts)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	if !s.duty.isDraining() {
		return err
	}
	s.duty.notify(connChange{listenerDone: true})
	<-ctx.Done()
	return nil
}

// abandonConns closes the listener and all connections.
func (s *Server) abandonConns() {
	s.duty.abandoned.Store(true)
	_ = s.http.Close() // the connections are abandoned even if closing them fails
}

// addConn adds a connection to the context of its requests.
func addConn(ctx context.Context, netConn net.Conn) context.Context {
	if encrypted, ok := netConn.(*tls.Conn); ok {
		netConn = encrypted.NetConn()
	}
	return context.WithValue(ctx, connKey{}, netConn)
}

// closeWhenDraining asks clients to close their connections with each response during
// a drain.
func (s *Server) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.duty.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain accepts the connections that wait in the accept queue, closes the listener and
// waits until all connections have ended. It closes connections that have no request.
// Requests that arrive meanwhile are served, and their connections closed with the
// response. If the context ends first, Drain closes the remaining connections and
// returns the context's error.
//
// http.Server.Shutdown is not used: it closes idle connections with unread requests,
// and discards each request whose headers are read after its call.
func (s *Server) Drain(ctx context.Context) error {
	s.log.WithFields(logrus.Fields{
		"event": "callers_closing", "listener": s.name, "accept_queue": hasPendingConns(s.listener.TCPListener),
	}).Info("closing the callers' listener and quiet connections")
	s.drainOnce.Do(func() { close(s.duty.draining) })
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // fails only if the listener is closed
	_, err := ring.Request(ctx, s.duty.drains, func(replies *ring.Ring[struct{}]) drainRequest { return drainRequest{replies} })
	if err != nil {
		s.abandonConns()
		return err
	}
	s.log.WithFields(logrus.Fields{"event": "callers_closed", "listener": s.name}).Info("all connections have ended")
	return nil
}
