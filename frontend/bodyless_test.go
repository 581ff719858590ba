package frontend_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against answers without a body that are taken as incomplete, or after which the
// connection is used wrongly, and against a HEAD answer whose length is replaced by 0.
func TestAnswersWithoutBody(t *testing.T) {
	cases := map[string]struct {
		method, head string
		status       int
		length       string
	}{
		"HEAD with a length":    {http.MethodHead, "200 OK\r\nContent-Length: 12", http.StatusOK, "12"},
		"HEAD without a length": {http.MethodHead, "200 OK", http.StatusOK, ""},
		"HEAD with chunks":      {http.MethodHead, "200 OK\r\nTransfer-Encoding: chunked", http.StatusOK, ""},
		"empty":                 {http.MethodPost, "200 OK\r\nContent-Length: 0", http.StatusOK, "0"},
		"204":                   {http.MethodPost, "204 No Content", http.StatusNoContent, ""},
		"204 with a length":     {http.MethodPost, "204 No Content\r\nContent-Length: 12", http.StatusNoContent, ""},
		"304":                   {http.MethodGet, "304 Not Modified", http.StatusNotModified, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			var reused atomic.Int64
			d.startRawUpstream("i-1", func(conn net.Conn, r rawRequest) bool {
				reused.Store(int64(r.number))
				write(t, conn, fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n", c.head, r.id))
				return true
			})
			f := d.startReadyFront("front-1")
			for i := range 3 {
				got := f.call(c.method, "/log/x", fmt.Sprintf("r-%d", i), nil)
				require.NoError(t, got.err)
				require.Equal(t, c.status, got.status)
				require.Empty(t, got.body)
				require.Equal(t, c.length, got.header.Get("Content-Length"))
			}
			require.Equal(t, int64(3), reused.Load(), "the connection is not used again")
		})
	}
}
