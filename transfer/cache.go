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

// lookup asks how much of a prefix the engine holds, or confirms that it held
// the prefix in a cache epoch. A confirmation of an earlier epoch does not
// reach the index, because the engine has lost its cache since.
type lookup struct {
	keys    []core.BlockKey
	confirm bool
	epoch   uint64
	reply   *ring.Ring[int]
}

// cacheDuty owns the index of the engine's blocks.
type cacheDuty struct {
	t       *Transfer
	index   *kvcache.Index
	dropped uint64
	recent  []core.BlockKey
}

func newCacheDuty(t *Transfer) *cacheDuty {
	return &cacheDuty{t: t, index: kvcache.NewIndex(indexBlocks)}
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
		for call, ok := d.t.lookups.TryReceive(); ok; call, ok = d.t.lookups.TryReceive() {
			d.answer(call)
		}
	}
}

func (d *cacheDuty) apply(page engine.EventPage) {
	if dropped := d.t.events.Dropped(); dropped != d.dropped {
		d.dropped = dropped
		d.index.Gap()
	}
	if d.index.Reset(page.CacheEpoch) {
		d.t.epoch.Store(page.CacheEpoch)
	}
	for _, e := range page.Events {
		event, ok := parseEvent(e)
		if !ok {
			d.index.Gap()
			continue
		}
		d.index.Apply(event)
	}
	d.publishRecent()
}

var eventKinds = map[string]kvcache.EventKind{
	"stored": kvcache.Stored, "removed": kvcache.Removed, "cleared": kvcache.Cleared,
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

func (d *cacheDuty) answer(call lookup) {
	epoch, _ := d.index.Position()
	if call.confirm && call.epoch == epoch {
		d.index.Confirm(call.keys)
	}
	if call.confirm {
		d.remember(call.keys[len(call.keys)-1])
	}
	if call.reply != nil {
		call.reply.Offer(d.index.Prefix(call.keys))
	}
}

func (d *cacheDuty) remember(last core.BlockKey) {
	d.recent = slices.DeleteFunc(d.recent, func(key core.BlockKey) bool { return key == last })
	d.recent = slices.Insert(d.recent, 0, last)
	d.recent = d.recent[:min(len(d.recent), recentPrompts)]
	d.publishRecent()
}

// publishRecent leaves out prompts whose last block is no longer known.
func (d *cacheDuty) publishRecent() {
	present := make([]core.BlockKey, 0, len(d.recent))
	for _, key := range d.recent {
		if d.index.Prefix([]core.BlockKey{key}) == 1 {
			present = append(present, key)
		}
	}
	d.t.recent.Store(&present)
}

// cached returns how many of the keys the engine is known to hold.
func (t *Transfer) cached(ctx context.Context, keys []core.BlockKey) int {
	reply := ring.New[int](1)
	if t.lookups.Send(ctx, lookup{keys: keys, reply: reply}) != nil {
		return 0
	}
	n, _ := reply.Receive(ctx)
	return n
}

// readEvents is the sampler duty's part for cache events: it owns the position
// in the engine's feed.
func (t *Transfer) readEvents(ctx context.Context) error {
	ticker := time.NewTicker(t.o.EventInterval)
	defer ticker.Stop()
	var epoch, after uint64
	for {
		page, err := t.o.Engine.Events(ctx, after)
		switch {
		case err != nil:
			t.o.Log.WithError(err).WithField("event", "cache_events_unread").Debug("cache events not read")
		case page.CacheEpoch != epoch && after > 0:
			// The engine may have restarted its sequence numbers.
			epoch, after = page.CacheEpoch, 0
			continue
		default:
			epoch = page.CacheEpoch
			t.Feed(page)
			if n := len(page.Events); n > 0 {
				after = page.Events[n-1].Seq
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
