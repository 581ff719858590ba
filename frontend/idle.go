package frontend

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/ring"
)

const (
	// connChanges bounds the changes of connections that wait for the duty.
	connChanges = 1024
	// idleInterval is the time between two looks at idle connections.
	idleInterval = time.Second
	// idleDefault holds while no configuration sets a limit.
	idleDefault = 60 * time.Second
)

// idleConns is the duty that closes the connections which callers leave without
// a request for longer than the configuration in force allows.
type idleConns struct {
	changes *ring.Ring[connChange]
	limit   func() time.Duration
	log     logrus.FieldLogger
}

type connChange struct {
	conn net.Conn
	idle bool
	at   time.Time
}

func newIdleConns(limit func() time.Duration, log logrus.FieldLogger) *idleConns {
	return &idleConns{changes: ring.New[connChange](connChanges), limit: limit, log: log}
}

// note takes a change of a connection. It fits http.Server.ConnState.
func (d *idleConns) note(conn net.Conn, state http.ConnState) {
	d.changes.Push(connChange{conn: conn, idle: state == http.StateIdle, at: time.Now()})
}

// run is the duty's loop.
func (d *idleConns) run(ctx context.Context) error {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	idle := make(map[net.Conn]time.Time)
	dropped := d.changes.Dropped()
	for {
		due := false
		select {
		case <-ctx.Done():
			return nil
		case <-d.changes.Ready():
		case <-ticker.C:
			due = true
		}
		for c, ok := d.changes.TryReceive(); ok; c, ok = d.changes.TryReceive() {
			if c.idle {
				idle[c.conn] = c.at
			} else {
				delete(idle, c.conn)
			}
		}
		if n := d.changes.Dropped(); n != dropped {
			// A connection may have become active unseen; those that stay idle are
			// noted again after their next request.
			dropped = n
			clear(idle)
		}
		if due {
			d.closeIdle(idle, time.Now())
		}
	}
}

func (d *idleConns) closeIdle(idle map[net.Conn]time.Time, now time.Time) {
	limit := d.limit()
	if limit <= 0 {
		limit = idleDefault
	}
	closed := 0
	for conn, since := range idle {
		if now.Sub(since) > limit {
			_ = conn.Close() // it is given up either way
			delete(idle, conn)
			closed++
		}
	}
	if closed > 0 {
		d.log.WithFields(logrus.Fields{"event": "idle_closed", "connections": closed, "limit_ms": limit.Milliseconds()}).Info("idle connections were closed")
	}
}
