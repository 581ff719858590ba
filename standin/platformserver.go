package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"waxwingtide.example/waxwingtide/ring"
)

// seenRing bounds the requests that a stand-in server remembers.
const seenRing = 256

// PlatformServer is a stand-in for a server on the users' platform: a model
// server or an instance of a plain service. A script decides how it treats each
// request.
type PlatformServer struct {
	ID string
	// Script is called with each request that the server accepts; nil answers
	// with success.
	Script func(w http.ResponseWriter, r *http.Request, body []byte)

	seen    *ring.Ring[SeenRequest]
	leaving atomic.Bool
}

// SeenRequest is a request as it reached a server.
type SeenRequest struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   string
}

// NewPlatformServer returns a server.
func NewPlatformServer(id string) *PlatformServer {
	return &PlatformServer{ID: id, seen: ring.New[SeenRequest](seenRing)}
}

// SetLeaving makes the server announce in all its answers that it leaves, or stop to
// announce it.
func (s *PlatformServer) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Seen returns the requests that have come since the last call, in order.
func (s *PlatformServer) Seen() []SeenRequest {
	var out []SeenRequest
	for r, ok := s.seen.TryReceive(); ok; r, ok = s.seen.TryReceive() {
		out = append(out, r)
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *PlatformServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/-/") {
		http.NotFound(w, r)
		return
	}
	s.seen.Push(SeenRequest{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: string(body)})
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.Script != nil {
		s.Script(w, r, body)
		return
	}
	s.Answer(w, http.StatusOK, "served by "+s.ID)
}

// Answer sends a whole answer with the server's seal.
func (s *PlatformServer) Answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Response-Seal", "seal-"+s.ID)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// Reject sends the proof that the request has not run.
func (s *PlatformServer) Reject(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Events sends the events of a stream from one id to another, with a pause
// after each.
func (s *PlatformServer) Events(w http.ResponseWriter, from, to int, pause time.Duration) {
	if from == 1 || w.Header().Get("Response-Seal") == "" {
		w.Header().Set("Response-Seal", "seal-"+s.ID)
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	control := http.NewResponseController(w)
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", id, id)
		_ = control.Flush()
		time.Sleep(pause)
	}
}

// Break cuts the connection in the middle of an answer.
func (s *PlatformServer) Break() { panic(http.ErrAbortHandler) }
