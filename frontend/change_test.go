package frontend_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/frontend"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against a front that is ready, or responds to calls with anything but an
// error, before it has read a configuration.
func TestCallsAreRefusedWithoutConfiguration(t *testing.T) {
	d := newDeployment(t)
	d.store.SetDark(true)
	f := d.startFront("front-1")
	d.eventually(func() bool { return f.call(http.MethodGet, "/read/x", "r", nil).err == nil }, "front does not listen")
	got := f.call(http.MethodGet, "/read/x", "r", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.False(t, f.ready())
}

// Guards against calls that are served without the latest changes of the routes, the
// API keys or the list of upstreams.
func TestConfigurationChangesTakeEffect(t *testing.T) {
	d := newDeployment(t)
	server := d.startServer("i-1", "svc", nil)
	d.startServer("i-2", "svc", nil)
	f := d.startReadyFront("front-1")
	status := func() int { return f.call(http.MethodGet, "/read/x", "r", nil).status }
	require.Equal(t, http.StatusOK, status())

	d.putUpstreamRow("i-1", "svc", "127.0.0.1:9", "draining")
	d.eventually(func() bool {
		server.Seen() // discards the earlier requests
		for range 8 {
			status()
		}
		return len(server.Seen()) == 0
	}, "a draining upstream still receives calls")

	d.configure(func(c map[string]any) {
		c["tenants"] = []any{map[string]any{"name": "crew", "api-keys": []string{"key-2"}}}
	})
	d.eventually(func() bool { return status() == http.StatusUnauthorized }, "a removed API key is still accepted")
	d.configure(func(c map[string]any) { c["routes"] = c["routes"].([]any)[1:] })
	d.eventually(func() bool { return status() == http.StatusNotFound }, "a removed route is still served")
}

// Guards against a front that cannot start from the rows of its peers while the
// metadata store is unavailable to it.
func TestFrontStartsFromPeersWithoutStore(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "svc", nil)
	first := d.startReadyFront("front-1")
	d.store.SetDark(true)
	second := d.startReadyFront("front-2")
	require.Equal(t, http.StatusOK, second.call(http.MethodGet, "/read/x", "r", nil).status)
	require.Equal(t, http.StatusOK, first.call(http.MethodGet, "/read/x", "r", nil).status)
}

// Guards against calls that require the metadata store, which may be unavailable for
// a long time.
func TestCallsAreServedWhileStoreIsUnavailable(t *testing.T) {
	d := newDeployment(t)
	d.startServer("i-1", "svc", nil)
	f := d.startReadyFront("front-1")
	d.store.SetDark(true)
	time.Sleep(300 * time.Millisecond)
	for _, path := range []string{"/log/x", "/read/x"} {
		require.Equal(t, http.StatusOK, f.call(http.MethodPost, path, "r", nil).status)
	}
}

// Guards against a planned stop that interrupts calls, or that is not visible in the
// readiness checks.
func TestPlannedStopCompletesCalls(t *testing.T) {
	d := newDeployment(t)
	started, release := make(chan struct{}), make(chan struct{})
	d.startServer("i-1", "svc", func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte) {
		return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			s.Events(w, 1, 1, 0)
			close(started)
			<-release
			s.Events(w, 2, 3, 0)
		}
	})
	f := d.startReadyFront("front-1")
	responses := make(chan response, 1)
	go func() { responses <- f.call(http.MethodPost, "/draft/x", "r", nil) }()
	<-started
	f.stop()
	d.eventually(func() bool { return !f.ready() }, "a stopping front reports that it is ready")
	close(release)
	got := <-responses
	require.NoError(t, got.err)
	require.Contains(t, got.body, "token 3")
}

// Guards against a front that reports ready before it accepts the connections of
// callers, so that the load balancer sends it calls that are refused.
func TestReadinessIsServedAfterCallers(t *testing.T) {
	d := newDeployment(t)
	f := newFront()
	occupied, err := net.Listen("tcp", f.callerAddress)
	require.NoError(t, err)
	defer func() { _ = occupied.Close() }()
	require.Error(t, frontend.Run(t.Context(), d.writeSettings("front-1", f)))
	unused, err := net.Listen("tcp", f.readinessAddress)
	require.NoError(t, err, "readiness was served without a listener for callers")
	require.NoError(t, unused.Close())
}
