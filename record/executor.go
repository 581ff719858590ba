package record

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/claim"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	defaultMaxLiveCalls = 1024
	// defaultRunTimeout limits the run of an at-most-once call. The run continues
	// after its caller has disconnected, so that its response is stored for a retry.
	defaultRunTimeout = 30 * time.Second
	// defaultCommitInterval limits each of an agent's two committers to 50
	// transactions a second, and so three agents of a service to 300. The table
	// handles several hundred writes a second.
	defaultCommitInterval = 20 * time.Millisecond
	// resultStoreTimeout is the maximum time that a reply waits until its result is
	// in the table. Without an outage of the table, the response is stored before
	// the caller receives it.
	resultStoreTimeout = 500 * time.Millisecond
)

// ExecutorOptions configures an executor.
type ExecutorOptions struct {
	// Upstream and Incarnation identify the owner of the claims.
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Service     ServiceInvoker
	Table       stores.Table
	Objects     stores.ObjectStore
	Log         logrus.FieldLogger
	// Epoch returns the agent's epoch. Nil means that replies contain no epoch.
	Epoch func() core.Epoch
	// Meter creates the metric instruments. Nil means that no metrics are recorded.
	Meter metric.Meter
	// Admit admits a call before its claim is requested. If reason is REJECT_NONE,
	// the executor calls done when the call ends. Any other reason rejects the
	// call. Nil admits all calls.
	Admit func(ctx context.Context, c *Call) (done func(), reason wire.RejectReason)
	// MaxLiveCalls is the maximum number of at-most-once calls in memory,
	// including those whose results are not yet stored. The default is 1024.
	MaxLiveCalls int
	// RunTimeout is the maximum duration of the run of an at-most-once call. The
	// default is 30 s. It is also the maximum time to send the result of an attempt to
	// the claims duty.
	RunTimeout time.Duration
	// CommitInterval is the minimum time between the starts of two claim
	// transactions, and between the starts of two result transactions. The default
	// of 20 ms limits the agent to 100 transactions a second (50 of each). A call at an idle
	// agent is not delayed.
	CommitInterval time.Duration
}

// Executor sends calls to the service of one upstream.
type Executor struct {
	options    ExecutorOptions
	claims     *claimsDuty
	committers []*committer
	draining   atomic.Bool
}

// NewExecutor returns an executor whose duties are not started. It returns an error
// of kind Invalid if a required option is missing.
func NewExecutor(o ExecutorOptions) (*Executor, error) {
	if o.Upstream == "" || o.Incarnation == 0 || o.Service == nil || o.Table == nil || o.Objects == nil || o.Log == nil {
		return nil, errs.New(errs.Invalid, "set upstream, incarnation, service, table, objects and log", "options of the executor are incomplete")
	}
	if o.Admit == nil {
		o.Admit = func(context.Context, *Call) (func(), wire.RejectReason) {
			return func() {}, wire.RejectReason_REJECT_NONE
		}
	}
	o.MaxLiveCalls = cmp.Or(max(o.MaxLiveCalls, 0), defaultMaxLiveCalls)
	o.RunTimeout = cmp.Or(max(o.RunTimeout, 0), defaultRunTimeout)
	o.CommitInterval = cmp.Or(max(o.CommitInterval, 0), defaultCommitInterval)
	recent, err := lru.New[stores.Key, recentResponse](maxRecentResponses)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this as a defect", "cache of recent responses cannot be created")
	}
	metrics, err := newClaimMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	claims := &claimsDuty{
		metrics:         metrics,
		owner:           claim.Owner{Upstream: o.Upstream, Incarnation: o.Incarnation},
		maxLiveCalls:    o.MaxLiveCalls,
		log:             o.Log,
		claimRequests:   ring.New[claimRequest](o.MaxLiveCalls),
		completions:     ring.New[completion](o.MaxLiveCalls),
		commitOutcomes:  ring.New[commitOutcome](2),
		drainRequests:   ring.New[*ring.Ring[struct{}]](1),
		claimBatches:    ring.New[batch](1),
		resultBatches:   ring.New[batch](1),
		liveCalls:       make(map[stores.Key]*liveCall),
		recentResponses: recent,
	}
	newCommitter := func(name string, batches *ring.Ring[batch], retryUntilStored bool) *committer {
		return &committer{
			name: name, owner: claims.owner, table: o.Table, objects: o.Objects, log: o.Log,
			batches: batches, outcomes: claims.commitOutcomes, retryUntilStored: retryUntilStored, minInterval: o.CommitInterval,
		}
	}
	return &Executor{
		options:    o,
		claims:     claims,
		committers: []*committer{newCommitter("claim", claims.claimBatches, false), newCommitter("result", claims.resultBatches, true)},
	}, nil
}

// Start starts the claims duty and its two committers.
func (e *Executor) Start(g *duty.Group) {
	g.Go("claims", e.claims.run)
	for _, c := range e.committers {
		g.Go(c.name+" committer", c.run)
	}
}

// Drain rejects further calls and waits until no at-most-once call is in memory. The
// results of all runs are then in the table, except those that conflict with a row of
// another state.
func (e *Executor) Drain(ctx context.Context) error {
	e.draining.Store(true)
	drained := ring.New[struct{}](1)
	if err := e.claims.drainRequests.Send(ctx, drained); err != nil {
		return err
	}
	_, err := drained.Receive(ctx)
	return err
}

// Call executes one attempt and returns its result.
func (e *Executor) Call(ctx context.Context, req *wire.CallRequest) *wire.CallReply {
	c := callFromWire(req)
	if ms := req.GetDeadlineMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	reply := replyToWire(c.Attempt, e.call(ctx, c, core.UpstreamID(req.GetUpstream())))
	if e.options.Epoch != nil {
		reply.Epoch = uint64(e.options.Epoch())
	}
	return reply
}

func (e *Executor) call(ctx context.Context, c *Call, upstream core.UpstreamID) Reply {
	if upstream != e.options.Upstream {
		return rejectedReply(wire.RejectReason_REJECT_WRONG_UPSTREAM, "the call is meant for another upstream")
	}
	if e.draining.Load() {
		return rejectedReply(wire.RejectReason_REJECT_STOPPING, "the agent is stopping")
	}
	done, reason := e.options.Admit(ctx, c)
	if reason != wire.RejectReason_REJECT_NONE {
		return rejectedReply(reason, "the upstream takes no more calls")
	}
	defer done()
	if c.AtMostOnce() {
		return e.callOnce(ctx, c)
	}
	response, err := e.options.Service.Do(ctx, c)
	return serviceReply(response, err)
}

// serviceReply returns the reply for the result of Service.Do.
func serviceReply(response claim.Response, err error) Reply {
	switch {
	case err == nil:
		return Reply{Outcome: core.OutcomeFinished, Response: response}
	case provesNotSent(err):
		return rejectedReply(wire.RejectReason_REJECT_NONE, err.Error())
	default:
		return unknownReply(err.Error())
	}
}

// callOnce executes an at-most-once call. It sends the call to the service only after
// the claim is in the table.
func (e *Executor) callOnce(ctx context.Context, c *Call) Reply {
	key := c.ClaimKey()
	decisions := ring.New[claimDecision](1)
	if !e.claims.claimRequests.Offer(claimRequest{key, c.Attempt, c.RequestDigest(), decisions}) {
		return rejectedReply(wire.RejectReason_REJECT_QUEUE_FULL, "too many calls wait for a claim")
	}
	decision, err := decisions.Receive(ctx)
	if err != nil {
		e.sendCompletion(ctx, completion{key: key, decisions: decisions, state: claim.Released, storedReports: ring.New[bool](1)})
		return rejectedReply(wire.RejectReason_REJECT_DEADLINE, "the deadline passed before the claim was written")
	}
	if !decision.mayRun {
		return e.loadBody(ctx, decision.reply)
	}
	return e.runClaimed(ctx, c, key, decisions)
}

// runClaimed sends a claimed call to the service. The run continues when the
// caller's context ends, because its response is stored for a retry.
func (e *Executor) runClaimed(ctx context.Context, c *Call, key stores.Key, decisions *ring.Ring[claimDecision]) Reply {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.options.RunTimeout)
	defer cancel()
	response, err := e.options.Service.Do(runCtx, c)
	reply := serviceReply(response, err)
	storedReports := ring.New[bool](1)
	e.sendCompletion(ctx, completion{key, decisions, resultState(reply.Outcome), response, storedReports})
	// While the release of a claim is not in the table, another agent would treat the
	// claim as an attempt that may have run. REJECT_TABLE_UNAVAILABLE keeps the entry
	// from sending the call to another upstream (see isFinal).
	if !awaitResultStored(ctx, storedReports) && reply.Outcome == core.OutcomeRejected {
		return tableUnavailableReply()
	}
	return reply
}

// awaitResultStored waits until a result is in the table, for at most
// resultStoreTimeout. It reports whether the result is in the table.
func awaitResultStored(ctx context.Context, storedReports *ring.Ring[bool]) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resultStoreTimeout)
	defer cancel()
	stored, err := storedReports.Receive(ctx)
	return err == nil && stored
}

func resultState(outcome core.Outcome) claim.State {
	switch outcome {
	case core.OutcomeFinished:
		return claim.Finished
	case core.OutcomeRejected:
		return claim.Released
	default:
		return claim.Lost
	}
}

// sendCompletion sends the result of an attempt to the claims duty. The ring has
// space for every call in memory, so Send waits only if the duty has stopped.
func (e *Executor) sendCompletion(ctx context.Context, c completion) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.options.RunTimeout)
	defer cancel()
	if err := e.claims.completions.Send(ctx, c); err != nil {
		e.options.Log.WithField("event", "result_dropped").WithError(err).Error("claims duty did not accept the result of a call; the result is not stored")
	}
}

// loadBody returns the reply with its response body. The body of a replayed response
// may have to be read from the object store.
func (e *Executor) loadBody(ctx context.Context, r Reply) Reply {
	if r.Response.BodyObject == "" {
		return r
	}
	body, err := e.options.Objects.Get(ctx, r.Response.BodyObject)
	if err != nil {
		return unknownReply("the call has run, but its answer cannot be read: " + err.Error())
	}
	r.Response.Body = body
	r.Response.BodyObject = ""
	return r
}
