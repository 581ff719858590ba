package fleet

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// feedWait is how long one call waits for changes. A store that has gone
	// silent is noticed after it.
	feedWait = 2 * time.Second
	// readInterval is the time between two calls for one table. It bounds the
	// number of calls when rows change often.
	readInterval = 100 * time.Millisecond
	// memberWait and memberInterval hold for the table of members, which only
	// decides shares of limits and whom to ask.
	memberWait     = 8 * time.Second
	memberInterval = 1500 * time.Millisecond
	// retryInterval is the time between two calls while the store fails.
	retryInterval = 200 * time.Millisecond
	// updates waiting for the state duty; senders wait when it is full.
	updateRing = 64
)

// Options are what a Fleet needs.
type Options struct {
	Self    Member
	Store   Store
	Tables  Tables
	Decoder Decoder
	// Seeds are addresses of peers to ask before any member is known.
	Seeds      []string
	Dial       func(ctx context.Context, address string) drpc.Conn
	Log        logrus.FieldLogger
	RandomSeed uint64
}

// Fleet runs the duties. Its view is nil until the first rows are known.
type Fleet struct {
	opts    Options
	view    atomic.Pointer[View]
	updates *ring.Ring[update]
	pulls   *ring.Ring[pull]
	// subscribers are told of each change of the view.
	subscribers []*ring.Ring[struct{}]
	away        *ring.Ring[bool]
	heard       *ring.Ring[heard]
	// direct is set while the feeds follow the store; feeds are the rings that wake
	// them.
	direct         atomic.Bool
	feeds          map[Table]*ring.Ring[struct{}]
	membersChanged *ring.Ring[struct{}]
	// renewedAt is when the own row was renewed last, in nanoseconds of the clock
	// that counts while the VM is suspended; leaves holds the wish to leave.
	renewedAt atomic.Int64
	leaves    *ring.Ring[*ring.Ring[struct{}]]
	random    *rand.Rand
	seeds     atomic.Pointer[[]string]
}

// update tells the state duty of rows, or of the store's absence.
type update struct {
	source  string
	table   Table
	rows    []Row
	version uint64
	whole   bool
	failed  error
}

// pull asks the state duty for rows on behalf of a peer.
type pull struct {
	known map[Table]uint64
	reply *ring.Ring[pullResult]
}

type pullResult struct {
	rows  []Row
	known map[Table]uint64
	// served is set when the store serves this process.
	served bool
}

// New returns a Fleet that has not started.
func New(opts Options) *Fleet {
	f := &Fleet{
		opts: opts, updates: ring.New[update](updateRing), pulls: ring.New[pull](updateRing),
		away: ring.New[bool](1), heard: ring.New[heard](heardRing), leaves: ring.New[*ring.Ring[struct{}]](1),
		random: rand.New(rand.NewPCG(opts.RandomSeed, 1)),
	}
	f.direct.Store(true)
	f.membersChanged = f.Subscribe()
	f.feeds = make(map[Table]*ring.Ring[struct{}])
	for _, table := range []Table{opts.Tables.Operator, opts.Tables.Upstreams, opts.Tables.Status, MembersTable} {
		f.feeds[table] = f.Subscribe()
	}
	f.SetSeeds(opts.Seeds)
	return f
}

// SetSeeds replaces the addresses of peers to ask before any member is known.
func (f *Fleet) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// View returns the newest snapshot; it is never nil.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Subscribe returns a ring that holds an element after the view has changed. It
// is called before Start.
func (f *Fleet) Subscribe() *ring.Ring[struct{}] {
	r := ring.New[struct{}](1)
	f.subscribers = append(f.subscribers, r)
	return r
}

// Start runs the duties in a group.
func (f *Fleet) Start(g *duty.Group) {
	g.Go("fleet state", f.runState)
	for table, wake := range f.feeds {
		g.Go("feed "+string(table), func(ctx context.Context) error { return f.runFeed(ctx, table, wake) })
	}
	g.Go("readers", f.followReaders)
	g.Go("peers", f.runPeers)
	g.Go("epochs", f.followEpochs)
	g.Go("registration", f.register)
}

// runFeed follows a table while this process reads the store itself. The table
// of statuses is followed only while a rollout is ordered.
func (f *Fleet) runFeed(ctx context.Context, table Table, wake *ring.Ring[struct{}]) error {
	needed := func() bool {
		return f.direct.Load() && (table != f.opts.Tables.Status || len(f.View().Rollouts) > 0)
	}
	for {
		for !needed() {
			if _, err := wake.Receive(ctx); err != nil {
				return nil
			}
		}
		if err := f.follow(ctx, table, needed); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// follow reads a table and then waits for its changes, as long as it is needed.
func (f *Fleet) follow(ctx context.Context, table Table, needed func() bool) error {
	var version uint64
	whole, failing := true, false
	wait, interval := feedWait, readInterval
	if table == MembersTable {
		wait, interval = memberWait, memberInterval
	}
	for ctx.Err() == nil && needed() {
		var page StoreResponse
		var err error
		if whole {
			page, err = f.opts.Store.Rows(ctx, table)
		} else {
			page, err = f.opts.Store.Changes(ctx, table, version, wait)
		}
		if errs.Is(err, errs.Stale) {
			whole = true
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil || failing || whole || len(page.Rows) > 0 {
			u := update{source: "store", table: table, rows: page.Rows, version: page.Version, whole: whole, failed: err}
			if err := f.updates.Send(ctx, u); err != nil {
				return nil
			}
		}
		failing = err != nil
		pause := interval
		if failing {
			// Rows may lapse and versions be dropped meanwhile: read all again.
			pause = retryInterval
		} else {
			version, whole = page.Version, false
		}
		duty.Pause(ctx, pause)
	}
	return nil
}

// runState owns the rows.
func (f *Fleet) runState(ctx context.Context) error {
	s := newState(f.opts.Tables, f.opts.Decoder)
	failing := make(map[Table]bool)
	for {
		changed, next := s.expire(time.Now())
		if changed {
			f.publish(s)
		}
		if !f.awaitWork(ctx, next) {
			return nil
		}
		for u, ok := f.updates.TryReceive(); ok; u, ok = f.updates.TryReceive() {
			f.apply(s, failing, u)
		}
		for p, ok := f.pulls.TryReceive(); ok; p, ok = f.pulls.TryReceive() {
			served := f.direct.Load() && len(failing) == 0 && s.known[f.opts.Tables.Operator] > 0 && s.known[f.opts.Tables.Upstreams] > 0
			p.reply.Push(pullResult{rows: s.since(p.known), known: copyKnown(s.known), served: served})
		}
	}
}

func copyKnown(known map[Table]uint64) map[Table]uint64 {
	out := make(map[Table]uint64, len(known))
	for table, version := range known {
		out[table] = version
	}
	return out
}

// awaitWork blocks until a ring has an element or the time has come. It
// reports whether the duty goes on.
func (f *Fleet) awaitWork(ctx context.Context, next time.Time) bool {
	var due <-chan time.Time
	if !next.IsZero() {
		timer := time.NewTimer(time.Until(next))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-due:
	case <-f.updates.Ready():
	case <-f.pulls.Ready():
	}
	return true
}

func (f *Fleet) apply(s *state, failing map[Table]bool, u update) {
	now := time.Now()
	log := f.opts.Log.WithFields(logrus.Fields{"table": u.table, "source": u.source})
	if u.failed != nil {
		if !failing[u.table] {
			log.WithField("event", "store_lost").WithError(u.failed).Warn("the store does not serve this process")
		}
		failing[u.table] = true
		if u.table == f.opts.Tables.Upstreams {
			s.storeAway(now)
		}
		if u.table == f.opts.Tables.Operator || u.table == f.opts.Tables.Upstreams {
			f.away.Push(true)
		}
		return
	}
	if u.source == "store" && failing[u.table] {
		delete(failing, u.table)
		log.WithFields(logrus.Fields{"event": "store_regained", "version": u.version}).Info("the store serves this process again")
		if u.table == f.opts.Tables.Upstreams {
			s.storeBack(now)
		}
		if !failing[f.opts.Tables.Operator] && !failing[f.opts.Tables.Upstreams] {
			f.away.Push(false)
		}
	}
	var changed bool
	if u.whole {
		changed = s.replace(now, u.table, u.rows, u.version)
	} else {
		changed = s.merge(now, u.table, u.rows, u.version)
	}
	if changed {
		log.WithFields(logrus.Fields{"event": "rows_changed", "version": u.version, "rows": len(u.rows)}).Info("rows changed")
		f.publish(s)
	}
}

func (f *Fleet) publish(s *state) {
	old, v := f.View(), s.view()
	for _, err := range s.invalid {
		f.opts.Log.WithField("event", "row_ignored").WithError(err).Warn("a row was ignored")
	}
	s.invalid = nil
	if v.Config != nil && (old.Config == nil || old.Config.Epoch != v.Config.Epoch) {
		f.opts.Log.WithFields(logrus.Fields{
			"event": "config_in_force", "version": v.Config.Epoch, "routes": len(v.Config.Routes),
		}).Info("configuration is in force")
	}
	f.logUpstreams(old, v)
	f.view.Store(v)
	for _, r := range f.subscribers {
		r.Push(struct{}{})
	}
}

// logUpstreams writes a line for each upstream that came, left or changed its
// state.
func (f *Fleet) logUpstreams(old, v *View) {
	before := make(map[string]catalog.ListedUpstream, len(old.Upstreams))
	for _, u := range old.Upstreams {
		before[string(u.ID)] = u
	}
	for _, u := range v.Upstreams {
		b, known := before[string(u.ID)]
		delete(before, string(u.ID))
		if !known || b.Draining != u.Draining || b.StartedAtMs != u.StartedAtMs || b.Address != u.Address {
			f.opts.Log.WithFields(logrus.Fields{
				"event": "upstream_listed", "upstream": u.ID, "service": u.Service, "address": u.Address,
				"draining": u.Draining, "cold_ms": u.ColdRemaining.Milliseconds(), "born": u.StartedAtMs, "revision": u.Revision,
			}).Info("upstream is listed")
		}
	}
	for id := range before {
		f.opts.Log.WithFields(logrus.Fields{"event": "upstream_gone", "upstream": id}).Info("upstream is no longer listed")
	}
}
