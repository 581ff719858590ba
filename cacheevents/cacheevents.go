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
	// eventWait is the maximum time that a source waits for events. It is shorter
	// than the time for which the cache index treats a store's content as valid.
	eventWait = 400 * time.Millisecond
	// eventTimeout is the timeout of a call that reads events.
	eventTimeout = 800 * time.Millisecond
	// storeInterval and serverInterval are the pauses between two calls. A store's
	// events decide which parts may be fetched and saved. A model server's events
	// are hints and may arrive in larger groups.
	storeInterval  = 50 * time.Millisecond
	serverInterval = 250 * time.Millisecond
	// listInterval is the interval between two reads of a store's full content,
	// which correct the effects of lost events.
	listInterval = 6 * time.Second
	listTimeout  = 1500 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 150 * time.Millisecond
	// updateCapacity is the number of updates that may wait for the router. Senders
	// wait when the ring is full.
	updateCapacity = 256
	// sourcesCapacity is 1 because a new list of sources replaces a waiting one.
	sourcesCapacity = 1
)

// Events are changes of a source's content.
type Events struct {
	// Epoch is the source's incarnation.
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

// StoreContent is the full content of a store, up to the event number Next.
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
	// Free drops parts if the store is still in the given incarnation.
	Free(ctx context.Context, address string, epoch uint64, keys []cacheindex.Key) error
}

// Source is a store or a model server whose events are followed.
type Source struct {
	Address string
	// IsStore is set for stores. Their full content is read at the start, after gaps
	// and at intervals. Only the events of a model server are read, since reading its
	// content stalls its work, so its recorded content is a hint.
	IsStore bool
	// Relays are the inner addresses of the relays that are queried instead of the
	// source, sorted by preference.
	Relays []string
}

// same reports whether two sources have the same settings.
func (s Source) same(other Source) bool {
	return s.Address == other.Address && s.IsStore == other.IsStore && slices.Equal(s.Relays, other.Relays)
}

// Update is a change of a source's content or availability. It contains events if
// neither IsSnapshot nor Unavailable is set.
type Update struct {
	Address string
	// ReceivedAt is the time at which the source's response was received. A relayed
	// update may have an earlier time.
	ReceivedAt  time.Time
	Incarnation uint64
	// IsSnapshot is set when Parts is the full content.
	IsSnapshot bool
	// Unavailable is set when the source, or its relay, failed to respond.
	Unavailable bool
	// Restarted is set with the first events of a model server's incarnation.
	Restarted bool
	// Parts are the added parts, or the full content.
	Parts       []cacheindex.CachedPart
	RemovedKeys []cacheindex.Key
}

// Feed reads the events of the configured sources.
type Feed struct {
	client  Client
	log     logrus.FieldLogger
	updates *ring.Ring[Update]
	sources *ring.Ring[[]Source]
	// isFreer reports whether this process frees parts in the store at an address.
	isFreer     func(address string) bool
	relay       *Relay
	relayClient RelayClient
	freeOrders  *ring.Ring[freeOrder]
}

// New returns a feed. It frees interrupted saves in the stores for which isFreer
// returns true, forwards updates of stores to the relay, and queries other
// processes' relays through relayClient.
func New(client Client, isFreer func(address string) bool, relay *Relay, relayClient RelayClient, log logrus.FieldLogger) *Feed {
	return &Feed{
		client: client, log: log, isFreer: isFreer, relay: relay, relayClient: relayClient, updates: ring.New[Update](updateCapacity),
		sources: ring.New[[]Source](sourcesCapacity), freeOrders: ring.New[freeOrder](freeCapacity),
	}
}

// Updates returns the ring of updates. The updates of one source are in sequence.
func (f *Feed) Updates() *ring.Ring[Update] { return f.updates }

// SetSources sets which stores and servers are followed.
func (f *Feed) SetSources(sources []Source) { f.sources.Push(sources) }

// Run starts a duty for each added source and stops the duties of removed ones.
func (f *Feed) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, f.log)
	group.Go("cache frees", f.runFreeOrders)
	type sourceDuty struct {
		source Source
		cancel context.CancelFunc
	}
	duties := make(map[string]sourceDuty)
	for {
		sources, err := f.sources.Receive(ctx)
		if err != nil {
			break
		}
		configured := make(map[string]bool, len(sources))
		for _, s := range sources {
			configured[s.Address] = true
			if d, ok := duties[s.Address]; ok {
				if d.source.same(s) {
					continue
				}
				d.cancel()
			}
			sourceCtx, cancel := context.WithCancel(group.Context())
			duties[s.Address] = sourceDuty{source: s, cancel: cancel}
			group.Go("cache events "+s.Address, func(context.Context) error { return f.follow(sourceCtx, s) })
		}
		for address, d := range duties {
			if !configured[address] {
				d.cancel()
				delete(duties, address)
			}
		}
	}
	group.Stop()
	for _, d := range duties {
		d.cancel()
	}
	return group.Wait()
}

// follow is the loop of a source's duty.
func (f *Feed) follow(ctx context.Context, source Source) error {
	step, interval := f.steps(source)
	lost := false
	for ctx.Err() == nil {
		pause := interval
		err := step(ctx)
		if err != nil && ctx.Err() == nil {
			if !lost {
				f.log.WithFields(logrus.Fields{"event": "cache_events_lost", "source": source.Address, "relays": len(source.Relays)}).WithError(err).Warn("source of cache events is unavailable")
			}
			_ = f.send(ctx, source, Update{Address: source.Address, Unavailable: true}) // fails only when the duty is stopped
			pause = retryDelay
		} else if lost && err == nil {
			f.log.WithFields(logrus.Fields{"event": "cache_events_regained", "source": source.Address}).Info("source of cache events is available again")
		}
		lost = err != nil
		duty.Pause(ctx, pause)
	}
	return nil
}

// steps returns the function that reads a source once, and the pause between two
// calls of the function.
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

// send sends an update to the router and, if it was read directly from a store, to
// the relay.
func (f *Feed) send(ctx context.Context, source Source, u Update) error {
	if source.IsStore && len(source.Relays) == 0 {
		if err := f.relay.updates.Send(ctx, u); err != nil {
			return err
		}
	}
	return f.updates.Send(ctx, u)
}

// watch is the state of the duty that reads a store or a model server directly.
type watch struct {
	feed   *Feed
	source Source
	// contentValid is set after the full content has been read, and cleared by a gap,
	// a restart of the source or a failed call.
	contentValid bool
	epoch        uint64
	next         uint64
	listAt       time.Time
	// partialTokens contains the stored tokens of the partial parts at the last read
	// of the full content, without interrupted ones.
	partialTokens map[cacheindex.Key]int
}

// step reads the full content if it is due or invalid, otherwise the events.
func (w *watch) step(ctx context.Context) error {
	if w.source.IsStore && (!w.contentValid || time.Since(w.listAt) >= listInterval) {
		return w.invalidateOnError(w.list(ctx))
	}
	return w.invalidateOnError(w.events(ctx))
}

// invalidateOnError causes the full content to be read again after an error.
func (w *watch) invalidateOnError(err error) error {
	if err != nil {
		w.contentValid = false
	}
	return err
}

func (w *watch) events(ctx context.Context) error {
	requestedSinceBoot := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	events, err := w.feed.client.Events(ctx, w.source.Address, w.next, eventWait)
	if err != nil {
		return err
	}
	if clock.SinceBoot()-requestedSinceBoot > eventTimeout {
		return errs.New(errs.Stale, "read the content again", "the response was not read while the VM was suspended")
	}
	restarted := events.Epoch != w.epoch
	if restarted || events.Gap {
		w.contentValid = false
	}
	w.epoch, w.next = events.Epoch, events.Next
	return w.feed.send(ctx, w.source, Update{
		Address: w.source.Address, ReceivedAt: time.Now(), Incarnation: events.Epoch, Restarted: restarted && !w.source.IsStore, Parts: events.AddedParts, RemovedKeys: events.RemovedKeys,
	})
}

func (w *watch) list(ctx context.Context) error {
	requestedSinceBoot := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := w.feed.client.List(ctx, w.source.Address)
	if err != nil {
		return err
	}
	if clock.SinceBoot()-requestedSinceBoot > listTimeout {
		return errs.New(errs.Stale, "read the content again", "the response was not read while the VM was suspended")
	}
	receivedAt := time.Now()
	w.contentValid, w.epoch, w.next, w.listAt = true, list.Epoch, list.Next, receivedAt
	w.freeInterrupted(ctx, list)
	return w.feed.send(ctx, w.source, Update{Address: w.source.Address, ReceivedAt: receivedAt, Incarnation: list.Epoch, IsSnapshot: true, Parts: list.Parts})
}

// freeInterrupted frees the partial parts that made no progress between two reads
// of the full content. Their saves were interrupted, and they occupy capacity until
// they are freed.
func (w *watch) freeInterrupted(ctx context.Context, list StoreContent) {
	partialTokens := make(map[cacheindex.Key]int, len(list.PartialParts))
	var broken []cacheindex.Key
	for _, p := range list.PartialParts {
		if previous, ok := w.partialTokens[p.Key]; ok && previous == p.StoredTokens {
			broken = append(broken, p.Key)
			continue
		}
		partialTokens[p.Key] = p.StoredTokens
	}
	w.partialTokens = partialTokens
	if len(broken) == 0 || !w.feed.isFreer(w.source.Address) {
		return
	}
	w.feed.free(ctx, freeOrder{address: w.source.Address, epoch: list.Epoch, keys: broken}, "broken_off")
}
