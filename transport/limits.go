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
	"waxwingtide.example/waxwingtide/membudget"
)

// bufferFactor is the number of bytes that are charged for each byte of a message that was
// received and not answered: drpc joins the frames of a message, with room for growth.
const bufferFactor = 3

// Limits bound what clients make a server of the inner protocol hold.
type Limits struct {
	// Connections is the maximum number of open connections; 0 means no bound.
	Connections int
	// MessageBytes is the maximum size of one message; 0 selects the maximum of the
	// protocol.
	MessageBytes int
	// Memory is charged for the bytes of a connection that were received since the last
	// answer was sent on it. If it is nil, they are not charged.
	Memory *membudget.Budget
	// IdleTimeout is the time after which a connection without a byte is closed; 0 means no
	// timeout. It must be longer than the time for which clients keep idle connections, and
	// is not suitable for clients that only receive.
	IdleTimeout time.Duration
}

// Guard keeps the connections of a server within its limits. It may be used concurrently.
type Guard struct {
	limits Limits
	open   atomic.Int64
	// refusedConns and refusedMessages count what was refused.
	refusedConns, refusedMessages atomic.Int64
}

// NewGuard returns a guard without connections.
func NewGuard(limits Limits) *Guard { return &Guard{limits: limits} }

// OpenConns returns the number of open connections.
func (g *Guard) OpenConns() int64 { return g.open.Load() }

// RefusedConns returns the number of connections that were closed since there were too many.
func (g *Guard) RefusedConns() int64 { return g.refusedConns.Load() }

// RefusedMessages returns the number of connections that were closed since there was no
// memory for their messages.
func (g *Guard) RefusedMessages() int64 { return g.refusedMessages.Load() }

// Serve is like the function Serve, within the limits. A connection over the limits is
// closed before its message is passed on.
func (g *Guard) Serve(ctx context.Context, listener net.Listener, config *tls.Config, mux *drpcmux.Mux) error {
	return serve(ctx, &guardedListener{Listener: listener, guard: g}, config, mux, g.limits.MessageBytes)
}

// guardedListener accepts connections within limits.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g := l.guard
		if n := g.open.Add(1); g.limits.Connections == 0 || n <= int64(g.limits.Connections) {
			return newGuardedConn(conn, g), nil
		}
		g.open.Add(-1)
		g.refusedConns.Add(1)
		_ = conn.Close() // nothing was read from it
	}
}

// guardedConn is a connection that charges what it has received since its last answer.
type guardedConn struct {
	net.Conn
	guard *Guard

	mu      sync.Mutex
	account *membudget.Account // nil without a budget
	closed  bool
}

func newGuardedConn(conn net.Conn, g *Guard) *guardedConn {
	c := &guardedConn{Conn: conn, guard: g}
	if g.limits.Memory != nil {
		c.account = g.limits.Memory.Open()
	}
	return c
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	if timeout := c.guard.limits.IdleTimeout; timeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if chargeErr := c.charge(n); chargeErr != nil {
		c.guard.refusedMessages.Add(1)
		return 0, chargeErr
	}
	return n, err
}

// charge charges received bytes.
func (c *guardedConn) charge(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.account == nil || c.closed || n <= 0 {
		return nil
	}
	return errs.Wrap(c.account.Charge(int64(bufferFactor*n)), errs.Exhausted, "retry later", "no memory is left for a message of %s", c.RemoteAddr())
}

// release releases what was charged.
func (c *guardedConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.account != nil {
		c.account.Close()
	}
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.release()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.release()
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.guard.open.Add(-1)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}
