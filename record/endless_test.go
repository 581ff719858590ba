package record_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against an agent that keeps the bytes of a head without end until its machine
// runs out of memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "lot 7") {
		t.Run(form, func(t *testing.T) {
			server, err := standin.StartEndless(answer)
			require.NoError(t, err)
			defer server.Close()
			client, err := record.NewServiceClient("http://" + server.Address())
			require.NoError(t, err)
			_, err = get(t, client, "w", "/lots")
			require.ErrorContains(t, err, "exceeded")
			require.Equal(t, errs.Unknown, errs.KindOf(err))
			<-server.Closed()
		})
	}
}

// Guards against an agent that keeps a body without end of each of its calls at once until
// its machine runs out of memory.
func TestLargeBodiesAreReadFewAtATime(t *testing.T) {
	const maxLarge, bodyBytes = 8, 3 << 20
	written, release := make(chan struct{}, 2*maxLarge), make(chan struct{})
	server, err := standin.StartRaw(func(conn net.Conn, r *http.Request, _ int) bool {
		if r.URL.Path == "/small" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return false
		}
		// The send buffer is much smaller than the body, so that the client has read most of it.
		_ = conn.(*net.TCPConn).SetWriteBuffer(128 << 10)
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("a", bodyBytes))
		if err == nil {
			written <- struct{}{}
			<-release
		}
		return false
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client, err := record.NewServiceClient("http://" + server.Address())
	require.NoError(t, err)
	var calls conc.WaitGroup
	for range maxLarge {
		calls.Go(func() {
			body, err := get(t, client, "w", "/large")
			assert.NoError(t, err)
			assert.Len(t, body, bodyBytes)
		})
	}
	for range maxLarge {
		<-written
	}
	// A slow machine can only hide a fault here: the call that waits never ends otherwise.
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = client.Do(ctx, &record.Call{Call: core.Call{Method: http.MethodGet, Path: "/large"}, Workspace: "w"})
	require.Equal(t, errs.Unknown, errs.KindOf(err), "%v", err)
	require.Empty(t, written, "the client has read a further large body")
	body, err := get(t, client, "w", "/small")
	require.NoError(t, err, "a small body waits for large ones")
	require.Equal(t, "ok", body)
	close(release)
	calls.Wait()
	body, err = get(t, client, "w", "/large")
	require.NoError(t, err, "no place is free after the large bodies")
	require.Len(t, body, bodyBytes)
}

// Guards against an agent that keeps a body without end of its service until its machine
// runs out of memory.
func TestEndlessBodyIsGivenUp(t *testing.T) {
	server, err := standin.StartEndless(standin.EndlessAnswer{
		Start: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "a", MaxBytes: 8 << 20,
	})
	require.NoError(t, err)
	defer server.Close()
	client, err := record.NewServiceClient("http://" + server.Address())
	require.NoError(t, err)
	_, err = get(t, client, "w", "/lots")
	require.Equal(t, errs.Unknown, errs.KindOf(err), "%v", err)
	<-server.Closed()
}
