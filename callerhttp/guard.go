package callerhttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/membudget"
)

const (
	// fieldBytes is the memory of one field of a head beside its own bytes: an entry of a
	// map, a slice of values and the strings.
	fieldBytes = 256
	// discardTimeout is the time for the rest of a body that the handler has not read. It
	// is read so that the client receives the response.
	discardTimeout = time.Second
	// pressureTimeout replaces longer timeouts of clients that have begun a request, while
	// their memory or connections are short.
	pressureTimeout = time.Second
	// pressureShare is the share of the connections and of the memory above which they
	// count as short, and targetShare the share of the connections that then remain.
	pressureShare = 0.75
	targetShare   = 0.5
	// writePieceBytes is the size of the pieces in which responses are written. A client
	// that takes one piece within the idle timeout is not cut.
	writePieceBytes = 16 << 10
)

// Limits bound what the clients of a listener make the process hold.
type Limits struct {
	// Connections is the maximum number of open connections; 0 means no bound.
	Connections int
	// Memory is charged for the heads of requests until they are answered. It is the same
	// for all listeners of a process. If it is nil, heads are not charged.
	Memory *membudget.Budget
	// ChargeBodies charges Memory also for the bodies of requests, for handlers that read
	// them whole. A body without memory ends with an error of the kind errs.Exhausted.
	ChargeBodies bool
	// BodyTime is the time for the body of a request, for handlers that read none; 0 means
	// no limit.
	BodyTime time.Duration
}

// guard keeps the connections of one listener within its limits.
type guard struct {
	limits Limits
	open   atomic.Int64
	// refusedConns and refusedHeads count what was refused, stalled and evicted what was
	// closed since the client made no progress, or to make room.
	refusedConns, refusedHeads, stalled, evicted atomic.Int64
	// loggedRefusals is the number of refusals that the duty has logged.
	loggedRefusals int64
	// memoryRefusals is the number of refusals of the budget at the last check.
	memoryRefusals int64
}

// Counts are what a server has counted of its clients.
type Counts struct {
	// Open is the number of open connections.
	Open int64
	// RefusedConns and RefusedHeads count connections and heads that were refused, Stalled
	// the clients that made no progress in time, and Evicted the quiet connections that were
	// closed to make room.
	RefusedConns, RefusedHeads, Stalled, Evicted int64
}

// Counts returns what the server has counted since its start.
func (s *Server) Counts() Counts {
	g := &s.duty.guard
	return Counts{
		Open: g.open.Load(), RefusedConns: g.refusedConns.Load(), RefusedHeads: g.refusedHeads.Load(),
		Stalled: g.stalled.Load(), Evicted: g.evicted.Load(),
	}
}

// Name returns the name of the server.
func (s *Server) Name() string { return s.name }

// admit counts a new connection unless there are too many.
func (g *guard) admit() bool {
	if n := g.open.Add(1); g.limits.Connections > 0 && n > int64(g.limits.Connections) {
		g.open.Add(-1)
		g.refusedConns.Add(1)
		return false
	}
	return true
}

// excess returns the number of quiet connections that have to be closed to make room.
func (g *guard) excess() int {
	limit := float64(g.limits.Connections)
	open := float64(g.open.Load())
	if limit == 0 || open < pressureShare*limit {
		return 0
	}
	return int(open - targetShare*limit)
}

// isShort reports whether memory or connections are short. It is called by the duty only.
func (g *guard) isShort() bool {
	if g.excess() > 0 {
		return true
	}
	memory := g.limits.Memory
	if memory == nil {
		return false
	}
	refusals := memory.Refusals()
	hasRefused := refusals > g.memoryRefusals
	g.memoryRefusals = refusals
	return hasRefused || float64(memory.UsedBytes()) > pressureShare*float64(memory.LimitBytes())
}

// errRefused is the error of reads of a connection whose head was refused.
var errRefused = errors.New("memory for requests is exhausted")

// refusal is the response to a request whose head was refused. The request was not passed
// to the handler, so it has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refusalTimeout is the time for writing refusal. The client may not read.
const refusalTimeout = 50 * time.Millisecond

// headCost returns the memory that bytes of a head take when they are parsed. Bytes after
// the end of the head are not counted.
func headCost(received []byte) int64 {
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if at := bytes.Index(received, []byte(end)); at >= 0 {
			received = received[:at+len(end)]
		}
	}
	return int64(len(received) + fieldBytes*bytes.Count(received, []byte{'\n'}))
}

// chargeHead charges bytes of a head before http.Server parses them. It returns false if
// there is no memory. The caller holds mu.
func (c *conn) chargeHead(received []byte) bool {
	if c.memory == nil || c.multiplexed {
		return true
	}
	cost := headCost(received)
	if c.memory.Charge(cost) != nil {
		return false
	}
	c.headBytes += cost
	return true
}

// refuseHead answers a request whose head was refused, unless a response was begun, and
// returns the error that ends the connection.
func (c *conn) refuseHead() error {
	c.duty.guard.refusedHeads.Add(1)
	c.mu.Lock()
	isAnswerable := !c.encrypted && c.written == 0
	c.refused = true
	c.releaseHead()
	c.mu.Unlock()
	if isAnswerable && c.SetWriteDeadline(time.Now().Add(refusalTimeout)) == nil {
		n, _ := io.WriteString(c.TCPConn, refusal) // the client may have left
		c.endWrite(n)
	}
	return c.refusedError()
}

// refusedError returns the error of reads after a refusal. http.Server does not answer it.
func (c *conn) refusedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errRefused}
}

// chargeRequest charges what the head of a request takes beyond what was charged while it
// was read: a head that was sent ahead is read together with the request before it.
func (c *conn) chargeRequest(r *http.Request) bool {
	if c.memory == nil || c.multiplexed {
		return true
	}
	cost := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			cost += int64(len(name) + len(value) + fieldBytes)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cost <= c.headBytes {
		return true
	}
	if c.memory.Charge(cost-c.headBytes) != nil {
		c.duty.guard.refusedHeads.Add(1)
		return false
	}
	c.headBytes = cost
	return true
}

// releaseHead releases the memory of an answered request. The caller holds mu.
func (c *conn) releaseHead() {
	if c.memory != nil {
		c.memory.Close()
	}
	c.headBytes = 0
}

// guardRequests returns a handler that charges the heads of requests and limits the time
// for bodies that the handler does not read.
func guardRequests(limits *Limits, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limits.BodyTime > 0 {
			limitBody(w, r, limits.BodyTime)
		}
		c := requestConn(r)
		if c != nil && !c.chargeRequest(r) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			limitBody(w, r, discardTimeout)
			return
		}
		if c != nil {
			c.expectRest(false)
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		if serveBody(limits, next, w, r) {
			return
		}
		limitBody(w, r, discardTimeout)
		if c != nil {
			c.expectRest(true)
		}
	})
}

// requestConn returns the connection of a request, or nil if it was not accepted by a listener.
func requestConn(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// serveBody serves a request with a body. It reports whether the body was read to its end.
func serveBody(limits *Limits, next http.Handler, w http.ResponseWriter, r *http.Request) bool {
	body := &guardedBody{ReadCloser: r.Body}
	if limits.ChargeBodies && limits.Memory != nil {
		body.account = limits.Memory.Open()
		defer body.account.Close()
	}
	// http.Server needs its own body in its request to recognise an unread rest.
	guarded := *r
	guarded.Body = body
	next.ServeHTTP(w, &guarded)
	return body.isComplete
}

// limitBody limits the time in which the rest of a body is read.
func limitBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) {
	if r.ContentLength == 0 || r.ProtoMajor != 1 {
		return
	}
	// It fails only with a writer that has no connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}

// bodyFactor is the number of bytes that are charged for a byte of a body: the buffer of
// the handler grows, and the parsed body is a copy.
const bodyFactor = 2

// guardedBody charges the bytes that were read of a body until the request has ended.
type guardedBody struct {
	io.ReadCloser
	account *membudget.Account // nil if the body is not charged
	// isComplete is set when the body was read to its end.
	isComplete bool
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.isComplete = b.isComplete || errors.Is(err, io.EOF)
	if b.account == nil {
		return n, err
	}
	if chargeErr := b.account.Charge(int64(bodyFactor * n)); chargeErr != nil {
		return 0, chargeErr
	}
	return n, err
}

// connKey is the key of a request's connection in its context.
type connKey struct{}
