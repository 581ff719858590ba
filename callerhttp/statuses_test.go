package callerhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a success that the handler did not decide: http.Server itself answers
// OPTIONS * with status 200.
func TestHandlerDecidesAllSuccesses(t *testing.T) {
	s := newServed(t, nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }).start()
	for _, request := range []string{"OPTIONS * HTTP/1.1", "OPTIONS /x HTTP/1.1", "GET * HTTP/1.1", "HEAD /x HTTP/1.1"} {
		t.Run(request, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			_, err = io.WriteString(conn, request+"\r\nHost: a.example\r\n\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodHead})
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Contains(t, []int{http.StatusTeapot, http.StatusBadRequest}, resp.StatusCode)
		})
	}
}
