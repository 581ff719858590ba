package frontend_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// sharedAfter is the time after which what one front observed has reached the others.
const sharedAfter = 3 * time.Second

// callConcurrently sends calls at the same time and waits for the responses.
func (f *front) callConcurrently(method, path string, calls int) []response {
	responses := make([]response, calls)
	var sent sync.WaitGroup
	for i := range calls {
		sent.Go(func() { responses[i] = f.call(method, path, fmt.Sprint("r-", time.Now().UnixNano(), i), nil) })
	}
	sent.Wait()
	return responses
}

// putIncarnation lists a new incarnation of a server at its address.
func (d *deployment) putIncarnation(id, address string, born int64) {
	d.store.Put("servers", id, map[string]any{
		"service": "svc", "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "born": born,
	})
}

// Guards against calls to a server that has announced in an answer, also in a refusal or
// a failure, that it leaves while its row still says that it is ready: from the front
// that received the answer at once, from the others after the exchange. Also guards
// against a server that gets no calls after a restart.
func TestLeavingServerGetsNoFurtherCalls(t *testing.T) {
	cases := map[string]struct {
		method, path string
		answer       func(s *standin.PlatformServer, w http.ResponseWriter)
	}{
		"success": {http.MethodGet, "/read/x", func(s *standin.PlatformServer, w http.ResponseWriter) { s.Answer(w, http.StatusOK, "served") }},
		"refusal": {http.MethodPost, "/log/x", func(s *standin.PlatformServer, w http.ResponseWriter) { s.Reject(w) }},
		"failure": {http.MethodGet, "/read/x", func(s *standin.PlatformServer, w http.ResponseWriter) {
			s.Answer(w, http.StatusInternalServerError, "failed")
		}},
		"stream": {http.MethodPost, "/draft/x", func(s *standin.PlatformServer, w http.ResponseWriter) { s.Events(w, 1, 2, 0) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			script := func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
				return func(w http.ResponseWriter, _ *http.Request, _ []byte) { c.answer(s, w) }
			}
			leaving := d.startServer("i-leaving", "svc", script)
			d.startServer("i-other", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
				return func(w http.ResponseWriter, r *http.Request, _ []byte) {
					if r.Method == http.MethodPost && r.URL.Path == "/draft/x" {
						s.Events(w, 1, 2, 0)
						return
					}
					s.Answer(w, http.StatusOK, "served")
				}
			})
			row, ok := d.store.Row("servers", "i-leaving")
			require.True(t, ok)
			fronts := []*front{d.startReadyFront("front-1"), d.startReadyFront("front-2")}
			leaving.SetLeaving(true)
			d.eventually(func() bool {
				fronts[0].callConcurrently(c.method, c.path, 8)
				return len(leaving.Seen()) > 0
			}, "no call reached the server")
			for _, got := range fronts[0].callConcurrently(c.method, c.path, 40) {
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
			}
			require.Empty(t, leaving.Seen(), "calls of the front that received the announcement")
			time.Sleep(sharedAfter)
			fronts[0].callConcurrently(c.method, c.path, 40)
			fronts[1].callConcurrently(c.method, c.path, 40)
			require.Empty(t, leaving.Seen(), "calls after the exchange between the fronts")

			leaving.SetLeaving(false)
			d.putIncarnation("i-leaving", addressOfRow(t, row), 2)
			d.eventually(func() bool {
				fronts[0].callConcurrently(c.method, c.path, 8)
				return len(leaving.Seen()) > 0
			}, "the new incarnation gets no calls")
		})
	}
}

// Guards against a stream that is interrupted because its server announces that it
// leaves, and against calls to that server although it is the only one.
func TestStreamContinuesAtLeavingServer(t *testing.T) {
	d := newDeployment(t)
	finish := make(chan struct{})
	allowEnd := sync.OnceFunc(func() { close(finish) })
	s := d.startServer("i-1", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, r *http.Request, _ []byte) {
			if r.URL.Path != "/draft/x" {
				s.Answer(w, http.StatusOK, "served")
				return
			}
			s.Events(w, 1, 1, 0)
			<-finish
			s.Events(w, 2, 2, 0)
		}
	})
	f := d.startReadyFront("front-1")
	t.Cleanup(allowEnd)
	stream := make(chan response, 1)
	go func() { stream <- f.call(http.MethodPost, "/draft/x", "r-stream", nil) }()
	d.eventually(func() bool { return len(s.Seen()) == 1 }, "the stream does not start")
	s.SetLeaving(true)
	require.Equal(t, http.StatusOK, f.call(http.MethodGet, "/read/x", "r-1", nil).status)
	require.Len(t, s.Seen(), 1)
	got := f.call(http.MethodGet, "/read/x", "r-2", nil)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, s.Seen())
	allowEnd()
	whole := <-stream
	require.NoError(t, whole.err)
	require.Equal(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n", whole.body)
}

// addressOfRow returns the address in the row of a server.
func addressOfRow(t *testing.T, row []byte) string {
	t.Helper()
	var fields struct {
		Address string `json:"address"`
	}
	require.NoError(t, json.Unmarshal(row, &fields))
	return fields.Address
}
