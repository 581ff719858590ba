package servicecall

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
	maxBodyBytes    = 4 << 20
	maxKeyBytes     = 255
	defaultDeadline = 30 * time.Second
	maxDeadline     = 10 * time.Minute
	headerTimeout   = "Waxwingtide-Timeout-Ms"
	// replyMargin is left between the agent's deadline and the entry's, so that
	// a rejection for the deadline arrives before the entry gives up.
	replyMargin = 50 * time.Millisecond
)

// Route is the pattern under which Handler serves all methods.
const Route = "/services/:service/*path"

// methods are the methods of plain calls. Others are refused, because a method
// in another case would miss the bundle's rules.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// Sender sends a call to the agent of an upstream. An error of kind Unavailable
// means that nothing was sent; every other error means that the agent may have
// run the call.
type Sender interface {
	Call(ctx context.Context, u *bundle.Upstream, req *wire.CallRequest) (*wire.CallReply, error)
}

// HandlerOptions configures a handler.
type HandlerOptions struct {
	Sender Sender
	// View returns the current view, or nil when none is known.
	View func() *facts.View
	// SenderIdentity returns the sender to state in requests to agents. Nil means
	// that requests state none.
	SenderIdentity func() *wire.Sender
	// NewAttempt returns a unique id; default a random UUID.
	NewAttempt func() core.AttemptID
	// Admit admits a call of a workspace. If ok is true, the handler calls leave
	// when the call ends. If ok is false, the handler refuses the call with status
	// 429. Nil admits all calls.
	Admit func(w *bundle.Workspace) (leave func(), ok bool)
	// Meter is the source of instruments; nil records nothing.
	Meter metric.Meter
}

// Handler serves callers' calls to plain services.
type Handler struct {
	options HandlerOptions
	metrics *handlerMetrics
}

// NewHandler returns a handler. Errors: Invalid.
func NewHandler(o HandlerOptions) (*Handler, error) {
	if o.Sender == nil || o.View == nil {
		return nil, errs.New(errs.Invalid, "set Sender and View", "options of the record handler are incomplete")
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
	for _, method := range methods {
		router.Handle(method, Route, h.serve)
	}
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	view := h.options.View()
	if !view.HasBundle() {
		writeRefusal(w, notRun("not_ready", "no bundle is known yet"))
		return
	}
	call, refused := h.read(view, w, r, params)
	if refused != nil {
		writeRefusal(w, *refused)
		return
	}
	deadline, refused := deadlineOf(r)
	if refused != nil {
		writeRefusal(w, *refused)
		return
	}
	leave, ok := h.options.Admit(view.Index.Workspaces[call.Workspace])
	if !ok {
		refused := notRun("workspace_limit", "the workspace has too many calls under way")
		refused.status = http.StatusTooManyRequests
		writeRefusal(w, refused)
		return
	}
	defer leave()
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	reply := h.deliver(ctx, view, call)
	h.metrics.record(ctx, call, reply)
	writeReply(w, reply)
}

// read checks a request and turns it into a call.
func (h *Handler) read(view *facts.View, w http.ResponseWriter, r *http.Request, params httprouter.Params) (*Call, *refusal) {
	hash, ok := security.BearerHash(r.Header.Get("Authorization"))
	identity, known := view.Index.Authenticate(hash)
	if !ok || !known {
		return nil, &refusal{http.StatusUnauthorized, "unauthenticated", "api_key", "send a valid API key as Authorization: Bearer KEY"}
	}
	service, refused := serviceOf(view.Index, identity.Workspace, core.ServiceID(params.ByName("service")))
	if refused != nil {
		return nil, refused
	}
	at := params.ByName("path")
	if !canonical(at) {
		return nil, &refusal{http.StatusBadRequest, typeInvalid, "path", "send the path without empty, \".\" and \"..\" segments"}
	}
	key, refused := keyOf(service, r, at)
	if refused != nil {
		return nil, refused
	}
	call := &Call{
		Call: core.Call{
			ReceivedAt: time.Now(), Method: r.Method, Host: r.Host, URI: target(at, r.URL.RawQuery), Path: at, Header: r.Header,
		},
		Attempt: h.options.NewAttempt(), Workspace: identity.Workspace, Caller: identity.Caller,
		Service: service.ID, IdempotencyKey: key,
	}
	call.ID = string(call.Attempt)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, &refusal{http.StatusRequestEntityTooLarge, typeInvalid, "body", "send a complete body of at most 4 MiB"}
	}
	call.Body = body
	return call, nil
}

func serviceOf(x *bundle.Index, workspace core.WorkspaceID, id core.ServiceID) (*bundle.Service, *refusal) {
	for _, allowed := range x.Workspaces[workspace].Services {
		if service := x.Services[id]; allowed == id && service != nil {
			return service, nil
		}
	}
	return nil, &refusal{http.StatusNotFound, typeInvalid, "service", "the workspace has no service of this name; check the name or the bundle"}
}

// keyOf returns the idempotency key of a call that may run at most once: one
// that the bundle lists, or one for which the caller sends a key.
func keyOf(service *bundle.Service, r *http.Request, target string) (string, *refusal) {
	key := r.Header.Get(headerKey)
	repeatable := service.MayRepeat(r.Method, target)
	if repeatable && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		return "", nil
	}
	if len(key) > maxKeyBytes || (key == "" && !repeatable) {
		return "", &refusal{http.StatusBadRequest, typeInvalid, "idempotency_key", "send an Idempotency-Key header of 1 to 255 bytes; this call may run at most once"}
	}
	return key, nil
}

// canonical reports whether a path is in its shortest form. A service may treat
// another form as the same path, while the bundle's rules would not match it.
func canonical(p string) bool {
	return p == "/" || path.Clean(p) == strings.TrimSuffix(p, "/")
}

func deadlineOf(r *http.Request) (time.Duration, *refusal) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, &refusal{http.StatusBadRequest, typeInvalid, "timeout", "send Waxwingtide-Timeout-Ms as 1 to 600000 milliseconds"}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// delivery sends one call to its candidates in turn.
type delivery struct {
	*Handler
	call       *Call
	candidates []*bundle.Upstream
	last       Reply
}

// deliver sends a call until one reply is final.
func (h *Handler) deliver(ctx context.Context, view *facts.View, c *Call) Reply {
	d := &delivery{Handler: h, call: c, candidates: candidates(view, c)}
	d.last = Reply{Outcome: core.OutcomeNeverDispatched, Detail: "no upstream of the service takes new work"}
	ended := attempts.Run(ctx, attempts.Rules{Repeatable: !c.AtMostOnce(), MaxRuns: maxAttempts, MaxSends: maxAttempts}, d)
	if d.last.Outcome.ProvesNotRun() && !ended.Outcome.ProvesNotRun() {
		// A call of which an attempt may have run is never said to be not run.
		return unknown(d.last.Detail)
	}
	return d.last
}

// Place implements attempts.Sender.
func (d *delivery) Place(context.Context, int) error {
	if len(d.candidates) == 0 {
		return errs.New(errs.Unavailable, "retry later", "no further upstream of service %s takes new work", d.call.Service)
	}
	return nil
}

// Send implements attempts.Sender.
func (d *delivery) Send(ctx context.Context) attempts.Result {
	d.last = d.send(ctx, d.candidates[0], d.call, len(d.candidates))
	d.candidates = d.candidates[1:]
	return attempts.Result{Outcome: d.last.Outcome, Final: final(d.call, d.last)}
}

// send makes one attempt. An idempotent call keeps time for the attempts that
// are left, so that one upstream without an answer does not use up all of it.
func (h *Handler) send(ctx context.Context, u *bundle.Upstream, c *Call, left int) Reply {
	deadline, _ := ctx.Deadline()
	limit := time.Until(deadline)
	if limit <= 0 {
		return Reply{Outcome: core.OutcomeNeverDispatched, Detail: "the deadline has passed"}
	}
	if !c.AtMostOnce() {
		limit /= time.Duration(left)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req := callToWire(c)
	req.Attempt = string(h.options.NewAttempt())
	req.Sender = h.options.SenderIdentity()
	req.Upstream = string(u.ID)
	req.DeadlineMs = uint32(max((limit - min(replyMargin, limit/10)).Milliseconds(), 1))
	reply, err := h.options.Sender.Call(ctx, u, req)
	if errs.Is(err, errs.Unavailable) {
		return Reply{Outcome: core.OutcomeNeverDispatched, Detail: "the agent of the upstream cannot be reached"}
	}
	if err != nil {
		return unknown("the agent of the upstream gave no answer")
	}
	if reply.GetAttempt() != req.GetAttempt() {
		return unknown("the agent answered another attempt")
	}
	return replyFromWire(reply)
}
