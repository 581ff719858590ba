package dev

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/ring"
)

// observation is one prompt that an engine stand-in took.
type observation struct {
	at       time.Time
	upstream core.UpstreamID
	domain   core.FailureDomain
	model    string
	number   int
}

// observer records the prompts that reach an engine. It stands before the
// stand-in, so what it sees does not depend on the code that is judged.
type observer struct {
	next     http.Handler
	upstream core.UpstreamID
	domain   core.FailureDomain
	seen     *ring.Ring[observation]
	dropped  *atomic.Int64
}

// statusWriter notes the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *statusWriter) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap gives the response controller access to Flush.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// ServeHTTP passes a request on and records the prompts that were taken.
func (o *observer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != engine.PathCompletions {
		o.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var req engine.CompletionRequest
	seen := observation{at: time.Now(), upstream: o.upstream, domain: o.domain, number: -1}
	if json.Unmarshal(body, &req) == nil {
		seen.model, seen.number = req.Model, numberOf(req.Prompt)
	}
	noted := &statusWriter{ResponseWriter: w}
	defer func() {
		// A run that failed or was cut before its first byte was taken all the
		// same; only these statuses say that it was not.
		refused := noted.status == http.StatusServiceUnavailable || noted.status == http.StatusTooManyRequests ||
			noted.status == http.StatusNotFound
		if !refused {
			if !o.seen.Offer(seen) {
				o.dropped.Add(1)
			}
		}
	}()
	o.next.ServeHTTP(noted, r)
}

// numberOf finds the number of the workload's call in its prompt: that of the
// last note.
func numberOf(prompt string) int {
	i := strings.LastIndex(prompt, " note ")
	if i < 0 {
		return -1
	}
	number := 0
	for _, c := range prompt[i+len(" note "):] {
		if c < '0' || c > '9' {
			break
		}
		number = number*10 + int(c-'0')
	}
	return number
}
