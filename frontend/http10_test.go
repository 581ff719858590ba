package frontend_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a stream that appears complete before its last event, for callers with
// HTTP/1.0: their responses have no length and end with the connection.
func TestCutStreamIsResetForHTTP10(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "svc", func(*standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			w.Header().Set("Response-Seal", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	f := d.startReadyFront("front-1")
	conn := f.dial(t)
	send(t, conn, "GET /draft/x HTTP/1.0\r\nHost: gates.example\r\nX-Api-Key: key-1\r\nRequest-Id: r\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err, "a stream that was cut appears complete")
}
