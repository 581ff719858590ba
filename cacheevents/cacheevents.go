// Package cacheevents follows the cache events of kept-cache stores and model
// servers, one duty for each, and hands them on in a ring.
package cacheevents

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// eventWait is how long one call waits for events. It is below the time for
	// which an index trusts a store's content.
	eventWait = 400 * time.Millisecond
	// eventTimeout bounds a call that gets no answer.
	eventTimeout = 800 * time.Millisecond
	// storeInterval and serverInterval are the least times between two calls. A
	// store's events decide what may be fetched and saved; a server's are hints
	// and may come in larger groups.
	storeInterval  = 50 * time.Millisecond
	serverInterval = 250 * time.Millisecond
	// listInterval is the time between two readings of a store's whole content,
	// which brings back events that were lost.
	listInterval = 6 * time.Second
	listTimeout  = 1500 * time.Millisecond
	retryAfter   = 150 * time.Millisecond
	// updates waiting for the router; senders wait when it is full.
	updateRing  = 256
	sourcesRing = 1
)

// Events are changes of a store's content.
type Events struct {
	Epoch uint64
	// Next continues the events, Gap is set when some were dropped.
	Next    uint64
	Gap     bool
	Added   []cacheindex.CachedPart
	Removed []cacheindex.Key
}

// Partial is a part that is being written, or whose writing broke off.
type Partial struct {
	cacheindex.Key
	Complete int
	Reserved int
}

// List is a store's content.
type List struct {
	Epoch   uint64
	Next    uint64
	Held    []cacheindex.CachedPart
	Partial []Partial
}

// Client reads kept-cache stores.
type Client interface {
	Events(ctx context.Context, address string, since uint64, wait time.Duration) (Events, error)
	List(ctx context.Context, address string) (List, error)
	// Free drops parts if the store is still in the given incarnation.
	Free(ctx context.Context, address string, epoch uint64, keys []cacheindex.Key) error
}

// Source is a store or a model server whose events are followed.
type Source struct {
	Address string
	// Listed is set for stores. Their whole content is read at first, at gaps and
	// at intervals. A server is followed by its events alone, since reading its
	// content stalls its work; what is known of it is a hint.
	Listed bool
	// Relays are inner addresses of processes to learn from, in order of
	// preference; without any the source itself is asked.
	Relays []string
}

// same reports whether both are followed in the same way.
func (s Source) same(other Source) bool {
	return s.Address == other.Address && s.Listed == other.Listed && slices.Equal(s.Relays, other.Relays)
}

// Update is what the feed has learned of a source. Exactly one of Whole, Lost
// and neither (events) applies.
type Update struct {
	Address string
	// At is when the store's answer came.
	At    time.Time
	Epoch uint64
	Whole bool
	Lost  bool
	// Reset is set with the first events of a server's incarnation.
	Reset   bool
	Held    []cacheindex.CachedPart
	Removed []cacheindex.Key
}

// Feed follows the configured stores.
type Feed struct {
	client  Client
	log     logrus.FieldLogger
	updates *ring.Ring[Update]
	sources *ring.Ring[[]Source]
	// freer decides whether this process frees what broke off in a store.
	freer func(address string) bool
	relay *Relay
	asker Asker
	frees *ring.Ring[freeOrder]
}

// New returns a feed. The process frees broken saves of the stores for which
// freer returns true, tells the relay what it learns, and asks others' relays
// through the asker.
func New(client Client, freer func(address string) bool, relay *Relay, asker Asker, log logrus.FieldLogger) *Feed {
	return &Feed{
		client: client, log: log, freer: freer, relay: relay, asker: asker, updates: ring.New[Update](updateRing),
		sources: ring.New[[]Source](sourcesRing), frees: ring.New[freeOrder](freeRing),
	}
}

// Updates holds what was learned, in order for each store.
func (f *Feed) Updates() *ring.Ring[Update] { return f.updates }

// SetSources sets which stores and servers are followed.
func (f *Feed) SetSources(sources []Source) { f.sources.Push(sources) }

// Run starts and ends the duties of sources as they come and go.
func (f *Feed) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, f.log)
	group.Go("cache frees", f.runFrees)
	type followed struct {
		source Source
		end    context.CancelFunc
	}
	duties := make(map[string]followed)
	for {
		sources, err := f.sources.Receive(ctx)
		if err != nil {
			break
		}
		named := make(map[string]bool, len(sources))
		for _, s := range sources {
			named[s.Address] = true
			if d, ok := duties[s.Address]; ok {
				if d.source.same(s) {
					continue
				}
				d.end()
			}
			own, cancel := context.WithCancel(group.Context())
			duties[s.Address] = followed{source: s, end: cancel}
			group.Go("cache events "+s.Address, func(context.Context) error { return f.follow(own, s) })
		}
		for address, d := range duties {
			if !named[address] {
				d.end()
				delete(duties, address)
			}
		}
	}
	group.Stop()
	for _, d := range duties {
		d.end()
	}
	return group.Wait()
}

// follow is the duty of one source.
func (f *Feed) follow(ctx context.Context, source Source) error {
	step, interval := f.steps(source)
	lost := false
	for ctx.Err() == nil {
		pause := interval
		err := step(ctx)
		if err != nil && ctx.Err() == nil {
			if !lost {
				f.log.WithFields(logrus.Fields{"event": "cache_events_lost", "source": source.Address, "relays": len(source.Relays)}).WithError(err).Warn("source of cache events does not answer")
			}
			_ = f.send(ctx, source, Update{Address: source.Address, Lost: true}) // fails only when the feed ends
			pause = retryAfter
		} else if lost && err == nil {
			f.log.WithFields(logrus.Fields{"event": "cache_events_regained", "source": source.Address}).Info("source of cache events answers again")
		}
		lost = err != nil
		duty.Pause(ctx, pause)
	}
	return nil
}

// steps returns the way in which a source is followed, and the time between two
// steps.
func (f *Feed) steps(source Source) (step func(context.Context) error, interval time.Duration) {
	if len(source.Relays) > 0 {
		w := &relayWatch{feed: f, source: source}
		return w.step, relayInterval
	}
	w := &watch{feed: f, source: source}
	if source.Listed {
		return w.step, storeInterval
	}
	return w.step, serverInterval
}

// send hands an update to the router and, for stores, to the relay.
func (f *Feed) send(ctx context.Context, source Source, u Update) error {
	if source.Listed && len(source.Relays) == 0 {
		if err := f.relay.updates.Send(ctx, u); err != nil {
			return err
		}
	}
	return f.updates.Send(ctx, u)
}

// watch is the state of a store's duty.
type watch struct {
	feed   *Feed
	source Source
	// listed is set when the content has been read whole.
	listed bool
	epoch  uint64
	next   uint64
	listAt time.Time
	// stuck are the unfinished parts of the last list.
	stuck map[cacheindex.Key]int
}

func (w *watch) step(ctx context.Context) error {
	if w.source.Listed && (!w.listed || time.Since(w.listAt) >= listInterval) {
		return w.again(w.list(ctx))
	}
	return w.again(w.events(ctx))
}

// again makes the content be read whole after a failure.
func (w *watch) again(err error) error {
	if err != nil {
		w.listed = false
	}
	return err
}

func (w *watch) events(ctx context.Context) error {
	asked := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	events, err := w.feed.client.Events(ctx, w.source.Address, w.next, eventWait)
	if err != nil {
		return err
	}
	if clock.SinceBoot()-asked > eventTimeout {
		return errs.New(errs.Stale, "the content is read again", "the answer lay unread while the VM was suspended")
	}
	reset := events.Epoch != w.epoch
	if reset || events.Gap {
		w.listed = false
	}
	w.epoch, w.next = events.Epoch, events.Next
	return w.feed.send(ctx, w.source, Update{
		Address: w.source.Address, At: time.Now(), Epoch: events.Epoch, Reset: reset && !w.source.Listed, Held: events.Added, Removed: events.Removed,
	})
}

func (w *watch) list(ctx context.Context) error {
	asked := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := w.feed.client.List(ctx, w.source.Address)
	if err != nil {
		return err
	}
	if clock.SinceBoot()-asked > listTimeout {
		return errs.New(errs.Stale, "the content is read again", "the answer lay unread while the VM was suspended")
	}
	at := time.Now()
	w.listed, w.epoch, w.next, w.listAt = true, list.Epoch, list.Next, at
	w.freeBroken(ctx, list)
	return w.feed.send(ctx, w.source, Update{Address: w.source.Address, At: at, Epoch: list.Epoch, Whole: true, Held: list.Held})
}

// freeBroken frees parts that made no progress between two lists: their writer
// broke off, and they take room until they are freed.
func (w *watch) freeBroken(ctx context.Context, list List) {
	stuck := make(map[cacheindex.Key]int, len(list.Partial))
	var broken []cacheindex.Key
	for _, p := range list.Partial {
		if before, ok := w.stuck[p.Key]; ok && before == p.Complete {
			broken = append(broken, p.Key)
			continue
		}
		stuck[p.Key] = p.Complete
	}
	w.stuck = stuck
	if len(broken) == 0 || !w.feed.freer(w.source.Address) {
		return
	}
	w.feed.free(ctx, freeOrder{address: w.source.Address, epoch: list.Epoch, keys: broken}, "broken_off")
}
