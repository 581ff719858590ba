// Package entry is the daemon that callers reach. It authenticates them,
// chooses an upstream for each call and streams the answer back. It holds no
// state that must last; any entry can serve any call.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/telemetry"
	"waxwingtide.example/waxwingtide/wire"
)

// Control is what the entry needs from the control duties.
type Control interface {
	// View returns what is in force in this process.
	View() *facts.View
	// Ready reports whether the process may take work.
	Ready() bool
	// ObserveEpoch records an epoch heard on a message, so that a newer one is
	// fetched.
	ObserveEpoch(epoch core.Epoch)
	// Subscribe returns a ring that receives each new view. It is called before
	// the duties start.
	Subscribe() *ring.Ring[*facts.View]
}

// Judge receives samples of finished prompts for the rollout's tests.
type Judge interface {
	// Observe records one finished or failed prompt. It never blocks.
	Observe(s Sample)
}

// Sample is what one prompt tells about the weight version that served it.
type Sample struct {
	Model     core.ModelID
	Version   core.WeightVersion
	Workspace core.WorkspaceID
	Upstream  core.UpstreamID
	Class     core.Class
	// Failed is set when the run failed for a reason that counts against the version.
	Failed bool
	// TimeToFirstToken is the time from the submission to the engine to the first
	// token. TimePerToken is the mean time between tokens. Both are 0 for a failed run.
	TimeToFirstToken time.Duration
	TimePerToken     time.Duration
	// RecomputedTokens is the number of prompt tokens that were not read from the cache.
	RecomputedTokens int
	FinishedAt       time.Time
}

// StateListener receives the states that agents publish. Its methods never block.
type StateListener interface {
	// Report records a published state.
	Report(state *wire.UpstreamState)
	// Lost records that the watch stream of an upstream's agent has failed.
	Lost(id core.UpstreamID)
}

// Options configure an entry.
type Options struct {
	Node          core.NodeID
	Incarnation   core.Incarnation
	FailureDomain core.FailureDomain
	Control       Control
	// Dial returns a connection of the inner protocol to an agent.
	Dial func(ctx context.Context, address string) drpc.Conn
	// RegisterServices adds the routes of plain services. It may be nil.
	RegisterServices func(router *httprouter.Router)
	// EntryCount returns the number of entries that serve callers, including this one.
	// The default returns 1.
	EntryCount func() int
	// Judge is nil where no rollout is judged.
	Judge Judge
	// StateListener, if set, receives the published states.
	StateListener StateListener
	Limits        settings.Limits
	Routing       settings.Routing
	Log           logrus.FieldLogger
	Metrics       *telemetry.Metrics
	// Seed makes the random choices of routing repeatable.
	Seed uint64
	// Now is the clock of decisions; nil means time.Now.
	Now func() time.Time
}

// Entry serves callers.
type Entry struct {
	opts       Options
	dispatcher *dispatcher
	watches    *watchManager
	metrics    *metrics
	stopping   atomic.Bool
}

// New returns an entry. Start runs its duties.
func New(o Options) (*Entry, error) {
	if o.Node == "" || o.Control == nil || o.Dial == nil {
		return nil, errs.New(errs.Invalid, "set Node, Control and Dial", "entry options are incomplete")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.EntryCount == nil {
		o.EntryCount = func() int { return 1 }
	}
	m, err := newMetrics(o.Metrics)
	if err != nil {
		return nil, err
	}
	d := newDispatcher(o)
	return &Entry{opts: o, dispatcher: d, watches: newWatchManager(o, d.stateUpdates), metrics: m}, nil
}

// Start runs the entry's duties in the group.
func (e *Entry) Start(group *duty.Group) {
	group.Go("dispatch", e.dispatcher.run)
	e.watches.group = group
	group.Go("watches", e.watches.run)
}

// Handler serves callers.
func (e *Entry) Handler() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/completions", e.serveCompletions)
	if e.opts.RegisterServices != nil {
		e.opts.RegisterServices(router)
	}
	return e.requireReady(router)
}

// Ready reports whether the entry takes calls.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.opts.Control.Ready() && e.opts.Control.View().HasBundle()
}

// Drain makes the entry refuse new calls. The HTTP server's Shutdown then
// waits for the calls under way.
func (e *Entry) Drain() { e.stopping.Store(true) }

// Loads returns what is known about the load of the watched upstreams.
func (e *Entry) Loads() []admin.UpstreamLoad { return *e.dispatcher.publishedLoads.Load() }

// notServing is the refusal while the entry starts or stops.
func newNotServingError() *errorResponse {
	return newOutcomeError(core.OutcomeNeverDispatched, errs.Unavailable,
		"this entry is starting or stopping; send the call again, the balancer will choose another entry", time.Second)
}

func (e *Entry) requireReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.Ready() {
			newNotServingError().write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// sender identifies this entry and the epoch that a call was decided under.
func (o *Options) sender(view *facts.View) *wire.Sender {
	return &wire.Sender{Node: string(o.Node), Incarnation: uint64(o.Incarnation), Epoch: uint64(view.Head.Epoch)}
}
