package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/cacheevents"
	"waxwingtide.example/waxwingtide/canary"
	"waxwingtide.example/waxwingtide/catalog"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/fleet"
	"waxwingtide.example/waxwingtide/observations"
	"waxwingtide.example/waxwingtide/placement"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// defaultTimeout holds for calls whose route and caller state none.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a body when the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// answerBytesBase and answerBytesPerToken estimate the size of an answer.
	answerBytesBase     = 1000
	answerBytesPerToken = 48
	// notReadyRetry is what callers are told while no configuration is known.
	notReadyRetry = 300 * time.Millisecond
)

// Options are what a Gateway needs.
type Options struct {
	Fleet        *fleet.Fleet
	CacheFeed    *cacheevents.Feed
	Observations *observations.Exchanger
	Codec        Codec
	Client       *upstreamhttp.Client
	Placement    placement.Options
	// CanaryShare is the part of a service's calls that a new software version
	// gets at first.
	CanaryShare    float64
	StatusReporter *canary.StatusWriter
	Log            logrus.FieldLogger
	Meter          metric.Meter
	// Random returns a number from 0 to 1 for the split between targets.
	Random func() float64
}

// Gateway serves callers.
type Gateway struct {
	opts     Options
	router   *router
	metrics  *metrics
	stopping atomic.Pointer[stop]
	// streams counts the streams under way.
	streams atomic.Int64
}

// New returns a gateway that has not started.
func New(opts Options) (*Gateway, error) {
	m, err := newMetrics(opts.Meter)
	if err != nil {
		return nil, err
	}
	return &Gateway{opts: opts, router: newRouter(opts), metrics: m}, nil
}

// Start runs the duties in a group.
func (g *Gateway) Start(group *duty.Group) {
	group.Go("router", g.router.run)
	group.Go("rollout status", g.opts.StatusReporter.Run)
	group.Go("kept-cache feed", g.opts.CacheFeed.Run)
}

// Ready reports whether the process can serve callers.
func (g *Gateway) Ready() bool {
	v := g.opts.Fleet.View()
	return v.Config != nil && len(v.Upstreams) > 0
}

// Stop begins a planned stop: every further answer is the last one of its
// connection, and calls that could not end within the grace time are refused.
func (g *Gateway) Stop(begun time.Time, grace time.Duration) {
	g.stopping.Store(&stop{begun: begun, grace: grace})
}

// ServeHTTP serves one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	call, err := g.opts.Codec.DecodeCall(r, time.Now())
	s := &session{gateway: g, writer: w, call: call, request: r}
	if err != nil {
		s.call = &core.Call{Arrived: time.Now()}
		s.refuse(http.StatusBadRequest, "invalid", 0, err)
		return
	}
	if !s.admit() || !s.readBody() {
		return
	}
	// The configuration may have changed while the body came in.
	if g.opts.Fleet.View().Config != s.config && !s.admit() {
		return
	}
	if s.route.Kind == core.Stream {
		g.streams.Add(1)
		defer g.streams.Add(-1)
	}
	s.serve()
}

// Streaming reports whether streams are under way.
func (g *Gateway) Streaming() bool { return g.streams.Load() > 0 }

// session is one call while it is served.
type session struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	request   *http.Request
	call      *core.Call
	config    *catalog.Config
	route     *catalog.Route
	workspace *catalog.Workspace
	service   core.ServiceID

	deadline time.Time
	// tried are the upstreams that got the call.
	tried []core.UpstreamID
	// placed is where the next attempt goes, last what the attempt before it came
	// to.
	placed placed
	last   outcome
	// failure is the last whole failed answer of an upstream; nil when there is
	// none.
	failure *buffered
	// started is set when the head of the answer has gone to the caller.
	started bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	status    int
}

// admit finds the route and the workspace, or answers that there is none.
func (s *session) admit() bool {
	s.config = s.gateway.opts.Fleet.View().Config
	if s.config == nil {
		s.refuse(http.StatusServiceUnavailable, "no_config", notReadyRetry, nil)
		return false
	}
	if limit := s.config.Limits.HeaderBytes; limit > 0 && headerBytes(s.request) > limit {
		s.refuse(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0, nil)
		return false
	}
	s.route = s.config.Route(s.call.Host, s.call.Path)
	if s.route == nil {
		s.refuse(http.StatusNotFound, "no_route", 0, nil)
		return false
	}
	s.setDeadline()
	if stop := s.gateway.stopping.Load(); !stop.mayBegin(s.route.Kind, time.Now(), s.left()) {
		wait := stop.retryAfter(time.Now(), s.route.Kind, s.left(), s.gateway.opts.Placement.Node, s.gateway.opts.Fleet.View())
		s.refuse(http.StatusServiceUnavailable, "stopping", s.patient(wait), nil)
		return false
	}
	s.workspace = nil
	if s.config.NeedsKeys() && !s.route.Public {
		if s.workspace = s.config.Workspace(s.call.Key); s.workspace == nil {
			s.refuse(http.StatusUnauthorized, "unknown_key", 0, nil)
			return false
		}
	}
	s.service = s.target()
	return true
}

// headerBytes is the size of a request's head.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// target draws one of the route's services by weight.
func (s *session) target() core.ServiceID {
	total := 0.0
	for _, t := range s.route.Targets {
		total += t.Weight
	}
	draw := s.gateway.opts.Random() * total
	for _, t := range s.route.Targets {
		if draw -= t.Weight; draw < 0 {
			return t.Service
		}
	}
	return s.route.Targets[len(s.route.Targets)-1].Service
}

func (s *session) setDeadline() {
	timeout := s.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	s.deadline = s.call.Arrived.Add(timeout)
	if !s.call.Deadline.IsZero() && s.call.Deadline.Before(s.deadline) {
		s.deadline = s.call.Deadline
	}
}

// readBody reads the body within the configured limit.
func (s *session) readBody() bool {
	limit := s.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(s.writer, s.request.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		s.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0, err)
		return false
	case err != nil:
		s.refuse(http.StatusBadRequest, "body_broken", 0, err)
		return false
	}
	s.call.Body = body
	return true
}

// priority is the rank of the call; that of the workspace goes first.
func (s *session) priority() int {
	if s.workspace != nil && s.workspace.Priority != nil {
		return *s.workspace.Priority
	}
	return s.route.Priority
}

// refuse sends an answer of the system's own and logs why. Statuses 429 and 503
// promise that the call has not run and will not run.
func (s *session) refuse(status int, reason string, retryAfter time.Duration, cause error) {
	s.status = status
	h := s.writer.Header()
	s.gateway.opts.Codec.SetRefusalHeader(h, s.call.ID, retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	s.writer.WriteHeader(status)
	_, _ = io.WriteString(s.writer, reason+"\n") // a caller that left cannot be told
	entry := s.log("refused").WithFields(logrus.Fields{"status": status, "reason": reason})
	if cause != nil {
		entry = entry.WithError(cause)
	}
	entry.Info("call refused")
	s.gateway.metrics.refused(status, reason)
}

// log starts a line on the call.
func (s *session) log(event string) logrus.FieldLogger {
	fields := logrus.Fields{"event": event, "request": s.call.ID, "elapsed_ms": time.Since(s.call.Arrived).Milliseconds()}
	if s.config != nil {
		fields["config"] = s.config.Epoch
	}
	if s.route != nil {
		fields["route"] = s.route.Name
	}
	return s.gateway.opts.Log.WithFields(fields)
}

// left is the time until the call is given up.
func (s *session) left() time.Duration { return time.Until(s.deadline) }

// patient bounds the time after which the caller is told to come back.
func (s *session) patient(wait time.Duration) time.Duration {
	return max(min(wait, time.Duration(callerPatience*float64(s.left()))), 0)
}

// need describes the call to the router.
func (s *session) need() placement.Request {
	return placement.Request{
		Service: s.service, Prompt: s.call.Prompt, Workspace: s.workspace,
		Repeatable: s.route.Repeatable(), Bytes: len(s.call.Body) + answerBytesBase + answerBytesPerToken*s.call.Prompt.MaxOutput, TriedUpstreams: s.tried, Retry: len(s.tried) > 0,
	}
}

// ReportWeights takes what another duty knows of an upstream's weights.
func (g *Gateway) ReportWeights(id core.UpstreamID, model core.ModelID, version catalog.WeightNumber) {
	g.router.report(placement.Report{Upstream: id, Model: model, Weights: version})
}

// Configure replaces the options of the placement.
func (g *Gateway) Configure(opts placement.Options) { g.router.options.Push(opts) }
