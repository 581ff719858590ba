package callerhttp

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/membudget"
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
	// memory is charged for the head of the current request, headBytes is what is charged.
	// It is nil if heads are not charged.
	memory    *membudget.Account
	headBytes int64
	// encrypted connections carry no plain text, refused ones end without an answer of
	// http.Server.
	encrypted, refused bool
	// hasRest is set while a part of the current request may be unread, hasLingered when the
	// rest of a request is or was discarded.
	hasRest, hasLingered bool
	// readingSince is the time since which a part of a body is awaited, writingSince that
	// since which the client takes no bytes of a response; zero if neither is.
	readingSince, writingSince time.Time
	// stalledSince is the readingSince for which closeIfStalled wakes the reader.
	stalledSince time.Time
	// hasLeft is set when the connection no longer counts.
	hasLeft bool
	// clientLeft is set when the client has closed or reset the connection, closed when
	// this process has closed it.
	clientLeft, closed bool
}

func newConn(accepted *net.TCPConn, duty *connDuty) *conn {
	c := &conn{TCPConn: accepted, duty: duty, encrypted: duty.encrypted, state: waitState{awaitingRequest, time.Now()}}
	if memory := duty.guard.limits.Memory; memory != nil && !c.encrypted {
		c.memory = memory.Open()
	}
	duty.notify(connChange{conn: c})
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if !c.beginRead(len(p)) {
			return 0, c.refusedError()
		}
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			if !c.recordBytes(p[:n], len(p), time.Now()) {
				return 0, c.refuseHead()
			}
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

// beginRead records that a part of a body is awaited. http.Server reads single bytes only
// past the end of a request. beginRead returns false if the request was refused.
func (c *conn) beginRead(bufferSize int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.phase == notWaiting && bufferSize > 1 && c.readingSince.IsZero() {
		c.readingSince = time.Now()
	}
	return !c.refused
}

// recordBytes records bytes that were read into a buffer. It returns false if
// they belong to a head for which there is no memory.
func (c *conn) recordBytes(received []byte, bufferSize int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingSince = time.Time{}
	c.received += int64(len(received))
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
	return c.state.phase != awaitingHeader || c.chargeHead(received)
}

// continueReading is called when a read has timed out. It reports whether the read is
// repeated: closeIfQuiet or closeIfLate has woken the reader, but the connection is not
// quiet and its request not late.
func (c *conn) continueReading(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	quietTime, lateState, stalledSince := c.quietTime, c.lateState, c.stalledSince
	if quietTime == 0 && lateState == (waitState{}) && stalledSince.IsZero() {
		return false
	}
	c.quietTime, c.lateState, c.stalledSince = 0, waitState{}, time.Time{}
	if err := c.TCPConn.SetReadDeadline(c.readDeadline); err != nil {
		return false
	}
	if !c.readDeadline.IsZero() && !now.Before(c.readDeadline) {
		return false
	}
	isQuiet := quietTime > 0 && c.state.isQuiet(now, quietTime)
	isLate := lateState != waitState{} && c.state == lateState
	isStalled := !stalledSince.IsZero() && c.readingSince.Equal(stalledSince)
	return !isQuiet && !isLate && !isStalled || unreadBytes(c.TCPConn) > 0
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

// isStalled reports whether a client has sent no byte of a body that is awaited for a time.
func (c *conn) isStalled(now time.Time, timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readingSince.IsZero() && now.Sub(c.readingSince) > timeout
}

// closeIfStalled wakes the goroutine that reads a body. The read fails with a time-out if
// no byte is unread.
func (c *conn) closeIfStalled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingSince.IsZero() {
		return
	}
	c.stalledSince = c.readingSince
	c.wakeReader()
}

// closeUnread ends a write whose bytes the client has not taken for a time. It reports
// whether there is one.
func (c *conn) closeUnread(now time.Time, timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writingSince.IsZero() || now.Sub(c.writingSince) <= timeout {
		return false
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	return true
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

// Write implements net.Conn. It writes in pieces, so that the duty sees whether the client
// takes them.
func (c *conn) Write(p []byte) (int, error) {
	total := 0
	for {
		piece := p[total:min(total+writePieceBytes, len(p))]
		if !c.beginWrite() {
			return total, net.ErrClosed
		}
		n, err := c.TCPConn.Write(piece)
		c.endWrite(n)
		total += n
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

// beginWrite records that a piece is written. It returns false if the request was refused,
// so that http.Server has nothing to answer.
func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return false
	}
	c.writingSince = time.Now()
	return true
}

// endWrite records that a piece was written.
func (c *conn) endWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
	c.written += int64(n)
}

// Close implements net.Conn. It logs an unanswered request that it gives up. A client that
// still sends an answered request has time to receive the response.
func (c *conn) Close() error {
	c.logUnanswered()
	if c.hasUnreadRequest() && c.beginLinger() {
		_ = c.linger() // fails only if the client has left
	}
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
	c.readingSince = time.Time{}
	c.hasRest = state == http.StateActive && !multiplexed
	switch {
	case state == http.StateNew:
	case state != http.StateIdle:
		c.state = waitState{notWaiting, now}
	case c.nextRequestBegun:
		c.releaseHead()
		c.state = waitState{awaitingHeader, now}
		c.received, c.written = 1, 0
	default:
		c.releaseHead()
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
		c.leave()
		d.notify(connChange{conn: c, closed: true})
	}
}

// leave ends what the connection counts for.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	if !c.hasLeft {
		c.hasLeft = true
		c.duty.guard.open.Add(-1)
	}
}

// logUnanswered logs that the connection ends with bytes of an unanswered request, if
// it has any. Outside a drain, clients that leave first are not logged.
func (c *conn) logUnanswered() {
	draining := c.duty.isDraining()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written > 0 || c.closed || c.refused || c.clientLeft && !draining {
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
