// Package control holds the duties that every process runs to know what is in
// force, who is alive and who carries out operators' duties: facts, gossip,
// membership, table, reader, audit and lease. The decisions are in the pure
// packages facts, gossip, membership and lease; this package joins them by
// rings, talks to the platform and to peers, and encodes rows and messages.
package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
	"storj.io/drpc"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/gossip"
	"waxwingtide.example/waxwingtide/lease"
	"waxwingtide.example/waxwingtide/membership"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/telemetry"
)

// Ring capacities in elements.
const (
	updatesCapacity  = 64
	evidenceCapacity = 1024
	heardCapacity    = 256
	tableCapacity    = 256
)

// Options are the settings and connections of one process.
type Options struct {
	Node          core.NodeID
	Role          string
	FailureDomain core.FailureDomain
	// FailureDomains are all failure domains of the settings. While the table
	// is unavailable, a process is ready only after hearing from each.
	FailureDomains []core.FailureDomain
	Incarnation    core.Incarnation
	// Address is where peers reach this process, as IP:port.
	Address string

	Table   stores.Table
	Objects stores.Objects
	Lister  stores.Lister
	// Dial opens a connection of the inner protocol. Control closes it.
	Dial func(ctx context.Context, address string) (drpc.Conn, error)
	// ParseBundle validates and indexes a bundle body.
	ParseBundle func(body []byte) (*bundle.Index, error)

	// OnLease runs operators' duties while this process holds their lease. It
	// has to return soon after its context ends, and has to check Lease before
	// each order. An error ends the process. It is nil in processes that never
	// take the lease.
	OnLease func(ctx context.Context, fence core.Fence) error

	Log logrus.FieldLogger
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// Seed makes the choice of peers and the jitter reproducible.
	Seed uint64

	// Gossip, Membership and Lease have defaults.
	Gossip     gossip.Config
	Membership membership.Config
	Lease      lease.Config
}

// Control is the control plane of one process.
type Control struct {
	opts    Options
	log     logrus.FieldLogger
	metrics *instruments
	ctx     context.Context

	snapshot atomic.Pointer[facts.Snapshot]
	members  atomic.Pointer[membership.Members]
	grant    atomic.Pointer[grant]
	reader   atomic.Pointer[readerChoice]
	ready    atomic.Bool
	leaving  atomic.Bool

	updates      *ring.Ring[update]
	subscribers  []*ring.Ring[*facts.View]
	gossipWake   *ring.Ring[struct{}]
	heard        *ring.Ring[hearing]
	exchanges    *ring.Ring[exchanged]
	slots        []*ring.Ring[gossip.ExchangeRequest]
	gossipPeers  *ring.Ring[*membership.Members]
	evidence     *ring.Ring[membership.Observation]
	lists        *ring.Ring[[]membership.Member]
	tableJobs    *ring.Ring[tableJob]
	auditWake    *ring.Ring[struct{}]
	grants       *ring.Ring[*grant]
	budget       *rate.Limiter
	table        *tableClient
	transactions atomic.Uint64
}

// New checks the options and returns a control plane that is not started.
// Errors have the kind Invalid.
func New(opts Options) (*Control, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	if opts.Gossip.Slots == 0 {
		opts.Gossip = gossip.DefaultConfig()
	}
	if opts.Membership.MissThreshold == 0 {
		opts.Membership = membership.DefaultConfig()
	}
	if opts.Lease.Duration == 0 {
		opts.Lease = lease.DefaultConfig()
	}
	c := &Control{
		opts:        opts,
		log:         opts.Log.WithField("node", string(opts.Node)),
		ctx:         context.Background(),
		updates:     ring.New[update](updatesCapacity),
		gossipWake:  ring.New[struct{}](1),
		heard:       ring.New[hearing](heardCapacity),
		exchanges:   ring.New[exchanged](opts.Gossip.Slots + 1),
		gossipPeers: ring.New[*membership.Members](1),
		evidence:    ring.New[membership.Observation](evidenceCapacity),
		lists:       ring.New[[]membership.Member](1),
		tableJobs:   ring.New[tableJob](tableCapacity),
		auditWake:   ring.New[struct{}](1),
		grants:      ring.New[*grant](1),
		budget:      rate.NewLimiter(tableRequestsPerSecond, tableBurst),
	}
	c.table = &tableClient{c}
	for range opts.Gossip.Slots + 1 {
		c.slots = append(c.slots, ring.New[gossip.ExchangeRequest](1))
	}
	c.snapshot.Store(facts.NewStore().Snapshot())
	c.members.Store(membership.New(opts.Membership).Snapshot())
	var err error
	c.metrics, err = newInstruments(opts.Metrics, c)
	return c, err
}

func (o *Options) check() error {
	missing := ""
	switch {
	case o.Node == "" || o.Address == "" || o.FailureDomain == "":
		missing = "node, address or failure domain"
	case !slices.Contains(o.FailureDomains, o.FailureDomain):
		missing = "its own failure domain in the list of failure domains"
	case o.Incarnation == 0:
		missing = "incarnation"
	case o.Table == nil || o.Objects == nil || o.Lister == nil:
		missing = "table, objects or lister"
	case o.Dial == nil || o.ParseBundle == nil || o.Log == nil:
		missing = "dial, bundle parser or log"
	}
	if missing != "" {
		return errs.New(errs.Invalid, "set it in control.Options", "control lacks %s", missing)
	}
	return nil
}

// Start starts the duties in the group. Register PeerServer before peers can
// reach the process.
func (c *Control) Start(group *duty.Group) {
	c.ctx = group.Context()
	group.Go("facts", c.runFacts)
	group.Go("gossip", c.runGossip)
	for _, orders := range c.slots {
		group.Go("exchange", func(ctx context.Context) error { return c.runSlot(ctx, orders) })
	}
	group.Go("membership", c.runMembership)
	group.Go("list", c.runList)
	for range tableSessions {
		group.Go("table", c.runTable)
	}
	group.Go("reader", c.runReader)
	group.Go("audit", c.runAudit)
	if c.opts.OnLease != nil {
		group.Go("lease", c.runLease)
		group.Go("lease work", c.runLeaseWork)
	}
}

// View returns what is in force. It is never nil, but its Index is nil until a
// bundle is known.
func (c *Control) View() *facts.View { return c.snapshot.Load().View }

// Epoch returns the epoch in force.
func (c *Control) Epoch() core.Epoch { return c.snapshot.Load().Digest.Epoch }

// Ready reports whether the process knows enough facts to accept work and is
// not leaving.
func (c *Control) Ready() bool { return c.ready.Load() && !c.leaving.Load() }

// Members returns the member table.
func (c *Control) Members() *membership.Members { return c.members.Load() }

// Subscribe returns a ring that receives each new View; a slow receiver gets
// only the latest. It must be called before Start.
func (c *Control) Subscribe() *ring.Ring[*facts.View] {
	r := ring.New[*facts.View](1)
	c.subscribers = append(c.subscribers, r)
	return r
}

// Observe reports the outcome of a call to another process. It never blocks.
func (c *Control) Observe(e membership.Observation) { c.evidence.Push(e) }

// ObserveEpoch records an epoch received on another message. A newer one than the
// epoch in force starts exchanges. It never blocks.
func (c *Control) ObserveEpoch(e core.Epoch) {
	if e > c.Epoch() {
		c.heard.Push(hearing{epoch: e, behind: true})
	}
}

// SetLeaving tells peers that this process takes no new work.
func (c *Control) SetLeaving() {
	c.leaving.Store(true)
	c.heard.Push(hearing{behind: true, epoch: c.Epoch()})
}

// Table returns the platform's table behind the request budget of this
// process. Requests beyond the budget or the ring are refused.
func (c *Control) Table() stores.Table { return c.table }

// rng returns a random source of its own for one duty.
func (c *Control) rng(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.opts.Seed, stream))
}

// Streams of the seed, one for each duty that draws random numbers.
const (
	gossipStream uint64 = iota + 1
	listStream
	readerStream
	auditStream
)

// await receives a reply until the context or the process's duties end.
func await[T any](ctx context.Context, stopped context.Context, replies *ring.Ring[T]) (T, error) {
	for {
		if v, ok := replies.TryReceive(); ok {
			return v, nil
		}
		var zero T
		select {
		case <-replies.Ready():
		case <-ctx.Done():
			return zero, ctx.Err()
		case <-stopped.Done():
			return zero, ring.ErrClosed
		}
	}
}

// minWait bounds how often a duty takes a turn for times that have passed. It
// also keeps timers from being due when they are made: with the race detector,
// such a timer crashes the Go 1.26 runtime in synctest bubbles.
const minWait = time.Millisecond
