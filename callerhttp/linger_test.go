package callerhttp

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/membudget"
)

// Guards against a refusal that is lost because the connection is reset while the client
// still sends its request: clients may send all of it before they read the response.
func TestRefusalReachesClientThatStillSends(t *testing.T) {
	const restBytes = 4 << 20
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	heads := map[string]string{
		"with a length":              fmt.Sprintf("Content-Length: %d\r\n\r\n", restBytes),
		"with a length, not kept":    fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", restBytes),
		"in chunks":                  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", 2*restBytes),
		"with a head without memory": strings.Repeat("a:\r\n", headBudgetBytes/fieldBytes) + "\r\n",
		"with a head that is wrong":  "no field\r\n\r\n",
		"with a head over the limit": "a: " + strings.Repeat("a", 1<<18),
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			s := newServed(t, nil, refuse).withLimits(Limits{Memory: membudget.New("requests", headBudgetBytes)}).start()
			c := s.dial().send("POST /x HTTP/1.1\r\nHost: a.example\r\n" + head)
			piece := strings.Repeat("x", 512<<10)
			for range restBytes / len(piece) {
				c.send(piece)
				time.Sleep(5 * time.Millisecond) // gives a reset time to arrive
			}
			resp, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, err)
		})
	}
}

// Guards against a refusal over TLS that is lost because the connection is reset, and
// against connections with TLS that linger although their requests were read.
func TestRefusalReachesClientOverTLS(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	var served *conn
	s := newServed(t, &tls.Config{Certificates: certified.TLS.Certificates}, func(w http.ResponseWriter, r *http.Request) {
		served = requestConn(r)
		w.WriteHeader(http.StatusServiceUnavailable)
	}).start()
	for _, bodyBytes := range []int{0, 4 << 20} {
		client, err := tls.Dial("tcp", s.address, &tls.Config{InsecureSkipVerify: true})
		require.NoError(t, err)
		defer func() { _ = client.Close() }()
		_, err = fmt.Fprintf(client, "POST /x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NoError(t, client.Close())
		require.Eventually(t, func() bool { return s.server.Counts().Open == 0 }, testTimeout, time.Millisecond)
		require.Equal(t, bodyBytes > 0, served.isLingering())
	}
}

// Guards against connections that are kept for clients that do not stop sending after a
// refusal, and against an end of the server that waits for them.
func TestLingeringIsBounded(t *testing.T) {
	s := newServed(t, nil, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }).start()
	c := s.dial().send("POST /x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: 1000000000\r\n\r\n")
	_, err := io.Copy(c, strings.NewReader(strings.Repeat("x", 64<<20)))
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.server.Counts().Open == 0 }, testTimeout, time.Millisecond)

	s.dial().send("POST /x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nContent-Length: 1000000000\r\n\r\n")
	require.Eventually(t, func() bool { return len(s.conns()) == 2 && s.conns()[1].isLingering() }, testTimeout, time.Millisecond)
	s.server.abandonConns()
	require.ErrorIs(t, s.conns()[1].SetReadDeadline(time.Now()), net.ErrClosed)
}
