package transfer

import (
	"context"
	"slices"
	"time"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/kvcache"
	"waxwingtide.example/waxwingtide/ring"
)

// lookup is a request to the cache duty. It queries the length of the cached prefix, or
// confirms that the engine cached the keys in a cache epoch. A confirmation for an
// earlier epoch is not applied to the index, because the engine has since lost its
// cache.
type lookup struct {
	keys       []core.BlockKey
	confirm    bool
	cacheEpoch uint64
	reply      *ring.Ring[int]
}

// cacheDuty maintains the index of the blocks in the engine's cache.
type cacheDuty struct {
	t            *Transfer
	index        *kvcache.Index
	droppedPages uint64
	recentKeys   []core.BlockKey
}

func newCacheDuty(t *Transfer) *cacheDuty {
	return &cacheDuty{t: t, index: kvcache.NewIndex(maxIndexBlocks)}
}

func (d *cacheDuty) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.t.events.Ready():
		case <-d.t.lookups.Ready():
		}
		for page, ok := d.t.events.TryReceive(); ok; page, ok = d.t.events.TryReceive() {
			d.apply(page)
		}
		for request, ok := d.t.lookups.TryReceive(); ok; request, ok = d.t.lookups.TryReceive() {
			d.handleLookup(request)
		}
	}
}

func (d *cacheDuty) apply(page engine.EventPage) {
	if droppedPages := d.t.events.Dropped(); droppedPages != d.droppedPages {
		d.droppedPages = droppedPages
		d.index.RecordGap(kvcache.UnknownGap)
	}
	if d.index.Reset(page.CacheEpoch) {
		d.t.cacheEpoch.Store(page.CacheEpoch)
	}
	for _, e := range page.Events {
		event, ok := parseEvent(e)
		if !ok {
			d.index.RecordGap(kvcache.UnknownGap)
			continue
		}
		d.index.Apply(event)
	}
	d.publishRecent()
}

var eventKinds = map[string]kvcache.EventKind{
	"stored": kvcache.EventStored, "removed": kvcache.EventRemoved, "cleared": kvcache.EventCleared,
}

func parseEvent(e engine.Event) (kvcache.Event, bool) {
	event := kvcache.Event{Seq: e.Seq, Kind: eventKinds[e.Kind]}
	for _, text := range e.Keys {
		key, ok := core.ParseBlockKey(text)
		if !ok {
			return event, false
		}
		event.Keys = append(event.Keys, key)
	}
	return event, event.Kind != 0
}

func (d *cacheDuty) handleLookup(request lookup) {
	epoch, _ := d.index.Position()
	if request.confirm && request.cacheEpoch == epoch {
		d.index.Confirm(request.keys)
	}
	if request.confirm {
		d.addRecent(request.keys[len(request.keys)-1])
	}
	if request.reply != nil {
		request.reply.Offer(d.index.PrefixLength(request.keys))
	}
}

func (d *cacheDuty) addRecent(lastKey core.BlockKey) {
	d.recentKeys = slices.DeleteFunc(d.recentKeys, func(key core.BlockKey) bool { return key == lastKey })
	d.recentKeys = slices.Insert(d.recentKeys, 0, lastKey)
	d.recentKeys = d.recentKeys[:min(len(d.recentKeys), maxRecentPrompts)]
	d.publishRecent()
}

// publishRecent publishes the recent keys without those whose block is not in the
// index.
func (d *cacheDuty) publishRecent() {
	present := make([]core.BlockKey, 0, len(d.recentKeys))
	for _, key := range d.recentKeys {
		if d.index.PrefixLength([]core.BlockKey{key}) == 1 {
			present = append(present, key)
		}
	}
	d.t.recentKeys.Store(&present)
}

// cachedBlocks returns the number of consecutive keys, starting with the first, that
// the index of the engine cache contains.
func (t *Transfer) cachedBlocks(ctx context.Context, keys []core.BlockKey) int {
	reply := ring.New[int](1)
	if t.lookups.Send(ctx, lookup{keys: keys, reply: reply}) != nil {
		return 0
	}
	n, _ := reply.Receive(ctx)
	return n
}

// readEvents polls the engine's cache events. It maintains the position in the sequence
// of events.
func (t *Transfer) readEvents(ctx context.Context) error {
	ticker := time.NewTicker(t.opts.EventPollInterval)
	defer ticker.Stop()
	var epoch, lastSeq uint64
	for {
		page, err := t.opts.Engine.Events(ctx, lastSeq)
		switch {
		case err != nil:
			t.opts.Log.WithError(err).WithField("event", "cache_events_unread").Debug("reading the cache events of the engine failed; retrying at the next interval")
		case page.CacheEpoch != epoch && lastSeq > 0:
			// The engine may have restarted its sequence numbers.
			epoch, lastSeq = page.CacheEpoch, 0
			continue
		default:
			epoch = page.CacheEpoch
			t.PushEvents(page)
			if n := len(page.Events); n > 0 {
				lastSeq = page.Events[n-1].Seq
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
