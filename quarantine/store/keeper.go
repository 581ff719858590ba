// Package store keeps the parts of prompts that are in quarantine in the platform's
// metadata store, so that a quarantine outlives the restart of all processes. Processes
// read the quarantines when they start. Changes reach running processes through package
// sharing; a few processes write each change.
package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/quarantine"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// changesCapacity is the capacity of the ring of changes. Further ones are dropped; the
	// next change of the same part is written again.
	changesCapacity = 256
	// storedCapacity is the capacity of the ring of read quarantines. The oldest are
	// dropped, which the newest contain.
	storedCapacity = 4
	// writeStagger is the delay after which the next process writes a change. It finds it
	// in the store unless the previous one has failed.
	writeStagger = time.Second
	// retryInterval is the time after which a failed call of the store is repeated, and
	// conflictDelay the maximum time until a write is repeated because another process has
	// written.
	retryInterval = 2 * time.Second
	conflictDelay = 200 * time.Millisecond
	// callTimeout covers a read and a write.
	callTimeout = 3 * time.Second
)

// Change is a change of a part's state that is to be written.
type Change struct {
	quarantine.Change
	// Generation is the newest generation of the store's content that this process knows.
	Generation core.Generation
}

// Keeper is the duty that reads the quarantines and writes their changes.
type Keeper struct {
	store   fleet.Store
	log     logrus.FieldLogger
	changes *ring.Ring[Change]
	stored  *ring.Ring[[]quarantine.State]
	// firstReadDone is closed after the first read has succeeded or failed.
	firstReadDone chan struct{}

	// The remaining fields belong to the duty.
	pending map[quarantine.Part]pendingChange
	// known contains the versions in the store as last read or written, in knownGeneration.
	known           map[quarantine.Part]uint32
	knownGeneration core.Generation
	hasRead         bool
	failing         bool
	// retryAt is the earliest time of the next call.
	retryAt time.Time
}

// pendingChange is a state that is written from a time on.
type pendingChange struct {
	state     quarantine.State
	notBefore time.Time
}

// New returns a Keeper that has not started.
func New(store fleet.Store, log logrus.FieldLogger) *Keeper {
	return &Keeper{
		store: store, log: log, changes: ring.New[Change](changesCapacity), stored: ring.New[[]quarantine.State](storedCapacity),
		firstReadDone: make(chan struct{}), pending: make(map[quarantine.Part]pendingChange),
	}
}

// Offer queues a change to be written, or drops it when the ring is full.
func (k *Keeper) Offer(c Change) bool { return k.changes.Offer(c) }

// Stored returns the ring of the quarantines that were read from the store.
func (k *Keeper) Stored() *ring.Ring[[]quarantine.State] { return k.stored }

// AwaitFirstRead waits until the quarantines have been read or the read has failed, at most
// for the given time.
func (k *Keeper) AwaitFirstRead(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-k.firstReadDone:
	case <-ctx.Done():
	}
}

// Run is the duty's loop.
func (k *Keeper) Run(ctx context.Context) error {
	k.synchronize(ctx)
	close(k.firstReadDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Stop()
		if due, ok := k.dueAt(); ok {
			timer.Reset(time.Until(due))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-k.changes.Ready():
			k.takeChanges(time.Now())
		case <-timer.C:
			k.synchronize(ctx)
		}
	}
}

// dueAt returns the time of the next call of the store, or false if none is needed.
func (k *Keeper) dueAt() (due time.Time, ok bool) {
	if !k.hasRead {
		return k.retryAt, true
	}
	for _, p := range k.pending {
		if !ok || p.notBefore.Before(due) {
			due, ok = p.notBefore, true
		}
	}
	if due.Before(k.retryAt) {
		due = k.retryAt
	}
	return due, ok
}

// takeChanges takes the queued changes, except for those that the store has.
func (k *Keeper) takeChanges(now time.Time) {
	for c, ok := k.changes.TryReceive(); ok; c, ok = k.changes.TryReceive() {
		isStored := c.Quarantined() && k.known[c.Part] >= c.Version && k.knownGeneration >= c.Generation
		if isStored {
			delete(k.pending, c.Part)
			continue
		}
		if _, ok := k.pending[c.Part]; ok || len(k.pending) < changesCapacity {
			k.pending[c.Part] = pendingChange{state: c.State, notBefore: now.Add(time.Duration(c.Rank) * writeStagger)}
		}
	}
}

// synchronize reads the quarantines and writes the changes that are due.
func (k *Keeper) synchronize(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	page, err := k.store.Rows(ctx, table)
	if err != nil {
		k.recordFailure(err)
		return
	}
	read := newContent(page)
	k.publish(read.states(now))
	due := k.dueStates(now)
	if read.apply(now, due) {
		if err := k.write(ctx, read); err != nil {
			k.recordFailure(err)
			return
		}
	}
	k.recordSuccess(read, due)
}

// publish passes the read quarantines to the router.
func (k *Keeper) publish(states []quarantine.State) {
	if len(states) > 0 {
		k.stored.Push(states)
	}
	if !k.hasRead {
		k.hasRead = true
		k.log.WithFields(logrus.Fields{"event": "quarantines_read", "parts": len(states)}).Info("parts in quarantine were read from the metadata store")
	}
}

// dueStates returns the states to be written now. If one is due, the others that are
// pending are written with it.
func (k *Keeper) dueStates(now time.Time) (states []quarantine.State) {
	anyDue := false
	for _, p := range k.pending {
		states = append(states, p.state)
		anyDue = anyDue || !now.Before(p.notBefore)
	}
	if !anyDue {
		return nil
	}
	return states
}

func (k *Keeper) write(ctx context.Context, c content) error {
	tx, err := c.transaction()
	if err != nil {
		return err
	}
	response, err := k.store.Commit(ctx, tx)
	if err != nil {
		return err
	}
	if response.Generation != c.generation {
		return errs.New(errs.Conflict, "read the row again", "the metadata store was restored after the quarantines were read")
	}
	k.log.WithFields(logrus.Fields{"event": "quarantines_written", "parts": len(c.entries), "generation": c.generation}).Info("parts in quarantine were written to the metadata store")
	return nil
}

// recordFailure delays the next call. A conflict is no failure: another process has written.
func (k *Keeper) recordFailure(err error) {
	if errs.KindOf(err) == errs.Conflict {
		k.retryAt = time.Now().Add(rand.N(conflictDelay))
		return
	}
	if !k.failing {
		k.log.WithFields(logrus.Fields{"event": "quarantines_unstored", "pending": len(k.pending)}).WithError(err).Warn("parts in quarantine cannot be read from or written to the metadata store; this is repeated")
	}
	k.failing, k.retryAt = true, time.Now().Add(retryInterval)
}

// recordSuccess records what the store contains.
func (k *Keeper) recordSuccess(c content, written []quarantine.State) {
	k.failing, k.retryAt = false, time.Time{}
	k.known, k.knownGeneration = make(map[quarantine.Part]uint32), c.generation
	for part, e := range c.entries {
		k.known[part] = e.version
	}
	for _, s := range written {
		delete(k.pending, s.Part)
	}
}
