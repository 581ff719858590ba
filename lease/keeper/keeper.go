// Package keeper acquires, renews and gives up leases in the platform's metadata store.
// A Contender does so for one lease. The Keeper is the duty that contends for the leases
// of several subjects and implements singleton.Leases.
package keeper

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/clock"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/singleton"
)

const (
	// minAttemptInterval is the minimum time between two attempts on one lease.
	minAttemptInterval = 150 * time.Millisecond
	// maxSleep is the maximum time between two checks of the leases.
	maxSleep = 5 * time.Second
	// commitCapacity is the number of transactions that may wait for the keeper. More are
	// refused.
	commitCapacity = 16
	// releaseTimeout is the timeout for writing the rows of released leases.
	releaseTimeout = 500 * time.Millisecond
)

// Options configure a Keeper.
type Options struct {
	Self fleet.Member
	// Gap is the minimum time between requests of two holders of a subject.
	Gap   time.Duration
	Store fleet.Store
	// View returns the members, and Changed receives an element after each change.
	View    func() *fleet.View
	Changed *ring.Ring[struct{}]
	Log     logrus.FieldLogger
	Meter   metric.Meter
}

// Keeper is the duty that holds the leases of subjects.
type Keeper struct {
	opts     Options
	subjects *ring.Ring[[]singleton.Subject]
	commits  *ring.Ring[commitRequest]
	releases *ring.Ring[releaseRequest]
	// held contains the authorities of this process. The map is replaced when it changes.
	held atomic.Pointer[map[singleton.Subject]singleton.Authority]
	// generation is the newest observed generation of the store's content.
	generation  atomic.Pointer[observedGeneration]
	subscribers []*ring.Ring[struct{}]
	metrics     *metrics

	// The duty owns the fields below.
	reader     *Reader
	candidates map[singleton.Subject]*candidate
	released   bool
}

var _ singleton.Leases = (*Keeper)(nil)

// candidate is the state of one subject.
type candidate struct {
	*Contender
	// nextAttempt is the time of clock.SinceBoot of the next attempt.
	nextAttempt time.Duration
	// since is the time at which this process became the holder. It is zero while it is not.
	since time.Duration
}

// observedGeneration is a generation of the store's content, with the time of
// clock.SinceBoot of the first observation.
type observedGeneration struct {
	generation core.Generation
	since      time.Duration
}

// commitRequest asks the keeper to write rows together with the lease of a subject.
type commitRequest struct {
	subject    singleton.Subject
	fence      core.Fence
	generation core.Generation
	tx         fleet.Transaction
	reply      *ring.Ring[error]
}

type releaseRequest struct{ done *ring.Ring[struct{}] }

// New returns a keeper without subjects.
func New(opts Options) (*Keeper, error) {
	k := &Keeper{
		opts: opts, subjects: ring.New[[]singleton.Subject](1), commits: ring.New[commitRequest](commitCapacity),
		releases: ring.New[releaseRequest](1), reader: NewReader(opts.Store, opts.Log), candidates: make(map[singleton.Subject]*candidate),
	}
	k.held.Store(&map[singleton.Subject]singleton.Authority{})
	k.generation.Store(&observedGeneration{since: clock.SinceBoot()})
	var err error
	k.metrics, err = newMetrics(opts.Meter, k)
	return k, err
}

// SetSubjects implements singleton.Leases.
func (k *Keeper) SetSubjects(subjects []singleton.Subject) { k.subjects.Push(subjects) }

// Authority implements singleton.Leases.
func (k *Keeper) Authority(subject singleton.Subject) (singleton.Authority, bool) {
	a, ok := (*k.held.Load())[subject]
	return a, ok && a.Valid(clock.SinceBoot())
}

// Held returns the authorities of this process that are valid now, sorted by subject.
func (k *Keeper) Held() (held []singleton.Authority) {
	now := clock.SinceBoot()
	for _, a := range *k.held.Load() {
		if a.Valid(now) {
			held = append(held, a)
		}
	}
	slices.SortFunc(held, func(a, b singleton.Authority) int { return cmp.Compare(a.Subject, b.Subject) })
	return held
}

// GenerationSince returns the newest generation of the store's content that this process has
// observed, and the time of clock.SinceBoot of the first observation.
func (k *Keeper) GenerationSince() (core.Generation, time.Duration) {
	observed := k.generation.Load()
	return observed.generation, observed.since
}

// observeGeneration records a generation of the store's content for all leases.
func (k *Keeper) observeGeneration(generation core.Generation) {
	if generation > k.generation.Load().generation {
		k.generation.Store(&observedGeneration{generation: generation, since: clock.SinceBoot()})
	}
	for _, c := range k.candidates {
		c.ObserveGeneration(generation)
	}
}

// read reads the table of leases.
func (k *Keeper) read(ctx context.Context) (Snapshot, error) {
	read, err := k.reader.Read(ctx)
	if err == nil {
		k.observeGeneration(read.Generation)
		k.metrics.unsoundRows(k.reader.unsound.take())
	}
	return read, err
}

// Subscribe implements singleton.Leases. It must be called before Run.
func (k *Keeper) Subscribe() *ring.Ring[struct{}] {
	r := ring.New[struct{}](1)
	k.subscribers = append(k.subscribers, r)
	return r
}

// Commit renews the lease of a subject and writes rows in the same transaction. It fails
// with errs.Stale if this process does not hold the lease with the given fence, and with
// errs.Conflict if the store's content is of another generation than the given one. Rows
// that are written in this way only need no conditions of their own: a write that takes
// effect late fails after the next write of the lease, and so does that of another process.
func (k *Keeper) Commit(ctx context.Context, a singleton.Authority, generation core.Generation, tx fleet.Transaction) error {
	result, err := ring.TryRequest(ctx, k.commits, func(reply *ring.Ring[error]) commitRequest {
		return commitRequest{subject: a.Subject, fence: a.Fence, generation: generation, tx: tx, reply: reply}
	})
	if err != nil {
		return errs.Wrap(err, errs.Unknown, "read the rows again", "the keeper of leases did not confirm the transaction")
	}
	return result
}

// Release gives up all leases and contends for none any more. It waits until the rows are
// written or the context has ended.
func (k *Keeper) Release(ctx context.Context) {
	_, err := ring.TryRequest(ctx, k.releases, func(done *ring.Ring[struct{}]) releaseRequest { return releaseRequest{done} })
	if err != nil {
		k.opts.Log.WithField("event", "lease_not_released").WithError(err).Warn("leases were not released; they expire")
	}
}

// Run is the duty's loop.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		k.step(ctx)
		timer := time.NewTimer(k.untilNextAttempt(clock.SinceBoot()))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.opts.Changed.Ready():
			k.opts.Changed.TryReceive()
			k.observeView()
		case <-k.subjects.Ready():
		case <-k.commits.Ready():
		case <-k.releases.Ready():
		}
		timer.Stop()
	}
	k.held.Store(&map[singleton.Subject]singleton.Authority{})
	return nil
}

func (k *Keeper) step(ctx context.Context) {
	k.publish() // a lease may have ended while the process did not run
	if subjects, ok := k.subjects.TryReceive(); ok && !k.released {
		k.setSubjects(subjects)
	}
	if r, ok := k.releases.TryReceive(); ok {
		k.releaseAll(ctx)
		r.done.Push(struct{}{})
	}
	for request, ok := k.commits.TryReceive(); ok; request, ok = k.commits.TryReceive() {
		request.reply.Push(k.commit(ctx, request))
		k.publish()
	}
	k.attemptDue(ctx)
	k.publish()
}

// setSubjects adds candidates for new subjects and drops those of others. A lease that is
// dropped expires.
func (k *Keeper) setSubjects(subjects []singleton.Subject) {
	wanted := make(map[singleton.Subject]bool, len(subjects))
	now := clock.SinceBoot()
	for _, subject := range subjects {
		wanted[subject] = true
		if k.candidates[subject] != nil {
			continue
		}
		l := lease.NewStoreLease(leaseConfig(k.opts.Gap), holderID(k.opts.Self), k.opts.Self.Incarnation)
		k.candidates[subject] = &candidate{
			Contender:   NewContender(string(subject), l, k.opts.Store, k.opts.Log),
			nextAttempt: now + k.firstAttemptDelay(subject),
		}
	}
	for subject := range k.candidates {
		if !wanted[subject] {
			delete(k.candidates, subject)
		}
	}
}

// holderID returns the name of this process in the rows of leases. It contains the address,
// so that a VM that takes over the name of another one waits as any other holder does.
func holderID(self fleet.Member) core.NodeID {
	return self.Node + "@" + core.NodeID(self.Address)
}

// leaseConfig returns the durations of a lease. The holder stops a sixth of the gap before
// its lease expires, and the next holder starts one gap after the expiry. The lease outlasts
// one lost renewal.
func leaseConfig(gap time.Duration) lease.StoreLeaseConfig {
	return lease.StoreLeaseConfig{Duration: gap, Margin: gap / 6, Gap: gap, RenewInterval: gap * 2 / 5}
}

// attemptDue acquires or renews the leases that are due, with one read of the table.
func (k *Keeper) attemptDue(ctx context.Context) {
	now := clock.SinceBoot()
	var due []singleton.Subject
	for subject, c := range k.candidates {
		if now >= c.nextAttempt && !k.released {
			due = append(due, subject)
		}
	}
	if len(due) == 0 {
		return
	}
	read, err := k.read(ctx)
	for _, subject := range due {
		c := k.candidates[subject]
		if err != nil {
			c.nextAttempt = clock.SinceBoot() + k.retryDelay(c)
			continue
		}
		_ = k.attempt(ctx, subject, c, read, fleet.Transaction{}) // logged by the contender, retried
	}
}

// attempt acquires or renews one lease and schedules the next attempt.
func (k *Keeper) attempt(ctx context.Context, subject singleton.Subject, c *candidate, read Snapshot, extra fleet.Transaction) error {
	acquired, err := c.Renew(ctx, read, extra)
	now := clock.SinceBoot()
	switch {
	case err != nil:
		c.nextAttempt = now + k.retryDelay(c)
	case acquired:
		c.nextAttempt = read.RequestedAt + leaseConfig(k.opts.Gap).RenewInterval
	default:
		c.nextAttempt = max(read.RequestedAt+k.takeoverDelay(subject, c.TakeoverDelay()), now+minAttemptInterval)
	}
	return err
}

// retryDelay returns the delay after a failure. A holder retries at once, so that its lease
// does not expire.
func (k *Keeper) retryDelay(c *candidate) time.Duration {
	if c.since != 0 {
		return minAttemptInterval
	}
	return k.opts.Gap / 3
}

// commit renews a lease that is held, with rows of the holder.
func (k *Keeper) commit(ctx context.Context, request commitRequest) error {
	c := k.candidates[request.subject]
	stale := errs.New(errs.Stale, "acquire the lease again", "the lease of %s is not held", request.subject)
	if c == nil || k.released {
		return stale
	}
	read, err := k.read(ctx)
	if err != nil {
		return err
	}
	if read.Generation != request.generation {
		return errs.New(errs.Conflict, "read the rows again", "the metadata store was restored after the rows were read")
	}
	if fence, _, held := c.Held(read.RequestedAt); !held || fence != request.fence || !isOwnRow(read.StoreResponse, string(request.subject), request.fence) {
		return stale
	}
	return k.attempt(ctx, request.subject, c, read, request.tx)
}

// isOwnRow reports whether the row of a lease has a fence. Fences have one holder, so that
// the renewal keeps the fence.
func isOwnRow(page fleet.StoreResponse, name string, fence core.Fence) bool {
	row, version := decodeRow(page, name)
	return version != 0 && row.Fence == fence
}

// releaseAll gives up all leases.
func (k *Keeper) releaseAll(ctx context.Context) {
	k.released = true
	var held []*candidate
	for _, c := range k.candidates {
		if c.since != 0 {
			held = append(held, c)
		}
		c.Release()
	}
	k.publish()
	if len(held) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	read, err := k.reader.Read(ctx)
	for _, c := range held {
		if err == nil {
			err = c.GiveUp(ctx, read)
		}
		c.log.WithField("event", "lease_released").WithError(err).Info("lease given up")
	}
}

// publish updates the authorities of this process and signals changes of holders.
func (k *Keeper) publish() {
	now := clock.SinceBoot()
	held := make(map[singleton.Subject]singleton.Authority)
	changed := false
	old := *k.held.Load()
	for subject, c := range k.candidates {
		fence, stopAt, ok := c.Held(now)
		if !ok {
			if c.since != 0 {
				c.log.WithFields(logrus.Fields{"event": "duty_lost", "held_ms": (now - c.since).Milliseconds()}).Info("this process is no longer the holder")
			}
			c.since = 0
			continue
		}
		if c.since == 0 {
			c.since = now
			c.log.WithFields(logrus.Fields{"event": "duty_taken", "fence": fence}).Info("this process is now the holder")
		}
		held[subject] = singleton.Authority{Subject: subject, Holder: k.opts.Self.Node, Fence: fence, Since: c.since, StopAt: stopAt}
		changed = changed || old[subject].Fence != fence
	}
	k.held.Store(&held)
	if changed || len(held) != len(old) {
		k.metrics.changed()
		for _, r := range k.subscribers {
			r.Push(struct{}{})
		}
	}
}

// untilNextAttempt returns the time until the next attempt or the end of a held lease.
func (k *Keeper) untilNextAttempt(now time.Duration) time.Duration {
	next := now + maxSleep
	for _, c := range k.candidates {
		if !k.released {
			next = min(next, c.nextAttempt)
		}
		if _, stopAt, held := c.Held(now); held {
			next = min(next, stopAt)
		}
	}
	return max(next-now, time.Millisecond)
}
