//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"waxwingtide.example/waxwingtide/standin"
)

// clientWait is how long a client waits for the answer to a call.
const clientWait = 2500 * time.Millisecond

// traffic is what the clients of all fronts send.
type traffic struct {
	w                            *world
	sent, served, refused, other atomic.Int64
	stop                         chan struct{}
	callers                      sync.WaitGroup
}

// startTraffic sends calls to each front at a rate, in calls a second. target returns the
// method and the path of the call with a number.
func (w *world) startTraffic(rates []int, target func(n int) (method, path string)) *traffic {
	t := &traffic{w: w, stop: make(chan struct{})}
	for i, f := range w.started() {
		t.callers.Add(1)
		go t.call(f, i, rates[i], target)
	}
	return t
}

// call sends calls to a front, each at its time, until the traffic ends.
func (t *traffic) call(f *front, client, rate int, target func(n int) (method, path string)) {
	defer t.callers.Done()
	c := newCaller(f)
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-ticker.C:
		}
		method, path := target(n)
		t.callers.Add(1)
		go func() {
			defer t.callers.Done()
			t.sendOne(c, standin.PlatformCall{
				ID: fmt.Sprintf("c%d-%d", client, n), Method: method, Host: host, Path: path, Key: key, Wait: clientWait,
			})
		}()
	}
}

func (t *traffic) sendOne(c *caller, call standin.PlatformCall) {
	t.sent.Add(1)
	r := c.send(t.w.ctx, call)
	switch {
	case r.err == nil && r.status == http.StatusOK:
		t.served.Add(1)
	case r.err == nil && r.status == http.StatusServiceUnavailable:
		t.refused.Add(1)
	default:
		t.other.Add(1)
		t.w.note("%s %s %s%s: status %d, error %v", call.Method, call.ID, c.front.name, call.Path, r.status, r.err)
	}
}

// end stops the clients and records what they have received.
func (t *traffic) end() {
	close(t.stop)
	t.callers.Wait()
	t.w.note("clients: %d calls sent, %d served, %d refused with 503, %d ended otherwise", t.sent.Load(), t.served.Load(), t.refused.Load(), t.other.Load())
}
