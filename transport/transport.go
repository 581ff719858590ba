// Package transport sends and serves the inner protocol, the RPC protocol between
// the processes of this system (see package wire). It uses TCP, with TLS if it is
// configured. A drpc connection supports one stream at a time, so the dialer keeps a
// pool of idle connections for each address.
package transport

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"waxwingtide.example/waxwingtide/errs"
)

const (
	dialTimeout        = 2 * time.Second
	idleTimeout        = 30 * time.Second
	maxIdleConnections = 1024 // for all addresses together
	maxIdlePerAddress  = 64
	// maxMessageBytes is the maximum size of one message. The largest one contains
	// a prompt of 4 MiB and further fields.
	maxMessageBytes = 8 << 20
)

// DialFunc opens a network connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens and pools connections of the inner protocol. It is safe for
// concurrent use.
type Dialer struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
	dial DialFunc
	tls  *tls.Config
}

// NewDialer returns a dialer. If dial is nil, a net.Dialer opens the connections.
// If config is nil, the connections use no TLS.
func NewDialer(dial DialFunc, config *tls.Config) *Dialer {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Dialer{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxIdleConnections,
			KeyCapacity: maxIdlePerAddress,
		}),
		dial: dial,
		tls:  config,
	}
}

// Dial returns a handle for RPCs to an address (IP:port) and opens no connection.
// Each RPC on the handle uses an idle connection from the pool or opens one.
func (d *Dialer) Dial(ctx context.Context, address string) drpc.Conn {
	return d.pool.Get(ctx, address, d.connect)
}

func (d *Dialer) connect(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "check that the process is running and that the address is correct", "connection to %s cannot be opened", address)
	}
	if d.tls != nil {
		tlsConn := tls.Client(conn, d.tls)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errs.Wrap(err, errs.Unavailable, "check the certificates of both sides", "TLS handshake with %s failed", address)
		}
		conn = tlsConn
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions(maxMessageBytes)}), nil
}

// CloseIdle closes the idle connections to an address. An entry calls it after a rejection by
// an agent that is stopping: the agent accepts no new connections, so the next call fails
// before it is sent, and the agent ends when no connections are left.
func (d *Dialer) CloseIdle(address string) {
	for conn, ok := d.pool.Take(address); ok; conn, ok = d.pool.Take(address) {
		_ = conn.Close() // the connection is abandoned even if closing it fails
	}
}

// Close closes all idle connections in the pool.
func (d *Dialer) Close() error { return d.pool.Close() }

// managerOptions returns the options of a connection that accepts messages of a size.
func managerOptions(messageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: messageBytes},
		SoftCancel: true,
	}
}

// Serve handles RPCs of the inner protocol on the listener until the context
// ends. It then cancels the contexts of the running handlers and returns nil when
// they have finished.
func Serve(ctx context.Context, listener net.Listener, config *tls.Config, mux *drpcmux.Mux) error {
	return serve(ctx, listener, config, mux, maxMessageBytes)
}

func serve(ctx context.Context, listener net.Listener, config *tls.Config, mux *drpcmux.Mux, messageBytes int) error {
	if messageBytes == 0 {
		messageBytes = maxMessageBytes
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(messageBytes)})
	err := server.Serve(ctx, listener)
	if ctx.Err() != nil {
		return nil
	}
	return errs.Wrap(err, errs.Unavailable, "check the address in the settings", "inner protocol cannot be served on %s", listener.Addr())
}
