package frontend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/ring"
)

const (
	// connChanges bounds the changes of connections that wait for the duty.
	connChanges = 1024
	// waitingInterval is the time between two looks at waiting connections.
	waitingInterval = time.Second
	// idleDefault and headDefault hold while no configuration sets a limit.
	idleDefault = 60 * time.Second
	headDefault = 5 * time.Second
)

// connLimits bound how long a connection waits for its caller; 0 means the
// default.
type connLimits struct {
	// head is the time for a request's head from its first byte on, idle that
	// without a request.
	head time.Duration
	idle time.Duration
}

// connPhase is what a connection waits for.
type connPhase uint8

const (
	// serving connections wait for no caller; they are not kept.
	serving connPhase = iota
	awaitingRequest
	awaitingHead
)

// waitingConns is the duty that closes the connections whose callers take longer
// than the configuration in force allows.
type waitingConns struct {
	changes *ring.Ring[connChange]
	limits  func() connLimits
	log     logrus.FieldLogger
}

type connChange struct {
	conn  net.Conn
	phase connPhase
	at    time.Time
}

func newWaitingConns(limits func() connLimits, log logrus.FieldLogger) *waitingConns {
	return &waitingConns{changes: ring.New[connChange](connChanges), limits: limits, log: log}
}

// callerConn notes the first byte of a request, which http.Server does not tell.
type callerConn struct {
	*net.TCPConn
	duty *waitingConns
	// silent is set while no byte of the next request has come.
	silent atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.silent.CompareAndSwap(true, false) {
		c.duty.changes.Push(connChange{conn: c, phase: awaitingHead, at: time.Now()})
	}
	return n, err
}

// callerListener accepts connections that note the first byte of a request.
type callerListener struct {
	*net.TCPListener
	duty *waitingConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: conn, duty: l.duty}, nil
}

// note takes a change of a connection. It fits http.Server.ConnState.
func (d *waitingConns) note(conn net.Conn, state http.ConnState) {
	phase := serving
	if state == http.StateNew || state == http.StateIdle {
		phase = awaitingRequest
		if c, ok := conn.(*callerConn); ok {
			c.silent.Store(true)
		}
	}
	d.changes.Push(connChange{conn: conn, phase: phase, at: time.Now()})
}

// run is the duty's loop.
func (d *waitingConns) run(ctx context.Context) error {
	ticker := time.NewTicker(waitingInterval)
	defer ticker.Stop()
	waiting := make(map[net.Conn]connChange)
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
			if c.phase == serving {
				delete(waiting, c.conn)
			} else {
				waiting[c.conn] = c
			}
		}
		if n := d.changes.Dropped(); n != dropped {
			// A connection may have got its request unseen; those that wait on are
			// noted again with their next change.
			dropped = n
			clear(waiting)
		}
		if due {
			d.closeLate(waiting, time.Now())
		}
	}
}

func (d *waitingConns) closeLate(waiting map[net.Conn]connChange, now time.Time) {
	limits := d.limits()
	if limits.head <= 0 {
		limits.head = headDefault
	}
	if limits.idle <= 0 {
		limits.idle = idleDefault
	}
	idle, head := 0, 0
	for conn, c := range waiting {
		limit, count := limits.idle, &idle
		if c.phase == awaitingHead {
			limit, count = limits.head, &head
		}
		if now.Sub(c.at) > limit {
			_ = conn.Close() // it is given up either way
			delete(waiting, conn)
			*count++
		}
	}
	if idle > 0 || head > 0 {
		d.log.WithFields(logrus.Fields{
			"event": "waiting_closed", "idle": idle, "idle_limit_ms": limits.idle.Milliseconds(),
			"head": head, "head_limit_ms": limits.head.Milliseconds(),
		}).Info("connections were closed whose callers took too long")
	}
}
