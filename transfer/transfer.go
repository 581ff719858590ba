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
	eventRingSize     = 64
	lookupRingSize    = 64
	importRingSize    = 64
	runRingSize       = 256
	messageRingSize   = 64
	maxIndexBlocks    = 1 << 18
	maxHistoryBlocks  = 1 << 16
	maxWaitingExports = 256
	maxStorePrefixes  = 2048
	maxRecentPrompts  = 256
)

const (
	// defaultRate is assumed for link and prefill until they are measured, in
	// bytes a second.
	defaultRate               = 1 << 20
	defaultLookupTimeout      = 250 * time.Millisecond
	defaultStoreRetryInterval = 2 * time.Second
	// defaultTimeLeft is the time a run is given when its context has no deadline.
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
	// Stores are those of the bundle in force; see SetStores.
	Stores []Store
	// LinkRate and PrefillRate are first estimates in bytes a second; 0 means
	// 1 MiB/s.
	LinkRate    float64
	PrefillRate float64
	// LookupTimeout bounds the wait for a store's answer to a lookup, so that a
	// slow store delays a run by little; 0 means 250 ms.
	LookupTimeout time.Duration
	// StoreRetryInterval is how long a store that failed is left alone; 0 means 2 s. It
	// doubles with each further failure, up to 16 times. A full store gets no
	// exports for five times as long.
	StoreRetryInterval time.Duration
	// EventPollInterval is how often the engine's cache events are read; 0 means
	// that the caller reads them and passes them to Feed.
	EventPollInterval time.Duration
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
	// Evictions counts prefixes that were given up for others of higher value.
	Evictions int
}

// Transfer is the handle of the duties. Its methods may be called from any
// goroutine; they reach the duties through rings only.
type Transfer struct {
	opts           Options
	stores         atomic.Pointer[[]Store]
	recentKeys     atomic.Pointer[[]core.BlockKey]
	linkBudget     atomic.Pointer[kvcache.LinkBudget]
	prefillRate    atomic.Int64
	cacheEpoch     atomic.Uint64
	stats          atomic.Pointer[Stats]
	events         *ring.Ring[engine.EventPage]
	lookups        *ring.Ring[lookup]
	importRequests *ring.Ring[message]
	finishedRuns   *ring.Ring[finishedRun]
	messages       *ring.Ring[message]
	jobs           *ring.Ring[job]
}

// New returns the duties, not yet started.
func New(o Options) *Transfer {
	o.LinkRate = cmp.Or(max(o.LinkRate, 0), defaultRate)
	o.PrefillRate = cmp.Or(max(o.PrefillRate, 0), defaultRate)
	o.LookupTimeout = cmp.Or(max(o.LookupTimeout, 0), defaultLookupTimeout)
	o.StoreRetryInterval = cmp.Or(max(o.StoreRetryInterval, 0), defaultStoreRetryInterval)
	if o.Now == nil {
		o.Now = time.Now
	}
	t := &Transfer{
		opts:           o,
		events:         ring.New[engine.EventPage](eventRingSize),
		lookups:        ring.New[lookup](lookupRingSize),
		importRequests: ring.New[message](importRingSize),
		finishedRuns:   ring.New[finishedRun](runRingSize),
		messages:       ring.New[message](messageRingSize),
		jobs:           ring.New[job](1),
	}
	t.SetStores(o.Stores)
	t.recentKeys.Store(&[]core.BlockKey{})
	t.linkBudget.Store(kvcache.NewLinkBudget(o.LinkRate))
	t.prefillRate.Store(int64(o.PrefillRate))
	t.stats.Store(&Stats{})
	return t
}

// Start starts the duties in a group.
func (t *Transfer) Start(group *duty.Group) {
	group.Go("cache", newCacheDuty(t).run)
	group.Go("transfer", newTransferDuty(t).run)
	group.Go("exporter", newExporter(t).run)
	if t.opts.EventPollInterval > 0 {
		group.Go("cache events", t.readEvents)
	}
}

// SetStores replaces the stores, for example after a change of the bundle or
// the loss of a failure domain.
func (t *Transfer) SetStores(stores []Store) {
	stores = slices.Clone(stores)
	t.stores.Store(&stores)
}

// PushEvents passes a page of the engine's cache events to the cache duty. When its
// ring is full the oldest page is dropped, which counts as a gap.
func (t *Transfer) PushEvents(page engine.EventPage) { t.events.Push(page) }

// ObservePrefill records that the engine computed so many bytes of prompt text
// in a time, from which the prefill rate is measured.
func (t *Transfer) ObservePrefill(ctx context.Context, uncachedBytes int, elapsed time.Duration) {
	_ = t.messages.Send(ctx, prefillSample{bytes: uncachedBytes, elapsed: elapsed})
}

// RecordRun records a finished run. Its prompt's blocks become a candidate for
// export. When the ring is full the oldest run is dropped; it costs
// recomputation only.
func (t *Transfer) RecordRun(scope core.CacheScope, prompt string, usage engine.Usage) {
	salt := scope.Salt()
	keys := core.BlockKeys(salt, prompt)
	if len(keys) == 0 || usage.PromptTokens == 0 {
		return
	}
	t.lookups.Offer(lookup{keys: keys, confirm: true, cacheEpoch: t.cacheEpoch.Load()})
	t.finishedRuns.Push(finishedRun{salt: salt, keys: keys})
}

// FreeLinkRate returns the free rate of the link to the stores in bytes a second.
func (t *Transfer) FreeLinkRate() float64 {
	budget := *t.linkBudget.Load()
	return budget.FreeRate(t.opts.Now())
}

// PrefillRate returns the measured prefill rate in bytes of prompt a second.
func (t *Transfer) PrefillRate() float64 { return float64(t.prefillRate.Load()) }

// RecentKeys returns the last block's key of recent prompts that the engine is
// believed to hold, newest first.
func (t *Transfer) RecentKeys() []core.BlockKey { return *t.recentKeys.Load() }

// Stats returns the counters.
func (t *Transfer) Stats() Stats { return *t.stats.Load() }

// Flush exports everything that waits, and again everything exported before
// that its store no longer has. It returns when that is done or with an error
// of kind Unavailable when the context ends.
func (t *Transfer) Flush(ctx context.Context) error {
	done := ring.New[struct{}](1)
	if err := t.messages.Send(ctx, flushRequest{done: done}); err != nil {
		return flushError(err)
	}
	_, err := done.Receive(ctx)
	return flushError(err)
}

func flushError(err error) error {
	return errs.Wrap(err, errs.Unavailable, "leave later or accept recomputation", "kept cache was not fully exported")
}
