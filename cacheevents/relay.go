package cacheevents

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// maxRelayChanges is the maximum number of changes in the change log of one
	// store. A process that lags further behind receives the full content.
	maxRelayChanges = 512
	// defaultMemoryBytes is the memory for the content of all stores if none is given: an
	// eighth of what a node may spend for control.
	defaultMemoryBytes = 16 << 20
	// relayCapacity is the number of updates and the number of queries that may
	// wait for the relay.
	relayCapacity = 256
	// minRelayInterval and maxRelayInterval bound the pause between two queries to a relay
	// for one store. With maxRelayInterval, what a relay knows of a store is received before
	// the cache index stops using it.
	minRelayInterval = 150 * time.Millisecond
	maxRelayInterval = 300 * time.Millisecond
	// relayIntervalPerStore is the pause for each store that is read through relays. It
	// bounds the queries for all stores together.
	relayIntervalPerStore = 12 * time.Millisecond
	// relayTimeout is the timeout of each query.
	relayTimeout = 400 * time.Millisecond
)

// relayInterval returns the pause between two queries for one of n stores that are read
// through relays.
func relayInterval(n int) time.Duration {
	return min(max(time.Duration(n)*relayIntervalPerStore, minRelayInterval), maxRelayInterval)
}

// countRelayed returns the number of sources that are read through relays.
func countRelayed(sources []Source) int {
	n := 0
	for _, s := range sources {
		if len(s.Relays) > 0 {
			n++
		}
	}
	return n
}

// storeState is the relay's copy of one store's content.
type storeState struct {
	epoch uint64
	// logID identifies the change log. A new log starts with the first snapshot of an
	// incarnation, and with the first snapshot after the store was unavailable.
	logID      uint64
	receivedAt time.Time
	// parts contains the number of tokens of each part.
	parts   map[cacheindex.Key]int
	changes []change
	// firstChange is the number of the oldest change in changes.
	firstChange uint64
	// memory is charged for parts.
	memory *membudget.Account
}

// change is the addition of a part, or its removal if tokens is 0.
type change struct {
	key    cacheindex.Key
	tokens int
}

// relayQuery requests the changes of a store from the relay's duty.
type relayQuery struct {
	request *wire.CacheRequest
	reply   *ring.Ring[*wire.CacheReply]
}

// Relay is the duty that serves other processes the content of the stores that this
// process reads, since a store serves only a few readers.
type Relay struct {
	updates   *ring.Ring[Update]
	queries   *ring.Ring[relayQuery]
	stores    map[string]*storeState
	lastLogID uint64
	memory    *membudget.Budget
}

// NewRelay returns a relay with the default memory. The seed makes the numbers of its
// change logs differ from those of other processes and of earlier incarnations of this
// process.
func NewRelay(seed uint64) *Relay {
	return NewRelayWithin(seed, membudget.New("kept_cache", defaultMemoryBytes))
}

// NewRelayWithin returns a relay that charges the content of the stores to a budget. Parts
// that the budget cannot grant are not recorded, and count as not stored.
func NewRelayWithin(seed uint64, memory *membudget.Budget) *Relay {
	return &Relay{
		memory:  memory,
		updates: ring.New[Update](relayCapacity), queries: ring.New[relayQuery](relayCapacity),
		stores: make(map[string]*storeState), lastLogID: seed,
	}
}

// Run is the duty's loop.
func (r *Relay) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.updates.Ready():
		case <-r.queries.Ready():
		}
		for u, ok := r.updates.TryReceive(); ok; u, ok = r.updates.TryReceive() {
			r.apply(u)
		}
		for q, ok := r.queries.TryReceive(); ok; q, ok = r.queries.TryReceive() {
			q.reply.Push(r.replyTo(time.Now(), q.request))
		}
	}
}

// apply applies an update of a store. If events arrive for an incarnation of which
// there is no snapshot, the store's state is removed, because its full content is
// not available.
func (r *Relay) apply(u Update) {
	s := r.stores[u.Address]
	switch {
	case u.Unavailable:
		r.forget(u.Address)
		return
	case u.IsSnapshot && (s == nil || s.epoch != u.Epoch):
		r.forget(u.Address)
		r.lastLogID++
		s = &storeState{epoch: u.Epoch, logID: r.lastLogID, parts: make(map[cacheindex.Key]int), memory: r.memory.Open()}
		r.stores[u.Address] = s
	case s == nil || s.epoch != u.Epoch:
		r.forget(u.Address)
		return
	}
	s.receivedAt = u.ReceivedAt
	if u.IsSnapshot {
		s.removeMissing(u.Parts)
	}
	for _, key := range u.RemovedKeys {
		s.setTokens(key, 0)
	}
	for _, p := range u.Parts {
		s.setTokens(p.Key, p.Tokens)
	}
}

// forget removes the state of a store, if there is one.
func (r *Relay) forget(address string) {
	if s := r.stores[address]; s != nil {
		s.memory.Close()
		delete(r.stores, address)
	}
}

// removeMissing removes the parts that a snapshot no longer contains.
func (s *storeState) removeMissing(parts []cacheindex.CachedPart) {
	present := make(map[cacheindex.Key]bool, len(parts))
	for _, p := range parts {
		present[p.Key] = true
	}
	for key := range s.parts {
		if !present[key] {
			s.setTokens(key, 0)
		}
	}
}

func (s *storeState) setTokens(key cacheindex.Key, tokens int) {
	if s.parts[key] == tokens {
		return
	}
	if !s.record(key, tokens) {
		return
	}
	s.changes = append(s.changes, change{key: key, tokens: tokens})
	if over := len(s.changes) - maxRelayChanges; over > 0 {
		s.changes = append([]change(nil), s.changes[over:]...)
		s.firstChange += uint64(over)
	}
}

// record records the number of tokens of a part, or its removal if it is 0. It reports
// whether the state has changed, which it does not if there is no memory for the part.
func (s *storeState) record(key cacheindex.Key, tokens int) bool {
	_, isKnown := s.parts[key]
	switch {
	case tokens == 0:
		s.memory.Release(key.MemoryBytes())
		delete(s.parts, key)
		return true
	case !isKnown && s.memory.Charge(key.MemoryBytes()) != nil:
		return false
	}
	s.parts[key] = tokens
	return true
}

func (r *Relay) replyTo(now time.Time, request *wire.CacheRequest) *wire.CacheReply {
	s := r.stores[request.Address]
	if s == nil {
		return &wire.CacheReply{}
	}
	reply := &wire.CacheReply{
		Known: true, Log: s.logID, Next: s.firstChange + uint64(len(s.changes)), Epoch: s.epoch,
		AgeMs: uint32(min(now.Sub(s.receivedAt).Milliseconds(), 1<<30)), //nolint:gosec // bounded above, and not negative on a monotonic clock
	}
	if request.Log != s.logID || request.Since < s.firstChange || request.Since > reply.Next {
		reply.Whole = true
		for key, tokens := range s.parts {
			reply.Held = append(reply.Held, encodePart(key, tokens))
		}
		return reply
	}
	last := make(map[cacheindex.Key]int)
	for _, c := range s.changes[request.Since-s.firstChange:] {
		last[c.key] = c.tokens
	}
	for key, tokens := range last {
		if tokens == 0 {
			reply.Removed = append(reply.Removed, encodePart(key, 0))
		} else {
			reply.Held = append(reply.Held, encodePart(key, tokens))
		}
	}
	return reply
}

func encodePart(key cacheindex.Key, tokens int) *wire.KeptPart {
	return &wire.KeptPart{Salt: key.Salt, Id: string(key.ID), Tokens: uint32(max(tokens, 0))} //nolint:gosec // token counts are far below 2^32
}

// CacheSince implements the method CacheSince of the inner protocol.
func (r *Relay) CacheSince(ctx context.Context, request *wire.CacheRequest) (*wire.CacheReply, error) {
	reply, err := ring.TryRequest(ctx, r.queries, func(reply *ring.Ring[*wire.CacheReply]) relayQuery {
		return relayQuery{request: request, reply: reply}
	})
	return reply, errs.Wrap(err, errs.Exhausted, "query another process", "the relay did not process the query")
}

// RelayClient queries the relays of other processes.
type RelayClient interface {
	CacheSince(ctx context.Context, relay string, request *wire.CacheRequest) (*wire.CacheReply, error)
}

// relayWatch is the state of a duty that watches a store through the relays of other
// processes.
type relayWatch struct {
	feed   *Feed
	source Source
	index  int
	logID  uint64
	next   uint64
}

// step queries the current relay. After an error the next step queries the next relay
// and requests the full content.
func (w *relayWatch) step(ctx context.Context) error {
	relay := w.source.Relays[w.index%len(w.source.Relays)]
	sentSinceBoot, sentAt := clock.SinceBoot(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := w.feed.relayClient.CacheSince(ctx, relay, &wire.CacheRequest{Address: w.source.Address, Log: w.logID, Since: w.next})
	if err == nil && !reply.Known {
		err = errs.New(errs.Unavailable, "retry with another relay", "%s does not have the store's content", relay)
	}
	if err == nil && clock.SinceBoot()-sentSinceBoot > relayTimeout {
		err = errs.New(errs.Stale, "read the content again", "the VM was suspended during the request")
	}
	if err != nil {
		w.index++
		w.logID, w.next = 0, 0
		return err
	}
	w.logID, w.next = reply.Log, reply.Next
	update := Update{
		Address: w.source.Address, Epoch: reply.Epoch, IsSnapshot: reply.Whole,
		// The relay received the store's response at this time or later.
		ReceivedAt: sentAt.Add(-time.Duration(reply.AgeMs) * time.Millisecond),
	}
	for _, p := range reply.Held {
		update.Parts = append(update.Parts, cacheindex.CachedPart{Key: decodeKey(p), Tokens: int(p.Tokens)})
	}
	for _, p := range reply.Removed {
		update.RemovedKeys = append(update.RemovedKeys, decodeKey(p))
	}
	return w.feed.updates.Send(ctx, update)
}

func decodeKey(p *wire.KeptPart) cacheindex.Key {
	return cacheindex.Key{Salt: p.Salt, ID: core.PartID(p.Id)}
}
