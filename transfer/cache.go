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

// indexRequest is a request to the cache duty. With confirm, it records that the engine
// cached the keys in a cache epoch. A confirmation for an earlier epoch is not applied
// to the index, because the engine has since lost its cache. With a reply ring, it
// queries the number of keys, from the first one on, that the index contains.
type indexRequest struct {
	keys       []core.BlockKey
	confirm    bool
	cacheEpoch uint64
	reply      *ring.Ring[int]
}

// cacheDuty maintains the index of the blocks in the engine's cache.
type cacheDuty struct {
	handle       *Handle
	index        *kvcache.Index
	droppedPages uint64
	recentKeys   []core.BlockKey
}

func newCacheDuty(h *Handle) *cacheDuty {
	return &cacheDuty{handle: h, index: kvcache.NewIndex(maxIndexBlocks)}
}

func (d *cacheDuty) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.handle.events.Ready():
		case <-d.handle.indexRequests.Ready():
		}
		for page, ok := d.handle.events.TryReceive(); ok; page, ok = d.handle.events.TryReceive() {
			d.apply(page)
		}
		for request, ok := d.handle.indexRequests.TryReceive(); ok; request, ok = d.handle.indexRequests.TryReceive() {
			d.handleRequest(request)
		}
	}
}

func (d *cacheDuty) apply(page engine.EventPage) {
	if droppedPages := d.handle.events.Dropped(); droppedPages != d.droppedPages {
		d.droppedPages = droppedPages
		d.index.RecordGap(kvcache.UnknownGap)
	}
	if d.index.Reset(page.CacheEpoch) {
		d.handle.cacheEpoch.Store(page.CacheEpoch)
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

func (d *cacheDuty) handleRequest(request indexRequest) {
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

// publishRecent publishes the recent keys whose blocks are in the index.
func (d *cacheDuty) publishRecent() {
	present := make([]core.BlockKey, 0, len(d.recentKeys))
	for _, key := range d.recentKeys {
		if d.index.PrefixLength([]core.BlockKey{key}) == 1 {
			present = append(present, key)
		}
	}
	d.handle.recentKeys.Store(&present)
}

// cachedBlocks returns the number of consecutive keys, starting with the first, that
// the index of the engine cache contains.
func (h *Handle) cachedBlocks(ctx context.Context, keys []core.BlockKey) int {
	reply := ring.New[int](1)
	if h.indexRequests.Send(ctx, indexRequest{keys: keys, reply: reply}) != nil {
		return 0
	}
	n, _ := reply.Receive(ctx)
	return n
}

// readEvents polls the engine's cache events. It maintains the position in the sequence
// of events.
func (h *Handle) readEvents(ctx context.Context) error {
	ticker := time.NewTicker(h.opts.EventPollInterval)
	defer ticker.Stop()
	var epoch, lastSeq uint64
	for {
		page, err := h.opts.Engine.Events(ctx, lastSeq)
		switch {
		case err != nil:
			h.opts.Log.WithError(err).WithField("event", "cache_events_unread").Debug("reading the cache events of the engine failed; retrying at the next interval")
		case page.CacheEpoch != epoch && lastSeq > 0:
			// The engine may have restarted its sequence numbers.
			epoch, lastSeq = page.CacheEpoch, 0
			continue
		default:
			epoch = page.CacheEpoch
			h.PushEvents(page)
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
