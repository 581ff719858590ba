package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// acceptQuietTime is the time without a new connection after which a stopping server
	// closes its listener. Connections that wait in the accept queue are accepted before.
	acceptQuietTime = 20 * time.Millisecond
	// acceptDrainTimeout is the time after which a stopping server closes its listener
	// though connections still arrive.
	acceptDrainTimeout = 200 * time.Millisecond
)

// Server serves the inner protocol and can be drained. In a planned stop, CloseListener is
// called first, so that clients whose calls need a new connection know that the calls were
// not sent. Calls on open connections are served until Run's context ends.
type Server struct {
	listener *drainListener
	tls      *tls.Config
	mux      *drpcmux.Mux
	guard    *Guard
}

// NewServer returns a server of the RPCs that are registered in mux. If config is nil, it uses
// no TLS. Run serves the listener.
func NewServer(listener *net.TCPListener, config *tls.Config, mux *drpcmux.Mux) *Server {
	return &Server{
		listener: &drainListener{
			TCPListener: listener,
			closed:      ring.New[struct{}](1),
			drained:     ring.New[struct{}](1),
		},
		tls:   config,
		mux:   mux,
		guard: NewGuard(Limits{}),
	}
}

// WithLimits sets the limits of a server that does not run yet, and returns it.
func (s *Server) WithLimits(limits Limits) *Server {
	s.guard = NewGuard(limits)
	return s
}

// Guard returns the guard of the server's connections.
func (s *Server) Guard() *Guard { return s.guard }

// Run is the duty of the server. It serves until the context ends, or until the listener was
// closed by CloseListener and no connection is open.
func (s *Server) Run(ctx context.Context) error {
	defer s.listener.closed.Close()
	defer s.listener.drained.Close()
	err := s.guard.Serve(ctx, s.listener, s.tls, s.mux)
	if s.listener.draining.Load() {
		return nil
	}
	return err
}

// CloseListener accepts the connections that wait in the accept queue and closes the listener.
// Open connections are still served. It must be called at most once.
func (s *Server) CloseListener(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, acceptDrainTimeout)
	defer cancel()
	s.listener.draining.Store(true)
	_ = s.listener.SetDeadline(time.Now().Add(acceptQuietTime)) // fails only if the listener is closed
	if _, err := s.listener.closed.Receive(ctx); err != nil {
		_ = s.listener.Close() // fails only if the listener is closed
	}
}

// Drain waits until no connection is open. It must be called after CloseListener and at most
// once.
func (s *Server) Drain(ctx context.Context) error {
	_, err := s.listener.drained.Receive(ctx)
	return errs.Wrap(err, errs.Unavailable, "restart the peers if their connections do not end", "connections of the inner protocol are still open")
}

// drainListener accepts connections and waits, in a drain, until they have ended.
type drainListener struct {
	*net.TCPListener
	draining atomic.Bool
	// openConns counts the accepted connections that are not closed.
	openConns sync.WaitGroup
	// closed receives an element when the listener is closed in a drain, drained when no
	// connection is open after that.
	closed, drained *ring.Ring[struct{}]
}

// Accept implements net.Listener. In a drain it closes the listener after acceptQuietTime
// without a new connection, and returns when all connections have ended.
func (l *drainListener) Accept() (net.Conn, error) {
	if l.draining.Load() {
		_ = l.SetDeadline(time.Now().Add(acceptQuietTime)) // fails only if the listener is closed
	}
	conn, err := l.TCPListener.Accept()
	if err == nil {
		l.openConns.Add(1)
		return &countedConn{Conn: conn, openConns: &l.openConns}, nil
	}
	if !l.draining.Load() {
		return nil, err
	}
	_ = l.Close() // no connections are accepted even if closing it fails
	l.closed.Offer(struct{}{})
	l.openConns.Wait()
	l.drained.Offer(struct{}{})
	return nil, net.ErrClosed
}

// countedConn is an accepted connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	openConns *sync.WaitGroup
	closeOnce sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(c.openConns.Done)
	return err
}
