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

// testTimeout is the maximum time that a test waits for an expected condition.
const testTimeout = 10 * time.Second

// deployment is a set of stand-in servers, a stand-in metadata store and one or more
// fronts, all in this process.
type deployment struct {
	t            *testing.T
	store        *standin.PlatformStore
	storeAddress string
	version      int
	seeds        []string
	// extraSettings are added to the settings of the fronts.
	extraSettings string
}

// front is a running front with the addresses of its listeners.
type front struct {
	callerAddress    string
	readinessAddress string
	innerAddress     string
	metricsAddress   string
	// grace is the time of a planned stop.
	grace time.Duration
	// memoryMB is the memory of the process in MB; 0 leaves the setting unset.
	memoryMB int
	stop     context.CancelFunc
	exited   chan error
}

func newDeployment(t *testing.T) *deployment {
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
	d := &deployment{t: t, store: store, storeAddress: server.Listener.Addr().String()}
	d.configure(nil)
	return d
}

// configure writes the default configuration after edit has changed it.
func (d *deployment) configure(edit func(config map[string]any)) {
	d.version += 3
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
		"version": d.version,
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
	d.store.Put("op", "config", config)
}

// startServer starts a stand-in server and adds it to the list of upstreams.
func (d *deployment) startServer(id, service string, newHandler func(s *standin.PlatformServer) func(http.ResponseWriter, *http.Request, []byte)) *standin.PlatformServer {
	s := standin.NewPlatformServer(id)
	if newHandler != nil {
		s.Script = newHandler(s)
	}
	httpServer := httptest.NewUnstartedServer(s)
	httpServer.Config.ErrorLog = log.New(io.Discard, "", 0)
	httpServer.Start()
	d.t.Cleanup(func() {
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	d.putUpstreamRow(id, service, httpServer.Listener.Addr().String(), "ready")
	return s
}

func (d *deployment) putUpstreamRow(id, service, address, state string) {
	d.store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "z1", "version": "v1", "slots": 8, "state": state, "born": 1,
	})
}

// firstPort is the base of the fronts' ports. It is below the range from which the
// kernel assigns ports to outgoing connections.
const firstPort = 20000

var allocatedPorts atomic.Int32

// freeAddress returns an address that remains unused until the front listens on it.
// Each port is allocated once, and other test processes use other loopback
// addresses.
func freeAddress() string { return standin.LoopbackAddress(firstPort + int(allocatedPorts.Add(1))) }

// startReadyFront starts a front and waits until it is ready.
func (d *deployment) startReadyFront(name string) *front {
	d.t.Helper()
	f := d.startFront(name)
	d.eventually(func() bool { return f.ready() }, "front is not ready")
	return f
}

func (d *deployment) startFront(name string) *front {
	d.t.Helper()
	return d.runFront(name, newFront())
}

// runFront runs a front that has not started.
func (d *deployment) runFront(name string, f *front) *front {
	d.t.Helper()
	file := d.writeSettings(name, f)
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.exited <- frontend.Run(ctx, file) }()
	d.seeds = append(d.seeds, f.innerAddress)
	d.t.Cleanup(func() {
		cancel()
		select {
		case err := <-f.exited:
			require.NoError(d.t, err)
		case <-time.After(testTimeout):
			d.t.Error("front did not stop")
		}
	})
	return f
}

// newFront returns a front that has not started.
func newFront() *front {
	return &front{callerAddress: freeAddress(), readinessAddress: freeAddress(), innerAddress: freeAddress(), metricsAddress: freeAddress(), grace: time.Second, exited: make(chan error, 1)}
}

// writeSettings writes the settings file of a front and returns its path.
func (d *deployment) writeSettings(name string, f *front) string {
	d.t.Helper()
	seeds := ""
	if len(d.seeds) > 0 {
		seeds = `"` + strings.Join(d.seeds, `","`) + `"`
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
bounds: {lease: 3000ms, weights: 10s, grace: %s, cold_over: 1.5, cold_slack: 5, retry_share: 0.2, retry_slack: 50, retry_window: 10s}
stop: {rotation: 100ms}
rollout: {canary_share: 0.3}
log: {level: error}
memory: {limit_mb: %d}
%s
`, name, f.callerAddress, f.readinessAddress, f.innerAddress, f.metricsAddress, seeds, d.storeAddress, f.grace, f.memoryMB, d.extraSettings)
	file := filepath.Join(d.t.TempDir(), "front.yaml")
	require.NoError(d.t, os.WriteFile(file, []byte(body), 0o600))
	return file
}

func (f *front) ready() bool {
	resp, err := http.Get("http://" + f.readinessAddress + "/-/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) eventually(condition func() bool, message string) {
	d.t.Helper()
	require.Eventually(d.t, condition, testTimeout, 10*time.Millisecond, message)
}

// response is the result of a call, as received by the caller.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to a front, after edit has changed the request.
func (f *front) call(method, path, id string, edit func(r *http.Request)) response {
	return f.callWithContext(context.Background(), method, path, id, edit)
}

func (f *front) callWithContext(ctx context.Context, method, path, id string, edit func(r *http.Request)) response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.callerAddress+path, strings.NewReader("the body"))
	if err != nil {
		return response{err: err}
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
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
