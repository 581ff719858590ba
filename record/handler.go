package record

import (
	"context"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"go.opentelemetry.io/otel/metric"

	"waxwingtide.example/waxwingtide/attempts"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/security"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	maxBodyBytes   = 4 << 20
	maxKeyBytes    = 255
	defaultTimeout = 30 * time.Second
	maxTimeout     = 10 * time.Minute
	headerTimeout  = "Waxwingtide-Timeout-Ms"
	// replyMargin is the maximum time between the agent's deadline and the entry's
	// deadline. It lets the entry receive a rejection for the deadline before its
	// own deadline passes.
	replyMargin = 50 * time.Millisecond
)

// Route is the pattern under which Handler serves all methods.
const Route = "/services/:service/*path"

// allowedMethods are the methods of calls to plain services. Other methods are
// refused, because a method in lower case would not match the bundle's rules.
var allowedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// AgentClient sends a call to the agent of an upstream. An error of kind Unavailable
// means that nothing was sent. Any other error means that the call may have run.
type AgentClient interface {
	Call(ctx context.Context, u *bundle.Upstream, req *wire.CallRequest) (*wire.CallReply, error)
}

// HandlerOptions configures a handler.
type HandlerOptions struct {
	AgentClient AgentClient
	// View returns the current view, or nil if there is none yet.
	View func() *facts.View
	// SenderIdentity returns the identity of this process, which is added to requests
	// to agents. Nil means that requests contain no identity.
	SenderIdentity func() *wire.Sender
	// NewAttempt returns a unique attempt ID. The default is a random UUID.
	NewAttempt func() core.AttemptID
	// Admit admits a call of a workspace. If ok is true, the handler calls done
	// when the call ends. If ok is false, the handler refuses the call with status
	// 429. Nil admits all calls.
	Admit func(w *bundle.Workspace) (done func(), ok bool)
	// Meter creates the metric instruments. Nil means that no metrics are recorded.
	Meter metric.Meter
}

// Handler serves HTTP requests of callers to plain services.
type Handler struct {
	options HandlerOptions
	metrics *handlerMetrics
}

// NewHandler returns a handler. It returns an error of kind Invalid if
// AgentClient or View is missing.
func NewHandler(o HandlerOptions) (*Handler, error) {
	if o.AgentClient == nil || o.View == nil {
		return nil, errs.New(errs.Invalid, "set AgentClient and View", "options of the service call handler are incomplete")
	}
	if o.NewAttempt == nil {
		o.NewAttempt = func() core.AttemptID { return core.AttemptID(uuid.NewString()) }
	}
	if o.SenderIdentity == nil {
		o.SenderIdentity = func() *wire.Sender { return nil }
	}
	if o.Admit == nil {
		o.Admit = func(*bundle.Workspace) (func(), bool) { return func() {}, true }
	}
	metrics, err := newHandlerMetrics(o.Meter)
	if err != nil {
		return nil, err
	}
	return &Handler{options: o, metrics: metrics}, nil
}

// Register adds the handler's routes.
func (h *Handler) Register(router *httprouter.Router) {
	for _, method := range allowedMethods {
		router.Handle(method, Route, h.serve)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	view := h.options.View()
	if !view.HasBundle() {
		writeErrorResponse(w, notRunResponse("not_ready", "no bundle is known yet"))
		return
	}
	call, errResponse := h.readCall(view, w, r, params)
	if errResponse != nil {
		writeErrorResponse(w, *errResponse)
		return
	}
	timeout, errResponse := callTimeout(r)
	if errResponse != nil {
		writeErrorResponse(w, *errResponse)
		return
	}
	done, ok := h.options.Admit(view.Index.Workspaces[call.Workspace])
	if !ok {
		errResponse := notRunResponse("workspace_limit", "the workspace has too many calls under way")
		errResponse.status = http.StatusTooManyRequests
		writeErrorResponse(w, errResponse)
		return
	}
	defer done()
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	reply := h.sendToCandidates(ctx, view, call)
	h.metrics.recordCall(ctx, call, reply)
	writeReply(w, reply)
}

// readCall checks a request, reads its body and converts it into a call.
func (h *Handler) readCall(view *facts.View, w http.ResponseWriter, r *http.Request, params httprouter.Params) (*Call, *errorResponse) {
	hash, ok := security.BearerHash(r.Header.Get("Authorization"))
	identity, authenticated := view.Index.Authenticate(hash)
	if !ok || !authenticated {
		return nil, &errorResponse{http.StatusUnauthorized, "unauthenticated", "api_key", "send a valid API key as Authorization: Bearer KEY"}
	}
	service, errResponse := lookUpService(view.Index, identity.Workspace, core.ServiceID(params.ByName("service")))
	if errResponse != nil {
		return nil, errResponse
	}
	servicePath := params.ByName("path")
	if !isCanonicalPath(servicePath) {
		return nil, &errorResponse{http.StatusBadRequest, typeInvalid, "path", "send the path without empty, \".\" and \"..\" segments"}
	}
	key, errResponse := idempotencyKey(service, r, servicePath)
	if errResponse != nil {
		return nil, errResponse
	}
	call := &Call{
		Call: core.Call{
			ReceivedAt: time.Now(), Method: r.Method, Host: r.Host, URI: requestURI(servicePath, r.URL.RawQuery), Path: servicePath, Header: r.Header,
		},
		Attempt: h.options.NewAttempt(), Workspace: identity.Workspace, Caller: identity.Caller,
		Service: service.ID, IdempotencyKey: key,
	}
	call.ID = string(call.Attempt)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if errs.Is(err, errs.Exhausted) {
		response := notRunResponse("memory", "requests of all callers exceed their memory")
		return nil, &response
	}
	if err != nil {
		return nil, &errorResponse{http.StatusRequestEntityTooLarge, typeInvalid, "body", "send a complete body of at most 4 MiB"}
	}
	call.Body = body
	return call, nil
}

// lookUpService returns a service that the workspace may call.
func lookUpService(index *bundle.Index, workspace core.WorkspaceID, id core.ServiceID) (*bundle.Service, *errorResponse) {
	for _, allowed := range index.Workspaces[workspace].Services {
		if service := index.Services[id]; allowed == id && service != nil {
			return service, nil
		}
	}
	return nil, &errorResponse{http.StatusNotFound, typeInvalid, "service", "the workspace has no service of this name; check the name or the bundle"}
}

// idempotencyKey returns the idempotency key of an at-most-once call, and an empty
// string for any other call. At-most-once calls are the calls that the bundle lists as
// non-repeatable, and the calls with a method other than GET and HEAD for which the
// caller sends a key.
func idempotencyKey(service *bundle.Service, r *http.Request, servicePath string) (string, *errorResponse) {
	key := r.Header.Get(headerIdempotencyKey)
	repeatable := service.MayRepeat(r.Method, servicePath)
	if repeatable && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		return "", nil
	}
	if len(key) > maxKeyBytes || (key == "" && !repeatable) {
		return "", &errorResponse{http.StatusBadRequest, typeInvalid, "idempotency_key", "send an Idempotency-Key header of 1 to 255 bytes; this call may run at most once"}
	}
	return key, nil
}

// isCanonicalPath reports whether a path is in its shortest form, apart from a
// trailing slash. A service may treat other forms as the same path, but the bundle's
// rules would not match them.
func isCanonicalPath(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

func callTimeout(r *http.Request) (time.Duration, *errorResponse) {
	header := r.Header.Get(headerTimeout)
	if header == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return 0, &errorResponse{http.StatusBadRequest, typeInvalid, "timeout", "send Waxwingtide-Timeout-Ms as 1 to 600000 milliseconds"}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// candidateSender sends one call to its candidates in turn. It implements
// attempts.Sender.
type candidateSender struct {
	*Handler
	call       *Call
	candidates []*bundle.Upstream
	lastReply  Reply
}

// sendToCandidates sends a call to one candidate after another until no further
// attempt is allowed.
func (h *Handler) sendToCandidates(ctx context.Context, view *facts.View, c *Call) Reply {
	sender := &candidateSender{Handler: h, call: c, candidates: candidates(view, c)}
	// This is the reply if Run ends before the first attempt.
	sender.lastReply = Reply{Outcome: core.OutcomeNeverDispatched, Detail: "no upstream of the service takes new work"}
	result := attempts.Run(ctx, attempts.Rules{Repeatable: !c.AtMostOnce(), MaxRuns: maxAttempts, MaxSends: maxAttempts}, sender)
	if sender.lastReply.Outcome.ProvesNotRun() && !result.Outcome.ProvesNotRun() {
		// The last attempt did not run, but an earlier one may have run. The caller
		// must not receive a response that states that the call did not run.
		return unknownReply(sender.lastReply.Detail)
	}
	return sender.lastReply
}

// Place implements attempts.Sender.
func (s *candidateSender) Place(context.Context, int) error {
	if len(s.candidates) == 0 {
		return errs.New(errs.Unavailable, "retry later", "no further upstream of service %s takes new work", s.call.Service)
	}
	return nil
}

// Send implements attempts.Sender.
func (s *candidateSender) Send(ctx context.Context) attempts.Result {
	s.lastReply = s.sendAttempt(ctx, s.candidates[0], s.call, len(s.candidates))
	s.candidates = s.candidates[1:]
	return attempts.Result{Outcome: s.lastReply.Outcome, Final: isFinal(s.call, s.lastReply)}
}

// sendAttempt makes one attempt. attemptsLeft includes this attempt. The timeout of a
// repeatable call is the remaining time divided by attemptsLeft, so that one upstream
// that does not respond does not use up all of the time.
func (h *Handler) sendAttempt(ctx context.Context, u *bundle.Upstream, c *Call, attemptsLeft int) Reply {
	deadline, _ := ctx.Deadline()
	timeout := time.Until(deadline)
	if timeout <= 0 {
		return Reply{Outcome: core.OutcomeNeverDispatched, Detail: "the deadline has passed"}
	}
	if !c.AtMostOnce() {
		timeout /= time.Duration(attemptsLeft)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := callToWire(c)
	req.Attempt = string(h.options.NewAttempt())
	req.Sender = h.options.SenderIdentity()
	req.Upstream = string(u.ID)
	req.DeadlineMs = uint32(max((timeout - min(replyMargin, timeout/10)).Milliseconds(), 1))
	reply, err := h.options.AgentClient.Call(ctx, u, req)
	if errs.Is(err, errs.Unavailable) {
		return Reply{Outcome: core.OutcomeNeverDispatched, Detail: "the agent of the upstream cannot be reached"}
	}
	if err != nil {
		return unknownReply("the agent of the upstream gave no answer")
	}
	if reply.GetAttempt() != req.GetAttempt() {
		return unknownReply("the agent answered another attempt")
	}
	return replyFromWire(reply)
}
