package frontend_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a server that sends bytes without end, in a head or a body, and so
// exhausts the memory of the front, or whose bytes are forwarded as a complete answer.
func TestEndlessBytesEndTheAttempt(t *testing.T) {
	const maxAccepted = 24 << 20 // what the front may read, with the buffers of the sockets
	garbage := bytes.Repeat([]byte("x"), 64<<10)
	headers := bytes.Repeat([]byte("X-More: and more\r\n"), 4<<10)
	cases := map[string]struct {
		// head is sent before the endless bytes. An empty head stands for that of an
		// answer with a chunked body.
		head, endless []byte
	}{
		"no answer":          {[]byte("HTTP"), garbage},
		"headers":            {[]byte("HTTP/1.1 200 OK\r\n"), headers},
		"one header":         {[]byte("HTTP/1.1 200 OK\r\nX-More: "), garbage},
		"body until the end": {[]byte("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n\r\n"), garbage},
		"answer to another":  {[]byte("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\n\r\n"), garbage},
		"interim answers":    {[]byte("HTTP/1.1 100 Continue\r\n\r\n"), []byte("HTTP/1.1 100 Continue\r\n\r\n")},
		"chunks":             {nil, garbage},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			var accepted atomic.Int64
			ended := make(chan struct{}, 8)
			d.startServer("i-endless", "svc", func(*standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
				return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
					defer func() { ended <- struct{}{} }()
					var out io.Writer = w
					if c.head == nil {
						w.Header().Set("Response-Seal", "s")
					} else {
						conn := hijack(t, w)
						defer func() { _ = conn.Close() }()
						_, _ = conn.Write(c.head)
						out = conn
					}
					for accepted.Load() <= 2*maxAccepted {
						n, err := out.Write(c.endless)
						accepted.Add(int64(n))
						if err != nil {
							return
						}
					}
				}
			})
			f := d.startReadyFront("front-1")
			got := f.call(http.MethodPost, "/log/x", "r", nil)
			require.NoError(t, got.err)
			require.Equal(t, http.StatusBadGateway, got.status)
			<-ended
			require.LessOrEqual(t, accepted.Load(), int64(maxAccepted))

			d.startServer("i-good", "svc", nil)
			d.eventually(func() bool { return f.call(http.MethodGet, "/read/x", "r", nil).body == "served by i-good" }, "a call is not repeated at the other server")
		})
	}
}

func hijack(t *testing.T, w http.ResponseWriter) net.Conn {
	conn, _, err := http.NewResponseController(w).Hijack()
	require.NoError(t, err)
	return conn
}
