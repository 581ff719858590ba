//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"waxwingtide.example/waxwingtide/standin"
)

// The figures of the small deployment that the cases use. They are those of the site
// gh-compuertas, unless a case says otherwise.
const (
	heartbeat = 1200 * time.Millisecond
	grace     = 8 * time.Second
)

// timeLimit ends a case that hangs.
const timeLimit = 100 * time.Second

// firstPort lies below the range from which the kernel takes ports.
const firstPort = 21000

// world is one small deployment: the store, servers, fronts and a record of events.
type world struct {
	// dir is a temporary folder for settings and logs.
	dir     string
	program string
	trouble bool
	begun   time.Time
	store   *standin.PlatformStore
	// storeDown makes the store refuse every call, also those of the servers.
	storeDown atomic.Bool
	fronts    []*front
	ports     atomic.Int64

	mu     sync.Mutex
	record *os.File
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// front is one process of the project with its own way to the store.
type front struct {
	name, zone string
	callers    string
	ready      string
	inner      string
	// storeSilent makes the store leave the calls of this front unanswered.
	storeSilent atomic.Bool
	program     string
	file        string
	process     *exec.Cmd
	log         *os.File
	ended       chan struct{}
}

func newWorld(dir string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	program := os.Getenv("FRONT")
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program under test is missing: %w", err)
	}
	settings, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		dir: settings, program: program, trouble: trouble, begun: time.Now(), store: standin.NewPlatformStore(), record: record, ctx: ctx, cancel: cancel,
	}
	w.endOnSignal()
	return w, nil
}

// endOnSignal ends the processes of the case when it is stopped or hangs.
func (w *world) endOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		for _, f := range w.started() {
			f.signal(syscall.SIGKILL)
		}
		os.Exit(failed)
	}()
}

// started returns the fronts that were started.
func (w *world) started() []*front {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.fronts)
}

// close ends all processes of the case and the stand-ins.
func (w *world) close() {
	for _, f := range w.started() {
		f.kill()
	}
	w.cancel()
	w.group.Wait()
	w.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Close()
}

// note writes a line to the record, with the time since the start in seconds.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.begun).Seconds()}, values...)...)
}

// sleepUntil waits until a time since the start.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(time.Until(w.begun.Add(at))) }

// serveStore opens a listener of the store for one caller. silent may be nil.
func (w *world) serveStore(silent *atomic.Bool) (string, error) {
	listener, err := net.Listen("tcp", w.freeAddress())
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if silent != nil && silent.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if w.storeDown.Load() {
			rw.Header().Set("Store-Era", "0")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.store.ServeHTTP(rw, r)
	})}
	w.group.Add(1)
	go func() {
		defer w.group.Done()
		_ = server.Serve(listener)
	}()
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// freeAddress returns an address of a loopback network that belongs to this process.
func (w *world) freeAddress() string {
	return standin.LoopbackAddress(firstPort + int(w.ports.Add(1)))
}

// startFront starts a front with settings as the template of the deploy file gives them.
func (w *world) startFront(name, zone string, seeds []string) (*front, error) {
	f := &front{name: name, zone: zone}
	addresses := make([]string, 4)
	for i := range addresses {
		addresses[i] = w.freeAddress()
	}
	f.callers, f.ready, f.inner = addresses[0], addresses[1], addresses[2]
	store, err := w.serveStore(&f.storeSilent)
	if err != nil {
		return nil, err
	}
	if len(seeds) == 0 {
		seeds = []string{f.inner}
	}
	quoted, err := json.Marshal(seeds)
	if err != nil {
		return nil, err
	}
	body := fmt.Sprintf(`node: %q
failure_domain: %q
callers: %q
readiness: %q
inner: %q
metrics: %q
seeds: %s
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
  limit_mb: 284
doors:
  max_fds: 1024
weights:
  mode: keep
`, name, zone, f.callers, f.ready, f.inner, addresses[3], quoted, store)
	file := filepath.Join(w.dir, name+"-"+strings.ReplaceAll(f.inner, ":", "-")+".yaml")
	if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
		return nil, err
	}
	if f.log, err = os.Create(strings.TrimSuffix(file, ".yaml") + ".log"); err != nil {
		return nil, err
	}
	f.program, f.file = w.program, file
	if err := f.launch(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.fronts = append(w.fronts, f)
	w.mu.Unlock()
	w.note("front %s starts at %s", name, f.inner)
	return f, nil
}

// startFronts starts a front in each zone and waits until they are ready.
func (w *world) startFronts(zones []string) error {
	var seeds []string
	for i, zone := range zones {
		f, err := w.startFront(fmt.Sprintf("front-%s-%d", zone, i+1), zone, seeds)
		if err != nil {
			return err
		}
		seeds = append(seeds, f.inner)
	}
	for _, f := range w.fronts {
		if err := f.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// launch starts the process with its settings.
func (f *front) launch() error {
	process, ended := exec.Command(f.program, f.file), make(chan struct{})
	process.Stdout, process.Stderr = f.log, f.log
	if err := process.Start(); err != nil {
		return err
	}
	f.process, f.ended = process, ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// restart starts the process again after it was killed.
func (f *front) restart() error {
	log, err := os.OpenFile(f.log.Name(), os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	f.log = log
	return f.launch()
}

func (f *front) signal(s syscall.Signal) { _ = f.process.Process.Signal(s) }

// kill ends the process if it still runs.
func (f *front) kill() {
	f.signal(syscall.SIGCONT)
	f.signal(syscall.SIGKILL)
	<-f.ended
	_ = f.log.Close()
}

// awaitReady waits until the front is ready.
func (f *front) awaitReady(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + f.ready + "/-/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", f.name)
}

// caller is a client with connections of its own.
type caller struct {
	client *http.Client
	front  *front
}

func newCaller(f *front) *caller {
	return &caller{front: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// reply is what a client has received.
type reply struct {
	status int
	body   string
	err    error
}

// send sends one call and reads its answer.
func (c *caller) send(ctx context.Context, call standin.PlatformCall) reply {
	ctx, cancel := context.WithTimeout(ctx, call.Wait)
	defer cancel()
	call.Address = c.front.callers
	request, err := call.Request(ctx)
	if err != nil {
		return reply{err: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), err: err}
}
