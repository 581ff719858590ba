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
	// connChangeCapacity is the number of connection changes that may wait for the
	// duty. The oldest ones are dropped.
	connChangeCapacity = 1024
	// connCheckInterval is the interval between two checks for expired connections.
	connCheckInterval = time.Second
	// defaultIdleTimeout and defaultHeaderTimeout apply if the configuration sets no
	// timeout.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 5 * time.Second
)

// connTimeouts limit the time for which a connection waits for its client. 0 selects
// the default.
type connTimeouts struct {
	// header is the maximum time from the first byte of a request to the end of its
	// headers.
	header time.Duration
	// idle is the maximum time without a request.
	idle time.Duration
}

// connPhase states what a connection waits for.
type connPhase uint8

const (
	// notWaiting connections serve a request or are closed. The duty does not store
	// them.
	notWaiting connPhase = iota
	awaitingRequest
	awaitingHeader
)

// connTimeoutDuty is the duty that closes connections whose clients exceed the
// timeouts.
type connTimeoutDuty struct {
	changes  *ring.Ring[connChange]
	timeouts func() connTimeouts
	log      logrus.FieldLogger
}

// connChange is the start of a connection's phase.
type connChange struct {
	conn      net.Conn
	phase     connPhase
	changedAt time.Time
}

func newConnTimeoutDuty(timeouts func() connTimeouts, log logrus.FieldLogger) *connTimeoutDuty {
	return &connTimeoutDuty{changes: ring.New[connChange](connChangeCapacity), timeouts: timeouts, log: log}
}

// timedConn reports the first byte of each request to the duty, since http.Server
// does not report it.
type timedConn struct {
	*net.TCPConn
	duty *connTimeoutDuty
	// awaitingFirstByte is set until the first byte of the next request is received.
	awaitingFirstByte atomic.Bool
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.awaitingFirstByte.CompareAndSwap(true, false) {
		c.duty.changes.Push(connChange{conn: c, phase: awaitingHeader, changedAt: time.Now()})
	}
	return n, err
}

// timedListener accepts connections as timedConn.
type timedListener struct {
	*net.TCPListener
	duty *connTimeoutDuty
}

// Accept implements net.Listener.
func (l timedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &timedConn{TCPConn: conn, duty: l.duty}, nil
}

// recordState records a connection's new state. It is the ConnState callback of
// http.Server.
func (d *connTimeoutDuty) recordState(conn net.Conn, state http.ConnState) {
	phase := notWaiting
	if state == http.StateNew || state == http.StateIdle {
		phase = awaitingRequest
		if c, ok := conn.(*timedConn); ok {
			c.awaitingFirstByte.Store(true)
		}
	}
	d.changes.Push(connChange{conn: conn, phase: phase, changedAt: time.Now()})
}

// run is the duty's loop.
func (d *connTimeoutDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(connCheckInterval)
	defer ticker.Stop()
	waiting := make(map[net.Conn]connChange)
	dropped := d.changes.Dropped()
	for {
		checkDue := false
		select {
		case <-ctx.Done():
			return nil
		case <-d.changes.Ready():
		case <-ticker.C:
			checkDue = true
		}
		for c, ok := d.changes.TryReceive(); ok; c, ok = d.changes.TryReceive() {
			if c.phase == notWaiting {
				delete(waiting, c.conn)
			} else {
				waiting[c.conn] = c
			}
		}
		if n := d.changes.Dropped(); n != dropped {
			// The dropped changes may include the request of a waiting connection.
			// A connection that still waits is stored again at its next change.
			dropped = n
			clear(waiting)
		}
		if checkDue {
			d.closeExpired(waiting, time.Now())
		}
	}
}

// closeExpired closes the waiting connections whose timeouts have expired.
func (d *connTimeoutDuty) closeExpired(waiting map[net.Conn]connChange, now time.Time) {
	timeouts := d.timeouts()
	if timeouts.header <= 0 {
		timeouts.header = defaultHeaderTimeout
	}
	if timeouts.idle <= 0 {
		timeouts.idle = defaultIdleTimeout
	}
	idleCount, headerCount := 0, 0
	for conn, c := range waiting {
		timeout, count := timeouts.idle, &idleCount
		if c.phase == awaitingHeader {
			timeout, count = timeouts.header, &headerCount
		}
		if now.Sub(c.changedAt) > timeout {
			_ = conn.Close() // the connection is abandoned even if closing it fails
			delete(waiting, conn)
			*count++
		}
	}
	if idleCount > 0 || headerCount > 0 {
		d.log.WithFields(logrus.Fields{
			"event": "waiting_closed", "idle": idleCount, "idle_limit_ms": timeouts.idle.Milliseconds(),
			"head": headerCount, "head_limit_ms": timeouts.header.Milliseconds(),
		}).Info("closed connections whose clients exceeded a timeout")
	}
}
