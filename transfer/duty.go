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
	// fullRetries is how many times longer than a failed store a full one is
	// left alone: room comes from other agents' deletions only.
	fullRetries = 5
	// idleShare is the free part of the link above which prompts that have not
	// returned yet are exported too.
	idleShare = 0.5
	// prefillWeight is the weight of a new sample in the prefill rate.
	prefillWeight = 0.2
	// retryInterval is how often waiting exports are looked at again while
	// nothing else happens.
	retryInterval = 500 * time.Millisecond
	// minRecompute is the recomputation time below which a prompt is not looked
	// up: the lookup and the import need a round trip each.
	minRecompute = 10 * time.Millisecond
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
	t         *Transfer
	now       time.Time
	budget    *kvcache.Budget
	prefill   float64
	history   *kvcache.History
	waiting   *kvcache.Retention
	kept      map[string]*kvcache.Retention
	pins      kvcache.Pins
	downUntil map[string]time.Time
	failures  map[string]int // in a row
	fullUntil map[string]time.Time
	lost      map[string]bool
	removals  []job
	busy      bool
	// blockBytes is the average size of a piece; 0 until one has moved.
	blockBytes float64
	flushes    []flush
	// again are prefixes that a flush checks, highest value first.
	again []kvcache.Candidate
	stats Stats
}

func newTransferDuty(t *Transfer) *transferDuty {
	history := kvcache.NewHistory(historyBlocks)
	return &transferDuty{
		t: t, budget: kvcache.NewBudget(t.o.LinkRate), prefill: t.o.PrefillRate,
		history: history, waiting: kvcache.NewRetention(waitingExports, history),
		kept: make(map[string]*kvcache.Retention), pins: make(kvcache.Pins),
		downUntil: make(map[string]time.Time), failures: make(map[string]int),
		fullUntil: make(map[string]time.Time), lost: make(map[string]bool),
	}
}

func (d *transferDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(min(retryInterval, d.t.o.StoreRetry))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-d.t.imports.Ready():
		case <-d.t.results.Ready():
		case <-d.t.finished.Ready():
		}
		d.now = d.t.o.Now()
		d.budget.Refresh(d.now)
		for m, ok := d.t.imports.TryReceive(); ok; m, ok = d.t.imports.TryReceive() {
			m.apply(d)
		}
		for m, ok := d.t.results.TryReceive(); ok; m, ok = d.t.results.TryReceive() {
			m.apply(d)
		}
		for run, ok := d.t.finished.TryReceive(); ok; run, ok = d.t.finished.TryReceive() {
			d.finished(run)
		}
		d.startJob()
		d.publish()
	}
}

func (d *transferDuty) publish() {
	budget, stats := *d.budget, d.stats
	d.t.link.Store(&budget)
	d.t.stats.Store(&stats)
	d.t.prefill.Store(int64(d.prefill))
}

// liveStores returns the stores to ask for a prompt, best first.
func (d *transferDuty) liveStores(salt string, first core.BlockKey) []Store {
	byID := make(map[string]Store)
	var ids []string
	for _, store := range *d.t.stores.Load() {
		if d.now.Before(d.downUntil[store.ID]) {
			continue
		}
		byID[store.ID] = store
		ids = append(ids, store.ID)
	}
	var ranked []Store
	for _, id := range kvcache.RankStores(salt, first, ids) {
		ranked = append(ranked, byID[id])
	}
	return ranked
}

type planRequest struct {
	salt    string
	keys    []core.BlockKey
	present int
	reply   *ring.Ring[plan]
}

// apply answers without stores when even a complete import would be slower than
// recomputation, which saves the lookup.
func (m planRequest) apply(d *transferDuty) {
	best := d.importOf(len(m.keys) - m.present)
	short := d.recompute(best.SavedBytes) < minRecompute
	if short || !d.budget.Urgent() && !d.budget.WorthImporting(best) {
		m.reply.Offer(plan{})
		return
	}
	m.reply.Offer(plan{stores: d.liveStores(m.salt, m.keys[0])})
}

// importOf is the question for an import of so many blocks of average size.
func (d *transferDuty) importOf(blocks int) kvcache.ImportQuestion {
	return kvcache.ImportQuestion{
		Class: core.Deferrable, Bytes: int(float64(blocks) * d.blockBytes), SavedBytes: blocks * core.BlockBytes,
		PrefillRate: d.prefill, Left: defaultLeft,
	}
}

type importRequest struct {
	task  importTask
	left  time.Duration
	reply *ring.Ring[decision]
}

func (m importRequest) apply(d *transferDuty) {
	q := kvcache.ImportQuestion{
		Class: m.task.class, Bytes: m.task.bytes(), SavedBytes: len(m.task.pieces) * core.BlockBytes,
		PrefillRate: d.prefill, Left: m.left,
	}
	if !d.budget.WorthImporting(q) {
		m.reply.Offer(decision{})
		return
	}
	d.budget.BeginUrgent(q.Bytes)
	d.pins.Pin(m.task.last())
	// Fetching for longer than recomputation takes would gain nothing.
	m.reply.Offer(decision{accepted: true, limit: min(d.recompute(q.SavedBytes), m.left)})
}

func (d *transferDuty) recompute(textBytes int) time.Duration {
	return time.Duration(float64(textBytes) / d.prefill * float64(time.Second))
}

func (k importTask) last() core.BlockKey { return k.keys[len(k.keys)-1] }

type importDone struct {
	task    importTask
	outcome importOutcome
}

func (m importDone) apply(d *transferDuty) {
	o, last := m.outcome, m.task.last()
	d.budget.EndUrgent(m.task.bytes())
	d.pins.Unpin(last)
	d.sized(o.committedBytes, o.committed)
	d.stats.ImportedBytes += int64(o.committedBytes)
	if o.committed > 0 {
		d.stats.Imports++
	} else {
		d.stats.ImportFailures++
	}
	switch {
	case o.failure == errs.Corrupt || o.failure == errs.NotFound:
		badManifest{store: m.task.store, salt: m.task.salt, keys: []core.BlockKey{last}}.apply(d)
	case o.failure != 0:
		d.budget.Failed(d.now, o.movedBytes, o.elapsed)
		if !o.late || o.movedBytes == 0 {
			storeDown{store: m.task.store.ID}.apply(d)
		}
	default:
		delete(d.failures, m.task.store.ID)
		d.budget.Measured(d.now, o.movedBytes, o.elapsed)
	}
}

func (d *transferDuty) sized(bytes, blocks int) {
	if blocks > 0 && bytes > 0 {
		d.blockBytes = float64(bytes) / float64(blocks)
	}
}

type storeDown struct{ store string }

// apply also distrusts what was written to the store, because it may come back
// as an empty replacement.
func (m storeDown) apply(d *transferDuty) {
	if d.now.Before(d.downUntil[m.store]) {
		return // several calls met the same failure
	}
	d.downUntil[m.store] = d.now.Add(d.t.o.StoreRetry << min(d.failures[m.store], maxRetryDoublings))
	d.failures[m.store]++
	d.lost[m.store] = true
}

// notKept reports prefixes for which a store has no manifest.
type notKept struct {
	store string
	keys  []core.BlockKey
}

func (m notKept) apply(d *transferDuty) {
	for _, key := range m.keys {
		if d.keptIn(m.store).Remove(key) {
			d.lost[m.store] = true
		}
	}
}

type badManifest struct {
	store Store
	salt  string
	keys  []core.BlockKey
}

func (m badManifest) apply(d *transferDuty) {
	d.lost[m.store.ID] = true
	notKept{store: m.store.ID, keys: m.keys}.apply(d)
	d.addRemoval(job{store: m.store, candidate: kvcache.Candidate{Salt: m.salt}, remove: true, manifests: m.keys})
}

// addRemoval drops the oldest removal when there are too many; its prefix fails
// at the next import.
func (d *transferDuty) addRemoval(j job) {
	d.removals = append(d.removals, j)
	if len(d.removals) > waitingExports {
		d.removals = slices.Delete(d.removals, 0, 1)
	}
}

type prefillSample struct {
	bytes   int
	elapsed time.Duration
}

func (m prefillSample) apply(d *transferDuty) {
	if m.bytes > 0 && m.elapsed > 0 {
		d.prefill = max(1, (1-prefillWeight)*d.prefill+prefillWeight*float64(m.bytes)/m.elapsed.Seconds())
	}
}

type moved struct {
	bytes   int
	elapsed time.Duration
}

func (m moved) apply(d *transferDuty) {
	d.budget.Measured(d.now, m.bytes, m.elapsed)
	d.sized(m.bytes, 1)
	d.stats.ExportedBytes += int64(m.bytes)
}

type shareRequest struct {
	bytes int
	reply *ring.Ring[time.Duration]
}

func (m shareRequest) apply(d *transferDuty) { m.reply.Offer(d.budget.Background(d.now, m.bytes)) }

type flush struct{ done *ring.Ring[struct{}] }

func (m flush) apply(d *transferDuty) {
	d.flushes = append(d.flushes, m)
	for _, kept := range d.kept {
		d.again = append(d.again, kept.All(d.now)...)
	}
}

// finished makes a prompt, and the part that it shares with earlier ones, a
// candidate for export.
func (d *transferDuty) finished(run finishedRun) {
	shared := d.history.Observe(run.keys, d.now)
	d.consider(run.salt, run.keys)
	if shared > 0 && shared < len(run.keys) {
		d.consider(run.salt, run.keys[:shared])
	}
}

func (d *transferDuty) consider(salt string, keys []core.BlockKey) {
	last := keys[len(keys)-1]
	for _, kept := range d.kept {
		if kept.Has(last) {
			return
		}
	}
	c := kvcache.Candidate{
		Salt: salt, Keys: keys, SavedBytes: len(keys) * core.BlockBytes,
		MovedBytes: int(float64(len(keys)) * max(d.blockBytes, 1)),
	}
	if _, dropped := d.waiting.Add(c, d.now, nil); dropped {
		d.stats.Dropped++
	}
}

func (d *transferDuty) keptIn(store string) *kvcache.Retention {
	if d.kept[store] == nil {
		d.kept[store] = kvcache.NewRetention(keptPrefixes, d.history)
	}
	return d.kept[store]
}

// startJob gives the exporter its next job: removals first, because they make
// room, then the waiting export of the highest value.
func (d *transferDuty) startJob() {
	if d.busy {
		return
	}
	if len(d.removals) > 0 {
		d.busy = d.t.jobs.Offer(d.removals[0])
		d.removals = d.removals[1:]
		return
	}
	if c, ok := d.waiting.TakeHighest(d.now); ok {
		if !d.startExport(c, false) {
			d.waiting.Add(c, d.now, nil)
		}
		return
	}
	if len(d.again) == 0 {
		d.endFlushes()
		return
	}
	if d.startExport(d.again[0], true) {
		d.again = d.again[1:]
	}
}

func (d *transferDuty) startExport(c kvcache.Candidate, again bool) bool {
	store, ok := d.exportStore(c)
	if !ok {
		return false
	}
	d.busy = d.t.jobs.Offer(job{store: store, candidate: c, again: again, forget: d.lost[store.ID]})
	delete(d.lost, store.ID)
	return d.busy
}

// exportStore returns the store for a candidate, if it is worth the link now.
// A flush exports in any case.
func (d *transferDuty) exportStore(c kvcache.Candidate) (Store, bool) {
	if len(d.flushes) == 0 && !d.worthExporting(c) {
		return Store{}, false
	}
	for _, store := range d.liveStores(c.Salt, c.Keys[0]) {
		if !d.now.Before(d.fullUntil[store.ID]) {
			return store, true
		}
	}
	return Store{}, false
}

// worthExporting refuses what would not be imported at the measured rate, and
// prompts that have not returned yet while the link is in use.
func (d *transferDuty) worthExporting(c kvcache.Candidate) bool {
	idleLink := d.budget.Free(d.now) >= idleShare*d.budget.Rate()
	returned := d.history.Visit(c.Last()).Returns > 0
	return (idleLink || returned) && d.budget.WorthImporting(d.importOf(len(c.Keys)))
}

func (d *transferDuty) endFlushes() {
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
	d.busy = false
	if m.job.remove {
		return
	}
	c, store := m.job.candidate, m.job.store
	if m.err == nil {
		delete(d.failures, store.ID)
		d.stats.Exports++
		if dropped, ok := d.keptIn(store.ID).Add(c, d.now, d.pins); ok {
			d.drop(store, dropped)
		}
		return
	}
	d.stats.ExportFailures++
	switch errs.KindOf(m.err) {
	case errs.Exhausted:
		d.makeRoom(store, c)
	case errs.Unavailable:
		storeDown{store: store.ID}.apply(d)
		d.waiting.Add(c, d.now, nil)
	default:
		// The engine no longer holds the blocks.
		d.keptIn(store.ID).Remove(c.Last())
	}
}

// makeRoom drops kept prefixes of lower value than the candidate from a full
// store and tries the candidate again.
func (d *transferDuty) makeRoom(store Store, c kvcache.Candidate) {
	value := c.Value(d.history.Visit(c.Last()), d.now)
	dropped, ok := d.keptIn(store.ID).DropLowest(d.now, d.pins)
	if ok && dropped.Value(d.history.Visit(dropped.Last()), d.now) <= value {
		d.drop(store, dropped)
		d.waiting.Add(c, d.now, nil)
		return
	}
	if ok {
		d.keptIn(store.ID).Add(dropped, d.now, d.pins)
	}
	d.fullUntil[store.ID] = d.now.Add(fullRetries * d.t.o.StoreRetry)
}

// drop removes a prefix from its store, except for pieces that other prefixes
// share.
func (d *transferDuty) drop(store Store, c kvcache.Candidate) {
	d.stats.Dropped++
	d.addRemoval(job{
		store: store, candidate: c, remove: true,
		manifests: []core.BlockKey{c.Last()}, pieces: d.keptIn(store.ID).Unused(c),
	})
}
