package doorstest

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/standin"
)

const (
	// memoryMB is the memory of the front's machine.
	memoryMB = 64
	// maxFDs is the number of descriptors of the process, maxUsedFDs how many of them
	// clients may make it use; the rest is for its own connections.
	maxFDs     = 512
	maxUsedFDs = maxFDs * 3 / 4
	// maxBodyBytes, maxHeaderBytes, headerTimeout and idleTimeout are limits of the
	// configuration.
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
	headerTimeout  = time.Second
	idleTimeout    = 2 * time.Second
	routeTimeout   = 4 * time.Second
	// largeAnswerBytes is the size of the answers of the route "large".
	largeAnswerBytes = 512 << 10
	// testTimeout is the maximum time that a test waits for an expected condition. A
	// condition that holds is seen long before.
	testTimeout = 10 * time.Second
	host        = "gates.example"
	apiKey      = "key-1"
	// firstPort is below the range from which the kernel assigns ports to outgoing
	// connections.
	firstPort = 22000
	// crowdID is the beginning of the request ids of clients that do not behave.
	crowdID = "crowd-"
)

var allocatedPorts atomic.Int32

func freeAddress() string { return standin.LoopbackAddress(firstPort + int(allocatedPorts.Add(1))) }

// machine is what a test grants the process of a front.
type machine struct {
	memoryMB, maxFDs int
	// bodyBytes is the limit of the configuration.
	bodyBytes int
}

var smallMachine = machine{memoryMB: memoryMB, maxFDs: maxFDs, bodyBytes: maxBodyBytes}

// front is a process of waxwing-front between a stand-in store and a stand-in server, or of
// an entry or an agent (daemon_test.go).
type front struct {
	t                                  *testing.T
	callers, readiness, inner, metrics string
	server                             *standin.PlatformServer
	process                            *exec.Cmd
	// ended is closed when the process has ended.
	ended    chan struct{}
	requests int
}

// startFront starts a front and waits until it is ready.
func startFront(t *testing.T, m machine) *front {
	t.Helper()
	f := &front{
		t: t, callers: freeAddress(), readiness: freeAddress(), inner: freeAddress(), metrics: freeAddress(),
		server: standin.NewPlatformServer("i-1"), ended: make(chan struct{}),
	}
	f.server.Script = func(w http.ResponseWriter, r *http.Request, _ []byte) {
		body := "served"
		if strings.HasPrefix(r.URL.Path, "/large/") {
			body = strings.Repeat("x", largeAnswerBytes)
		}
		f.server.Answer(w, http.StatusOK, body)
	}
	store := standin.NewPlatformStore()
	t.Cleanup(store.Close)
	store.PutServer("i-1", "svc", serve(t, f.server), "z1", false)
	store.Put("op", "config", configuration(m))
	f.launch(m, serve(t, store))
	require.Eventually(t, f.ready, testTimeout, 20*time.Millisecond, "front is not ready")
	f.requireServed()
	return f
}

// configuration returns the operators' configuration.
func configuration(m machine) map[string]any {
	var routes []any
	for _, name := range []string{"log", "large"} {
		routes = append(routes, map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "kind": "unsafe", "service": "svc",
			"timeout-ms": routeTimeout.Milliseconds(), "target-latency-ms": 800, "priority": 1, "max-attempts": 1, "public": false,
		})
	}
	return map[string]any{
		"version": 1, "routes": routes,
		"services": []any{map[string]any{"name": "svc", "max-connections": 50}},
		"limits": map[string]any{
			"max-body-bytes": m.bodyBytes, "max-header-bytes": maxHeaderBytes,
			"header-timeout-ms": headerTimeout.Milliseconds(), "idle-timeout-ms": idleTimeout.Milliseconds(),
		},
		"tenants": []any{map[string]any{"name": "crew", "api-keys": []string{apiKey}}},
	}
}

// serve runs a handler on a loopback port and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// launch starts the process of a front.
func (f *front) launch(m machine, storeAddress string) {
	f.t.Helper()
	settings := fmt.Sprintf(`
node: front-1
failure_domain: z1
callers: %q
readiness: %q
inner: %q
metrics: %q
store: %q
bounds: {lease: 3000ms, weights: 10s, grace: 2s, cold_over: 1.5, cold_slack: 50, retry_share: 0.2, retry_slack: 50, retry_window: 10s}
memory: {limit_mb: %d}
`, f.callers, f.readiness, f.inner, f.metrics, storeAddress, m.memoryMB)
	f.run(m, "waxwing-front", settings)
}

// run starts a program, which ends with the test at the latest.
func (f *front) run(m machine, program, settings string) {
	f.t.Helper()
	dir := f.t.TempDir()
	file := filepath.Join(dir, "settings.yaml")
	require.NoError(f.t, os.WriteFile(file, []byte(settings), 0o600))
	output, err := os.Create(filepath.Join(dir, "program.log"))
	require.NoError(f.t, err)
	// The shell sets the number of descriptors and becomes the program.
	f.process = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2" "$3"`, "sh", strconv.Itoa(m.maxFDs), filepath.Join(programs, program), file) //nolint:gosec // the arguments are the test's own
	f.process.Stdout, f.process.Stderr = output, output
	f.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the test is killed
	require.NoError(f.t, f.process.Start())
	go func() {
		_ = f.process.Wait() // how it ended is in its log
		close(f.ended)
	}()
	f.t.Cleanup(func() {
		_ = f.process.Process.Kill() // fails only if the process has ended
		<-f.ended
		_ = output.Close()
		if f.t.Failed() {
			f.showLog(output.Name())
		}
	})
}

// showLog shows the last lines of the front's log.
func (f *front) showLog(name string) {
	const shownBytes = 4 << 10
	text, err := os.ReadFile(name) //nolint:gosec // the file is the test's own
	if err != nil {
		f.t.Log(err)
		return
	}
	f.t.Logf("end of the log:\n%s", text[max(0, len(text)-shownBytes):])
}

func (f *front) ready() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + f.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// requireServed sends an ordinary request until it is served, as clients do: each attempt
// has a new connection.
func (f *front) requireServed() {
	f.t.Helper()
	require.Eventually(f.t, func() bool { return f.isServed(strings.Repeat("x", 1<<10), nil) }, testTimeout, 100*time.Millisecond, "an ordinary request is not served")
}

// isServed sends a request and reports whether it was served. edit may be nil.
func (f *front) isServed(body string, edit func(*http.Request)) bool {
	f.requests++
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.callers+"/log/x", strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = host
	req.Header.Set("Request-Id", fmt.Sprint("ordinary-", f.requests))
	req.Header.Set("X-Api-Key", apiKey)
	if edit != nil {
		edit(req)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(got) == "served"
}

// requireAlive checks that the process has not ended.
func (f *front) requireAlive() {
	f.t.Helper()
	select {
	case <-f.ended:
		f.t.Fatalf("the process has ended: %v", f.process.ProcessState)
	default:
	}
}

// requireWithinMachine checks the memory that the process has had at its peak and the
// descriptors that it has.
func (f *front) requireWithinMachine(m machine) {
	f.t.Helper()
	peak := f.peakMemoryKB()
	fds := f.openDescriptors()
	f.t.Logf("peak of memory %d KB of %d KB, descriptors %d of %d", peak, m.memoryMB<<10, fds, m.maxFDs)
	require.LessOrEqual(f.t, peak, m.memoryMB<<10, "the process is larger than its machine")
	require.LessOrEqual(f.t, fds, maxUsedFDs, "clients use up the descriptors")
}

// peakMemoryKB returns the largest resident memory that the process has had.
func (f *front) peakMemoryKB() int {
	f.t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
	require.NoError(f.t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, found := strings.CutPrefix(lines.Text(), "VmHWM:")
		if !found {
			continue
		}
		kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(text, "kB")))
		require.NoError(f.t, err)
		return kb
	}
	f.t.Fatal("the process states no VmHWM")
	return 0
}

// openDescriptors returns the number of open descriptors of the process.
func (f *front) openDescriptors() int {
	f.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.process.Process.Pid))
	require.NoError(f.t, err)
	return len(entries)
}
