package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/standin"
)

// front is a process with its links.
type front struct {
	name    string
	file    string
	callers *proxy
	store   *proxy
	cloud   *proxy
	child   atomic.Pointer[child]
	log     *os.File
}

// child is one run of a front's program.
type child struct {
	process *exec.Cmd
	// ended is closed when the process has ended; wanted is set when the soak ends
	// it.
	ended  chan struct{}
	wanted atomic.Bool
}

// signal sends a signal to the process, which may have ended.
func (c *child) signal(s os.Signal) { _ = c.process.Process.Signal(s) }

// end kills the process if it still runs.
func (c *child) end() {
	c.wanted.Store(true)
	c.signal(syscall.SIGCONT)
	c.signal(syscall.SIGKILL)
	<-c.ended
}

// address is one of the fronts' addresses.
func address(n int) string { return standin.LoopbackAddress(firstPort + n) }

func (w *world) newFront(i int) (*front, error) {
	f := &front{name: fmt.Sprintf("front-%d", i)}
	var err error
	if f.store, err = newProxy(anyPort, w.storeAt); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, f.store.close)
	if f.cloud, err = newProxy(anyPort, w.serve(w.cloud.Machine(f.name))); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, f.cloud.close)
	if f.callers, err = newProxy(anyPort, address(4*i)); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, f.callers.close)
	var seeds []string
	for n := range w.o.Fronts {
		seeds = append(seeds, fmt.Sprintf("%q", address(4*n+2)))
	}
	body := fmt.Sprintf(`
node: %s
failure_domain: %s
callers: %q
readiness: %q
inner: %q
metrics: %q
seeds: [%s]
store: %q
bounds: {lease: %s, weights: 10s, grace: %s, cold_over: 1.5, cold_slack: 5, retry_share: 0.2, retry_slack: 100, retry_window: 10s}
stop: {rotation: 500ms}
`, f.name, zones[i%len(zones)], address(4*i), address(4*i+1), address(4*i+2), address(4*i+3), strings.Join(seeds, ", "), f.store.address(), cmp.Or(w.o.Lease, leaseTime), grace) + dutySettings(f.cloud.address())
	f.file = filepath.Join(w.o.Logs, f.name+".yaml")
	if err := os.WriteFile(f.file, []byte(body), 0o600); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "choose another --logs", "settings cannot be written")
	}
	if f.log, err = os.Create(filepath.Join(w.o.Logs, f.name+".log")); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "choose another --logs", "log cannot be written")
	}
	w.closers = append(w.closers, func() { _ = f.log.Close() })
	return f, nil
}

// launch starts a front's process. One that ends by itself breaks a promise.
func (w *world) launch(f *front) error {
	program, err := filepath.Abs(w.o.Front)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "name waxwing-front with --front", "no such program")
	}
	c := &child{process: exec.Command(program, f.file), ended: make(chan struct{})} //nolint:gosec // the program is the user's choice
	c.process.Stdout, c.process.Stderr = f.log, f.log
	if err := c.process.Start(); err != nil {
		return errs.Wrap(err, errs.Invalid, "build waxwing-front and name it with --front", "front cannot be started")
	}
	f.child.Store(c)
	go func() {
		err := c.process.Wait()
		if !c.wanted.Load() {
			w.ledger.note(entry{id: f.name, broken: fmt.Sprintf("process ended by itself: %v", err)})
		}
		close(c.ended)
	}()
	return nil
}

func (w *world) awaitReady(ctx context.Context) error {
	until := time.Now().Add(readyTime)
	for i, f := range w.fronts {
		for {
			resp, err := http.Get("http://" + address(4*i+1) + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) || ctx.Err() != nil {
				return errs.New(errs.Unavailable, "read its log", "%s is not ready", f.name)
			}
			duty.Pause(ctx, 50*time.Millisecond)
		}
	}
	return nil
}
