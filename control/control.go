// Package control contains the duties that every process runs to track which facts
// are in force and which processes are live, and to run the leased work. The leased
// work is the work on behalf of operators, such as rollouts, that only one process may
// run at a time, namely the holder of a lease.
//
// The duties are facts, gossip, exchange, membership, list, table, reader, audit, lease
// and lease work. The decisions are in the packages facts, gossip, membership and lease,
// which do no I/O. This package connects the duties by rings, sends requests to the
// platform and to peers, and encodes rows and messages.
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
	mergeRequestsCapacity      = 64
	memberObservationsCapacity = 1024
	epochObservationsCapacity  = 256
	tableRequestsCapacity      = 256
)

// Options are the settings and connections of one process.
type Options struct {
	Node          core.NodeID
	Role          string
	FailureDomain core.FailureDomain
	// FailureDomains lists all failure domains in the settings. While the table is
	// unavailable, a process becomes ready only after it has received an epoch from
	// each of them.
	FailureDomains []core.FailureDomain
	Incarnation    core.Incarnation
	// Address is the address of this process for peers, as IP:port.
	Address string

	Table   stores.Table
	Objects stores.ObjectStore
	Lister  stores.VMLister
	// Dial opens a drpc connection to a peer. Control closes the connection.
	Dial func(ctx context.Context, address string) (drpc.Conn, error)
	// ParseBundle validates and indexes a bundle body.
	ParseBundle func(body []byte) (*bundle.Index, error)

	// OnLease runs the leased work while this process holds the lease. It must return
	// soon after its context ends, and must check HeldFence before each order. If it
	// returns an error before its context ends, all duties of the process are stopped.
	// OnLease is nil in processes that do not contend for the lease.
	OnLease func(ctx context.Context, fence core.Fence) error

	Log logrus.FieldLogger
	// Metrics may be nil. Then no metrics are recorded.
	Metrics *telemetry.Metrics
	// Seed is the seed of the random numbers for peers and jitter.
	Seed uint64

	// Gossip, Membership and Lease are replaced by the default configurations if
	// Gossip.Slots, Membership.MissThreshold or Lease.Duration is zero.
	Gossip     gossip.Config
	Membership membership.Config
	Lease      lease.Config
}

// Control is the control plane of one process.
type Control struct {
	opts    Options
	log     logrus.FieldLogger
	metrics *instruments
	// dutiesCtx ends when the duties of the process end. Start sets it.
	dutiesCtx context.Context

	// State that any goroutine may read.
	snapshot     atomic.Pointer[facts.Snapshot]
	members      atomic.Pointer[membership.Members]
	heldTerm     atomic.Pointer[leaseTerm]
	readerStatus atomic.Pointer[readerStatus]
	ready        atomic.Bool
	leaving      atomic.Bool

	// Rings to the duties and the subscribers.
	mergeRequests     *ring.Ring[mergeRequest]
	subscribers       []*ring.Ring[*facts.View]
	gossipSignal      *ring.Ring[struct{}]
	epochObservations *ring.Ring[epochObservation]
	exchangeResults   *ring.Ring[exchangeResult]
	// slotRequests contains one ring for each slot of package gossip, that is, for each
	// peer to which this process keeps a connection. The last ring is for probes.
	slotRequests       []*ring.Ring[gossip.ExchangeRequest]
	gossipMembers      *ring.Ring[*membership.Members]
	memberObservations *ring.Ring[membership.Observation]
	memberLists        *ring.Ring[[]membership.Member]
	tableRequests      *ring.Ring[tableRequest]
	auditSignal        *ring.Ring[struct{}]
	startedTerms       *ring.Ring[*leaseTerm]

	tableLimiter     *rate.Limiter
	table            *tableClient
	transactionCount atomic.Uint64
}

// New validates the options and returns a control plane that has not been started.
// Errors: Invalid for the options, Internal if the metrics cannot be created.
func New(opts Options) (*Control, error) {
	if err := opts.validate(); err != nil {
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
		opts:               opts,
		log:                opts.Log.WithField("node", string(opts.Node)),
		dutiesCtx:          context.Background(),
		mergeRequests:      ring.New[mergeRequest](mergeRequestsCapacity),
		gossipSignal:       ring.New[struct{}](1),
		epochObservations:  ring.New[epochObservation](epochObservationsCapacity),
		exchangeResults:    ring.New[exchangeResult](opts.Gossip.Slots + 1),
		gossipMembers:      ring.New[*membership.Members](1),
		memberObservations: ring.New[membership.Observation](memberObservationsCapacity),
		memberLists:        ring.New[[]membership.Member](1),
		tableRequests:      ring.New[tableRequest](tableRequestsCapacity),
		auditSignal:        ring.New[struct{}](1),
		startedTerms:       ring.New[*leaseTerm](1),
		tableLimiter:       rate.NewLimiter(tableRequestsPerSecond, tableBurst),
	}
	c.table = &tableClient{c}
	for range opts.Gossip.Slots + 1 {
		c.slotRequests = append(c.slotRequests, ring.New[gossip.ExchangeRequest](1))
	}
	c.snapshot.Store(facts.NewStore().Snapshot())
	c.members.Store(membership.New(opts.Membership).Snapshot())
	var err error
	c.metrics, err = newInstruments(opts.Metrics, c)
	return c, err
}

func (o *Options) validate() error {
	problem := ""
	switch {
	case o.Node == "" || o.Address == "" || o.FailureDomain == "":
		problem = "node, address or failure domain is empty"
	case !slices.Contains(o.FailureDomains, o.FailureDomain):
		problem = "the list of failure domains does not contain the failure domain of the process"
	case o.Incarnation == 0:
		problem = "incarnation is zero"
	case o.Table == nil || o.Objects == nil || o.Lister == nil:
		problem = "table, objects or lister is nil"
	case o.Dial == nil || o.ParseBundle == nil || o.Log == nil:
		problem = "dial, bundle parser or log is nil"
	}
	if problem != "" {
		return errs.New(errs.Invalid, "correct control.Options", "options of the control plane are invalid: %s", problem)
	}
	return nil
}

// Start starts the duties in the group. The caller must register PeerServer before
// peers can connect to the process.
func (c *Control) Start(group *duty.Group) {
	c.dutiesCtx = group.Context()
	group.Go("facts", c.runFacts)
	group.Go("gossip", c.runGossip)
	for _, requests := range c.slotRequests {
		group.Go("exchange", func(ctx context.Context) error { return c.runSlot(ctx, requests) })
	}
	group.Go("membership", c.runMembership)
	group.Go("list", c.runMemberList)
	for range tableConcurrency {
		group.Go("table", c.runTable)
	}
	group.Go("reader", c.runReader)
	group.Go("audit", c.runAudit)
	if c.opts.OnLease != nil {
		group.Go("lease", c.runLease)
		group.Go("lease work", c.runLeasedWork)
	}
}

// View returns the facts in force. The result is never nil, but its Index is nil
// until a bundle is in force.
func (c *Control) View() *facts.View { return c.snapshot.Load().View }

// Epoch returns the epoch in force.
func (c *Control) Epoch() core.Epoch { return c.snapshot.Load().Digest.Epoch }

// Ready reports whether the process has received enough facts to accept work and is
// not leaving.
func (c *Control) Ready() bool { return c.ready.Load() && !c.leaving.Load() }

// Members returns the latest snapshot of the members.
func (c *Control) Members() *membership.Members { return c.members.Load() }

// Subscribe returns a ring that receives each new View. A slow receiver gets only
// the latest one. Subscribe must be called before Start.
func (c *Control) Subscribe() *ring.Ring[*facts.View] {
	r := ring.New[*facts.View](1)
	c.subscribers = append(c.subscribers, r)
	return r
}

// ObserveMember records that another process replied or that its reply is missing. It
// never blocks.
func (c *Control) ObserveMember(o membership.Observation) { c.memberObservations.Push(o) }

// ObserveEpoch records an epoch that was received outside an exchange, for example in
// another message. If it is newer than the epoch in force, exchanges are started to fetch
// it. ObserveEpoch never blocks.
func (c *Control) ObserveEpoch(epoch core.Epoch) {
	if epoch > c.Epoch() {
		c.epochObservations.Push(epochObservation{epoch: epoch, startExchanges: true})
	}
}

// SetLeaving marks this process as leaving, so that it accepts no new work. It also
// requests exchanges from the gossip duty, which notify peers of this state.
func (c *Control) SetLeaving() {
	c.leaving.Store(true)
	c.epochObservations.Push(epochObservation{startExchanges: true, epoch: c.Epoch()})
}

// Table returns a client of the platform's table. A request is refused if it exceeds
// the request rate of this process or if the ring of pending requests is full.
func (c *Control) Table() stores.Table { return c.table }

// rng returns a separate random source for one duty.
func (c *Control) rng(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.opts.Seed, stream))
}

// Random streams derived from the seed, one for each duty that uses random numbers.
const (
	gossipStream uint64 = iota + 1
	listStream
	readerStream
	auditStream
)

// await receives a result. It returns an error if ctx or dutiesCtx, the context of the
// process's duties, ends first.
func await[T any](ctx context.Context, dutiesCtx context.Context, results *ring.Ring[T]) (T, error) {
	for {
		if v, ok := results.TryReceive(); ok {
			return v, nil
		}
		var zero T
		select {
		case <-results.Ready():
		case <-ctx.Done():
			return zero, ctx.Err()
		case <-dutiesCtx.Done():
			return zero, ring.ErrClosed
		}
	}
}

// minWait is the minimum delay of a duty's timer. It prevents a busy loop if the next
// step is already due. It also prevents timers that are due when they are created,
// because such a timer crashes the Go 1.26 runtime in synctest bubbles under the race
// detector.
const minWait = time.Millisecond
