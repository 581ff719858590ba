package httplimit_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/httplimit"
)

// Guards against a part of a response without a length that counts as complete because the
// connection was reset during the upload and the write received the error of the reset.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(5 * time.Millisecond) // the upload fills the buffers of the connection
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	client := httplimit.NewClient()
	for range 20 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String(), bytes.NewReader(make([]byte, 8<<20)))
		require.NoError(t, err)
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		require.Error(t, err, "body %q", body)
	}
}
