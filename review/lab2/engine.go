//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a model server and of the verdicts that it writes, as on the site
// gh-compuertas.
const (
	modelService = "modelos"
	modelName    = "m1"
	verdictPath  = "/verdict/1"
	verdictParts = 13
	eventPause   = 20 * time.Millisecond
	// prefillTime is the time until the first event.
	prefillTime = 60 * time.Millisecond
	// deadlyPart crashes each server that begins to write an answer on it.
	deadlyPart = "dead0001"
	// engineDown is how long a server is down after that.
	engineDown = 2 * time.Second
)

// engine is a model server.
type engine struct {
	w              *world
	id, zone, addr string
	// onDeadly is called with each request with deadlyPart that reaches the server, onCrash
	// when one crashes it.
	onDeadly, onCrash func(e *engine, id string)

	mu      sync.Mutex
	http    *http.Server // nil while the server is down
	conns   map[net.Conn]bool
	born    time.Time
	entries int
	running int
	// broken counts the runs without deadlyPart that a crash has broken off.
	broken int
}

func (w *world) newEngine(id, zone string) (*engine, error) {
	e := &engine{w: w, id: id, zone: zone, addr: w.freeAddress()}
	return e, e.start()
}

// start starts the server at its address and under its id, and registers it.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.running, e.entries, e.conns = time.Now(), 0, 0, make(map[net.Conn]bool)
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ConnState: e.track}
	e.http = server
	go func() { _ = server.Serve(listener) }()
	go e.register(server)
	return nil
}

func (e *engine) track(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == http.StateClosed {
		delete(e.conns, conn)
	} else {
		e.conns[conn] = true
	}
}

// crash resets all connections of the server, which starts again after engineDown. cause is
// the request that has crashed it.
func (e *engine) crash(server *http.Server, cause string) {
	e.mu.Lock()
	if e.http != server {
		e.mu.Unlock()
		return
	}
	e.http = nil
	e.broken += max(e.running-1, 0)
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.w.note("server %s crashes on %s; %d other requests ran", e.id, cause, e.running-1)
	e.mu.Unlock()
	_ = server.Close()
	e.onCrash(e, cause)
	time.AfterFunc(engineDown, func() { _ = e.start() })
}

func (e *engine) isCurrent(server *http.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.http == server
}

// register writes the entry of the server at once and every heartbeat while it runs.
func (e *engine) register(server *http.Server) {
	for e.isCurrent(server) && e.w.ctx.Err() == nil {
		e.mu.Lock()
		e.entries++
		entry := map[string]any{
			"service": modelService, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0,
			"seq": e.entries, "born": e.born.UnixMilli(), "stage": "prefill_decode",
			"models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}},
		}
		e.mu.Unlock()
		e.w.store.Put("servers", e.id, entry)
		time.Sleep(heartbeat)
	}
}

func (e *engine) serve(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/-/kv-events":
		e.serveEvents(rw, r)
	case strings.HasPrefix(r.URL.Path, "/-/"):
		http.NotFound(rw, r)
	default:
		e.serveRequest(rw, r)
	}
}

// serveEvents answers a request for cache events. The server has none.
func (e *engine) serveEvents(rw http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	epoch := e.born.UnixMilli()
	e.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(rw, `{"boot-epoch":%d,"next":0,"lost":false,"events":[]}`, epoch)
}

// serveRequest streams an answer. The server crashes when it has begun one on deadlyPart.
func (e *engine) serveRequest(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := rw.Header()
	h.Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.id {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.running++
	server, running := e.http, e.running
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	isDeadly := strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart)
	if isDeadly {
		e.onDeadly(e, id)
	}
	time.Sleep(prefillTime)
	h.Set("Response-Seal", "seal."+e.id)
	h.Set("Server-Load", fmt.Sprintf("%d,0,64", running))
	h.Set("Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	control := http.NewResponseController(rw)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= verdictParts; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: part %d of %s\n\n", n, n, id); err != nil || control.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
		if isDeadly {
			e.crash(server, id)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(eventPause)
	}
}
