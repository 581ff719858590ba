package callerhttp

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// conn is a connection of a client. It observes the bytes of requests, which
// http.Server does not report, and closes itself only where no request can be lost: the
// goroutine that reads the connection decides on it.
type conn struct {
	*net.TCPConn
	duty *connDuty

	mu    sync.Mutex
	state waitState
	// httpState is the state that http.Server reports.
	httpState http.ConnState
	// multiplexed connections use HTTP/2, which sends bytes also between requests.
	multiplexed bool
	// received and written count the bytes since the connection last became idle.
	received, written int64
	lastByteAt        time.Time
	// nextRequestBegun is set if http.Server has read a byte of the next request while
	// it serves one.
	nextRequestBegun bool
	// readDeadline is the deadline of http.Server. The connection's own deadline is
	// earlier while closeIfQuiet or closeIfLate wakes the reader.
	readDeadline time.Time
	// quietTime is set while closeIfQuiet wakes the reader, lateState while closeIfLate
	// does.
	quietTime time.Duration
	lateState waitState
	// clientLeft is set when the client has closed or reset the connection, closed when
	// this process has closed it.
	clientLeft, closed bool
}

func newConn(accepted *net.TCPConn, duty *connDuty) *conn {
	c := &conn{TCPConn: accepted, duty: duty, state: waitState{awaitingRequest, time.Now()}}
	duty.notify(connChange{conn: c})
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			c.recordBytes(n, len(p), time.Now())
			return n, err
		}
		if !isTimeout(err) {
			c.recordEnd(err)
			return n, err
		}
		if !c.continueReading(time.Now()) {
			return n, err
		}
	}
}

// recordEnd records the error of a read that found the connection ended. A connection
// that this process has closed itself was not left by its client.
func (c *conn) recordEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clientLeft = !errors.Is(err, net.ErrClosed)
}

// recordBytes records bytes that were read into a buffer.
func (c *conn) recordBytes(n, bufferSize int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	c.lastByteAt = now
	switch {
	case c.state.phase == awaitingRequest && c.multiplexed:
		c.state.since = now
	case c.state.phase == awaitingRequest:
		c.state = waitState{awaitingHeader, now}
	case c.state.phase == notWaiting && bufferSize == 1:
		// http.Server reads single bytes only past the end of a request, to notice
		// that the client has left.
		c.nextRequestBegun = true
	}
}

// continueReading is called when a read has timed out. It reports whether the read is
// repeated: closeIfQuiet or closeIfLate has woken the reader, but the connection is not
// quiet and its request not late.
func (c *conn) continueReading(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	quietTime, lateState := c.quietTime, c.lateState
	if quietTime == 0 && lateState == (waitState{}) {
		return false
	}
	c.quietTime, c.lateState = 0, waitState{}
	if err := c.TCPConn.SetReadDeadline(c.readDeadline); err != nil {
		return false
	}
	if !c.readDeadline.IsZero() && !now.Before(c.readDeadline) {
		return false
	}
	isQuiet := quietTime > 0 && c.state.isQuiet(now, quietTime)
	isLate := lateState != waitState{} && c.state == lateState
	return !isQuiet && !isLate || unreadBytes(c.TCPConn) > 0
}

// closeIfQuiet wakes the goroutine that reads the connection. It ends the connection if
// no byte was received for the time quietTime and none is unread.
func (c *conn) closeIfQuiet(quietTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quietTime = quietTime
	c.wakeReader()
}

// closeIfLate wakes the goroutine that reads the connection. It ends the connection if it
// still awaits the headers of the same request and no byte is unread. While it serves the
// request it does not read in this state.
func (c *conn) closeIfLate(state waitState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateState = state
	c.wakeReader()
}

// wakeReader ends a read in progress with a time-out. The caller holds mu.
func (c *conn) wakeReader() {
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(n)
	return n, err
}

// Close implements net.Conn. It logs an unanswered request that it gives up.
func (c *conn) Close() error {
	c.logUnanswered()
	return c.TCPConn.Close()
}

// waitState returns the phase of the connection.
func (c *conn) waitState() waitState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// recordState records a state that http.Server reports.
func (c *conn) recordState(state http.ConnState, multiplexed bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.httpState, c.multiplexed = state, multiplexed
	switch {
	case state == http.StateNew:
	case state != http.StateIdle:
		c.state = waitState{notWaiting, now}
	case c.nextRequestBegun:
		c.state = waitState{awaitingHeader, now}
		c.received, c.written = 1, 0
	default:
		c.state = waitState{awaitingRequest, now}
		c.received, c.written = 0, 0
	}
	c.nextRequestBegun = c.nextRequestBegun && state != http.StateIdle
}

// recordState is the ConnState callback of http.Server.
func (d *connDuty) recordState(netConn net.Conn, state http.ConnState) {
	multiplexed := false
	if encrypted, ok := netConn.(*tls.Conn); ok {
		netConn = encrypted.NetConn()
		multiplexed = state != http.StateNew && encrypted.ConnectionState().NegotiatedProtocol == "h2"
	}
	c, ok := netConn.(*conn)
	if !ok {
		return // listener accepts no other connections
	}
	c.recordState(state, multiplexed, time.Now())
	if state == http.StateClosed || state == http.StateHijacked {
		d.notify(connChange{conn: c, closed: true})
	}
}

// logUnanswered logs that the connection ends with bytes of an unanswered request, if
// it has any. Outside a drain, clients that leave first are not logged.
func (c *conn) logUnanswered() {
	draining := c.duty.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written > 0 || c.closed || c.clientLeft && !draining {
		return
	}
	c.closed = true
	unread := unreadBytes(c.TCPConn)
	if c.received == 0 && unread == 0 {
		return
	}
	fields := logrus.Fields{
		"event": "closed_unanswered", "listener": c.duty.listener, "caller": c.RemoteAddr().String(), "state": c.httpState.String(), "received": c.received, "unread": unread,
		"draining": draining, "caller_left": c.clientLeft,
	}
	if c.received > 0 {
		fields["last_byte_ms"] = time.Since(c.lastByteAt).Milliseconds()
	}
	c.duty.log.WithFields(fields).Warn("closed a connection with an unanswered request")
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
