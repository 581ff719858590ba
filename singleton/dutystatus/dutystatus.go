// Package dutystatus is the JSON form in which a front shows the duties that it holds. A
// front serves it at Path on its metrics listener, and the command line reads it.
package dutystatus

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Path is the path of the resource on the metrics listener.
const Path = "/duties"

// MaxBytes is the maximum size of the resource that readers accept.
const MaxBytes = 4 << 20

// Front is a front with the duties that it holds.
type Front struct {
	Node   string `json:"node"`
	Duties []Duty `json:"duties"`
}

// Duty is a subject that a front holds.
type Duty struct {
	Subject   string    `json:"subject"`
	Fence     uint64    `json:"fence"`
	HeldSince time.Time `json:"held_since"`
	// Usage is set for the subject of usage reports, Upstreams for that of a number of
	// upstreams. Each is nil until its duty has acted.
	Usage     *Usage     `json:"usage,omitempty"`
	Upstreams *Upstreams `json:"upstreams,omitempty"`
}

// Usage is the last usage report that the front has sent.
type Usage struct {
	Window int64     `json:"window"`
	Calls  uint64    `json:"calls"`
	SentAt time.Time `json:"sent_at"`
	Late   bool      `json:"late"`
}

// Upstreams is the number of upstreams of a service in a failure domain.
type Upstreams struct {
	// Ordered is the count in force, Desired the one that was decided last, and Listed the
	// number of upstreams that are not draining.
	Ordered int `json:"ordered"`
	Desired int `json:"desired"`
	Listed  int `json:"listed"`
	// Reason is that of the last decision, LastChange that of the last change of the count.
	Reason     string `json:"reason"`
	LastChange string `json:"last_change"`
	// Uncertain is set if the result of the last order is unknown.
	Uncertain bool `json:"uncertain"`
}

// Handler serves the resource at Path, and other requests by next.
func Handler(status func() Front, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != Path {
			next.ServeHTTP(w, r)
			return
		}
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			w.WriteHeader(http.StatusMethodNotAllowed)
			return
		}
		body, err := json.Marshal(status())
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body) // a reader that has left needs no answer
	})
}

// Decode reads the resource.
func Decode(r io.Reader) (f Front, err error) {
	err = json.NewDecoder(io.LimitReader(r, MaxBytes)).Decode(&f)
	return f, err
}
