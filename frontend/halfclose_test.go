package frontend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// sendHalfClosed sends a request and closes the sending side of its connection.
func (f *front) sendHalfClosed(t *testing.T, path string) *bufio.Reader {
	t.Helper()
	conn := f.dial(t)
	send(t, conn, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: gates.example\r\nX-Api-Key: key-1\r\nRequest-Id: r\r\n\r\n", path))
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	return bufio.NewReader(conn)
}

// Guards against an empty success, which no server sent, for callers that close only their
// sending side while their call runs or waits.
func TestHalfClosedCallerGetsNoImplicitSuccess(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			select {
			case <-r.Context().Done():
			case <-time.After(500 * time.Millisecond):
			}
			s.Answer(w, http.StatusOK, "served")
		}
	})
	f := d.startReadyFront("front-1")
	for _, path := range []string{"/read/x", "/log/x", "/draft/x", "/read/inner/x"} {
		t.Run(path, func(t *testing.T) {
			resp, err := http.ReadResponse(f.sendHalfClosed(t, path), nil)
			require.NoError(t, err, "the connection ended without a response")
			defer func() { _ = resp.Body.Close() }()
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "an answer that no server gave promises nothing")
			require.Empty(t, resp.Header.Get("Response-Seal"))
		})
	}
}

// Guards against a stream that appears complete before its last event, for callers that
// close only their sending side while they receive it.
func TestHalfClosedCallerGetsNoCutStreamAsComplete(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "svc", func(*standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			w.Header().Set("Response-Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			for i := range 10 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
				_ = http.NewResponseController(w).Flush()
				select {
				case <-r.Context().Done():
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		}
	})
	f := d.startReadyFront("front-1")
	conn := f.dial(t)
	send(t, conn, "GET /draft/x HTTP/1.1\r\nHost: gates.example\r\nX-Api-Key: key-1\r\nRequest-Id: r\r\n\r\n")
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		require.Contains(t, string(body), "id: 10\n", "a stream that was cut appears complete")
	}
}
