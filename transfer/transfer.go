// Package transfer contains the agent's duties for the KV cache of its engine. They
// import stored KV cache before a run and export it in the background after a run.
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

// Capacities of the rings in items, and maximum sizes: of the index in blocks, of the
// use history in prefixes, of the exporter's records in pieces, of the waiting exports
// and the queued removals, of the recorded prefixes per store, and of the recent
// prompts.
const (
	eventRingSize     = 64
	indexRingSize     = 64
	importRingSize    = 64
	runRingSize       = 256
	messageRingSize   = 64
	maxIndexBlocks    = 1 << 18
	maxKeyRecords     = 1 << 16
	maxWaitingExports = 256
	maxStorePrefixes  = 2048
	maxRecentPrompts  = 256
)

const (
	// defaultRate is the initial rate of the link and of prefill in bytes per second.
	defaultRate               = 1 << 20
	defaultLookupTimeout      = 250 * time.Millisecond
	defaultStoreRetryInterval = 2 * time.Second
	// defaultTimeLeft is the assumed time until the deadline for a run without one, and
	// for estimates.
	defaultTimeLeft = 30 * time.Second
)

// Store is a kept-cache store.
type Store struct {
	ID     string
	Client *cachestore.Client
}

// Options configures the duties.
type Options struct {
	Engine *engine.Client
	// Stores contains the initial stores. SetStores replaces them.
	Stores []Store
	// LinkRate and PrefillRate are the initial rates in bytes per second; 0 means 1
	// MiB/s.
	LinkRate    float64
	PrefillRate float64
	// LookupTimeout is the maximum time for a manifest lookup, so that a slow store
	// delays a run only a little; 0 means 250 ms.
	LookupTimeout time.Duration
	// StoreRetryInterval is the time during which a store is not used after a failure;
	// 0 means 2 s. It doubles with each consecutive failure, up to 16 times the
	// interval. A full store gets no exports for five times the interval.
	StoreRetryInterval time.Duration
	// EventPollInterval is the interval between two reads of the engine's cache events;
	// 0 means that the caller reads them and passes them to PushEvents.
	EventPollInterval time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	Log logrus.FieldLogger
}

// Stats contains the counters of the duties since their start.
type Stats struct {
	Imports       int
	ImportedBytes int64
	// ImportFailures counts imports that finished without a commit.
	ImportFailures int
	Exports        int
	ExportedBytes  int64
	ExportFailures int
	// Evictions counts prefixes that were removed from a full set of waiting exports,
	// from the full set of prefixes recorded for a store, or from a full store.
	Evictions int
}

// Handle is the handle for the duties of this package. Its methods are safe for
// concurrent use. They send messages to the duties only through rings and read
// snapshots that the duties publish.
type Handle struct {
	opts           Options
	stores         atomic.Pointer[[]Store]
	recentKeys     atomic.Pointer[[]core.BlockKey]
	linkBudget     atomic.Pointer[kvcache.LinkBudget]
	prefillRate    atomic.Int64
	cacheEpoch     atomic.Uint64
	stats          atomic.Pointer[Stats]
	events         *ring.Ring[engine.EventPage]
	indexRequests  *ring.Ring[indexRequest]
	importRequests *ring.Ring[message]
	finishedRuns   *ring.Ring[finishedRun]
	messages       *ring.Ring[message]
	jobs           *ring.Ring[job]
}

// New returns a handle for duties that have not been started.
func New(o Options) *Handle {
	o.LinkRate = cmp.Or(max(o.LinkRate, 0), defaultRate)
	o.PrefillRate = cmp.Or(max(o.PrefillRate, 0), defaultRate)
	o.LookupTimeout = cmp.Or(max(o.LookupTimeout, 0), defaultLookupTimeout)
	o.StoreRetryInterval = cmp.Or(max(o.StoreRetryInterval, 0), defaultStoreRetryInterval)
	if o.Now == nil {
		o.Now = time.Now
	}
	h := &Handle{
		opts:           o,
		events:         ring.New[engine.EventPage](eventRingSize),
		indexRequests:  ring.New[indexRequest](indexRingSize),
		importRequests: ring.New[message](importRingSize),
		finishedRuns:   ring.New[finishedRun](runRingSize),
		messages:       ring.New[message](messageRingSize),
		jobs:           ring.New[job](1),
	}
	h.SetStores(o.Stores)
	h.recentKeys.Store(&[]core.BlockKey{})
	h.linkBudget.Store(kvcache.NewLinkBudget(o.LinkRate))
	h.prefillRate.Store(int64(o.PrefillRate))
	h.stats.Store(&Stats{})
	return h
}

// Start starts the duties in a group.
func (h *Handle) Start(group *duty.Group) {
	group.Go("cache", newCacheDuty(h).run)
	group.Go("transfer", newTransferDuty(h).run)
	group.Go("exporter", newExporter(h).run)
	if h.opts.EventPollInterval > 0 {
		group.Go("cache events", h.readEvents)
	}
}

// SetStores replaces the stores, for example after a change of the bundle or the loss
// of a failure domain.
func (h *Handle) SetStores(stores []Store) {
	stores = slices.Clone(stores)
	h.stores.Store(&stores)
}

// PushEvents passes a page of the engine's cache events to the cache duty. If the ring
// is full, the oldest page is dropped, which counts as a gap in the events.
func (h *Handle) PushEvents(page engine.EventPage) { h.events.Push(page) }

// ObservePrefill passes a sample of the prefill rate: the uncached bytes of prompt text
// that the engine computed, and the time for them.
func (h *Handle) ObservePrefill(ctx context.Context, uncachedBytes int, elapsed time.Duration) {
	_ = h.messages.Send(ctx, prefillSample{bytes: uncachedBytes, elapsed: elapsed})
}

// RecordRun records a finished run. The blocks of its prompt become a candidate for
// export. If the ring is full, the oldest run is dropped, so that its prompt may have
// to be recomputed later.
func (h *Handle) RecordRun(scope core.CacheScope, prompt string, usage engine.Usage) {
	salt := scope.Salt()
	keys := core.BlockKeys(salt, prompt)
	if len(keys) == 0 || usage.PromptTokens == 0 {
		return
	}
	h.indexRequests.Offer(indexRequest{keys: keys, confirm: true, cacheEpoch: h.cacheEpoch.Load()})
	h.finishedRuns.Push(finishedRun{salt: salt, keys: keys})
}

// FreeLinkRate returns the unused rate of the link to the stores in bytes per second.
func (h *Handle) FreeLinkRate() float64 {
	budget := *h.linkBudget.Load()
	return budget.FreeRate(h.opts.Now())
}

// PrefillRate returns the measured prefill rate in bytes of prompt text per second.
func (h *Handle) PrefillRate() float64 { return float64(h.prefillRate.Load()) }

// RecentKeys returns the last block key of each recent prompt that the index of the
// engine cache contains, newest first.
func (h *Handle) RecentKeys() []core.BlockKey { return *h.recentKeys.Load() }

// Stats returns the counters.
func (h *Handle) Stats() Stats { return *h.stats.Load() }

// Flush exports all waiting prefixes. It then checks the exported ones and exports
// again those that their store has lost. It returns an error of kind Unavailable if the
// context ends first.
func (h *Handle) Flush(ctx context.Context) error {
	done := ring.New[struct{}](1)
	if err := h.messages.Send(ctx, flushRequest{done: done}); err != nil {
		return flushError(err)
	}
	_, err := done.Receive(ctx)
	return flushError(err)
}

func flushError(err error) error {
	return errs.Wrap(err, errs.Unavailable, "shut down later or accept recomputation", "kept cache was not fully exported")
}
