// Package agent is the daemon beside each upstream. It is the only way in to
// that upstream, so its limits hold for all entries at once.
package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/engine"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/telemetry"
	"waxwingtide.example/waxwingtide/wire"
)

// flushTime bounds the export of kept cache at a planned stop, which competes
// with a VM that has to leave.
const flushTime = 10 * time.Second

// Control is what the agent needs from the control duties.
type Control interface {
	// View returns what is in force in this process.
	View() *facts.View
	// ObserveEpoch records an epoch heard on a message, so that a newer one is
	// fetched.
	ObserveEpoch(epoch core.Epoch)
}

// Engine is what the agent needs from the model engine.
type Engine interface {
	Complete(ctx context.Context, req engine.CompletionRequest, onToken func(position int, text string) error) (engine.Usage, string, error)
	Info(ctx context.Context) (engine.Info, error)
	Load(ctx context.Context, fence core.Fence, model string) error
	Role(ctx context.Context, fence core.Fence, role string) error
}

// Transfer moves kept cache between the engine and the stores.
type Transfer interface {
	// Prepare imports what is worth importing before a run. It returns the
	// bytes moved and the blocks of the prompt that the engine then holds.
	Prepare(ctx context.Context, scope core.CacheScope, prompt string, class core.Class) (importedBytes, cachedBlocks int)
	// RecordRun records a finished run, after which the engine contains the blocks of
	// the prompt.
	RecordRun(scope core.CacheScope, prompt string, usage engine.Usage)
	// FreeLinkRate returns the unused rate of the link, in bytes per second.
	FreeLinkRate() float64
	// ObservePrefill records how long the engine took to compute prompt text.
	ObservePrefill(ctx context.Context, uncachedBytes int, elapsed time.Duration)
	// Flush exports what is kept before a planned leave.
	Flush(ctx context.Context) error
}

// Options configure an agent.
type Options struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	Upstream    core.UpstreamID
	Control     Control
	// Engine is nil beside a plain service.
	Engine Engine
	// Transfer is nil where no cache is kept.
	Transfer Transfer
	// CallService sends a call to a plain service. It is nil if the upstream is an engine.
	CallService func(ctx context.Context, req *wire.CallRequest) *wire.CallReply
	// ReadFence, if set, reads the fencing token of the current lease from the platform's
	// table, so that a restarted agent refuses orders of an older lease.
	ReadFence func(ctx context.Context) (core.Fence, error)
	Log       logrus.FieldLogger
	Metrics   *telemetry.Metrics
	// Now is the clock of decisions; nil means time.Now.
	Now func() time.Time
}

// Agent serves one upstream.
type Agent struct {
	opts      Options
	admission *admission
	orders    *orders
	metrics   *metrics
}

// New returns an agent. Start runs its duties.
func New(o Options) (*Agent, error) {
	if o.Upstream == "" || o.Control == nil || (o.Engine == nil) == (o.CallService == nil) {
		return nil, errs.New(errs.Invalid, "set Upstream, Control and exactly one of Engine and Call", "agent options are incomplete")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	m, err := newMetrics(o.Metrics)
	if err != nil {
		return nil, err
	}
	return &Agent{
		opts:      o,
		admission: newAdmission(o, m),
		orders:    newOrders(o),
		metrics:   m,
	}, nil
}

// Start runs the agent's duties in the group.
func (a *Agent) Start(group *duty.Group) {
	group.Go("admission", a.admission.run)
	if a.opts.Engine == nil {
		return
	}
	group.Go("orders", a.orders.run)
	group.Go("sampler", (&sampler{engine: a.opts.Engine, admission: a.admission, log: a.opts.Log}).run)
}

// Register adds the agent's services to the inner protocol.
func (a *Agent) Register(mux *drpcmux.Mux) error {
	err := wire.DRPCRegisterAgent(mux, &server{Agent: a})
	return errs.Wrap(err, errs.Internal, "report this as a defect", "agent service cannot be registered")
}

// Drain stops new work and waits until the work under way has ended or the
// context ends. Kept context is exported in the meantime.
func (a *Agent) Drain(ctx context.Context) error {
	idle := ring.New[struct{}](1)
	if err := a.admission.events.Send(ctx, drainEvent{idle}); err != nil {
		return err
	}
	if a.opts.Transfer != nil {
		a.flush(ctx)
	}
	_, err := idle.Receive(ctx)
	return errs.Wrap(err, errs.Unavailable, "allow a longer stop_timeout", "work under way did not end in time")
}

// flush exports the kept cache before a planned leave. A failure costs
// recomputation only.
func (a *Agent) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	if err := a.opts.Transfer.Flush(ctx); err != nil {
		a.opts.Log.WithFields(logrus.Fields{"event": "flush", "upstream": a.opts.Upstream}).WithError(err).Warn("kept cache was not fully exported")
	}
}

// upstream returns the upstream's entry in the bundle in force, or nil.
func (a *Agent) upstream(view *facts.View) *bundle.Upstream {
	if !view.HasBundle() {
		return nil
	}
	return view.Index.Upstreams[a.opts.Upstream]
}

func (a *Agent) sender() *wire.Sender {
	sender := &wire.Sender{Node: string(a.opts.Node), Incarnation: uint64(a.opts.Incarnation)}
	if view := a.opts.Control.View(); view != nil {
		sender.Epoch = uint64(view.Head.Epoch)
	}
	return sender
}
