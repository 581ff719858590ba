package frontend_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/frontend"
	"waxwingtide.example/waxwingtide/standin"
)

// patience bounds how long a test waits for something that comes soon.
const patience = 10 * time.Second

// world is a deployment of stand-ins with one or more fronts in this process.
type world struct {
	t       *testing.T
	store   *standin.PlatformStore
	storeAt string
	version int
	seeds   []string
}

// front is a running front.
type front struct {
	callers   string
	readiness string
	inner     string
	stop      context.CancelFunc
	ended     chan error
}

func newWorld(t *testing.T) *world {
	t.Helper()
	store := standin.NewPlatformStore()
	server := httptest.NewUnstartedServer(store)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		store.Close()
	})
	w := &world{t: t, store: store, storeAt: server.Listener.Addr().String()}
	w.configure(nil)
	return w
}

// configure writes a configuration with the usual routes, changed by edit.
func (w *world) configure(edit func(config map[string]any)) {
	w.version += 3
	route := func(name, kind string, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "gates.example", "prefix": "/" + name + "/", "kind": kind, "service": "svc",
			"timeout-ms": 3000, "target-latency-ms": 800, "priority": 1, "max-attempts": 2, "public": false,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	config := map[string]any{
		"version": w.version,
		"routes": []any{
			route("read", "safe", nil), route("log", "unsafe", nil),
			route("draft", "streaming", map[string]any{"max-attempts": 1}),
			route("verdict", "streaming", map[string]any{"resumable": true}),
			route("open", "safe", map[string]any{"public": true}),
			route("slow", "safe", map[string]any{"timeout-ms": 300}),
			route("read/inner", "safe", map[string]any{"service": "other"}),
		},
		"services": []any{
			map[string]any{"name": "svc", "max-connections": 50}, map[string]any{"name": "other", "max-connections": 50},
		},
		"limits":  map[string]any{"max-body-bytes": 1 << 20},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": []string{"key-1"}}},
	}
	if edit != nil {
		edit(config)
	}
	w.store.Put("op", "config", config)
}

// server starts a stand-in server and lists it.
func (w *world) server(id, service string, script func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte)) *standin.PlatformServer {
	s := standin.NewPlatformServer(id)
	if script != nil {
		s.Script = script(s)
	}
	http := httptest.NewUnstartedServer(s)
	http.Config.ErrorLog = log.New(io.Discard, "", 0)
	http.Start()
	w.t.Cleanup(func() {
		http.CloseClientConnections()
		http.Close()
	})
	w.list(id, service, http.Listener.Addr().String(), "ready")
	return s
}

func (w *world) list(id, service, address, state string) {
	w.store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": state, "born": 1,
	})
}

// portsFrom is the first port of the fronts. It lies below the range from which
// the kernel takes ports of outgoing connections.
const portsFrom = 20000

var ports atomic.Int32

// freeAddress returns an address that nothing else takes before the front
// listens on it: the loopback address belongs to this process and each port is
// given out once. Other test processes use other loopback addresses.
func freeAddress() string { return standin.LoopbackAddress(portsFrom + int(ports.Add(1))) }

// front starts a front and waits until it is ready.
func (w *world) front(name string) *front {
	w.t.Helper()
	f := w.startFront(name)
	w.eventually(func() bool { return f.ready() }, "front is not ready")
	return f
}

func (w *world) startFront(name string) *front {
	w.t.Helper()
	f := &front{callers: freeAddress(), readiness: freeAddress(), inner: freeAddress(), ended: make(chan error, 1)}
	seeds := ""
	if len(w.seeds) > 0 {
		seeds = `"` + strings.Join(w.seeds, `","`) + `"`
	}
	body := fmt.Sprintf(`
node: %s
failure_domain: z1
callers: %q
readiness: %q
inner: %q
metrics: %q
seeds: [%s]
store: %q
bounds: {lease: 3000ms, weights: 10s, grace: 1s, cold_over: 1.5, cold_slack: 5, retry_share: 0.2, retry_slack: 50, retry_window: 10s}
stop: {rotation: 100ms}
rollout: {canary_share: 0.3}
log: {level: error}
`, name, f.callers, f.readiness, f.inner, freeAddress(), seeds, w.storeAt)
	file := filepath.Join(w.t.TempDir(), "front.yaml")
	require.NoError(w.t, os.WriteFile(file, []byte(body), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.ended <- frontend.Run(ctx, file) }()
	w.seeds = append(w.seeds, f.inner)
	w.t.Cleanup(func() {
		cancel()
		select {
		case err := <-f.ended:
			require.NoError(w.t, err)
		case <-time.After(patience):
			w.t.Error("front did not stop")
		}
	})
	return f
}

func (f *front) ready() bool {
	resp, err := http.Get("http://" + f.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func (w *world) eventually(condition func() bool, message string) {
	w.t.Helper()
	require.Eventually(w.t, condition, patience, 10*time.Millisecond, message)
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to a front.
func (f *front) call(method, path, id string, edit func(r *http.Request)) reply {
	return f.callContext(context.Background(), method, path, id, edit)
}

func (f *front) callContext(ctx context.Context, method, path, id string, edit func(r *http.Request)) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.callers+path, strings.NewReader("the body"))
	if err != nil {
		return reply{err: err}
	}
	req.Host = "gates.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("X-Api-Key", "key-1")
	req.Header.Set("Deadline-Ms", "2500")
	if edit != nil {
		edit(req)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
