package callerhttp

import (
	"time"
)

const (
	// lingerTimeout and lingerBytes limit the rest of a request that is discarded after its
	// response, and lingerBufferBytes is the size of the buffer for it.
	lingerTimeout     = time.Second
	lingerBytes       = 8 << 20
	lingerBufferBytes = 4 << 10
)

// CloseWrite closes the sending side. http.Server calls it before it closes a connection
// whose request it has not read whole. The rest of the request is discarded, since a
// connection that is closed with unread bytes is reset, and the reset may reach the client
// before the response does.
func (c *conn) CloseWrite() error {
	if !c.beginLinger() {
		return c.TCPConn.CloseWrite()
	}
	return c.linger()
}

// beginLinger reports whether the connection has to linger. It does so at most once.
func (c *conn) beginLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasLingered || c.written == 0 || c.clientLeft || c.duty.abandoned.Load() {
		return false
	}
	c.hasLingered = true
	c.readingSince = time.Time{}
	return true
}

// linger closes the sending side and discards what the client still sends, until it closes
// the connection, has sent lingerBytes or lingerTimeout has passed. Close ends it, too.
func (c *conn) linger() error {
	if err := c.TCPConn.CloseWrite(); err != nil {
		return err
	}
	if err := c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return err
	}
	buffer := make([]byte, lingerBufferBytes)
	for discarded := 0; discarded < lingerBytes; {
		n, err := c.TCPConn.Read(buffer)
		if err != nil {
			return nil // the client has closed the connection, or has had its time
		}
		discarded += n
	}
	return nil
}

// expectRest records whether a part of the request of the connection is unread. HTTP/2 ends
// the streams of requests itself.
func (c *conn) expectRest(isUnread bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRest = isUnread && !c.multiplexed
}

// hasUnreadRequest reports whether a request was answered and not read whole.
func (c *conn) hasUnreadRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasRest || c.refused
}

// isLingering reports whether the rest of a request is or was discarded.
func (c *conn) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasLingered
}
