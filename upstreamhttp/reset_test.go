package upstreamhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

// connectionEnd is how an upstream sees the end of a connection.
type connectionEnd struct {
	// request is the error of reading the request, end that of reading behind it.
	request, end error
}

// startUpstream starts an upstream that reads one request, calls received, writes an answer
// and waits for the end of the connection.
func startUpstream(t *testing.T, received func(), answer string) (address string, ends <-chan connectionEnd) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	result := make(chan connectionEnd, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		_, requestErr := http.ReadRequest(reader)
		received()
		if answer != "" { // an empty write would take the error of a reset from the read
			_, _ = io.WriteString(conn, answer)
		}
		_, err = io.Copy(io.Discard, reader)
		result <- connectionEnd{requestErr, err}
	}()
	return listener.Addr().String(), result
}

// Guards against requests that are delivered to an upstream after a cut although they were
// given up: the connection of an exchange without a complete response is reset, so that
// bytes on their way are dropped. Connections of complete exchanges end normally.
func TestGivenUpExchangeResetsConnection(t *testing.T) {
	const readTime = time.Second
	cases := map[string]struct {
		answer  string
		timeout time.Duration
		isReset bool
		// leaves is set when the caller leaves once the upstream has the request.
		leaves bool
	}{
		"no answer until the deadline": {"", readTime, true, false},
		"caller leaves":                {"", time.Minute, true, true},
		"invalid head":                 {"HTTX\r\n\r\n", time.Minute, true, false},
		"unfinished body":              {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nserved", time.Minute, true, false},
		"complete":                     {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nserved", time.Minute, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			received := func() {
				if c.leaves {
					cancel()
				}
			}
			address, ends := startUpstream(t, received, c.answer)
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/x", nil)
			require.NoError(t, err)
			memory := membudget.New("responses", 1<<20).Open()
			x, err := upstreamhttp.NewClient(&net.Dialer{}).Send(ctx, upstreamhttp.NewIdlePool(1), upstreamhttp.Request{
				Address: address, HTTPRequest: request, Deadline: time.Now().Add(c.timeout),
				Matches: func(int, http.Header) bool { return true }, Memory: memory,
			})
			if err == nil {
				x.LimitBodyTime(readTime)
				_, err = io.Copy(io.Discard, x.Response.Body)
				x.Finish(false, 0)
			}
			require.Equal(t, c.isReset, err != nil)
			end := <-ends
			require.NoError(t, end.request)
			if c.isReset {
				require.ErrorIs(t, end.end, syscall.ECONNRESET)
			} else {
				require.NoError(t, end.end)
			}
		})
	}
}
