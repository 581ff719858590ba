// Package upstreamhttp exchanges HTTP/1.1 messages with upstreams over kept
// connections. It tells what may have run from what certainly has not, skips
// answers that belong to earlier requests, and never reuses a connection that
// may hold bytes of another exchange. Messages are encoded and parsed by
// net/http.
package upstreamhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// idleDefault is how long a connection is kept for reuse when the upstream
	// does not say how long it keeps it.
	idleDefault = 4 * time.Second
	// idleMargin is how much earlier than the upstream a connection is given up,
	// so that no request crosses the upstream's close.
	idleMargin = 700 * time.Millisecond
	// staleAnswers is the number of answers to earlier requests that are skipped.
	staleAnswers = 3
	// inlineBody is the size up to which a request is sent before its answer is
	// read; a larger one is sent beside, since an upstream may answer early.
	inlineBody = 4 << 10
	readBuffer = 8 << 10
	// staleBody bounds what is read of an answer that is skipped.
	staleBody = 1 << 20
)

// IdlePool holds the kept connections to one upstream.
type IdlePool = *ring.Ring[*Conn]

// NewIdlePool returns room for a number of kept connections.
func NewIdlePool(capacity int) IdlePool { return ring.New[*Conn](capacity) }

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	expiry time.Time
	// written counts the bytes that the kernel took for the current request.
	written int64
}

// Write counts the bytes that were handed over.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// Request is one message for an upstream.
type Request struct {
	Address     string
	HTTPRequest *http.Request
	Body        []byte
	// Deadline is when the exchange is given up.
	Deadline time.Time
	// Matches reports whether an answer with these headers belongs to the request.
	Matches func(status int, h http.Header) bool
}

// Exchange is an answer that is being read.
type Exchange struct {
	Response *http.Response
	// Reused is set when the request went over a kept connection.
	Reused bool

	conn  *Conn
	idle  IdlePool
	stop  func() bool
	wrote <-chan error
}

// Client opens connections.
type Client struct{ dialer *net.Dialer }

// NewClient returns a client that connects with a dialer.
func NewClient(dialer *net.Dialer) *Client { return &Client{dialer: dialer} }

// Send sends a request and reads the head of its answer. The error has the kind
// errs.Unavailable when nothing of the request was sent, and errs.Unknown when
// it may have reached the upstream. The connection closes with the context.
func (c *Client) Send(ctx context.Context, idle IdlePool, r Request) (*Exchange, error) {
	conn, reused, err := c.connect(ctx, idle, r.Address)
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "use another upstream", "no connection to %s", r.Address)
	}
	conn.written = 0
	_ = conn.SetDeadline(r.Deadline) // fails only on a closed connection; the write fails then, too
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	x := &Exchange{Reused: reused, conn: conn, idle: idle, stop: stop, wrote: conn.send(r)}
	resp, err := x.readHead(r) //nolint:bodyclose // the body ends with the exchange
	if err != nil {
		return nil, x.failed(err)
	}
	x.Response = resp
	return x, nil
}

func (c *Client) connect(ctx context.Context, idle IdlePool, address string) (conn *Conn, reused bool, err error) {
	for {
		kept, ok := idle.TryReceive()
		if !ok {
			break
		}
		if time.Now().Before(kept.expiry) && kept.reader.Buffered() == 0 && quiet(kept.Conn) {
			return kept, true, nil
		}
		_ = kept.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, err
	}
	conn = &Conn{Conn: raw}
	conn.reader = bufio.NewReaderSize(raw, readBuffer)
	return conn, false, nil
}

// quiet reports whether a kept connection is open and holds no bytes. The read
// does not block: Go's sockets are in non-blocking mode.
func quiet(conn net.Conn) bool {
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

// send writes the request; the channel gets one result.
func (c *Conn) send(r Request) <-chan error {
	wrote := make(chan error, 1)
	write := func() {
		w := bufio.NewWriterSize(c, len(r.Body)+inlineBody)
		if len(r.Body) > 0 {
			r.HTTPRequest.Body = io.NopCloser(&bodyReader{rest: r.Body})
		}
		err := r.HTTPRequest.Write(w)
		if err == nil {
			err = w.Flush()
		}
		wrote <- err
	}
	if len(r.Body) <= inlineBody {
		write()
	} else {
		go write()
	}
	return wrote
}

type bodyReader struct{ rest []byte }

func (b *bodyReader) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// readHead reads the head of the answer that belongs to the request.
func (x *Exchange) readHead(r Request) (*http.Response, error) {
	for range staleAnswers + 1 {
		resp, err := http.ReadResponse(x.conn.reader, r.HTTPRequest)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // interim answers carry nothing that is needed
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, staleBody)); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("the connection holds answers to other requests only")
}

// failed closes the connection and classifies the error.
func (x *Exchange) failed(err error) error {
	x.stop()
	_ = x.conn.Close()
	err = errors.CombineErrors(err, <-x.wrote) // the write ends with the connection
	if x.conn.written == 0 {
		return errs.Wrap(err, errs.Unavailable, "use another upstream", "nothing was sent to %s", x.conn.RemoteAddr())
	}
	return errs.Wrap(err, errs.Unknown, "do not send a call again that may run once only", "no answer from %s", x.conn.RemoteAddr())
}

// Finish ends the exchange. The connection is kept only if the whole answer was
// read and nothing else is expected on it.
func (x *Exchange) Finish(whole bool, keepFor time.Duration) {
	stopped := x.stop()
	resp := x.Response
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	sent := false
	select {
	case err := <-x.wrote:
		sent = err == nil
	default:
	}
	if !whole || !stopped || !framed || !sent || resp.Close || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	if keepFor <= 0 {
		keepFor = idleDefault
	}
	x.conn.expiry = time.Now().Add(keepFor - idleMargin)
	_ = x.conn.SetDeadline(time.Time{}) // a closed connection is found at its next use
	if !x.idle.Offer(x.conn) {
		_ = x.conn.Close()
	}
}
