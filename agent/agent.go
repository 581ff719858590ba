// Package agent implements the daemon that runs beside each upstream. All calls to the
// upstream pass through its agent, so the agent's limits apply to all entries together.
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

// flushTimeout is the maximum time for the export of kept cache at a planned stop. The
// export delays the shutdown of the VM.
const flushTimeout = 10 * time.Second

// Control is the interface of the control duties that the agent uses.
type Control interface {
	// View returns the facts in force in this process.
	View() *facts.View
	// ObserveEpoch records the epoch of a received message. If it is newer than the
	// epoch in force, the newer facts are fetched.
	ObserveEpoch(epoch core.Epoch)
}

// Engine is the interface of the model engine that the agent uses.
type Engine interface {
	Complete(ctx context.Context, req engine.CompletionRequest, onToken func(position int, text string) error) (engine.Usage, string, error)
	Info(ctx context.Context) (engine.Info, error)
	Load(ctx context.Context, fence core.Fence, model string) error
	SetRole(ctx context.Context, fence core.Fence, role string) error
}

// Transfer transfers kept cache between the engine and the kept-cache stores.
type Transfer interface {
	// ImportPrefix imports cache blocks before a run if that is expected to be faster than
	// recomputation. It returns the number of imported bytes and the estimated number
	// of blocks of the prompt that the engine then holds.
	ImportPrefix(ctx context.Context, scope core.CacheScope, prompt string, class core.Class) (importedBytes, cachedBlocks int)
	// RecordRun records a finished run. The engine now holds the blocks of the prompt.
	RecordRun(scope core.CacheScope, prompt string, usage engine.Usage)
	// FreeLinkRate returns the unused bandwidth of the link to the stores in bytes per
	// second.
	FreeLinkRate() float64
	// ObservePrefill records the time in which the engine computed prompt text of the
	// given length.
	ObservePrefill(ctx context.Context, uncachedBytes int, elapsed time.Duration)
	// Flush exports the blocks that are not exported yet, before a planned stop.
	Flush(ctx context.Context) error
}

// Options configure an agent.
type Options struct {
	Node        core.NodeID
	Incarnation core.Incarnation
	Upstream    core.UpstreamID
	Control     Control
	// Engine is nil if the upstream is a plain service.
	Engine Engine
	// Transfer is nil if kept cache is disabled.
	Transfer Transfer
	// CallService sends a call to a plain service. It is nil if the upstream is an engine.
	CallService func(ctx context.Context, req *wire.CallRequest) *wire.CallReply
	// ReadFence, if set, reads the fencing token of the current lease from the platform's
	// table, so that a restarted agent refuses orders of an older lease.
	ReadFence func(ctx context.Context) (core.Fence, error)
	Log       logrus.FieldLogger
	Metrics   *telemetry.Metrics
	// Now returns the current time for all decisions. The default is time.Now.
	Now func() time.Time
}

// Agent serves one upstream.
type Agent struct {
	opts      Options
	admission *admission
	orders    *orderExecutor
	metrics   *metrics
}

// New returns an agent. Start runs its duties.
func New(o Options) (*Agent, error) {
	if o.Upstream == "" || o.Control == nil || (o.Engine == nil) == (o.CallService == nil) {
		return nil, errs.New(errs.Invalid, "set Upstream, Control and exactly one of Engine and CallService", "agent options are incomplete")
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
		orders:    newOrderExecutor(o),
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
	group.Go("sampler", (&engineMonitor{engine: a.opts.Engine, admission: a.admission, log: a.opts.Log}).run)
}

// Register registers the agent's handlers of the inner protocol.
func (a *Agent) Register(mux *drpcmux.Mux) error {
	err := wire.DRPCRegisterAgent(mux, &server{Agent: a})
	return errs.Wrap(err, errs.Internal, "report this as a defect", "agent service cannot be registered")
}

// Drain stops admission, exports kept cache, and waits until all runs have ended or the
// context ends.
func (a *Agent) Drain(ctx context.Context) error {
	idle := ring.New[struct{}](1)
	if err := a.admission.events.Send(ctx, drainEvent{idle}); err != nil {
		return err
	}
	if a.opts.Transfer != nil {
		a.flush(ctx)
	}
	_, err := idle.Receive(ctx)
	return errs.Wrap(err, errs.Unavailable, "allow a longer stop_timeout", "runs did not finish before the timeout")
}

// flush exports kept cache before a planned stop. After a failure, later runs recompute
// the blocks that were not exported.
func (a *Agent) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := a.opts.Transfer.Flush(ctx); err != nil {
		a.opts.Log.WithFields(logrus.Fields{"event": "flush", "upstream": a.opts.Upstream}).WithError(err).Warn("kept cache was not completely exported; later runs recompute the missing blocks")
	}
}

// bundleUpstream returns the configuration of the upstream in the bundle in force, or nil
// if there is none.
func (a *Agent) bundleUpstream(view *facts.View) *bundle.Upstream {
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
