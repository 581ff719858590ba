//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of a server of the service bitacora and of a cold server, as on the site
// gh-compuertas.
const (
	serverSlots   = 6
	serverQueue   = 24
	shortWork     = 30 * time.Millisecond
	longWork      = 200 * time.Millisecond
	coldPerSecond = 11.0
	coldTime      = 3 * time.Second
	coldOver      = 1.5
	coldSlack     = 5.0
	coldBound     = coldPerSecond*coldOver + coldSlack
	// coldCrash is the number of requests in a second at which a cold server crashes: well
	// above what it tolerates, and above the bound.
	coldCrash = 3 * coldPerSecond
	// downTime is the time for which a server that has crashed is down.
	downTime = time.Second
	// storeRetry is the time after which a server repeats a write that the store has refused.
	storeRetry = 200 * time.Millisecond
)

// plainServer is a server of a plain service.
type plainServer struct {
	w                       *world
	service, id, zone, addr string
	// onRun is called with each request that begins to run; nil for none.
	onRun func(r *http.Request)
	// work is how long a request runs.
	work time.Duration
	// leaving makes the server say in all its answers that it leaves.
	leaving atomic.Bool

	mu        sync.Mutex
	http      *http.Server // nil while the server is down
	born      time.Time
	coldUntil time.Time
	entries   int
	running   int
	// arrivals are the times at which requests have reached the server while it was cold,
	// in the last second. worst is the largest number of them.
	arrivals []time.Time
	worst    int
	// overloads counts the crashes of the server because of too many requests while cold.
	// lost counts the requests that ran when it crashed.
	overloads, lost int
}

// newServer returns a server that runs. The case writes its entries, unless it calls
// register.
func (w *world) newServer(service, id, zone string) (*plainServer, error) {
	s := &plainServer{w: w, service: service, id: id, zone: zone, addr: w.freeAddress(), work: shortWork}
	return s, s.start(false)
}

// start starts the server at its address and under its id.
func (s *plainServer) start(cold bool) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.born, s.running, s.entries, s.arrivals = time.Now(), 0, 0, nil
	if cold {
		s.coldUntil = s.born.Add(coldTime)
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	server := s.http
	go func() { _ = server.Serve(listener) }()
	s.w.note("server %s starts at %s, cold: %v", s.id, s.addr, cold)
	return nil
}

// crash ends the server at once. It reports false if it is down.
func (s *plainServer) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http == nil {
		return false
	}
	s.lost += s.running
	s.w.note("server %s ends; %d requests ran", s.id, s.running)
	_ = s.http.Close()
	s.http = nil
	return true
}

// restart crashes the server and starts it under its id after downTime, cold.
func (s *plainServer) restart() error {
	if !s.crash() {
		return nil
	}
	time.Sleep(downTime)
	if err := s.start(true); err != nil {
		return err
	}
	s.register()
	return nil
}

// entry returns the next entry of the server.
func (s *plainServer) entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries++
	return map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": state,
		"cold-left-ms": max(time.Until(s.coldUntil), 0).Milliseconds(), "seq": s.entries, "born": s.born.UnixMilli(),
	}
}

// register writes the entry of the server, at once and every heartbeat, until it crashes. A
// write that the store refuses is repeated.
func (s *plainServer) register() {
	s.mu.Lock()
	registered := s.http
	s.mu.Unlock()
	isCurrent := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.http != nil && s.http == registered
	}
	go func() {
		for isCurrent() && s.w.ctx.Err() == nil {
			if s.w.storeDown.Load() {
				time.Sleep(storeRetry)
				continue
			}
			s.w.store.Put("servers", s.id, s.entry("ready"))
			time.Sleep(heartbeat)
		}
	}()
}

// serve runs a request, or refuses it if it is for another server or if the server is full.
func (s *plainServer) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if s.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running, server, ok := s.admit()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, serverSlots), max(running-serverSlots, 0), serverSlots))
	if !ok {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.onRun != nil {
		s.onRun(r)
	}
	time.Sleep(s.work)
	if !s.finish(server) {
		panic(http.ErrAbortHandler)
	}
	body := "done " + r.Header.Get("Request-Id")
	h.Set("Response-Seal", "seal."+s.id)
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = rw.Write([]byte(body))
}

// admit counts a request that has reached the server, and returns the incarnation that
// runs it. It reports false if the server is full. A cold server crashes when far too many
// requests reach it.
func (s *plainServer) admit() (running int, server *http.Server, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Before(s.coldUntil) {
		s.arrivals = append(s.arrivals, now)
		for now.Sub(s.arrivals[0]) >= time.Second {
			s.arrivals = s.arrivals[1:]
		}
		s.worst = max(s.worst, len(s.arrivals))
		if len(s.arrivals) == int(coldCrash)+1 {
			s.overloads++
			go func() { _ = s.restart() }() // the address was free before
		}
	}
	if s.running >= serverSlots+serverQueue {
		return s.running, s.http, false
	}
	s.running++
	return s.running, s.http, true
}

// finish ends a run. It reports false if the server has crashed meanwhile.
func (s *plainServer) finish(server *http.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != server {
		return false
	}
	s.running--
	return true
}

// coldBroken records the largest number of requests in a second while the server was cold,
// and reports whether it was too large.
func (s *plainServer) coldBroken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.note("server %s: at most %d requests in one second while it was cold, %.1f are allowed; it crashed %d times because of them; %d requests ran when it crashed", s.id, s.worst, coldBound, s.overloads, s.lost)
	return float64(s.worst) > coldBound
}
