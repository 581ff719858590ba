package record_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/record"
)

// startRawService starts a service that answers each request with the bytes that answer
// returns for its path. earlier are the paths of the requests before it on the connection.
// It closes the connection after an answer without a length.
func startRawService(t *testing.T, answer func(earlier []string, path string) (text string, hasLength bool)) (baseURL string) {
	t.Helper()
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
				var earlier []string
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					text, hasLength := answer(earlier, r.URL.Path)
					if _, err := io.WriteString(conn, text); err != nil || !hasLength {
						return
					}
					earlier = append(earlier, r.URL.Path)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

func get(t *testing.T, client *record.ServiceClient, workspace, path string) (body string, err error) {
	t.Helper()
	response, err := client.Do(t.Context(), &record.Call{Call: core.Call{Method: http.MethodGet, Path: path}, Workspace: core.WorkspaceID(workspace)})
	return string(response.Body), err
}

// Guards against a call that gets the answer of an earlier call, perhaps of another
// workspace, because the service writes it once more on a kept connection.
func TestCallGetsNoEarlierAnswer(t *testing.T) {
	response := func(path string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + path
	}
	baseURL := startRawService(t, func(earlier []string, path string) (string, bool) {
		text := ""
		for _, p := range earlier {
			text += response(p)
		}
		return text + response(path), true
	})
	client, err := record.NewServiceClient(baseURL)
	require.NoError(t, err)
	for _, path := range []string{"/a", "/b", "/c"} {
		body, err := get(t, client, "workspace"+path, path)
		require.NoError(t, err)
		require.Equal(t, path, body)
	}
}

// Guards against an answer that counts as complete although the service ended after its
// head, so that a caller receives a success with an empty body.
func TestHeadWithoutLengthOrBodyIsNoAnswer(t *testing.T) {
	baseURL := startRawService(t, func(_ []string, path string) (string, bool) {
		if path == "/cut" {
			return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", false
		}
		return "HTTP/1.1 204 No Content\r\n\r\n", true
	})
	client, err := record.NewServiceClient(baseURL)
	require.NoError(t, err)
	_, err = get(t, client, "w", "/cut")
	require.Equal(t, errs.Unknown, errs.KindOf(err), "%v", err)
	_, err = get(t, client, "w", "/empty")
	require.NoError(t, err, "a response with status 204 has no body")
}
