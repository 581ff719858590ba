//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// badPart is the part of a prompt on which servers crash.
	badPart = "bad0bad0"
	// firstPart is the first part of all prompts of the route.
	firstPart = "5c1e07a2"
	// downTime is the time after which a crashed server is back.
	downTime = 2 * time.Second
	servers  = 12
	// Figures of the sheet: verdicts a second, drafts a second at half their rate.
	verdictsPerSecond = 22.0
	draftsPerSecond   = 29.0
	// badPerSecond are the requests with the part.
	badPerSecond = 0.7
	// Prefill of a prompt without cached parts, the pause between two tokens.
	prefill  = 215 * time.Millisecond
	tokenGap = 8 * time.Millisecond
	// probeGap is the time after which a sender's next packet reaches a server that is back.
	probeGap = 300 * time.Millisecond
)

// badArrival is a request with the part that reached a server.
type badArrival struct {
	at    time.Time
	front string
}

// sentPrompt is a request with a prompt as its client sent it.
type sentPrompt struct {
	front  string
	sentAt time.Time
	bad    bool
	began  bool
	status int
	// whole is set when the client has received a complete answer.
	whole bool
	// tenant is the one whose key the client has sent.
	tenant string
	// used contains the requests that have made the cached parts that this one has used.
	used []*sentPrompt
}

// modelWorld is a deployment with model servers.
type modelWorld struct {
	*world
	// unframed lets the streams of the servers come with neither a length nor chunks.
	unframed bool
	// dark lets a crashed server fall silent: it closes no connection and refuses none.
	dark bool

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []badArrival
	prompts  map[string]*sentPrompt
	servers  []*modelServer
}

// modelServer is a stand-in model server. It ends when it begins to write an answer on the
// part, and starts again under the same id.
type modelServer struct {
	w       *modelWorld
	id      string
	zone    string
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	closed   bool
	// silent is set while a crashed server leaves its connections open.
	silent bool
	// makers contains, for each cache salt and part, the request that has made the cached
	// part.
	makers map[string]*sentPrompt
}

// startModels writes the configuration and starts the servers.
func startModels(base *world, unframed bool) (*modelWorld, error) {
	w := &modelWorld{world: base, unframed: unframed, prompts: make(map[string]*sentPrompt)}
	w.configureModels(1, "")
	for i := range servers {
		s := &modelServer{w: w, id: fmt.Sprintf("i-%08x", 0xa0+i), zone: []string{"celaya", "salamanca", "irapuato"}[i%3], address: freeAddress()}
		if err := s.start(); err != nil {
			return nil, err
		}
		w.servers = append(w.servers, s)
	}
	return w, nil
}

// configureModels writes a configuration in which one tenant, if any, is isolated.
func (w *modelWorld) configureModels(version int, isolated string) {
	w.configure(version, []any{
		route("verdict", "streaming", llmService, 6*time.Second, 600*time.Millisecond, 2, true),
		route("draft", "streaming", llmService, 15*time.Second, 800*time.Millisecond, 1, false),
	}, []any{modelService(llmService)}, isolated)
}

func (w *modelWorld) closeModels() {
	for _, s := range w.servers {
		s.mu.Lock()
		s.closed = true
		s.end()
		s.mu.Unlock()
	}
}

// start starts an incarnation and writes its entry.
func (s *modelServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.silent = false
	s.listener, s.conns, s.running, s.makers = l, make(map[net.Conn]bool), 0, make(map[string]*sentPrompt)
	go s.accept(l)
	s.w.store.Put("servers", s.id, map[string]any{
		"service": llmService, "address": s.address, "zone": s.zone, "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0,
		"stage": "prefill_decode", "models": []any{map[string]any{"name": model, "version": 1, "adapters": []any{}}}, "seq": 1,
		"born": time.Now().UnixMilli(),
	})
	return nil
}

func (s *modelServer) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.listener == l {
			s.conns[conn] = true
		}
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// end closes the listener and all connections. s.mu is held.
func (s *modelServer) end() {
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// crash ends the server with all its requests. It is back after downTime.
func (s *modelServer) crash() {
	s.mu.Lock()
	if s.listener == nil {
		s.mu.Unlock()
		return
	}
	running := s.running
	revive := func() {}
	if s.w.dark {
		revive = s.fallSilent()
	} else {
		s.end()
	}
	s.mu.Unlock()
	s.w.mu.Lock()
	s.w.crashes = append(s.w.crashes, time.Now())
	n := len(s.w.crashes)
	s.w.mu.Unlock()
	s.w.rec.note("server %s crashes (crash %d) with %d requests in progress", s.id, n, running)
	time.AfterFunc(downTime, func() {
		revive()
		if err := s.start(); err != nil {
			s.w.rec.note("server %s did not start: %v", s.id, err)
		}
	})
}

// fallSilent lets the server neither accept nor refuse connections, and leaves the open ones
// without a byte, as a machine does that has no power. The result ends that. s.mu is held.
func (s *modelServer) fallSilent() func() {
	_ = s.listener.Close()
	s.listener = nil
	s.silent = true
	conns := s.conns
	fd, err := silentListener(s.address)
	if err != nil {
		s.w.rec.note("server %s does not fall silent: %v", s.id, err)
	}
	return func() {
		_ = syscall.Close(fd)
		// The server resets the old connections when the next probe of their senders
		// arrives.
		time.AfterFunc(probeGap, func() {
			for conn := range conns {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}
		})
	}
}

// silentListener listens at an address with a full queue, so that the kernel drops the
// opening packets of further connections.
func silentListener(address string) (int, error) {
	target, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return -1, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	at := &syscall.SockaddrInet4{Port: target.Port, Addr: [4]byte(target.IP.To4())}
	if err := errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), syscall.Bind(fd, at), syscall.Listen(fd, 0)); err != nil {
		return fd, err
	}
	for range 4 {
		go func() {
			conn, err := net.DialTimeout("tcp", address, downTime)
			if err == nil {
				time.Sleep(downTime)
				_ = conn.Close()
			}
		}()
	}
	return fd, nil
}

func (s *modelServer) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.silent || !s.conns[conn] {
			_ = conn.Close()
			delete(s.conns, conn)
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if s.isSilent() {
			return
		}
		switch r.URL.Path {
		case "/-/report":
			respond(conn, "200 OK", "", `{"stage":"prefill_decode","models":[{"name":"`+model+`","version":1}],"busy":false,"seq":0}`)
			continue
		case "/-/kv-events":
			wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
			time.Sleep(time.Duration(wait) * time.Millisecond)
			respond(conn, "200 OK", "", `{"boot-epoch":1,"next":0,"lost":false,"events":[]}`)
			continue
		}
		if !s.run(conn, r) {
			return
		}
	}
}

func (s *modelServer) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// respond writes a whole answer. header has further lines.
func respond(conn net.Conn, status, header, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// run runs a request and reports whether the connection may be used again.
func (s *modelServer) run(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	if r.Header.Get("Expect-Instance") != s.id {
		respond(conn, "421 Misdirected Request", "Request-Id: "+id+"\r\nInstance-Id: "+s.id+"\r\n", "")
		return true
	}
	bad := strings.Contains(r.Header.Get("Prompt-Prefix"), badPart)
	s.w.mu.Lock()
	sent := s.w.prompts[id]
	if bad {
		s.w.arrivals = append(s.w.arrivals, badArrival{at: time.Now(), front: sent.front})
	}
	s.w.mu.Unlock()
	if bad {
		s.w.rec.note("request %s with the part reaches server %s", id, s.id)
	}
	s.mu.Lock()
	s.running++
	running := s.running
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	time.Sleep(prefill)
	if s.isSilent() {
		return false
	}
	if bad {
		s.crash()
		return false
	}
	s.w.mu.Lock()
	sent.began = true
	s.w.mu.Unlock()
	s.useCache(sent, id, r.Header.Get("Cache-Salt"), r.Header.Get("Prompt-Prefix"))
	return s.stream(conn, r, id, running)
}

// useCache uses the cached parts of a prompt that have its salt, up to the first one that is
// missing, and caches the others.
func (s *modelServer) useCache(sent *sentPrompt, id, salt, prefix string) {
	parts := strings.Split(prefix, ",")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	complete := true
	for _, part := range parts[:len(parts)-1] {
		name, _, _ := strings.Cut(part, ":")
		maker := s.makers[salt+"|"+name]
		if complete && maker != nil {
			sent.used = append(sent.used, maker)
			if maker.tenant != sent.tenant {
				s.w.rec.note("request %s of %s uses part %s at server %s under salt %q, which a request of %s has made", id, sent.tenant, name, s.id, salt, maker.tenant)
			}
			continue
		}
		complete = false
		if maker == nil {
			s.makers[salt+"|"+name] = sent
		}
	}
}

// stream writes the events of an answer.
func (s *modelServer) stream(conn net.Conn, r *http.Request, id string, running int) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if s.w.unframed {
		framing = "Connection: close\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nServer-Load: %d,0,64\r\n%s\r\n", id, id, running, framing)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, tokens, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	events, _ := strconv.Atoi(tokens)
	for n := last + 1; n <= events; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, id)
		if !s.w.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return false
		}
		time.Sleep(tokenGap)
		if s.isSilent() {
			return false
		}
	}
	if s.w.unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// send sends a request with a prompt to a front, as a client does.
func (w *modelWorld) send(f *front, tenant, id, path string, bad bool) {
	deadline, usage := 6*time.Second, "9190,13"
	if path == "/draft/x" {
		deadline, usage = 15*time.Second, "827,73"
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	second := fmt.Sprintf("%08x", 0x1000+rand.IntN(40))
	if bad {
		second = badPart
	}
	parts := fmt.Sprintf("%s:4000,%s:3520,%08x:1670", firstPart, second, rand.Uint32())
	if path == "/draft/x" {
		parts = fmt.Sprintf("7d00aa11:400,%s:250,%08x:177", second, rand.Uint32())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+path, strings.NewReader("prompt of "+id))
	if err != nil {
		return
	}
	req.Host, req.GetBody = host, nil
	for name, value := range map[string]string{
		"Request-Id": id, "X-Api-Key": keyOf(tenant), "Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10), "Model": model,
		"Token-Usage": usage, "Prompt-Prefix": parts,
	} {
		req.Header.Set(name, value)
	}
	sent := &sentPrompt{front: f.name, sentAt: time.Now(), bad: bad, tenant: tenant}
	w.mu.Lock()
	w.prompts[id] = sent
	w.mu.Unlock()
	w.rec.note("client sends %s to %s: %s", id, f.name, parts)
	status, text, err := roundTrip(req)
	w.mu.Lock()
	sent.status, sent.whole = status, err == nil && status == http.StatusOK
	w.mu.Unlock()
	switch {
	case err != nil:
		w.rec.note("client gets a broken answer or none to %s: status %d, %v", id, status, err)
	case status != http.StatusOK:
		w.rec.note("client gets %d to %s: %s", status, id, strings.TrimSpace(text))
	default:
		w.rec.note("client gets the whole answer to %s", id)
	}
}

func roundTrip(req *http.Request) (status int, text string, err error) {
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// load sends requests of one kind to random fronts until stop is closed.
func (w *modelWorld) load(tenant, prefix, path string, from time.Duration, perSecond float64, bad bool, stop <-chan struct{}) *sync.WaitGroup {
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		time.Sleep(from)
		random := rand.New(rand.NewPCG(7, uint64(len(prefix))))
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration((0.5 + random.Float64()) / perSecond * float64(time.Second))):
			}
			f := w.fronts[random.IntN(len(w.fronts))]
			running.Add(1)
			go func() {
				defer running.Done()
				w.send(f, tenant, fmt.Sprintf("%s%d", prefix, n), path, bad)
			}()
		}
	}()
	return &running
}
