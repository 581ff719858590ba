package frontend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, answer)
		}
	}()
	d.putUpstreamRow(id, "svc", listener.Addr().String(), "ready")
}

func serveRaw(conn net.Conn, answer func(conn net.Conn, r rawRequest) (keep bool)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		raw := rawRequest{id: request.Header.Get("Request-Id"), lastEventID: request.Header.Get("Last-Event-Id"), number: number}
		if !answer(conn, raw) {
			return
		}
	}
}

func write(t *testing.T, conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err != nil {
		t.Logf("the front has closed the connection: %v", err)
	}
}
