package entry

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/dispatch"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/retry"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/route"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/stream"
	"waxwingtide.example/waxwingtide/wire"
)

// Capacities of the dispatch duty's rings, in elements.
const (
	placementRing = 2048
	stateRing     = 4096
	reportRing    = 2048
)

// retryDelay is the mean delay before a call's second attempt; it doubles for
// each further one up to maxRetryDelay.
const (
	retryDelay    = 10 * time.Millisecond
	maxRetryDelay = time.Second
)

// blockTransferBytes is the size of one block's kept cache that the cost model
// assumes until engines report theirs.
const blockTransferBytes = 16 << 10

// placement asks for an upstream for the next attempt of a call.
type placement struct {
	call  dispatch.Call[*placement]
	route route.Request
	// canary is set for a call of the canary share. It does not wait for a
	// credit: the stable version serves it instead.
	canary bool
	// reply receives exactly one assignment.
	reply *ring.Ring[assignment]
}

// assignment is the answer to a placement.
type assignment struct {
	// refused is ReasonNone when an upstream was chosen.
	refused dispatch.Reason
	// unserved is set when no upstream serves the version.
	unserved bool
	attempt  core.AttemptID
	choice   route.Choice
	address  string
	epoch    core.Epoch
}

// report is anything else that the dispatch duty reacts to.
type report interface{ apply(*dispatcher, time.Time) }

// identify asks for the id of a new call and adds its share to the retry
// budget.
type identify struct{ reply *ring.Ring[core.AttemptID] }

// again asks whether a call may be sent again after a number of attempts.
type again struct {
	before   int
	deadline time.Time
	reply    *ring.Ring[permission]
}

// permission is the answer to again. A call that is not denied waits for the
// delay first.
type permission struct {
	delay  time.Duration
	denied error
}

// learned reports the end of an attempt.
type learned struct {
	run route.RunResult
	// kept is the number of blocks that were imported from the kept cache.
	kept int
	// unsent is set when the credit of the choice was not used.
	unsent bool
	choice route.Choice
}

// ended reports that a call is over.
type ended struct{ id core.AttemptID }

// stateUpdate is the state of an upstream, from its watch or with an answer.
type stateUpdate struct {
	id    core.UpstreamID
	state *wire.UpstreamState
	// lost is set when the upstream's agent does not answer.
	lost bool
}

// dispatcher is the duty that owns what the entry knows of the upstreams, the
// waiting calls and the retry budget.
type dispatcher struct {
	opts       Options
	placements *ring.Ring[*placement]
	states     *ring.Ring[stateUpdate]
	reports    *ring.Ring[report]
	changes    *ring.Ring[*facts.View]
	table      *route.Table
	queue      *dispatch.Queue[*placement]
	budget     *retry.Budget
	backoff    retry.Backoff
	random     *rand.Rand
	ids        *stream.AttemptIDs
	view       *facts.View
	members    map[core.UpstreamID]member
	published  map[core.UpstreamID]admin.UpstreamLoad
	loads      atomic.Pointer[[]admin.UpstreamLoad]
	nextLoads  time.Time
}

// member is what dispatch needs to know of an engine of the bundle in force.
type member struct {
	address string
	pool    dispatch.Pool
}

func newDispatcher(o Options) *dispatcher {
	options := route.DefaultOptions(blockTransferBytes)
	if o.Routing.Policy == settings.PolicyLeastLoaded {
		options.Policy = route.LeastLoaded
	}
	random := rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation)))
	d := &dispatcher{
		opts:       o,
		placements: ring.New[*placement](placementRing),
		states:     ring.New[stateUpdate](stateRing),
		reports:    ring.New[report](reportRing),
		changes:    o.Control.Subscribe(),
		table:      route.New(options, random),
		budget:     retry.NewBudget(retry.DefaultBudgetOptions()),
		backoff:    retry.Backoff{Initial: retryDelay, Max: maxRetryDelay},
		random:     random,
		ids:        stream.NewAttemptIDs(o.Node, o.Incarnation),
		published:  make(map[core.UpstreamID]admin.UpstreamLoad),
	}
	d.loads.Store(&[]admin.UpstreamLoad{})
	d.queue = dispatch.New(o.Limits.Waiting, d.place)
	return d
}

// run is the loop of the duty. Its end closes the rings, so that no handler
// waits for a duty that has gone.
func (d *dispatcher) run(ctx context.Context) error {
	defer d.placements.Close()
	defer d.reports.Close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	d.follow(d.opts.Control.View())
	for {
		d.armTimer(timer)
		select {
		case <-ctx.Done():
			return nil
		case <-d.changes.Ready():
			if view, ok := d.changes.TryReceive(); ok {
				d.follow(view)
			}
		case <-d.placements.Ready():
			for p, ok := d.placements.TryReceive(); ok; p, ok = d.placements.TryReceive() {
				d.offer(d.opts.Now(), p)
			}
		case <-d.states.Ready():
			for u, ok := d.states.TryReceive(); ok; u, ok = d.states.TryReceive() {
				d.update(d.opts.Now(), u)
			}
		case <-d.reports.Ready():
			for r, ok := d.reports.TryReceive(); ok; r, ok = d.reports.TryReceive() {
				r.apply(d, d.opts.Now())
			}
		case <-timer.C:
			for _, r := range d.queue.Expire(d.opts.Now()) {
				d.refuse(&r)
			}
		}
	}
}

// armTimer sets the timer to the earliest deadline of a waiting call.
func (d *dispatcher) armTimer(timer *time.Timer) {
	next := d.queue.NextDeadline()
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(0, next.Sub(d.opts.Now())))
}

// follow applies a new view: which engines there are, which version each
// serves and which take no new work.
func (d *dispatcher) follow(view *facts.View) {
	if !view.HasBundle() {
		return
	}
	d.view = view
	d.members = make(map[core.UpstreamID]member)
	pools := make(map[dispatch.Pool]bool)
	var members []route.UpstreamConfig
	for model, engines := range view.Index.Engines {
		for _, u := range engines {
			version := view.ServedVersion(u)
			pool := dispatch.Pool{Model: model, Version: version}
			pools[pool] = true
			d.members[u.ID] = member{u.Agent, pool}
			closed := !view.UpstreamAllowed(u) || !view.VersionAllowed(model, version)
			members = append(members, route.UpstreamConfig{ID: u.ID, Model: model, Version: version, Closed: closed})
		}
	}
	d.table.SetUpstreams(members)
	d.queue.RetainPools(pools)
}

func (d *dispatcher) offer(now time.Time, p *placement) {
	decision := d.queue.Offer(now, p.call)
	if decision.Evicted != nil {
		d.refuse(decision.Evicted)
	}
	if decision.Verdict == dispatch.VerdictRefused || decision.Verdict == dispatch.VerdictDuplicate {
		p.reply.Offer(assignment{refused: max(decision.Reason, dispatch.ReasonQueueFull)})
	}
}

func (d *dispatcher) refuse(r *dispatch.Refusal[*placement]) {
	r.Call.Value.reply.Offer(assignment{refused: r.Reason})
}

// place chooses an upstream for a call that is due and answers its caller.
func (d *dispatcher) place(now time.Time, call *dispatch.Call[*placement]) bool {
	p := call.Value
	choice, refusal := d.table.Choose(now, &p.route)
	switch {
	case refusal == route.RefusalNone:
		taken := p.reply.Offer(assignment{
			attempt: d.ids.Next(),
			choice:  choice,
			address: d.members[choice.Upstream].address,
			epoch:   d.view.Head.Epoch,
		})
		if !taken {
			d.table.ReturnCredit(choice) // the call has ended
		}
		return true
	case refusal == route.RefusalNoUpstream || p.canary:
		p.reply.Offer(assignment{unserved: true})
		return true
	default:
		return false
	}
}

// update records a published state and gives its credits to waiting calls.
func (d *dispatcher) update(now time.Time, u stateUpdate) {
	m, ok := d.members[u.id]
	if !ok {
		return
	}
	if u.lost {
		d.table.MarkUnavailable(u.id)
		delete(d.published, u.id)
		return
	}
	if u.state == nil {
		return
	}
	d.table.RecordState(now, stateOf(now, u.state))
	d.publishLoad(now, u.state)
	d.serveWaiting(now, m.pool, int(u.state.GetCredits()))
}

// loadsInterval is how often the loads are published to operators.
const loadsInterval = time.Second

// publishLoad keeps the loads that operators see, and the number of entries
// that share the upstreams.
func (d *dispatcher) publishLoad(now time.Time, s *wire.UpstreamState) {
	id := core.UpstreamID(s.GetUpstream())
	d.published[id] = admin.UpstreamLoad{
		Upstream: id, Running: int(s.GetRunning()), Queued: int(s.GetQueued()), Window: int(s.GetWindow()), Cold: s.GetCold(),
	}
	if now.Before(d.nextLoads) {
		return
	}
	d.nextLoads = now.Add(loadsInterval)
	loads := slices.SortedFunc(maps.Values(d.published), func(a, b admin.UpstreamLoad) int {
		return cmp.Compare(a.Upstream, b.Upstream)
	})
	d.loads.Store(&loads)
	d.table.SetEntryCount(d.opts.EntryCount())
}

func (d *dispatcher) serveWaiting(now time.Time, pool dispatch.Pool, credits int) {
	if credits > 0 {
		d.queue.PlaceWaiting(now, pool, credits)
	}
}

// stateOf converts a published state.
func stateOf(now time.Time, s *wire.UpstreamState) route.State {
	loaded := make([]core.WeightVersion, 0, len(s.GetLoaded()))
	for _, v := range s.GetLoaded() {
		loaded = append(loaded, core.WeightVersion(v))
	}
	return route.State{
		Upstream:      core.UpstreamID(s.GetUpstream()),
		Incarnation:   core.Incarnation(s.GetSender().GetIncarnation()),
		CacheEpoch:    s.GetCacheEpoch(),
		Credits:       int(s.GetCredits()),
		UrgentCredits: int(s.GetUrgentCredits()),
		CreditExpiry:  now.Add(time.Duration(s.GetCreditMs()) * time.Millisecond),
		Window:        int(s.GetWindow()),
		Running:       int(s.GetRunning()),
		Queued:        int(s.GetQueued()),
		QueueDelay:    time.Duration(s.GetQueueDelayMs()) * time.Millisecond,
		Cold:          s.GetCold(),
		Draining:      s.GetDraining(),
		PrefillRate:   float64(s.GetPrefillBytesPerS()),
		LinkRate:      float64(s.GetLinkBytesPerS()),
		Version:       core.WeightVersion(s.GetVersion()),
		Loaded:        loaded,
		StoredKeys:    s.GetCached(),
	}
}

func (r identify) apply(d *dispatcher, now time.Time) {
	d.budget.RecordCall(now)
	r.reply.Offer(d.ids.Next())
}

func (r again) apply(d *dispatcher, now time.Time) {
	delay := d.backoff.Delay(r.before, d.random)
	switch {
	case !now.Add(delay).Before(r.deadline):
		r.reply.Offer(permission{denied: errs.New(errs.Unavailable, "allow more time", "no time is left for a further one")})
	case !d.budget.Take(now):
		r.reply.Offer(permission{denied: errs.New(errs.Exhausted, "retry later", "the entry's retry budget is empty")})
	default:
		r.reply.Offer(permission{delay: delay})
	}
}

func (r learned) apply(d *dispatcher, now time.Time) {
	if r.unsent {
		d.table.ReturnCredit(r.choice)
		return
	}
	d.table.FinishCall(r.choice)
	d.table.RecordRun(now, r.run)
	if r.kept > 0 {
		d.table.RecordKeptBlocks(now, r.run.Blocks, r.kept)
	}
}

func (r ended) apply(d *dispatcher, _ time.Time) { d.queue.Remove(r.id) }
