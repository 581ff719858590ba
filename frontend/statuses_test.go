package frontend_test

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a success that no server gave, for requests with the method OPTIONS: the
// HTTP library or the router of a listener can answer them by itself.
func TestOptionsGetNoImplicitSuccess(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "svc", nil)
	f := d.startReadyFront("front-1")
	for _, c := range []struct{ name, address, target string }{
		{"callers, server-wide", f.callerAddress, "*"},
		{"readiness, server-wide", f.readinessAddress, "*"},
		{"readiness", f.readinessAddress, "/-/readiness"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := dial(t, c.address)
			send(t, conn, "OPTIONS "+c.target+" HTTP/1.1\r\nHost: gates.example\r\nRequest-Id: r\r\n\r\n")
			require.GreaterOrEqual(t, readResponse(t, bufio.NewReader(conn)).StatusCode, http.StatusBadRequest)
		})
	}
}
