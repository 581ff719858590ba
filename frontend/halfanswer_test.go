package frontend_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// withLargeBody gives a request a body that does not fit into the buffers of a connection.
func withLargeBody(r *http.Request) {
	body := make([]byte, 4<<20)
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
}

// Guards against a part of an answer that a caller gets as a complete success: the server
// answers a long upload at once, without a length, and resets the connection while the
// upload is being written. A call that may run only once is not sent again.
func TestResetDuringUploadIsNoSuccess(t *testing.T) {
	cases := map[string]struct{ path, part string }{
		"plain":  {"/log/x", "part"},
		"stream": {"/draft/x", eventOne},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const calls = 5
			d := newDeployment(t)
			d.configure(func(config map[string]any) {
				config["limits"] = map[string]any{"max-body-bytes": 8 << 20}
			})
			var requests atomic.Int64
			d.startRawUpstream("i-1", func(conn net.Conn, r rawRequest) bool {
				requests.Add(1)
				write(t, conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n%s", r.id, c.part))
				_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the front has closed the connection
				return false
			})
			f := d.startReadyFront("front-1")
			for i := range calls {
				got := f.call(http.MethodPost, c.path, fmt.Sprint("r-", i), withLargeBody)
				require.False(t, got.err == nil && got.status == http.StatusOK, "status %d, body %q", got.status, got.body)
			}
			require.Positive(t, requests.Load())
			require.LessOrEqual(t, requests.Load(), int64(calls))
		})
	}
}

// Guards against an answer with a status that is none of HTTP, which a caller would get.
func TestInvalidStatusIsNotForwarded(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "1000", "+20", "20x"} {
		t.Run(status, func(t *testing.T) {
			d := newDeployment(t)
			var requests atomic.Int64
			d.startRawUpstream("i-1", func(conn net.Conn, r rawRequest) bool {
				requests.Add(1)
				write(t, conn, fmt.Sprintf("HTTP/1.1 %s OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok", status, r.id))
				return false
			})
			f := d.startReadyFront("front-1")
			for _, path := range []string{"/log/x", "/draft/x"} {
				got := f.call(http.MethodPost, path, "r"+path, nil)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status)
			}
			require.LessOrEqual(t, requests.Load(), int64(2), "a call that may have run was sent again")
		})
	}
}
