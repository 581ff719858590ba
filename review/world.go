//go:build review

// Command review-lab runs one case of the review: fronts as separate processes, with
// stand-ins for clients, servers and the platform's store on loopback addresses.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"waxwingtide.example/waxwingtide/standin"
)

// Figures of the sheet of a small deployment.
const (
	contact    = 3 * time.Second
	memoryMB   = 284
	host       = "gates.example"
	crew       = "crew"
	other      = "other"
	model      = "advisor"
	llmService = "modelos"
)

var zones = []string{"celaya", "celaya", "salamanca", "irapuato"}

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	start time.Time
}

func newRecorder(file string) (*recorder, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(f), file: f, start: time.Now()}, nil
}

func (r *recorder) note(format string, args ...any) {
	r.noteAt(time.Now(), format, args...)
}

func (r *recorder) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// front is one front process.
type front struct {
	name, zone                        string
	callers, readiness, inner, metric string
	settings                          string
	log                               *os.File

	mu        sync.Mutex
	process   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
	wanted    bool
}

// world is a deployment.
type world struct {
	rec     *recorder
	dir     string
	trouble bool
	program string
	store   *standin.PlatformStore
	storeAt string
	fronts  []*front
	closers []func()

	closeOnce sync.Once
}

// firstPort is below the ports that the kernel takes for outgoing connections.
const firstPort = 20000

var usedPorts atomic.Int32

// freeAddress returns an address that no other process takes.
func freeAddress() string {
	return standin.LoopbackAddress(firstPort + int(usedPorts.Add(1)))
}

// newWorld starts the store. dir is the folder of the case.
func newWorld(dir string) (*world, error) {
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, dir: temporary, trouble: os.Getenv("TROUBLE") != "0", program: os.Getenv("FRONT"), store: standin.NewPlatformStore(),
	}
	w.storeAt = w.serve(w.store)
	return w, nil
}

// serve runs a handler on a loopback port and returns its address.
func (w *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ErrorLog: discardLog}
	go func() { _ = s.Serve(l) }()
	w.closers = append(w.closers, func() { _ = s.Close() })
	return l.Addr().String()
}

// startFronts writes the settings of the fronts and starts them.
func (w *world) startFronts(n int) error {
	for i := range n {
		f := &front{
			name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i), zone: zones[i%len(zones)],
			callers: freeAddress(), readiness: freeAddress(), inner: freeAddress(), metric: freeAddress(),
		}
		w.fronts = append(w.fronts, f)
	}
	var seeds []string
	for _, f := range w.fronts[:min(n, 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", f.inner))
	}
	for _, f := range w.fronts {
		f.settings = filepath.Join(w.dir, f.name+".yaml")
		text := fmt.Sprintf(`node: %q
failure_domain: %q
callers: %q
readiness: %q
inner: %q
metrics: %q
seeds: [%s]
store: %q
bounds:
  lease: 3000ms
  weights: 10000ms
  grace: 8s
  cold_over: 1.5
  cold_slack: 5
  retry_share: 0.2
  retry_slack: 52
  retry_window: 10s
memory:
  limit_mb: %d
weights:
  mode: keep
`, f.name, f.zone, f.callers, f.readiness, f.inner, f.metric, strings.Join(seeds, ","), w.storeAt, memoryMB)
		if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
			return err
		}
		var err error
		if f.log, err = os.Create(filepath.Join(w.dir, f.name+".log")); err != nil {
			return err
		}
		if err := w.launch(f); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// launch starts the process of a front with the command of the deploy file.
func (w *world) launch(f *front) error {
	c := exec.Command(w.program)
	c.Env = []string{"WAXWINGTIDE_CONFIG=" + f.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = f.log, f.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	f.mu.Lock()
	f.process, f.ended, f.startedAt, f.wanted = c, ended, time.Now(), false
	f.mu.Unlock()
	w.rec.note("front %s started", f.name)
	go func() {
		err := c.Wait()
		f.mu.Lock()
		wanted := f.wanted
		f.mu.Unlock()
		if !wanted {
			w.rec.note("front %s ENDED BY ITSELF: %v", f.name, err)
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a front. wanted tells that its end is expected.
func (f *front) signal(s syscall.Signal, wanted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted = f.wanted || wanted
	_ = f.process.Process.Signal(s)
}

// end returns a channel that is closed when the process has ended.
func (f *front) end() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

func (f *front) since() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedAt
}

func (w *world) awaitReady() error {
	until := time.Now().Add(10 * time.Second)
	for _, f := range w.fronts {
		for !f.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready; its log is in %s", f.name, w.dir)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (f *front) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.readiness+"/-/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that the world has started.
func (w *world) close() { w.closeOnce.Do(w.closeAll) }

func (w *world) closeAll() {
	for _, f := range w.fronts {
		if f.process == nil {
			continue
		}
		f.signal(syscall.SIGKILL, true)
		<-f.end()
		_ = f.log.Close()
	}
	for _, c := range w.closers {
		c()
	}
	w.store.Close()
	w.rec.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// route is an entry of the configuration.
func route(name, kind, service string, timeout, target time.Duration, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "service": service, "priority": 1, "public": false,
		"timeout-ms": timeout.Milliseconds(), "target-latency-ms": target.Milliseconds(), "max-attempts": attempts, "resumable": resumable,
		"sticky": kind == "streaming", "gap-aim-ms": 300,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 96, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}
}

func modelService(name string) map[string]any {
	s := plainService(name)
	s["max-connections"] = 360
	s["engine"] = map[string]any{
		"slots": 64, "kv-capacity-tokens": 51689, "kv-token-bytes": 163840, "link-mbps": 740000.0, "stride": 4, "max-inflight": 12,
		"pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": model}},
	}
	return s
}

// configure writes a configuration as the operator does.
func (w *world) configure(version int, routes, services []any, isolated string) {
	var tenants []any
	for _, name := range []string{crew, other} {
		tenants = append(tenants, map[string]any{"name": name, "api-keys": []string{keyOf(name)}, "isolated": name == isolated})
	}
	w.store.Put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	})
	w.rec.note("operator wrote configuration %d, isolated tenant: %q", version, isolated)
}

// keyOf returns the key of a tenant.
func keyOf(tenant string) string { return "key-of-" + tenant }
