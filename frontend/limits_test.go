package frontend_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against configured limits that are not enforced. Idle connections must be
// closed after the timeout, connections in use must remain open, and request headers
// that are too large must be refused.
func TestConfiguredLimitsAreEnforced(t *testing.T) {
	const idleTimeout = 1500 * time.Millisecond
	d := newDeployment(t)
	d.startServer("i-1", "svc", nil)
	d.configure(func(c map[string]any) {
		c["limits"] = map[string]any{"max-body-bytes": 1 << 20, "max-header-bytes": 2000, "idle-timeout-ms": idleTimeout.Milliseconds(), "header-timeout-ms": 60_000}
	})
	f := d.startReadyFront("front-1")

	got := f.call(http.MethodGet, "/read/x", "r", func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 2000)) })
	require.NoError(t, got.err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, got.status)

	conn, err := net.Dial("tcp", f.callerAddress)
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	reader := bufio.NewReader(conn)
	call := func(n int) {
		_, err := fmt.Fprintf(conn, "GET /read/x HTTP/1.1\r\nHost: gates.example\r\nRequest-Id: k-%d\r\nX-Api-Key: key-1\r\n\r\n", n)
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		_, err = bufio.NewReader(resp.Body).WriteTo(&strings.Builder{})
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	for n := range 4 {
		call(n)
		time.Sleep(idleTimeout / 2)
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = reader.ReadByte()
	require.ErrorContains(t, err, "EOF", "an idle connection stays open")
}

// Guards against request headers that take longer than the configured timeout, and
// against connections that are closed before a long configured timeout.
func TestHeaderTimeoutIsConfigurable(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "svc", nil)
	configureHeaderTimeout := func(timeout time.Duration) {
		d.configure(func(c map[string]any) {
			c["limits"] = map[string]any{"header-timeout-ms": timeout.Milliseconds(), "idle-timeout-ms": 60_000}
		})
	}
	configureHeaderTimeout(time.Minute)
	f := d.startReadyFront("front-1")
	sendPartialHeader := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", f.callerAddress)
		require.NoError(t, err)
		_, err = fmt.Fprint(conn, "GET /read/x HTTP/1.1\r\nHost: gates.example\r\nRequest-Id: k\r\n")
		require.NoError(t, err)
		return conn, bufio.NewReader(conn)
	}
	slow, reader := sendPartialHeader()
	defer func() { require.NoError(t, slow.Close()) }()
	time.Sleep(6 * time.Second)
	_, err := fmt.Fprint(slow, "X-Api-Key: key-1\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err, "connection closed before the header timeout")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())

	configureHeaderTimeout(time.Second)
	startedAt := time.Now()
	late, reader := sendPartialHeader()
	defer func() { require.NoError(t, late.Close()) }()
	require.NoError(t, late.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = reader.ReadByte()
	require.ErrorContains(t, err, "EOF", "the header timeout is not enforced")
	require.Greater(t, time.Since(startedAt), time.Second, "connection closed before the header timeout")
}
