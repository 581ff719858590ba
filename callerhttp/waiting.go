package callerhttp

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"waxwingtide.example/waxwingtide/ring"
)

const (
	// connChangeCapacity is the number of connection changes that may wait for the
	// duty. The oldest ones are dropped.
	connChangeCapacity = 1024
	// connCheckInterval is the interval between two checks for expired connections.
	connCheckInterval = time.Second
	// maxUnreadBytes limits the count of unread bytes in log lines.
	maxUnreadBytes = 512
	// defaultIdleTimeout and defaultHeaderTimeout apply if the configuration sets no
	// timeout.
	defaultIdleTimeout   = 60 * time.Second
	defaultHeaderTimeout = 5 * time.Second
)

// Timeouts limit the time for which a connection waits for its client. 0 selects
// the default.
type Timeouts struct {
	// Header is the maximum time from the first byte of a request to the end of its
	// headers.
	Header time.Duration
	// Idle is the maximum time without a request.
	Idle time.Duration
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
	timeouts func() Timeouts
	log      logrus.FieldLogger
	// stopping is set while a planned stop closes connections.
	stopping atomic.Bool
}

// connChange is the start of a connection's phase.
type connChange struct {
	conn      net.Conn
	phase     connPhase
	changedAt time.Time
}

func newConnTimeoutDuty(timeouts func() Timeouts, log logrus.FieldLogger) *connTimeoutDuty {
	return &connTimeoutDuty{changes: ring.New[connChange](connChangeCapacity), timeouts: timeouts, log: log}
}

// timedConn reports the first byte of each request to the duty, since http.Server
// does not report it.
type timedConn struct {
	*net.TCPConn
	duty *connTimeoutDuty
	// awaitingFirstByte is set until the first byte of the next request is received.
	awaitingFirstByte atomic.Bool
	// state is the http.ConnState. received and written count the bytes since the
	// connection last became idle. lastReadAt is the time of the last byte in
	// nanoseconds since 1970.
	state             atomic.Int32
	received, written atomic.Int64
	lastReadAt        atomic.Int64
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.received.Add(int64(n))
		c.lastReadAt.Store(time.Now().UnixNano())
	}
	if n > 0 && c.awaitingFirstByte.CompareAndSwap(true, false) {
		c.duty.changes.Push(connChange{conn: c, phase: awaitingHeader, changedAt: time.Now()})
	}
	return n, err
}

// Write implements net.Conn.
func (c *timedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Close implements net.Conn. During a planned stop it logs a connection that has an
// unanswered request.
func (c *timedConn) Close() error {
	if c.duty.stopping.Load() && c.written.Load() == 0 {
		c.logUnanswered()
	}
	return c.TCPConn.Close()
}

// logUnanswered logs the bytes of an unanswered request, if there are any.
func (c *timedConn) logUnanswered() {
	unread := unreadBytes(c.TCPConn)
	received := c.received.Load()
	if received == 0 && unread == 0 {
		return
	}
	fields := logrus.Fields{
		"event": "closed_unanswered", "caller": c.RemoteAddr().String(), "state": http.ConnState(c.state.Load()).String(),
		"received": received, "unread": unread,
	}
	if at := c.lastReadAt.Load(); received > 0 {
		fields["last_byte_ms"] = time.Since(time.Unix(0, at)).Milliseconds()
	}
	c.duty.log.WithFields(fields).Warn("closed a connection with an unanswered request")
}

// unreadBytes returns the number of received bytes that have not been read, up to
// maxUnreadBytes.
func unreadBytes(conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0 // the connection is closed
	}
	n := 0
	var buf [maxUnreadBytes]byte
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(n, 0)
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
	c, timed := conn.(*timedConn)
	if timed {
		c.state.Store(int32(state))
	}
	if state == http.StateNew || state == http.StateIdle {
		phase = awaitingRequest
		if timed {
			c.received.Store(0)
			c.written.Store(0)
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
	if timeouts.Header <= 0 {
		timeouts.Header = defaultHeaderTimeout
	}
	if timeouts.Idle <= 0 {
		timeouts.Idle = defaultIdleTimeout
	}
	idleCount, headerCount := 0, 0
	for conn, c := range waiting {
		timeout, count := timeouts.Idle, &idleCount
		if c.phase == awaitingHeader {
			timeout, count = timeouts.Header, &headerCount
		}
		if now.Sub(c.changedAt) > timeout {
			_ = conn.Close() // the connection is abandoned even if closing it fails
			delete(waiting, conn)
			*count++
		}
	}
	if idleCount > 0 || headerCount > 0 {
		d.log.WithFields(logrus.Fields{
			"event": "waiting_closed", "idle": idleCount, "idle_limit_ms": timeouts.Idle.Milliseconds(),
			"head": headerCount, "head_limit_ms": timeouts.Header.Milliseconds(),
		}).Info("closed connections whose clients exceeded a timeout")
	}
}

// hasPendingConns reports whether connections wait to be accepted.
func hasPendingConns(l *net.TCPListener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false // the listener is closed
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // fails only if the listener is closed
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return n > 0
}
