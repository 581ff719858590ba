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

// Guards against limits of the configuration that do not hold: connections that
// stay open although they are idle for too long, connections in use that are
// closed, and heads that are too large.
func TestLimitsOfTheConfigurationHold(t *testing.T) {
	const idle = 1500 * time.Millisecond
	w := newWorld(t)
	w.server("i-1", "svc", nil)
	w.configure(func(c map[string]any) {
		c["limits"] = map[string]any{"max-body-bytes": 1 << 20, "max-header-bytes": 2000, "idle-timeout-ms": idle.Milliseconds(), "header-timeout-ms": 60_000}
	})
	f := w.front("front-1")

	got := f.call(http.MethodGet, "/read/x", "r", func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 2000)) })
	require.NoError(t, got.err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, got.status)

	conn, err := net.Dial("tcp", f.callers)
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
		time.Sleep(idle / 2)
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
	_, err = reader.ReadByte()
	require.ErrorContains(t, err, "EOF", "an idle connection stays open")
}

// Guards against heads that take longer than the configuration allows, and
// against callers within a long limit whose connections are closed.
func TestTimeForHeadsFollowsTheConfiguration(t *testing.T) {
	w := newWorld(t)
	w.server("i-1", "svc", nil)
	limit := func(d time.Duration) {
		w.configure(func(c map[string]any) {
			c["limits"] = map[string]any{"header-timeout-ms": d.Milliseconds(), "idle-timeout-ms": 60_000}
		})
	}
	limit(time.Minute)
	f := w.front("front-1")
	open := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", f.callers)
		require.NoError(t, err)
		_, err = fmt.Fprint(conn, "GET /read/x HTTP/1.1\r\nHost: gates.example\r\nRequest-Id: k\r\n")
		require.NoError(t, err)
		return conn, bufio.NewReader(conn)
	}
	slow, reader := open()
	defer func() { require.NoError(t, slow.Close()) }()
	time.Sleep(6 * time.Second)
	_, err := fmt.Fprint(slow, "X-Api-Key: key-1\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err, "a head within the limit is cut off")
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())

	limit(time.Second)
	begun := time.Now()
	late, reader := open()
	defer func() { require.NoError(t, late.Close()) }()
	require.NoError(t, late.SetReadDeadline(time.Now().Add(patience)))
	_, err = reader.ReadByte()
	require.ErrorContains(t, err, "EOF", "a head may take for ever")
	require.Greater(t, time.Since(begun), time.Second, "a head within the limit is cut off")
}
