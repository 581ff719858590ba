package standin

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
)

// Headers that the agent sends to a plain service.
const (
	headerKey       = "Idempotency-Key"
	headerWorkspace = "Waxwingtide-Workspace"
	headerAttempt   = "X-Request-Id"
)

// Execution is one call that the record service carried out.
type Execution struct {
	Key       string
	Workspace string
	Attempt   string
	Method    string
	Path      string
	Body      string
}

// Records is a stand-in for a plain service that keeps records. It carries out
// every request that reaches it, so that its ledger shows each duplicate. GET
// and HEAD read the records of a path and leave no entry in the ledger.
type Records struct {
	Switches
	// ledger hands the state from request to request.
	ledger chan []Execution
	// padding is added to each answer, in bytes.
	padding atomic.Int64
}

// NewRecords returns a record service with an empty ledger.
func NewRecords() *Records {
	s := &Records{ledger: make(chan []Execution, 1)}
	s.ledger <- nil
	return s
}

// SetPadding enlarges each answer by a number of bytes.
func (s *Records) SetPadding(bytes int) { s.padding.Store(int64(bytes)) }

// Ledger returns all executions in order.
func (s *Records) Ledger() []Execution {
	ledger := <-s.ledger
	defer func() { s.ledger <- ledger }()
	return slices.Clone(ledger)
}

// Executions returns the executions with an idempotency key in a workspace.
func (s *Records) Executions(workspace, key string) []Execution {
	return slices.DeleteFunc(s.Ledger(), func(e Execution) bool {
		return e.Workspace != workspace || e.Key != key
	})
}

type recordReply struct {
	// Number is the position of the execution in the ledger, from 1.
	Number  int      `json:"number,omitempty"`
	Records []string `json:"records,omitempty"`
	Padding string   `json:"padding,omitempty"`
}

// ServeHTTP implements http.Handler.
func (s *Records) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	refusal := answer{http.StatusServiceUnavailable, "text/plain", []byte("overloaded")}
	s.serve(w, r, refusal, func(body []byte) answer {
		e := Execution{
			Key:       r.Header.Get(headerKey),
			Workspace: r.Header.Get(headerWorkspace),
			Attempt:   r.Header.Get(headerAttempt),
			Method:    r.Method,
			Path:      r.URL.Path,
			Body:      string(body),
		}
		reply := recordReply{Padding: strings.Repeat("x", int(s.padding.Load()))}
		ledger := <-s.ledger
		defer func() { s.ledger <- ledger }()
		if r.Method == http.MethodGet || r.Method == http.MethodHead {
			reply.Records = stored(ledger, e)
			return jsonAnswer(http.StatusOK, "application/json", reply)
		}
		ledger = append(ledger, e)
		reply.Number = len(ledger)
		return jsonAnswer(http.StatusCreated, "application/json", reply)
	})
}

// stored returns the bodies kept under the path in the caller's workspace.
func stored(ledger []Execution, read Execution) []string {
	bodies := []string{}
	for _, e := range ledger {
		if e.Workspace == read.Workspace && e.Path == read.Path {
			bodies = append(bodies, e.Body)
		}
	}
	return bodies
}
