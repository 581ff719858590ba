// Package entry implements the daemon that serves callers. It authenticates callers, chooses
// an upstream for each call and streams the response. It has no persistent state, so any
// entry can serve any call.
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

const (
	// stopReserve is the end of the time of a planned stop in which no call should be in
	// progress any more. It is at most stopReserveShare of that time.
	stopReserve      = time.Second
	stopReserveShare = 0.25
)

// Control is the interface of the control duties that the entry uses.
type Control interface {
	// View returns the facts in force in this process.
	View() *facts.View
	// Ready reports whether the process may accept calls.
	Ready() bool
	// ObserveEpoch records the epoch of a received message. If it is newer than the
	// epoch in force, the newer facts are fetched.
	ObserveEpoch(epoch core.Epoch)
	// Subscribe returns a ring that receives each new view. It must be called before
	// the duties start.
	Subscribe() *ring.Ring[*facts.View]
}

// Judge receives samples for the statistical tests of rollouts.
type Judge interface {
	// Observe records one sample. It never blocks.
	Observe(s Sample)
}

// Sample is the result of one attempt of a prompt, as evidence on the weight version that
// served it.
type Sample struct {
	Model     core.ModelID
	Version   core.WeightVersion
	Workspace core.WorkspaceID
	Upstream  core.UpstreamID
	Class     core.Class
	// Failed is set when the run failed for a reason that counts against the version.
	Failed bool
	// EngineTimeToFirstToken is the time from the submission to the engine to the first
	// token. TimePerToken is the mean time between tokens. Both are 0 for a failed run.
	EngineTimeToFirstToken time.Duration
	TimePerToken           time.Duration
	// RecomputedTokens is the number of prompt tokens that were not read from the cache.
	RecomputedTokens int
	FinishedAt       time.Time
}

// StateListener receives the states that agents publish. Its methods never block.
type StateListener interface {
	// Report records a published state.
	Report(state *wire.UpstreamState)
	// Remove removes the state of an upstream whose watch stream has failed.
	Remove(id core.UpstreamID)
}

// Options configure an entry.
type Options struct {
	Node          core.NodeID
	Incarnation   core.Incarnation
	FailureDomain core.FailureDomain
	Control       Control
	// Dial returns a connection of the inner protocol to an agent.
	Dial func(ctx context.Context, address string) drpc.Conn
	// CloseIdle, if set, closes the idle connections to an agent that may be stopping.
	CloseIdle func(address string)
	// RegisterServices adds the routes of plain services. It may be nil.
	RegisterServices func(router *httprouter.Router)
	// EntryCount returns the number of entries that serve callers, including this one.
	// The default returns 1.
	EntryCount func() int
	// Judge, if set, receives the samples.
	Judge Judge
	// StateListener, if set, receives the published states.
	StateListener StateListener
	Limits        settings.Limits
	Routing       settings.Routing
	Log           logrus.FieldLogger
	Metrics       *telemetry.Metrics
	// Seed is the seed of the random choices of routing and of the retry delays.
	Seed uint64
	// Now returns the current time for all decisions. The default is time.Now.
	Now func() time.Time
}

// Entry serves callers.
type Entry struct {
	opts       Options
	dispatcher *dispatcher
	watches    *watchManager
	metrics    *metrics
	stopping   atomic.Bool
	// callsEnd ends when calls in progress must receive their responses in a planned stop.
	callsEnd context.Context
	endCalls context.CancelFunc
}

// New returns an entry. Start runs its duties.
func New(o Options) (*Entry, error) {
	if o.Node == "" || o.Control == nil || o.Dial == nil {
		return nil, errs.New(errs.Invalid, "set Node, Control and Dial", "entry options are incomplete")
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.CloseIdle == nil {
		o.CloseIdle = func(string) {}
	}
	if o.EntryCount == nil {
		o.EntryCount = func() int { return 1 }
	}
	m, err := newMetrics(o.Metrics)
	if err != nil {
		return nil, err
	}
	d := newDispatcher(o)
	callsEnd, endCalls := context.WithCancel(context.Background())
	return &Entry{
		opts: o, dispatcher: d, watches: newWatchManager(o, d.stateUpdates), metrics: m, callsEnd: callsEnd, endCalls: endCalls,
	}, nil
}

// Start runs the entry's duties in the group.
func (e *Entry) Start(group *duty.Group) {
	group.Go("dispatch", e.dispatcher.run)
	e.watches.group = group
	group.Go("watches", e.watches.run)
}

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler {
	router := httprouter.New()
	router.HandleOPTIONS = false // the router would answer with status 200
	router.HandlerFunc(http.MethodPost, "/v1/completions", e.serveCompletions)
	if e.opts.RegisterServices != nil {
		e.opts.RegisterServices(router)
	}
	return e.requireReady(router)
}

// Ready reports whether the entry accepts calls.
func (e *Entry) Ready() bool {
	return !e.stopping.Load() && e.opts.Control.Ready() && e.opts.Control.View().HasBundle()
}

// Drain makes the entry refuse new calls. Calls in progress continue. They reach their
// deadline shortly before that of the context, so that their callers receive a response.
// To wait for them, drain the HTTP server.
func (e *Entry) Drain(ctx context.Context) {
	e.stopping.Store(true)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		time.AfterFunc(remaining-min(stopReserve, time.Duration(stopReserveShare*float64(remaining))), e.endCalls)
	}
}

// Loads returns the load of the watched upstreams as published last.
func (e *Entry) Loads() []admin.UpstreamLoad { return *e.dispatcher.publishedLoads.Load() }

// newNotServingError returns the error response of an entry that is not ready.
func newNotServingError() *errorResponse {
	return newOutcomeError(core.OutcomeNeverDispatched, errs.Unavailable,
		"this entry is starting or stopping; send the call again, the balancer will choose another entry", time.Second)
}

// requireReady refuses calls unless the entry accepts them, and ends the context of calls
// in progress at the end of a planned stop.
func (e *Entry) requireReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.Ready() {
			newNotServingError().write(w)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		detach := context.AfterFunc(e.callsEnd, func() { cancel(context.DeadlineExceeded) })
		defer detach()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// sender returns the identity of this entry with the epoch of the view.
func (o *Options) sender(view *facts.View) *wire.Sender {
	return &wire.Sender{Node: string(o.Node), Incarnation: uint64(o.Incarnation), Epoch: uint64(view.Head.Epoch)}
}
