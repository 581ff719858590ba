package httplimit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a part of a response without a length that counts as complete because the
// server has closed the connection while the request was still to be written.
func TestEndBeforeRequestIsNoEndOfResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}()
	rest, unsent := io.Pipe() // the rest of the request is not available yet
	defer func() { _ = unsent.Close() }()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String(), io.MultiReader(strings.NewReader("begin"), rest))
	require.NoError(t, err)
	response, err := httplimit.Do(httplimit.NewClient(), request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	require.Error(t, err, "body %q", body)
}

// Guards against a sound response without a length that counts as incomplete.
func TestEndAfterRequestIsEndOfResponse(t *testing.T) {
	server, err := standin.StartRaw(func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		return false
	})
	require.NoError(t, err)
	defer server.Close()
	client := httplimit.NewClient()
	for range 50 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address(), strings.NewReader(strings.Repeat("x", 1<<20)))
		require.NoError(t, err)
		response, err := httplimit.Do(client, request)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
		require.NoError(t, response.Body.Close())
	}
}
