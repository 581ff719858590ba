// Package upstreamhttp exchanges HTTP/1.1 messages with upstreams over pooled
// connections. Its errors distinguish calls that may have run from calls that have
// certainly not run. It skips responses that belong to earlier requests and never
// reuses a connection that may contain bytes of another exchange. Messages are
// encoded and parsed by net/http.
package upstreamhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// defaultIdleTimeout is the time for which an idle connection is pooled when the
	// upstream does not state its own timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout of the upstream, so that no
	// request is sent while the upstream closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxStaleResponses is the maximum number of interim responses and responses to
	// earlier requests that are skipped.
	maxStaleResponses = 3
	// maxInlineBodyBytes is the maximum size of a body that is written before the
	// response is read. A larger body is written concurrently, since an upstream may
	// respond before it has read the body. The write buffer is larger than the body by
	// the same size, for the headers.
	maxInlineBodyBytes = 4 << 10
	readBufferBytes    = 8 << 10
	// maxHeadBytes is the maximum size of status and headers of a response.
	maxHeadBytes = 32 << 10
	// maxStaleBodyBytes is the maximum number of bytes that are read from the body of
	// a skipped response.
	maxStaleBodyBytes = 1 << 20
	// unsentTimeout is the time for which the end of a request is written after a response
	// without a length has ended. An upstream may still read the request then.
	unsentTimeout = time.Second
)

// IdlePool holds the idle connections to one upstream.
type IdlePool = *ring.Ring[*Conn]

// NewIdlePool returns a pool for up to capacity connections.
func NewIdlePool(capacity int) IdlePool { return ring.New[*Conn](capacity) }

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	reader    *bufio.Reader
	expiresAt time.Time
	// writtenBytes is the number of bytes of the current request that the kernel has
	// accepted.
	writtenBytes int64
	// readingHead is set while a head is read. headBytes is then the number of bytes
	// that may still be read, and head charges the memory of the head.
	readingHead bool
	headBytes   int
	head        headMeter
}

// Read implements net.Conn. It limits the size of heads, which net/http does not.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(b)
	}
	if c.headBytes <= 0 {
		return 0, errs.New(errs.Corrupt, "report this as a defect of the upstream", "head of a response exceeds %d bytes", maxHeadBytes)
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headBytes)])
	c.headBytes -= n
	if chargeErr := c.head.add(b[:n]); chargeErr != nil {
		return 0, chargeErr
	}
	return n, err
}

// Write implements net.Conn. It counts the written bytes.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.writtenBytes += int64(n)
	return n, err
}

// reset closes the connection so that bytes of the request that are still on their way are
// dropped. After a plain close they would be delivered, even when the network was cut for a
// while, and a request that was given up would run later.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close() // fails only on a closed connection
}

// Request is one message to an upstream.
type Request struct {
	Address     string
	HTTPRequest *http.Request
	Body        []byte
	// Deadline is the time at which the exchange is abandoned.
	Deadline time.Time
	// Matches reports whether a response with this status and these headers belongs
	// to the request.
	Matches func(status int, h http.Header) bool
	// NewConnection is set when Matches cannot distinguish the response from those to
	// earlier requests on a pooled connection. The request is then sent over a new one.
	NewConnection bool
	// Memory is charged for the heads of the responses. They remain charged until it is
	// closed.
	Memory *membudget.Account
}

// Exchange is a request that was sent and its response. The caller reads the body of
// the response and then calls Finish.
type Exchange struct {
	Response *http.Response
	// Reused is set when the request was sent over a pooled connection.
	Reused bool

	conn        *Conn
	pool        IdlePool
	cancelClose func() bool
	writeResult <-chan error
	// body is the body of the response.
	body *trackedBody
}

// trackedBody is the body of a response. It records whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	exchange *Exchange
	ended    bool
}

// Read implements io.Reader. A body without a known end has ended only if the request was
// written: the write may have received the error of a reset, after which the read sees the
// end of the connection.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !b.ended && !b.exchange.HasKnownEnd() {
		if writeErr := b.exchange.awaitWrite(); writeErr != nil {
			return n, errs.Wrap(writeErr, errs.Unknown, "do not resend a call that may run only once", "connection ended before the request was written")
		}
	}
	b.ended = true
	return n, err
}

// awaitWrite waits until the request was written, at most for unsentTimeout.
func (x *Exchange) awaitWrite() error {
	_ = x.conn.SetWriteDeadline(time.Now().Add(unsentTimeout)) // fails only on a closed connection, on which the write fails, too
	err := <-x.writeResult
	x.writeResult = resultOf(err)
	return err
}

// resultOf returns a channel that contains the result of a write.
func resultOf(err error) <-chan error {
	result := make(chan error, 1)
	result <- err
	return result
}

// Client sends requests to upstreams.
type Client struct{ dialer *net.Dialer }

// NewClient returns a client that opens connections with a dialer.
func NewClient(dialer *net.Dialer) *Client { return &Client{dialer: dialer} }

// Send sends a request and reads the status and headers of its response. The error
// has the kind errs.Unavailable when nothing of the request was sent, and
// errs.Unknown when the upstream may have received it. The connection is closed when
// the context ends.
func (c *Client) Send(ctx context.Context, pool IdlePool, r Request) (*Exchange, error) {
	conn, reused, err := c.connect(ctx, pool, r)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "use another upstream", "cannot connect to %s", r.Address)
	}
	conn.writtenBytes = 0
	_ = conn.SetDeadline(r.Deadline) // fails only on a closed connection, on which the write fails, too
	cancelClose := context.AfterFunc(ctx, conn.reset)
	x := &Exchange{Reused: reused, conn: conn, pool: pool, cancelClose: cancelClose, writeResult: conn.send(r)}
	resp, err := x.readResponse(r) //nolint:bodyclose // the body is not used after Finish
	if err != nil {
		return nil, x.fail(err)
	}
	x.body = &trackedBody{ReadCloser: resp.Body, exchange: x}
	x.Response = resp
	resp.Body = x.body
	return x, nil
}

// Refuses reports whether a new connection to an address is refused, which means that
// the process there has ended. It returns false if the attempt has no result.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

func (c *Client) connect(ctx context.Context, pool IdlePool, r Request) (conn *Conn, reused bool, err error) {
	for !r.NewConnection {
		pooled, ok := pool.TryReceive()
		if !ok {
			break
		}
		if time.Now().Before(pooled.expiresAt) && pooled.reader.Buffered() == 0 && openAndEmpty(pooled.Conn) {
			return pooled, true, nil
		}
		_ = pooled.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, false, err
	}
	conn = &Conn{Conn: raw}
	conn.reader = bufio.NewReaderSize(conn, readBufferBytes)
	return conn, false, nil
}

// openAndEmpty reports whether a pooled connection is open and has no unread bytes.
// The read does not block, since Go's sockets are in non-blocking mode.
func openAndEmpty(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// send writes the request. The channel receives one result.
func (c *Conn) send(r Request) <-chan error {
	result := make(chan error, 1)
	write := func() {
		w := bufio.NewWriterSize(c, len(r.Body)+maxInlineBodyBytes)
		if len(r.Body) > 0 {
			r.HTTPRequest.Body = io.NopCloser(&bodyReader{remaining: r.Body})
		}
		err := r.HTTPRequest.Write(w)
		if err == nil {
			err = w.Flush()
		}
		result <- err
	}
	if len(r.Body) <= maxInlineBodyBytes {
		write()
	} else {
		go write()
	}
	return result
}

type bodyReader struct{ remaining []byte }

func (b *bodyReader) Read(p []byte) (int, error) {
	if len(b.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

// readResponse reads status and headers of the response that belongs to the
// request.
func (x *Exchange) readResponse(r Request) (*http.Response, error) {
	for range maxStaleResponses + 1 {
		resp, err := x.conn.readHead(r.HTTPRequest, r.Memory)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // interim responses contain nothing that is needed
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBodyBytes+1))
		if err != nil {
			return nil, err
		}
		if n > maxStaleBodyBytes {
			return nil, errs.New(errs.Corrupt, "report this as a defect of the upstream", "body of a response to another request exceeds %d bytes", maxStaleBodyBytes)
		}
	}
	return nil, errors.New("none of the first responses on the connection belongs to the request")
}

// fail resets the connection and classifies the error.
func (x *Exchange) fail(err error) error {
	x.cancelClose()
	x.conn.reset()
	err = errors.CombineErrors(err, <-x.writeResult) // the write returns once the connection is closed
	if x.conn.writtenBytes == 0 {
		return errs.Wrap(err, errs.Unavailable, "use another upstream", "no bytes of the request were sent to %s", x.conn.RemoteAddr())
	}
	return errs.Wrap(err, errs.Unknown, "do not resend a call that may run only once", "no response from %s", x.conn.RemoteAddr())
}

// HasKnownEnd reports whether the response states its length, is sent in chunks or ends
// with its head. Otherwise it ends with its connection, and the end of a failed upstream
// looks like that of a complete response.
func (x *Exchange) HasKnownEnd() bool {
	return x.isHead() || x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0
}

// isHead reports whether the request was a HEAD request, whose response has no body.
func (x *Exchange) isHead() bool { return x.Response.Request.Method == http.MethodHead }

// ForwardedLength returns the Content-Length of the response when it is forwarded with a
// body of the given size, or a negative number if it has none. The response to a HEAD
// request states the length that a GET request would have received.
func (x *Exchange) ForwardedLength(bodyBytes int) int64 {
	if x.isHead() {
		return x.Response.ContentLength
	}
	return int64(bodyBytes)
}

// LimitBodyTime limits the time in which the body is read. After it, reads fail with
// os.ErrDeadlineExceeded.
func (x *Exchange) LimitBodyTime(timeout time.Duration) {
	_ = x.conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, on which reads fail, too
}

// Surplus returns the bytes that were received behind the response. It must be called
// after the body was read and before Finish.
func (x *Exchange) Surplus() []byte {
	reader := x.conn.reader
	surplus, _ := reader.Peek(reader.Buffered()) // does not read, so it cannot fail
	return slices.Clone(surplus)
}

// Finish ends the exchange. reusable is set if the complete response was read and the
// upstream does not close the connection. The connection is then pooled, unless
// further bytes are expected on it. It is reset if the request was not written or the
// response not read completely. An idleTimeout of 0 means that the upstream has stated none.
func (x *Exchange) Finish(reusable bool, idleTimeout time.Duration) {
	stillOpen := x.cancelClose()
	resp := x.Response
	requestWritten := false
	select {
	case err := <-x.writeResult:
		requestWritten = err == nil
	default:
	}
	if !requestWritten || !x.body.ended {
		x.conn.reset()
		return
	}
	if !reusable || !stillOpen || !x.HasKnownEnd() || resp.Close || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	x.conn.expiresAt = time.Now().Add(idleTimeout - idleMargin)
	_ = x.conn.SetDeadline(time.Time{}) // a closed connection is detected when it is next used
	if !x.pool.Offer(x.conn) {
		_ = x.conn.Close()
	}
}
