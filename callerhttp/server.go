// Package callerhttp is the HTTP server for callers. It limits the time for which
// connections wait for their clients.
package callerhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/duty"
)

// Options are the dependencies and settings of a server.
type Options struct {
	// Name appears in the names of the duties.
	Name     string
	Listener *net.TCPListener
	Handler  http.Handler
	// Timeouts returns the timeouts in force.
	Timeouts func() Timeouts
	// ReadHeaderTimeout and MaxHeaderBytes limit the time for the headers of a request
	// and their size. They apply even if Timeouts permits more.
	ReadHeaderTimeout time.Duration
	MaxHeaderBytes    int
	Log               logrus.FieldLogger
}

// Server serves the connections of a listener until it is drained or its duties end.
type Server struct {
	name     string
	http     *http.Server
	listener timedListener
	duty     *connTimeoutDuty
	log      logrus.FieldLogger
}

// New returns a server that serves nothing before Start.
func New(o Options) *Server {
	d := newConnTimeoutDuty(o.Timeouts, o.Log)
	return &Server{
		name: o.Name, listener: timedListener{o.Listener, d}, duty: d, log: o.Log,
		http: &http.Server{
			Handler: o.Handler, ReadHeaderTimeout: o.ReadHeaderTimeout, MaxHeaderBytes: o.MaxHeaderBytes, ConnState: d.recordState,
		},
	}
}

// Start starts the duties of the server.
func (s *Server) Start(group *duty.Group) {
	group.Go(s.name+" waiting connections", s.duty.run)
	group.Go(s.name, s.serve)
}

// serve accepts connections until the context ends or the server is drained.
func (s *Server) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Drain closes the listener and idle connections, and waits for the calls in progress
// until the context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.duty.stopping.Store(true)
	s.log.WithFields(logrus.Fields{
		"event": "callers_closing", "listener": s.name, "accept_queue": hasPendingConns(s.listener.TCPListener),
	}).Info("closing the callers' listener and idle connections")
	return s.http.Shutdown(ctx)
}
