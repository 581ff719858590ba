package servicecall

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
	defaultMaxLive = 1024
	// defaultRunTimeout bounds a run whose caller has gone. The run goes on so
	// that its answer can be kept for the caller's retry.
	defaultRunTimeout = 30 * time.Second
	// defaultCommitInterval keeps three record servers at 300 transactions a
	// second, within the several hundred writes that the table handles.
	defaultCommitInterval = 20 * time.Millisecond
	// storeWait bounds the wait for the result's write. Without an outage the
	// answer is in the table before the caller sees it.
	storeWait = 500 * time.Millisecond
)

// ExecutorOptions configures an executor.
type ExecutorOptions struct {
	// Upstream and Incarnation identify the owner of the claims.
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Service     Service
	Table       stores.Table
	Objects     stores.Objects
	Log         logrus.FieldLogger
	// Epoch returns the agent's epoch; nil means that replies carry none.
	Epoch func() core.Epoch
	// Meter is the source of instruments; nil records nothing.
	Meter metric.Meter
	// Admit admits a call before it is claimed and returns the function that
	// ends it; a reason other than REJECT_NONE refuses it. Nil admits all.
	Admit func(ctx context.Context, c *Call) (leave func(), reason wire.RejectReason)
	// MaxLiveCalls is the maximum number of at-most-once calls in memory,
	// including those whose results are not yet stored. The default is 1024.
	MaxLiveCalls int
	// RunTimeout bounds one run; default 30 s.
	RunTimeout time.Duration
	// CommitInterval is the shortest time between the starts of two claim
	// transactions, and likewise of two result transactions; default 20 ms. It
	// bounds the agent's transactions at 100 a second. A call at an idle agent
	// does not wait for it.
	CommitInterval time.Duration
}

// Executor runs the calls of one upstream.
type Executor struct {
	options  ExecutorOptions
	claims   *claims
	writers  []*committer
	stopping atomic.Bool
}

// NewExecutor returns an executor. Start starts its duties. Errors: Invalid.
func NewExecutor(o ExecutorOptions) (*Executor, error) {
	if o.Upstream == "" || o.Incarnation == 0 || o.Service == nil || o.Table == nil || o.Objects == nil || o.Log == nil {
		return nil, errs.New(errs.Invalid, "set upstream, incarnation, service, table, objects and log", "options of the executor are incomplete")
	}
	if o.Admit == nil {
		o.Admit = func(context.Context, *Call) (func(), wire.RejectReason) {
			return func() {}, wire.RejectReason_REJECT_NONE
		}
	}
	o.MaxLiveCalls = cmp.Or(max(o.MaxLiveCalls, 0), defaultMaxLive)
	o.RunTimeout = cmp.Or(max(o.RunTimeout, 0), defaultRunTimeout)
	o.CommitInterval = cmp.Or(max(o.CommitInterval, 0), defaultCommitInterval)
	recent, err := lru.New[stores.Key, recentAnswer](recentAnswers)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "report this as a defect", "cache of recent answers")
	}
	metrics, err := newClaimMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	d := &claims{
		metrics:     metrics,
		owner:       claim.Owner{Upstream: o.Upstream, Incarnation: o.Incarnation},
		maxLive:     o.MaxLiveCalls,
		log:         o.Log,
		admissions:  ring.New[admission](o.MaxLiveCalls),
		completions: ring.New[completion](o.MaxLiveCalls),
		commits:     ring.New[committed](2),
		drains:      ring.New[*ring.Ring[struct{}]](1),
		claimWrites: ring.New[batch](1),
		storeWrites: ring.New[batch](1),
		live:        make(map[stores.Key]*liveCall),
		recent:      recent,
	}
	writer := func(name string, in *ring.Ring[batch], persistent bool) *committer {
		return &committer{
			name: name, owner: d.owner, table: o.Table, objects: o.Objects, log: o.Log,
			in: in, out: d.commits, persistent: persistent, interval: o.CommitInterval,
		}
	}
	return &Executor{
		options: o,
		claims:  d,
		writers: []*committer{writer("claim", d.claimWrites, false), writer("result", d.storeWrites, true)},
	}, nil
}

// Start starts the claims duty and its two committers.
func (e *Executor) Start(g *duty.Group) {
	g.Go("claims", e.claims.run)
	for _, w := range e.writers {
		g.Go(w.name+" committer", w.run)
	}
}

// Drain refuses further calls and waits until no at-most-once call is under way
// and every result is in the table.
func (e *Executor) Drain(ctx context.Context) error {
	e.stopping.Store(true)
	done := ring.New[struct{}](1)
	if err := e.claims.drains.Send(ctx, done); err != nil {
		return err
	}
	_, err := done.Receive(ctx)
	return err
}

// Call runs one call and says what is known about it.
func (e *Executor) Call(ctx context.Context, req *wire.CallRequest) *wire.CallReply {
	c := callFromWire(req)
	if ms := req.GetDeadlineMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	out := replyToWire(c.Attempt, e.call(ctx, c, core.UpstreamID(req.GetUpstream())))
	if e.options.Epoch != nil {
		out.Epoch = uint64(e.options.Epoch())
	}
	return out
}

func (e *Executor) call(ctx context.Context, c *Call, upstream core.UpstreamID) Reply {
	if upstream != e.options.Upstream {
		return rejected(wire.RejectReason_REJECT_WRONG_UPSTREAM, "the call is meant for another upstream")
	}
	if e.stopping.Load() {
		return rejected(wire.RejectReason_REJECT_STOPPING, "the agent is stopping")
	}
	leave, reason := e.options.Admit(ctx, c)
	if reason != wire.RejectReason_REJECT_NONE {
		return rejected(reason, "the upstream takes no more calls")
	}
	defer leave()
	if c.AtMostOnce() {
		return e.callOnce(ctx, c)
	}
	answer, err := e.options.Service.Do(ctx, c)
	return serviceReply(answer, err)
}

// serviceReply gives the reply to a call that was tried on the service.
func serviceReply(answer claim.Response, err error) Reply {
	switch {
	case err == nil:
		return Reply{Outcome: core.OutcomeFinished, Response: answer}
	case refusedBeforeRun(err):
		return rejected(wire.RejectReason_REJECT_NONE, err.Error())
	default:
		return unknown(err.Error())
	}
}

func (e *Executor) callOnce(ctx context.Context, c *Call) Reply {
	key := c.RowKey()
	decide := ring.New[decision](1)
	if !e.claims.admissions.Offer(admission{key, c.Attempt, c.RequestDigest(), decide}) {
		return rejected(wire.RejectReason_REJECT_QUEUE_FULL, "too many calls wait for a claim")
	}
	d, err := decide.Receive(ctx)
	if err != nil {
		e.report(ctx, completion{key: key, decide: decide, result: claim.Released, stored: ring.New[bool](1)})
		return rejected(wire.RejectReason_REJECT_DEADLINE, "the deadline passed before the claim was written")
	}
	if !d.run {
		return e.withBody(ctx, d.reply)
	}
	return e.runClaimed(ctx, c, key, decide)
}

// runClaimed hands a claimed call over. The run does not end with the caller's
// context, because its answer is kept for a retry.
func (e *Executor) runClaimed(ctx context.Context, c *Call, key stores.Key, decide *ring.Ring[decision]) Reply {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.options.RunTimeout)
	defer cancel()
	answer, err := e.options.Service.Do(runCtx, c)
	reply := serviceReply(answer, err)
	stored := ring.New[bool](1)
	e.report(ctx, completion{key, decide, resultState(reply.Outcome), answer, stored})
	if !awaitStored(ctx, stored) && reply.Outcome == core.OutcomeRejected {
		return tableUnavailable()
	}
	return reply
}

// awaitStored waits for a bounded time until a result is in the table and
// reports whether it is.
func awaitStored(ctx context.Context, stored *ring.Ring[bool]) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeWait)
	defer cancel()
	ok, err := stored.Receive(ctx)
	return err == nil && ok
}

func resultState(o core.Outcome) claim.State {
	switch o {
	case core.OutcomeFinished:
		return claim.Finished
	case core.OutcomeRejected:
		return claim.Released
	default:
		return claim.Lost
	}
}

// report passes a result to the claims duty. The ring has room for every call
// in memory, so the wait ends at once unless the duty has ended.
func (e *Executor) report(ctx context.Context, c completion) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.options.RunTimeout)
	defer cancel()
	if err := e.claims.completions.Send(ctx, c); err != nil {
		e.options.Log.WithField("event", "result_dropped").WithError(err).Error("claims duty takes no results")
	}
}

// withBody reads a replayed body that is kept in the object store.
func (e *Executor) withBody(ctx context.Context, r Reply) Reply {
	if r.Response.BodyObject == "" {
		return r
	}
	body, err := e.options.Objects.Get(ctx, r.Response.BodyObject)
	if err != nil {
		return unknown("the call has run, but its answer cannot be read: " + err.Error())
	}
	r.Response.Body = body
	r.Response.BodyObject = ""
	return r
}
