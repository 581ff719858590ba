// Package standin provides small stand-ins for the services around the system,
// for tests and the dev command. Each is an http.Handler whose faults can be set
// while it runs.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Fault is what a stand-in does wrong.
type Fault uint32

// Faults that a Switches can set.
const (
	// NoFault answers as the protocol says.
	NoFault Fault = iota
	// Down breaks the connection before the request takes effect.
	Down
	// Refuse answers that the service is overloaded; nothing takes effect.
	Refuse
	// LoseAnswer breaks the connection after the request has taken effect.
	LoseAnswer
	// Malformed answers with a broken body after the request has taken effect.
	Malformed
)

// Switches sets the faults of one stand-in while it runs.
type Switches struct {
	fault atomic.Uint32
	// remaining counts the requests that the fault still applies to; below 0
	// it applies to all.
	remaining atomic.Int64
	delay     atomic.Int64
	requests  atomic.Int64
}

// Set applies a fault to all requests from now on.
func (s *Switches) Set(f Fault) {
	s.remaining.Store(-1)
	s.fault.Store(uint32(f))
}

// SetNext applies a fault to the next n requests.
func (s *Switches) SetNext(n int, f Fault) {
	s.fault.Store(uint32(f))
	s.remaining.Store(int64(n))
}

// SetDelay delays each request before it takes effect.
func (s *Switches) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// Requests returns the number of requests received.
func (s *Switches) Requests() int { return int(s.requests.Load()) }

func (s *Switches) take() Fault {
	if s.remaining.Load() < 0 {
		return Fault(s.fault.Load())
	}
	if s.remaining.Add(-1) < 0 {
		s.remaining.Store(0)
		return NoFault
	}
	return Fault(s.fault.Load())
}

// answer is a whole HTTP answer.
type answer struct {
	status      int
	contentType string
	body        []byte
}

const malformedBody = "{\"broken"

// serve answers one request under the faults set. The answer that refuses a
// request depends on the protocol. The body is read first, because the server
// notices only then that a client has gone.
func (s *Switches) serve(w http.ResponseWriter, r *http.Request, refusal answer, apply func(body []byte) answer) {
	s.requests.Add(1)
	fault := s.take()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !wait(r, time.Duration(s.delay.Load())) || fault == Down {
		panic(http.ErrAbortHandler)
	}
	if fault == Refuse {
		refusal.write(w)
		return
	}
	a := apply(body)
	switch fault {
	case LoseAnswer:
		panic(http.ErrAbortHandler)
	case Malformed:
		a.status = http.StatusOK
		a.body = []byte(malformedBody)
	}
	a.write(w)
}

func wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (a answer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", a.contentType)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

func jsonAnswer(status int, contentType string, v any) answer {
	body, err := json.Marshal(v)
	if err != nil {
		return answer{http.StatusInternalServerError, "text/plain", []byte(err.Error())}
	}
	return answer{status, contentType, body}
}

// attribute is an attribute value of the DynamoDB JSON protocol.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *string `json:"B,omitempty"`
}

func (a attribute) text() string {
	for _, p := range []*string{a.S, a.N, a.B} {
		if p != nil {
			return *p
		}
	}
	return ""
}

type item map[string]attribute

// tableRows holds the items by partition and sort key.
type tableRows map[string]map[string]item

// Table is a stand-in for the platform's transactional table. It speaks the
// part of the DynamoDB JSON protocol that package platform uses.
type Table struct {
	Switches
	// rows hands the state from request to request.
	rows chan tableRows
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{rows: make(chan tableRows, 1)}
	t.rows <- tableRows{}
	return t
}

const (
	dynamoType   = "application/x-amz-json-1.0"
	dynamoTarget = "DynamoDB_20120810."
	dynamoErrors = "com.amazonaws.dynamodb.v20120810#"
)

type tableError struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
}

type reason struct {
	Code string `json:"Code"`
}

type tableRequest struct {
	Key           item
	Limit         int
	Values        item `json:"ExpressionAttributeValues"`
	TransactItems []struct{ Put tablePut }
}

type tablePut struct {
	Item      item
	Condition string `json:"ConditionExpression"`
	Values    item   `json:"ExpressionAttributeValues"`
}

type itemReply struct {
	Item item `json:"Item,omitempty"`
}

type queryReply struct {
	Items            []item
	Count            int
	LastEvaluatedKey item `json:"LastEvaluatedKey,omitempty"`
}

// ServeHTTP implements http.Handler.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	refusal := jsonAnswer(http.StatusBadRequest, dynamoType, tableError{
		Type: dynamoErrors + "ProvisionedThroughputExceededException", Message: "throughput exceeded",
	})
	t.serve(w, r, refusal, func(body []byte) answer {
		var req tableRequest
		if err := json.Unmarshal(body, &req); err != nil {
			return invalidRequest(err.Error())
		}
		rows := <-t.rows
		defer func() { t.rows <- rows }()
		switch strings.TrimPrefix(r.Header.Get("X-Amz-Target"), dynamoTarget) {
		case "GetItem":
			found := rows[req.Key["pk"].text()][req.Key["sk"].text()]
			return jsonAnswer(http.StatusOK, dynamoType, itemReply{found})
		case "Query":
			return jsonAnswer(http.StatusOK, dynamoType, rows.query(req))
		case "TransactWriteItems":
			return rows.transact(req)
		}
		return invalidRequest("operation is not supported")
	})
}

func invalidRequest(message string) answer {
	return jsonAnswer(http.StatusBadRequest, dynamoType, tableError{Type: dynamoErrors + "ValidationException", Message: message})
}

// queryPage ends pages early, as the service does at its size limit.
const queryPage = 100

func (rows tableRows) query(req tableRequest) queryReply {
	partition := rows[req.Values[":p"].text()]
	after := req.Values[":s"].text()
	var keys []string
	for key := range partition {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	reply := queryReply{Items: []item{}}
	for _, key := range keys[:min(len(keys), queryPage, req.Limit)] {
		reply.Items = append(reply.Items, partition[key])
	}
	reply.Count = len(reply.Items)
	if reply.Count > 0 && reply.Count < len(keys) {
		last := reply.Items[reply.Count-1]
		reply.LastEvaluatedKey = item{"pk": last["pk"], "sk": last["sk"]}
	}
	return reply
}

func (rows tableRows) transact(req tableRequest) answer {
	reasons := make([]reason, len(req.TransactItems))
	failed := false
	for i, write := range req.TransactItems {
		reasons[i].Code = "None"
		if !rows.holds(write.Put) {
			reasons[i].Code = "ConditionalCheckFailed"
			failed = true
		}
	}
	if failed {
		return jsonAnswer(http.StatusBadRequest, dynamoType, tableError{
			Type: dynamoErrors + "TransactionCanceledException", Message: "transaction cancelled", Reasons: reasons,
		})
	}
	for _, write := range req.TransactItems {
		rows.put(write.Put.Item)
	}
	return jsonAnswer(http.StatusOK, dynamoType, struct{}{})
}

func (rows tableRows) holds(put tablePut) bool {
	current, exists := rows[put.Item["pk"].text()][put.Item["sk"].text()]
	if strings.HasPrefix(put.Condition, "attribute_not_exists") {
		return !exists
	}
	return exists && current["v"].text() == put.Values[":v"].text()
}

func (rows tableRows) put(row item) {
	partition := row["pk"].text()
	if rows[partition] == nil {
		rows[partition] = map[string]item{}
	}
	rows[partition][row["sk"].text()] = row
}
