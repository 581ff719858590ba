package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"waxwingtide.example/waxwingtide/cachestore"
	"waxwingtide.example/waxwingtide/duty"
)

// KeptCacheOptions describes the modelled kept-cache store.
type KeptCacheOptions struct {
	// MemoryBytes is the capacity; 0 means unlimited.
	MemoryBytes int
}

// KeptCacheFaults are switched at runtime with SetFaults.
type KeptCacheFaults struct {
	// Down cuts every connection.
	Down bool
	// Delay is added to every answer.
	Delay time.Duration
	// CorruptPieces flips a byte of each piece that is read.
	CorruptPieces bool
	// HalfManifests answers lookups with the first half of the manifest.
	HalfManifests bool
	// LoseAnswers cuts the connection after the request has taken effect.
	LoseAnswers bool
}

// KeptCacheLedger counts what the store has seen.
type KeptCacheLedger struct {
	UsedBytes int
	Pieces    int
	Manifests int
	// EarlyManifests counts manifests written before one of their pieces.
	EarlyManifests int
	Refused        int
}

// KeptCache is a stand-in for a kept-cache store. It implements http.Handler.
type KeptCache struct {
	o     KeptCacheOptions
	owner *stateOwner
	mux   *http.ServeMux

	// The fields below belong to the owner.
	faults  KeptCacheFaults
	ledger  KeptCacheLedger
	objects map[string][]byte // by path
}

// NewKeptCache returns a running store; Close ends it.
func NewKeptCache(o KeptCacheOptions) *KeptCache {
	s := &KeptCache{o: o, owner: newStateOwner(), mux: http.NewServeMux()}
	s.LoseEverything()
	s.mux.HandleFunc("POST /v1/manifests/{scope}/lookup", s.lookup)
	s.mux.HandleFunc("PUT /v1/{kind}/{scope}/{key}", s.put)
	s.mux.HandleFunc("GET /v1/pieces/{scope}/{key}", s.get)
	s.mux.HandleFunc("DELETE /v1/{kind}/{scope}/{key}", s.remove)
	return s
}

// Close ends the store.
func (s *KeptCache) Close() { s.owner.close() }

// SetFaults replaces the faults in force.
func (s *KeptCache) SetFaults(f KeptCacheFaults) { s.owner.do(func() { s.faults = f }) }

// LoseEverything empties the store, as a replaced VM is.
func (s *KeptCache) LoseEverything() {
	s.owner.do(func() { s.objects = make(map[string][]byte) })
}

// Ledger returns the counters.
func (s *KeptCache) Ledger() (l KeptCacheLedger) {
	s.owner.do(func() {
		l = s.ledger
		l.UsedBytes = s.used()
		for path := range s.objects {
			if strings.HasPrefix(path, "/v1/pieces/") {
				l.Pieces++
			} else {
				l.Manifests++
			}
		}
	})
	return l
}

// ServeHTTP serves the store's interface.
func (s *KeptCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults KeptCacheFaults
	// The server notices a closed connection only after the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStandinBody))
	if err != nil || !s.owner.do(func() { faults = s.faults }) || faults.Down || !duty.Pause(r.Context(), faults.Delay) {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.mux.ServeHTTP(w, r)
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
}

func (s *KeptCache) used() int {
	used := 0
	for _, body := range s.objects {
		used += len(body)
	}
	return used
}

func (s *KeptCache) put(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	status := http.StatusNoContent
	s.owner.do(func() {
		growth := len(body) - len(s.objects[r.URL.Path])
		if s.o.MemoryBytes > 0 && growth > 0 && s.used()+growth > s.o.MemoryBytes {
			s.ledger.Refused++
			status = http.StatusInsufficientStorage
			return
		}
		if r.PathValue("kind") == "manifests" {
			s.checkManifest(r.PathValue("scope"), body)
		}
		s.objects[r.URL.Path] = body
	})
	w.WriteHeader(status)
}

func (s *KeptCache) checkManifest(scope string, body []byte) {
	var manifest cachestore.Manifest
	_ = json.Unmarshal(body, &manifest)
	for _, piece := range manifest.Pieces {
		if s.objects["/v1/pieces/"+scope+"/"+piece.Key] == nil {
			s.ledger.EarlyManifests++
			return
		}
	}
}

func (s *KeptCache) get(w http.ResponseWriter, r *http.Request) {
	var body []byte
	s.owner.do(func() {
		body = bytes.Clone(s.objects[r.URL.Path])
		if s.faults.CorruptPieces && len(body) > 0 {
			body[len(body)/2] ^= 1
		}
	})
	writeObject(w, r, body)
}

func writeObject(w http.ResponseWriter, r *http.Request, body []byte) {
	if body == nil {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (s *KeptCache) remove(_ http.ResponseWriter, r *http.Request) {
	s.owner.do(func() { delete(s.objects, r.URL.Path) })
}

func (s *KeptCache) lookup(w http.ResponseWriter, r *http.Request) {
	var req cachestore.LookupRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	var body []byte
	s.owner.do(func() {
		for _, key := range req.Keys {
			if body = s.objects["/v1/manifests/"+r.PathValue("scope")+"/"+key]; body != nil {
				break
			}
		}
		if s.faults.HalfManifests {
			body = body[:len(body)/2]
		}
	})
	writeObject(w, r, body)
}
