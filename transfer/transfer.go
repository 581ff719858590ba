// Package transfer runs the agent's cache and transfer duties: it imports kept
// KV cache before a run and exports it in the background after one.
package transfer

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/cachestore"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/kvcache"
	"waxwingtide.example/waxwingtide/ring"
)

// Capacities of the rings and tables.
const (
	eventPages     = 64
	lookupCalls    = 64
	importCalls    = 64
	finishedRuns   = 256
	resultCalls    = 64
	indexBlocks    = 1 << 18
	historyBlocks  = 1 << 16
	waitingExports = 256
	keptPrefixes   = 2048
	recentPrompts  = 256
)

const (
	// defaultRate is assumed for link and prefill until they are measured, in
	// bytes a second.
	defaultRate        = 1 << 20
	defaultLookupLimit = 250 * time.Millisecond
	defaultStoreRetry  = 2 * time.Second
	// defaultLeft is the time a run is given when its context has no deadline.
	defaultLeft = 30 * time.Second
)

// Store is a kept-cache store.
type Store struct {
	ID     string
	Client *cachestore.Client
}

// Options configures the duties.
type Options struct {
	Engine *engine.Client
	// Stores are those of the bundle in force; see SetStores.
	Stores []Store
	// LinkRate and PrefillRate are first estimates in bytes a second; 0 means
	// 1 MiB/s.
	LinkRate    float64
	PrefillRate float64
	// LookupLimit bounds the wait for a store's answer to a lookup, so that a
	// slow store delays a run by little; 0 means 250 ms.
	LookupLimit time.Duration
	// StoreRetry is how long a store that failed is left alone; 0 means 2 s. It
	// doubles with each further failure, up to 16 times. A full store gets no
	// exports for five times as long.
	StoreRetry time.Duration
	// EventInterval is how often the engine's cache events are read; 0 means
	// that the caller reads them and passes them to Feed.
	EventInterval time.Duration
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	Log logrus.FieldLogger
}

// Stats counts the work of the duties since their start.
type Stats struct {
	Imports       int
	ImportedBytes int64
	// ImportFailures counts imports that ended without a commit.
	ImportFailures int
	Exports        int
	ExportedBytes  int64
	ExportFailures int
	// Dropped counts prefixes that were given up for others of higher value.
	Dropped int
}

// Transfer is the handle of the duties. Its methods may be called from any
// goroutine; they reach the duties through rings only.
type Transfer struct {
	o        Options
	stores   atomic.Pointer[[]Store]
	recent   atomic.Pointer[[]core.BlockKey]
	link     atomic.Pointer[kvcache.Budget]
	prefill  atomic.Int64
	epoch    atomic.Uint64
	stats    atomic.Pointer[Stats]
	events   *ring.Ring[engine.EventPage]
	lookups  *ring.Ring[lookup]
	imports  *ring.Ring[message]
	finished *ring.Ring[finishedRun]
	results  *ring.Ring[message]
	jobs     *ring.Ring[job]
}

// New returns the duties, not yet started.
func New(o Options) *Transfer {
	o.LinkRate = cmp.Or(max(o.LinkRate, 0), defaultRate)
	o.PrefillRate = cmp.Or(max(o.PrefillRate, 0), defaultRate)
	o.LookupLimit = cmp.Or(max(o.LookupLimit, 0), defaultLookupLimit)
	o.StoreRetry = cmp.Or(max(o.StoreRetry, 0), defaultStoreRetry)
	if o.Now == nil {
		o.Now = time.Now
	}
	t := &Transfer{
		o:        o,
		events:   ring.New[engine.EventPage](eventPages),
		lookups:  ring.New[lookup](lookupCalls),
		imports:  ring.New[message](importCalls),
		finished: ring.New[finishedRun](finishedRuns),
		results:  ring.New[message](resultCalls),
		jobs:     ring.New[job](1),
	}
	t.SetStores(o.Stores)
	t.recent.Store(&[]core.BlockKey{})
	t.link.Store(kvcache.NewBudget(o.LinkRate))
	t.prefill.Store(int64(o.PrefillRate))
	t.stats.Store(&Stats{})
	return t
}

// Start starts the duties in a group.
func (t *Transfer) Start(group *duty.Group) {
	group.Go("cache", newCacheDuty(t).run)
	group.Go("transfer", newTransferDuty(t).run)
	group.Go("exporter", newExporter(t).run)
	if t.o.EventInterval > 0 {
		group.Go("cache events", t.readEvents)
	}
}

// SetStores replaces the stores, for example after a change of the bundle or
// the loss of a failure domain.
func (t *Transfer) SetStores(stores []Store) {
	stores = slices.Clone(stores)
	t.stores.Store(&stores)
}

// Feed passes a page of the engine's cache events to the cache duty. When its
// ring is full the oldest page is dropped, which counts as a gap.
func (t *Transfer) Feed(page engine.EventPage) { t.events.Push(page) }

// ObservePrefill records that the engine computed so many bytes of prompt text
// in a time, from which the prefill rate is measured.
func (t *Transfer) ObservePrefill(ctx context.Context, uncachedBytes int, elapsed time.Duration) {
	_ = t.results.Send(ctx, prefillSample{bytes: uncachedBytes, elapsed: elapsed})
}

// Finished records a finished run. Its prompt's blocks become a candidate for
// export. When the ring is full the oldest run is dropped; it costs
// recomputation only.
func (t *Transfer) Finished(scope core.CacheScope, prompt string, usage engine.Usage) {
	salt := scope.Salt()
	keys := core.BlockKeys(salt, prompt)
	if len(keys) == 0 || usage.PromptTokens == 0 {
		return
	}
	t.lookups.Offer(lookup{keys: keys, confirm: true, epoch: t.epoch.Load()})
	t.finished.Push(finishedRun{salt: salt, keys: keys})
}

// LinkFree returns the free rate of the link to the stores in bytes a second.
func (t *Transfer) LinkFree() float64 {
	budget := *t.link.Load()
	return budget.Free(t.o.Now())
}

// PrefillRate returns the measured prefill rate in bytes of prompt a second.
func (t *Transfer) PrefillRate() float64 { return float64(t.prefill.Load()) }

// RecentKeys returns the last block's key of recent prompts that the engine is
// believed to hold, newest first.
func (t *Transfer) RecentKeys() []core.BlockKey { return *t.recent.Load() }

// Stats returns the counters.
func (t *Transfer) Stats() Stats { return *t.stats.Load() }

// Flush exports everything that waits, and again everything exported before
// that its store no longer has. It returns when that is done or with an error
// of kind Unavailable when the context ends.
func (t *Transfer) Flush(ctx context.Context) error {
	done := ring.New[struct{}](1)
	if err := t.results.Send(ctx, flush{done: done}); err != nil {
		return flushError(err)
	}
	_, err := done.Receive(ctx)
	return flushError(err)
}

func flushError(err error) error {
	return errs.Wrap(err, errs.Unavailable, "leave later or accept recomputation", "kept cache was not fully exported")
}
