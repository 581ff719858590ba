//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Times since the fronts are ready.
	copyAt    = 2 * time.Second
	nameAt    = 9 * time.Second
	drillEnd  = 22 * time.Second
	awayFor   = 300 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
	// loadTime is the time that new weights take a server, reportLag the age of what a server
	// reports to other machines.
	loadTime  = 670 * time.Millisecond
	reportLag = 300 * time.Millisecond
	// A write without an answer is performed within earliestLate to latestLate.
	earliestLate = time.Second
	latestLate   = 6 * time.Second
	// leaseTurns is the rule's lease-ms.
	leaseTurns = 3 * time.Second
	// spareVersions are left for the writes of the fronts after a restore.
	spareVersions = 4
)

// drillPhase is what has happened to the writes of the lease.
type drillPhase int

const (
	awaitAcquisition drillPhase = iota
	awaitRenewal
	awaitDrill
	awaitNewHolder
	awaitReader
	afterLateWrite
)

// drillStore passes calls on to the store. It leaves one write of the lease unanswered and
// performs it late, after the store has come back from a copy.
type drillStore struct {
	*world
	away    atomic.Bool
	drill   chan struct{}
	trouble bool

	mu     sync.Mutex
	phase  drillPhase
	leased uint64
	lost   []byte
	lostAt time.Time
	tookAt time.Time
	beat   func()
	err    error
}

// ServeHTTP implements http.Handler.
func (s *drillStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if s.away.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.URL.Path == "/-/rows-tx":
		s.transact(rw, r)
	case r.URL.Path == "/-/rows-get" && r.URL.Query().Get("table") == "leases":
		s.mu.Lock()
		s.rec.note("lease is read over %s", r.RemoteAddr)
		s.performLate()
		s.mu.Unlock()
		s.store.ServeHTTP(rw, r)
	default:
		s.store.ServeHTTP(rw, r)
	}
}

// transact passes a transaction on unless it is the one that gets no answer.
func (s *drillStore) transact(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var tx struct {
		Puts []struct {
			Table string `json:"table"`
		} `json:"puts"`
	}
	_ = json.Unmarshal(body, &tx)
	s.mu.Lock()
	isLease := len(tx.Puts) > 0 && tx.Puts[0].Table == "leases"
	if isLease && s.trouble && s.phase == awaitRenewal {
		s.phase, s.lost, s.lostAt = awaitDrill, body, time.Now()
		s.rec.note("store leaves a write of the lease without an answer: it has the condition that the row has version %d", s.leased)
		s.mu.Unlock()
		close(s.drill)
		<-r.Context().Done()
		return
	}
	defer s.mu.Unlock()
	if isLease && s.phase == awaitNewHolder {
		for s.version()+1 < s.leased {
			s.beat()
		}
		s.rec.note("store has version %d when the lease is written in the new era", s.version())
	}
	status, ver, reply := s.perform(body)
	if isLease && status == http.StatusOK {
		s.leaseWritten(ver)
	}
	rw.Header().Set("Store-Era", reply.Header().Get("Store-Era"))
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(reply.Body.Bytes())
}

// leaseWritten records a write of the lease. s.mu is held.
func (s *drillStore) leaseWritten(ver uint64) {
	s.rec.note("lease is written as version %d", ver)
	switch s.phase {
	case awaitAcquisition:
		s.phase, s.leased = awaitRenewal, ver
	case awaitNewHolder:
		if ver != s.leased {
			s.err = fmt.Errorf("the new holder's row has version %d instead of %d", ver, s.leased)
		}
		s.phase, s.tookAt = awaitReader, time.Now()
	}
}

// performLate performs the write that got no answer, when another front reads the lease.
// s.mu is held.
func (s *drillStore) performLate() {
	if s.phase != awaitReader {
		return
	}
	late := time.Since(s.lostAt)
	if late < earliestLate || late > latestLate {
		s.err = fmt.Errorf("the write would be performed %s late", late)
		return
	}
	s.phase = afterLateWrite
	status, ver, _ := s.perform(s.lost)
	s.rec.note("store performs the write without an answer %s after it was sent: status %d, version %d", late.Round(time.Millisecond), status, ver)
}

// perform lets the store perform a transaction.
func (s *drillStore) perform(body []byte) (status int, ver uint64, reply *httptest.ResponseRecorder) {
	reply = httptest.NewRecorder()
	s.store.ServeHTTP(reply, httptest.NewRequest(http.MethodPost, "/-/rows-tx", bytes.NewReader(body)))
	return reply.Code, versionOf(reply), reply
}

// version returns the newest version of the store.
func (s *drillStore) version() uint64 {
	reply := httptest.NewRecorder()
	s.store.ServeHTTP(reply, httptest.NewRequest(http.MethodGet, "/-/rows-get?table=none", nil))
	return versionOf(reply)
}

func versionOf(reply *httptest.ResponseRecorder) uint64 {
	var page struct {
		Version uint64 `json:"ver"`
	}
	_ = json.Unmarshal(reply.Body.Bytes(), &page)
	return page.Version
}

// engineState is the state of a model server from a time on.
type engineState struct {
	from    time.Time
	version int
	busy    bool
	orders  uint64
}

// orderSeen is an order that reached a server.
type orderSeen struct {
	at     time.Time
	server string
	holder string
	token  uint64
}

// engine is a stand-in model server that takes orders.
type engine struct {
	w       *drillStore
	id      string
	address string
	mu      sync.Mutex
	states  []engineState
	seq     int
	seen    *[]orderSeen
	seenMu  *sync.Mutex
}

func (e *engine) now() *engineState { return &e.states[len(e.states)-1] }

// write writes the server's entry.
func (e *engine) write() {
	e.mu.Lock()
	e.seq++
	row := map[string]any{
		"service": llmService, "address": e.address, "zone": "celaya", "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0,
		"stage": "prefill_decode", "models": []any{map[string]any{"name": model, "version": e.now().version, "adapters": []any{}}},
		"seq": e.seq, "born": 1_800_000_000_000,
	}
	e.mu.Unlock()
	e.w.store.Put("servers", e.id, row)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/report":
		e.mu.Lock()
		state := e.states[0]
		for _, s := range e.states {
			if time.Since(s.from) >= reportLag {
				state = s
			}
		}
		e.mu.Unlock()
		writeJSON(rw, map[string]any{
			"stage": "prefill_decode", "models": []any{map[string]any{"name": model, "version": state.version}}, "busy": state.busy,
			"seq": state.orders, "born": 1_800_000_000_000,
		})
	case "/-/order":
		e.order(rw, r)
	case "/-/kv-events":
		time.Sleep(200 * time.Millisecond)
		writeJSON(rw, map[string]any{"boot-epoch": 1, "next": 0, "lost": false, "events": []any{}})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (e *engine) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  int    `json:"version"`
		Holder   string `json:"holder"`
		Token    uint64 `json:"fencing-token"`
		Expected uint64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || r.Header.Get("Expect-Instance") != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.seenMu.Lock()
	*e.seen = append(*e.seen, orderSeen{time.Now(), e.id, o.Holder, o.Token})
	e.seenMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch now := e.now(); {
	case now.version >= o.Version:
		status = http.StatusOK
	case now.busy || now.orders != o.Expected:
		status = http.StatusConflict
	default:
		e.states = append(e.states, engineState{time.Now(), now.version, true, now.orders + 1})
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.states = append(e.states, engineState{time.Now(), o.Version, false, e.now().orders})
			e.mu.Unlock()
			if !e.w.away.Load() {
				e.write()
			}
		})
	}
	e.w.rec.note("order to %s: version %d, holder %s, fencing-token %d, answer %d", e.id, o.Version, o.Holder, o.Token, status)
	rw.WriteHeader(status)
}

func writeJSON(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(v)
}

// oneCase names new weights. With trouble, a renewal of the lease gets no answer, the store
// comes back from a copy, and the renewal is performed late.
func oneCase(base *world) (bool, error) {
	s := &drillStore{world: base, drill: make(chan struct{}), trouble: base.trouble}
	s.storeAt = s.serve(s)
	s.configure(1, []any{route("verdict", "streaming", llmService, 6*time.Second, 600*time.Millisecond, 2, true)}, []any{modelService(llmService)}, "")
	var seen []orderSeen
	var seenMu sync.Mutex
	var engines []*engine
	for i := range servers {
		e := &engine{w: s, id: fmt.Sprintf("i-%08x", 0xa0+i), seen: &seen, seenMu: &seenMu, states: []engineState{{version: 1}}}
		e.address = s.serve(e)
		e.write()
		engines = append(engines, e)
	}
	next := 0
	s.beat = func() {
		engines[next%len(engines)].write()
		next++
	}
	if err := s.startFronts(len(zones)); err != nil {
		return false, err
	}
	begun := time.Now()
	stop := make(chan struct{})
	defer close(stop)
	go s.heartbeats(stop)
	time.Sleep(time.Until(begun.Add(copyAt)))
	copied := s.store.Copy()
	time.Sleep(time.Until(begun.Add(nameAt)))
	s.store.Put("op", "version/"+model, map[string]any{"model": model, "version": 2})
	s.rec.note("operator names version 2 of the weights")
	if s.trouble {
		select {
		case <-s.drill:
		case <-time.After(5 * time.Second):
			return false, errors.New("no front has renewed the lease")
		}
		s.away.Store(true)
		time.Sleep(awayFor)
		s.mu.Lock()
		s.store.Restore(copied)
		s.configure(1, []any{route("verdict", "streaming", llmService, 6*time.Second, 600*time.Millisecond, 2, true)}, []any{modelService(llmService)}, "")
		s.store.Put("op", "version/"+model, map[string]any{"model": model, "version": 2})
		for _, e := range engines {
			e.write()
		}
		s.rec.note("store is back from a copy that is %s old and has version %d; operator and servers have written again", (nameAt - copyAt).Round(time.Second), s.version())
		s.phase = awaitNewHolder
		s.mu.Unlock()
		s.away.Store(false)
	}
	time.Sleep(time.Until(begun.Add(drillEnd)))
	s.mu.Lock()
	err, phase := s.err, s.phase
	s.mu.Unlock()
	if err == nil && s.trouble && phase != afterLateWrite {
		err = fmt.Errorf("the late write was not performed, phase %d", phase)
	}
	if err != nil {
		return false, err
	}
	seenMu.Lock()
	defer seenMu.Unlock()
	return s.twoHolders(seen), nil
}

// heartbeats lets the servers write their entries one after the other. In the new era they
// leave some versions for the writes of the fronts.
func (s *drillStore) heartbeats(stop <-chan struct{}) {
	ticker := time.NewTicker(heartbeat / servers)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		if !s.away.Load() && s.phase != awaitDrill && (s.phase != awaitNewHolder || s.version()+spareVersions < s.leased) {
			s.beat()
		}
		s.mu.Unlock()
	}
}

// twoHolders checks the orders to each server.
func (s *drillStore) twoHolders(seen []orderSeen) bool {
	sort.Slice(seen, func(i, j int) bool { return seen[i].at.Before(seen[j].at) })
	last := make(map[string]orderSeen)
	ruleBroken := false
	for _, o := range seen {
		before, ok := last[o.server]
		last[o.server] = o
		if !ok || before.holder == o.holder {
			continue
		}
		gap := o.at.Sub(before.at)
		switch {
		case before.token == o.token:
			s.rec.note("broken: server %s gets orders of %s and, %s later, of %s, both with the fencing token %d", o.server, before.holder, gap.Round(time.Millisecond), o.holder, o.token)
		case o.token < before.token:
			s.rec.note("broken: server %s gets the fencing token %d of %s after %d of %s", o.server, o.token, o.holder, before.token, before.holder)
		case gap < leaseTurns:
			s.rec.note("broken: server %s gets orders of %s and, %s later, of %s", o.server, before.holder, gap.Round(time.Millisecond), o.holder)
		default:
			continue
		}
		ruleBroken = true
	}
	if !ruleBroken {
		s.rec.note("held: %d orders, no two holders at one server within %s, no fencing token used by two", len(seen), leaseTurns)
	}
	return ruleBroken
}
