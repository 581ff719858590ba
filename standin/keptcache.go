package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"waxwingtide.example/waxwingtide/keptcache"
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
	faults    KeptCacheFaults
	ledger    KeptCacheLedger
	pieces    map[string][]byte
	manifests map[string][]byte
}

// NewKeptCache returns a running store; Close ends it.
func NewKeptCache(o KeptCacheOptions) *KeptCache {
	s := &KeptCache{o: o, owner: newStateOwner(), mux: http.NewServeMux()}
	s.LoseEverything()
	s.mux.HandleFunc("POST /v1/manifests/{scope}/lookup", s.lookup)
	for kind, objects := range map[string]*map[string][]byte{"pieces": &s.pieces, "manifests": &s.manifests} {
		path := " /v1/" + kind + "/{scope}/{key}"
		s.mux.HandleFunc("PUT"+path, func(w http.ResponseWriter, r *http.Request) { s.put(w, r, objects) })
		s.mux.HandleFunc("GET"+path, func(w http.ResponseWriter, r *http.Request) { s.get(w, r, objects) })
		s.mux.HandleFunc("DELETE"+path, func(_ http.ResponseWriter, r *http.Request) { s.remove(r, objects) })
	}
	return s
}

// Close ends the store.
func (s *KeptCache) Close() { s.owner.close() }

// SetFaults replaces the faults in force.
func (s *KeptCache) SetFaults(f KeptCacheFaults) { s.owner.do(func() { s.faults = f }) }

// LoseEverything empties the store, as a replaced VM is.
func (s *KeptCache) LoseEverything() {
	s.owner.do(func() { s.pieces, s.manifests = make(map[string][]byte), make(map[string][]byte) })
}

// Ledger returns the counters.
func (s *KeptCache) Ledger() (l KeptCacheLedger) {
	s.owner.do(func() {
		l = s.ledger
		l.Pieces, l.Manifests, l.UsedBytes = len(s.pieces), len(s.manifests), s.used()
	})
	return l
}

// ServeHTTP serves the store's interface.
func (s *KeptCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults KeptCacheFaults
	// The server notices a closed connection only after the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStandinBody))
	if err != nil || !s.owner.do(func() { faults = s.faults }) || faults.Down || !pause(r.Context(), faults.Delay) {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.mux.ServeHTTP(w, r)
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
}

func objectName(r *http.Request) string { return r.PathValue("scope") + "/" + r.PathValue("key") }

func (s *KeptCache) used() int {
	used := 0
	for _, objects := range []map[string][]byte{s.pieces, s.manifests} {
		for _, body := range objects {
			used += len(body)
		}
	}
	return used
}

func (s *KeptCache) put(w http.ResponseWriter, r *http.Request, objects *map[string][]byte) {
	body, _ := io.ReadAll(r.Body)
	status := http.StatusNoContent
	s.owner.do(func() {
		if s.o.MemoryBytes > 0 && s.used()+len(body) > s.o.MemoryBytes {
			s.ledger.Refused++
			status = http.StatusInsufficientStorage
			return
		}
		if objects == &s.manifests {
			s.checkManifest(r.PathValue("scope"), body)
		}
		(*objects)[objectName(r)] = body
	})
	w.WriteHeader(status)
}

func (s *KeptCache) checkManifest(scope string, body []byte) {
	var manifest keptcache.Manifest
	_ = json.Unmarshal(body, &manifest)
	for _, piece := range manifest.Pieces {
		if _, ok := s.pieces[scope+"/"+piece.Key]; !ok {
			s.ledger.EarlyManifests++
			return
		}
	}
}

func (s *KeptCache) get(w http.ResponseWriter, r *http.Request, objects *map[string][]byte) {
	var body []byte
	found, corrupt := false, false
	s.owner.do(func() {
		body, found = (*objects)[objectName(r)]
		corrupt = s.faults.CorruptPieces
	})
	if !found {
		http.NotFound(w, r)
		return
	}
	if corrupt && len(body) > 0 {
		body = bytes.Clone(body)
		body[len(body)/2] ^= 1
	}
	_, _ = w.Write(body)
}

func (s *KeptCache) remove(r *http.Request, objects *map[string][]byte) {
	s.owner.do(func() { delete(*objects, objectName(r)) })
}

func (s *KeptCache) lookup(w http.ResponseWriter, r *http.Request) {
	var req keptcache.LookupRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	var body []byte
	s.owner.do(func() {
		for _, key := range req.Keys {
			if manifest, ok := s.manifests[r.PathValue("scope")+"/"+key]; ok {
				body = manifest
				break
			}
		}
		if s.faults.HalfManifests {
			body = body[:len(body)/2]
		}
	})
	if body == nil {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}
