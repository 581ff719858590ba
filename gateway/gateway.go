package gateway

import (
	"context"
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
	"waxwingtide.example/waxwingtide/membudget"
	"waxwingtide.example/waxwingtide/placement"
	quarantinestore "waxwingtide.example/waxwingtide/quarantine/store"
	"waxwingtide.example/waxwingtide/sharing"
	"waxwingtide.example/waxwingtide/singleton/autoscale"
	"waxwingtide.example/waxwingtide/upstreamhttp"
)

const (
	// defaultTimeout applies to calls for which neither the route nor the caller sets
	// a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes is the maximum size of a body when the configuration sets no
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// responseBytesBase and responseBytesPerToken estimate the size of a response.
	responseBytesBase     = 1000
	responseBytesPerToken = 48
	// notReadyRetryAfter is the Retry-After value while the process has no
	// configuration.
	notReadyRetryAfter = 300 * time.Millisecond
)

// Options configure a Gateway.
type Options struct {
	Fleet        *fleet.Fleet
	CacheFeed    *cacheevents.Feed
	Observations *sharing.Exchanger
	Codec        Codec
	Client       *upstreamhttp.Client
	// RequestMemory is the memory for the bodies of requests, ResponseMemory that for
	// unfinished responses of upstreams.
	RequestMemory, ResponseMemory *membudget.Budget
	// CacheMemory is the memory for the content of kept-cache stores.
	CacheMemory *membudget.Budget
	Placement   placement.Options
	// CanaryShare is the initial share of a service's calls for a new software
	// version.
	CanaryShare  float64
	StatusWriter *canary.StatusWriter
	// CallBegan is called once for each call of a workspace that began to run at an
	// upstream: with the first event of a stream, or with a successful response of another
	// kind. It is nil if calls are not metered.
	CallBegan func(core.WorkspaceID)
	// RecordLoads receives the loads of all upstreams once a second. It is nil if the number
	// of upstreams is not decided.
	RecordLoads func(autoscale.LoadReport)
	// QuarantineStore keeps the parts in quarantine over restarts.
	QuarantineStore *quarantinestore.Keeper
	Log             logrus.FieldLogger
	Meter           metric.Meter
	// Random returns a number from 0 to 1. It distributes calls over the targets of a
	// route.
	Random func() float64
}

// Gateway serves callers.
type Gateway struct {
	opts        Options
	router      *router
	metrics     *metrics
	plannedStop atomic.Pointer[plannedStop]
	// callsEnd ends when the stop reserve of a planned stop begins.
	callsEnd context.Context
	endCalls context.CancelFunc
	// streams is the number of active streams.
	streams atomic.Int64
}

// New returns a gateway that has not started.
func New(opts Options) (*Gateway, error) {
	m, err := newMetrics(opts.Meter)
	if err != nil {
		return nil, err
	}
	callsEnd, endCalls := context.WithCancel(context.Background())
	return &Gateway{opts: opts, router: newRouter(opts), metrics: m, callsEnd: callsEnd, endCalls: endCalls}, nil
}

// Start starts the duties in a group.
func (g *Gateway) Start(group *duty.Group) {
	group.Go("router", g.router.run)
	group.Go("crash checks", g.router.crashChecker.run)
	group.Go("rollout status", g.opts.StatusWriter.Run)
	group.Go("kept-cache feed", g.opts.CacheFeed.Run)
}

// Ready reports whether the process can serve callers.
func (g *Gateway) Ready() bool {
	v := g.opts.Fleet.View()
	return v.Config != nil && len(v.Upstreams) > 0
}

// BeginStop records that a planned stop has started. The connection to the caller is
// closed after each further response, and new calls are refused according to
// plannedStop.accepts. Calls that are in progress when the stop reserve begins reach
// their deadline then.
func (g *Gateway) BeginStop(startedAt time.Time, grace time.Duration) {
	stop := &plannedStop{startedAt: startedAt, grace: grace}
	g.plannedStop.Store(stop)
	time.AfterFunc(time.Until(stop.reserveStart()), g.endCalls)
}

// ServeHTTP serves one call.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := g.opts.Codec.DecodeCall(r, time.Now())
	s := &callState{gateway: g, writer: w, call: call, request: r}
	if err != nil {
		s.call = &core.Call{ReceivedAt: time.Now()}
		s.respondWithError(http.StatusBadRequest, "invalid", 0, err)
		return
	}
	defer s.releaseMemory()
	if !s.resolve() || !s.readBody() {
		return
	}
	// The configuration may have changed while the body was received, and a planned stop
	// accepts fewer calls as it proceeds.
	mayDiffer := g.opts.Fleet.View().Config != s.config || g.plannedStop.Load() != nil
	if mayDiffer && !s.resolve() {
		return
	}
	if s.route.Kind == core.KindStream {
		g.streams.Add(1)
		defer g.streams.Add(-1)
	}
	s.serve()
}

// Streaming reports whether streams are active.
func (g *Gateway) Streaming() bool { return g.streams.Load() > 0 }

// callState is the state of one call while it is served.
type callState struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	request   *http.Request
	call      *core.Call
	config    *catalog.Config
	route     *catalog.Route
	workspace *catalog.Workspace
	service   core.ServiceID

	deadline time.Time
	// attemptedUpstreams are the upstreams to which the call was sent.
	attemptedUpstreams []core.UpstreamID
	// nextPlacement is the placement of the next attempt, lastOutcome the outcome of
	// the previous one.
	nextPlacement placementResult
	lastOutcome   attemptOutcome
	// failedResponse is the last complete error response of an upstream; nil when
	// there is none.
	failedResponse *bufferedResponse
	// headerSent is set when status and headers of the response were sent to the
	// caller.
	headerSent bool
	// requestMemory is charged for the body of the request. It is nil before the body is
	// read.
	requestMemory *membudget.Account
	// lastEventID is the id of the last event that was sent to the caller. lastEventDigest
	// identifies its bytes if the stream can be resumed and it is not the first one, which a
	// run that starts again would also send.
	lastEventID     string
	lastEventDigest eventDigest
	// unnumbered is set when a section without an id followed that event.
	unnumbered bool
	status     int
	// begun is set when the call was counted as one that began to run.
	begun bool
}

// recordBegun counts the call as one that began to run, unless it is counted already. The
// continuation of a stream that the caller received from another front was counted there.
func (s *callState) recordBegun() {
	if s.begun || s.workspace == nil || s.gateway.opts.CallBegan == nil || s.call.LastEventID != "" {
		return
	}
	s.begun = true
	s.gateway.opts.CallBegan(s.workspace.ID)
}

// resolve checks the size of the headers, finds the route of the call, sets its
// deadline, checks that a planned stop in progress still accepts it (see
// plannedStop.accepts), finds the workspace of its key and selects a service. If one of
// these fails, it responds with an error and returns false.
func (s *callState) resolve() bool {
	s.config = s.gateway.opts.Fleet.View().Config
	if s.config == nil {
		s.respondWithError(http.StatusServiceUnavailable, "no_config", notReadyRetryAfter, nil)
		return false
	}
	if limit := s.config.Limits.HeaderBytes; limit > 0 && headerBytes(s.request) > limit {
		s.respondWithError(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", 0, nil)
		return false
	}
	s.route = s.config.Route(s.call.Host, s.call.Path)
	if s.route == nil {
		s.respondWithError(http.StatusNotFound, "no_route", 0, nil)
		return false
	}
	s.setDeadline()
	stop := s.gateway.plannedStop.Load()
	if !stop.accepts(s.route.Kind, time.Now(), s.remaining()) {
		wait := stop.retryAfter(time.Now(), s.route.Kind, s.remaining(), s.gateway.opts.Placement.Node, s.gateway.opts.Fleet.View())
		s.respondWithError(http.StatusServiceUnavailable, "stopping", s.limitRetryAfter(wait), nil)
		return false
	}
	s.deadline = stop.limitDeadline(s.deadline)
	s.workspace = nil
	if s.config.NeedsKeys() && !s.route.Public {
		if s.workspace = s.config.Workspace(s.call.APIKey); s.workspace == nil {
			s.respondWithError(http.StatusUnauthorized, "unknown_key", 0, nil)
			return false
		}
	}
	s.service = s.pickService()
	return true
}

// headerBytes returns the size of a request line and its headers.
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

// pickService selects one of the route's services at random, in proportion to the
// weights of the route's targets.
func (s *callState) pickService() core.ServiceID {
	total := 0.0
	for _, t := range s.route.Targets {
		total += t.Weight
	}
	sample := s.gateway.opts.Random() * total
	for _, t := range s.route.Targets {
		if sample -= t.Weight; sample < 0 {
			return t.Service
		}
	}
	return s.route.Targets[len(s.route.Targets)-1].Service
}

func (s *callState) setDeadline() {
	timeout := s.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	s.deadline = s.call.ReceivedAt.Add(timeout)
	if !s.call.Deadline.IsZero() && s.call.Deadline.Before(s.deadline) {
		s.deadline = s.call.Deadline
	}
}

// priority returns the priority of the call. That of the workspace takes precedence
// over that of the route.
func (s *callState) priority() int {
	if s.workspace != nil && s.workspace.Priority != nil {
		return *s.workspace.Priority
	}
	return s.route.Priority
}

// respondWithError sends an error response of the system itself and logs the reason.
// Statuses 429 and 503 guarantee that the call has not run and will not run.
func (s *callState) respondWithError(status int, reason string, retryAfter time.Duration, cause error) {
	s.writeError(status, reason, retryAfter)
	entry := s.log("refused").WithFields(logrus.Fields{"status": status, "reason": reason})
	if cause != nil {
		entry = entry.WithError(cause)
	}
	entry.Info("call ended with an error response of the gateway")
	s.gateway.metrics.errorSent(status, reason)
}

// writeError writes an error response of the system itself.
func (s *callState) writeError(status int, reason string, retryAfter time.Duration) {
	s.status = status
	h := s.responseHeader()
	s.gateway.opts.Codec.SetErrorHeader(h, s.call.ID, retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	s.writer.WriteHeader(status)
	_, _ = io.WriteString(s.writer, reason+"\n") // the caller may have disconnected
}

// responseHeader returns the header of the response to the caller, just before it is sent.
// During a planned stop it closes the connection.
func (s *callState) responseHeader() http.Header {
	h := s.writer.Header()
	if s.gateway.plannedStop.Load() != nil {
		h.Set("Connection", "close")
	}
	return h
}

// log returns a logger with the fields of the call.
func (s *callState) log(event string) logrus.FieldLogger {
	fields := logrus.Fields{"event": event, "request": s.call.ID, "elapsed_ms": time.Since(s.call.ReceivedAt).Milliseconds()}
	if s.config != nil {
		fields["config"] = s.config.Epoch
	}
	if s.route != nil {
		fields["route"] = s.route.Name
	}
	return s.gateway.opts.Log.WithFields(fields)
}

// remaining returns the time until the deadline of the call.
func (s *callState) remaining() time.Duration { return time.Until(s.deadline) }

// limitRetryAfter limits a Retry-After value to a share of the time until the
// deadline of the call.
func (s *callState) limitRetryAfter(wait time.Duration) time.Duration {
	return max(min(wait, time.Duration(maxRetryAfterShare*float64(s.remaining()))), 0)
}

// placementRequest returns the request for the placement of the call.
func (s *callState) placementRequest() placement.Request {
	return placement.Request{
		Service: s.service, Prompt: s.call.Prompt, Workspace: s.workspace,
		Repeatable: s.route.Repeatable(), Bytes: len(s.call.Body) + responseBytesBase + responseBytesPerToken*s.call.Prompt.MaxOutputTokens, TriedUpstreams: s.attemptedUpstreams, Retry: len(s.attemptedUpstreams) > 0,
	}
}

// ReportWeights reports to the router the weight version of a model that another duty
// has observed at an upstream.
func (g *Gateway) ReportWeights(id core.UpstreamID, model core.ModelID, version catalog.WeightNumber) {
	g.router.report(attemptReport{Report: placement.Report{Upstream: id, Model: model, Weights: version}})
}

// SetPlacementOptions replaces the options of the placement.
func (g *Gateway) SetPlacementOptions(opts placement.Options) { g.router.options.Push(opts) }
