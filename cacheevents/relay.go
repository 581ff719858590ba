package cacheevents

import (
	"context"
	"time"

	"waxwingtide.example/waxwingtide/cacheindex"
	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// relayChanges bounds the changes of one store that are kept for processes
	// that learn of it here; one that is further behind gets the whole content.
	relayChanges = 512
	relayRing    = 256
	// relayInterval is the time between two questions to a relay, relayTimeout
	// bounds each of them.
	relayInterval = 150 * time.Millisecond
	relayTimeout  = 400 * time.Millisecond
)

// relayed is one store as the relay knows it.
type relayed struct {
	epoch uint64
	// log names the record of changes; it is a new one after each whole reading
	// of another incarnation.
	log     uint64
	heardAt time.Time
	parts   map[cacheindex.Key]int
	changes []change
	// first is the number of the first change that is kept.
	first uint64
}

// change is a part that was added, or removed when it has no tokens.
type change struct {
	key    cacheindex.Key
	tokens int
}

// question asks the relay for the changes of a store.
type question struct {
	request *wire.CacheRequest
	reply   *ring.Ring[*wire.CacheReply]
}

// Relay is the duty that serves the content of the stores that this process reads
// to other processes, since a store serves only a few readers.
type Relay struct {
	updates   *ring.Ring[Update]
	questions *ring.Ring[question]
	stores    map[string]*relayed
	logs      uint64
}

// NewRelay returns a relay. The seed makes the numbers of its change logs differ
// from those of other processes and of earlier incarnations of this process.
func NewRelay(seed uint64) *Relay {
	return &Relay{
		updates: ring.New[Update](relayRing), questions: ring.New[question](relayRing),
		stores: make(map[string]*relayed), logs: seed,
	}
}

// Run is the duty's loop.
func (r *Relay) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.updates.Ready():
		case <-r.questions.Ready():
		}
		for u, ok := r.updates.TryReceive(); ok; u, ok = r.updates.TryReceive() {
			r.take(u)
		}
		for q, ok := r.questions.TryReceive(); ok; q, ok = r.questions.TryReceive() {
			q.reply.Push(r.answer(time.Now(), q.request))
		}
	}
}

// take notes what was learned of a store.
func (r *Relay) take(u Update) {
	s := r.stores[u.Address]
	switch {
	case u.Unavailable:
		delete(r.stores, u.Address)
		return
	case u.IsSnapshot && (s == nil || s.epoch != u.Incarnation):
		r.logs++
		s = &relayed{epoch: u.Incarnation, log: r.logs, parts: make(map[cacheindex.Key]int, len(u.Parts))}
		r.stores[u.Address] = s
	case s == nil || s.epoch != u.Incarnation:
		delete(r.stores, u.Address)
		return
	}
	s.heardAt = u.ReceivedAt
	if u.IsSnapshot {
		s.dropMissing(u.Parts)
	}
	for _, key := range u.RemovedKeys {
		s.set(key, 0)
	}
	for _, h := range u.Parts {
		s.set(h.Key, h.Tokens)
	}
}

// dropMissing removes the parts that a whole content no longer has.
func (s *relayed) dropMissing(held []cacheindex.CachedPart) {
	present := make(map[cacheindex.Key]bool, len(held))
	for _, h := range held {
		present[h.Key] = true
	}
	for key := range s.parts {
		if !present[key] {
			s.set(key, 0)
		}
	}
}

func (s *relayed) set(key cacheindex.Key, tokens int) {
	if s.parts[key] == tokens {
		return
	}
	if tokens == 0 {
		delete(s.parts, key)
	} else {
		s.parts[key] = tokens
	}
	s.changes = append(s.changes, change{key: key, tokens: tokens})
	if over := len(s.changes) - relayChanges; over > 0 {
		s.changes = append([]change(nil), s.changes[over:]...)
		s.first += uint64(over)
	}
}

func (r *Relay) answer(now time.Time, request *wire.CacheRequest) *wire.CacheReply {
	s := r.stores[request.Address]
	if s == nil {
		return &wire.CacheReply{}
	}
	reply := &wire.CacheReply{
		Known: true, Log: s.log, Next: s.first + uint64(len(s.changes)), Epoch: s.epoch,
		AgeMs: uint32(min(now.Sub(s.heardAt).Milliseconds(), 1<<30)), //nolint:gosec // bounded above, and not negative on a monotonic clock
	}
	if request.Log != s.log || request.Since < s.first || request.Since > reply.Next {
		reply.Whole = true
		for key, tokens := range s.parts {
			reply.Held = append(reply.Held, encodePart(key, tokens))
		}
		return reply
	}
	last := make(map[cacheindex.Key]int)
	for _, c := range s.changes[request.Since-s.first:] {
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
	reply, err := ring.TryRequest(ctx, r.questions, func(reply *ring.Ring[*wire.CacheReply]) question {
		return question{request: request, reply: reply}
	})
	return reply, errs.Wrap(err, errs.Exhausted, "ask another process", "the question was not answered")
}

// RelayClient queries the relays of other processes.
type RelayClient interface {
	CacheSince(ctx context.Context, relay string, request *wire.CacheRequest) (*wire.CacheReply, error)
}

// relayWatch is the state of a store's duty that learns from relays.
type relayWatch struct {
	feed   *Feed
	source Source
	turn   int
	log    uint64
	next   uint64
}

// step asks the current relay, and turns to the next one when it knows nothing.
func (w *relayWatch) step(ctx context.Context) error {
	relay := w.source.Relays[w.turn%len(w.source.Relays)]
	asked, askedAt := clock.SinceBoot(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := w.feed.asker.CacheSince(ctx, relay, &wire.CacheRequest{Address: w.source.Address, Log: w.log, Since: w.next})
	if err == nil && !reply.Known {
		err = errs.New(errs.Unavailable, "another relay is asked", "%s does not follow the store", relay)
	}
	if err == nil && clock.SinceBoot()-asked > relayTimeout {
		err = errs.New(errs.Stale, "the content is read again", "the answer lay unread while the VM was suspended")
	}
	if err != nil {
		w.turn++
		w.log, w.next = 0, 0
		return err
	}
	w.log, w.next = reply.Log, reply.Next
	update := Update{
		Address: w.source.Address, Incarnation: reply.Epoch, IsSnapshot: reply.Whole,
		// The store answered the relay at this time or later.
		ReceivedAt: askedAt.Add(-time.Duration(reply.AgeMs) * time.Millisecond),
	}
	for _, p := range reply.Held {
		update.Parts = append(update.Parts, cacheindex.CachedPart{Key: decodePart(p), Tokens: int(p.Tokens)})
	}
	for _, p := range reply.Removed {
		update.RemovedKeys = append(update.RemovedKeys, decodePart(p))
	}
	return w.feed.updates.Send(ctx, update)
}

func decodePart(p *wire.KeptPart) cacheindex.Key {
	return cacheindex.Key{Salt: p.Salt, ID: core.PartID(p.Id)}
}
