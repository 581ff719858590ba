//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const plainServiceName = "bitacora"

// sentCalls records by which front each request was sent.
type sentCalls struct {
	mu      sync.Mutex
	fronts  map[string]string
	results map[string]int
}

func newSentCalls() *sentCalls {
	return &sentCalls{fronts: make(map[string]string), results: make(map[string]int)}
}

func (c *sentCalls) frontOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fronts[id]
}

// plainServer is a stand-in instance of a plain service on a loopback address.
type plainServer struct {
	w       *world
	id      string
	zone    string
	address string
	// serve answers a request that the server accepts. Its id is echoed.
	serve func(rw http.ResponseWriter, r *http.Request, id string)

	mu     sync.Mutex
	server *http.Server
}

// listen starts the server.
func (s *plainServer) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = &http.Server{Handler: s, ErrorLog: discardLog}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	return nil
}

// close ends the server and all its connections.
func (s *plainServer) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
}

// register writes the entry of an incarnation.
func (s *plainServer) register(born time.Time) {
	s.w.store.Put("servers", s.id, map[string]any{
		"service": plainServiceName, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready", "cold-left-ms": 0,
		"seq": 1, "born": born.UnixMilli(),
	})
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != s.id {
		rw.Header().Set("Instance-Id", s.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.serve(rw, r, id)
}

// answer sends a whole success.
func answer(rw http.ResponseWriter, id string) {
	body := "record of " + id
	rw.Header().Set("Response-Seal", "seal-"+id)
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(rw, body)
}

// callLoad sends calls of plain routes to the fronts until stop is closed. mayUse tells
// whether a front takes new requests.
func (w *world) callLoad(calls *sentCalls, perSecond float64, stop <-chan struct{}, mayUse func(*front) bool) {
	random := rand.New(rand.NewPCG(11, 3))
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration((0.5 + random.Float64()) / perSecond * float64(time.Second))):
		}
		f := w.fronts[random.IntN(len(w.fronts))]
		for !mayUse(f) {
			f = w.fronts[random.IntN(len(w.fronts))]
		}
		method, path := http.MethodGet, "/read/x"
		if random.IntN(3) > 0 {
			method, path = http.MethodPost, "/log/x"
		}
		running.Add(1)
		go func() {
			defer running.Done()
			w.call(calls, f, fmt.Sprintf("c%d", n), method, path)
		}()
	}
}

// call sends one call to a front and records its answer.
func (w *world) call(calls *sentCalls, f *front, id, method, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.callers+path, strings.NewReader("body of "+id))
	if err != nil {
		return
	}
	req.Host, req.GetBody = host, nil
	for name, value := range map[string]string{"Request-Id": id, "X-Api-Key": keyOf(crew), "Deadline-Ms": "2500"} {
		req.Header.Set(name, value)
	}
	calls.mu.Lock()
	calls.fronts[id] = f.name
	calls.mu.Unlock()
	w.rec.note("client sends %s %s to %s", id, path, f.name)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		w.rec.note("client gets no answer to %s: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	w.rec.note("client gets %d to %s", resp.StatusCode, id)
	calls.mu.Lock()
	calls.results[id] = resp.StatusCode
	calls.mu.Unlock()
}

// configurePlain writes a configuration with the two plain routes.
func (w *world) configurePlain() {
	w.configure(1, []any{
		route("read", "safe", plainServiceName, 2500*time.Millisecond, 150*time.Millisecond, 2, false),
		route("log", "unsafe", plainServiceName, 2500*time.Millisecond, 150*time.Millisecond, 1, false),
	}, []any{plainService(plainServiceName)}, "")
}
