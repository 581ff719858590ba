// Package cacheevents reads the cache events of kept-cache stores and model
// servers, with one duty for each source, and forwards them through a ring.
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

// Events are changes of a source's content.
type Events struct {
	Epoch uint64
	// Next is the number from which the next call reads events.
	Next uint64
	// Gap is set when the source has dropped events before they were read.
	Gap         bool
	AddedParts  []cacheindex.CachedPart
	RemovedKeys []cacheindex.Key
}

// PartialPart is a part whose save to a store is in progress or was interrupted.
type PartialPart struct {
	cacheindex.Key
	StoredTokens   int
	ReservedTokens int
}

// StoreContent is the full content of a store.
type StoreContent struct {
	Epoch        uint64
	Next         uint64
	Parts        []cacheindex.CachedPart
	PartialParts []PartialPart
}

// Client calls kept-cache stores and model servers.
type Client interface {
	// Events waits up to the given time for events from the number since on.
	Events(ctx context.Context, address string, since uint64, wait time.Duration) (Events, error)
	List(ctx context.Context, address string) (StoreContent, error)
	// Free removes parts from a store if the store is still in the given
	// incarnation.
	Free(ctx context.Context, address string, epoch uint64, keys []cacheindex.Key) error
}

// Source is a kept-cache store or a model server whose events are read.
type Source struct {
	Address string
	// IsStore is set for kept-cache stores and unset for model servers. The full
	// content of a store is read at the start, after a gap and at intervals. Only
	// the events of a model server are read, because reading its content stalls
	// its work. The recorded content of a model server is therefore a hint.
	IsStore bool
	// Relays are the inner addresses of the processes whose relays are queried
	// instead of the source, sorted by preference. If there are none, the source
	// itself is queried.
	Relays []string
}

// same reports whether two sources have the same settings.
func (s Source) same(other Source) bool {
	return s.Address == other.Address && s.IsStore == other.IsStore && slices.Equal(s.Relays, other.Relays)
}

// Update is a change of a source's content or availability. It contains events
// unless IsSnapshot or Unavailable is set. At most one of these two is set.
type Update struct {
	Address string
	// ReceivedAt is the time at which the source's response was received. It may
	// be earlier than that for an update from a relay, but not later.
	ReceivedAt  time.Time
	Incarnation uint64
	// IsSnapshot is set when Parts is the full content.
	IsSnapshot bool
	// Unavailable is set when the source, or its relay, failed to respond.
	Unavailable bool
	// Restarted is set with the first events of a model server's incarnation.
	Restarted bool
	// Parts are the parts that were added, or the full content.
	Parts []cacheindex.CachedPart
	// RemovedKeys are the keys of the parts that were removed.
	RemovedKeys []cacheindex.Key
}

// Feed reads the events of the configured sources.
type Feed struct {
	client  Client
	log     logrus.FieldLogger
	updates *ring.Ring[Update]
	sources *ring.Ring[[]Source]
	// freer decides whether this process frees what broke off in a store.
	freer func(address string) bool
	relay *Relay
	asker RelayClient
	frees *ring.Ring[freeOrder]
}

// New returns a feed. It frees interrupted saves in the stores for which freer
// returns true, forwards the updates of stores to the relay, and queries the
// relays of other processes through asker.
func New(client Client, freer func(address string) bool, relay *Relay, asker RelayClient, log logrus.FieldLogger) *Feed {
	return &Feed{
		client: client, log: log, freer: freer, relay: relay, asker: asker, updates: ring.New[Update](updateRing),
		sources: ring.New[[]Source](sourcesRing), frees: ring.New[freeOrder](freeRing),
	}
}

// Updates returns the ring of updates. The updates of one source are in sequence.
func (f *Feed) Updates() *ring.Ring[Update] { return f.updates }

// SetSources sets the sources whose events are read.
func (f *Feed) SetSources(sources []Source) { f.sources.Push(sources) }

// Run starts a duty for each added source and stops the duties of removed ones.
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
			_ = f.send(ctx, source, Update{Address: source.Address, Unavailable: true}) // fails only when the feed ends
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
	if source.IsStore {
		return w.step, storeInterval
	}
	return w.step, serverInterval
}

// send hands an update to the router and, for stores, to the relay.
func (f *Feed) send(ctx context.Context, source Source, u Update) error {
	if source.IsStore && len(source.Relays) == 0 {
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
	if w.source.IsStore && (!w.listed || time.Since(w.listAt) >= listInterval) {
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
		Address: w.source.Address, ReceivedAt: time.Now(), Incarnation: events.Epoch, Restarted: reset && !w.source.IsStore, Parts: events.AddedParts, RemovedKeys: events.RemovedKeys,
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
	return w.feed.send(ctx, w.source, Update{Address: w.source.Address, ReceivedAt: at, Incarnation: list.Epoch, IsSnapshot: true, Parts: list.Parts})
}

// freeBroken frees parts that made no progress between two lists: their writer
// broke off, and they take room until they are freed.
func (w *watch) freeBroken(ctx context.Context, list StoreContent) {
	stuck := make(map[cacheindex.Key]int, len(list.PartialParts))
	var broken []cacheindex.Key
	for _, p := range list.PartialParts {
		if before, ok := w.stuck[p.Key]; ok && before == p.StoredTokens {
			broken = append(broken, p.Key)
			continue
		}
		stuck[p.Key] = p.StoredTokens
	}
	w.stuck = stuck
	if len(broken) == 0 || !w.feed.freer(w.source.Address) {
		return
	}
	w.feed.free(ctx, freeOrder{address: w.source.Address, epoch: list.Epoch, keys: broken}, "broken_off")
}
