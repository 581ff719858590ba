package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"sync/atomic"
	"time"
)

// PlatformStore is a stand-in for the users' platform's metadata store: rows
// with versions, transactions with conditions, and a feed of changes.
type PlatformStore struct {
	owner   *stateOwner
	rows    map[platformKey]platformRow
	version uint64
	// generation rises with each restore.
	generation uint64
	started    time.Time
	// waiters are closed at the next change.
	changed chan struct{}
	// dark makes the store refuse all calls with status 503.
	dark atomic.Bool
	// loseAnswers makes transactions take effect without an answer.
	loseAnswers atomic.Bool
	// holdWrites makes transactions wait in late, without an answer.
	holdWrites atomic.Bool
	late       []transaction
}

// transaction is a request for writes that take effect together if all conditions hold.
type transaction struct {
	Conditions []platformRow `json:"precondition"`
	Puts       []platformRow `json:"puts"`
	Removes    []platformRow `json:"remove"`
}

type platformKey struct{ table, key string }

type platformRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// NewPlatformStore returns an empty store.
func NewPlatformStore() *PlatformStore {
	return &PlatformStore{
		owner: newStateOwner(), rows: make(map[platformKey]platformRow), started: time.Now(), changed: make(chan struct{}),
	}
}

// Close ends the store.
func (s *PlatformStore) Close() { s.owner.close() }

// SetDark makes the store refuse all calls, or serve them again.
func (s *PlatformStore) SetDark(dark bool) { s.dark.Store(dark) }

// SetLoseAnswers makes transactions take effect without an answer.
func (s *PlatformStore) SetLoseAnswers(lose bool) { s.loseAnswers.Store(lose) }

// HoldWrites makes transactions wait, without an answer, until PerformLateWrites. Those that
// wait are like requests that a network delivers late.
func (s *PlatformStore) HoldWrites(hold bool) { s.holdWrites.Store(hold) }

// PerformLateWrites performs the transactions that wait whose conditions hold now. It
// returns their number and that of all that waited.
func (s *PlatformStore) PerformLateWrites() (performed, waited int) {
	s.owner.do(func() {
		for _, tx := range s.late {
			if s.perform(tx) {
				performed++
			}
		}
		waited = len(s.late)
		s.late = nil
	})
	return performed, waited
}

// Put writes a row as the operator or an upstream does; a nil value removes it.
func (s *PlatformStore) Put(table, key string, value any) {
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			panic(err) // test data is encodable
		}
	}
	s.owner.do(func() { s.commit([]platformRow{{Table: table, Key: key, Value: body, Removed: value == nil}}) })
}

// StoreCopy is a copy of the store's content.
type StoreCopy struct {
	rows    map[platformKey]platformRow
	version uint64
}

// Copy returns a copy of the content.
func (s *PlatformStore) Copy() StoreCopy {
	var out StoreCopy
	s.owner.do(func() { out = StoreCopy{rows: maps.Clone(s.rows), version: s.version} })
	return out
}

// Restore replaces the content by a copy. What was written since the copy is lost, and
// its versions are assigned again.
func (s *PlatformStore) Restore(from StoreCopy) {
	s.owner.do(func() {
		s.rows, s.version = maps.Clone(from.rows), from.version
		s.generation++
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

// Row returns the value of a row and whether it exists.
func (s *PlatformStore) Row(table, key string) (value []byte, ok bool) {
	s.owner.do(func() {
		r, found := s.rows[platformKey{table, key}]
		value, ok = r.Value, found && !r.Removed
	})
	return value, ok
}

// commit writes rows under one new version.
func (s *PlatformStore) commit(rows []platformRow) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[platformKey{r.Table, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *PlatformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.dark.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	case "/-/rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

// page is a result of the store.
type page struct {
	rows       []platformRow
	version    uint64
	generation uint64
}

func (s *PlatformStore) answer(w http.ResponseWriter, status int, p page) {
	w.Header().Set("Store-Era", strconv.FormatUint(p.generation, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": p.rows, "has-more": false, "ver": p.version, "now-ms": time.Since(s.started).Milliseconds(),
	})
}

// after returns the rows of a table with a newer version, in order.
func (s *PlatformStore) after(table string, version uint64, removed bool) []platformRow {
	var rows []platformRow
	for key, r := range s.rows {
		if key.table == table && r.Version > version && (removed || !r.Removed) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

func (s *PlatformStore) get(w http.ResponseWriter, r *http.Request) {
	var p page
	s.owner.do(func() {
		p = page{rows: s.after(r.URL.Query().Get("table"), 0, false), version: s.version, generation: s.generation}
	})
	s.answer(w, http.StatusOK, p)
}

func (s *PlatformStore) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		var p page
		var changed chan struct{}
		s.owner.do(func() {
			p = page{rows: s.after(query.Get("table"), after, true), version: s.version, generation: s.generation}
			changed = s.changed
		})
		if after > p.version {
			s.answer(w, http.StatusGone, page{version: p.version, generation: p.generation})
			return
		}
		if len(p.rows) > 0 {
			s.answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *PlatformStore) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.holdWrites.Load() {
		s.owner.do(func() { s.late = append(s.late, tx) })
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	var p page
	s.owner.do(func() {
		if !s.perform(tx) {
			status = http.StatusPreconditionFailed
		}
		p = page{version: s.version, generation: s.generation}
	})
	if s.loseAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, status, p)
}

// perform writes the rows of a transaction if its conditions hold.
func (s *PlatformStore) perform(tx transaction) bool {
	for _, c := range tx.Conditions {
		have := s.rows[platformKey{c.Table, c.Key}]
		if have.Removed {
			have.Version = 0
		}
		if have.Version != c.Version {
			return false
		}
	}
	for i := range tx.Removes {
		tx.Removes[i].Removed = true
	}
	s.commit(append(tx.Puts, tx.Removes...))
	return true
}
