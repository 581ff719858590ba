package callerhttp

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/duty"
)

const (
	testTimeout  = 10 * time.Second
	requestBegin = "GET /x HTTP/1.1\r\nHost: a.exa"
	requestEnd   = "mple\r\n\r\n"
)

// served is a server with its duties.
type served struct {
	t       *testing.T
	server  *Server
	group   *duty.Group
	address string
	logs    *logrustest.Hook

	mu       sync.Mutex
	accepted []*conn
}

// newServed returns a server that is not started. The handler may be nil.
func newServed(t *testing.T, config *tls.Config, handler http.HandlerFunc) *served {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	if handler == nil {
		handler = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }
	}
	logger, logs := logrustest.NewNullLogger()
	logger.SetLevel(logrus.InfoLevel)
	s := &served{t: t, group: duty.NewGroup(t.Context(), logger), address: l.Addr().String(), logs: logs}
	s.server = New(Options{
		Name: "callers", Listener: l.(*net.TCPListener), TLS: config, Handler: handler, MaxHeaderBytes: 1 << 16, Log: logger,
		Timeouts: func() Timeouts { return Timeouts{Header: time.Minute, Idle: time.Minute} },
	})
	s.server.http.ConnContext = func(ctx context.Context, netConn net.Conn) context.Context {
		if c, ok := netConn.(*conn); ok {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.accepted = append(s.accepted, c)
		}
		return addConn(ctx, netConn)
	}
	s.server.http.ErrorLog = log.New(io.Discard, "", 0)
	t.Cleanup(func() {
		s.group.Stop()
		require.NoError(t, s.group.Wait())
	})
	return s
}

func (s *served) start() *served {
	s.server.Start(s.group)
	return s
}

// drain starts a drain. The channel yields its result.
func (s *served) drain(ctx context.Context) chan error {
	result := make(chan error, 1)
	go func() { result <- s.server.Drain(ctx) }()
	return result
}

// awaitClosedListener waits until the drain has closed the listener.
func (s *served) awaitClosedListener() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		conn, err := net.Dial("tcp", s.address)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, testTimeout, 5*time.Millisecond)
}

func (s *served) awaitDrained(result chan error) {
	s.t.Helper()
	select {
	case err := <-result:
		require.NoError(s.t, err)
	case <-time.After(testTimeout):
		s.t.Fatal("connections remain open")
	}
}

// conns returns the accepted connections.
func (s *served) conns() []*conn {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.accepted)
}

// client is a connection of a client.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *served) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(2*testTimeout)))
	return &client{Conn: conn, t: s.t, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) *client {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
	return c
}

// requireResponse reads a whole response and returns it.
func (c *client) requireResponse() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err, "the connection ended without a response")
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, "served", string(body))
	return resp
}

func (c *client) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

// Guards against a planned stop that closes a connection while the head of a request
// is received, or discards a request whose head is complete only after the stop has
// begun to close connections.
func TestDrainServesRequestsThatHaveBegun(t *testing.T) {
	s := newServed(t, nil, nil).start()
	kept, opened := s.dial(), s.dial()
	kept.send(requestBegin + requestEnd).requireResponse()
	kept.send(requestBegin)
	opened.send(requestBegin)
	s.awaitPhase(awaitingHeader, 2)
	result := s.drain(t.Context())
	s.awaitClosedListener()
	for _, c := range []*client{kept, opened} {
		require.True(t, c.send(requestEnd).requireResponse().Close)
		c.requireClosed()
	}
	s.awaitDrained(result)
}

// awaitPhase waits until a number of connections are in a phase.
func (s *served) awaitPhase(phase connPhase, count int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		n := 0
		for _, c := range s.conns() {
			if c.waitState().phase == phase {
				n++
			}
		}
		return n == count
	}, testTimeout, time.Millisecond)
}

// Guards against requests that are lost in the accept queue when the listener is closed.
func TestDrainServesConnectionsOfAcceptQueue(t *testing.T) {
	s := newServed(t, nil, nil)
	var clients []*client
	for range 20 {
		clients = append(clients, s.dial().send(requestBegin+requestEnd))
	}
	result := s.drain(t.Context())
	<-s.server.duty.draining
	s.start()
	for _, c := range clients {
		require.True(t, c.requireResponse().Close)
	}
	s.awaitDrained(result)
}

// Guards against connections with an unread request that are closed as idle ones.
func TestConnectionWithUnreadBytesIsNotQuiet(t *testing.T) {
	c, clientConn := newConnPair(t)
	buf := make([]byte, 64)

	c.closeIfQuiet(time.Nanosecond)
	_, err := c.Read(buf)
	require.True(t, isTimeout(err), "a quiet connection is closed")

	_, err = io.WriteString(clientConn, "GET")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unreadBytes(c.TCPConn) == 3 }, testTimeout, time.Millisecond)
	c.closeIfQuiet(time.Nanosecond)
	n, err := c.Read(buf)
	require.NoError(t, err)
	require.Equal(t, "GET", string(buf[:n]))

	c.closeIfQuiet(time.Nanosecond)
	_, err = io.WriteString(clientConn, " /x")
	require.NoError(t, err)
	n, err = c.Read(buf)
	require.NoError(t, err, "the request is being received")
	require.Equal(t, " /x", string(buf[:n]))
}

// Guards against a planned stop that waits for idle connections, and against one that
// cancels calls in progress when it checks for quiet connections.
func TestDrainClosesQuietConnectionsOnly(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := newServed(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-release
			require.NoError(t, r.Context().Err())
		}
		_, _ = io.WriteString(w, "served")
	}).start()
	slow, kept, unused := s.dial(), s.dial(), s.dial()
	kept.send(requestBegin + requestEnd).requireResponse()
	slow.send("GET /slow HTTP/1.1\r\nHost: a.example\r\n\r\n")
	<-started
	result := s.drain(t.Context())
	kept.requireClosed()
	unused.requireClosed()
	select {
	case err := <-result:
		t.Fatalf("drained with %v while a call is in progress", err)
	default:
	}
	for _, c := range s.conns() {
		c.closeIfQuiet(time.Nanosecond) // the duty may have seen the connection before its request
	}
	close(release)
	slow.requireResponse()
	slow.requireClosed()
	s.awaitDrained(result)
}

// Guards against a planned stop that outlasts its deadline or does not report what it
// has interrupted.
func TestDrainEndsWithItsContext(t *testing.T) {
	started := make(chan struct{})
	s := newServed(t, nil, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
	}).start()
	c := s.dial().send(requestBegin + requestEnd)
	<-started
	ctx, cancel := context.WithCancel(t.Context())
	result := s.drain(ctx)
	s.awaitClosedListener()
	cancel()
	require.ErrorIs(t, <-result, context.Canceled)
	c.requireClosed()
	require.Eventually(t, func() bool {
		last := s.logs.LastEntry()
		return last != nil && last.Data["event"] == "closed_unanswered" && last.Data["state"] == "active"
	}, testTimeout, time.Millisecond)
}

// Guards against encrypted connections, also those of HTTP/2, that a planned stop does
// not drain.
func TestDrainOfEncryptedConnections(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	for _, protocol := range []string{"http/1.1", "h2"} {
		t.Run(protocol, func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			s := newServed(t, &tls.Config{Certificates: certified.TLS.Certificates, NextProtos: []string{protocol}}, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					close(started)
					<-release
				}
				_, _ = fmt.Fprint(w, r.Proto)
			}).start()
			transport := certified.Client().Transport.(*http.Transport).Clone()
			transport.TLSClientConfig.NextProtos = []string{protocol}
			transport.ForceAttemptHTTP2 = protocol == "h2"
			defer transport.CloseIdleConnections()
			caller := &http.Client{Transport: transport}
			proto := map[string]string{"http/1.1": "HTTP/1.1", "h2": "HTTP/2.0"}[protocol]
			call := func(path string) string {
				resp, err := caller.Get("https://" + s.address + path)
				if err != nil {
					return err.Error()
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				return string(body)
			}
			require.Equal(t, proto, call("/x"))
			responses := make(chan string, 1)
			go func() { responses <- call("/slow") }()
			<-started
			result := s.drain(t.Context())
			s.awaitClosedListener()
			close(release)
			require.Equal(t, proto, <-responses)
			s.awaitDrained(result)
		})
	}
}

// Guards against a request that is given up without a trace while no stop is in progress,
// and against a line for each client that leaves first.
func TestGivenUpRequestIsLogged(t *testing.T) {
	left := make(chan struct{})
	s := newServed(t, nil, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/leaves" {
			<-r.Context().Done()
			close(left)
		}
		panic(http.ErrAbortHandler)
	}).start()
	leaving := s.dial().send("GET /leaves HTTP/1.1\r\nHost: a.example\r\n\r\n")
	s.awaitPhase(notWaiting, 1)
	require.NoError(t, leaving.Close())
	<-left
	s.dial().send(requestBegin + requestEnd).requireClosed()
	lines := func() (unanswered []*logrus.Entry) {
		for _, entry := range s.logs.AllEntries() {
			if entry.Data["event"] == "closed_unanswered" {
				unanswered = append(unanswered, entry)
			}
		}
		return unanswered
	}
	require.Eventually(t, func() bool { return len(lines()) > 0 }, testTimeout, time.Millisecond)
	require.Len(t, lines(), 1)
	require.Equal(t, "active", lines()[0].Data["state"])
	require.Equal(t, false, lines()[0].Data["draining"])
	require.Equal(t, false, lines()[0].Data["caller_left"])
}
