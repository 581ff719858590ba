package frontend_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a front that says it is ready, or invents an answer, before it
// knows a configuration.
func TestWithoutConfigurationNothingIsServed(t *testing.T) {
	w := newWorld(t)
	w.store.SetDark(true)
	f := w.startFront("front-1")
	w.eventually(func() bool { return f.call(http.MethodGet, "/read/x", "r", nil).err == nil }, "front does not listen")
	got := f.call(http.MethodGet, "/read/x", "r", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.False(t, f.ready())
}

// Guards against a change of the configuration, a key or the list of upstreams
// that does not reach the calls.
func TestChangesTakeEffect(t *testing.T) {
	w := newWorld(t)
	one := w.server("i-1", "svc", nil)
	w.server("i-2", "svc", nil)
	f := w.front("front-1")
	status := func() int { return f.call(http.MethodGet, "/read/x", "r", nil).status }
	require.Equal(t, http.StatusOK, status())

	w.list("i-1", "svc", "127.0.0.1:9", "draining")
	w.eventually(func() bool {
		one.Seen()
		for range 8 {
			status()
		}
		return len(one.Seen()) == 0
	}, "a draining upstream still gets calls")

	w.configure(func(c map[string]any) {
		c["tenants"] = []any{map[string]any{"name": "crew", "api-keys": []string{"key-2"}}}
	})
	w.eventually(func() bool { return status() == http.StatusUnauthorized }, "a key that was taken away still holds")
	w.configure(func(c map[string]any) { c["routes"] = c["routes"].([]any)[1:] })
	w.eventually(func() bool { return status() == http.StatusNotFound }, "a dropped route still holds")
}

// Guards against a front that misses a key taken away, or that cannot start,
// while the store serves its peers but not itself.
func TestPeersTellWhatTheStoreDoesNot(t *testing.T) {
	w := newWorld(t)
	w.server("i-1", "svc", nil)
	first := w.front("front-1")
	w.store.SetDark(true)
	second := w.front("front-2")
	require.Equal(t, http.StatusOK, second.call(http.MethodGet, "/read/x", "r", nil).status)
	require.Equal(t, http.StatusOK, first.call(http.MethodGet, "/read/x", "r", nil).status)
}

// Guards against records that depend on the store, which may be away for long.
func TestCallsAreServedWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(t)
	w.server("i-1", "svc", nil)
	f := w.front("front-1")
	w.store.SetDark(true)
	time.Sleep(300 * time.Millisecond)
	for _, path := range []string{"/log/x", "/read/x"} {
		require.Equal(t, http.StatusOK, f.call(http.MethodPost, path, "r", nil).status)
	}
}

// Guards against a planned stop that cuts calls, or that is not announced
// before connections are refused.
func TestPlannedStopFinishesCalls(t *testing.T) {
	w := newWorld(t)
	entered, release := make(chan struct{}), make(chan struct{})
	w.server("i-1", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			s.Events(w, 1, 1, 0)
			close(entered)
			<-release
			s.Events(w, 2, 3, 0)
		}
	})
	f := w.front("front-1")
	answers := make(chan reply, 1)
	go func() { answers <- f.call(http.MethodPost, "/draft/x", "r", nil) }()
	<-entered
	f.stop()
	w.eventually(func() bool { return !f.ready() }, "a stopping front says that it is ready")
	close(release)
	got := <-answers
	require.NoError(t, got.err)
	require.Contains(t, got.body, "token 3")
}
