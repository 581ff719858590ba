package frontend_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer whose length is ambiguous and that is forwarded as complete.
func TestAmbiguousLengthIsNotComplete(t *testing.T) {
	cases := map[string]struct {
		version, headers, body string
		complete               bool
	}{
		"two lengths":                {"1.1", "Content-Length: 4\r\nContent-Length: 2\r\n", "done", false},
		"two lengths in one":         {"1.1", "Content-Length: 4, 2\r\n", "done", false},
		"same length twice":          {"1.1", "Content-Length: 4\r\nContent-Length: 4\r\n", "done", true},
		"negative length":            {"1.1", "Content-Length: -1\r\n", "done", false},
		"signed length":              {"1.1", "Content-Length: +4\r\n", "done", false},
		"length that is no number":   {"1.1", "Content-Length: 4x\r\n", "done", false},
		"chunks and a length":        {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "4\r\ndone\r\n0\r\n\r\n", true},
		"length of a body in chunks": {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "done", false},
		"unsupported encoding":       {"1.1", "Transfer-Encoding: gzip\r\n", "done", false},
		"old version":                {"1.0", "Content-Length: 4\r\n", "done", true},
		"old version, kept":          {"1.0", "Connection: keep-alive\r\nContent-Length: 4\r\n", "done", true},
		"old version, until close":   {"1.0", "", "done", true},
		"old version, short":         {"1.0", "Content-Length: 5\r\n", "done", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.startRawUpstream("i-1", func(conn net.Conn, r rawRequest) bool {
				write(t, conn, fmt.Sprintf("HTTP/%s 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n%s\r\n%s", c.version, r.id, c.headers, c.body))
				return c.complete && c.headers != "" // otherwise the end of the connection ends the body
			})
			f := d.startReadyFront("front-1")
			for i := range 2 {
				got := f.call(http.MethodPost, "/log/x", fmt.Sprintf("r-%d", i), nil)
				require.NoError(t, got.err)
				if !c.complete {
					require.Equal(t, http.StatusBadGateway, got.status)
					continue
				}
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "done", got.body)
			}
		})
	}
}
