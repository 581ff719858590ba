package transfer

import (
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/kvcache"
)

// recordRun makes a prompt a candidate for export, and also the prefix that it has in
// common with earlier prompts.
func (d *transferDuty) recordRun(run finishedRun) {
	usedBefore := d.history.RecordUse(run.keys, d.now)
	d.addWaitingExport(run.salt, run.keys)
	if usedBefore > 0 && usedBefore < len(run.keys) {
		d.addWaitingExport(run.salt, run.keys[:usedBefore])
	}
}

func (d *transferDuty) addWaitingExport(salt string, keys []core.BlockKey) {
	lastKey := keys[len(keys)-1]
	for _, prefixes := range d.storedPrefixes {
		if prefixes.Contains(lastKey) {
			return
		}
	}
	prefix := kvcache.Prefix{
		Salt: salt, Keys: keys, SavedPromptBytes: len(keys) * core.BlockBytes,
		TransferBytes: int(float64(len(keys)) * max(d.lastBlockBytes, 1)),
	}
	if _, evicted := d.waitingExports.Add(prefix, d.now, nil); evicted {
		d.stats.Evictions++
	}
}

func (d *transferDuty) prefixesOf(store string) *kvcache.PrefixSet {
	if d.storedPrefixes[store] == nil {
		d.storedPrefixes[store] = kvcache.NewPrefixSet(maxStorePrefixes, d.history)
	}
	return d.storedPrefixes[store]
}

// startJob submits the next job to the exporter: first the removals, because they free
// space in the stores, then the waiting export of the highest value, then the checks of
// a flush.
func (d *transferDuty) startJob() {
	if d.exporterBusy {
		return
	}
	if len(d.removals) > 0 {
		d.exporterBusy = d.handle.jobs.Offer(d.removals[0])
		d.removals = d.removals[1:]
		return
	}
	if prefix, ok := d.waitingExports.RemoveHighest(d.now); ok {
		if !d.startExport(prefix, false) {
			d.waitingExports.Add(prefix, d.now, nil)
		}
		return
	}
	if len(d.flushChecks) == 0 {
		d.finishFlushes()
		return
	}
	if d.startExport(d.flushChecks[0], true) {
		d.flushChecks = d.flushChecks[1:]
	}
}

func (d *transferDuty) startExport(prefix kvcache.Prefix, alreadyExported bool) bool {
	store, ok := d.exportStore(prefix)
	if !ok {
		return false
	}
	d.exporterBusy = d.handle.jobs.Offer(job{store: store, prefix: prefix, alreadyExported: alreadyExported, piecesMayBeLost: d.piecesMayBeLost[store.ID]})
	delete(d.piecesMayBeLost, store.ID)
	return d.exporterBusy
}

// exportStore returns the store for the export of a prefix. It returns false if the
// export is not worthwhile now or if no store is available for it. During a flush every
// export counts as worthwhile.
func (d *transferDuty) exportStore(prefix kvcache.Prefix) (Store, bool) {
	if len(d.flushes) == 0 && !d.worthExporting(prefix) {
		return Store{}, false
	}
	for _, store := range d.availableStores(prefix.Salt, prefix.Keys[0]) {
		if !d.now.Before(d.fullStoreRetryAt[store.ID]) {
			return store, true
		}
	}
	return Store{}, false
}

// worthExporting reports whether a prefix would be worth importing at the current
// rates. A prompt that has not returned is exported only while the link is mostly
// unused.
func (d *transferDuty) worthExporting(prefix kvcache.Prefix) bool {
	idleLink := d.link.FreeRate(d.now) >= idleLinkShare*d.link.Rate()
	returned := d.history.Usage(prefix.LastKey()).Returns > 0
	return (idleLink || returned) && d.link.WorthImporting(d.estimateImport(len(prefix.Keys)))
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
	if m.job.removal {
		return
	}
	prefix, store := m.job.prefix, m.job.store
	if m.err == nil {
		delete(d.storeFailures, store.ID)
		d.stats.Exports++
		if evicted, ok := d.prefixesOf(store.ID).Add(prefix, d.now, d.importPins); ok {
			d.evictPrefix(store, evicted)
		}
		return
	}
	d.stats.ExportFailures++
	switch errs.KindOf(m.err) {
	case errs.Exhausted:
		d.handleFullStore(store, prefix)
	case errs.Unavailable:
		storeFailed{store: store.ID}.apply(d)
		d.waitingExports.Add(prefix, d.now, nil)
	default:
		// Exports with other errors are not retried. In most cases the blocks are no
		// longer in the engine cache. A prefix exported before is missing from the
		// store, so its record is removed.
		d.prefixesOf(store.ID).Remove(prefix.LastKey())
	}
}

// handleFullStore evicts the stored prefix of the lowest value and queues the export
// again, if that value does not exceed the value of the new prefix. Otherwise exports
// to the store are suspended.
func (d *transferDuty) handleFullStore(store Store, prefix kvcache.Prefix) {
	value := prefix.Value(d.history.Usage(prefix.LastKey()), d.now)
	evicted, ok := d.prefixesOf(store.ID).EvictLowest(d.now, d.importPins)
	if ok && evicted.Value(d.history.Usage(evicted.LastKey()), d.now) <= value {
		d.evictPrefix(store, evicted)
		d.waitingExports.Add(prefix, d.now, nil)
		return
	}
	if ok {
		d.prefixesOf(store.ID).Add(evicted, d.now, d.importPins)
	}
	d.fullStoreRetryAt[store.ID] = d.now.Add(fullStoreRetryFactor * d.handle.opts.StoreRetryInterval)
}

// evictPrefix queues the removal of a prefix from its store, except for pieces that are
// shared with other prefixes.
func (d *transferDuty) evictPrefix(store Store, evicted kvcache.Prefix) {
	d.stats.Evictions++
	d.addRemoval(job{
		store: store, prefix: evicted, removal: true,
		manifests: []core.BlockKey{evicted.LastKey()}, pieces: d.prefixesOf(store.ID).UnsharedKeys(evicted),
	})
}
