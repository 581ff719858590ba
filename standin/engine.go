// Package standin holds small stand-ins for the outside systems that the
// project meets: engines, stores and services. They model the behaviour that
// their options name and nothing else.
package standin

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"waxwingtide.example/waxwingtide/engine"
)

// TokenBytes is the length of one token in bytes of text.
const TokenBytes = 4

const (
	maxStandinBody   = 512 << 20
	maxStoredEvents  = 4096
	maxEventsInPage  = 256
	maxLoadSamples   = 1024
	defaultKVBytes   = 4 << 10
	coldFailMultiple = 2
	loadedVersions   = 2
)

// EngineOptions describes the modelled engine. Zero values turn a limit off.
type EngineOptions struct {
	// Models are loaded at the start, each as "model@version".
	Models []string
	// Weights is where further versions are loaded from; nil loads at once.
	Weights *Weights
	// PrefillRate is in bytes of uncached prompt a second.
	PrefillRate float64
	// TokenTime is the time of one decode step; TokenTimePerRun is added for
	// each run in the batch.
	TokenTime       time.Duration
	TokenTimePerRun time.Duration
	MaxBatch        int
	MaxQueue        int
	// CacheBlocks is the capacity of the prefix cache; 0 means no cache.
	CacheBlocks int
	// KVBytes is the size of an exported block; 0 means 4 KiB.
	KVBytes int
	// ColdFor is how long the engine is cold after a start. While cold, a
	// request above ColdLimit in flight is slowed by ColdSlowdown, and one above
	// twice the limit fails.
	ColdFor      time.Duration
	ColdLimit    int
	ColdSlowdown float64
	// CheckFence refuses orders whose fencing token is older than the newest.
	CheckFence bool
	// EventDelay is how late cache events are published; each EventGap-th event
	// is never published.
	EventDelay time.Duration
	EventGap   uint64
	MetricsLag time.Duration
}

// VersionFault makes requests to one version fail or slow down.
type VersionFault struct {
	// Fail ends the requests with status 500.
	Fail bool
	// Slowdown multiplies prefill and decode times.
	Slowdown float64
	// CutAfter closes the connection after so many tokens; 0 means never.
	CutAfter int
	// After is the delay until the fault shows.
	After time.Duration
	// MinInFlight is the load below which the fault does not show.
	MinInFlight int
	// Match restricts the fault to some requests, for example to one route.
	Match func(engine.CompletionRequest) bool

	from time.Time
}

// EngineLedger counts what the engine has seen. The first five counters are
// zero as long as the callers keep the system's invariants.
type EngineLedger struct {
	// ForeignBlocks counts uses of blocks of another salt or version.
	ForeignBlocks int
	// DamagedBlocks counts uses of blocks that were freed or partly written.
	DamagedBlocks int
	// BadImports counts imported blocks of either kind.
	BadImports int
	// ColdOverload counts requests beyond what the engine bears while cold.
	ColdOverload int
	// WhileDrained counts requests begun in the role "drained".
	WhileDrained int
	// StaleOrders counts orders with an old fencing token that were carried out.
	StaleOrders      int
	Requests         int
	Cancelled        int
	PromptTokens     int
	RecomputedTokens int
}

// Engine is a stand-in for a model engine. It implements http.Handler.
type Engine struct {
	o         EngineOptions
	owner     *stateOwner
	mux       *http.ServeMux
	downUntil atomic.Int64
	running   atomic.Int64
	crossing  atomic.Bool

	// The fields below belong to the owner.
	ledger      EngineLedger
	incarnation uint64
	cacheEpoch  uint64
	coldUntil   time.Time
	loaded      []string
	role        string
	fence       uint64
	faults      map[string]VersionFault
	runs        map[*engineRun]bool
	lastRun     *engineRun
	waiting     []*engineRun
	runSeq      uint64
	blocks      *simplelru.LRU[string, cacheBlock]
	events      []timed[engine.Event]
	eventSeq    uint64
	samples     []timed[engine.Load]
}

type engineRun struct {
	req      engine.CompletionRequest
	seed     [sha256.Size]byte
	seq      uint64
	ready    chan struct{}
	started  bool
	ended    bool
	cancel   context.CancelFunc
	slowdown float64
	cutAfter int
	damaged  bool
	other    *engineRun
}

// NewEngine returns a running engine; Close ends it.
func NewEngine(o EngineOptions) *Engine {
	o.MaxBatch = max(o.MaxBatch, 1)
	if o.KVBytes == 0 {
		o.KVBytes = defaultKVBytes
	}
	e := &Engine{
		o: o, owner: newStateOwner(), mux: http.NewServeMux(), role: "serving",
		loaded: slices.Clone(o.Models), faults: make(map[string]VersionFault), runs: make(map[*engineRun]bool),
	}
	e.owner.do(func() {
		e.incarnation = uint64(time.Now().UnixNano())
		e.resetCache()
	})
	e.mux.HandleFunc("POST "+engine.PathCompletions, e.complete)
	e.mux.HandleFunc("GET "+engine.PathInfo, handle(e.owner, e.info))
	e.mux.HandleFunc("GET "+engine.PathMetrics, e.metrics)
	e.mux.HandleFunc("GET "+engine.PathEvents, handle(e.owner, e.listEvents))
	e.mux.HandleFunc("POST "+engine.PathExport, handle(e.owner, e.export))
	e.mux.HandleFunc("POST "+engine.PathImport, handle(e.owner, e.importBlocks))
	e.mux.HandleFunc("POST "+engine.PathLoad, e.load)
	e.mux.HandleFunc("POST "+engine.PathRole, handle(e.owner, e.setRole))
	return e
}

// ServeHTTP serves the engine's interface.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if time.Now().UnixNano() < e.downUntil.Load() {
		panic(http.ErrAbortHandler)
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxStandinBody)
	e.mux.ServeHTTP(w, r)
}

// Close ends the engine; requests in flight are cut.
func (e *Engine) Close() {
	e.owner.do(e.cancelRuns)
	e.owner.close()
}

// Ledger returns the counters.
func (e *Engine) Ledger() (l EngineLedger) {
	e.owner.do(func() { l = e.ledger })
	return l
}

// TurnCold empties the cache and starts a cold period without any warning.
func (e *Engine) TurnCold() { e.owner.do(e.resetCache) }

// Crash cuts all connections, answers nothing for a while and then starts as a
// new incarnation with an empty cache.
func (e *Engine) Crash(down time.Duration) {
	e.owner.do(func() {
		e.downUntil.Store(time.Now().Add(down).UnixNano())
		e.cancelRuns()
		e.incarnation = uint64(time.Now().UnixNano())
		e.events, e.eventSeq, e.fence = nil, 0, 0
		e.resetCache()
		e.coldUntil = e.coldUntil.Add(down)
	})
}

// SetVersionFault sets the fault of a version; nil removes it.
func (e *Engine) SetVersionFault(model string, fault *VersionFault) {
	e.owner.do(func() {
		delete(e.faults, model)
		if fault != nil {
			fault.from = time.Now().Add(fault.After)
			e.faults[model] = *fault
		}
	})
}

// CrossAnswers makes each stream carry the events of the request before it.
func (e *Engine) CrossAnswers(on bool) { e.crossing.Store(on) }

func (e *Engine) cancelRuns() {
	for run := range e.runs {
		run.cancel()
	}
}

func (e *Engine) resetCache() {
	e.cacheEpoch++
	e.coldUntil = time.Now().Add(e.o.ColdFor)
	e.blocks, _ = simplelru.NewLRU(max(e.o.CacheBlocks, 1), func(key string, block cacheBlock) {
		e.publish("removed", block.header.Salt, []string{key})
	})
	e.publish("cleared", "", nil)
	e.sampleLoad()
}

func (e *Engine) info(_ *http.Request, _ struct{}) reply {
	return reply{status: http.StatusOK, body: engine.Info{
		Incarnation: e.incarnation, CacheEpoch: e.cacheEpoch, Loaded: slices.Clone(e.loaded), Role: e.role,
	}}
}

func (e *Engine) sampleLoad() {
	load := engine.Load{Running: int(e.running.Load()), Waiting: len(e.waiting)}
	if e.o.CacheBlocks > 0 {
		load.CacheUse = float64(e.blocks.Len()) / float64(e.o.CacheBlocks)
	}
	e.samples = record(e.samples, load, maxLoadSamples)
}

func (e *Engine) metrics(w http.ResponseWriter, _ *http.Request) {
	var load engine.Load
	e.owner.do(func() {
		if samples := shown(e.samples, e.o.MetricsLag); len(samples) > 0 {
			load = samples[len(samples)-1].value
		}
	})
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	for name, value := range map[string]float64{
		engine.MetricRunning: float64(load.Running), engine.MetricWaiting: float64(load.Waiting), engine.MetricCache: load.CacheUse,
	} {
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, value)
	}
}

// acceptOrder checks an order's fencing token.
func (e *Engine) acceptOrder(r *http.Request) bool {
	fence, _ := strconv.ParseUint(r.Header.Get(engine.HeaderFence), 10, 64)
	stale := fence < e.fence
	e.fence = max(e.fence, fence)
	if stale && !e.o.CheckFence {
		e.ledger.StaleOrders++
	}
	return !stale || !e.o.CheckFence
}

// load runs on the handler's goroutine, because loading takes long.
func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var req engine.LoadRequest
	accepted := false
	err := json.NewDecoder(r.Body).Decode(&req)
	e.owner.do(func() { accepted = err == nil && e.acceptOrder(r) })
	switch {
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	case !accepted:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.o.Weights != nil && e.o.Weights.Load(r.Context(), req.Model) != nil:
		w.WriteHeader(http.StatusBadGateway)
	default:
		e.owner.do(func() { e.addVersion(req.Model) })
	}
}

func (e *Engine) setRole(r *http.Request, req engine.RoleRequest) reply {
	if !e.acceptOrder(r) {
		return reply{status: http.StatusPreconditionFailed}
	}
	e.role = req.Role
	return reply{status: http.StatusOK}
}

// addVersion makes a version available. All but the newest versions of a model
// are dropped with their blocks; runs in progress keep theirs.
func (e *Engine) addVersion(model string) {
	name, _, _ := strings.Cut(model, "@")
	e.loaded = append(slices.DeleteFunc(e.loaded, func(m string) bool { return m == model }), model)
	same := slices.DeleteFunc(slices.Clone(e.loaded), func(m string) bool { return !strings.HasPrefix(m, name+"@") })
	if len(same) <= loadedVersions {
		return
	}
	e.loaded = slices.DeleteFunc(e.loaded, func(m string) bool { return m == same[0] })
	for _, block := range e.blocks.Values() {
		if base, _, _ := strings.Cut(block.header.Model, "+"); base == same[0] {
			e.blocks.Remove(block.key)
		}
	}
}
