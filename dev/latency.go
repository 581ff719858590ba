package dev

import (
	"context"
	"net"
	"time"

	"waxwingtide.example/waxwingtide/transport"
)

// delayedConn delays each write by a fixed time. With requests as single
// writes it models the round trip to a distant process.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

func (c *delayedConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(b)
}

// delayedDial returns a dialler whose delay depends on the address.
func delayedDial(delay func(address string) time.Duration) transport.DialFunc {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if d := delay(address); d > 0 {
			return &delayedConn{conn, d}, nil
		}
		return conn, nil
	}
}
