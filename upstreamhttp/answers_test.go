package upstreamhttp_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/standin"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

// exchange sends a request with a body and reads the response to its end.
func exchange(t *testing.T, address string, body []byte) ([]byte, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", nil)
	require.NoError(t, err)
	request.ContentLength = int64(len(body))
	x, err := upstreamhttp.NewClient(&net.Dialer{}).Send(t.Context(), upstreamhttp.NewIdlePool(1), upstreamhttp.Request{
		Address: address, HTTPRequest: request, Body: body, Deadline: time.Now().Add(20 * time.Second),
		Matches: func(int, http.Header) bool { return true }, Memory: membudget.New("responses", 1<<20).Open(),
	})
	if err != nil {
		return nil, err
	}
	defer x.Finish(false, 0)
	return io.ReadAll(x.Response.Body)
}

// Guards against a part of an answer without a length that counts as whole because the
// connection was reset while the request was being written: the writer takes the error of
// the reset, and the reader then sees a plain end.
func TestResetDuringUploadIsNoEndOfAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\npart"
	cases := map[string]struct {
		end   func(conn *net.TCPConn)
		whole bool
	}{
		"reset":                    {func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, false},
		"closed with unread bytes": {func(*net.TCPConn) {}, false},
		"half-closed, read on": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
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
					_, _ = io.WriteString(conn, answer)
					time.Sleep(5 * time.Millisecond) // the upload fills the buffers of the connection
					c.end(conn.(*net.TCPConn))
					_ = conn.Close()
				}
			}()
			for range 5 {
				body, err := exchange(t, listener.Addr().String(), bytes.Repeat([]byte("x"), 8<<20))
				if c.whole {
					require.NoError(t, err)
					require.Equal(t, "part", string(body))
					continue
				}
				require.Error(t, err, "body %q", body)
			}
		})
	}
}

// Guards against a message that counts as an answer, or is skipped as an interim one,
// although its status is none: the call may then have run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	cases := map[string]bool{
		"000 None": false, "099 None": false, "600 None": false, "999 None": false, "1000 None": false, "2 OK": false, "20x OK": false,
		"-20 OK": false, "+20 OK": false, "101 Switching Protocols": false, "200 OK": true, "200": true, "599 None": true,
	}
	for status, valid := range cases {
		t.Run(status, func(t *testing.T) {
			server, err := standin.StartRaw(func(conn net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return false
			})
			require.NoError(t, err)
			defer server.Close()
			_, err = exchange(t, server.Address(), []byte("x"))
			if valid {
				require.NoError(t, err)
				return
			}
			require.True(t, errs.Is(err, errs.Unknown), "%v", err)
		})
	}
}
