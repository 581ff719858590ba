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
	// maxRetryDoublings bounds the time that a store is left alone after repeated
	// failures. Each retry of a slow store delays the runs that look it up.
	maxRetryDoublings = 4
	// fullStoreRetryFactor is how many times longer than a failed store a full one is
	// left alone: room comes from other agents' deletions only.
	fullStoreRetryFactor = 5
	// idleLinkShare is the free part of the link above which prompts that have not
	// returned yet are exported too.
	idleLinkShare = 0.5
	// prefillSampleWeight is the weight of a new sample in the prefill rate.
	prefillSampleWeight = 0.2
	// exportRetryInterval is how often waiting exports are looked at again while
	// nothing else happens.
	exportRetryInterval = 500 * time.Millisecond
	// minRecomputeTime is the recomputation time below which a prompt is not looked
	// up: the lookup and the import need a round trip each.
	minRecomputeTime = 10 * time.Millisecond
)

// message is a request or result for the transfer duty.
type message interface{ apply(d *transferDuty) }

type finishedRun struct {
	salt string
	keys []core.BlockKey
}

// transferDuty owns the link budget, the history of prompts, the exports that
// wait and the prefixes kept in each store.
type transferDuty struct {
	t               *Transfer
	now             time.Time
	link            *kvcache.LinkBudget
	prefillRate     float64
	history         *kvcache.History
	waitingExports  *kvcache.PrefixSet
	storedPrefixes  map[string]*kvcache.PrefixSet
	importPins      kvcache.Pins
	storeRetryAt    map[string]time.Time
	storeFailures   map[string]int // in a row
	exportRetryAt   map[string]time.Time
	uncertainStores map[string]bool
	removals        []job
	exporterBusy    bool
	// averageBlockBytes is the average size of a piece; 0 until one has moved.
	averageBlockBytes float64
	flushes           []flushRequest
	// rechecks are prefixes that a flush checks, highest value first.
	rechecks []kvcache.Prefix
	stats    Stats
}

func newTransferDuty(t *Transfer) *transferDuty {
	history := kvcache.NewHistory(maxHistoryBlocks)
	return &transferDuty{
		t: t, link: kvcache.NewLinkBudget(t.opts.LinkRate), prefillRate: t.opts.PrefillRate,
		history: history, waitingExports: kvcache.NewPrefixSet(maxWaitingExports, history),
		storedPrefixes: make(map[string]*kvcache.PrefixSet), importPins: make(kvcache.Pins),
		storeRetryAt: make(map[string]time.Time), storeFailures: make(map[string]int),
		exportRetryAt: make(map[string]time.Time), uncertainStores: make(map[string]bool),
	}
}

func (d *transferDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(min(exportRetryInterval, d.t.opts.StoreRetryInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.t.importRequests.Ready():
		case <-d.t.messages.Ready():
		case <-d.t.finishedRuns.Ready():
		}
		d.now = d.t.opts.Now()
		d.link.ExpireRate(d.now)
		for m, ok := d.t.importRequests.TryReceive(); ok; m, ok = d.t.importRequests.TryReceive() {
			m.apply(d)
		}
		for m, ok := d.t.messages.TryReceive(); ok; m, ok = d.t.messages.TryReceive() {
			m.apply(d)
		}
		for run, ok := d.t.finishedRuns.TryReceive(); ok; run, ok = d.t.finishedRuns.TryReceive() {
			d.recordRun(run)
		}
		d.startJob()
		d.publishState()
	}
}

func (d *transferDuty) publishState() {
	budget, stats := *d.link, d.stats
	d.t.linkBudget.Store(&budget)
	d.t.stats.Store(&stats)
	d.t.prefillRate.Store(int64(d.prefillRate))
}

// availableStores returns the stores to ask for a prompt, best first.
func (d *transferDuty) availableStores(salt string, firstBlock core.BlockKey) []Store {
	byID := make(map[string]Store)
	var ids []string
	for _, store := range *d.t.stores.Load() {
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

type planRequest struct {
	salt         string
	keys         []core.BlockKey
	cachedBlocks int
	reply        *ring.Ring[importPlan]
}

// apply answers without stores when even a complete import would be slower than
// recomputation, which saves the lookup.
func (m planRequest) apply(d *transferDuty) {
	estimate := d.estimateImport(len(m.keys) - m.cachedBlocks)
	tooShort := d.recomputeTime(estimate.SavedPromptBytes) < minRecomputeTime
	if tooShort || !d.link.HasUrgent() && !d.link.WorthImporting(estimate) {
		m.reply.Offer(importPlan{})
		return
	}
	m.reply.Offer(importPlan{stores: d.availableStores(m.salt, m.keys[0])})
}

// estimateImport is the question for an import of so many blocks of average size.
func (d *transferDuty) estimateImport(blocks int) kvcache.ImportEstimate {
	return kvcache.ImportEstimate{
		Class: core.Deferrable, TransferBytes: int(float64(blocks) * d.averageBlockBytes), SavedPromptBytes: blocks * core.BlockBytes,
		PrefillRate: d.prefillRate, TimeLeft: defaultTimeLeft,
	}
}

type importRequest struct {
	task     importTask
	timeLeft time.Duration
	reply    *ring.Ring[decision]
}

func (m importRequest) apply(d *transferDuty) {
	estimate := kvcache.ImportEstimate{
		Class: m.task.class, TransferBytes: m.task.totalBytes(), SavedPromptBytes: len(m.task.missingPieces) * core.BlockBytes,
		PrefillRate: d.prefillRate, TimeLeft: m.timeLeft,
	}
	if !d.link.WorthImporting(estimate) {
		m.reply.Offer(decision{})
		return
	}
	d.link.StartUrgent(estimate.TransferBytes)
	d.importPins.Pin(m.task.lastKey())
	// Fetching for longer than recomputation takes would gain nothing.
	m.reply.Offer(decision{accepted: true, limit: min(d.recomputeTime(estimate.SavedPromptBytes), m.timeLeft)})
}

func (d *transferDuty) recomputeTime(textBytes int) time.Duration {
	return time.Duration(float64(textBytes) / d.prefillRate * float64(time.Second))
}

func (k importTask) lastKey() core.BlockKey { return k.keys[len(k.keys)-1] }

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
		d.averageBlockBytes = float64(bytes) / float64(blocks)
	}
}

type storeFailed struct{ store string }

// apply also distrusts what was written to the store, because it may come back
// as an empty replacement.
func (m storeFailed) apply(d *transferDuty) {
	if d.now.Before(d.storeRetryAt[m.store]) {
		return // several calls met the same failure
	}
	d.storeRetryAt[m.store] = d.now.Add(d.t.opts.StoreRetryInterval << min(d.storeFailures[m.store], maxRetryDoublings))
	d.storeFailures[m.store]++
	d.uncertainStores[m.store] = true
}

// manifestMissing reports prefixes for which a store has no manifest.
type manifestMissing struct {
	store string
	keys  []core.BlockKey
}

func (m manifestMissing) apply(d *transferDuty) {
	for _, key := range m.keys {
		if d.storePrefixes(m.store).Remove(key) {
			d.uncertainStores[m.store] = true
		}
	}
}

type invalidManifest struct {
	store Store
	salt  string
	keys  []core.BlockKey
}

func (m invalidManifest) apply(d *transferDuty) {
	d.uncertainStores[m.store.ID] = true
	manifestMissing{store: m.store.ID, keys: m.keys}.apply(d)
	d.addRemoval(job{store: m.store, prefix: kvcache.Prefix{Salt: m.salt}, remove: true, manifests: m.keys})
}

// addRemoval drops the oldest removal when there are too many; its prefix fails
// at the next import.
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

type linkQuery struct {
	bytes int
	reply *ring.Ring[time.Duration]
}

func (m linkQuery) apply(d *transferDuty) { m.reply.Offer(d.link.ReserveBackground(d.now, m.bytes)) }

type flushRequest struct{ done *ring.Ring[struct{}] }

func (m flushRequest) apply(d *transferDuty) {
	d.flushes = append(d.flushes, m)
	for _, prefixes := range d.storedPrefixes {
		d.rechecks = append(d.rechecks, prefixes.SortedByValue(d.now)...)
	}
}

// recordRun makes a prompt, and the part that it shares with earlier ones, a
// candidate for export.
func (d *transferDuty) recordRun(run finishedRun) {
	shared := d.history.RecordUse(run.keys, d.now)
	d.addWaitingExport(run.salt, run.keys)
	if shared > 0 && shared < len(run.keys) {
		d.addWaitingExport(run.salt, run.keys[:shared])
	}
}

func (d *transferDuty) addWaitingExport(salt string, keys []core.BlockKey) {
	last := keys[len(keys)-1]
	for _, prefixes := range d.storedPrefixes {
		if prefixes.Contains(last) {
			return
		}
	}
	c := kvcache.Prefix{
		Salt: salt, Keys: keys, SavedPromptBytes: len(keys) * core.BlockBytes,
		TransferBytes: int(float64(len(keys)) * max(d.averageBlockBytes, 1)),
	}
	if _, evicted := d.waitingExports.Add(c, d.now, nil); evicted {
		d.stats.Evictions++
	}
}

func (d *transferDuty) storePrefixes(store string) *kvcache.PrefixSet {
	if d.storedPrefixes[store] == nil {
		d.storedPrefixes[store] = kvcache.NewPrefixSet(maxStorePrefixes, d.history)
	}
	return d.storedPrefixes[store]
}

// startJob gives the exporter its next job: removals first, because they make
// room, then the waiting export of the highest value.
func (d *transferDuty) startJob() {
	if d.exporterBusy {
		return
	}
	if len(d.removals) > 0 {
		d.exporterBusy = d.t.jobs.Offer(d.removals[0])
		d.removals = d.removals[1:]
		return
	}
	if c, ok := d.waitingExports.RemoveHighest(d.now); ok {
		if !d.startExport(c, false) {
			d.waitingExports.Add(c, d.now, nil)
		}
		return
	}
	if len(d.rechecks) == 0 {
		d.finishFlushes()
		return
	}
	if d.startExport(d.rechecks[0], true) {
		d.rechecks = d.rechecks[1:]
	}
}

func (d *transferDuty) startExport(c kvcache.Prefix, again bool) bool {
	store, ok := d.exportStore(c)
	if !ok {
		return false
	}
	d.exporterBusy = d.t.jobs.Offer(job{store: store, prefix: c, recheck: again, storeUncertain: d.uncertainStores[store.ID]})
	delete(d.uncertainStores, store.ID)
	return d.exporterBusy
}

// exportStore returns the store for a candidate, if it is worth the link now.
// A flush exports in any case.
func (d *transferDuty) exportStore(c kvcache.Prefix) (Store, bool) {
	if len(d.flushes) == 0 && !d.worthExporting(c) {
		return Store{}, false
	}
	for _, store := range d.availableStores(c.Salt, c.Keys[0]) {
		if !d.now.Before(d.exportRetryAt[store.ID]) {
			return store, true
		}
	}
	return Store{}, false
}

// worthExporting refuses what would not be imported at the measured rate, and
// prompts that have not returned yet while the link is in use.
func (d *transferDuty) worthExporting(c kvcache.Prefix) bool {
	idleLink := d.link.FreeRate(d.now) >= idleLinkShare*d.link.Rate()
	returned := d.history.Usage(c.LastKey()).Returns > 0
	return (idleLink || returned) && d.link.WorthImporting(d.estimateImport(len(c.Keys)))
}

func (d *transferDuty) finishFlushes() {
	for _, f := range d.flushes {
		f.done.Offer(struct{}{})
	}
	d.flushes = nil
}

type jobDone struct {
	job   job
	bytes int
	err   error
}

func (m jobDone) apply(d *transferDuty) {
	d.exporterBusy = false
	if m.job.remove {
		return
	}
	c, store := m.job.prefix, m.job.store
	if m.err == nil {
		delete(d.storeFailures, store.ID)
		d.stats.Exports++
		if evicted, ok := d.storePrefixes(store.ID).Add(c, d.now, d.importPins); ok {
			d.evictPrefix(store, evicted)
		}
		return
	}
	d.stats.ExportFailures++
	switch errs.KindOf(m.err) {
	case errs.Exhausted:
		d.handleFullStore(store, c)
	case errs.Unavailable:
		storeFailed{store: store.ID}.apply(d)
		d.waitingExports.Add(c, d.now, nil)
	default:
		// The engine no longer holds the blocks.
		d.storePrefixes(store.ID).Remove(c.LastKey())
	}
}

// handleFullStore drops kept prefixes of lower value than the candidate from a full
// store and tries the candidate again.
func (d *transferDuty) handleFullStore(store Store, c kvcache.Prefix) {
	value := c.Value(d.history.Usage(c.LastKey()), d.now)
	evicted, ok := d.storePrefixes(store.ID).EvictLowest(d.now, d.importPins)
	if ok && evicted.Value(d.history.Usage(evicted.LastKey()), d.now) <= value {
		d.evictPrefix(store, evicted)
		d.waitingExports.Add(c, d.now, nil)
		return
	}
	if ok {
		d.storePrefixes(store.ID).Add(evicted, d.now, d.importPins)
	}
	d.exportRetryAt[store.ID] = d.now.Add(fullStoreRetryFactor * d.t.opts.StoreRetryInterval)
}

// evictPrefix removes a prefix from its store, except for pieces that other prefixes
// share.
func (d *transferDuty) evictPrefix(store Store, evicted kvcache.Prefix) {
	d.stats.Evictions++
	d.addRemoval(job{
		store: store, prefix: evicted, remove: true,
		manifests: []core.BlockKey{evicted.LastKey()}, pieces: d.storePrefixes(store.ID).UnsharedKeys(evicted),
	})
}
