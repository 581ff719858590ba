package frontend_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// rawRequest is a request as it reached a raw upstream.
type rawRequest struct {
	id          string
	lastEventID string
	// number counts the requests on the connection, from 1.
	number int
}

// startRawUpstream starts an upstream that answers each request with the bytes that
// answer writes. The connection is closed when answer returns false.
func (d *deployment) startRawUpstream(id string, answer func(conn net.Conn, r rawRequest) (keep bool)) {
	d.t.Helper()
	server, err := standin.StartRaw(func(conn net.Conn, r *http.Request, number int) bool {
		return answer(conn, rawRequest{id: r.Header.Get("Request-Id"), lastEventID: r.Header.Get("Last-Event-Id"), number: number})
	})
	require.NoError(d.t, err)
	d.t.Cleanup(server.Close)
	d.putUpstreamRow(id, "svc", server.Address(), "ready")
}

func write(t *testing.T, conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err != nil {
		t.Logf("the front has closed the connection: %v", err)
	}
}
