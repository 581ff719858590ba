package transfer

import (
	"context"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/kvcache"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// The retry interval of a store doubles with each consecutive failure, because each
	// retry of a slow store delays the runs that look it up. maxRetryDoublings limits
	// the number of doublings.
	maxRetryDoublings = 4
	// fullStoreRetryFactor is the retry interval of a full store as a multiple of
	// StoreRetryInterval. It applies if no stored prefix of this agent has a lower
	// value, so that only deletions by other agents can free space. It is longer than
	// the interval after the first failure of a store.
	fullStoreRetryFactor = 5
	// idleLinkShare is the unused share of the link at and above which prompts that
	// have not returned are exported too. A prompt returns when a later prompt starts
	// with it.
	idleLinkShare = 0.5
	// prefillSampleWeight is the weight of a new sample in the measured prefill rate.
	prefillSampleWeight = 0.2
	// exportCheckInterval is the maximum interval between two checks of the waiting
	// exports.
	exportCheckInterval = 500 * time.Millisecond
	// minRecomputeTime is the minimum recomputation time for a lookup. Below it an
	// import is not worthwhile, because the lookup and the import need a round trip
	// each.
	minRecomputeTime = 10 * time.Millisecond
)

// message is a request or a result for the transfer duty.
type message interface{ apply(d *transferDuty) }

type finishedRun struct {
	salt string
	keys []core.BlockKey
}

// transferDuty maintains the link budget, the use history of prompts, the waiting
// exports and the prefixes in each store.
type transferDuty struct {
	handle           *Handle
	now              time.Time
	link             *kvcache.LinkBudget
	prefillRate      float64
	history          *kvcache.History
	waitingExports   *kvcache.PrefixSet
	storedPrefixes   map[string]*kvcache.PrefixSet // by store ID, as the other maps
	importPins       kvcache.Pins
	storeRetryAt     map[string]time.Time // earliest next use of a failed store
	storeFailures    map[string]int       // consecutive failures
	fullStoreRetryAt map[string]time.Time // earliest next export to a full store
	piecesMayBeLost  map[string]bool      // stores that may have lost pieces
	removals         []job
	exporterBusy     bool
	// lastBlockBytes is the mean size of a block in the last transfer with a known
	// size; 0 before the first.
	lastBlockBytes float64
	flushes        []flushRequest
	// flushChecks contains the exported prefixes that a flush has yet to check, highest
	// value first for each store.
	flushChecks []kvcache.Prefix
	stats       Stats
}

func newTransferDuty(h *Handle) *transferDuty {
	history := kvcache.NewHistory(maxKeyRecords)
	return &transferDuty{
		handle: h, link: kvcache.NewLinkBudget(h.opts.LinkRate), prefillRate: h.opts.PrefillRate,
		history: history, waitingExports: kvcache.NewPrefixSet(maxWaitingExports, history),
		storedPrefixes: make(map[string]*kvcache.PrefixSet), importPins: make(kvcache.Pins),
		storeRetryAt: make(map[string]time.Time), storeFailures: make(map[string]int),
		fullStoreRetryAt: make(map[string]time.Time), piecesMayBeLost: make(map[string]bool),
	}
}

func (d *transferDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(min(exportCheckInterval, d.handle.opts.StoreRetryInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.handle.importRequests.Ready():
		case <-d.handle.messages.Ready():
		case <-d.handle.finishedRuns.Ready():
		}
		d.now = d.handle.opts.Now()
		d.link.ExpireRate(d.now)
		for m, ok := d.handle.importRequests.TryReceive(); ok; m, ok = d.handle.importRequests.TryReceive() {
			m.apply(d)
		}
		for m, ok := d.handle.messages.TryReceive(); ok; m, ok = d.handle.messages.TryReceive() {
			m.apply(d)
		}
		for run, ok := d.handle.finishedRuns.TryReceive(); ok; run, ok = d.handle.finishedRuns.TryReceive() {
			d.recordRun(run)
		}
		d.startJob()
		d.publishState()
	}
}

func (d *transferDuty) publishState() {
	budget, stats := *d.link, d.stats
	d.handle.linkBudget.Store(&budget)
	d.handle.stats.Store(&stats)
	d.handle.prefillRate.Store(int64(d.prefillRate))
}

// availableStores returns the stores to use for a prompt in the order of preference. It
// excludes stores that wait for a retry after a failure.
func (d *transferDuty) availableStores(salt string, firstBlock core.BlockKey) []Store {
	byID := make(map[string]Store)
	var ids []string
	for _, store := range *d.handle.stores.Load() {
		if d.now.Before(d.storeRetryAt[store.ID]) {
			continue
		}
		byID[store.ID] = store
		ids = append(ids, store.ID)
	}
	var ranked []Store
	for _, id := range kvcache.RankStores(salt, firstBlock, ids) {
		ranked = append(ranked, byID[id])
	}
	return ranked
}

type storesRequest struct {
	salt         string
	keys         []core.BlockKey
	cachedBlocks int
	reply        *ring.Ring[storesReply]
}

// apply replies without stores, which saves the lookup, if the recomputation time is
// below minRecomputeTime or if importing all missing blocks would not be worthwhile.
// While an urgent transfer is in progress, only the recomputation time is checked.
func (m storesRequest) apply(d *transferDuty) {
	estimate := d.estimateImport(len(m.keys) - m.cachedBlocks)
	tooShort := d.recomputeTime(estimate.SavedPromptBytes) < minRecomputeTime
	if tooShort || !d.link.HasUrgent() && !d.link.WorthImporting(estimate) {
		m.reply.Offer(storesReply{})
		return
	}
	m.reply.Offer(storesReply{stores: d.availableStores(m.salt, m.keys[0])})
}

// estimateImport returns the estimate for an import of the given number of blocks, for
// a run of any class. It uses the Deferrable class, because that allows the longest
// import time.
func (d *transferDuty) estimateImport(blocks int) kvcache.ImportEstimate {
	return kvcache.ImportEstimate{
		Class: core.Deferrable, TransferBytes: int(float64(blocks) * d.lastBlockBytes), SavedPromptBytes: blocks * core.BlockBytes,
		PrefillRate: d.prefillRate, TimeLeft: defaultTimeLeft,
	}
}

type importRequest struct {
	task     importTask
	timeLeft time.Duration
	reply    *ring.Ring[importReply]
}

func (m importRequest) apply(d *transferDuty) {
	estimate := kvcache.ImportEstimate{
		Class: m.task.class, TransferBytes: m.task.totalBytes(), SavedPromptBytes: len(m.task.missingPieces) * core.BlockBytes,
		PrefillRate: d.prefillRate, TimeLeft: m.timeLeft,
	}
	if !d.link.WorthImporting(estimate) {
		m.reply.Offer(importReply{})
		return
	}
	d.link.StartUrgent(estimate.TransferBytes)
	d.importPins.Pin(m.task.lastKey())
	// A fetch that takes longer than recomputation has no benefit.
	m.reply.Offer(importReply{accepted: true, limit: min(d.recomputeTime(estimate.SavedPromptBytes), m.timeLeft)})
}

func (d *transferDuty) recomputeTime(textBytes int) time.Duration {
	return time.Duration(float64(textBytes) / d.prefillRate * float64(time.Second))
}

func (task importTask) lastKey() core.BlockKey { return task.keys[len(task.keys)-1] }

type importDone struct {
	task    importTask
	outcome importOutcome
}

func (m importDone) apply(d *transferDuty) {
	outcome, lastKey := m.outcome, m.task.lastKey()
	d.link.FinishUrgent(m.task.totalBytes())
	d.importPins.Unpin(lastKey)
	d.recordBlockSize(outcome.committedBytes, outcome.committedPieces)
	d.stats.ImportedBytes += int64(outcome.committedBytes)
	if outcome.committedPieces > 0 {
		d.stats.Imports++
	} else {
		d.stats.ImportFailures++
	}
	switch {
	case outcome.failureKind == errs.Corrupt || outcome.failureKind == errs.NotFound:
		invalidManifest{store: m.task.store, salt: m.task.salt, keys: []core.BlockKey{lastKey}}.apply(d)
	case outcome.failureKind != 0:
		d.link.RecordFailure(d.now, outcome.fetchedBytes, outcome.elapsed)
		if !outcome.timedOut || outcome.fetchedBytes == 0 {
			storeFailed{store: m.task.store.ID}.apply(d)
		}
	default:
		delete(d.storeFailures, m.task.store.ID)
		d.link.RecordTransfer(d.now, outcome.fetchedBytes, outcome.elapsed)
	}
}

func (d *transferDuty) recordBlockSize(bytes, blocks int) {
	if blocks > 0 && bytes > 0 {
		d.lastBlockBytes = float64(bytes) / float64(blocks)
	}
}

type storeFailed struct{ store string }

// apply also marks the content of the store as uncertain, because an empty store may
// replace the failed one.
func (m storeFailed) apply(d *transferDuty) {
	if d.now.Before(d.storeRetryAt[m.store]) {
		return // another call has already reported this failure
	}
	d.storeRetryAt[m.store] = d.now.Add(d.handle.opts.StoreRetryInterval << min(d.storeFailures[m.store], maxRetryDoublings))
	d.storeFailures[m.store]++
	d.piecesMayBeLost[m.store] = true
}

// manifestsMissing reports prefixes without a manifest in a store.
type manifestsMissing struct {
	store string
	keys  []core.BlockKey
}

func (m manifestsMissing) apply(d *transferDuty) {
	for _, key := range m.keys {
		if d.prefixesOf(m.store).Remove(key) {
			d.piecesMayBeLost[m.store] = true
		}
	}
}

type invalidManifest struct {
	store Store
	salt  string
	keys  []core.BlockKey
}

func (m invalidManifest) apply(d *transferDuty) {
	d.piecesMayBeLost[m.store.ID] = true
	manifestsMissing{store: m.store.ID, keys: m.keys}.apply(d)
	d.addRemoval(job{store: m.store, prefix: kvcache.Prefix{Salt: m.salt}, removal: true, manifests: m.keys})
}

// addRemoval queues a removal. If more than maxWaitingExports removals are queued, it
// drops the oldest one. If that was the removal of an invalid manifest, the next import
// of its prefix fails and queues the removal again.
func (d *transferDuty) addRemoval(j job) {
	d.removals = append(d.removals, j)
	if len(d.removals) > maxWaitingExports {
		d.removals = slices.Delete(d.removals, 0, 1)
	}
}

type prefillSample struct {
	bytes   int
	elapsed time.Duration
}

func (m prefillSample) apply(d *transferDuty) {
	if m.bytes > 0 && m.elapsed > 0 {
		d.prefillRate = max(1, (1-prefillSampleWeight)*d.prefillRate+prefillSampleWeight*float64(m.bytes)/m.elapsed.Seconds())
	}
}

type pieceWritten struct {
	bytes   int
	elapsed time.Duration
}

func (m pieceWritten) apply(d *transferDuty) {
	d.link.RecordTransfer(d.now, m.bytes, m.elapsed)
	d.recordBlockSize(m.bytes, 1)
	d.stats.ExportedBytes += int64(m.bytes)
}

type linkRequest struct {
	bytes int
	reply *ring.Ring[time.Duration]
}

func (m linkRequest) apply(d *transferDuty) { m.reply.Offer(d.link.ReserveBackground(d.now, m.bytes)) }

type flushRequest struct{ done *ring.Ring[struct{}] }

func (m flushRequest) apply(d *transferDuty) {
	d.flushes = append(d.flushes, m)
	for _, prefixes := range d.storedPrefixes {
		d.flushChecks = append(d.flushChecks, prefixes.SortedByValue(d.now)...)
	}
}
