package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
)

// Guards against a run that counts as refused, because the engine writes an earlier
// refusal once more on a kept connection after it has read the request of the run.
func TestEarlierRefusalDoesNotRefuseRun(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for kept := false; ; kept = true {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if kept {
						_, _ = io.WriteString(conn, refusal)
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
				}
			}()
		}
	}()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	c := engine.New(engine.Options{BaseURL: "http://" + listener.Addr().String(), HTTP: &http.Client{Transport: transport}})
	_, err = c.Info(t.Context())
	require.NoError(t, err)
	_, _, err = collect(t.Context(), c, request("a", 1))
	require.Error(t, err, "the answer has no events")
	require.False(t, errs.Is(err, errs.Unavailable), "the run counts as refused: %v", err)
}
