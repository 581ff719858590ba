package frontend_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// serverSilence is the time for which a sound server may be silent.
const serverSilence = 1700 * time.Millisecond

// Guards against a call that is given up because its server reads nothing for a second or
// two while a part of the request is on its way, and then goes on.
func TestCallOutlastsSilenceOfItsServer(t *testing.T) {
	d := newDeployment(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := standin.NewPlatformServer("i-1")
	server.Script = func(w http.ResponseWriter, _ *http.Request, _ []byte) { server.Answer(w, http.StatusOK, "served") }
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: testTimeout}
	go func() { _ = httpServer.Serve(silentListener{listener}) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	d.putUpstreamRow("i-1", "svc", listener.Addr().String(), "ready")
	f := d.startReadyFront("front-1")
	body := strings.Repeat("b", 512<<10) // more than the buffers of the connection hold
	got := f.call(http.MethodPost, "/log/x", "r", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		r.Header.Set("Deadline-Ms", "3000")
	})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, got.body)
}

// silentListener accepts connections with small receive buffers, which are not read for
// the time serverSilence.
type silentListener struct{ net.Listener }

// Accept implements net.Listener.
func (l silentListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := accepted.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		return nil, err
	}
	return &silentConn{Conn: accepted, silentUntil: time.Now().Add(serverSilence)}, nil
}

// silentConn is a connection that is not read before a point in time.
type silentConn struct {
	net.Conn
	silentUntil time.Time
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.silentUntil))
	return c.Conn.Read(p)
}
