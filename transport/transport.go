// Package transport carries the inner protocol over TCP, with TLS where
// configured. A drpc connection carries one stream at a time, so idle
// connections to each address are pooled.
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
	dialTimeout  = 2 * time.Second
	idleTimeout  = 30 * time.Second
	idleCapacity = 1024 // idle connections over all addresses
	idlePerPeer  = 64
	// maxMessageBytes bounds one message: a prompt of 4 MiB and its fields.
	maxMessageBytes = 8 << 20
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens pooled connections of the inner protocol.
type Dialer struct {
	pool *drpcpool.Pool[string, drpcpool.Conn]
	dial DialFunc
	tls  *tls.Config
}

// NewDialer returns a dialer. A nil dial uses TCP; a nil config uses no TLS.
func NewDialer(dial DialFunc, config *tls.Config) *Dialer {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Dialer{
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    idleCapacity,
			KeyCapacity: idlePerPeer,
		}),
		dial: dial,
		tls:  config,
	}
}

// Dial returns a connection to an IP:port. Each use of the connection takes an
// idle one from the pool or opens another.
func (d *Dialer) Dial(ctx context.Context, address string) drpc.Conn {
	return d.pool.Get(ctx, address, d.open)
}

func (d *Dialer) open(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "check that the process runs and the address is right", "%s does not answer", address)
	}
	if d.tls != nil {
		secure := tls.Client(conn, d.tls)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, errs.Wrap(err, errs.Unavailable, "check the certificates of both sides", "TLS handshake with %s failed", address)
		}
		conn = secure
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close closes all idle connections.
func (d *Dialer) Close() error { return d.pool.Close() }

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: true,
	}
}

// Serve answers inner-protocol calls on the listener until the context ends.
// It then waits for the calls under way.
func Serve(ctx context.Context, listener net.Listener, config *tls.Config, mux *drpcmux.Mux) error {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	err := server.Serve(ctx, listener)
	if ctx.Err() != nil {
		return nil
	}
	return errs.Wrap(err, errs.Unavailable, "check the address in the settings", "inner protocol cannot be served on %s", listener.Addr())
}
