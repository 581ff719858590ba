// Package cacheevents reads the cache events of model servers and kept-cache stores
// (servers that store KV cache exported from model servers), with one duty for each
// source, and forwards them through a ring.
package cacheevents

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
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
	// eventTimeout is the timeout of a request for events.
	eventTimeout = 800 * time.Millisecond
	// storeInterval and serverInterval are the pauses between two requests. A store's
	// events decide which parts may be fetched and saved. A model server's events
	// are hints and may arrive in larger groups.
	storeInterval  = 50 * time.Millisecond
	serverInterval = 250 * time.Millisecond
	// listInterval is the interval between two reads of a store's full content. Each
	// read corrects the effects of dropped events.
	listInterval = 6 * time.Second
	listTimeout  = 1500 * time.Millisecond
	// minRetryDelay is the time after a failed read in which the source is not read.
	minRetryDelay = 150 * time.Millisecond
	// updateCapacity is the capacity of the ring of updates. Senders wait when it is
	// full.
	updateCapacity = 256
	// sourcesCapacity is 1 because a new list of sources replaces a waiting one.
	sourcesCapacity = 1
)

// Events are changes of a source's content.
type Events struct {
	// Epoch identifies the source's incarnation.
	Epoch uint64
	// Next is the number of the first event after these.
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

// StoreContent is the full content of a store after all events before Next.
type StoreContent struct {
	Epoch        uint64
	Next         uint64
	Parts        []cacheindex.CachedPart
	PartialParts []PartialPart
}

// Client sends requests to kept-cache stores and model servers.
type Client interface {
	// Events waits for at most the time wait for events numbered since or higher.
	Events(ctx context.Context, address string, since uint64, wait time.Duration) (Events, error)
	List(ctx context.Context, address string) (StoreContent, error)
	// Free removes parts if the store is still in the given incarnation.
	Free(ctx context.Context, address string, epoch uint64, keys []cacheindex.Key) error
}

// Source is a kept-cache store or a model server whose events are read.
type Source struct {
	Address string
	// StartedAtMs identifies the incarnation of a model server. It is 0 for stores.
	StartedAtMs int64
	// IsStore is set for stores. Their full content is read at the start, after gaps
	// and at intervals. Of a model server only the events are read, because reading
	// its full content stalls it. Its recorded content is therefore only a hint.
	IsStore bool
	// Relays are the addresses of the relays that are queried instead of the source,
	// sorted by preference.
	Relays []string
	// Paused is set while the source wants no requests.
	Paused bool
}

// PauseError is the error of a source that wants no requests for a time.
type PauseError struct {
	For   time.Duration
	Cause error
}

// Error implements error.
func (e *PauseError) Error() string {
	return e.Cause.Error() + "; it wants no requests for " + e.For.String()
}

// Unwrap returns the cause.
func (e *PauseError) Unwrap() error { return e.Cause }

// same reports whether two sources have the same settings, except for Paused.
func (s Source) same(other Source) bool {
	return s.Address == other.Address && s.StartedAtMs == other.StartedAtMs && s.IsStore == other.IsStore && slices.Equal(s.Relays, other.Relays)
}

// Update is a change of a source's content or availability.
type Update struct {
	Address string
	// ReceivedAt is the time at which the source's response was received. A relayed
	// update may have an earlier time.
	ReceivedAt time.Time
	Epoch      uint64
	// IsSnapshot is set when Parts is the full content instead of the added parts.
	IsSnapshot bool
	// Unavailable is set when reading from the source or its relay failed.
	Unavailable bool
	// Restarted is set with the first events of a model server's incarnation.
	Restarted   bool
	Parts       []cacheindex.CachedPart
	RemovedKeys []cacheindex.Key
}

// Feed reads the events of the configured sources.
type Feed struct {
	client  Client
	log     logrus.FieldLogger
	updates *ring.Ring[Update]
	sources *ring.Ring[[]Source]
	// ownsFrees reports whether this process frees parts in the store at an address.
	ownsFrees   func(address string) bool
	relay       *Relay
	relayClient RelayClient
	freeOrders  *ring.Ring[freeOrder]
}

// New returns a feed. It frees interrupted saves in the stores for which ownsFrees
// returns true.
func New(client Client, ownsFrees func(address string) bool, relay *Relay, relayClient RelayClient, log logrus.FieldLogger) *Feed {
	return &Feed{
		client: client, log: log, ownsFrees: ownsFrees, relay: relay, relayClient: relayClient, updates: ring.New[Update](updateCapacity),
		sources: ring.New[[]Source](sourcesCapacity), freeOrders: ring.New[freeOrder](orderCapacity),
	}
}

// Updates returns the ring of updates. The updates of one source are in sequence.
func (f *Feed) Updates() *ring.Ring[Update] { return f.updates }

// SetSources sets the sources whose events are read.
func (f *Feed) SetSources(sources []Source) { f.sources.Push(sources) }

// sourceDuty is the duty of a source.
type sourceDuty struct {
	source Source
	// paused contains the newest value of Source.Paused until the duty receives it.
	paused *ring.Ring[bool]
	// relayed is the number of sources that were read through relays when the duty started.
	relayed int
	cancel  context.CancelFunc
}

// waitWhilePaused returns when the source is no longer paused or the context has ended.
func (d sourceDuty) waitWhilePaused(ctx context.Context) {
	paused, _ := d.paused.TryReceive()
	for paused {
		var err error
		if paused, err = d.paused.Receive(ctx); err != nil {
			return
		}
	}
}

// Run starts a duty for each added source and stops the duties of removed ones.
func (f *Feed) Run(ctx context.Context) error {
	group := duty.NewGroup(ctx, f.log)
	group.Go("cache frees", f.runFreeOrders)
	duties := make(map[string]sourceDuty)
	for {
		sources, err := f.sources.Receive(ctx)
		if err != nil {
			break
		}
		configured, relayed := make(map[string]bool, len(sources)), countRelayed(sources)
		for _, s := range sources {
			configured[s.Address] = true
			if d, ok := duties[s.Address]; ok {
				if d.source.same(s) {
					d.paused.Push(s.Paused)
					continue
				}
				d.cancel()
			}
			sourceCtx, cancel := context.WithCancel(group.Context())
			d := sourceDuty{source: s, paused: ring.New[bool](1), relayed: relayed, cancel: cancel}
			d.paused.Push(s.Paused)
			duties[s.Address] = d
			group.Go("cache events "+s.Address, func(context.Context) error { return f.watchSource(sourceCtx, d) })
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

// watchSource is the loop of a source's duty.
func (f *Feed) watchSource(ctx context.Context, d sourceDuty) error {
	source := d.source
	step, interval := f.stepAndInterval(source, d.relayed)
	unavailable := false
	for {
		d.waitWhilePaused(ctx)
		if ctx.Err() != nil {
			return nil
		}
		pause := interval
		err := step(ctx)
		if err != nil && ctx.Err() == nil {
			if !unavailable {
				f.log.WithFields(logrus.Fields{"event": "cache_events_lost", "source": source.Address, "relays": len(source.Relays)}).WithError(err).Warn("source of cache events is unavailable")
			}
			_ = f.send(ctx, source, Update{Address: source.Address, Unavailable: true}) // fails only when the duty is stopped
			pause = retryDelay(err)
		} else if unavailable && err == nil {
			f.log.WithFields(logrus.Fields{"event": "cache_events_regained", "source": source.Address}).Info("source of cache events is available again")
		}
		unavailable = err != nil
		duty.Pause(ctx, pause)
	}
}

// retryDelay returns the time after which a source is read again after an error.
func retryDelay(err error) time.Duration {
	var paused *PauseError
	if errors.As(err, &paused) {
		return max(paused.For, minRetryDelay)
	}
	return minRetryDelay
}

// stepAndInterval returns the function that reads a source, and the pause between reads.
// relayed is the number of sources that are read through relays.
func (f *Feed) stepAndInterval(source Source, relayed int) (step func(context.Context) error, interval time.Duration) {
	if len(source.Relays) > 0 {
		w := &relayWatch{feed: f, source: source}
		return w.step, relayInterval(relayed)
	}
	w := &watch{feed: f, source: source}
	if source.IsStore {
		return w.step, storeInterval
	}
	return w.step, serverInterval
}

// send adds an update to the ring and, if it was read directly from a store, sends it
// to the relay.
func (f *Feed) send(ctx context.Context, source Source, u Update) error {
	if source.IsStore && len(source.Relays) == 0 {
		if err := f.relay.updates.Send(ctx, u); err != nil {
			return err
		}
	}
	return f.updates.Send(ctx, u)
}

// watch is the state of a duty that watches a source directly, without a relay.
type watch struct {
	feed   *Feed
	source Source
	// contentValid is cleared by a gap, a restart of the source or an error.
	contentValid bool
	epoch        uint64
	next         uint64
	listedAt     time.Time
	// partialTokens contains the stored tokens of the unfinished partial parts.
	partialTokens map[cacheindex.Key]int
}

func (w *watch) step(ctx context.Context) error {
	if w.source.IsStore && (!w.contentValid || time.Since(w.listedAt) >= listInterval) {
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
	sentAt := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	events, err := w.feed.client.Events(ctx, w.source.Address, w.next, eventWait)
	if err != nil {
		return err
	}
	if clock.SinceBoot()-sentAt > eventTimeout {
		return errs.New(errs.Stale, "read the content again", "the VM was suspended during the request")
	}
	reset := events.Epoch != w.epoch
	if reset || events.Gap {
		w.contentValid = false
	}
	w.epoch, w.next = events.Epoch, events.Next
	return w.feed.send(ctx, w.source, Update{
		Address: w.source.Address, ReceivedAt: time.Now(), Epoch: events.Epoch, Restarted: reset && !w.source.IsStore, Parts: events.AddedParts, RemovedKeys: events.RemovedKeys,
	})
}

func (w *watch) list(ctx context.Context) error {
	sentAt := clock.SinceBoot()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := w.feed.client.List(ctx, w.source.Address)
	if err != nil {
		return err
	}
	if clock.SinceBoot()-sentAt > listTimeout {
		return errs.New(errs.Stale, "read the content again", "the VM was suspended during the request")
	}
	receivedAt := time.Now()
	w.contentValid, w.epoch, w.next, w.listedAt = true, list.Epoch, list.Next, receivedAt
	w.freeInterrupted(ctx, list)
	return w.feed.send(ctx, w.source, Update{Address: w.source.Address, ReceivedAt: receivedAt, Epoch: list.Epoch, IsSnapshot: true, Parts: list.Parts})
}

// freeInterrupted frees the partial parts without progress between two reads of the
// full content. Their saves were interrupted, and they occupy capacity.
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
	if len(broken) == 0 || !w.feed.ownsFrees(w.source.Address) {
		return
	}
	w.feed.free(ctx, freeOrder{address: w.source.Address, epoch: list.Epoch, keys: broken}, "broken_off")
}
