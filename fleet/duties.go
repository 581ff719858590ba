package fleet

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
)

const (
	// maxChangesWait is the maximum time that a call of Changes waits for changes.
	// Changes returns an error if the store has not responded soon after that time.
	maxChangesWait = 2 * time.Second
	// feedPollInterval is the interval between two calls for one table. It limits
	// the call rate when rows change often.
	feedPollInterval = 100 * time.Millisecond
	// maxMemberChangesWait and memberPollInterval apply to the members table. They are
	// longer, since members only determine the shares of limits and the peers to query.
	// quota.ArrivalDelay is longer than the time until all processes know a new member.
	maxMemberChangesWait = 8 * time.Second
	memberPollInterval   = 500 * time.Millisecond
	// retryInterval is the interval between two calls while the store fails.
	retryInterval = 200 * time.Millisecond
	// updateRingSize is the capacity for updates queued for the state duty. Senders
	// block when the ring is full.
	updateRingSize = 64
)

// Options configure a Fleet.
type Options struct {
	Self    Member
	Store   Store
	Tables  Tables
	Decoder Decoder
	// Seeds are addresses of peers that are queried in addition to the listed members.
	Seeds      []string
	Dial       func(ctx context.Context, address string) drpc.Conn
	Log        logrus.FieldLogger
	RandomSeed uint64
}

// Fleet runs the duties that maintain the view. View is empty until the first
// rows are received.
type Fleet struct {
	opts       Options
	view       atomic.Pointer[View]
	updates    *ring.Ring[update]
	rowQueries *ring.Ring[rowQuery]
	// subscribers are notified of each change of the view.
	subscribers []*ring.Ring[struct{}]
	// tablesUnavailable receives true when the operator or the upstreams table cannot
	// be read from the store, and false when both can be read again.
	tablesUnavailable *ring.Ring[bool]
	observedEpochs    *ring.Ring[observedEpoch]
	// readsStore is set while the feeds read the store directly. feedWakeups notify
	// the feeds of changes of readsStore or of the view.
	readsStore  atomic.Bool
	feedWakeups map[Table]*ring.Ring[struct{}]
	viewChanged *ring.Ring[struct{}]
	// renewedAt is the time of the last renewal of the local row, in nanoseconds of
	// the clock that includes the time in which the VM is suspended.
	renewedAt atomic.Int64
	// registeredIn is the generation of the store's content in which the local row was
	// last written.
	registeredIn atomic.Uint64
	// listedBefore is set if the store listed an earlier process of this node when this one
	// registered.
	listedBefore atomic.Bool
	// previousRowRead is used by the registration duty only.
	previousRowRead bool
	// deregistrations holds the request to deregister; its element is the ring that
	// is notified when the request has been processed.
	deregistrations *ring.Ring[*ring.Ring[struct{}]]
	// reregistrations receives an element when the local row may have been lost, because
	// the store's content was restored.
	reregistrations *ring.Ring[struct{}]
	random          *rand.Rand
	seeds           atomic.Pointer[[]string]
}

// update reports rows of a table to the state duty, or that they could not be
// read from the store.
type update struct {
	source string
	table  Table
	rows   []Row
	// position is that of the table with these rows.
	position Position
	// complete is set when rows is the full table, not only its changes.
	complete bool
	err      error
	// stopped is set when the store is no longer read for this table, because a peer
	// provides its rows or they are not needed. Earlier failures no longer apply.
	stopped bool
	// served is set when the rows come from a peer that reads the store without failures.
	served bool
}

// rowQuery requests rows from the state duty: those that are newer than the positions
// that a peer has seen. Without positions it serves to obtain the positions that this
// process has seen.
type rowQuery struct {
	seen  map[Table]Position
	reply *ring.Ring[rowResult]
}

type rowResult struct {
	rows []Row
	seen map[Table]Position
	// complete contains the tables of which all rows are in rows.
	complete map[Table]bool
	// readsStore is set when this process reads the store directly, has read the
	// operator and upstreams tables, and no read fails.
	readsStore bool
}

// New returns a Fleet that has not started.
func New(opts Options) *Fleet {
	f := &Fleet{
		opts: opts, updates: ring.New[update](updateRingSize), rowQueries: ring.New[rowQuery](updateRingSize),
		tablesUnavailable: ring.New[bool](1), observedEpochs: ring.New[observedEpoch](observedEpochRingSize), deregistrations: ring.New[*ring.Ring[struct{}]](1),
		reregistrations: ring.New[struct{}](1),
		random:          rand.New(rand.NewPCG(opts.RandomSeed, 1)),
	}
	f.readsStore.Store(true)
	f.viewChanged = f.Subscribe()
	f.feedWakeups = make(map[Table]*ring.Ring[struct{}])
	for _, table := range []Table{opts.Tables.Operator, opts.Tables.Upstreams, opts.Tables.Status, MembersTable} {
		f.feedWakeups[table] = f.Subscribe()
	}
	f.SetSeeds(opts.Seeds)
	return f
}

// SetSeeds replaces the addresses of peers that are queried in addition to the listed
// members.
func (f *Fleet) SetSeeds(seeds []string) { f.seeds.Store(&seeds) }

// View returns the newest snapshot. It never returns nil.
func (f *Fleet) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Subscribe returns a ring that receives an element after each change of the
// view. It must be called before Start.
func (f *Fleet) Subscribe() *ring.Ring[struct{}] {
	r := ring.New[struct{}](1)
	f.subscribers = append(f.subscribers, r)
	return r
}

// Start starts the duties in a group.
func (f *Fleet) Start(g *duty.Group) {
	g.Go("fleet state", f.runState)
	for table, wake := range f.feedWakeups {
		g.Go("feed "+string(table), func(ctx context.Context) error { return f.runFeed(ctx, table, wake) })
	}
	g.Go("readers", f.runReaders)
	g.Go("peers", f.runPeers)
	g.Go("epochs", f.runEpochs)
	g.Go("registration", f.runRegistration)
}

// runFeed is the feed of a table: the duty that polls the table while this process
// reads the store directly. The status table is polled only while a rollout is
// requested.
func (f *Fleet) runFeed(ctx context.Context, table Table, wake *ring.Ring[struct{}]) error {
	needed := func() bool {
		return f.readsStore.Load() && (table != f.opts.Tables.Status || len(f.View().Rollouts) > 0)
	}
	for {
		for !needed() {
			if _, err := wake.Receive(ctx); err != nil {
				return nil
			}
		}
		if err := f.pollTable(ctx, table, needed); err != nil || ctx.Err() != nil {
			return err
		}
	}
}

// pollTable reads the complete table and then polls for its changes, until needed
// returns false. It reads the complete table again if the store has dropped the changes
// or if its content was restored from a copy: the version that was read then belongs to
// the lost content, and changes after it may lack some.
func (f *Fleet) pollTable(ctx context.Context, table Table, needed func() bool) error {
	var read Position
	readAll, failing := true, false
	maxWait, interval := maxChangesWait, feedPollInterval
	if table == MembersTable {
		maxWait, interval = maxMemberChangesWait, memberPollInterval
	}
	for ctx.Err() == nil && needed() {
		response, err := f.readTable(ctx, table, readAll, read.Version, maxWait)
		restored := err == nil && !readAll && response.Generation != read.Generation
		if restored || !readAll && errs.Is(err, errs.Stale) {
			readAll = true
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil || failing || readAll || len(response.Rows) > 0 {
			u := update{source: "store", table: table, rows: response.Rows, position: Position{response.Generation, response.Version}, complete: readAll, err: err}
			if err := f.updates.Send(ctx, u); err != nil {
				return nil
			}
		}
		failing = err != nil
		pause := interval
		if failing {
			// While calls fail, rows may expire and the store may discard changes after
			// our version. Changes then returns errs.Stale, and the complete table is read.
			pause = retryInterval
		} else {
			read, readAll = Position{response.Generation, response.Version}, false
		}
		duty.Pause(ctx, pause)
	}
	if failing {
		_ = f.updates.Send(ctx, update{source: "store", table: table, stopped: true}) // fails only if the process is stopping
	}
	return nil
}

// readTable reads a complete table, or waits for its changes after a version.
func (f *Fleet) readTable(ctx context.Context, table Table, complete bool, after uint64, maxWait time.Duration) (StoreResponse, error) {
	if complete {
		return f.opts.Store.Rows(ctx, table)
	}
	return f.opts.Store.Changes(ctx, table, after, maxWait)
}

// runState is the duty that owns the rows.
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
		for query, ok := f.rowQueries.TryReceive(); ok; query, ok = f.rowQueries.TryReceive() {
			query.reply.Push(f.answer(s, failing, query))
		}
	}
}

// answer returns the rows that a peer requests.
func (f *Fleet) answer(s *state, failing map[Table]bool, query rowQuery) rowResult {
	rows, complete := s.rowsAfter(query.seen)
	hasRead := s.seen[f.opts.Tables.Operator].Version > 0 && s.seen[f.opts.Tables.Upstreams].Version > 0
	return rowResult{rows: rows, complete: complete, seen: maps.Clone(s.seen), readsStore: f.readsStore.Load() && len(failing) == 0 && hasRead}
}

// awaitWork blocks until a ring has an element or the time next is reached. It
// reports whether the duty continues.
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
	case <-f.rowQueries.Ready():
	}
	return true
}

func (f *Fleet) apply(s *state, failing map[Table]bool, u update) {
	now := time.Now()
	log := f.opts.Log.WithFields(logrus.Fields{"table": u.table, "source": u.source})
	if u.err != nil {
		if !failing[u.table] {
			log.WithField("event", "store_lost").WithError(u.err).Warn("table cannot be read from the platform store")
		}
		f.recordFailure(now, s, failing, u.table)
		return
	}
	if u.stopped {
		log.WithField("event", "store_reading_stopped").Info("table is no longer read from the store; earlier failures do not count as an outage")
		f.recordRecovery(now, s, failing, u.table)
		return
	}
	if u.source == "store" && failing[u.table] {
		log.WithFields(logrus.Fields{"event": "store_regained", "version": u.position.Version, "generation": u.position.Generation}).Info("table can be read from the platform store again")
		f.recordRecovery(now, s, failing, u.table)
	}
	if u.served {
		s.recordServed(now)
	}
	before, newest := s.seen[u.table], s.newestGeneration()
	changed, restored := s.apply(now, u)
	mayLackLocalRow := s.newestGeneration() > max(newest, core.Generation(f.registeredIn.Load()))
	// The members table may be read later than others, and then shows expired rows.
	if mayLackLocalRow || restored && u.table == MembersTable {
		f.reregistrations.Push(struct{}{})
	}
	if changed && f.removesLocalRow(u) {
		log.WithFields(logrus.Fields{"event": "local_row_removed", "version": u.position.Version}).Warn("registration of this process was removed, probably by a late write of a previous process; it is written again")
		f.reregistrations.Push(struct{}{})
	}
	if restored {
		log.WithFields(logrus.Fields{
			"event": "store_restored", "old_generation": before.Generation, "old_version": before.Version,
			"generation": u.position.Generation, "version": u.position.Version,
		}).Warn("content of the platform store was restored from a copy; newer knowledge is retained for a limited time")
	}
	if changed {
		log.WithFields(logrus.Fields{"event": "rows_changed", "version": u.position.Version, "generation": u.position.Generation, "rows": len(u.rows)}).Info("rows changed")
		f.publish(s)
	}
}

// removesLocalRow reports whether an update contains the removal of the local row.
func (f *Fleet) removesLocalRow(u update) bool {
	if u.table != MembersTable {
		return false
	}
	return slices.ContainsFunc(u.rows, func(row Row) bool { return row.Removed && row.Key == string(f.opts.Self.Node) })
}

// recordFailure records that a table cannot be read from the store.
func (f *Fleet) recordFailure(now time.Time, s *state, failing map[Table]bool, table Table) {
	failing[table] = true
	if table == f.opts.Tables.Upstreams {
		s.setUpstreamsUnavailable(now)
	}
	if table == f.opts.Tables.Operator || table == f.opts.Tables.Upstreams {
		f.tablesUnavailable.Push(true)
	}
}

// recordRecovery records that a table can be read from the store again.
func (f *Fleet) recordRecovery(now time.Time, s *state, failing map[Table]bool, table Table) {
	delete(failing, table)
	if table == f.opts.Tables.Upstreams {
		s.setUpstreamsRecovered(now)
	}
	if !failing[f.opts.Tables.Operator] && !failing[f.opts.Tables.Upstreams] {
		f.tablesUnavailable.Push(false)
	}
}

func (f *Fleet) publish(s *state) {
	old, v := f.View(), s.view()
	for _, err := range s.decodeErrors {
		f.opts.Log.WithField("event", "row_ignored").WithError(err).Warn("row cannot be decoded; its previous value is dropped unless it is a configuration")
	}
	s.decodeErrors = nil
	if v.Config != nil && (old.Config == nil || old.Config.Epoch != v.Config.Epoch) {
		f.opts.Log.WithFields(logrus.Fields{
			"event": "config_in_force", "version": v.Config.Epoch, "routes": len(v.Config.Routes),
		}).Info("configuration applied")
	}
	f.logUpstreams(old, v)
	f.view.Store(v)
	for _, r := range f.subscribers {
		r.Push(struct{}{})
	}
}

// logUpstreams logs each upstream that was added, removed or changed.
func (f *Fleet) logUpstreams(old, v *View) {
	unmatched := make(map[string]catalog.UpstreamRow, len(old.Upstreams))
	for _, u := range old.Upstreams {
		unmatched[string(u.ID)] = u
	}
	for _, u := range v.Upstreams {
		previous, existed := unmatched[string(u.ID)]
		delete(unmatched, string(u.ID))
		if !existed || previous.Draining != u.Draining || previous.StartedAtMs != u.StartedAtMs || previous.Address != u.Address {
			f.opts.Log.WithFields(logrus.Fields{
				"event": "upstream_listed", "upstream": u.ID, "service": u.Service, "address": u.Address,
				"draining": u.Draining, "cold_ms": u.ColdRemaining.Milliseconds(), "born": u.StartedAtMs, "revision": u.RowVersion,
			}).Info("upstream is listed")
		}
	}
	for id := range unmatched {
		f.opts.Log.WithFields(logrus.Fields{"event": "upstream_gone", "upstream": id}).Info("upstream is no longer listed")
	}
}
