package record_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/standin"
)

// startRawService starts a service that writes the answers to the paths of a connection's
// requests. It closes the connection after an answer without a length.
func startRawService(t *testing.T, answer func(path string, number int) (text string, hasLength bool)) (baseURL string) {
	t.Helper()
	server, err := standin.StartRaw(func(conn net.Conn, r *http.Request, number int) bool {
		text, hasLength := answer(r.URL.Path, number)
		_, err := io.WriteString(conn, text)
		return err == nil && hasLength
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return "http://" + server.Address()
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
	baseURL := startRawService(t, func(path string, number int) (string, bool) {
		if number > 1 {
			return response("/z") + response(path), true
		}
		return response(path), true
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
	baseURL := startRawService(t, func(path string, _ int) (string, bool) {
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

// Guards against an answer that counts as complete although the service ended inside its
// body, so that a caller receives a part of it as a success.
func TestCutBodyWithoutLengthIsNoAnswer(t *testing.T) {
	const text = `{"lot":"7","state":{"door":"open"}}`
	for length := range len(text) {
		baseURL := startRawService(t, func(string, int) (string, bool) {
			return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + text[:length], false
		})
		client, err := record.NewServiceClient(baseURL)
		require.NoError(t, err)
		_, err = get(t, client, "w", "/cut")
		require.Equal(t, errs.Unknown, errs.KindOf(err), "body %q: %v", text[:length], err)
	}
}

// Guards against a complete answer without a length that counts as cut.
func TestWholeBodyWithoutLengthIsAnswer(t *testing.T) {
	answers := map[string]string{
		"application/json":         `{"lot":"7"}` + "\n",
		"application/problem+json": `{"lot":"7"}{"lot":"8"}`,
		"text/plain":               `{"lot`,
	}
	for contentType, text := range answers {
		baseURL := startRawService(t, func(string, int) (string, bool) {
			return "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n\r\n" + text, false
		})
		client, err := record.NewServiceClient(baseURL)
		require.NoError(t, err)
		body, err := get(t, client, "w", "/whole")
		require.NoError(t, err, contentType)
		require.Equal(t, text, body)
	}
}
