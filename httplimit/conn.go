package httplimit

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// pendingWriteTimeout is the time for which a write goes on after the remote side has
// closed its sending side.
const pendingWriteTimeout = time.Second

// DialFunc opens connections for a transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ReportResets returns a function that dials with another one. Reads of its connections do
// not return io.EOF if a write has failed: the write may have received the error of a
// reset, after which a read sees a plain end, and a part of a response without a length
// would appear complete.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetConn{Conn: conn}, nil
	}
}

type resetConn struct {
	net.Conn
	// mu is held during a write and protects writeErr.
	mu       sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(pendingWriteTimeout)) // fails only on a closed connection, on which the write fails, too
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return n, c.writeErr
	}
	return n, err
}
